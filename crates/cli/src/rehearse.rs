//! `troutknot rehearse`: plays a scenario on real sockets against real nodes, and prints the verdict.
use crate::verdict::format_report;
use crate::{Ended, check};
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

/// Factors by which `--time-scale` may stretch a day.
const TIME_SCALES: std::ops::RangeInclusive<f64> = 0.1..=100.0;
/// How often the progress bar is drawn.
const PROGRESS_INTERVAL: Duration = Duration::from_millis(200);

/// Play a scenario on real sockets with real nodes and say whether the four rules held
#[derive(Args)]
#[command(after_help = "Example: troutknot rehearse scenarios/iftar.toml --seed 7 --report report.json

Exit status: 0 all held, 1 a rule broke or less service than expected, 2 a file that cannot be used,
3 the machine could not carry it.")]
pub struct Rehearse {
    scenario: PathBuf,
    /// Seed of the plan; the scenario's own if not given
    #[arg(long)]
    seed: Option<u64>,
    /// Write all figures and breaches to this file
    #[arg(long, value_name = "FILE.json")]
    report: Option<PathBuf>,
    /// Factor of the day's length, at the same rate; deadlines, timeouts and running times stay as they are
    #[arg(long, default_value_t = 1.0)]
    time_scale: f64,
    /// Print the report as JSON
    #[arg(long)]
    json: bool,
    /// Store the nodes' logs and configurations in this folder
    #[arg(long, value_name = "FOLDER")]
    logs: Option<PathBuf>,
    /// The program that runs a node; this one if not given
    #[arg(long, value_name = "PROGRAM")]
    node: Option<PathBuf>,
}

impl Rehearse {
    /// Plays the scenario and prints the report on standard output.
    pub fn run(self) -> Ended {
        self.play().unwrap_or_else(|ended| ended)
    }

    /// # Errors
    /// How the command ended before the day was played, once the reason is on standard error.
    fn play(&self) -> Result<Ended, Ended> {
        let scenario = self.scenario()?;
        let program = self.program()?;
        let folder = self.folder()?;
        let seed = self.seed.unwrap_or(scenario.seed);
        let progress = Arc::new(Progress::default());
        let bar = DayProgress::start(millis(scenario.length) as u64, progress.clone());
        let played = rehearse(&scenario, seed, Arc::new(program), folder.path(), progress);
        bar.finish();
        let report = played.map_err(|error| Ended::Machine.because(error))?;
        self.print(&report)?;
        Ok(outcome(&report))
    }

    fn scenario(&self) -> Result<Arc<Scenario>, Ended> {
        let mut scenario = check::scenario(&self.scenario).map_err(|error| Ended::Usage.because(error))?;
        if !TIME_SCALES.contains(&self.time_scale) {
            let (shortest, longest) = (TIME_SCALES.start(), TIME_SCALES.end());
            let text = format!("--time-scale is {}; {shortest} to {longest} is allowed", self.time_scale);
            return Err(Ended::Usage.because(text));
        }
        scenario.stretch(self.time_scale);
        Ok(Arc::new(scenario))
    }

    fn program(&self) -> Result<NodeProgram, Ended> {
        if let Some(path) = &self.node {
            return Ok(NodeProgram { path: path.clone(), args: Vec::new() });
        }
        match std::env::current_exe() {
            Ok(path) => Ok(NodeProgram { path, args: vec!["node".into()] }),
            Err(error) => Err(Ended::Machine.because(format!("cannot find this program: {error}"))),
        }
    }

    fn folder(&self) -> Result<LogFolder, Ended> {
        let Some(folder) = &self.logs else {
            let made = tempfile::tempdir().map(LogFolder::Temporary);
            return made.map_err(|error| Ended::Machine.because(format!("no folder for logs: {error}")));
        };
        match std::fs::create_dir_all(folder) {
            Ok(()) => Ok(LogFolder::Named(folder.clone())),
            Err(error) => Err(Ended::Usage.because(format!("cannot make `{}`: {error}", folder.display()))),
        }
    }

    /// Writes the report file, if one is named, and prints the report.
    fn print(&self, report: &Report) -> Result<(), Ended> {
        let json = serde_json::to_string_pretty(report).map_err(|error| Ended::Machine.because(error))?;
        if let Some(path) = &self.report
            && let Err(error) = std::fs::write(path, &json)
        {
            return Err(Ended::Usage.because(format!("cannot write `{}`: {error}", path.display())));
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

/// The progress bar of a day, drawn by a thread of its own; hidden if standard error is no terminal.
struct DayProgress {
    bar: ProgressBar,
    stop: mpsc::Sender<()>,
    drawing: JoinHandle<()>,
}

impl DayProgress {
    fn start(length_ms: u64, progress: Arc<Progress>) -> Self {
        let bar = ProgressBar::with_draw_target(Some(length_ms), ProgressDrawTarget::stderr());
        if let Ok(style) = ProgressStyle::with_template("{bar:40} {msg}") {
            bar.set_style(style);
        }
        let (stop, stopped) = mpsc::channel();
        let shown = bar.clone();
        let drawing = thread::spawn(move || {
            while stopped.recv_timeout(PROGRESS_INTERVAL) == Err(RecvTimeoutError::Timeout) {
                draw(&shown, &progress, length_ms);
            }
        });
        DayProgress { bar, stop, drawing }
    }

    fn finish(self) {
        drop(self.stop);
        // The thread only draws: a panic in it does not concern the day.
        let _ = self.drawing.join();
        self.bar.finish_and_clear();
    }
}

fn draw(bar: &ProgressBar, progress: &Progress, length_ms: u64) {
    let at_ms = progress.elapsed_ms.load(Ordering::Relaxed);
    let over = progress.ended_requests.load(Ordering::Relaxed);
    bar.set_position(at_ms as u64);
    bar.set_message(format!("{:.0} of {:.0} s, {over} over", at_ms as f64 / 1e3, length_ms as f64 / 1e3));
}

fn outcome(report: &Report) -> Ended {
    if !report.is_on_schedule() {
        let (clients, executors) = (report.clients_late_p99_ms, report.executors_late_p99_ms);
        return Ended::Machine.because(format!(
            "the machine did not carry it: one time in a hundred, clients were {clients:.0} ms late and \
             executors {executors:.0} ms"
        ));
    }
    if report.has_passed() { Ended::Held } else { Ended::Broke }
}
