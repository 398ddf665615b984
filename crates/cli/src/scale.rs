//! `troutknot scale`: measures real nodes among thousands of hollow executors, and prints what held.
use crate::{Ended, check};
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

/// File name that means standard output.
const STANDARD_OUTPUT: &str = "-";

/// Measure some real nodes among thousands of hollow executors and hollow nodes
#[derive(Args)]
#[command(after_help = "\
The table goes to standard output: what the run is held to, then each measurement over the size of the fleet, with
the line through it. A star marks a value over its bound. With --json - the rows go there instead. NO_COLOR is kept to.
Exit status: 0 all held, 1 a rule broke or a bound was missed, 2 wrong usage or a file that cannot be used,
3 the machine could not carry it, or the run was not played to its end.

Example: troutknot scale scenarios/scale/small.toml --json rows.jsonl && troutknot scale --fit rows.jsonl")]
pub struct Scale {
    /// The scale file
    #[arg(required_unless_present_any = ["fit", "executor_worker"])]
    file: Option<PathBuf>,
    /// Seed of faults and loads; the file's own if not given
    #[arg(long)]
    seed: Option<u64>,
    /// Write each row as a JSON line to this file, `-` for standard output, as soon as it is measured
    #[arg(long, value_name = "FILE")]
    json: Option<PathBuf>,
    /// Read the rows of an earlier run, and print its table again
    #[arg(long, value_name = "ROWS", conflicts_with_all = ["file", "seed", "json", "node"])]
    fit: Option<PathBuf>,
    /// The program that runs a node; this one if not given
    #[arg(long, value_name = "PROGRAM")]
    node: Option<PathBuf>,
    /// Hold a part of the hollow executors for the run that started this process
    #[arg(long, hide = true, conflicts_with_all = ["file", "seed", "json", "node", "fit"])]
    executor_worker: bool,
}

/// How often the progress is drawn.
const DRAW_INTERVAL: Duration = Duration::from_millis(200);

/// Arguments that start this program as an executor worker.
const EXECUTOR_WORKER: [&str; 2] = ["scale", "--executor-worker"];

impl Scale {
    /// Measures, prints an earlier run again, or serves as an executor worker.
    pub fn run(self) -> Ended {
        if self.executor_worker {
            return match executor_worker::run() {
                Ok(()) => Ended::Held,
                Err(error) => Ended::Machine.because(format!("executors: {error}")),
            };
        }
        match (&self.fit, &self.file) {
            (Some(rows), _) => print_again(rows),
            (None, Some(file)) => self.measure(file),
            (None, None) => {
                Ended::Usage.because("a scale file, or --fit with rows of an earlier run, is needed")
            }
        }
    }

    fn measure(&self, path: &Path) -> Ended {
        self.try_measure(path).unwrap_or_else(|ended| ended)
    }

    /// # Errors
    /// How the command ended, once the reason is on standard error.
    fn try_measure(&self, path: &Path) -> Result<Ended, Ended> {
        let mut file = check::scale_file(path).map_err(|error| Ended::Usage.because(error))?;
        file.seed = self.seed.unwrap_or(file.seed);
        let programs = self.programs()?;
        let json = self.json.as_deref().map(open_json).transpose();
        let mut recorder = RowRecorder::new(json.map_err(|error| Ended::Usage.because(error))?);
        let ran = campaign::run(&file, &programs, &mut |row| recorder.record(row));
        if ran.is_ok() {
            recorder.record_end();
        }
        let RowRecorder { rows, write_error, bar, .. } = recorder;
        bar.finish_and_clear();
        let rows_on_standard_output = self.json.as_deref() == Some(Path::new(STANDARD_OUTPUT));
        if !rows.is_empty() && !rows_on_standard_output {
            print_table(&rows).map_err(|error| Ended::Machine.because(error))?;
        }
        Ok(match (ran, write_error) {
            (Err(error), _) => ended_by(&error).because(error),
            (Ok(()), Some(error)) => Ended::Machine.because(format!("cannot write rows: {error}")),
            (Ok(()), None) => judged(&rows),
        })
    }

