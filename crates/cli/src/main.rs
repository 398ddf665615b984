//! `troutknot`: the command line. Results are printed on standard output, everything else on standard error.
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

/// The exit status of a command; the discriminant is the status of the process.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum ExitStatus {
    /// The command succeeded, and all rules and bounds held.
    Passed = 0,
    /// A rule was violated or a bound was exceeded.
    Violated = 1,
    /// The arguments are not valid, or a file is not valid or cannot be used.
    Usage = 2,
    /// The machine could not complete the run, for lack of capacity or by an input or output error.
    Machine = 3,
}

impl ExitStatus {
    /// Prints the reason for this status on standard error, with the program's name before each of its lines.
    pub fn report(self, reason: impl std::fmt::Display) -> Self {
        reason.to_string().lines().for_each(|line| eprintln!("troutknot: {line}"));
        self
    }
}

#[derive(Parser)]
#[command(
    name = "troutknot",
    version,
    about = "A dispatcher that sends requests to executors, and the tools to rehearse it",
    after_help = "Example: troutknot rehearse scenarios/calm.toml --seed 7"
)]
struct Command {
    #[command(subcommand)]
    verb: Verb,
}

#[derive(Subcommand)]
enum Verb {
    /// Run a node with its node file (JSON)
    #[command(after_help = "Example: troutknot node --config node.json")]
    Node {
        /// The node file; by default the one that ROUTER_CONFIG names
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
    /// Print the completion script for a shell
    #[command(
        after_help = "Example: troutknot completions bash > ~/.local/share/bash-completion/completions/troutknot"
    )]
    Completions {
        shell: clap_complete::Shell,
    },
}

/// Runs a node until it ends.
fn run_node(config: Option<PathBuf>) -> ExitStatus {
    let _log = troutknot_daemon::log_to_stdout();
    let path = config.map_or_else(troutknot_daemon::path_from_environment, Ok);
    match path.and_then(|path| troutknot_daemon::start(&path)) {
        Ok(()) => ExitStatus::Passed,
        Err(error) => ExitStatus::Usage.report(error),
    }
}

fn main() -> ExitCode {
    let status = match Command::parse().verb {
        Verb::Node { config } => run_node(config),
        Verb::Rehearse(rehearse) => rehearse.run(),
        Verb::Emulate(emulate) => emulate.run(),
        Verb::Check(check) => check.run(),
        Verb::Ledger(ledger) => ledger.run(),
        Verb::Simulate(simulate) => simulate.run(),
        Verb::Experiment(experiment) => experiment.run(),
        Verb::Scale(scale) => scale.run(),
        Verb::Completions { shell } => {
            clap_complete::generate(shell, &mut Command::command(), "troutknot", &mut std::io::stdout());
            ExitStatus::Passed
        }
    };
    ExitCode::from(status as u8)
}

#[cfg(test)]
#[path = "../tests/unit/command_line.rs"]
mod tests;
