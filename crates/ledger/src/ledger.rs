//! The state of all durable requests, rebuilt from their records.
use crate::job::{Attempt, DispatchError, Job, MAX_ATTEMPTS};
use crate::record::{Record, Row};
use std::collections::{BTreeMap, BTreeSet, HashMap};
use troutknot::{AttemptId, Millis, RequestId};

/// Why a record is not valid after those before it.
#[derive(Clone, Copy, PartialEq, Eq, Debug, thiserror::Error)]
pub enum RecordError {
    /// The request is not recorded.
    #[error("unknown request")]
    UnknownRequest,
    /// The attempt is not recorded.
    #[error("unknown attempt")]
    UnknownAttempt,
    /// A request of the same number or client id is recorded already.
    #[error("the request is already recorded")]
    DuplicateRequest,
    /// The request has its final answer.
    #[error("the request has its final answer")]
    Answered,
    /// The attempt has ended, or has started and so cannot be fenced.
    #[error("the attempt has ended")]
    AttemptEnded,
    /// The request may not be dispatched again now.
    #[error("{0}")]
    DispatchNotAllowed(#[from] DispatchError),
    /// The attempt's fence is not higher than that of the previous attempt.
    #[error("the fence is not higher than that of the previous attempt")]
    FenceNotIncreasing,
    /// The request has no final answer yet.
    #[error("the request has no final answer yet")]
    NotAnswered,
    /// An attempt of the request is recorded.
    #[error("an attempt of the request is recorded")]
    HasAttempts,
    /// Another request with the same idempotency key is recorded.
    #[error("the idempotency key is already in use")]
    DuplicateKey,
    /// The row's sequence is not the next one of its request.
    #[error("earlier records of the request are missing")]
    MissingRows,
}

/// All recorded requests. Their contents and answers are kept on disk only.
#[derive(Clone, PartialEq, Debug, Default)]
pub struct Ledger {
    jobs: BTreeMap<RequestId, Job>,
    by_client_id: HashMap<String, RequestId>,
    by_key: HashMap<String, RequestId>,
    /// Answered requests, sorted by the [`time_bits`] of their answers.
    answered: BTreeSet<(u64, RequestId)>,
    latest_time: Millis,
    next_number: u64,
}

/// The bits of a time. They sort like the times because no time is negative.
fn time_bits(at: Millis) -> u64 {
    at.max(0.0).to_bits()
}

impl Ledger {
    /// Rebuilds a ledger from rows, which must be in order for each request. Stops at the first invalid row, and
    /// returns its index with the error.
    pub fn recover<'a>(rows: impl IntoIterator<Item = &'a Row>) -> (Self, Option<(usize, RecordError)>) {
        let mut ledger = Ledger::default();
        for (index, row) in rows.into_iter().enumerate() {
            if let Err(error) = ledger.restore(row) {
                return (ledger, Some((index, error)));
            }
        }
        (ledger, None)
    }

    /// Applies a row that an earlier process wrote.
    ///
    /// # Errors
    /// As for [`Ledger::apply`], and if earlier rows of the request are missing.
    pub fn restore(&mut self, row: &Row) -> Result<(), RecordError> {
        if row.sequence != self.row_count(row.record.request_id()) {
            return Err(RecordError::MissingRows);
        }
        // The expiry of earlier leases was checked before the row was written.
        self.apply_record(f64::INFINITY, row.recorded_at, &row.record)?;
        self.latest_time = self.latest_time.max(row.recorded_at);
        Ok(())
    }

    /// Applies a record that is made at the time `now`, and returns the row to be written.
    ///
    /// # Errors
    /// If the record is not valid after those before it; the ledger is unchanged then.
    pub fn apply(&mut self, now: Millis, record: Record) -> Result<Row, RecordError> {
        let sequence = self.row_count(record.request_id());
        self.apply_record(now, now, &record)?;
        self.latest_time = self.latest_time.max(now);
        Ok(Row { recorded_at: now, sequence, record })
    }

    /// Removes a request none of whose rows is or will be on disk.
    ///
    /// # Errors
    /// If the request is unknown, or if it has further records than that of its acceptance; nothing is removed then.
    pub fn discard(&mut self, request_id: RequestId) -> Result<(), RecordError> {
        let job = self.jobs.get(&request_id).ok_or(RecordError::UnknownRequest)?;
        if job.answered_at.is_some() {
            return Err(RecordError::Answered);
        }
        if !job.attempts.is_empty() {
            return Err(RecordError::HasAttempts);
        }
        self.remove(request_id);
        Ok(())
    }

