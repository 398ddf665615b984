//! Smoothed statistics of probes: how often replies show a queue, and the latency.
use crate::event::ProbeReply;
use crate::settings::Settings;
use crate::state::smooth;
use crate::time::Millis;

/// Weight of one reply in the busy ratio, which averages over about the last 100 replies.
const REPLY_WEIGHT: f64 = 0.01;
/// Busy ratio assumed before the first reply.
const PRIOR_BUSY_RATIO: f64 = 0.25;
/// Number of replies as which the assumed busy ratio counts.
const PRIOR_REPLIES: f64 = 4.0;
/// Weight of one probe in the smoothed latency.
const LATENCY_WEIGHT: f64 = 0.05;
/// Smallest reported queue length that counts as a queue.
pub(crate) const MIN_QUEUE_LENGTH: f64 = 0.5;
/// Probe timeout as a multiple of the smoothed latency, to which the margin is added.
const PROBE_TIMEOUT_LATENCIES: f64 = 8.0;
/// Margin added to the probe timeout, in milliseconds.
const PROBE_TIMEOUT_MARGIN: Millis = 5.0;
/// Probe latency from which the probe timeout follows before the first reply, in milliseconds.
const INITIAL_PROBE_LATENCY: Millis = 15.0;
/// Lower bound on the mean running time by which the probe latency is divided, in milliseconds.
const MIN_RUNNING_TIME: Millis = 1.0;

/// Smoothed statistics of probes, and their price.
#[derive(Default)]
pub(crate) struct ProbeStatistics {
    /// Smoothed share of replies that showed a queue; `None` before the first reply.
    pub busy_ratio: Option<f64>,
    replies: f64,
    /// Smoothed time from a probe to its reply; `None` before the first reply.
    pub latency: Option<Millis>,
    /// Price of a probe, relative to the value of a request.
    pub price: f64,
    /// Whether the settings forbid probes.
    pub is_forbidden: bool,
}

impl ProbeStatistics {
    pub fn apply_settings(&mut self, settings: &Settings) {
        self.price = settings.prices.probe;
        self.is_forbidden = !settings.limits.probes_enabled;
        if self.is_forbidden {
            // The sample size is computed from this ratio, and no reply ever updates it.
            self.busy_ratio = Some(0.0);
        }
    }

    /// Adds a probe reply to the statistics.
    pub fn observe(&mut self, reply: &ProbeReply) {
        smooth(self.latency.get_or_insert(reply.latency), reply.latency, LATENCY_WEIGHT);
        let is_busy = reply.report.queue_length.unwrap_or(0.0) >= MIN_QUEUE_LENGTH;
        // The first replies have a higher weight, because a node with little traffic would otherwise keep the
        // assumed ratio for hours.
        self.replies += 1.0;
        let weight = REPLY_WEIGHT.max(1.0 / (self.replies + PRIOR_REPLIES));
        smooth(self.busy_ratio.get_or_insert(PRIOR_BUSY_RATIO), f64::from(is_busy), weight);
    }

    /// Imports the statistics of an earlier process.
    pub fn import(&mut self, busy_ratio: Option<f64>, latency: Option<Millis>) {
        self.latency = latency;
        self.busy_ratio = if self.is_forbidden { self.busy_ratio } else { busy_ratio };
        // An imported ratio already averages over the full number of replies.
        self.replies = if self.busy_ratio.is_some() { 1.0 / REPLY_WEIGHT } else { 0.0 };
    }

    /// Cost of a probe in mean running times: its latency (C in the ESM paper) plus its price relative to the value of a
    /// request.
    pub fn cost(&self, mean_running_time: Millis) -> f64 {
        self.latency.unwrap_or(0.0) / mean_running_time.max(MIN_RUNNING_TIME) + self.price
    }

    /// Time for which a request awaits a probe reply, in milliseconds.
    pub fn timeout(&self) -> Millis {
        PROBE_TIMEOUT_LATENCIES * self.latency.unwrap_or(INITIAL_PROBE_LATENCY) + PROBE_TIMEOUT_MARGIN
    }
}
