//! `troutknot experiment`: many simulated days over all cores, kept as they end.
use crate::Ended;
use clap::Args;
use indicatif::{ProgressBar, ProgressDrawTarget, ProgressStyle};
use std::path::PathBuf;
use troutknot_simulation::experiment::{Failed, Planned, as_csv, summary};

/// Simulate scenarios by seeds by varied figures by policies, and compare
#[derive(Args)]
#[command(after_help = "Example: troutknot experiment experiments/baselines.toml --out runs

FOLDER/rows.jsonl holds one row a run; what is there is not run again, so a run that was killed goes on.
FOLDER/summary.csv holds means, 95% intervals by bootstrap, and differences by seed.
Exit status: 0 done, 1 a rule broke in some run, 2 a file that cannot be used, 3 the disk.")]
pub struct ExperimentArgs {
    experiment: PathBuf,
    /// Where rows and the summary are kept
    #[arg(long, value_name = "FOLDER")]
    out: PathBuf,
    /// Runs at a time; as many as there are cores where not given
    #[arg(long)]
    threads: Option<usize>,
}

impl ExperimentArgs {
    pub fn run(self) -> Ended {
        let planned = match Planned::read(&self.experiment) {
            Ok(planned) => planned,
            Err(why) => return Ended::Usage.because(why),
        };
        let bar =
            ProgressBar::with_draw_target(Some(planned.runs.len() as u64), ProgressDrawTarget::stderr());
        if let Ok(style) = ProgressStyle::with_template("{bar:40} {pos} of {len}, {eta} left") {
            bar.set_style(style);
        }
        let cores = std::thread::available_parallelism().map_or(1, usize::from);
        let rows =
            planned.run(&self.out, self.threads.unwrap_or(cores), |done| bar.set_position(done as u64));
        bar.finish_and_clear();
        let rows = match rows {
            Ok(rows) => rows,
            Err(why @ Failed::Bad(_)) => return Ended::Usage.because(why),
            Err(why @ Failed::Disk(_)) => return Ended::Machine.because(why),
        };
        let summary = summary(&rows, &planned.against);
        let path = self.out.join("summary.csv");
        if let Err(why) = std::fs::write(&path, as_csv(&summary)) {
            return Ended::Machine.because(format!("cannot write `{}`: {why}", path.display()));
        }
        println!(
            "{:<44} {:<18} {:>4}  {:<24} {:<26} {:>8}",
            "scenario", "policy", "runs", "service", "less", "p99 ms"
        );
        for s in &summary {
            let difference = s
                .difference
                .map_or(String::new(), |d| format!("{:+.3} ({:+.3} to {:+.3})", d.mean, d.low, d.high));
            let service = format!("{:.3} ({:.3} to {:.3})", s.service.mean, s.service.low, s.service.high);
            println!(
                "{:<44} {:<18} {:>4}  {service:<24} {difference:<26} {:>8.0}",
                s.group, s.policy, s.runs, s.p99_ms.mean
            );
        }
        let broken: usize = summary.iter().map(|s| s.breaches).sum();
        if broken > 0 {
            return Ended::Broke
                .because(format!("rules broke {broken} times; rows.jsonl says in which runs"));
        }
        Ended::Held
    }
}