    fn programs(&self) -> Result<Programs, Ended> {
        let this_program = std::env::current_exe();
        let this_program = this_program
            .map_err(|error| Ended::Machine.because(format!("cannot find this program: {error}")))?;
        let arguments = EXECUTOR_WORKER.map(String::from).to_vec();
        Ok(Programs {
            node: NodeProgram::at(self.node.as_ref().unwrap_or(&this_program)),
            worker: Some(WorkerProgram { path: this_program, arguments }),
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

/// Collects the rows of a run, writes each at once, and shows the progress.
struct RowRecorder {
    rows: Vec<Row>,
    json: Option<Box<dyn Write>>,
    /// The first failed write; no row is written after it.
    write_error: Option<io::Error>,
    bar: ProgressBar,
    started: Instant,
}

impl RowRecorder {
    fn new(json: Option<Box<dyn Write>>) -> Self {
        // Hidden if standard error is no terminal.
        let bar = ProgressBar::with_draw_target(None, ProgressDrawTarget::stderr());
        if let Ok(style) = ProgressStyle::with_template("{spinner} {elapsed} {msg}") {
            bar.set_style(style);
        }
        bar.enable_steady_tick(DRAW_INTERVAL);
        RowRecorder { rows: Vec::new(), json, write_error: None, bar, started: Instant::now() }
    }

    fn record(&mut self, row: Row) {
        if let Row::Figure(figure) = &row {
            let (phase, executors, count) = (figure.phase, figure.executors, self.rows.len() + 1);
            self.bar.set_message(format!("{phase}, {executors} executors, {count} rows"));
        }
        // One write per row, so that a killed run leaves complete rows.
        if let Some(json) = &mut self.json
            && self.write_error.is_none()
        {
            let written = json.write_all(format!("{row}\n").as_bytes()).and_then(|()| json.flush());
            self.write_error = written.err();
        }
        self.rows.push(row);
    }

    fn record_end(&mut self) {
        self.record(Row::End(End { at_seconds: self.started.elapsed().as_secs_f64() }));
    }
}

/// The exit status of a failed run: a node that ends or does not become ready breaks its bounds.
fn ended_by(error: &RunError) -> Ended {
    match error {
        RunError::NodeEnded { .. }
        | RunError::NotReady { .. }
        | RunError::ListNotReceived { .. }
        | RunError::NotReloaded { .. } => Ended::Broke,
        _ => Ended::Machine,
    }
}

fn judged(rows: &[Row]) -> Ended {
    match evaluate(rows) {
        Some(judgements) if !judgements.is_complete => {
            Ended::Machine.because("the run was not played to its end")
        }
        Some(judgements) if judgements.has_passed() => Ended::Held,
        _ => Ended::Broke,
    }
}

fn print_table(rows: &[Row]) -> Result<(), OutputError> {
    let mut out = io::stdout();
    let is_plain = std::env::var_os("NO_COLOR").is_some_and(|value| !value.is_empty());
    let style = if out.is_terminal() && !is_plain { Style::Coloured } else { Style::Plain };
    out.write_all(render_table(rows, style).as_bytes()).map_err(OutputError::Table)
}

fn print_again(path: &Path) -> Ended {
    let unreadable =
        |error: &dyn std::fmt::Display| Ended::Usage.because(format!("`{}`: {error}", path.display()));
    let file = match File::open(path) {
        Ok(file) => file,
        Err(error) => return unreadable(&error),
    };
    let rows = match read_rows(BufReader::new(file)) {
        Ok(rows) => rows,
        Err(error) => return unreadable(&error),
    };
    match print_table(&rows) {
        Ok(()) => judged(&rows),
        Err(error) => Ended::Machine.because(error),
    }
}
