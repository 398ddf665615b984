//! The task that watches one service, and the state of its watch.
use super::query::{QueryError, ServiceQueries};
use super::{CACHED_LIST, WatcherState};
use crate::units::to_duration;
use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use tokio::task::AbortHandle;
use tokio::time::sleep;
use troutknot::Millis;
use troutknot_consul::catalog::WatchId;
use troutknot_consul::health::ServiceInstance;
use troutknot_consul::query::WatchedService;

/// The watch of one service.
pub(super) struct ServiceWatch {
    /// The service and the parameters of its queries.
    pub watched: WatchedService,
    /// Identifies the watch in the catalog.
    pub watch_id: WatchId,
    /// Aborts the task that runs the queries.
    pub task: AbortHandle,
    /// The time of the last usable answer.
    pub last_answer_at: Cell<Option<Millis>>,
    /// Whether the last query failed.
    pub is_failing: Cell<bool>,
}

impl WatcherState {
    /// Queries a service until the task is aborted.
    pub(super) async fn run_queries(self: Rc<Self>, mut queries: ServiceQueries, watch_id: WatchId) {
        loop {
            let address = queries.agent();
            let wait = match queries.query(&self.limits).await {
                Ok(answer) => {
                    self.apply_answer(watch_id, &answer.instances).await;
                    answer.next_query_after
                }
                Err(error) => {
                    self.record_failure(watch_id, address, &error);
                    queries.fail_over(self.random_jitter())
                }
            };
            sleep(to_duration(wait)).await;
        }
    }

    /// A random number from 0 to 1, for jitter.
    fn random_jitter(&self) -> f64 {
        // Xorshift64 (Marsaglia, 2003); its state must not be 0.
        let mut state = self.random_state.get() | 1;
        state ^= state << 13;
        state ^= state >> 7;
        state ^= state << 17;
        self.random_state.set(state);
        (state >> 11) as f64 / (1u64 << 53) as f64
    }

    async fn apply_answer(&self, watch_id: WatchId, instances: &[Rc<ServiceInstance>]) {
        let now = self.clock.now();
        for watch in self.watches.borrow().iter().filter(|watch| watch.watch_id == watch_id) {
            if watch.is_failing.replace(false) {
                let service = &watch.watched.service;
                let elapsed_ms = watch.last_answer_at.get().map(|at| (now - at).round());
                tracing::info!(%service, elapsed_ms, count = instances.len(), "consul query recovered");
            }
            watch.last_answer_at.set(Some(now));
        }
        self.catalog.borrow_mut().apply_response(now, watch_id, instances);
        if self.has_all_answers() && self.has_cached_list.replace(false) {
            self.catalog.borrow_mut().apply_response(now, CACHED_LIST, &[]);
        }
        self.publish().await;
    }

    fn has_all_answers(&self) -> bool {
        let catalog = self.catalog.borrow();
        self.watches.borrow().iter().all(|watch| catalog.has_answered(watch.watch_id))
    }

    fn record_failure(&self, watch_id: WatchId, address: SocketAddr, error: &QueryError) {
        let now = self.clock.now();
        let count = self.catalog.borrow().listed_count();
        for watch in self.watches.borrow().iter().filter(|watch| watch.watch_id == watch_id) {
            let service = &watch.watched.service;
            if watch.is_failing.replace(true) {
                tracing::debug!(%service, %address, %error, "consul query failed again");
            } else {
                let elapsed_ms = watch.last_answer_at.get().map(|at| (now - at).round());
                tracing::warn!(
                    %service,
                    %address,
                    %error,
                    elapsed_ms,
                    count,
                    "consul query failed, keeping the last list"
                );
            }
        }
        self.refresh_status();
    }
}
