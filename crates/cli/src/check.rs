//! `troutknot check`: whether a scenario, or what a node is told, is good.
use crate::Ended;
use clap::Args;
use std::path::{Path, PathBuf};
use troutknot_rehearsal::scenario::Scenario;
use troutknot_scale::file::ScaleFile;

/// Say whether a scenario, a scale file, an operator's own file (all .toml) or a node's configuration (.json) can be used
#[derive(Args)]
#[command(after_help = "Example: troutknot check scenarios/calm.toml deploy/troutknot.toml node.json")]
pub struct Check {
    #[arg(required = true)]
    files: Vec<PathBuf>,
}

/// A scenario from its file.
///
/// # Errors
/// One line a fault, with the file and where it is.
pub fn scenario(path: &Path) -> Result<Scenario, String> {
    let file = path.display().to_string();
    let text = std::fs::read_to_string(path).map_err(|e| format!("cannot read `{file}`: {e}"))?;
    Scenario::parse(&text, &file).map_err(|faults| faults.to_string())
}

/// Whether a file is an operator's own: what it says is about a node, and not about a day.
fn is_own(path: &Path) -> bool {
    let text = std::fs::read_to_string(path).unwrap_or_default();
    let says = |word: &str| text.lines().any(|line| line.trim_start().starts_with(word));
    (says("[lists") || says("[durable]")) && !says("length")
}

/// A scale file.
///
/// # Errors
/// One line a fault, with the file and where it is.
pub fn scale_file(path: &Path) -> Result<ScaleFile, String> {
    let file = path.display().to_string();
    let text = std::fs::read_to_string(path).map_err(|e| format!("cannot read `{file}`: {e}"))?;
    ScaleFile::parse(&text, &file).map_err(|faults| faults.to_string())
}

/// Whether a file is a scale file: it has a section that no scenario has.
fn is_scale_file(path: &Path) -> bool {
    let text = std::fs::read_to_string(path).unwrap_or_default();
    let is_own_section =
        |line: &str| ["[fleet]", "[real_nodes]", "[hollow_nodes]", "[load]"].contains(&line.trim());
    text.lines().any(is_own_section)
}

impl Check {
    pub fn run(self) -> Ended {
        let mut ended = Ended::Held;
        for path in &self.files {
            let is_json = path.extension().is_some_and(|e| e == "json");
            let checked = match is_json {
                true => troutknot_daemon::check(path).map_err(|error| error.to_string()),
                false if is_scale_file(path) => scale_file(path).map(|_| ()),
                false if is_own(path) => {
                    troutknot_daemon::check_operator_file(path).map_err(|error| error.to_string())
                }
                false => scenario(path).map(|_| ()),
            };
            match checked {
                Ok(()) => println!("{}: good", path.display()),
                Err(why) => ended = Ended::Usage.because(why),
            }
        }
        ended
    }
}
