//! `troutknot rehearse`: runs a scenario on real sockets against real nodes, and prints the verdict.
use crate::verdict::format_report;
use crate::{ExitStatus, check};
use clap::Args;
use indicatif::{ProgressBar, ProgressDrawTarget, ProgressStyle};
use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::sync::mpsc::{self, RecvTimeoutError};
use std::thread::{self, JoinHandle};
use std::time::Duration;
use troutknot_rehearsal::node_process::NodeProgram;
use troutknot_rehearsal::run::{Progress, Report, rehearse};
use troutknot_rehearsal::scenario::{Scenario, millis};

/// Allowed values of `--time-scale`.
const ALLOWED_TIME_SCALES: std::ops::RangeInclusive<f64> = 0.1..=100.0;
/// Interval at which the progress bar is drawn.
const PROGRESS_INTERVAL: Duration = Duration::from_millis(200);

/// Run a scenario on real sockets with real nodes, and report whether the four rules held
#[derive(Args)]
#[command(after_help = "Example: troutknot rehearse scenarios/iftar.toml --seed 7 --report report.json

Exit status: 0 all held, 1 a rule was violated or less service than expected, 2 a file that cannot be used,
3 the machine could not complete the run or was too slow for it.")]
pub struct Rehearse {
    scenario: PathBuf,
    /// Seed of the plan; by default the scenario's
    #[arg(long)]
    seed: Option<u64>,
    /// Write the report with all rule violations to this file (JSON)
    #[arg(long, value_name = "FILE.json")]
    report: Option<PathBuf>,
    /// Factor of the scenario's length, at the same request rate; deadlines, timeouts and running times do not change
    #[arg(long, default_value_t = 1.0)]
    time_scale: f64,
    /// Print the report as JSON
    #[arg(long)]
    json: bool,
    /// Store the nodes' logs and configurations in this folder
    #[arg(long, value_name = "FOLDER")]
    logs: Option<PathBuf>,
    /// The program that runs a node; by default this one
    #[arg(long, value_name = "PROGRAM")]
    node: Option<PathBuf>,
}

impl Rehearse {
    /// Runs the rehearsal and prints the report on standard output.
    pub fn run(self) -> ExitStatus {
        self.try_run().unwrap_or_else(|status| status)
    }

    /// Runs the rehearsal and prints the report; returns the exit status.
    ///
    /// # Errors
    /// The exit status if the rehearsal failed or its report cannot be written. The reason has been printed on standard
    /// error.
    fn try_run(&self) -> Result<ExitStatus, ExitStatus> {
        let scenario = self.read_scenario()?;
        let program = self.node_program()?;
        let folder = self.create_log_folder()?;
        let seed = self.seed.unwrap_or(scenario.seed);
        let progress = Arc::new(Progress::default());
        let bar = RehearsalProgress::start(millis(scenario.length) as u64, progress.clone());
        let result = rehearse(&scenario, seed, Arc::new(program), folder.path(), progress);
        bar.finish();
        let report = result.map_err(|error| ExitStatus::Machine.report(error))?;
        self.write_report(&report)?;
        Ok(exit_status(&report))
    }

    /// Reads the scenario and applies `--time-scale` to it.
    fn read_scenario(&self) -> Result<Arc<Scenario>, ExitStatus> {
        let mut scenario =
            check::scenario(&self.scenario).map_err(|error| ExitStatus::Usage.report(error))?;
        if !ALLOWED_TIME_SCALES.contains(&self.time_scale) {
            let (shortest, longest) = (ALLOWED_TIME_SCALES.start(), ALLOWED_TIME_SCALES.end());
            let text = format!("--time-scale is {}; {shortest} to {longest} is allowed", self.time_scale);
            return Err(ExitStatus::Usage.report(text));
        }
        scenario.stretch(self.time_scale);
        Ok(Arc::new(scenario))
    }

