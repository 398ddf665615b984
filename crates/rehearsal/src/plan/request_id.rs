//! Request ids on the wire: 16 hex digits, of which 6 identify the seed, 8 are the request's number and 2 the attempt.
use super::Plan;
use crate::scenario::Scenario;
use troutknot_emulator::executors::RequestSpec;

const ID_DIGITS: usize = 16;
const SEED_DIGITS: usize = 6;
/// Index of the first digit after the request's number.
const REQUEST_END: usize = 14;

/// Formats the id of one attempt of a request; all attempts from 255 on share an id.
pub fn format_request_id(seed: u64, request: usize, attempt: u32) -> String {
    format!("{:06x}{:08x}{:02x}", (seed ^ (seed >> 24)) & 0xff_ffff, request, attempt.min(255))
}

/// Parses an id into the request's number and the attempt; `None` if it is malformed or of another seed.
pub fn parse_request_id(seed: u64, id: &str) -> Option<(usize, u32)> {
    if id.len() != ID_DIGITS || !id.is_ascii() {
        return None;
    }
    if id[..SEED_DIGITS] != format_request_id(seed, 0, 0)[..SEED_DIGITS] {
        return None;
    }
    let request = usize::from_str_radix(&id[SEED_DIGITS..REQUEST_END], 16).ok()?;
    let attempt = u32::from_str_radix(&id[REQUEST_END..], 16).ok()?;
    Some((request, attempt))
}

impl Plan {
    /// The id of one attempt of a request of this plan.
    pub fn request_id(&self, request: usize, attempt: u32) -> String {
        format_request_id(self.seed, request, attempt)
    }

    /// The work that an executor performs for a request id; `None` if the id is not of this plan.
    pub fn work(&self, scenario: &Scenario, id: &str) -> Option<RequestSpec> {
        let (number, _) = parse_request_id(self.seed, id)?;
        let request = self.requests.get(number)?;
        let class = scenario.request_classes.get(request.request_class)?.get_ref();
        Some(RequestSpec {
            request_id: number as u64,
            request_class: request.request_class,
            slots: class.slots,
            memory: class.memory,
            work: request.work,
            priority: class.value,
        })
    }
}
