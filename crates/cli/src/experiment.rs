//! `troutknot experiment`: many simulations on all cores; each row is stored as its run ends.
use crate::ExitStatus;
use clap::Args;
use indicatif::{ProgressBar, ProgressDrawTarget, ProgressStyle};
use std::path::PathBuf;
use troutknot_simulation::experiment::{
    ExperimentError, ExperimentPlan, Row, Summary, format_csv, summarize,
};

/// Simulate scenarios with several seeds, varied settings and policies, and compare the policies
#[derive(Args)]
#[command(after_help = "Example: troutknot experiment experiments/baselines.toml --out runs

FOLDER/rows.jsonl holds one row per run; a run whose row is stored is not repeated, so a killed experiment continues.
FOLDER/summary.csv holds means, 95% bootstrap intervals, and differences to the reference policy by seed.
Exit status: 0 done, 1 a rule was violated in some run, 2 a file that cannot be used, 3 FOLDER cannot be written.")]
pub struct ExperimentArgs {
    experiment: PathBuf,
    /// Folder of the rows and the summary
    #[arg(long, value_name = "FOLDER")]
    out: PathBuf,
    /// Number of parallel runs; by default the number of cores
    #[arg(long)]
    threads: Option<usize>,
}

impl ExperimentArgs {
    /// Runs the simulations that are not stored yet, writes the summary and prints it.
    pub fn run(self) -> ExitStatus {
        self.try_run().unwrap_or_else(|status| status)
    }

    /// # Errors
    /// The exit status if the experiment failed; the reason has been printed on standard error.
    fn try_run(&self) -> Result<ExitStatus, ExitStatus> {
        let plan = ExperimentPlan::read(&self.experiment).map_err(|error| ExitStatus::Usage.report(error))?;
        let rows = self.simulate(&plan)?;
        let summary = summarize(&rows, &plan.reference_policy);
        let path = self.out.join("summary.csv");
        if let Err(error) = std::fs::write(&path, format_csv(&summary)) {
            return Err(ExitStatus::Machine.report(format!("cannot write `{}`: {error}", path.display())));
        }
        print_summary(&summary);
        let violations: usize = summary.iter().map(|group| group.violations).sum();
        if violations > 0 {
            let text = format!("{violations} rule violations; rows.jsonl lists them by run");
            return Ok(ExitStatus::Violated.report(text));
        }
        Ok(ExitStatus::Passed)
    }

    fn simulate(&self, plan: &ExperimentPlan) -> Result<Vec<Row>, ExitStatus> {
        let bar = ProgressBar::with_draw_target(Some(plan.runs.len() as u64), ProgressDrawTarget::stderr());
        if let Ok(style) = ProgressStyle::with_template("{bar:40} {pos} of {len}, {eta} left") {
            bar.set_style(style);
        }
        let cores = std::thread::available_parallelism().map_or(1, usize::from);
        let threads = self.threads.unwrap_or(cores);
        let rows = plan.run(&self.out, threads, |stored| bar.set_position(stored as u64));
        bar.finish_and_clear();
        rows.map_err(|error| match error {
            ExperimentError::Invalid(_) => ExitStatus::Usage.report(error),
            ExperimentError::Io(_) => ExitStatus::Machine.report(error),
        })
    }
}

fn print_summary(summary: &[Summary]) {
    println!(
        "{:<44} {:<18} {:>4}  {:<24} {:<26} {:>8}",
        "scenario", "policy", "runs", "service", "less", "p99 ms"
    );
    for group in summary {
        let difference = group.difference.map_or(String::new(), |value| {
            format!("{:+.3} ({:+.3} to {:+.3})", value.mean, value.low, value.high)
        });
        let service = &group.service;
        let service = format!("{:.3} ({:.3} to {:.3})", service.mean, service.low, service.high);
        println!(
            "{:<44} {:<18} {:>4}  {service:<24} {difference:<26} {:>8.0}",
            group.group, group.policy, group.runs, group.p99_ms.mean
        );
    }
}
