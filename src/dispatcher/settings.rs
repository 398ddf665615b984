//! Applies new settings to the rules and the state.
use super::Dispatcher;
use crate::policy::start_check::StartCheck;
use crate::settings::Settings;
use crate::time::Millis;

impl Dispatcher {
    /// Applies new settings from now on. Existing request classes retain their terms, so that a request keeps the
    /// terms that it arrived with; only additional classes are added.
    pub fn apply_settings(&mut self, now: Millis, settings: &Settings) {
        self.classes.add_new(settings);
        self.nodes = settings.nodes.max(1.0);
        self.quotas.apply_settings(now, settings, self.nodes);
        self.over_quota_value = settings.over_quota_value;
        self.fleet.apply_settings(settings, self.nodes, self.classes.max_objective());
        self.retry_after_enabled = settings.limits.retry_after_enabled;
        self.connection_reuse.apply_settings(settings);
        self.gossip_enabled = settings.limits.gossip_enabled;
        self.probes.apply_settings(settings);
        self.admission.apply_settings(settings);
        self.start_check = StartCheck::new(settings);
        self.discovery.apply_settings(settings);
    }
}
