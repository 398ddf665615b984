//! Requests of hollow nodes to executors, and the evaluation of the responses.
use super::connections::{NoConnection, Pool};
use super::http::Head;
use super::{Counters, Settings, add};
use crate::request_id::RequestId;
use rand::RngExt;
use rand_chacha::ChaCha8Rng;
use serde::Deserialize;
use serde_json::{Map, Value};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::{Instant, timeout, timeout_at};
use troutknot::{LoadReport, Outcome};
use troutknot_configuration::parse_load_report;

const MAX_BODY_BYTES: usize = 64 * 1024;
/// Timeout of a probe, and of a connection attempt if the settings contain none.
const DEFAULT_TIMEOUT: Duration = Duration::from_secs(1);

/// One attempt at a request.
pub struct Attempt {
    pub id: RequestId,
    pub class: String,
    pub address: SocketAddr,
    pub work: Duration,
    /// When the attempt is given up.
    pub deadline: Instant,
    /// The attempt is not sent after this time.
    pub send_deadline: Instant,
}

fn limit_setting(settings: &Map<String, Value>, key: &str) -> Option<Duration> {
    settings.get("limits")?.get(key)?.as_u64().map(Duration::from_micros)
}

/// Creates a connection pool with the limits of the settings.
pub fn create_pool(settings: &Settings, number: usize, counters: Arc<Counters>) -> Pool {
    let connect_timeout =
        limit_setting(&settings.node_settings, "connect_timeout").unwrap_or(DEFAULT_TIMEOUT);
    let idle_timeout = limit_setting(&settings.node_settings, "conn_idle").unwrap_or(Duration::from_secs(1));
    Pool::new(
        settings.source_address(number),
        settings.max_connections,
        connect_timeout,
        idle_timeout,
        counters,
    )
}

/// Returns the name of the first request class; the settings were checked to have one.
pub fn first_class_name(settings: &Map<String, Value>) -> String {
    let name = || settings.get("project_types")?.get(0)?.get("name")?.as_str();
    name().unwrap_or("").to_string()
}

fn draw_exponential(random: &mut ChaCha8Rng) -> f64 {
    -(1.0 - random.random::<f64>()).ln()
}

/// Draws the time to the next request, for a rate per second; at most one day, which stands for a rate of zero.
pub fn draw_interarrival_time(random: &mut ChaCha8Rng, rate: f64) -> Duration {
    let interarrival_time = draw_exponential(random) / rate.max(1e-9);
    Duration::from_secs_f64(interarrival_time.min(86_400.0))
}

/// Draws the work of a request from an exponential distribution, with at most 20 times the mean.
pub fn draw_work(random: &mut ChaCha8Rng, mean: Duration) -> Duration {
    mean.mul_f64(draw_exponential(random).min(20.0))
}

/// Probes an executor; returns its load report, or `None` if it does not respond in time.
pub async fn probe(pool: &Pool, address: SocketAddr, counters: &Counters) -> Option<LoadReport> {
    add(&counters.probes, 1);
    let mut connection = pool.acquire(address).await.ok()?;
    let exchange = async {
        connection.send(&format!("GET /_load HTTP/1.1\r\nHost: {address}\r\n\r\n")).await?;
        let mut head = connection.read_head().await?;
        let body = connection.read_full_body(&mut head, MAX_BODY_BYTES).await?;
        Ok::<_, std::io::Error>((head, body))
    };
    let (head, body) = timeout(DEFAULT_TIMEOUT, exchange).await.ok()?.ok()?;
    if head.is_reusable {
        pool.release(connection);
    }
    add(&counters.answered_probes, 1);
    (head.status == 200).then(|| parse_load_report(&String::from_utf8_lossy(&body)))
}

/// Sends an attempt to an executor; calls `on_start` when the executor reports the start.
pub async fn dispatch(pool: &Pool, attempt: Attempt, counters: &Counters, on_start: impl FnMut()) -> Outcome {
    let mut connection = match pool.acquire(attempt.address).await {
        Ok(connection) => connection,
        Err(NoConnection::LimitReached) => return Outcome::NotSent,
        Err(NoConnection::Failed) => return Outcome::NoConnection,
    };
    let now = Instant::now();
    if now >= attempt.send_deadline.min(attempt.deadline) {
        pool.release(connection);
        return Outcome::NotSent;
    }
    add(&counters.attempts, 1);
    let request = attempt.encode_request(attempt.deadline - now);
    let exchange = async {
        connection.send(&request).await?;
        read_response(&mut connection, attempt.id, on_start).await
    };
    match timeout_at(attempt.deadline, exchange).await {
        Err(_) => Outcome::TimedOut,
        Ok(Err(_)) => Outcome::Reset,
        Ok(Ok((outcome, is_reusable))) => {
            if is_reusable {
                pool.release(connection);
            }
            if outcome == Outcome::Completed {
                add(&counters.completed, 1);
            }
            outcome
        }
    }
}

impl Attempt {
    fn encode_request(&self, time_left: Duration) -> String {
        let Attempt { id, class, address, work, .. } = self;
        format!(
            "POST /{class} HTTP/1.1\r\nHost: {address}\r\nRequest-Id: {id}\r\nRequest-Class: {class}\r\n\
             Work-Millis: {:.3}\r\nRequest-Timeout: {:.3}\r\nContent-Length: 0\r\n\r\n",
            work.as_secs_f64() * 1000.0,
            time_left.as_secs_f64()
        )
    }
}

/// Returns the outcome that follows from the response head, or `None` if state lines follow.
fn outcome_of_head(head: &Head) -> Option<Outcome> {
    match head.status {
        200 => None,
        503 | 504 if head.is_not_started => Some(Outcome::Rejected),
        _ => Some(Outcome::Error),
    }
}

/// A state line of an attempt.
#[derive(Deserialize)]
struct StateLine<'a> {
    id: &'a str,
    state: &'a str,
}

/// Reads the response to an attempt; returns its outcome, and whether the connection can be reused.
async fn read_response(
    connection: &mut super::http::Connection,
    id: RequestId,
    mut on_start: impl FnMut(),
) -> std::io::Result<(Outcome, bool)> {
    let mut head = connection.read_head().await?;
    if let Some(outcome) = outcome_of_head(&head) {
        connection.read_full_body(&mut head, MAX_BODY_BYTES).await?;
        return Ok((outcome, head.is_reusable));
    }
    let mut outcome = None;
    let mut unparsed = Vec::new();
    while connection.read_body(&mut head, &mut unparsed).await? {
        while let Some(end) = unparsed.iter().position(|byte| *byte == b'\n') {
            let line: Vec<u8> = unparsed.drain(..=end).collect();
            let line: StateLine = serde_json::from_slice(&line).map_err(std::io::Error::other)?;
            if RequestId::parse(line.id) != Some(id) {
                return Err(std::io::Error::other("the line belongs to another request"));
            }
            match line.state {
                "started" => on_start(),
                "done" => outcome = Some(Outcome::Completed),
                "failed" => outcome = Some(Outcome::Error),
                "returned" => outcome = Some(Outcome::Rejected),
                "lost" => outcome = Some(Outcome::Reset),
                _ => {}
            }
        }
        if unparsed.len() > MAX_BODY_BYTES {
            return Err(std::io::Error::other("a line exceeds the size limit"));
        }
    }
    let outcome = outcome.ok_or(std::io::ErrorKind::UnexpectedEof)?;
    Ok((outcome, head.is_reusable))
}
