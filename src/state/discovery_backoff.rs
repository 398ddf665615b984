//! When the list is asked for, where it must be asked. Nothing is decided here of where work goes.
use crate::terms::{Millis, NamedValues};
use rand::RngExt;
use rand_chacha::ChaCha8Rng;

/// How far apart nodes that were not answered ask for the list, and the part of the asking span they take.
const ASK_APART: Millis = 100.0;
const ASK_WITHIN: f64 = 0.7;
/// The longest back-off, as a part of the asking span.
const OF_SPAN: f64 = 0.25;
/// A list that is told by itself and falls silent is asked for again within this part of the grace, in which what
/// is told at its return must be known.
const OF_GRACE: f64 = 0.25;
const LEAST_WAIT: Millis = 100.0;

pub struct Following {
    pub ask_at: Millis,
    /// Whether the list has been told, and at most one call has failed since it was lost.
    pub stood: bool,
    pub failures: u32,
    pub ask_every: Millis,
    /// Where the list is told without being asked: the grace of an executor that drains.
    pub grace: Option<Millis>,
}

impl Following {
    pub fn new(values: &NamedValues, now: Millis) -> Self {
        let ask_at = if values.text("list_mode") == "asked" { now } else { f64::INFINITY };
        Following { ask_at, stood: false, failures: 0, ask_every: 0.0, grace: None }
    }

    /// The list was told: what to say of it, if calls had failed.
    pub fn heard(&mut self) -> Option<String> {
        self.stood = true;
        let failures = std::mem::take(&mut self.failures);
        (failures > 0).then(|| format!("list back after {failures} failures"))
    }

    /// A call failed, or following broke off: when to ask again, and what to say of it.
    pub fn lost(&mut self, now: Millis, nodes: f64, turned_away: bool, rng: &mut ChaCha8Rng) -> String {
        // Waits grow, with jitter against asking in step, well inside the span that counts as told.
        self.failures = (self.failures + 1).min(6);
        // What a silent source knows counts as told when it is back, and whoever waits longer goes on pushing to
        // executors that drain. One that turns calls away is there, and has too many of them.
        let soon = self.grace.filter(|_| !turned_away);
        let longest = self.ask_every * OF_SPAN;
        let longest = soon.map_or(longest, |grace| (grace * OF_GRACE).max(LEAST_WAIT).min(longest));
        let wait = (100.0 * f64::powi(2.0, self.failures as i32)).min(longest);
        // Guards against many nodes that ask so often together that each call waits past its time
        // and none is answered: what failed is asked again spread over a span for all of them.
        let apart = if soon.is_some() { 0.0 } else { ASK_APART };
        let all = ((nodes - 1.0) * apart).min(self.ask_every * ASK_WITHIN);
        // A list that fell silent, one call in vain and such a wait are together longer than a change may take.
        let first_silence = self.failures == 1 || !turned_away;
        let spread = if self.stood && first_silence { 0.0 } else { all };
        self.stood &= self.failures == 1;
        let wait = wait * rng.random_range(0.5..1.0) + spread * rng.random::<f64>();
        self.ask_at = now + wait;
        format!("list lost: failure {}, asking in {wait:.0} ms", self.failures)
    }
}