    /// Returns a request, or `None` if it is not recorded.
    pub fn job(&self, request_id: RequestId) -> Option<&Job> {
        self.jobs.get(&request_id)
    }

    /// Finds the request by the id that its client assigned to it.
    pub fn find_by_client_id(&self, client_id: &str) -> Option<RequestId> {
        self.by_client_id.get(client_id).copied()
    }

    /// Finds the request with this idempotency key.
    pub fn find_by_key(&self, key: &str) -> Option<RequestId> {
        self.by_key.get(key).copied()
    }

    /// Returns the number of recorded requests, including answered ones.
    pub fn len(&self) -> usize {
        self.jobs.len()
    }

    /// Returns whether no request is recorded.
    pub fn is_empty(&self) -> bool {
        self.jobs.is_empty()
    }

    /// Returns the time of the latest record. After the clock was set back, new records must not get an earlier time.
    pub fn latest_time(&self) -> Millis {
        self.latest_time
    }

    /// Returns a number higher than that of every request that was applied to this ledger, including forgotten ones.
    pub fn next_number(&self) -> u64 {
        self.next_number
    }

    /// Iterates over all recorded requests in the order of their numbers.
    pub fn jobs(&self) -> impl Iterator<Item = (RequestId, &Job)> {
        self.jobs.iter().map(|(id, job)| (*id, job))
    }

    /// Iterates over the requests without a final answer in the order of their numbers.
    pub fn open_jobs(&self) -> impl Iterator<Item = (RequestId, &Job)> {
        self.jobs().filter(|(_, job)| job.answered_at.is_none())
    }

    /// Returns up to `limit` requests that were answered before `cutoff`, the oldest answers first.
    pub fn answered_before(&self, cutoff: Millis, limit: usize) -> Vec<RequestId> {
        let end = (time_bits(cutoff), RequestId(0));
        self.answered.range(..end).take(limit).map(|(_, request_id)| *request_id).collect()
    }

    fn row_count(&self, request_id: RequestId) -> u32 {
        self.jobs.get(&request_id).map_or(0, |job| job.row_count)
    }

    /// Applies a record that was made at `recorded_at`. A dispatch is valid only if the leases of earlier attempts have
    /// expired at `now`.
    fn apply_record(&mut self, now: Millis, recorded_at: Millis, record: &Record) -> Result<(), RecordError> {
        match record {
            Record::Accepted { .. } => self.accept(recorded_at, record)?,
            Record::Dispatched { .. } => self.dispatch(now, recorded_at, record)?,
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
                self.open_job(*request_id)?.answered_at = Some(recorded_at);
                self.answered.insert((time_bits(recorded_at), *request_id));
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

    fn accept(&mut self, recorded_at: Millis, record: &Record) -> Result<(), RecordError> {
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
            accepted_at: recorded_at,
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

    fn dispatch(&mut self, now: Millis, recorded_at: Millis, record: &Record) -> Result<(), RecordError> {
        let Record::Dispatched { request_id, fence, executor, lease_until } = record else { return Ok(()) };
        let job = self.open_job(*request_id)?;
        if job.next_fence(now, MAX_ATTEMPTS)? > *fence {
            return Err(RecordError::FenceNotIncreasing);
        }
        job.attempts.push(Attempt {
            fence: *fence,
            executor: executor.clone(),
            recorded_at,
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
        self.remove(request_id);
        Ok(())
    }

    fn remove(&mut self, request_id: RequestId) {
        let Some(job) = self.jobs.remove(&request_id) else { return };
        self.by_client_id.remove(&job.client_id);
        job.key.map(|key| self.by_key.remove(&key));
    }

    fn open_job(&mut self, request_id: RequestId) -> Result<&mut Job, RecordError> {
        let job = self.jobs.get_mut(&request_id).ok_or(RecordError::UnknownRequest)?;
        if job.answered_at.is_some() { Err(RecordError::Answered) } else { Ok(job) }
    }

    /// Returns an attempt that has not ended. Its records are accepted even after the final answer of its request.
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
