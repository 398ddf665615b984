//! Blocking queries: their request targets, and the effect of a response's header fields on the next query.
use crate::Millis;
use std::fmt::Write;

/// Consul prolongs the wait of a blocking query by up to this share of it, so that not all queries end at once.
const WAIT_JITTER_RATIO: f64 = 1.0 / 16.0;

/// Time that a response may take beyond the wait of its query, in milliseconds.
const RESPONSE_ALLOWANCE: Millis = 3000.0;

/// Backoff after the first failed query, before jitter, in milliseconds.
const INITIAL_BACKOFF: Millis = 250.0;
/// Upper bound on the doublings of the backoff, which is therefore 64 s at most, also where
/// [`QueryTiming::max_backoff`] is longer.
const MAX_BACKOFF_DOUBLINGS: u32 = 8;

/// Consul's consistency modes.
#[derive(Clone, Copy, PartialEq, Eq, Debug, Default)]
pub enum Consistency {
    /// The leader answers without a confirmation of its leadership.
    #[default]
    Default,
    /// Any server answers, even if there is no leader.
    Stale,
    /// The leader confirms its leadership before it answers.
    Consistent,
}

/// The service that a query watches.
#[derive(Clone, PartialEq, Debug, Default)]
pub struct WatchedService {
    /// Name of the service in the catalog.
    pub service: String,
    /// The datacenter; `None` for that of the agent.
    pub datacenter: Option<String>,
    /// The namespace; `None` for that of the token.
    pub namespace: Option<String>,
    /// A filter expression that the agent applies to the instances.
    pub filter: Option<String>,
    /// The consistency mode of the query.
    pub consistency: Consistency,
}

/// Timing of the queries of one watch, in milliseconds.
#[derive(Clone, Copy, PartialEq, Debug)]
pub struct QueryTiming {
    /// How long an agent may block a query while nothing changes.
    pub wait: Millis,
    /// Upper bound on the backoff between queries that fail.
    pub max_backoff: Millis,
    /// Pause after a response, which bounds the rate of queries for a service that changes all the time.
    pub min_interval: Millis,
    /// Upper bound on the age of a stale response.
    pub max_staleness: Millis,
}

impl Default for QueryTiming {
    fn default() -> Self {
        QueryTiming { wait: 10_000.0, max_backoff: 10_000.0, min_interval: 50.0, max_staleness: 10_000.0 }
    }
}

/// Why a response must not be used; the endpoints stay as they are.
#[derive(Clone, PartialEq, Debug, thiserror::Error)]
pub enum ResponseError {
    /// The agent or its servers reported an error.
    #[error("status {0}")]
    Status(u16),
    /// The servers have no leader, so the response may be out of date.
    #[error("the cluster has no leader")]
    NoLeader,
    /// The server has had no contact with the leader for this many milliseconds, which is too long.
    #[error("the server was last in contact with the leader {0:.0} ms ago")]
    Stale(Millis),
    /// The agent is behind another agent, whose response was used earlier.
    #[error("index {index} is behind index {highest}, which was seen before")]
    IndexBehind {
        /// The response's index.
        index: u64,
        /// The highest index whose response was used.
        highest: u64,
    },
    /// The index is missing or invalid; without it the next query would not block.
    #[error("X-Consul-Index is missing or not valid")]
    InvalidIndex,
}

/// The status and the header fields of a response.
#[derive(Clone, Copy, PartialEq, Debug, Default)]
pub struct ResponseHeaders<'a> {
    /// The HTTP status.
    pub status: u16,
    /// `X-Consul-Index`.
    pub index: Option<&'a str>,
    /// `X-Consul-KnownLeader`.
    pub known_leader: Option<&'a str>,
    /// `X-Consul-LastContact`, in milliseconds.
    pub last_contact: Option<&'a str>,
}

impl ResponseHeaders<'_> {
    fn parse_index(&self) -> Option<u64> {
        self.index?.parse().ok()
    }

    fn staleness(&self) -> Millis {
        self.last_contact.and_then(|text| text.parse().ok()).unwrap_or(0.0)
    }
}

/// The state of the blocking queries of one watch, which are sent one after another.
#[derive(Clone, PartialEq, Debug)]
pub struct BlockingQuery {
    watched: WatchedService,
    timing: QueryTiming,
    /// The index after which the next query waits for a change; 0 does not block.
    index: u64,
    consecutive_failures: u32,
    /// The highest index whose response was used.
    highest_index: u64,
    /// Number of consecutive responses with a lower index than the highest.
    lower_index_responses: u32,
    /// Number of agents that the queries may be sent to.
    agent_count: u32,
}

