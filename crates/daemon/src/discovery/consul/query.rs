//! Blocking queries of one service to Consul's health API.
use crate::byte_budget::ByteBudget;
use crate::config::consul::ConsulConfig;
use crate::config::limits::Limits;
use crate::http1::{Connection, ReceiveError, ResponseHead};
use crate::units::to_duration;
use bytes::BytesMut;
use std::io;
use std::net::SocketAddr;
use std::path::Path;
use std::rc::Rc;
use tokio::net::TcpStream;
use tokio::time::timeout;
use troutknot::Millis;
use troutknot_consul::health::{HealthDecoder, HealthError, ResponseBounds, ServiceInstance};
use troutknot_consul::query::{BlockingQuery, ResponseError, ResponseHeaders, WatchedService};

/// Delay in milliseconds before the query to the next agent, unless all agents have failed.
const FAILOVER_DELAY: Millis = 50.0;

const MAX_TOKEN_BYTES: usize = 256;

/// Why a query returned no usable answer.
#[derive(Debug, thiserror::Error)]
pub enum QueryError {
    /// The agent did not answer in time.
    #[error("no answer in time")]
    Timeout,
    /// The connection was not established in time.
    #[error("no connection in time")]
    ConnectTimeout,
    /// The connection was not established.
    #[error("cannot connect: {0}")]
    Connect(#[source] io::Error),
    /// The connection failed, or the response is malformed or too long.
    #[error("connection failed: {0}")]
    Connection(#[source] ReceiveError),
    /// The headers of the response show that it must not be used.
    #[error(transparent)]
    Refused(#[from] ResponseError),
    /// The body is not a list of healthy instances.
    #[error(transparent)]
    Unusable(#[from] HealthError),
}

/// The answer to a query.
pub struct Answer {
    /// Delay before the next query, in milliseconds.
    pub next_query_after: Millis,
    /// The instances of the service.
    pub instances: Vec<Rc<ServiceInstance>>,
}

/// An ACL token.
#[derive(Clone)]
pub struct AclToken(String);

/// The queries of one service. They go to one agent until it fails.
pub struct ServiceQueries {
    query_state: BlockingQuery,
    decoder: HealthDecoder,
    agents: Vec<SocketAddr>,
    agent_index: usize,
    token: Option<AclToken>,
}

impl ServiceQueries {
    /// Creates the queries of a service, beginning with the first agent.
    pub fn new(config: &ConsulConfig, watched: WatchedService, token: Option<AclToken>) -> Self {
        let agents = config.agents.clone();
        let query_state = BlockingQuery::new(watched, config.query_timing(), agents.len() as u32);
        ServiceQueries { query_state, decoder: HealthDecoder::default(), agents, agent_index: 0, token }
    }

    /// The address of the agent of the next query.
    pub fn agent(&self) -> SocketAddr {
        self.agents[self.agent_index % self.agents.len()]
    }

    /// Sends one blocking query and waits for its answer.
    ///
    /// # Errors
    /// If no answer arrives in time, or it cannot be used.
    pub async fn query(&mut self, limits: &Limits) -> Result<Answer, QueryError> {
        let query_timeout = to_duration(self.query_state.timeout());
        let exchanged = timeout(query_timeout, self.exchange(limits)).await;
        let (head, body) = exchanged.map_err(|_| QueryError::Timeout)??;
        let field = |name: &str| head.headers.single(name).ok().flatten();
        let headers = ResponseHeaders {
            status: head.status,
            index: field("x-consul-index"),
            known_leader: field("x-consul-knownleader"),
            last_contact: field("x-consul-lastcontact"),
        };
        self.query_state.check_response(&headers)?;
        let bounds = ResponseBounds {
            max_body_bytes: limits.discovery.max_consul_answer_bytes,
            max_entries: limits.executor_bounds.max_retained,
            ..ResponseBounds::default()
        };
        let instances = self.decoder.decode(&body, &bounds)?;
        Ok(Answer { next_query_after: self.query_state.record_response(&headers), instances })
    }

    async fn exchange(&self, limits: &Limits) -> Result<(ResponseHead, BytesMut), QueryError> {
        let address = self.agent();
        let connecting = timeout(limits.timeouts().connect_timeout, TcpStream::connect(address)).await;
        let stream = connecting.map_err(|_| QueryError::ConnectTimeout)?.map_err(QueryError::Connect)?;
        let buffer_bytes = limits.connection_buffer_bytes;
        let mut connection = Connection::new(stream, buffer_bytes, &ByteBudget::new(2 * buffer_bytes));
        let written = connection.write(&[self.request(address).as_bytes()]).await;
        written.map_err(|error| QueryError::Connection(error.into()))?;
        let mut head = connection.read_response_head().await.map_err(QueryError::Connection)?;
        let mut body = BytesMut::new();
        let max_bytes = limits.discovery.max_consul_answer_bytes;
        let reading = connection.read_body(&mut head.body, &mut body, max_bytes);
        reading.await.map_err(QueryError::Connection)?;
        Ok((head, body))
    }

    fn request(&self, address: SocketAddr) -> String {
        let target = self.query_state.target();
        let token = match &self.token {
            Some(AclToken(token)) => format!("X-Consul-Token: {token}\r\n"),
            None => String::new(),
        };
        format!("GET {target} HTTP/1.1\r\nHost: {address}\r\n{token}Connection: close\r\n\r\n")
    }

    /// Selects the next agent after a failure, and returns the delay before its query in milliseconds. The backoff
    /// applies once all agents have failed; `jitter` is a random number from 0 to 1.
    pub fn fail_over(&mut self, jitter: f64) -> Millis {
        self.agent_index += 1;
        self.query_state.reset_index();
        let backoff = self.query_state.record_failure(jitter);
        let has_failed_at_all_agents =
            self.query_state.consecutive_failures().is_multiple_of(self.agents.len() as u32);
        if has_failed_at_all_agents { backoff } else { backoff.min(FAILOVER_DELAY) }
    }
}

/// Reads the ACL token. If the file cannot be read or contains no valid token, that is logged, and queries are sent
/// without a token.
pub fn read_token(path: &Path) -> Option<AclToken> {
    let display_path = path.display();
    let text = match std::fs::read_to_string(path) {
        Ok(text) => text,
        Err(error) => {
            tracing::warn!(path = %display_path, %error, "consul token cannot be read");
            return None;
        }
    };
    let token = text.trim();
    let is_valid =
        (1..=MAX_TOKEN_BYTES).contains(&token.len()) && token.bytes().all(|byte| byte.is_ascii_graphic());
    if !is_valid {
        tracing::warn!(path = %display_path, "consul token file holds no token, querying without one");
    }
    is_valid.then(|| AclToken(token.to_string()))
}
