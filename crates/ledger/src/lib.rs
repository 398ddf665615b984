//! Durable work units with leases: what their records say, without I/O and clock.
//!
//! A record is applied in the order in which it was written; any prefix of a ledger's records is a state that a
//! crash may leave behind, and says what may still be done. Times are Unix milliseconds, handed in.
//!
//! A lease that has run out makes an allocation *unknown*, never free: exclusive work gets another only once every
//! earlier one is known not to have run, by its outcome or by its executor's word that it refuses the fence.
pub mod codec;
pub mod committer;
pub mod store;

use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet, HashMap};
use troutknot::{AttemptId, Effect, Millis, Outcome, RequestId};

/// A number that grows with every allocation of a work unit; an executor that knows fences refuses a lower one.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Debug, Serialize, Deserialize)]
pub struct Fence(pub u64);

/// A fingerprint of what a client asked, by which a key with another body is told.
pub type Digest = [u8; 32];

/// The final answer as it is kept.
#[derive(Clone, PartialEq, Debug, Serialize, Deserialize)]
pub enum Answer {
    Completed(Vec<u8>),
    Deferred(Option<Millis>),
    Aborted,
}

/// One thing that is on record. New kinds come last: their places are what is on disk.
#[derive(Clone, PartialEq, Debug, Serialize, Deserialize)]
pub enum Record {
    Taken {
        #[serde(with = "codec::RequestIdDef")]
        request_id: RequestId,
        #[serde(with = "codec::EffectDef")]
        effect: Effect,
        /// When it must have its final answer.
        limit: Millis,
        /// The id that its client gave, and the idempotency key.
        id: String,
        key: Option<String>,
        digest: Digest,
        /// What is needed to send it, as the caller writes it.
        work: Vec<u8>,
    },
    /// On record before its first byte is sent.
    Dispatched {
        #[serde(with = "codec::RequestIdDef")]
        request_id: RequestId,
        fence: Fence,
        executor: String,
        lease_until: Millis,
    },
    Started {
        #[serde(with = "codec::RequestIdDef")]
        request_id: RequestId,
        #[serde(with = "codec::AttemptIdDef")]
        attempt_id: AttemptId,
    },
    /// A sign of life: the lease holds longer.
    Heartbeat {
        #[serde(with = "codec::RequestIdDef")]
        request_id: RequestId,
        #[serde(with = "codec::AttemptIdDef")]
        attempt_id: AttemptId,
        lease_until: Millis,
    },
    Ended {
        #[serde(with = "codec::RequestIdDef")]
        request_id: RequestId,
        #[serde(with = "codec::AttemptIdDef")]
        attempt_id: AttemptId,
        #[serde(with = "codec::OutcomeDef")]
        outcome: Outcome,
    },
    /// The executor confirms that it has not run this fence, and never will.
    Fenced {
        #[serde(with = "codec::RequestIdDef")]
        request_id: RequestId,
        #[serde(with = "codec::AttemptIdDef")]
        attempt_id: AttemptId,
    },
    /// The client's final answer, on record before it is sent.
    Answered {
        #[serde(with = "codec::RequestIdDef")]
        request_id: RequestId,
        answer: Answer,
    },
    /// The answer was written to a client whole.
    Acknowledged {
        #[serde(with = "codec::RequestIdDef")]
        request_id: RequestId,
    },
    /// Nothing is kept of it any longer.
    Forgotten {
        #[serde(with = "codec::RequestIdDef")]
        request_id: RequestId,
    },
}

impl Record {
    pub fn request_id(&self) -> RequestId {
        match self {
            Record::Taken { request_id, .. }
            | Record::Dispatched { request_id, .. }
            | Record::Started { request_id, .. }
            | Record::Heartbeat { request_id, .. }
            | Record::Ended { request_id, .. }
            | Record::Fenced { request_id, .. }
            | Record::Answered { request_id, .. }
            | Record::Acknowledged { request_id }
            | Record::Forgotten { request_id } => *request_id,
        }
    }
}