    fn node_program(&self) -> Result<NodeProgram, ExitStatus> {
        if let Some(path) = &self.node {
            return Ok(NodeProgram { path: path.clone(), args: Vec::new() });
        }
        match std::env::current_exe() {
            Ok(path) => Ok(NodeProgram { path, args: vec!["node".into()] }),
            Err(error) => Err(ExitStatus::Machine.report(format!("cannot find this program: {error}"))),
        }
    }

    /// Creates the folder of `--logs`, or a temporary one without the option.
    fn create_log_folder(&self) -> Result<LogFolder, ExitStatus> {
        let Some(folder) = &self.logs else {
            let folder = tempfile::tempdir().map(LogFolder::Temporary);
            return folder.map_err(|error| {
                ExitStatus::Machine.report(format!("cannot create a folder for logs: {error}"))
            });
        };
        match std::fs::create_dir_all(folder) {
            Ok(()) => Ok(LogFolder::Named(folder.clone())),
            Err(error) => {
                Err(ExitStatus::Usage.report(format!("cannot create `{}`: {error}", folder.display())))
            }
        }
    }

    /// Writes the report file, if one is named, and prints the report.
    fn write_report(&self, report: &Report) -> Result<(), ExitStatus> {
        let json = serde_json::to_string_pretty(report).map_err(|error| ExitStatus::Machine.report(error))?;
        if let Some(path) = &self.report
            && let Err(error) = std::fs::write(path, &json)
        {
            return Err(ExitStatus::Usage.report(format!("cannot write `{}`: {error}", path.display())));
        }
        print!("{}", if self.json { json + "\n" } else { format_report(report) });
        Ok(())
    }
}

/// The folder of the nodes' logs; a temporary one is removed when it is dropped.
enum LogFolder {
    Named(PathBuf),
    Temporary(tempfile::TempDir),
}

impl LogFolder {
    fn path(&self) -> &Path {
        match self {
            LogFolder::Named(path) => path,
            LogFolder::Temporary(folder) => folder.path(),
        }
    }
}

/// The progress bar of a rehearsal, drawn by its own thread; hidden if standard error is not a terminal.
struct RehearsalProgress {
    bar: ProgressBar,
    stop: mpsc::Sender<()>,
    draw_thread: JoinHandle<()>,
}

impl RehearsalProgress {
    fn start(length_ms: u64, progress: Arc<Progress>) -> Self {
        let bar = ProgressBar::with_draw_target(Some(length_ms), ProgressDrawTarget::stderr());
        if let Ok(style) = ProgressStyle::with_template("{bar:40} {msg}") {
            bar.set_style(style);
        }
        let (stop, stopped) = mpsc::channel();
        let drawn_bar = bar.clone();
        let draw_thread = thread::spawn(move || {
            while stopped.recv_timeout(PROGRESS_INTERVAL) == Err(RecvTimeoutError::Timeout) {
                draw(&drawn_bar, &progress, length_ms);
            }
        });
        RehearsalProgress { bar, stop, draw_thread }
    }

    fn finish(self) {
        drop(self.stop);
        // The thread only draws, so a panic in it does not affect the rehearsal.
        let _ = self.draw_thread.join();
        self.bar.finish_and_clear();
    }
}

fn draw(bar: &ProgressBar, progress: &Progress, length_ms: u64) {
    let at_ms = progress.elapsed_ms.load(Ordering::Relaxed);
    let finished = progress.ended_requests.load(Ordering::Relaxed);
    bar.set_position(at_ms as u64);
    bar.set_message(format!(
        "{:.0} of {:.0} s, {finished} finished",
        at_ms as f64 / 1e3,
        length_ms as f64 / 1e3
    ));
}

fn exit_status(report: &Report) -> ExitStatus {
    if !report.is_on_schedule() {
        let (clients, executors) = (report.clients_late_p99_ms, report.executors_late_p99_ms);
        return ExitStatus::Machine.report(format!(
            "the machine was too slow for the scenario: at p99, clients were {clients:.0} ms late and executors \
             {executors:.0} ms"
        ));
    }
    if report.has_passed() { ExitStatus::Passed } else { ExitStatus::Violated }
}
