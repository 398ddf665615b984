//! Durable work units: taken, allocated and answered on record, so that a node that dies takes up after its start
//! what it had. Off without `[durable]` in the operator's file; then nothing of this runs.
mod lease;

pub use lease::Lease;

use crate::byte_budget::ByteBudget;
use crate::config::durable::{DurableConfig, LedgerSync};
use crate::config::limits::Limits;
use crate::event::{NodeEvent, RecoveredAttempt};
use crate::in_flight::{Answer, ClientRequest, InFlightRequest};
use crate::lifecycle::LifecycleState;
use crate::protocol::{Codec, Current};
use crate::tasks::TaskGroup;
use bytes::Bytes;
use serde::{Deserialize, Serialize};
use sha2::{Digest as _, Sha256};
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::fmt::Write;
use std::path::PathBuf;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::{mpsc, oneshot, watch};
use tokio::time::{Instant, sleep, sleep_until, timeout};
use troutknot::{AttemptId, Effect, Millis, RequestId};
use troutknot_clock::Clock;
use troutknot_ledger::committer::{Committer, NotWritten, ReadError, StartError, SyncMode};
use troutknot_ledger::store::Store;
use troutknot_ledger::{Answer as RecordedAnswer, AttemptStatus, Digest, Ledger, Record, Row};

/// How often what is kept no longer is looked for, and how much of it goes at once.
const FORGET_EVERY: Duration = Duration::from_millis(200);
const MOST_FORGOTTEN: usize = 1000;
/// An answer whose record the disk did not take is tried again after so long.
const WRITE_AGAIN: Duration = Duration::from_millis(200);
/// What is open from before and has no room yet is tried again after so long.
const ROOM_AGAIN: Duration = Duration::from_millis(20);

/// Why the ledger cannot be used.
#[derive(Debug, thiserror::Error)]
pub enum DurableError {
    /// The ledger cannot be opened or read.
    #[error("ledger `{}`: {source}", path.display())]
    Open {
        /// The ledger's file.
        path: PathBuf,
        /// What went wrong.
        source: StartError,
    },
}

/// What [`Durable`] is connected with.
pub struct DurableConnections {
    /// Bounds the number of jobs on record, and timeouts.
    pub limits: Rc<Limits>,
    /// The clock of the node.
    pub clock: Clock,
    /// Translates between names and ids.
    pub codec: Rc<Current<Codec>>,
    /// Reaches the driver.
    pub events: mpsc::Sender<NodeEvent>,
    /// Owns the tasks that wait for answers.
    pub tasks: TaskGroup,
}

pub struct Durable {
    pub terms: DurableConfig,
    limits: Rc<Limits>,
    clock: Clock,
    /// Added to the clock's times, where it had jumped back since the last record.
    offset: Millis,
    codec: Rc<Current<Codec>>,
    events: mpsc::Sender<NodeEvent>,
    tasks: TaskGroup,
    committer: Committer,
    ledger: RefCell<Ledger>,
    /// Work units whose answer is not on record yet.
    joints: RefCell<HashMap<RequestId, Rc<JoinedRequest>>>,
    max_attempts: usize,
    /// Open ones that were on record at the start, and how many of them are still to be taken up.
    before: RefCell<Vec<RequestId>>,
    to_recover: Cell<usize>,
    failing: Cell<bool>,
}

/// Where all who wait for a work unit's answer meet; it is told once it is on record.
pub struct JoinedRequest {
    answer: watch::Sender<Option<Answer>>,
}

impl JoinedRequest {
    pub async fn answered(&self) -> Answer {
        let mut told = self.answer.subscribe();
        let answer = told.wait_for(Option::is_some).await;
        answer.ok().and_then(|answer| answer.clone()).unwrap_or(Answer::Failed)
    }
}

/// What is known of a request that a client makes.
pub enum Found {
    New,
    /// The same is open.
    Open(Rc<JoinedRequest>),
    /// The same has its answer on record.
    Ended(RequestId),
    /// Its key came with another body.
    OtherBody,
    /// Its id is on record, and it has no key that says that it is the same.
    Twice,
}

/// What is needed to send a work unit, as it is on record.
#[derive(Serialize, Deserialize)]
struct Sent {
    method: String,
    target: String,
    fields: Vec<u8>,
    body: Vec<u8>,
    project_type: String,
    customer: String,
    slots: f64,
    memory: f64,
}

