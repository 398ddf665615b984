//! `troutknot check`: whether a scenario, or what a node is told, is good.
use crate::Ended;
use clap::Args;
use std::path::{Path, PathBuf};
use troutknot_rehearsal::scenario::Scenario;

/// Say whether a scenario (.toml) or a node's configuration (.json) can be used; all faults at once
#[derive(Args)]
#[command(after_help = "Example: troutknot check scenarios/calm.toml node.json")]
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

impl Check {
    pub fn run(self) -> Ended {
        let mut ended = Ended::Held;
        for path in &self.files {
            let is_json = path.extension().is_some_and(|e| e == "json");
            let checked = if is_json { troutknot_daemon::check(path) } else { scenario(path).map(|_| ()) };
            match checked {
                Ok(()) => println!("{}: good", path.display()),
                Err(why) => ended = Ended::Usage.because(why),
            }
        }
        ended
    }
}
