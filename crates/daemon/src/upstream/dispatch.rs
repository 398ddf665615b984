//! The driver's order to carry out an attempt.
use crate::in_flight::{CancelSignal, InFlightRequest};
use std::rc::Rc;
use tokio::time::Instant;
use troutknot::{AttemptId, ExecutorId};

/// An attempt that the driver wants carried out.
pub struct DispatchOrder {
    /// The request, which receives the result.
    pub in_flight: Rc<InFlightRequest>,
    /// Where the request is sent.
    pub executor: ExecutorId,
    /// The executor's name in the endpoint list; set if the attempt is recorded in the ledger.
    pub executor_name: Option<String>,
    /// Number of this attempt among those of the request.
    pub attempt_id: AttemptId,
    /// When the driver decided the dispatch.
    pub decided_at: Instant,
    /// The executor's incarnation that the dispatch was decided for, from
    /// [`ExecutorPool::incarnation`](super::ExecutorPool::incarnation).
    pub incarnation: u64,
    /// When the attempt times out.
    pub attempt_deadline: Instant,
    /// The last byte of the request is written before this instant, or never.
    pub send_deadline: Instant,
    /// Cancels the attempt.
    pub cancel_signal: Rc<CancelSignal>,
}