fn digest(work: &ClientRequest) -> Digest {
    let mut hash = Sha256::new();
    for part in [work.method.as_bytes(), work.target.as_bytes(), &work.body] {
        hash.update((part.len() as u64).to_le_bytes());
        hash.update(part);
    }
    hash.finalize().into()
}

fn kept(answer: &Answer) -> RecordedAnswer {
    match answer {
        Answer::Completed(result) => RecordedAnswer::Completed(result.to_vec()),
        Answer::Rejected(come_back) => RecordedAnswer::Rejected(*come_back),
        Answer::Failed => RecordedAnswer::Failed,
    }
}

fn answer_of(kept: RecordedAnswer) -> Answer {
    match kept {
        RecordedAnswer::Completed(result) => Answer::Completed(result.into()),
        RecordedAnswer::Rejected(come_back) => Answer::Rejected(come_back),
        RecordedAnswer::Failed => Answer::Failed,
    }
}

impl Durable {
    /// Opens the ledger and reads its index.
    ///
    /// # Errors
    /// If the ledger cannot be opened or read.
    pub fn open(terms: DurableConfig, connections: DurableConnections) -> Result<Rc<Self>, DurableError> {
        let DurableConnections { limits, clock, codec, events, tasks } = connections;
        let max_attempts = codec.load().max_attempts().clamp(1, 3);
        let path = terms.path.clone();
        let open = Box::new({
            let path = path.clone();
            move || Store::open(&path)
        });
        let sync_mode = match terms.sync {
            LedgerSync::Batched => SyncMode::Shared,
            LedgerSync::PerRecord => SyncMode::Separate,
        };
        let began = Instant::now();
        let opened = Committer::start(open, sync_mode, max_attempts);
        let (committer, ledger) =
            opened.map_err(|source| DurableError::Open { path: path.clone(), source })?;
        let mut before: Vec<(u64, RequestId)> =
            ledger.open_jobs().map(|(request_id, of)| (of.deadline.max(0.0).to_bits(), request_id)).collect();
        before.sort_unstable();
        let offset = (ledger.latest_time() - clock.now()).max(0.0);
        if offset > 0.0 {
            tracing::warn!("the clock is {offset:.0} ms behind the ledger; its times go on from there");
        }
        tracing::info!(
            "ledger `{}`: {} work units on record, {} of them open, read in {:.0} ms",
            path.display(),
            ledger.len(),
            before.len(),
            began.elapsed().as_secs_f64() * 1000.0
        );
        Ok(Rc::new(Durable {
            limits,
            clock,
            offset,
            codec,
            events,
            tasks,
            committer,
            ledger: RefCell::new(ledger),
            joints: RefCell::default(),
            max_attempts,
            to_recover: Cell::new(before.len()),
            before: RefCell::new(before.into_iter().map(|(_, request_id)| request_id).collect()),
            failing: Cell::new(false),
            terms,
        }))
    }

    /// Unix time in milliseconds that never goes back, also not over a restart.
    pub fn now(&self) -> Millis {
        self.clock.now() + self.offset
    }

    /// Work units get numbers from here on.
    pub fn next_wu(&self) -> u64 {
        self.ledger.borrow().next_number()
    }

    pub fn find(&self, work: &ClientRequest) -> Found {
        let ledger = self.ledger.borrow();
        let Some(request_id) = work.key.as_ref().and_then(|key| ledger.find_by_key(key)) else {
            return if ledger.find_by_client_id(&work.id).is_some() { Found::Twice } else { Found::New };
        };
        let Some(known) = ledger.job(request_id) else { return Found::New };
        if known.digest != digest(work) {
            return Found::OtherBody;
        }
        match self.joints.borrow().get(&request_id) {
            Some(joint) => return Found::Open(joint.clone()),
            None if known.answered_at.is_some() => return Found::Ended(request_id),
            None => {}
        }
        // Open from before, and not taken up yet.
        Found::Open(self.joint(request_id))
    }

    /// Whether new work may be taken.
    pub fn is_ready(&self) -> bool {
        let ready = self.committer.check_ready(self.terms.slow_sync_threshold);
        let full = self.ledger.borrow().len() >= self.terms.max_jobs.min(self.limits.max_durable_jobs);
        let why = ready.err().map(|error| error.to_string()).or(full.then(|| "it is full".to_string()));
        if self.failing.replace(why.is_some()) != why.is_some() {
            match &why {
                Some(why) => tracing::warn!("ledger: new durable work is deferred: {why}"),
                None => tracing::info!("ledger: durable work is taken again"),
            }
        }
        why.is_none()
    }

