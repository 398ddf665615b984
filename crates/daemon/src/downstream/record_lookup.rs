//! Looks durable requests up in the ledger, whichever process of the node has it open.
use super::DownstreamServer;
use crate::durable::{Durable, LookupResult};
use crate::hot_restart::job_record::{JobIdentity, JobRecord};
use crate::in_flight::Answer;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::sleep;

/// Interval between two look-ups of a request that the other process has not answered yet.
const LOOK_UP_INTERVAL: Duration = Duration::from_millis(50);

/// What the other process has on record of a request, once that decides the answer to its client.
pub(super) enum ResolvedJob {
    New,
    Answered(Answer),
    KeyMismatch,
    DuplicateId,
}

impl ResolvedJob {
    /// `None` if the client has to wait.
    fn from_record(job: JobRecord) -> Option<Self> {
        match job {
            JobRecord::New => Some(ResolvedJob::New),
            JobRecord::Unresolved => None,
            JobRecord::Completed { result } => Some(ResolvedJob::Answered(Answer::Completed(result.into()))),
            JobRecord::Rejected { retry_after_ms } => {
                Some(ResolvedJob::Answered(Answer::Rejected(retry_after_ms)))
            }
            JobRecord::Failed => Some(ResolvedJob::Answered(Answer::Failed)),
            JobRecord::KeyMismatch => Some(ResolvedJob::KeyMismatch),
            JobRecord::DuplicateId => Some(ResolvedJob::DuplicateId),
        }
    }
}

impl DownstreamServer {
    /// The ledger, once this process has it open.
    pub(super) fn ledger(&self) -> Option<Rc<Durable>> {
        self.ledger.borrow().clone()
    }

    /// Waits until this process has the ledger open.
    pub(super) async fn ledger_opened(&self) -> Rc<Durable> {
        let mut ledger = self.ledger.subscribe();
        loop {
            if let Some(ledger) = ledger.borrow_and_update().clone() {
                return ledger;
            }
            // The sender is part of this server, so the channel stays open.
            let _ = ledger.changed().await;
        }
    }

    /// Asks the other process until its record decides the answer to the client.
    pub(super) async fn resolve_at_sibling(&self, identity: &JobIdentity) -> ResolvedJob {
        loop {
            let job = self.sibling.look_up(identity.clone()).await;
            if let Some(resolved) = job.and_then(ResolvedJob::from_record) {
                return resolved;
            }
            sleep(LOOK_UP_INTERVAL).await;
        }
    }

    /// What this process has on record of a request, for the other process.
    pub async fn job_record(&self, identity: &JobIdentity) -> JobRecord {
        let Some(ledger) = self.ledger() else { return JobRecord::Unresolved };
        match ledger.look_up(identity) {
            LookupResult::New => JobRecord::New,
            LookupResult::Open(_) => JobRecord::Unresolved,
            LookupResult::KeyMismatch => JobRecord::KeyMismatch,
            LookupResult::DuplicateId => JobRecord::DuplicateId,
            LookupResult::Answered(request_id) => match ledger.recorded_answer(request_id).await {
                Some(Answer::Completed(result)) => match String::from_utf8(result.into()) {
                    Ok(result) => JobRecord::Completed { result },
                    Err(_) => JobRecord::Unresolved,
                },
                Some(Answer::Rejected(retry_after_ms)) => JobRecord::Rejected { retry_after_ms },
                Some(Answer::Failed) | None => JobRecord::Failed,
            },
        }
    }
}
