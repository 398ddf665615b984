//! `troutknot`: the command line. Results go to standard output, everything else to standard error.
mod check;
mod emulate;
mod experiment;
mod ledger;
mod rehearse;
mod scale;
mod simulate;
mod verdict;

use clap::{CommandFactory, Parser, Subcommand};
use std::path::PathBuf;
use std::process::ExitCode;

/// How a command ended; the value is the exit status.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum Ended {
    /// The command did what was asked, and all rules and bounds held.
    Held = 0,
    /// A rule broke, or a bound was missed.
    Broke = 1,
    /// Wrong usage, or a file that cannot be used.
    Usage = 2,
    /// The machine could not carry the run.
    Machine = 3,
}

impl Ended {
    /// Prints the reason on standard error, a line for each of its lines.
    pub fn because(self, reason: impl std::fmt::Display) -> Self {
        reason.to_string().lines().for_each(|line| eprintln!("troutknot: {line}"));
        self
    }
}

#[derive(Parser)]
#[command(
    name = "troutknot",
    version,
    about = "A dispatcher that sends requests to executors, and the kit to rehearse it",
    after_help = "Example: troutknot rehearse scenarios/calm.toml --seed 7"
)]
struct Command {
    #[command(subcommand)]
    verb: Verb,
}

#[derive(Subcommand)]
enum Verb {
    /// Run one node by its node file (JSON)
    #[command(after_help = "Example: troutknot node --config node.json")]
    Node {
        /// The node file; if not given, ROUTER_CONFIG names it
        #[arg(long)]
        config: Option<PathBuf>,
    },
    Rehearse(rehearse::Rehearse),
    Emulate(emulate::Emulate),
    Check(check::Check),
    Ledger(ledger::LedgerArgs),
    Simulate(simulate::Simulate),
    Experiment(experiment::ExperimentArgs),
    Scale(scale::Scale),
    /// Print a script that completes commands in a shell
    #[command(
        after_help = "Example: troutknot completions bash > ~/.local/share/bash-completion/completions/troutknot"
    )]
    Completions {
        shell: clap_complete::Shell,
    },
}

fn node(config: Option<PathBuf>) -> Ended {
    let _log = troutknot_daemon::log_to_stdout();
    let path = config.map_or_else(troutknot_daemon::path_from_environment, Ok);
    match path.and_then(|path| troutknot_daemon::start(&path)) {
        Ok(()) => Ended::Held,
        Err(why) => Ended::Usage.because(why),
    }
}

fn main() -> ExitCode {
    let ended = match Command::parse().verb {
        Verb::Node { config } => node(config),
        Verb::Rehearse(rehearse) => rehearse.run(),
        Verb::Emulate(emulate) => emulate.run(),
        Verb::Check(check) => check.run(),
        Verb::Ledger(ledger) => ledger.run(),
        Verb::Simulate(simulate) => simulate.run(),
        Verb::Experiment(experiment) => experiment.run(),
        Verb::Scale(scale) => scale.run(),
        Verb::Completions { shell } => {
            clap_complete::generate(shell, &mut Command::command(), "troutknot", &mut std::io::stdout());
            Ended::Held
        }
    };
    ExitCode::from(ended as u8)
}

#[cfg(test)]
#[path = "../tests/unit/command_line.rs"]
mod tests;
