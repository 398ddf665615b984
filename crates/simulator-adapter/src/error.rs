//! Why the adapter stops.
use std::io;
use troutknot_configuration::SettingsError;

/// Why the adapter cannot go on.
#[derive(Debug, thiserror::Error)]
pub enum AdapterError {
    /// Standard input cannot be read.
    #[error("cannot read: {0}")]
    Read(#[source] io::Error),
    /// Standard output cannot be written.
    #[error("cannot write the reply: {0}")]
    Write(#[source] io::Error),
    /// A line cannot be applied.
    #[error("line {number}: {error}")]
    Line {
        /// The line's number, from 1.
        number: u64,
        /// What is wrong with it.
        #[source]
        error: LineError,
    },
}

/// Why a line cannot be applied.
#[derive(Debug, thiserror::Error)]
pub enum LineError {
    /// It is not JSON, or a field is missing or of another type.
    #[error("{}", format_json_error(.0))]
    Json(#[from] serde_json::Error),
    /// Only `begin_batch` may stand outside a batch.
    #[error("`{0}` outside a batch")]
    OutsideBatch(String),
    /// `begin_batch` stands inside a batch.
    #[error("a batch opened inside another")]
    NestedBatch,
    /// The settings of an instance cannot be used.
    #[error(transparent)]
    Settings(#[from] SettingsError),
    /// An endpoint list names no sheet.
    #[error("missing field `sheet`")]
    MissingSheet,
    /// An endpoint list names a sheet that no earlier line declared.
    #[error("sheet {0} was never declared")]
    UnknownSheet(u8),
}

/// A line of input is one line of JSON, so only the column says where a fault is.
fn format_json_error(error: &serde_json::Error) -> String {
    error.to_string().replace(" at line 1 column ", ", column ")
}
