//! A thread that writes rows: all that wait are written with one sync. A disk that errs is opened again now and
//! then; what was to be written stays in order until it is there, and whoever waits is told at once.
use crate::store::{Rows, Store, StoreError, Wear};
use crate::{Ledger, Row};
use std::collections::VecDeque;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::mpsc::{Receiver, RecvTimeoutError, Sender, channel};
use std::sync::{Arc, Mutex};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};
use troutknot::RequestId;

/// So many rows at most go into one sync.
const MOST_ROWS: usize = 4096;
/// What nobody waits for is written after so long at the latest.
const LATER: Duration = Duration::from_millis(100);
/// How long a disk that erred is let alone.
const OPEN_AGAIN: Duration = Duration::from_millis(500);

/// The rows are not on disk, or not known to be.
#[derive(Clone, PartialEq, Eq, Debug, thiserror::Error)]
#[error("not written: {0}")]
pub struct NotWritten(pub String);

type Written = Box<dyn FnOnce(Result<(), NotWritten>) + Send>;
type Found = Box<dyn FnOnce(Result<Vec<Row>, String>) + Send>;

enum Job {
    Write(Vec<Row>, Written),
    /// Nobody waits for it.
    Later(Row),
    Read(RequestId, Found),
}

/// How the disk does, told without waiting for it.
#[derive(Default)]
pub struct Health {
    failing: AtomicBool,
    /// Since when the thread is at a commit, in milliseconds since the start and 1; 0 for none.
    busy: AtomicU64,
    /// The last error.
    why: Mutex<String>,
    pub commits: AtomicU64,
    pub rows: AtomicU64,
}

pub struct Committer {
    jobs: Option<Sender<Job>>,
    health: Arc<Health>,
    start: Instant,
    thread: Option<JoinHandle<()>>,
    wear: Arc<Wear>,
}

/// How a ledger is opened again after its disk erred.
pub type Open = Box<dyn Fn() -> Result<Store, StoreError> + Send>;

impl Committer {
    /// Opens a ledger and reads what is in it. With `together` one sync serves all that wait, else each its own.
    ///
    /// # Errors
    /// Where it cannot be opened, or a row is damaged or does not follow; nothing is changed then.
    pub fn start(open: Open, together: bool, most: usize) -> Result<(Self, Ledger), String> {
        let store = open().map_err(|e| e.to_string())?;
        let mut ledger = Ledger::new(most);
        let mut fault = None;
        let read = store.each(|row| {
            let added = row.map_err(|e| e.to_string()).and_then(|row| {
                let (request_id, place) = (row.record.request_id().0, row.place);
                ledger.restore(&row).map_err(|why| format!("row {place} of work unit {request_id}: {why}"))
            });
            fault = fault.take().or(added.err());
        });
        read.map_err(|e| e.to_string())?;
        if let Some(fault) = fault {
            return Err(fault);
        }
        let (jobs, to_do) = channel();
        let (health, start, wear) = (Arc::<Health>::default(), Instant::now(), store.wear().clone());
        let work = Work {
            store: Some(store),
            open,
            together,
            backlog: VecDeque::new(),
            health: health.clone(),
            start,
            tried: start,
        };
        let thread = thread::Builder::new().name("ledger".into()).spawn(move || work.run(&to_do));
        let thread = Some(thread.map_err(|e| format!("no thread: {e}"))?);
        Ok((Committer { jobs: Some(jobs), health, start, thread, wear }, ledger))
    }

    /// Hands rows over to be written after all that were handed over before; `done` is called on the ledger's
    /// thread. Rows that could not be written stay to be written, whatever `done` is told.
    pub fn write(&self, rows: Vec<Row>, done: impl FnOnce(Result<(), NotWritten>) + Send + 'static) {
        if let Some(jobs) = &self.jobs {
            // The thread ends after this alone.
            let _ = jobs.send(Job::Write(rows, Box::new(done)));
        }
    }

    /// Hands over a row for which nobody waits: it goes with the next commit, or after 100 ms.
    pub fn later(&self, row: Row) {
        if let Some(jobs) = &self.jobs {
            let _ = jobs.send(Job::Later(row));
        }
    }

    /// Reads the rows of one work unit, those that were handed over before among them.
    pub fn read(&self, request_id: RequestId, found: impl FnOnce(Result<Vec<Row>, String>) + Send + 'static) {
        if let Some(jobs) = &self.jobs {
            let _ = jobs.send(Job::Read(request_id, Box::new(found)));
        }
    }

