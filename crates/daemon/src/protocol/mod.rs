//! The protocol with clients, executors and discovery: its names on the wire, and how its messages map to the
//! types of the dispatcher. No other module of the node contains these names.
mod attempt_events;
mod codec;
mod current;
mod dispatch;
mod endpoint_list;
mod load_report;
mod names;
mod request;
mod response;

pub use attempt_events::{
    AttemptEvent, AttemptStatus, EventError, next_line, outcome_of_head, parse_attempt_event,
    parse_attempt_status,
};
pub use codec::Codec;
pub use current::Current;
pub use dispatch::LeaseFields;
pub use endpoint_list::{EndpointEntry, EndpointList};
pub use names::{HEALTH_PATH, REQUEST_STATUS_PATH, endpoint_state};
pub use request::{RequestError, RequestWithTimeout, parse_idempotency_key};
pub use response::ResponseParts;

#[cfg(test)]
#[path = "../../tests/unit/protocol.rs"]
mod tests;
