//! The upstream side of a node: pooled connections to executors, attempts and load probes.
//!
//! It carries out the driver's decisions and reports one outcome for each attempt. The result of a request is stored
//! in its [`InFlightRequest`].
mod attempt;
mod attempt_status;
mod connection;
mod dispatch;
mod executor;
mod gate;
mod pool;
mod probe;
mod response;

pub use dispatch::DispatchOrder;
pub use executor::ExecutorEndpoint;
pub use pool::ExecutorPool;

use crate::durable::Lease;
use crate::event::NodeEvent;
use crate::in_flight::InFlightRequest;
use attempt::{Attempt, AttemptEnd};
use attempt_status::AttemptStatusQuery;
use std::rc::Rc;
use troutknot::{AttemptId, Event as CoreEvent, ExecutorId, Outcome, RequestId};

impl ExecutorPool {
    /// Carries out a dispatch and reports its outcome to the driver. Completes once the response is read to its
    /// end, or once reading it times out.
    pub async fn dispatch(self: Rc<Self>, order: DispatchOrder) {
        let (request_id, attempt_id) = (order.in_flight.request_id, order.attempt_id);
        let Some(executor) = self.executor(order.executor) else {
            return self.report_outcome(request_id, attempt_id, Outcome::NotSent).await;
        };
        let attempt = Attempt { pool: &self, executor: &executor, order: &order };
        let AttemptEnd { mut outcome, lease, unread } = attempt.run().await;
        if let Some(lease) = &lease {
            let may_have_run = !outcome.never_ran() && outcome != Outcome::Completed;
            if may_have_run && !order.cancel_signal.is_cancelled() {
                let in_flight = &order.in_flight;
                let query = AttemptStatusQuery { pool: &self, executor: &executor, in_flight, lease };
                outcome = query.resolve().await.unwrap_or(outcome);
            }
            lease.record_outcome(outcome);
        }
        self.report_outcome(request_id, attempt_id, outcome).await;
        if let Some(unread) = unread {
            unread.finish(&self, &executor).await;
        }
    }

    /// Queries the status of an attempt that an earlier process made, and reports its outcome to the driver.
    pub async fn recover_attempt(
        self: Rc<Self>,
        in_flight: Rc<InFlightRequest>,
        executor: ExecutorId,
        attempt_id: AttemptId,
        lease: Lease,
    ) {
        let outcome = match self.executor(executor) {
            Some(executor) => {
                let (in_flight, lease) = (&in_flight, &lease);
                let query = AttemptStatusQuery { pool: &self, executor: &executor, in_flight, lease };
                query.resolve().await
            }
            None => None,
        };
        let outcome = outcome.unwrap_or(Outcome::Reset);
        lease.record_outcome(outcome);
        self.report_outcome(in_flight.request_id, attempt_id, outcome).await;
    }

    /// Probes an executor's load and reports the reply to the driver.
    pub async fn probe(self: Rc<Self>, executor: ExecutorId) {
        let reply = probe::probe(&self, executor).await;
        let event = CoreEvent::ProbeCompleted { executor, reply };
        let _ = self.events.send(NodeEvent::Core(event)).await;
    }

    async fn report_outcome(&self, request_id: RequestId, attempt_id: AttemptId, outcome: Outcome) {
        // Whether the outcome closes the request is decided by the driver.
        let is_request_closed = false;
        let event = CoreEvent::AttemptEnded { request_id, attempt_id, outcome, is_request_closed };
        let _ = self.events.send(NodeEvent::Core(event)).await;
    }
}

#[cfg(test)]
#[path = "../../tests/unit/upstream.rs"]
mod tests;