impl BlockingQuery {
    /// Creates the state of a watch whose queries may be sent to any of `agent_count` agents.
    pub fn new(watched: WatchedService, timing: QueryTiming, agent_count: u32) -> Self {
        BlockingQuery {
            watched,
            timing,
            index: 0,
            consecutive_failures: 0,
            highest_index: 0,
            lower_index_responses: 0,
            agent_count,
        }
    }

    /// Returns the service that is watched.
    pub fn watched(&self) -> &WatchedService {
        &self.watched
    }

    /// Returns the index after which the next query waits for a change; 0 before the first response and after a reset.
    pub fn index(&self) -> u64 {
        self.index
    }

    /// Returns the number of queries that failed since a response was last used.
    pub fn consecutive_failures(&self) -> u32 {
        self.consecutive_failures
    }

    /// Returns the path and query string of the next query.
    pub fn target(&self) -> String {
        let watched = &self.watched;
        let service = percent_encode(&watched.service);
        let mut target = format!("/v1/health/service/{service}?index={}", self.index);
        if self.index > 0 {
            let _ = write!(target, "&wait={:.0}ms", self.timing.wait);
        }
        let parameters =
            [("dc", &watched.datacenter), ("ns", &watched.namespace), ("filter", &watched.filter)];
        for (name, value) in parameters {
            if let Some(value) = value {
                let _ = write!(target, "&{name}={}", percent_encode(value));
            }
        }
        match watched.consistency {
            Consistency::Default => {}
            Consistency::Stale => target += "&stale",
            Consistency::Consistent => target += "&consistent",
        }
        target
    }

    /// Returns how long the next query may take, including the agent's wait and its jitter.
    pub fn timeout(&self) -> Millis {
        let max_wait = if self.index > 0 { self.timing.wait * (1.0 + WAIT_JITTER_RATIO) } else { 0.0 };
        max_wait + RESPONSE_ALLOWANCE
    }

    /// Checks whether a response may be used, before its body is parsed.
    ///
    /// A response with a lower index than an earlier one comes from an agent that is behind, and could list a draining
    /// executor as healthy. It is refused until as many responses in a row as there are agents had a lower index, as
    /// happens after the restore of a snapshot.
    ///
    /// # Errors
    /// If the response must not be used.
    pub fn check_response(&mut self, headers: &ResponseHeaders) -> Result<(), ResponseError> {
        // Agents answer 500 if there is no leader, but the documentation does not specify a status for that.
        if headers.known_leader == Some("false") {
            return Err(ResponseError::NoLeader);
        }
        if headers.status != 200 {
            return Err(ResponseError::Status(headers.status));
        }
        let staleness = headers.staleness();
        if staleness > self.timing.max_staleness {
            return Err(ResponseError::Stale(staleness));
        }
        let index = headers.parse_index().ok_or(ResponseError::InvalidIndex)?;
        if index < self.highest_index && self.lower_index_responses < self.agent_count {
            self.lower_index_responses += 1;
            return Err(ResponseError::IndexBehind { index, highest: self.highest_index });
        }
        Ok(())
    }

    /// Records that a response was used, and returns the pause before the next query.
    ///
    /// As Consul's documentation requires, an index that decreased is reset to 0, and an index of 0 is replaced by 1 so
    /// that the next query blocks.
    pub fn record_response(&mut self, headers: &ResponseHeaders) -> Millis {
        let index = headers.parse_index().unwrap_or(0).max(1);
        self.index = if index < self.index { 0 } else { index };
        self.consecutive_failures = 0;
        self.highest_index = index;
        self.lower_index_responses = 0;
        self.timing.min_interval
    }

    /// Records that a query failed, and returns the backoff before the next one. `jitter` is a random number from
    /// 0 to 1, which spreads the queries of many nodes.
    pub fn record_failure(&mut self, jitter: f64) -> Millis {
        let doublings = self.consecutive_failures.min(MAX_BACKOFF_DOUBLINGS);
        let backoff = INITIAL_BACKOFF * f64::powi(2.0, doublings as i32);
        self.consecutive_failures = self.consecutive_failures.saturating_add(1);
        backoff.min(self.timing.max_backoff) * (0.5 + 0.5 * jitter.clamp(0.0, 1.0))
    }

    /// Makes the next query return at once. Used when the agent changes, because its index may differ.
    pub fn reset_index(&mut self) {
        self.index = 0;
    }
}

/// Percent-encodes all but the unreserved characters (RFC 3986, section 2.3).
fn percent_encode(text: &str) -> String {
    let mut encoded = String::new();
    for byte in text.bytes() {
        match byte {
            b'A'..=b'Z' | b'a'..=b'z' | b'0'..=b'9' | b'-' | b'_' | b'.' | b'~' => encoded.push(byte as char),
            _ => _ = write!(encoded, "%{byte:02X}"),
        }
    }
    encoded
}