/// A record with when it was made, and how many of its work unit came before it.
#[derive(Clone, PartialEq, Debug)]
pub struct Row {
    pub at: Millis,
    pub place: u32,
    pub record: Record,
}

/// Why a record does not follow from those before it.
#[derive(Clone, Copy, PartialEq, Eq, Debug, thiserror::Error)]
pub enum Broken {
    #[error("the work unit is not known")]
    UnknownJob,
    #[error("the allocation is not known")]
    UnknownAttempt,
    #[error("the work unit was taken before")]
    TakenTwice,
    #[error("the work unit has its final answer")]
    Over,
    #[error("the allocation has ended")]
    Ended,
    #[error("{0}")]
    Refused(#[from] Refused),
    #[error("the fence does not grow")]
    Fence,
    #[error("the work unit is open")]
    Open,
    #[error("the key was taken before")]
    KeyTwice,
    #[error("records before it are missing")]
    Missing,
}

/// Why a work unit may not be allocated now.
#[derive(Clone, Copy, PartialEq, Eq, Debug, thiserror::Error)]
pub enum Refused {
    #[error("an allocation is out")]
    Out,
    #[error("an earlier allocation may have run")]
    MayHaveRun,
    #[error("it was allocated as often as it may be")]
    Most,
}

/// What is known of an allocation.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum Standing {
    /// Its lease holds.
    Out,
    /// Its lease ran out with no word: it may have run, may run, or may yet.
    Unknown,
    NeverRan,
    /// It ended, and may have run.
    MayHaveRun,
    Completed,
}

#[derive(Clone, PartialEq, Debug)]
pub struct Attempt {
    pub fence: Fence,
    pub executor: String,
    /// When it was recorded.
    pub at: Millis,
    pub lease_until: Millis,
    pub started: bool,
    pub ended: Option<Outcome>,
    pub fenced: bool,
}

impl Attempt {
    pub fn standing(&self, now: Millis) -> Standing {
        match self.ended {
            _ if self.fenced => Standing::NeverRan,
            Some(Outcome::Completed) => Standing::Completed,
            Some(outcome) if outcome.never_ran() => Standing::NeverRan,
            Some(_) => Standing::MayHaveRun,
            None if now < self.lease_until => Standing::Out,
            None => Standing::Unknown,
        }
    }
}

#[derive(Clone, PartialEq, Debug)]
pub struct Job {
    pub effect: Effect,
    pub taken: Millis,
    pub limit: Millis,
    pub id: String,
    pub key: Option<String>,
    pub digest: Digest,
    pub attempts: Vec<Attempt>,
    /// When its final answer was recorded.
    pub answered: Option<Millis>,
    pub acknowledged: bool,
    /// How many records it has.
    pub rows: u32,
}

impl Job {
    /// Whether it may be allocated at this time, and with which fence.
    ///
    /// # Errors
    /// Why not.
    pub fn may_dispatch(&self, now: Millis, most: usize) -> Result<Fence, Refused> {
        let standings = self.attempts.iter().map(|a| a.standing(now));
        let mut may_have_run = false;
        for standing in standings {
            match standing {
                Standing::Out => return Err(Refused::Out),
                Standing::NeverRan => {}
                Standing::Unknown | Standing::MayHaveRun | Standing::Completed => may_have_run = true,
            }
        }
        if may_have_run && self.effect == Effect::AtMostOnce {
            return Err(Refused::MayHaveRun);
        }
        if self.attempts.len() >= most {
            return Err(Refused::Most);
        }
        Ok(Fence(self.attempts.last().map_or(1, |a| a.fence.0 + 1)))
    }
}

