//! Admission control: adaptive load shedding, and request quotas per tenant.
use super::queueing::MAX_WAIT_SHARE;
use crate::ids::{RequestClassId, TenantId};
use crate::settings::Settings;
use crate::state::adaptive_share::{AdaptiveShare, ShareSteps};
use crate::state::request_class::{RequestClass, RequestClasses};
use crate::state::token_bucket::TokenBucket;
use crate::time::Millis;
use rand::RngExt;
use rand_chacha::ChaCha8Rng;

/// Step sizes of the admitted share. The floor keeps 5 % of the requests of mean cost admitted, so that the end of
/// an overload is detected.
const SHARE_STEPS: ShareSteps = ShareSteps { increase: 0.1, decrease: 0.85, floor: 0.05 };
/// Lower bound on the value of a class, which keeps the cost per value finite.
const MIN_VALUE: f64 = 1e-9;
/// Time over which a tenant accumulates unused quota, in milliseconds.
const QUOTA_BURST_SPAN: Millis = 2000.0;
/// Smallest burst that a quota allows, in requests.
const MIN_QUOTA_BURST: f64 = 3.0;
/// Upper bound on one node's part of a quota, as a multiple of an even split, because clients spread unevenly
/// over the nodes.
const MAX_QUOTA_SKEW: f64 = 2.0;
const MILLIS_PER_SECOND: f64 = 1000.0;

/// Whether a new request is accepted or shed.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub(crate) enum Admission {
    Admitted,
    Shed,
}

/// Whether a request is covered by its tenant's quota.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub(crate) enum QuotaUse {
    WithinQuota,
    OverQuota,
}

/// Sheds new requests at random while many attempts start late.
///
/// The admitted share adapts only if probes are forbidden. Otherwise probe replies show the queues, and requests
/// are shed by queue length.
pub(crate) struct AdmissionControl {
    share: AdaptiveShare,
    /// Whether starts of attempts change the share; if not, it stays at its last value.
    is_adaptive: bool,
    starts_reported: bool,
}

impl AdmissionControl {
    /// Creates a control that admits all requests.
    pub fn new() -> Self {
        let share = AdaptiveShare::new(SHARE_STEPS);
        AdmissionControl { share, is_adaptive: false, starts_reported: false }
    }

    /// Reads from the settings whether probes are allowed and whether executors report starts.
    pub fn apply_settings(&mut self, settings: &Settings) {
        self.is_adaptive = !settings.limits.probes_enabled;
        self.starts_reported = settings.executors.reports_start;
    }

    /// Admits a request with a probability of the admitted share to the power of [`relative_cost`]. Draws from
    /// the random source only if that probability is below 1.
    pub fn decide(&self, relative_cost: f64, random: &mut ChaCha8Rng) -> Admission {
        let share = self.share.share().powf(relative_cost);
        match share >= 1.0 || random.random::<f64>() < share {
            true => Admission::Admitted,
            false => Admission::Shed,
        }
    }

    /// Returns the longest time from dispatch to start, in milliseconds, with which a request of mean running
    /// time meets its latency objective. If starts are not reported, the bound applies to the time from dispatch
    /// to result.
    pub fn max_start_delay(&self, class: &RequestClass) -> Millis {
        if !self.starts_reported {
            // Only the end of the attempt is observed, so the bound has to cover the running time as well.
            return MAX_WAIT_SHARE * class.deadline;
        }
        class.mean_objective(class.service_time.mean)
    }

    /// Records that an attempt started after `delay`. A late start changes nothing here, because
    /// [`AdmissionControl::record_late_start`] has recorded it when the longest delay passed.
    pub fn record_start(&mut self, class: &RequestClass, delay: Millis) {
        if self.is_adaptive && delay <= self.max_start_delay(class) {
            self.share.increase();
        }
    }

    /// Records that an attempt ended `delay` after its dispatch; it stands in for the start if executors do not
    /// report starts.
    pub fn record_end(&mut self, class: &RequestClass, delay: Millis) {
        if !self.starts_reported {
            self.record_start(class, delay);
        }
    }

    /// Records that an attempt did not start within [`AdmissionControl::max_start_delay`].
    pub fn record_late_start(&mut self) {
        if self.is_adaptive {
            self.share.decrease();
        }
    }
}

/// Running time per value of a class, relative to the mean of all classes. Classes with a higher cost are shed
/// more.
pub(crate) fn relative_cost(classes: &RequestClasses, class: RequestClassId) -> f64 {
    let mean = classes.iter().map(cost_per_value).sum::<f64>() / classes.len() as f64;
    cost_per_value(&classes[class]) / mean
}

fn cost_per_value(class: &RequestClass) -> f64 {
    class.service_time.mean / class.terms.value.max(MIN_VALUE)
}

/// Token buckets for this node's part of each tenant's quota.
#[derive(Default)]
pub(crate) struct TenantQuotas {
    buckets: Vec<TokenBucket>,
}

impl TenantQuotas {
    /// Applies the quotas of the settings. A tenant that had a quota before keeps its unused tokens.
    pub fn apply_settings(&mut self, now: Millis, settings: &Settings, nodes: f64) {
        let part = (MAX_QUOTA_SKEW / nodes).min(1.0);
        self.buckets.resize_with(settings.quotas().count(), || TokenBucket::new(now));
        for (bucket, per_s) in self.buckets.iter_mut().zip(settings.quotas()) {
            bucket.rate_per_ms = per_s * part / MILLIS_PER_SECOND;
        }
    }

    /// Counts a request against its tenant's quota, unless it is a client's retry, whose first request was
    /// counted. A tenant without a quota is never over quota.
    pub fn record_request(&mut self, now: Millis, tenant: TenantId, is_retry: bool) -> QuotaUse {
        let Some(bucket) = self.buckets.get_mut(tenant.0 as usize) else { return QuotaUse::WithinQuota };
        bucket.refill(now, (bucket.rate_per_ms * QUOTA_BURST_SPAN).max(MIN_QUOTA_BURST));
        if !bucket.has_token() {
            return QuotaUse::OverQuota;
        }
        if !is_retry {
            bucket.take();
        }
        QuotaUse::WithinQuota
    }
}

#[cfg(test)]
#[path = "../../tests/unit/admission.rs"]
mod tests;
