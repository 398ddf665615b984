//! `troutknot scale`: measures real nodes in a fleet of thousands of hollow executors, and prints which bounds held.
use crate::{ExitStatus, check};
use clap::Args;
use indicatif::{ProgressBar, ProgressDrawTarget, ProgressStyle};
use std::fs::File;
use std::io::{self, BufReader, IsTerminal, Write};
use std::path::{Path, PathBuf};
use std::time::{Duration, Instant};
use thiserror::Error;
use troutknot_scale::campaign::{self, Programs, RunError};
use troutknot_scale::evaluation::evaluate;
use troutknot_scale::executor_worker::{self, WorkerProgram};
use troutknot_scale::node_process::NodeProgram;
use troutknot_scale::row::{End, Row, read_rows};
use troutknot_scale::table::{Style, render_table};

/// The file name that stands for standard output.
const STANDARD_OUTPUT: &str = "-";

/// Measure real nodes in a fleet of thousands of hollow executors and hollow nodes
#[derive(Args)]
#[command(after_help = "\
Prints a table on standard output: the bounds of the run, then each measurement by size of the fleet, with the line
fitted to it. A star marks a value over its bound. With --json - the rows are printed instead. NO_COLOR is respected.
Exit status: 0 all held, 1 a rule was violated or a bound was missed, 2 wrong usage or a file that cannot be used,
3 the machine lacks the capacity for the run, or the run did not complete.

Example: troutknot scale scenarios/scale/small.toml --json rows.jsonl && troutknot scale --fit rows.jsonl")]
pub struct Scale {
    /// The scale file
    #[arg(required_unless_present_any = ["fit", "executor_worker"])]
    file: Option<PathBuf>,
    /// Seed of faults and loads; by default the file's
    #[arg(long)]
    seed: Option<u64>,
    /// Write each row as a JSON line to this file as soon as it is measured; `-` for standard output
    #[arg(long, value_name = "FILE")]
    json: Option<PathBuf>,
    /// Print the table of an earlier run from its rows
    #[arg(long, value_name = "ROWS", conflicts_with_all = ["file", "seed", "json", "node"])]
    fit: Option<PathBuf>,
    /// The program that runs a node; by default this one
    #[arg(long, value_name = "PROGRAM")]
    node: Option<PathBuf>,
    /// Serve a part of the hollow executors for the run that started this process
    #[arg(long, hide = true, conflicts_with_all = ["file", "seed", "json", "node", "fit"])]
    executor_worker: bool,
}

/// Interval at which the progress display is redrawn.
const DRAW_INTERVAL: Duration = Duration::from_millis(200);

/// Arguments that start this program as an executor worker.
const EXECUTOR_WORKER_ARGUMENTS: [&str; 2] = ["scale", "--executor-worker"];

impl Scale {
    /// Measures, prints the table of an earlier run, or serves as an executor worker.
    pub fn run(self) -> ExitStatus {
        if self.executor_worker {
            return match executor_worker::run() {
                Ok(()) => ExitStatus::Passed,
                Err(error) => ExitStatus::Machine.report(format!("executor worker: {error}")),
            };
        }
        match (&self.fit, &self.file) {
            (Some(rows), _) => reprint_table(rows),
            (None, Some(file)) => self.measure(file),
            (None, None) => {
                ExitStatus::Usage.report("a scale file, or --fit with rows of an earlier run, is needed")
            }
        }
    }

    fn measure(&self, path: &Path) -> ExitStatus {
        self.try_measure(path).unwrap_or_else(|status| status)
    }

    /// Measures, and prints the table unless the rows are printed on standard output.
    ///
    /// # Errors
    /// The exit status if the run cannot start or its table cannot be printed. The reason has been printed on standard
    /// error.
    fn try_measure(&self, path: &Path) -> Result<ExitStatus, ExitStatus> {
        let mut file = check::scale_file(path).map_err(|error| ExitStatus::Usage.report(error))?;
        file.seed = self.seed.unwrap_or(file.seed);
        let programs = self.programs()?;
        let json = self.json.as_deref().map(open_json).transpose();
        let mut recorder = RowRecorder::new(json.map_err(|error| ExitStatus::Usage.report(error))?);
        let result = campaign::run(&file, &programs, &mut |row| recorder.record(row));
        if result.is_ok() {
            recorder.record_end();
        }
        let RowRecorder { rows, write_error, bar, .. } = recorder;
        bar.finish_and_clear();
        let is_json_on_standard_output = self.json.as_deref() == Some(Path::new(STANDARD_OUTPUT));
        if !rows.is_empty() && !is_json_on_standard_output {
            print_table(&rows).map_err(|error| ExitStatus::Machine.report(error))?;
        }
        Ok(match (result, write_error) {
            (Err(error), _) => failure_status(&error).report(error),
            (Ok(()), Some(error)) => ExitStatus::Machine.report(format!("cannot write rows: {error}")),
            (Ok(()), None) => evaluation_status(&rows),
        })
    }