    fn joint(&self, request_id: RequestId) -> Rc<JoinedRequest> {
        let mut joints = self.joints.borrow_mut();
        joints
            .entry(request_id)
            .or_insert_with(|| Rc::new(JoinedRequest { answer: watch::channel(None).0 }))
            .clone()
    }

    async fn write(&self, rows: Vec<Row>) -> Result<(), NotWritten> {
        let (tell, told) = oneshot::channel();
        self.committer.write(rows, move |came| _ = tell.send(came));
        told.await.unwrap_or_else(|_| Err(NotWritten("the ledger has ended".into())))
    }

    fn apply(&self, record: Record) -> Option<Row> {
        let row = self.ledger.borrow_mut().apply(self.now(), record);
        row.inspect_err(|why| tracing::debug!("ledger: not recorded: {why}")).ok()
    }

    /// On record soon; nobody waits for it. False where it does not follow from what is.
    fn later(&self, record: Record) -> bool {
        let row = self.apply(record);
        let follows = row.is_some();
        row.into_iter().for_each(|row| self.committer.write_later(row));
        follows
    }

    /// Takes a work unit: once this ends well, it is on disk. Else it is answered as deferred, and was never sent.
    pub async fn take(
        self: &Rc<Self>,
        in_flight: &Rc<InFlightRequest>,
        last: Instant,
    ) -> Result<Rc<JoinedRequest>, Answer> {
        let (request_id, work) = (in_flight.request_id, &in_flight.request);
        let left = in_flight.deadline.saturating_duration_since(Instant::now()).as_secs_f64() * 1000.0;
        let (project_type, customer) = self.codec.load().class_and_tenant_names(work);
        let sent = Sent {
            method: work.method.clone(),
            target: work.target.clone(),
            fields: work.fields.to_vec(),
            body: work.body.to_vec(),
            project_type,
            customer,
            slots: work.slots,
            memory: work.memory,
        };
        let come_back = Answer::Rejected(Some(1000.0));
        let record = Record::Taken {
            request_id,
            effect: self.codec.load().effect(work.class).unwrap_or(Effect::AtMostOnce),
            deadline: self.now() + left,
            client_id: work.id.clone(),
            key: work.key.clone(),
            digest: digest(work),
            payload: postcard::to_stdvec(&sent).map_err(|_| come_back.clone())?,
        };
        let Some(row) = self.apply(record) else { return Err(come_back) };
        let joint = self.joint(request_id);
        let written = timeout(self.terms.slow_sync_threshold, self.write(vec![row])).await;
        if !matches!(written, Ok(Ok(()))) {
            tracing::debug!("ledger: a work unit is deferred, its record is not on disk in time");
            // Whoever asks again is deferred as well until that is on record, and asks anew afterwards.
            self.later(Record::Answered { request_id, answer: kept(&come_back) });
            self.later(Record::Forgotten { request_id });
            self.publish(request_id, &joint, come_back.clone());
            return Err(come_back);
        }
        self.tasks.spawn(self.clone().see_through(in_flight.clone(), joint.clone(), last));
        Ok(joint)
    }

    fn publish(&self, request_id: RequestId, joint: &JoinedRequest, answer: Answer) {
        joint.answer.send_replace(Some(answer));
        self.joints.borrow_mut().remove(&request_id);
    }

    /// Waits for the answer, whoever still wants it, and tells it once it is on record.
    async fn see_through(
        self: Rc<Self>,
        in_flight: Rc<InFlightRequest>,
        joint: Rc<JoinedRequest>,
        last: Instant,
    ) {
        let request_id = in_flight.request_id;
        let answer = tokio::select! {
            biased;
            answer = in_flight.answered() => answer,
            () = sleep_until(last) => {
                in_flight.close();
                let _ = self.events.send(NodeEvent::ClientLeft(request_id)).await;
                Answer::Failed
            }
        };
        let row = self.apply(Record::Answered { request_id, answer: kept(&answer) });
        let mut written = self.write(row.into_iter().collect()).await;
        while written.is_err() {
            sleep(WRITE_AGAIN).await;
            written = self.write(Vec::new()).await;
        }
        if let Answer::Rejected(_) = answer {
            // It did not run, or may run again: whoever comes back with its key asks anew.
            self.later(Record::Forgotten { request_id });
        }
        self.publish(request_id, &joint, answer);
    }

    /// The answer was written to a client.
    pub fn acknowledged(&self, request_id: RequestId) {
        self.later(Record::Acknowledged { request_id });
    }

