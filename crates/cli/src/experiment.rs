//! `troutknot experiment`: many simulated days over all cores; each row is stored as its run ends.
use crate::Ended;
use clap::Args;
use indicatif::{ProgressBar, ProgressDrawTarget, ProgressStyle};
use std::path::PathBuf;
use troutknot_simulation::experiment::{Failed, Planned, Row, Summary, as_csv, summary};

/// Simulate scenarios by seed, varied setting and policy, and compare
#[derive(Args)]
#[command(after_help = "Example: troutknot experiment experiments/baselines.toml --out runs

FOLDER/rows.jsonl holds one row a run; a row that is there is not run again, so a killed experiment continues.
FOLDER/summary.csv holds means, 95% intervals by bootstrap, and differences by seed.
Exit status: 0 done, 1 a rule broke in some run, 2 a file that cannot be used, 3 the disk.")]
pub struct ExperimentArgs {
    experiment: PathBuf,
    /// Folder of the rows and the summary
    #[arg(long, value_name = "FOLDER")]
    out: PathBuf,
    /// Runs in parallel; the number of cores if not given
    #[arg(long)]
    threads: Option<usize>,
}

impl ExperimentArgs {
    /// Runs what is missing, writes the summary and prints it.
    pub fn run(self) -> Ended {
        self.play().unwrap_or_else(|ended| ended)
    }

    /// # Errors
    /// How the command ended, once the reason is on standard error.
    fn play(&self) -> Result<Ended, Ended> {
        let planned = Planned::read(&self.experiment).map_err(|error| Ended::Usage.because(error))?;
        let rows = self.simulate(&planned)?;
        let summary = summary(&rows, &planned.against);
        let path = self.out.join("summary.csv");
        if let Err(error) = std::fs::write(&path, as_csv(&summary)) {
            return Err(Ended::Machine.because(format!("cannot write `{}`: {error}", path.display())));
        }
        print_summary(&summary);
        let breaches: usize = summary.iter().map(|group| group.breaches).sum();
        if breaches > 0 {
            let text = format!("rules broke {breaches} times; rows.jsonl says in which runs");
            return Ok(Ended::Broke.because(text));
        }
        Ok(Ended::Held)
    }

    fn simulate(&self, planned: &Planned) -> Result<Vec<Row>, Ended> {
        let bar =
            ProgressBar::with_draw_target(Some(planned.runs.len() as u64), ProgressDrawTarget::stderr());
        if let Ok(style) = ProgressStyle::with_template("{bar:40} {pos} of {len}, {eta} left") {
            bar.set_style(style);
        }
        let cores = std::thread::available_parallelism().map_or(1, usize::from);
        let threads = self.threads.unwrap_or(cores);
        let rows = planned.run(&self.out, threads, |done| bar.set_position(done as u64));
        bar.finish_and_clear();
        rows.map_err(|error| match error {
            Failed::Bad(_) => Ended::Usage.because(error),
            Failed::Disk(_) => Ended::Machine.because(error),
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