    /// Whether new work may be taken: the disk does not err, and its commit under way is not older than that.
    ///
    /// # Errors
    /// Why not.
    pub fn ready(&self, slow_after: Duration) -> Result<(), String> {
        if self.health.failing.load(Ordering::Acquire) {
            return Err(self.health.why.lock().map_or_else(|_| "it failed".into(), |why| why.clone()));
        }
        let busy = self.health.busy.load(Ordering::Acquire);
        let now = self.start.elapsed().as_millis() as u64 + 1;
        if busy > 0 && now.saturating_sub(busy) as u128 > slow_after.as_millis() {
            return Err(format!("a sync takes {} ms already", now - busy));
        }
        Ok(())
    }

    pub fn health(&self) -> &Health {
        &self.health
    }

    /// What was written since the first opening.
    pub fn wear(&self) -> &Wear {
        &self.wear
    }
}

impl Drop for Committer {
    /// Writes what was handed over, and ends.
    fn drop(&mut self) {
        self.jobs = None;
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}

struct Work {
    store: Option<Store>,
    open: Open,
    together: bool,
    /// Rows that the disk did not take.
    backlog: VecDeque<Row>,
    health: Arc<Health>,
    start: Instant,
    tried: Instant,
}

impl Work {
    fn run(mut self, to_do: &Receiver<Job>) {
        let (mut rows, mut waiting): (Vec<Row>, Vec<Written>) = Default::default();
        let mut next = None;
        // When what nobody waits for is due.
        let mut due: Option<Instant> = None;
        loop {
            let wait = due.map_or(OPEN_AGAIN, |due| due.saturating_duration_since(Instant::now()));
            let job = match next.take() {
                Some(job) => job,
                None => match to_do.recv_timeout(wait) {
                    Ok(job) => job,
                    Err(RecvTimeoutError::Timeout) => {
                        due = None;
                        let _ = self.commit(&mut rows);
                        continue;
                    }
                    Err(RecvTimeoutError::Disconnected) => {
                        let _ = self.commit(&mut rows);
                        return;
                    }
                },
            };
            match job {
                Job::Read(request_id, found) => {
                    let mut read = self.read(request_id);
                    if let Ok(read) = &mut read {
                        read.extend(rows.iter().filter(|row| row.record.request_id() == request_id).cloned());
                    }
                    found(read);
                }
                Job::Later(row) => {
                    rows.push(row);
                    due.get_or_insert_with(|| Instant::now() + LATER);
                    if rows.len() >= MOST_ROWS {
                        due = None;
                        let _ = self.commit(&mut rows);
                    }
                }
                Job::Write(more, done) => {
                    rows.extend(more);
                    waiting.push(done);
                    while self.together && rows.len() < MOST_ROWS {
                        match to_do.try_recv() {
                            Ok(Job::Write(more, done)) => {
                                rows.extend(more);
                                waiting.push(done);
                            }
                            Ok(Job::Later(row)) => rows.push(row),
                            Ok(other) => {
                                next = Some(other);
                                break;
                            }
                            Err(_) => break,
                        }
                    }
                    due = None;
                    let came = self.commit(&mut rows);
                    waiting.drain(..).for_each(|done| done(came.clone()));
                }
            }
        }
    }

    fn read(&self, request_id: RequestId) -> Result<Vec<Row>, String> {
        let mut rows = match &self.store {
            Some(store) => store.of(request_id).map_err(|e| e.to_string())?,
            None => return Err("the disk errs".into()),
        };
        rows.extend(self.backlog.iter().filter(|row| row.record.request_id() == request_id).cloned());
        Ok(rows)
    }

    /// Writes the rows after those that wait already.
    fn commit(&mut self, rows: &mut Vec<Row>) -> Result<(), NotWritten> {
        self.backlog.extend(rows.drain(..));
        if self.backlog.is_empty() && self.store.is_some() {
            return Ok(());
        }
        let now = self.start.elapsed().as_millis() as u64 + 1;
        self.health.busy.store(now, Ordering::Release);
        let came = self.write_backlog();
        self.health.busy.store(0, Ordering::Release);
        let came = came.map_err(|why| NotWritten(why.to_string()));
        if let Err(NotWritten(why)) = &came
            && let Ok(mut last) = self.health.why.lock()
        {
            last.clone_from(why);
        }
        self.health.failing.store(came.is_err(), Ordering::Release);
        came
    }

    fn write_backlog(&mut self) -> Result<(), StoreError> {
        if self.store.is_none() {
            if self.tried.elapsed() < OPEN_AGAIN {
                return Err(StoreError::Disk("the disk erred".into()));
            }
            self.tried = Instant::now();
            self.store = Some((self.open)()?);
        }
        let Some(store) = &self.store else { return Ok(()) };
        if let Err(why) = store.commit(&self.backlog) {
            // A database that erred takes nothing more before it is opened again.
            self.store = None;
            self.tried = Instant::now();
            return Err(why);
        }
        self.health.commits.fetch_add(1, Ordering::Relaxed);
        self.health.rows.fetch_add(self.backlog.len() as u64, Ordering::Relaxed);
        self.backlog.clear();
        Ok(())
    }
}
