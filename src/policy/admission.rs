//! Which requests are taken, and for how long they are queued: adaptive admission, and quotas of tenants.
use crate::dispatcher::Dispatcher;
use crate::ids::{RequestClassId, TenantId};
use crate::state::adaptive_share::ShareSteps;
use crate::state::request_class::RequestClass;
use crate::time::Millis;

/// The steps of the share of requests that is taken, by attempts that began in time and by late ones. With
/// the floor the end of an overload is seen.
pub(crate) const ADMISSION_STEPS: ShareSteps = ShareSteps { increase: 0.1, decrease: 0.85, floor: 0.05 };
/// Part of the time that a mean request has to spare within its objective; short ones have less. Of the
/// deadline where starts are not reported.
const PATIENCE: f64 = 0.25;
/// Span over which a tenant saves up what it did not ask for.
const QUOTA_SPAN: Millis = 2000.0;
/// The least that it may save, in requests.
const LEAST_BURST: f64 = 3.0;
/// The least value that is reckoned with.
const LEAST_VALUE: f64 = 1e-9;
/// Traffic is uneven, so a node takes up to so many times its even part of what all share.
pub(crate) const UNEVENNESS: f64 = 2.0;

impl RequestClass {
    fn cost_per_value(&self) -> f64 {
        self.service_time.mean / self.terms.value.max(LEAST_VALUE)
    }

    /// How long a request may be queued.
    pub fn max_queueing_time(&self) -> Millis {
        PATIENCE * self.mean_objective(self.response_time.mean)
    }
}

impl Dispatcher {
    /// Whether a new request is taken: by chance, where queues cannot be seen and many attempts begin late.
    /// What needs more work for its value is shed first.
    pub(crate) fn admits(&mut self, class: RequestClassId) -> bool {
        let mean =
            self.classes.iter().map(RequestClass::cost_per_value).sum::<f64>() / self.classes.len() as f64;
        let relative_cost = self.classes[class].cost_per_value() / mean;
        let share = self.admission.share().powf(relative_cost);
        share >= 1.0 || rand::RngExt::random::<f64>(&mut self.random) < share
    }

    /// How long an attempt may take to begin for a mean request of its class to be in time; where starts are
    /// not reported, how long to end.
    pub(crate) fn max_start_delay(&self, class: RequestClassId) -> Millis {
        let class = &self.classes[class];
        if !self.starts_reported {
            // Its running time cannot be told apart from its wait.
            return PATIENCE * class.deadline;
        }
        class.mean_objective(class.service_time.mean)
    }

    /// An attempt that has not begun in time was observed when its time was over.
    pub(crate) fn observe_start_delay(&mut self, class: RequestClassId, delay: Millis) {
        if self.probes.is_forbidden && delay <= self.max_start_delay(class) {
            self.admission.increase();
        }
    }

    /// Whether a request is beyond its tenant's quota; a client that asks again is not counted twice.
    pub(crate) fn is_over_quota(&mut self, now: Millis, tenant: TenantId, is_retry: bool) -> bool {
        let Some(quota) = self.quotas.get_mut(tenant.0 as usize) else { return false };
        quota.refill(now, (quota.rate_per_ms * QUOTA_SPAN).max(LEAST_BURST));
        let is_over = !quota.has_token();
        if !is_over && !is_retry {
            quota.take();
        }
        is_over
    }
}
