//! The state of all durable requests that follows from their records.
use crate::job::{Attempt, DispatchError, Job};
use crate::record::{Record, Row};
use std::collections::{BTreeMap, BTreeSet, HashMap};
use troutknot::{AttemptId, Millis, RequestId};

/// Why a record does not follow from those before it.
#[derive(Clone, Copy, PartialEq, Eq, Debug, thiserror::Error)]
pub enum RecordError {
    /// The request is not on record.
    #[error("the request is not known")]
    UnknownRequest,
    /// The attempt is not on record.
    #[error("the attempt is not known")]
    UnknownAttempt,
    /// The request's number or its client's id is on record already.
    #[error("the request was taken before")]
    DuplicateRequest,
    /// The request has its final answer.
    #[error("the request has its final answer")]
    Answered,
    /// The attempt has ended, or has started and so cannot be fenced.
    #[error("the attempt has ended")]
    AttemptEnded,
    /// The request may not have another attempt now.
    #[error("{0}")]
    DispatchNotAllowed(#[from] DispatchError),
    /// The attempt's fence is not above that of the attempt before.
    #[error("the fence does not grow")]
    FenceNotIncreasing,
    /// The request has no final answer yet.
    #[error("the request is open")]
    NotAnswered,
    /// The idempotency key is on record already.
    #[error("the key was taken before")]
    DuplicateKey,
    /// The row is not the next one of its request.
    #[error("records before it are missing")]
    MissingRows,
}

/// All requests on record. Their contents and answers are on disk only.
#[derive(Clone, PartialEq, Debug)]
pub struct Ledger {
    jobs: BTreeMap<RequestId, Job>,
    by_client_id: HashMap<String, RequestId>,
    by_key: HashMap<String, RequestId>,
    /// Answered requests by the time of their answers, as [`time_bits`].
    answered: BTreeSet<(u64, RequestId)>,
    max_attempts: usize,
    latest_time: Millis,
    next_number: u64,
}

/// The bits of a time, which sort like the times as none of them is negative.
fn time_bits(at: Millis) -> u64 {
    at.max(0.0).to_bits()
}

impl Ledger {
    /// An empty ledger.
    pub fn new(max_attempts: usize) -> Self {
        Ledger {
            jobs: BTreeMap::new(),
            by_client_id: HashMap::new(),
            by_key: HashMap::new(),
            answered: BTreeSet::new(),
            max_attempts,
            latest_time: 0.0,
            next_number: 0,
        }
    }

    /// Applies rows up to the first that does not follow from those before it; its index is returned with the error.
    /// The rows of one request must be in their order.
    pub fn recover<'a>(
        max_attempts: usize,
        rows: impl IntoIterator<Item = &'a Row>,
    ) -> (Self, Option<(usize, RecordError)>) {
        let mut ledger = Ledger::new(max_attempts);
        for (index, row) in rows.into_iter().enumerate() {
            if let Err(error) = ledger.restore(row) {
                return (ledger, Some((index, error)));
            }
        }
        (ledger, None)
    }

    /// Adds a row that was written by an earlier process.
    ///
    /// # Errors
    /// As [`Ledger::apply`], and if rows before it are missing.
    pub fn restore(&mut self, row: &Row) -> Result<(), RecordError> {
        if row.sequence != self.row_count(row.record.request_id()) {
            return Err(RecordError::MissingRows);
        }
        // That earlier leases had expired was checked before the row was written.
        self.add(f64::INFINITY, row.recorded_at, &row.record)?;
        self.latest_time = self.latest_time.max(row.recorded_at);
        Ok(())
    }

    /// Adds a record that is made now, and returns the row to be written.
    ///
    /// # Errors
    /// If it does not follow from the records before it; nothing is changed then.
    pub fn apply(&mut self, now: Millis, record: Record) -> Result<Row, RecordError> {
        let sequence = self.row_count(record.request_id());
        self.add(now, now, &record)?;
        self.latest_time = self.latest_time.max(now);
        Ok(Row { recorded_at: now, sequence, record })
    }

    /// One request; none if it is not on record.
    pub fn job(&self, request_id: RequestId) -> Option<&Job> {
        self.jobs.get(&request_id)
    }

    /// The request to which its client gave this id.
    pub fn find_by_client_id(&self, client_id: &str) -> Option<RequestId> {
        self.by_client_id.get(client_id).copied()
    }

    /// The request with this idempotency key.
    pub fn find_by_key(&self, key: &str) -> Option<RequestId> {
        self.by_key.get(key).copied()
    }

    /// The number of requests on record, including answered ones.
    pub fn len(&self) -> usize {
        self.jobs.len()
    }

    /// Whether no request is on record.
    pub fn is_empty(&self) -> bool {
        self.jobs.is_empty()
    }

    /// The time of the latest record. After the clock was set back, new records are not given an earlier time.
    pub fn latest_time(&self) -> Millis {
        self.latest_time
    }

    /// A number above those of all requests that were ever on record here.
    pub fn next_number(&self) -> u64 {
        self.next_number
    }

    /// All requests on record, by their numbers.
    pub fn jobs(&self) -> impl Iterator<Item = (RequestId, &Job)> {
        self.jobs.iter().map(|(id, job)| (*id, job))
    }

    /// Requests without a final answer, by their numbers.
    pub fn open_jobs(&self) -> impl Iterator<Item = (RequestId, &Job)> {
        self.jobs().filter(|(_, job)| job.answered_at.is_none())
    }

