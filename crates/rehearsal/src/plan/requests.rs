//! The requests of a day: a Poisson process whose rate follows the scenario's load curve.
use super::random::weighted_index;
use crate::scenario::{RequestClass, Scenario, millis};
use rand::RngExt;
use rand_chacha::ChaCha8Rng;
use rand_distr::{Distribution, Exp1, StandardNormal};
use std::time::Duration;
use troutknot_emulator::Millis;

/// One request of a client; retries belong to the same request.
#[derive(Clone, Debug, PartialEq)]
pub struct Request {
    /// When the client sends it, in milliseconds since the start of the day.
    pub at: Millis,
    /// The index of its class in the scenario.
    pub request_class: usize,
    /// The index of its tenant in the scenario; 0 if the scenario names none.
    pub tenant: usize,
    /// Its service time on one core of speed 1, in milliseconds.
    pub work: Millis,
    /// How long the client waits for an answer before it disconnects, in milliseconds; `None` if it waits until
    /// the deadline.
    pub disconnects_after: Option<Millis>,
}

/// Generates the requests of a day, in the order of their arrival.
pub(super) fn generate(scenario: &Scenario, rng: ChaCha8Rng) -> Vec<Request> {
    let rate_per_ms = scenario.rate_per_ms();
    if rate_per_ms <= 0.0 {
        return Vec::new();
    }
    let length = millis(scenario.length);
    let peak = scenario.traffic.get_ref().curve.iter().map(|point| point.factor).fold(1.0, f64::max);
    let mut generator = RequestGenerator::new(scenario, rng);
    let mut requests = Vec::new();
    let mut at = 0.0;
    loop {
        let gap: f64 = Exp1.sample(&mut generator.rng);
        at += gap / (rate_per_ms * peak);
        if at >= length {
            return requests;
        }
        // Thinning turns the constant peak rate into the rate of the curve.
        let time_of_day = Duration::from_secs_f64(at / 1000.0);
        if generator.rng.random::<f64>() * peak < scenario.load_factor(time_of_day) {
            requests.push(generator.sample_request(at));
        }
    }
}

struct RequestGenerator<'a> {
    scenario: &'a Scenario,
    classes: Vec<&'a RequestClass>,
    class_weights: Vec<f64>,
    tenant_weights: Vec<f64>,
    rng: ChaCha8Rng,
}

impl<'a> RequestGenerator<'a> {
    fn new(scenario: &'a Scenario, rng: ChaCha8Rng) -> Self {
        let classes: Vec<&RequestClass> =
            scenario.request_classes.iter().map(|class| class.get_ref()).collect();
        RequestGenerator {
            scenario,
            class_weights: classes.iter().map(|class| class.share).collect(),
            tenant_weights: scenario.tenants.iter().map(|tenant| tenant.get_ref().share).collect(),
            classes,
            rng,
        }
    }

    /// Samples the request that arrives at `at`.
    fn sample_request(&mut self, at: Millis) -> Request {
        let request_class = weighted_index(&mut self.rng, &self.class_weights);
        let class = self.classes[request_class];
        let deviation: f64 = StandardNormal.sample(&mut self.rng);
        let log_normal = (class.work_sigma * deviation - class.work_sigma * class.work_sigma / 2.0).exp();
        let disconnects = self.rng.random::<f64>() < self.scenario.clients.disconnect_share;
        // Sampled for every request, so that all of them take the same number of draws.
        let disconnect_delay = self.rng.random::<f64>() * millis(class.latency_objective);
        Request {
            at,
            request_class,
            tenant: self.sample_tenant(),
            work: millis(class.work) * log_normal,
            disconnects_after: disconnects.then_some(disconnect_delay),
        }
    }

    fn sample_tenant(&mut self) -> usize {
        if self.tenant_weights.is_empty() {
            return 0;
        }
        weighted_index(&mut self.rng, &self.tenant_weights)
    }
}
