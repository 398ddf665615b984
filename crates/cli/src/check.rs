//! `troutknot check`: whether configuration, scenario and scale files can be used.
use crate::Ended;
use clap::Args;
use std::io;
use std::path::{Path, PathBuf};
use thiserror::Error;
use troutknot_daemon::NodeError;
use troutknot_rehearsal::diagnostics::Diagnostics;
use troutknot_rehearsal::scenario::Scenario;
use troutknot_scale::file::ScaleFile;

/// Sections that only a scale file has.
const SCALE_SECTIONS: [&str; 4] = ["[fleet]", "[real_nodes]", "[hollow_nodes]", "[load]"];
/// Sections that only an operator's own file has.
const OPERATOR_SECTIONS: [&str; 2] = ["[lists", "[durable]"];
/// A key that every scenario has, and no operator's own file.
const SCENARIO_KEY: &str = "length";

/// Say whether a scenario, a scale file, an operator's own file (all .toml) or a node's configuration (.json) can be used
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
    /// A scenario or a scale file has faults, one line each.
    #[error(transparent)]
    Faults(#[from] Diagnostics),
    /// A node file or an operator's own file is not valid.
    #[error(transparent)]
    Node(#[from] NodeError),
}

fn read(path: &Path) -> Result<String, CheckError> {
    std::fs::read_to_string(path).map_err(|error| CheckError::Read { path: path.to_owned(), error })
}

/// Reads a scenario.
///
/// # Errors
/// If the file cannot be read or has faults, each with the line where it is.
pub fn scenario(path: &Path) -> Result<Scenario, CheckError> {
    Ok(Scenario::parse(&read(path)?, &path.display().to_string())?)
}

/// Reads a scale file.
///
/// # Errors
/// If the file cannot be read or has faults, each with the line where it is.
pub fn scale_file(path: &Path) -> Result<ScaleFile, CheckError> {
    Ok(ScaleFile::parse(&read(path)?, &path.display().to_string())?)
}

/// What a file is for.
enum FileKind {
    Node,
    Operator,
    Scale,
    Scenario,
}

impl FileKind {
    /// By the extension and the sections. A file that cannot be read counts as a scenario, whose reader reports that.
    fn of(path: &Path) -> Self {
        if path.extension().is_some_and(|extension| extension == "json") {
            return FileKind::Node;
        }
        let text = std::fs::read_to_string(path).unwrap_or_default();
        let has_line = |start: &str| text.lines().any(|line| line.trim_start().starts_with(start));
        if text.lines().any(|line| SCALE_SECTIONS.contains(&line.trim())) {
            return FileKind::Scale;
        }
        if OPERATOR_SECTIONS.into_iter().any(has_line) && !has_line(SCENARIO_KEY) {
            return FileKind::Operator;
        }
        FileKind::Scenario
    }
}

fn check(path: &Path) -> Result<(), CheckError> {
    match FileKind::of(path) {
        FileKind::Node => troutknot_daemon::check(path)?,
        FileKind::Operator => troutknot_daemon::check_operator_file(path)?,
        FileKind::Scale => _ = scale_file(path)?,
        FileKind::Scenario => _ = scenario(path)?,
    }
    Ok(())
}

impl Check {
    /// Checks each file and prints its faults on standard error.
    pub fn run(self) -> Ended {
        let mut ended = Ended::Held;
        for path in &self.files {
            match check(path) {
                Ok(()) => println!("{}: good", path.display()),
                Err(error) => ended = Ended::Usage.because(error),
            }
        }
        ended
    }
}
