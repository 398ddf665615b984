//! Smoothed figures of probes: how often they show a queue, and their latency.
use crate::event::ProbeReply;
use crate::settings::Settings;
use crate::state::smooth;
use crate::time::Millis;

/// Weight of one reply in the busy ratio: about the last hundred count.
const REPLY_WEIGHT: f64 = 0.01;
/// The busy ratio assumed before the first reply.
const PRIOR_BUSY_RATIO: f64 = 0.25;
/// The number of replies as which that assumption counts.
const PRIOR_REPLIES: f64 = 4.0;
/// Weight of one probe in the smoothed latency.
const LATENCY_WEIGHT: f64 = 0.05;
/// Lower bound on a reported queue length that counts as a queue.
pub(crate) const MIN_QUEUE_LENGTH: f64 = 0.5;
/// A probe times out after this many smoothed latencies, plus the margin.
const PROBE_TIMEOUT_LATENCIES: f64 = 8.0;
const PROBE_TIMEOUT_MARGIN: Millis = 5.0;
/// The latency assumed before the first reply.
const INITIAL_PROBE_LATENCY: Millis = 15.0;
/// Lower bound on the mean running time by which a probe's latency is divided.
const MIN_RUNNING_TIME: Millis = 1.0;

/// Smoothed figures of probes.
#[derive(Default)]
pub(crate) struct ProbeStatistics {
    /// Smoothed share of replies that showed a queue; `None` before the first reply.
    pub busy_ratio: Option<f64>,
    replies: f64,
    /// Smoothed time from a probe to its reply; `None` before the first reply.
    pub latency: Option<Millis>,
    /// The price of a probe, relative to the value of a request.
    pub price: f64,
    /// Whether the settings forbid probes.
    pub is_forbidden: bool,
}

impl ProbeStatistics {
    pub fn apply_settings(&mut self, settings: &Settings) {
        self.price = settings.prices.probe;
        self.is_forbidden = !settings.limits.probes_enabled;
        if self.is_forbidden {
            // Without replies no queue is ever shown, and the sample size is computed from this ratio.
            self.busy_ratio = Some(0.0);
        }
    }

    /// Adds a reply to the smoothed figures.
    pub fn observe(&mut self, reply: &ProbeReply) {
        smooth(self.latency.get_or_insert(reply.latency), reply.latency, LATENCY_WEIGHT);
        let is_busy = reply.report.queue_length.unwrap_or(0.0) >= MIN_QUEUE_LENGTH;
        // The first replies weigh more: a node with little traffic would retain the initial ratio for hours.
        self.replies += 1.0;
        let weight = REPLY_WEIGHT.max(1.0 / (self.replies + PRIOR_REPLIES));
        smooth(self.busy_ratio.get_or_insert(PRIOR_BUSY_RATIO), f64::from(is_busy), weight);
    }

    /// Continues with the figures of an earlier process.
    pub fn import(&mut self, busy_ratio: Option<f64>, latency: Option<Millis>) {
        self.latency = latency;
        self.busy_ratio = if self.is_forbidden { self.busy_ratio } else { busy_ratio };
        // An imported ratio already rests on as many replies as count.
        self.replies = if self.busy_ratio.is_some() { 1.0 / REPLY_WEIGHT } else { 0.0 };
    }

    /// The cost of a probe in mean running times: its latency (the paper's C), and its price relative to the
    /// value of a request.
    pub fn cost(&self, mean_running_time: Millis) -> f64 {
        self.latency.unwrap_or(0.0) / mean_running_time.max(MIN_RUNNING_TIME) + self.price
    }

    /// How long a request awaits a reply.
    pub fn timeout(&self) -> Millis {
        PROBE_TIMEOUT_LATENCIES * self.latency.unwrap_or(INITIAL_PROBE_LATENCY) + PROBE_TIMEOUT_MARGIN
    }
}
