//! The plan of a day: all requests, executors and steps, generated from a scenario and a seed before the day starts.
//! Equal seeds give equal plans, which [`Plan::hash`] shows.
mod disturbances;
mod executors;
mod faults;
mod fingerprint;
mod random;
mod request_id;
mod requests;
mod schedule;
mod step;

pub use executors::PlannedExecutor;
pub use request_id::{format_request_id, parse_request_id};
pub use requests::Request;
pub use step::Step;

use crate::scenario::{Scenario, millis};
use random::{Stream, generator};
use schedule::Schedule;
use troutknot_emulator::Millis;

/// Time allowed for every node to read a new endpoint list after the longest notice delay, in milliseconds.
const LIST_READ_ALLOWANCE: Millis = 100.0;

/// A day, generated from a scenario and a seed.
#[derive(Clone, Debug)]
pub struct Plan {
    /// The seed that the plan was generated from.
    pub seed: u64,
    /// The requests in the order of their arrival.
    pub requests: Vec<Request>,
    /// The initial executors, then the replacements that join during the day.
    pub executors: Vec<PlannedExecutor>,
    /// The steps with their time in milliseconds since the start of the day, in the order of time.
    pub steps: Vec<(Millis, Step)>,
    /// The length of the day in milliseconds.
    pub length: Millis,
}

impl Plan {
    /// Generates the day of a scenario.
    pub fn generate(scenario: &Scenario, seed: u64) -> Self {
        let initial = executors::generate_initial(scenario, generator(seed, Stream::Executors));
        let mut schedule = Schedule::new(scenario, initial, generator(seed, Stream::Steps));
        for (number, spec) in scenario.faults.iter().enumerate() {
            schedule.add_fault(number, spec.get_ref());
        }
        for event in &scenario.events {
            schedule.add_event(event.get_ref());
        }
        let (executors, steps) = schedule.finish();
        let requests = requests::generate(scenario, generator(seed, Stream::Requests));
        Plan { seed, requests, executors, steps, length: millis(scenario.length) }
    }
}

/// Time between the registration of a restarted executor with discovery and its first accepted connection, in
/// milliseconds. By then all nodes have read the new list.
pub fn startup_delay(scenario: &Scenario) -> Millis {
    millis(scenario.discovery.max_notice_delay) + LIST_READ_ALLOWANCE
}
