//! Admits requests: detects duplicates, reserves memory and sets deadlines.
use super::DownstreamServer;
use crate::in_flight::{ClientRequest, InFlightRequest};
use crate::lifecycle::LifecycleState;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::Instant;
use troutknot::Effect;

/// Upper bound on the part of a client's timeout that the margin of a request's deadline may take.
const MAX_DEADLINE_MARGIN_SHARE: f64 = 0.2;

/// Upper bound on the part of a client's timeout that the margin of the last answer may take.
const MAX_LAST_ANSWER_MARGIN_SHARE: f64 = 0.1;

/// Whether an accepted connection is within the node's limits.
#[derive(Clone, Copy, PartialEq, Debug)]
pub(super) enum ConnectionAdmission {
    Admitted,
    /// New requests on it are rejected for lack of capacity.
    OverLimit,
}

/// A request that was admitted.
pub(super) struct AdmittedRequest {
    pub in_flight: Rc<InFlightRequest>,
    /// Identifies the id of the client.
    pub token: u64,
    /// Whether the request must not run twice, so that the sibling has to agree before it is dispatched.
    pub needs_claim: bool,
    /// When the client gets an answer even if the request has no outcome yet.
    pub last_answer_at: Instant,
}

/// Why a request is not admitted.
#[derive(Debug, thiserror::Error)]
pub(super) enum AdmissionError {
    #[error("a request with this id is open or was admitted recently")]
    Duplicate,
    #[error("the node has no capacity for the request")]
    NoCapacity,
    #[error("an operator drained the node")]
    Drained,
}

impl DownstreamServer {
    /// Admits a request whose client waits for `time_left` from now on.
    ///
    /// # Errors
    /// If the request is a duplicate, if the node is drained, or if the request's connection or bytes exceed the
    /// node's limits. Duplicates are detected first: a rejection says that the request did not run.
    pub(super) fn admit(
        &self,
        request: ClientRequest,
        time_left: Duration,
        admission: ConnectionAdmission,
    ) -> Result<AdmittedRequest, AdmissionError> {
        let admitted_at = Instant::now();
        let margin =
            bounded_margin(self.limits.downstream.deadline_margin, time_left, MAX_DEADLINE_MARGIN_SHARE);
        let deadline = admitted_at + (time_left - margin);
        let last_answer_at = admitted_at + self.last_answer_wait(time_left);
        let client_id = request.id.clone();
        let token = troutknot_membership::token(&client_id);
        if self.request_ids.is_open(&client_id) || self.request_ids.is_recent(token, &self.limits) {
            return Err(AdmissionError::Duplicate);
        }
        if *self.lifecycle.borrow() == LifecycleState::Drained {
            return Err(AdmissionError::Drained);
        }
        if admission == ConnectionAdmission::OverLimit {
            return Err(AdmissionError::NoCapacity);
        }
        let request_id = self.request_ids.next_id();
        let in_flight = InFlightRequest::new(request_id, request, deadline, &self.request_bytes)
            .ok_or(AdmissionError::NoCapacity)?;
        let may_repeat = self.codec.load().effect(in_flight.request.class) == Some(Effect::Idempotent);
        if may_repeat {
            self.request_ids.record_token(token, &self.limits);
        } else if !self.request_ids.protect_token(token, &self.limits) {
            return Err(AdmissionError::NoCapacity);
        }
        let needs_claim = !may_repeat && self.sibling.answers_claims();
        if !needs_claim {
            self.sibling.announce_request(token);
        }
        self.request_ids.open(client_id);
        Ok(AdmittedRequest { in_flight, token, needs_claim, last_answer_at })
    }

    /// Time after which a client that waits for `time_left` is answered even if its request has no outcome.
    pub(super) fn last_answer_wait(&self, time_left: Duration) -> Duration {
        let margin = self.limits.downstream.last_answer_margin;
        time_left - bounded_margin(margin, time_left, MAX_LAST_ANSWER_MARGIN_SHARE)
    }
}

/// The margin to leave at the end of `time_left`, bounded by a share of it.
fn bounded_margin(margin: Duration, time_left: Duration, max_share: f64) -> Duration {
    margin.min(time_left.mul_f64(max_share))
}
