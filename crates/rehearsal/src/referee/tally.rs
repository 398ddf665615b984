//! Counts how the requests of a rehearsal ended.
use super::facts::Facts;
use super::observations::{Answer, ClientAttempt, Observations};
use super::verdict::Verdict;
use serde::Serialize;
use std::collections::BTreeMap;
use std::ops::AddAssign;
use troutknot_emulator::Millis;

/// How the requests of one class, or all requests, ended.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct Tally {
    /// Planned requests.
    pub requests: usize,
    /// Requests answered with a valid result.
    pub completed: usize,
    /// Completed requests that met their latency objective.
    pub in_time: usize,
    /// Requests whose last response was a rejection (429 or 503).
    #[serde(rename = "deferred")]
    pub rejected: usize,
    /// Requests whose last response was any other failure.
    #[serde(rename = "aborted")]
    pub failed: usize,
    /// Requests that ended without a response, after a node was killed or otherwise.
    #[serde(rename = "cut")]
    pub disconnected: usize,
    /// Requests whose client left before a response.
    #[serde(rename = "left")]
    pub abandoned: usize,
    /// Requests that could not be sent to any node.
    #[serde(rename = "no_way_in")]
    pub unreachable: usize,
    /// Attempts by clients.
    #[serde(rename = "tries")]
    pub client_attempts: usize,
    /// Attempts dispatched to executors.
    #[serde(rename = "allocations")]
    pub attempts: usize,
    /// Median time from when a request was due to its result.
    pub p50_ms: f64,
    /// 99th percentile of the time from when a request was due to its result.
    pub p99_ms: f64,
}

/// Adds the counts; the percentiles stay unchanged, as they do not add up.
impl AddAssign<&Tally> for Tally {
    fn add_assign(&mut self, other: &Tally) {
        self.requests += other.requests;
        self.completed += other.completed;
        self.in_time += other.in_time;
        self.rejected += other.rejected;
        self.failed += other.failed;
        self.disconnected += other.disconnected;
        self.abandoned += other.abandoned;
        self.unreachable += other.unreachable;
        self.client_attempts += other.client_attempts;
        self.attempts += other.attempts;
    }
}

impl Tally {
    fn set_percentiles(&mut self, latencies: &mut [Millis]) {
        self.p50_ms = quantile(latencies, 0.5);
        self.p99_ms = quantile(latencies, 0.99);
    }
}

/// The counts and latencies of one class while its requests are added.
#[derive(Clone, Default)]
struct ClassTally {
    tally: Tally,
    latencies: Vec<Millis>,
}

/// The value of all requests that count for the service level, and of those that met their objective.
#[derive(Default)]
struct ServiceLevel {
    total_value: f64,
    value_in_time: f64,
}

/// Counts the outcomes of all planned requests. The verdict carries no violations.
pub(super) fn tally_outcomes(facts: &Facts, observations: &Observations) -> Verdict {
    let mut classes = vec![ClassTally::default(); facts.classes.len()];
    let mut service = ServiceLevel::default();
    for (number, client_attempts) in client_attempts_by_request(facts, observations).iter().enumerate() {
        let class = &mut classes[facts.requests[number].class];
        class.add_request(facts, number, client_attempts, &mut service);
    }
    let mut all = Tally::default();
    let mut by_class = BTreeMap::new();
    let mut all_latencies = Vec::new();
    for (class, ClassTally { mut tally, mut latencies }) in facts.classes.iter().zip(classes) {
        tally.set_percentiles(&mut latencies);
        all += &tally;
        all_latencies.append(&mut latencies);
        by_class.insert(class.name.clone(), tally);
    }
    all.set_percentiles(&mut all_latencies);
    Verdict { service: service.share(), all, by_class, ..Verdict::default() }
}

/// The client attempts of each planned request, in the order in which they were sent.
fn client_attempts_by_request<'a>(
    facts: &Facts,
    observations: &'a Observations,
) -> Vec<Vec<&'a ClientAttempt>> {
    let mut by_request = vec![Vec::new(); facts.requests.len()];
    for client_attempt in observations.client_attempts.values() {
        by_request[client_attempt.request].push(client_attempt);
    }
    for client_attempts in &mut by_request {
        client_attempts.sort_by(|a, b| a.sent_at.total_cmp(&b.sent_at));
    }
    by_request
}

impl ClassTally {
    fn add_request(
        &mut self,
        facts: &Facts,
        number: usize,
        client_attempts: &[&ClientAttempt],
        service: &mut ServiceLevel,
    ) {
        let request = &facts.requests[number];
        let class = &facts.classes[request.class];
        let due_at = facts.started_at + request.due_at;
        self.tally.requests += 1;
        self.tally.client_attempts += client_attempts.len();
        self.tally.attempts +=
            client_attempts.iter().map(|client_attempt| client_attempt.attempts.len()).sum::<usize>();
        let mut answers = client_attempts.iter().filter_map(|client_attempt| client_attempt.answer);
        if let Some(result) = answers.find(Answer::is_valid_result) {
            let is_in_time = result.at <= due_at + class.latency_objective;
            self.tally.completed += 1;
            self.tally.in_time += usize::from(is_in_time);
            self.latencies.push(result.at - due_at);
            service.total_value += class.value;
            service.value_in_time += if is_in_time { class.value } else { 0.0 };
            return;
        }
        let outcome = self.count_without_result(client_attempts.last().copied());
        *outcome += 1;
        if !client_attempts.last().is_some_and(|last| last.was_abandoned()) {
            service.total_value += class.value;
        }
    }

    /// The count that a request without a valid result belongs to, by its last client attempt.
    fn count_without_result(&mut self, last: Option<&ClientAttempt>) -> &mut usize {
        let tally = &mut self.tally;
        let Some(last) = last else { return &mut tally.unreachable };
        match last.answer {
            Some(answer) if answer.is_rejection() => &mut tally.rejected,
            Some(_) => &mut tally.failed,
            None if last.was_abandoned() => &mut tally.abandoned,
            None => &mut tally.disconnected,
        }
    }
}

impl ServiceLevel {
    fn share(&self) -> f64 {
        if self.total_value > 0.0 { self.value_in_time / self.total_value } else { 1.0 }
    }
}

/// Sorts the values and returns the nearest one to the given quantile (0 to 1); 0 for no values.
pub fn quantile(values: &mut [f64], share: f64) -> f64 {
    values.sort_by(f64::total_cmp);
    let index = (share * (values.len().saturating_sub(1)) as f64).round() as usize;
    values.get(index).copied().unwrap_or(0.0)
}
