//! How new settings reach the parts of a dispatcher.
use super::Dispatcher;
use crate::policy::admission::UNEVENNESS;
use crate::policy::slow_start::SlowStart;
use crate::settings::{Settings, WeightSource};
use crate::state::token_bucket::TokenBucket;
use crate::time::Millis;

impl Dispatcher {
    /// Goes by new settings from now on. A request keeps the class that it came with, so all terms of it:
    /// classes that are known stay as they are, and only further ones are read.
    pub fn apply_settings(&mut self, now: Millis, settings: &Settings) {
        self.classes.add_new(settings);
        self.nodes = settings.nodes.max(1.0);
        let part = (UNEVENNESS / self.nodes).min(1.0);
        self.quotas.resize_with(settings.quotas().count(), || TokenBucket::new(now));
        for (quota, per_s) in self.quotas.iter_mut().zip(settings.quotas()) {
            quota.rate_per_ms = per_s * part / 1000.0;
        }
        self.over_quota_value = settings.over_quota_value;
        let longest = self.classes.iter().map(|class| class.latency_objective).fold(1.0, f64::max);
        self.slow_start = SlowStart::new(settings, self.nodes, longest);
        self.retry_after_enabled = settings.limits.retry_after_enabled;
        self.local_zone = settings.preferred_zone();
        self.executors.weights_fall_with_load = settings.weight_source == WeightSource::Live;
        self.idle_timeout = settings.limits.idle_timeout.unwrap_or(0.0);
        self.gossip_enabled = settings.limits.gossip_enabled;
        self.probes.price = settings.prices.probe;
        self.probes.is_forbidden = !settings.limits.probes_enabled;
        if self.probes.is_forbidden {
            // No reply ever shows a queue, and what is worked out now and then goes by that.
            self.probes.busy_ratio = Some(0.0);
        }
        self.starts_reported = settings.executors.reports_start;
        self.start_check_delay = self.start_check_delay(settings.limits.hedging_enabled);
        self.discovery.apply_settings(settings);
    }
}