    /// Up to `limit` requests that were answered before `then`, the oldest answers first.
    pub fn answered_before(&self, then: Millis, limit: usize) -> Vec<RequestId> {
        let until = (time_bits(then), RequestId(0));
        self.answered.range(..until).take(limit).map(|(_, request_id)| *request_id).collect()
    }

    fn row_count(&self, request_id: RequestId) -> u32 {
        self.jobs.get(&request_id).map_or(0, |job| job.row_count)
    }

    /// Adds a record that was made at `at`. Leases of earlier attempts must have expired at `now`.
    fn add(&mut self, now: Millis, at: Millis, record: &Record) -> Result<(), RecordError> {
        match record {
            Record::Accepted { .. } => self.take(at, record)?,
            Record::Dispatched { .. } => self.dispatch(now, at, record)?,
            Record::Started { request_id, attempt_id } => {
                self.attempt_in_flight(*request_id, *attempt_id)?.has_started = true
            }
            Record::Heartbeat { request_id, attempt_id, lease_until } => {
                let attempt = self.attempt_in_flight(*request_id, *attempt_id)?;
                attempt.lease_until = attempt.lease_until.max(*lease_until);
            }
            Record::Ended { request_id, attempt_id, outcome } => {
                self.attempt_in_flight(*request_id, *attempt_id)?.outcome = Some(*outcome)
            }
            Record::Fenced { request_id, attempt_id } => {
                let attempt = self.attempt_in_flight(*request_id, *attempt_id)?;
                if attempt.has_started {
                    return Err(RecordError::AttemptEnded);
                }
                attempt.is_fenced = true;
            }
            Record::Answered { request_id, .. } => {
                self.open_job(*request_id)?.answered_at = Some(at);
                self.answered.insert((time_bits(at), *request_id));
            }
            Record::Acknowledged { request_id } => {
                let job = self.jobs.get_mut(request_id).ok_or(RecordError::UnknownRequest)?;
                job.answered_at.ok_or(RecordError::NotAnswered)?;
                job.is_acknowledged = true;
            }
            Record::Forgotten { request_id } => return self.forget(*request_id),
        }
        if let Some(job) = self.jobs.get_mut(&record.request_id()) {
            job.row_count += 1;
        }
        Ok(())
    }

    fn take(&mut self, at: Millis, record: &Record) -> Result<(), RecordError> {
        let Record::Accepted { request_id, effect, deadline, client_id, key, digest, .. } = record else {
            return Ok(());
        };
        if self.jobs.contains_key(request_id) || self.by_client_id.contains_key(client_id) {
            return Err(RecordError::DuplicateRequest);
        }
        if key.as_ref().is_some_and(|key| self.by_key.contains_key(key)) {
            return Err(RecordError::DuplicateKey);
        }
        self.by_client_id.insert(client_id.clone(), *request_id);
        if let Some(key) = key {
            self.by_key.insert(key.clone(), *request_id);
        }
        self.next_number = self.next_number.max(request_id.0 + 1);
        let job = Job {
            effect: *effect,
            accepted_at: at,
            deadline: *deadline,
            client_id: client_id.clone(),
            key: key.clone(),
            digest: *digest,
            attempts: Vec::new(),
            answered_at: None,
            is_acknowledged: false,
            row_count: 0,
        };
        self.jobs.insert(*request_id, job);
        Ok(())
    }

    fn dispatch(&mut self, now: Millis, at: Millis, record: &Record) -> Result<(), RecordError> {
        let Record::Dispatched { request_id, fence, executor, lease_until } = record else { return Ok(()) };
        let max_attempts = self.max_attempts;
        let job = self.open_job(*request_id)?;
        if job.next_fence(now, max_attempts)? > *fence {
            return Err(RecordError::FenceNotIncreasing);
        }
        job.attempts.push(Attempt {
            fence: *fence,
            executor: executor.clone(),
            recorded_at: at,
            lease_until: *lease_until,
            has_started: false,
            outcome: None,
            is_fenced: false,
        });
        Ok(())
    }

    fn forget(&mut self, request_id: RequestId) -> Result<(), RecordError> {
        let job = self.jobs.get(&request_id).ok_or(RecordError::UnknownRequest)?;
        let answered_at = job.answered_at.ok_or(RecordError::NotAnswered)?;
        self.answered.remove(&(time_bits(answered_at), request_id));
        if let Some(forgotten) = self.jobs.remove(&request_id) {
            self.by_client_id.remove(&forgotten.client_id);
            forgotten.key.map(|key| self.by_key.remove(&key));
        }
        Ok(())
    }

    fn open_job(&mut self, request_id: RequestId) -> Result<&mut Job, RecordError> {
        let job = self.jobs.get_mut(&request_id).ok_or(RecordError::UnknownRequest)?;
        if job.answered_at.is_some() { Err(RecordError::Answered) } else { Ok(job) }
    }

    /// An attempt that has not ended. Its records are accepted also after the final answer of its request.
    fn attempt_in_flight(
        &mut self,
        request_id: RequestId,
        attempt_id: AttemptId,
    ) -> Result<&mut Attempt, RecordError> {
        let job = self.jobs.get_mut(&request_id).ok_or(RecordError::UnknownRequest)?;
        let attempt = job.attempts.get_mut(attempt_id.0 as usize).ok_or(RecordError::UnknownAttempt)?;
        let has_ended = attempt.outcome.is_some() || attempt.is_fenced;
        if has_ended { Err(RecordError::AttemptEnded) } else { Ok(attempt) }
    }
}