    async fn read(&self, request_id: RequestId) -> Result<Vec<Row>, ReadError> {
        let (tell, told) = oneshot::channel();
        self.committer.read(request_id, move |rows| _ = tell.send(rows));
        told.await.unwrap_or(Err(ReadError::Ended))
    }

    /// The answer on record; none where it cannot be read.
    pub async fn recorded(&self, request_id: RequestId) -> Option<Answer> {
        let rows = self.read(request_id).await.inspect_err(|why| tracing::warn!("ledger: {why}")).ok()?;
        rows.into_iter().find_map(|row| match row.record {
            Record::Answered { answer, .. } => Some(answer_of(answer)),
            _ => None,
        })
    }

    /// An allocation about to be sent: once this ends well it is on disk, with its fence.
    pub async fn lease(
        self: &Rc<Self>,
        request_id: RequestId,
        executor: &str,
        cut: Instant,
    ) -> Option<Lease> {
        let now = self.now();
        let until_cut = cut.saturating_duration_since(Instant::now()).as_secs_f64() * 1000.0;
        let span = self.terms.lease_duration.map_or(until_cut, |span| span.as_secs_f64() * 1000.0);
        let (fence, attempt_id) = {
            let ledger = self.ledger.borrow();
            let known = ledger.job(request_id)?;
            let may = known.next_fence(now, self.max_attempts);
            let fence = may.inspect_err(|why| tracing::warn!("ledger: not allocated: {why}")).ok()?;
            (fence, AttemptId(known.attempts.len() as u32))
        };
        let lease_until = now + span;
        let row =
            self.apply(Record::Dispatched { request_id, fence, executor: executor.into(), lease_until })?;
        let mut unsent = Unsent(Some(Lease::new(self.clone(), request_id, attempt_id, fence, now)));
        self.write(vec![row]).await.ok()?;
        unsent.0.take()
    }

    /// Takes up what is open from before, once the list is known: each goes to the one module with its earlier
    /// attempts. What has no room waits for it.
    pub async fn recover(self: Rc<Self>, mut stage: watch::Receiver<LifecycleState>, held: Rc<ByteBudget>) {
        let before = self.before.take();
        if before.is_empty() || stage.wait_for(|stage| *stage != LifecycleState::Starting).await.is_err() {
            return;
        }
        let began = Instant::now();
        for request_id in &before {
            if let Err(why) = self.take_up(*request_id, &held).await {
                tracing::warn!("ledger: work unit {} cannot be taken up, it is aborted: {why}", request_id.0);
                if let Some(row) =
                    self.apply(Record::Answered { request_id: *request_id, answer: RecordedAnswer::Failed })
                {
                    let _ = self.write(vec![row]).await;
                }
                let joint = self.joint(*request_id);
                self.publish(*request_id, &joint, Answer::Failed);
            }
            self.to_recover.set(self.to_recover.get() - 1);
        }
        let took = began.elapsed().as_secs_f64() * 1000.0;
        tracing::info!("{} open work units from before are taken up, in {took:.0} ms", before.len());
    }

    async fn take_up(self: &Rc<Self>, request_id: RequestId, held: &Rc<ByteBudget>) -> Result<(), String> {
        let rows = self.read(request_id).await.map_err(|error| error.to_string())?;
        let taken = rows.iter().find_map(|row| match &row.record {
            Record::Taken { client_id, key, deadline, payload, .. } => {
                Some((client_id.clone(), key.clone(), *deadline, payload))
            }
            _ => None,
        });
        let (id, key, limit, work) = taken.ok_or("its first record is missing")?;
        let sent: Sent = postcard::from_bytes(work).map_err(|e| e.to_string())?;
        let places = self.codec.load().class_and_tenant_ids(&sent.project_type, &sent.customer);
        let (project_type, customer) =
            places.ok_or_else(|| format!("project type `{}` is no longer known", sent.project_type))?;
        let work = || ClientRequest {
            id: id.clone(),
            key: key.clone(),
            method: sent.method.clone(),
            target: sent.target.clone(),
            fields: Bytes::copy_from_slice(&sent.fields),
            body: Bytes::copy_from_slice(&sent.body),
            class: project_type,
            tenant: customer,
            slots: sent.slots,
            memory: sent.memory,
            is_retry: true,
        };
        let when = |limit: Millis| Instant::now() + spanned((limit - self.now()).clamp(0.0, 1e9));
        let in_flight = loop {
            match InFlightRequest::new(request_id, work(), when(limit), held) {
                Some(in_flight) => break in_flight,
                None => sleep(ROOM_AGAIN).await,
            }
        };
        in_flight.is_durable.set(true);
        let earlier = {
            let ledger = self.ledger.borrow();
            let known = ledger.job(request_id).ok_or("it is not on record")?;
            let of = |a: &troutknot_ledger::Attempt| RecoveredAttempt {
                executor: a.executor.clone(),
                sent_at: a.recorded_at,
                outcome: match a.outcome {
                    _ if a.is_fenced => Some(troutknot::Outcome::NotSent),
                    // Its answer is not on record: its executor may still have the result.
                    Some(troutknot::Outcome::Completed) => None,
                    other => other,
                },
                fence: a.fence,
            };
            known.attempts.iter().map(of).collect()
        };
        // What is past its limit already is answered by the module as well, a moment later.
        let last = in_flight.deadline
            + self.limits.downstream.deadline_margin
            + self.limits.timeouts().connect_timeout;
        self.tasks.spawn(self.clone().see_through(in_flight.clone(), self.joint(request_id), last));
        let _ = self.events.send(NodeEvent::RequestRecovered(in_flight, earlier)).await;
        Ok(())
    }

