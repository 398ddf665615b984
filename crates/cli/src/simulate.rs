//! `troutknot simulate`: runs a scenario in simulated time, and prints the verdict.
use crate::{ExitStatus, check, verdict};
use clap::Args;
use std::path::PathBuf;
use std::time::Instant;
use troutknot_simulation::simulate;

/// Run a scenario in simulated time, in one process, and report whether the four rules held
#[derive(Args)]
#[command(after_help = "Example: troutknot simulate scenarios/iftar.toml --seed 7 --json

A scenario and a seed give the same output on every machine; the time that the run took goes to standard error.
Exit status: 0 all held, 1 a rule was violated or less service than expected, 2 a file that cannot be used.")]
pub struct Simulate {
    scenario: PathBuf,
    /// Seed of the plan; by default the scenario's
    #[arg(long)]
    seed: Option<u64>,
    /// Print the report as JSON
    #[arg(long)]
    json: bool,
}

impl Simulate {
    /// Runs the simulation and prints the report on standard output.
    pub fn run(self) -> ExitStatus {
        let scenario = match check::scenario(&self.scenario) {
            Ok(scenario) => scenario,
            Err(error) => return ExitStatus::Usage.report(error),
        };
        let started = Instant::now();
        let report = match simulate(&scenario, self.seed.unwrap_or(scenario.seed)) {
            Ok(report) => report,
            Err(error) => return ExitStatus::Usage.report(format!("`{}`: {error}", self.scenario.display())),
        };
        let took = started.elapsed().as_secs_f64();
        eprintln!(
            "troutknot: {:.1} s simulated in {took:.2} s, {:.0} events a second",
            report.length_s,
            report.events as f64 / took.max(1e-9)
        );
        if self.json {
            println!("{}", serde_json::to_string_pretty(&report).unwrap_or_default());
        } else {
            println!(
                "{} seed {} plan {}: {} nodes, {} executors, {:.1} s",
                report.scenario,
                report.seed,
                report.plan_hash,
                report.nodes,
                report.executors,
                report.length_s
            );
            print!("{}", verdict::format_verdict(&report.verdict, report.seed, report.expected_service));
        }
        if report.has_passed() { ExitStatus::Passed } else { ExitStatus::Violated }
    }
}
