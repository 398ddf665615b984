//! `troutknot check`: validates configuration, scenario and scale files.
use crate::ExitStatus;
use clap::Args;
use std::io;
use std::path::{Path, PathBuf};
use thiserror::Error;
use troutknot_daemon::NodeError;
use troutknot_rehearsal::diagnostics::Diagnostics;
use troutknot_rehearsal::scenario::Scenario;
use troutknot_scale::file::ScaleFile;

/// Sections that occur only in a scale file.
const SCALE_SECTIONS: [&str; 4] = ["[fleet]", "[real_nodes]", "[hollow_nodes]", "[load]"];
/// Sections that occur only in an operator's file.
const OPERATOR_SECTIONS: [&str; 2] = ["[lists", "[durable]"];
/// A key that occurs in every scenario, but not in an operator's file.
const SCENARIO_KEY: &str = "length";

/// Check that scenarios, scale files, operator's files (all .toml) or node files (.json) are valid
#[derive(Args)]
#[command(after_help = "Example: troutknot check scenarios/calm.toml deploy/troutknot.toml node.json")]
pub struct Check {
    #[arg(required = true)]
    files: Vec<PathBuf>,
}

/// Why a file cannot be used.
#[derive(Debug, Error)]
pub enum CheckError {
    /// The file cannot be read.
    #[error("cannot read `{}`: {error}", path.display())]
    Read {
        /// The file.
        path: PathBuf,
        /// The system's error.
        #[source]
        error: io::Error,
    },
    /// A scenario or a scale file has faults; the error has one line for each.
    #[error(transparent)]
    Diagnostics(#[from] Diagnostics),
    /// A node file or an operator's file is not valid.
    #[error(transparent)]
    Node(#[from] NodeError),
}

fn read(path: &Path) -> Result<String, CheckError> {
    std::fs::read_to_string(path).map_err(|error| CheckError::Read { path: path.to_owned(), error })
}

/// Reads a scenario.
///
/// # Errors
/// If the file cannot be read or has faults. The error states the line of each fault.
pub fn scenario(path: &Path) -> Result<Scenario, CheckError> {
    Ok(Scenario::parse(&read(path)?, &path.display().to_string())?)
}

/// Reads a scale file.
///
/// # Errors
/// If the file cannot be read or has faults. The error states the line of each fault.
pub fn scale_file(path: &Path) -> Result<ScaleFile, CheckError> {
    Ok(ScaleFile::parse(&read(path)?, &path.display().to_string())?)
}

/// The type of a file, which decides how it is checked.
enum FileType {
    Node,
    Operator,
    Scale,
    Scenario,
}

impl FileType {
    /// Detects the type by the extension and the sections. A file that cannot be read counts as a scenario, whose
    /// reader reports the error.
    fn detect(path: &Path) -> Self {
        if path.extension().is_some_and(|extension| extension == "json") {
            return FileType::Node;
        }
        let text = std::fs::read_to_string(path).unwrap_or_default();
        let has_line = |start: &str| text.lines().any(|line| line.trim_start().starts_with(start));
        if text.lines().any(|line| SCALE_SECTIONS.contains(&line.trim())) {
            return FileType::Scale;
        }
        if OPERATOR_SECTIONS.into_iter().any(has_line) && !has_line(SCENARIO_KEY) {
            return FileType::Operator;
        }
        FileType::Scenario
    }
}

fn check(path: &Path) -> Result<(), CheckError> {
    match FileType::detect(path) {
        FileType::Node => troutknot_daemon::check(path)?,
        FileType::Operator => troutknot_daemon::check_operator_file(path)?,
        FileType::Scale => _ = scale_file(path)?,
        FileType::Scenario => _ = scenario(path)?,
    }
    Ok(())
}

impl Check {
    /// Checks each file and prints its faults on standard error.
    pub fn run(self) -> ExitStatus {
        let mut status = ExitStatus::Passed;
        for path in &self.files {
            match check(path) {
                Ok(()) => println!("{}: good", path.display()),
                Err(error) => status = ExitStatus::Usage.report(error),
            }
        }
        status
    }
}