/// All work units on record. What they asked and were answered is not kept here, only on disk.
#[derive(Clone, PartialEq, Debug)]
pub struct Ledger {
    jobs: BTreeMap<RequestId, Job>,
    by_id: HashMap<String, RequestId>,
    by_key: HashMap<String, RequestId>,
    /// Those that are answered, by when.
    ended: BTreeSet<(u64, RequestId)>,
    most: usize,
    last: Millis,
    next: u64,
}

impl Ledger {
    /// Empty; each work unit may be allocated `most` times.
    pub fn new(most: usize) -> Self {
        Ledger {
            jobs: BTreeMap::new(),
            by_id: HashMap::new(),
            by_key: HashMap::new(),
            ended: BTreeSet::new(),
            most,
            last: 0.0,
            next: 0,
        }
    }

    /// What rows say, up to the first that does not follow, which is named by its place among them. Those of one
    /// work unit stand in their order.
    pub fn recover<'a>(
        most: usize,
        rows: impl IntoIterator<Item = &'a Row>,
    ) -> (Self, Option<(usize, Broken)>) {
        let mut ledger = Ledger::new(most);
        for (place, row) in rows.into_iter().enumerate() {
            if let Err(why) = ledger.restore(row) {
                return (ledger, Some((place, why)));
            }
        }
        (ledger, None)
    }

    /// Adds a row that was written in an earlier life.
    ///
    /// # Errors
    /// As [`Ledger::apply`], and where rows before it are missing.
    pub fn restore(&mut self, row: &Row) -> Result<(), Broken> {
        let before = self.jobs.get(&row.record.request_id()).map_or(0, |job| job.rows);
        if row.place != before {
            return Err(Broken::Missing);
        }
        // Whether the lease before it had run out is not asked again: it was when it was written.
        self.add(f64::INFINITY, row.at, &row.record)?;
        self.last = self.last.max(row.at);
        Ok(())
    }

    pub fn job(&self, request_id: RequestId) -> Option<&Job> {
        self.jobs.get(&request_id)
    }

    pub fn by_id(&self, id: &str) -> Option<RequestId> {
        self.by_id.get(id).copied()
    }

    pub fn by_key(&self, key: &str) -> Option<RequestId> {
        self.by_key.get(key).copied()
    }

    /// How many it knows, ended ones as well.
    pub fn len(&self) -> usize {
        self.jobs.len()
    }

    pub fn is_empty(&self) -> bool {
        self.jobs.is_empty()
    }

    /// The latest time that any record names. Guards against a clock that jumped back: no time is earlier.
    pub fn last(&self) -> Millis {
        self.last
    }

    /// A number that no work unit on record has.
    pub fn next(&self) -> u64 {
        self.next
    }

    /// All work units on record.
    pub fn all(&self) -> impl Iterator<Item = (RequestId, &Job)> {
        self.jobs.iter().map(|(id, job)| (*id, job))
    }

    /// Work units without a final answer.
    pub fn open(&self) -> impl Iterator<Item = (RequestId, &Job)> {
        self.jobs.iter().filter(|(_, job)| job.answered.is_none()).map(|(id, job)| (*id, job))
    }

    /// Up to so many that were answered before then.
    pub fn answered_before(&self, then: Millis, most: usize) -> Vec<RequestId> {
        let until = (then.max(0.0).to_bits(), RequestId(0));
        self.ended.range(..until).take(most).map(|(_, request_id)| *request_id).collect()
    }

    /// Adds a record that is made now; the row is what is to be written.
    ///
    /// # Errors
    /// Why it does not follow; nothing is changed then.
    pub fn apply(&mut self, now: Millis, record: Record) -> Result<Row, Broken> {
        let place = self.jobs.get(&record.request_id()).map_or(0, |job| job.rows);
        self.add(now, now, &record)?;
        self.last = self.last.max(now);
        Ok(Row { at: now, place, record })
    }

    fn add(&mut self, now: Millis, at: Millis, record: &Record) -> Result<(), Broken> {
        match record {
            Record::Taken { request_id, effect, limit, id, key, digest, .. } => {
                if self.jobs.contains_key(request_id) || self.by_id.contains_key(id) {
                    return Err(Broken::TakenTwice);
                }
                if key.as_ref().is_some_and(|key| self.by_key.contains_key(key)) {
                    return Err(Broken::KeyTwice);
                }
                self.by_id.insert(id.clone(), *request_id);
                if let Some(key) = key {
                    self.by_key.insert(key.clone(), *request_id);
                }
                self.next = self.next.max(request_id.0 + 1);
                let taken = Job {
                    effect: *effect,
                    taken: at,
                    limit: *limit,
                    id: id.clone(),
                    key: key.clone(),
                    digest: *digest,
                    attempts: Vec::new(),
                    answered: None,
                    acknowledged: false,
                    rows: 0,
                };
                self.jobs.insert(*request_id, taken);
            }
            Record::Dispatched { request_id, fence, executor, lease_until } => {
                let most = self.most;
                let job = self.open_job(*request_id)?;
                if job.may_dispatch(now, most)? > *fence {
                    return Err(Broken::Fence);
                }
                job.attempts.push(Attempt {
                    fence: *fence,
                    executor: executor.clone(),
                    at,
                    lease_until: *lease_until,
                    started: false,
                    ended: None,
                    fenced: false,
                });
            }
            Record::Started { request_id, attempt_id } => {
                self.running(*request_id, *attempt_id)?.started = true
            }
            Record::Heartbeat { request_id, attempt_id, lease_until } => {
                let allocation = self.running(*request_id, *attempt_id)?;
                allocation.lease_until = allocation.lease_until.max(*lease_until);
            }
            Record::Ended { request_id, attempt_id, outcome } => {
                self.running(*request_id, *attempt_id)?.ended = Some(*outcome)
            }
            Record::Fenced { request_id, attempt_id } => {
                let allocation = self.running(*request_id, *attempt_id)?;
                if allocation.started {
                    return Err(Broken::Ended);
                }
                allocation.fenced = true;
            }
            Record::Answered { request_id, .. } => {
                self.open_job(*request_id)?.answered = Some(at);
                self.ended.insert((at.max(0.0).to_bits(), *request_id));
            }
            Record::Acknowledged { request_id } => {
                let job = self.jobs.get_mut(request_id).ok_or(Broken::UnknownJob)?;
                if job.answered.is_none() {
                    return Err(Broken::Open);
                }
                job.acknowledged = true;
            }
            Record::Forgotten { request_id } => {
                let answered =
                    self.jobs.get(request_id).ok_or(Broken::UnknownJob)?.answered.ok_or(Broken::Open)?;
                self.ended.remove(&(answered.max(0.0).to_bits(), *request_id));
                if let Some(gone) = self.jobs.remove(request_id) {
                    self.by_id.remove(&gone.id);
                    gone.key.map(|key| self.by_key.remove(&key));
                }
                return Ok(());
            }
        }
        if let Some(job) = self.jobs.get_mut(&record.request_id()) {
            job.rows += 1;
        }
        Ok(())
    }

    fn open_job(&mut self, request_id: RequestId) -> Result<&mut Job, Broken> {
        let job = self.jobs.get_mut(&request_id).ok_or(Broken::UnknownJob)?;
        if job.answered.is_some() { Err(Broken::Over) } else { Ok(job) }
    }

    /// An allocation without an end; its word counts also after the final answer.
    fn running(&mut self, request_id: RequestId, attempt_id: AttemptId) -> Result<&mut Attempt, Broken> {
        let job = self.jobs.get_mut(&request_id).ok_or(Broken::UnknownJob)?;
        let allocation = job.attempts.get_mut(attempt_id.0 as usize).ok_or(Broken::UnknownAttempt)?;
        if allocation.ended.is_some() || allocation.fenced { Err(Broken::Ended) } else { Ok(allocation) }
    }
}