    fn programs(&self) -> Result<Programs, ExitStatus> {
        let own_path = std::env::current_exe();
        let own_path = own_path
            .map_err(|error| ExitStatus::Machine.report(format!("cannot find this program: {error}")))?;
        let arguments = EXECUTOR_WORKER_ARGUMENTS.map(String::from).to_vec();
        Ok(Programs {
            node: NodeProgram::at(self.node.as_ref().unwrap_or(&own_path)),
            worker: Some(WorkerProgram { path: own_path, arguments }),
        })
    }
}

/// Why rows or the table cannot be read or written.
#[derive(Debug, Error)]
enum OutputError {
    #[error("cannot write `{}`: {error}", path.display())]
    Create {
        path: PathBuf,
        #[source]
        error: io::Error,
    },
    #[error("cannot write the table: {0}")]
    Table(#[source] io::Error),
}

fn open_json(path: &Path) -> Result<Box<dyn Write>, OutputError> {
    if path == Path::new(STANDARD_OUTPUT) {
        return Ok(Box::new(io::stdout()));
    }
    match File::create(path) {
        Ok(file) => Ok(Box::new(file)),
        Err(error) => Err(OutputError::Create { path: path.to_owned(), error }),
    }
}

/// Collects the rows of a run, writes each of them immediately if a file is given, and shows the progress.
struct RowRecorder {
    rows: Vec<Row>,
    json: Option<Box<dyn Write>>,
    /// The first failed write; no row is written after it.
    write_error: Option<io::Error>,
    bar: ProgressBar,
    started_at: Instant,
}

impl RowRecorder {
    fn new(json: Option<Box<dyn Write>>) -> Self {
        // Hidden if standard error is not a terminal.
        let bar = ProgressBar::with_draw_target(None, ProgressDrawTarget::stderr());
        if let Ok(style) = ProgressStyle::with_template("{spinner} {elapsed} {msg}") {
            bar.set_style(style);
        }
        bar.enable_steady_tick(DRAW_INTERVAL);
        RowRecorder { rows: Vec::new(), json, write_error: None, bar, started_at: Instant::now() }
    }

    fn record(&mut self, row: Row) {
        if let Row::Figure(figure) = &row {
            let (phase, executors, count) = (figure.phase, figure.executors, self.rows.len() + 1);
            self.bar.set_message(format!("{phase}, {executors} executors, {count} rows"));
        }
        // One write per row, so that an interrupted run leaves complete rows.
        if let Some(json) = &mut self.json
            && self.write_error.is_none()
        {
            let written = json.write_all(format!("{row}\n").as_bytes()).and_then(|()| json.flush());
            self.write_error = written.err();
        }
        self.rows.push(row);
    }

    fn record_end(&mut self) {
        self.record(Row::End(End { at_seconds: self.started_at.elapsed().as_secs_f64() }));
    }
}

/// Returns the exit status of a failed run. A node that ends by itself, or that is not ready, notified or reloaded in
/// time, counts as a violated bound.
fn failure_status(error: &RunError) -> ExitStatus {
    match error {
        RunError::NodeEnded { .. }
        | RunError::NotReady { .. }
        | RunError::ListNotReceived { .. }
        | RunError::NotReloaded { .. } => ExitStatus::Violated,
        _ => ExitStatus::Machine,
    }
}

/// Evaluates the rows of a run and returns the exit status; also reports a run that did not complete.
fn evaluation_status(rows: &[Row]) -> ExitStatus {
    match evaluate(rows) {
        Some(evaluation) if !evaluation.is_complete => ExitStatus::Machine.report("the run did not complete"),
        Some(evaluation) if evaluation.has_passed() => ExitStatus::Passed,
        _ => ExitStatus::Violated,
    }
}

fn print_table(rows: &[Row]) -> Result<(), OutputError> {
    let mut out = io::stdout();
    let is_plain = std::env::var_os("NO_COLOR").is_some_and(|value| !value.is_empty());
    let style = if out.is_terminal() && !is_plain { Style::Coloured } else { Style::Plain };
    out.write_all(render_table(rows, style).as_bytes()).map_err(OutputError::Table)
}

fn reprint_table(path: &Path) -> ExitStatus {
    let unreadable =
        |error: &dyn std::fmt::Display| ExitStatus::Usage.report(format!("`{}`: {error}", path.display()));
    let file = match File::open(path) {
        Ok(file) => file,
        Err(error) => return unreadable(&error),
    };
    let rows = match read_rows(BufReader::new(file)) {
        Ok(rows) => rows,
        Err(error) => return unreadable(&error),
    };
    match print_table(&rows) {
        Ok(()) => evaluation_status(&rows),
        Err(error) => ExitStatus::Machine.report(error),
    }
}
