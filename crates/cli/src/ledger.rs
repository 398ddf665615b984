//! `troutknot ledger`: inspects, verifies and compacts the ledger of durable requests.
use crate::ExitStatus;
use clap::{Args, Subcommand};
use std::path::{Path, PathBuf};
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use thiserror::Error;
use troutknot::Millis;
use troutknot_ledger::store::{Reader, Rows, Store, StoreError};
use troutknot_ledger::{AttemptStatus, Job, Ledger};

/// Inspect, verify or compact the ledger of durable requests
#[derive(Args)]
pub struct LedgerArgs {
    #[command(subcommand)]
    verb: Verb,
}

#[derive(Subcommand)]
enum Verb {
    /// List open requests and their age; the node may be running
    #[command(after_help = "Example: troutknot ledger show /var/lib/troutknot/ledger")]
    Show {
        path: PathBuf,
        /// List answered requests as well
        #[arg(long)]
        all: bool,
    },
    /// Check every row and the order of the records, and report each damaged row
    #[command(after_help = "Example: troutknot ledger verify /var/lib/troutknot/ledger

Exit status: 0 good, 1 damaged, 2 a file that is missing or cannot be read.")]
    Verify { path: PathBuf },
    /// Return free pages to the file system; the node must not be running
    #[command(after_help = "Example: troutknot ledger compact /var/lib/troutknot/ledger")]
    Compact { path: PathBuf },
}

impl LedgerArgs {
    /// Runs the command; prints its result on standard output and its error on standard error.
    pub fn run(self) -> ExitStatus {
        let (path, status) = match &self.verb {
            Verb::Show { path, all } => (path, show(path, *all)),
            Verb::Verify { path } => (path, verify(path)),
            Verb::Compact { path } => (path, compact(path)),
        };
        status
            .unwrap_or_else(|error| ExitStatus::Usage.report(format!("ledger `{}`: {error}", path.display())))
    }
}

/// The restored state of a ledger file, and every fault found in it.
struct LedgerContents {
    ledger: Ledger,
    rows: u64,
    faults: Vec<String>,
}

/// Why a ledger cannot be inspected or compacted.
#[derive(Debug, Error)]
enum LedgerCommandError {
    /// The file does not exist; opening it would create one.
    #[error("no such file")]
    Missing,
    #[error(transparent)]
    Store(#[from] StoreError),
}

fn read(path: &Path) -> Result<LedgerContents, LedgerCommandError> {
    let reader = Reader::open(path)?;
    let mut contents = LedgerContents { ledger: Ledger::default(), rows: 0, faults: Vec::new() };
    let result = reader.for_each_row(|row| {
        contents.rows += 1;
        let restored = row.map_err(|error| error.to_string()).and_then(|row| {
            let (request_id, sequence) = (row.record.request_id().0, row.sequence);
            contents
                .ledger
                .restore(&row)
                .map_err(|error| format!("row {sequence} of request {request_id}: {error}"))
        });
        contents.faults.extend(restored.err());
    });
    contents.faults.extend(result.err().map(|error| error.to_string()));
    Ok(contents)
}

/// Unix time in milliseconds.
fn now() -> Millis {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_secs_f64() * 1000.0
}

fn format_duration(millis: Millis) -> String {
    humantime::format_duration(Duration::from_millis(millis.max(0.0) as u64)).to_string()
}

fn format_state(job: &Job, now: Millis) -> String {
    match (job.answered_at, job.attempts.last()) {
        (Some(at), _) => format!("answered {} ago", format_duration(now - at)),
        (None, None) => "recorded, not dispatched".into(),
        (None, Some(last)) => {
            let status = match last.status(now) {
                AttemptStatus::InFlight => "in flight",
                AttemptStatus::Unknown => "unknown, its lease has expired",
                AttemptStatus::NeverRan => "never ran",
                AttemptStatus::MayHaveRun => "may have run",
                AttemptStatus::Completed => "completed",
            };
            format!("attempt {} at {}: {status}", last.fence.0, last.executor)
        }
    }
}

fn show(path: &Path, show_answered: bool) -> Result<ExitStatus, LedgerCommandError> {
    let LedgerContents { ledger, rows, faults } = read(path)?;
    let (now, open) = (now(), ledger.open_jobs().count());
    println!("{} requests on record, {open} open; {rows} rows", ledger.len());
    let mut shown: Vec<&Job> = ledger.jobs().map(|(_, job)| job).collect();
    shown.retain(|job| show_answered || job.answered_at.is_none());
    shown.sort_by(|one, other| one.accepted_at.total_cmp(&other.accepted_at));
    for job in shown {
        let remaining = if job.answered_at.is_some() {
            String::new()
        } else if job.deadline > now {
            format!(", {} to its deadline", format_duration(job.deadline - now))
        } else {
            format!(", {} past its deadline", format_duration(now - job.deadline))
        };
        println!(
            "{}: recorded {} ago{remaining}; {}",
            job.client_id,
            format_duration(now - job.accepted_at),
            format_state(job, now)
        );
    }
    let fault = faults.first().map(|first| format!("{first}; `troutknot ledger verify` lists all faults"));
    Ok(fault.map_or(ExitStatus::Passed, |fault| ExitStatus::Violated.report(fault)))
}

fn verify(path: &Path) -> Result<ExitStatus, LedgerCommandError> {
    let LedgerContents { ledger, rows, faults } = read(path)?;
    if faults.is_empty() {
        println!("good: {rows} rows of {} requests", ledger.len());
        return Ok(ExitStatus::Passed);
    }
    Ok(ExitStatus::Violated.report(faults.join("\n")))
}

fn compact(path: &Path) -> Result<ExitStatus, LedgerCommandError> {
    if !path.exists() {
        return Err(LedgerCommandError::Missing);
    }
    let size = || std::fs::metadata(path).map_or(0, |metadata| metadata.len());
    let before = size();
    let mut store = Store::open(path)?;
    while store.compact()? {}
    drop(store);
    println!("{before} bytes before, {} after", size());
    Ok(ExitStatus::Passed)
}
