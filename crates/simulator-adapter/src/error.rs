//! Errors that stop the adapter.
use std::io;
use troutknot_configuration::SettingsError;

/// An error that stops the adapter.
#[derive(Debug, thiserror::Error)]
pub enum AdapterError {
    /// Standard input cannot be read.
    #[error("cannot read standard input: {0}")]
    Read(#[source] io::Error),
    /// Standard output cannot be written.
    #[error("cannot write the reply to standard output: {0}")]
    Write(#[source] io::Error),
    /// A line of the input is invalid.
    #[error("line {number}: {error}")]
    Line {
        /// Number of the line, from 1.
        number: u64,
        /// Error in the line.
        #[source]
        error: LineError,
    },
}

/// The error in a line of the input.
#[derive(Debug, thiserror::Error)]
pub enum LineError {
    /// It is not JSON, or a field is missing or of another type.
    #[error("{}", format_json_error(.0))]
    Json(#[from] serde_json::Error),
    /// An operation other than `begin_batch` is outside a batch.
    #[error("`{0}` is outside a batch")]
    OutsideBatch(String),
    /// `begin_batch` is inside a batch.
    #[error("`begin_batch` is inside a batch")]
    NestedBatch,
    /// The settings of an instance are invalid.
    #[error(transparent)]
    Settings(#[from] SettingsError),
    /// An update of the endpoint list has no sheet.
    #[error("missing field `sheet`")]
    MissingSheet,
    /// An update of the endpoint list refers to a sheet that no earlier line defines.
    #[error("sheet {0} is not defined by an earlier line")]
    UnknownSheet(u8),
}

/// Formats a JSON error with its column only, because each line of the input is a JSON document of one line.
fn format_json_error(error: &serde_json::Error) -> String {
    error.to_string().replace(" at line 1 column ", ", column ")
}