    /// Forgets what was answered for as long as it is kept.
    pub async fn forget_answered(self: Rc<Self>) {
        loop {
            sleep(FORGET_EVERY).await;
            let then = self.now() - self.terms.retention.as_secs_f64() * 1000.0;
            loop {
                let mut old = self.ledger.borrow().answered_before(then, MOST_FORGOTTEN);
                // Guards against a ledger that fills up as more is answered than is forgotten at a time.
                let goes_on = old.len() == MOST_FORGOTTEN;
                old.retain(|request_id| !self.joints.borrow().contains_key(request_id));
                let some = !old.is_empty();
                for request_id in old {
                    self.later(Record::Forgotten { request_id });
                }
                if !(goes_on && some) {
                    break;
                }
                tokio::task::yield_now().await;
            }
        }
    }

    /// What is on record of a work unit, by its client's id, as JSON; none where nothing is.
    pub fn tell(&self, id: &str) -> Option<String> {
        let ledger = self.ledger.borrow();
        let request_id = ledger.find_by_client_id(id)?;
        let (known, now) = (ledger.job(request_id)?, self.now());
        let status = |status: AttemptStatus| match status {
            AttemptStatus::InFlight => "out",
            AttemptStatus::Unknown => "unknown",
            AttemptStatus::NeverRan => "never-ran",
            AttemptStatus::MayHaveRun => "may-have-run",
            AttemptStatus::Completed => "completed",
        };
        let of = |a: &troutknot_ledger::Attempt| {
            serde_json::json!({"fence": a.fence.0, "executor": a.executor, "at_ms": a.recorded_at,
                "standing": status(a.status(now))})
        };
        let attempts: Vec<serde_json::Value> = known.attempts.iter().map(of).collect();
        let state = match (known.answered_at, self.joints.borrow().contains_key(&request_id)) {
            (Some(_), false) => "answered",
            _ if known.attempts.is_empty() => "taken",
            _ => "allocated",
        };
        let told = serde_json::json!({"id": id, "state": state, "taken_ms": known.taken_at,
            "limit_ms": known.deadline, "answered_ms": known.answered_at,
            "acknowledged": known.is_acknowledged,
            "allocations": attempts});
        Some(format!("{told}\n"))
    }

    /// What is said beside the health.
    pub fn said(&self) -> String {
        let (ledger, mut said) = (self.ledger.borrow(), String::new());
        let open = ledger.open_jobs().count();
        let state = match self.committer.check_ready(self.terms.slow_sync_threshold) {
            Ok(()) => "ready".to_string(),
            Err(why) => format!("new work is deferred: {why}"),
        };
        let _ = writeln!(said, "ledger: {state}; {} on record, {open} open", ledger.len());
        if self.to_recover.get() > 0 {
            let _ = writeln!(said, "ledger: {} from before still to be taken up", self.to_recover.get());
        }
        said
    }
}

/// An allocation whose record is under way: given up before that is done, it was never sent.
struct Unsent(Option<Lease>);

impl Drop for Unsent {
    fn drop(&mut self) {
        if let Some(lease) = &self.0 {
            lease.ended(troutknot::Outcome::NotSent);
        }
    }
}

fn spanned(millis: Millis) -> Duration {
    Duration::from_secs_f64(millis / 1000.0)
}
