//! What hollow nodes say to executors, and what comes of it.
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

const MOST_BODY: usize = 64 * 1024;
const DEFAULT_CONNECT_WAIT: Duration = Duration::from_secs(1);

/// One attempt at a request.
pub struct Attempt {
    pub id: RequestId,
    pub class: String,
    pub addr: SocketAddr,
    pub work: Duration,
    /// When it is given up.
    pub cut: Instant,
    /// It is not sent later.
    pub send_by: Instant,
}

fn micros(settings: &Map<String, Value>, key: &str) -> Option<Duration> {
    settings.get("limits")?.get(key)?.as_u64().map(Duration::from_micros)
}

/// The connections that the settings allow.
pub fn pool(settings: &Settings, number: usize, counters: Arc<Counters>) -> Pool {
    let connect_wait = micros(&settings.node_settings, "connect_timeout").unwrap_or(DEFAULT_CONNECT_WAIT);
    let idle_for = micros(&settings.node_settings, "conn_idle").unwrap_or(Duration::from_secs(1));
    Pool::new(settings.source(number), settings.connections, connect_wait, idle_for, counters)
}

/// The name of the first request class; the settings have been checked to have one.
pub fn first_class(settings: &Map<String, Value>) -> String {
    let class = || settings.get("project_types")?.get(0)?.get("name")?.as_str();
    class().unwrap_or("").to_string()
}

fn exponential(random: &mut ChaCha8Rng) -> f64 {
    -(1.0 - random.random::<f64>()).ln()
}

/// The wait to the next request, where so many come in a second; a day where none do.
pub fn next_arrival(random: &mut ChaCha8Rng, rate: f64) -> Duration {
    let wait = exponential(random) / rate.max(1e-9);
    Duration::from_secs_f64(wait.min(86_400.0))
}

pub fn draw_work(random: &mut ChaCha8Rng, mean: Duration) -> Duration {
    mean.mul_f64(exponential(random).min(20.0))
}

/// The load that an executor reports; none where it did not answer in time.
pub async fn probe(pool: &Pool, addr: SocketAddr, counters: &Counters) -> Option<LoadReport> {
    add(&counters.probes, 1);
    let mut connection = pool.connect(addr).await.ok()?;
    let answer = async {
        connection.send(&format!("GET /_load HTTP/1.1\r\nHost: {addr}\r\n\r\n")).await?;
        let mut head = connection.head().await?;
        let body = connection.whole_body(&mut head, MOST_BODY).await?;
        Ok::<_, std::io::Error>((head, body))
    };
    let (head, body) = timeout(DEFAULT_CONNECT_WAIT, answer).await.ok()?.ok()?;
    if head.keep {
        pool.put_back(connection);
    }
    add(&counters.probed, 1);
    (head.status == 200).then(|| parse_load_report(&String::from_utf8_lossy(&body)))
}

/// Sends a request to an executor; `on_start` is called where it tells of a start.
pub async fn push(pool: &Pool, attempt: Attempt, counters: &Counters, on_start: impl FnMut()) -> Outcome {
    let mut connection = match pool.connect(attempt.addr).await {
        Ok(connection) => connection,
        Err(NoConnection::NoneFree) => return Outcome::NotSent,
        Err(NoConnection::Failed) => return Outcome::NoConnection,
    };
    let now = Instant::now();
    if now >= attempt.send_by.min(attempt.cut) {
        pool.put_back(connection);
        return Outcome::NotSent;
    }
    add(&counters.pushes, 1);
    let request = attempt.head(attempt.cut - now);
    let answer = async {
        connection.send(&request).await?;
        read_answer(&mut connection, attempt.id, on_start).await
    };
    match timeout_at(attempt.cut, answer).await {
        Err(_) => Outcome::TimedOut,
        Ok(Err(_)) => Outcome::Reset,
        Ok(Ok((outcome, keep))) => {
            if keep {
                pool.put_back(connection);
            }
            if outcome == Outcome::Completed {
                add(&counters.completed, 1);
            }
            outcome
        }
    }
}

impl Attempt {
    fn head(&self, wait: Duration) -> String {
        let Attempt { id, class, addr, work, .. } = self;
        format!(
            "POST /{class} HTTP/1.1\r\nHost: {addr}\r\nRequest-Id: {id}\r\nRequest-Class: {class}\r\n\
             Work-Millis: {:.3}\r\nRequest-Timeout: {:.3}\r\nContent-Length: 0\r\n\r\n",
            work.as_secs_f64() * 1000.0,
            wait.as_secs_f64()
        )
    }
}

/// What an executor's head alone says; none where its lines follow.
fn outcome_of_head(head: &Head) -> Option<Outcome> {
    match head.status {
        200 => None,
        503 | 504 if head.not_started => Some(Outcome::Rejected),
        _ => Some(Outcome::Error),
    }
}

/// One line that an executor tells of an attempt.
#[derive(Deserialize)]
struct Line<'a> {
    id: &'a str,
    state: &'a str,
}

/// The outcome, and whether the connection may be used again.
async fn read_answer(
    connection: &mut super::http::Connection,
    id: RequestId,
    mut on_start: impl FnMut(),
) -> std::io::Result<(Outcome, bool)> {
    let mut head = connection.head().await?;
    if let Some(outcome) = outcome_of_head(&head) {
        connection.whole_body(&mut head, MOST_BODY).await?;
        return Ok((outcome, head.keep));
    }
    let mut outcome = None;
    let mut read = Vec::new();
    while connection.body(&mut head, &mut read).await? {
        while let Some(end) = read.iter().position(|byte| *byte == b'\n') {
            let line: Vec<u8> = read.drain(..=end).collect();
            let line: Line = serde_json::from_slice(&line).map_err(std::io::Error::other)?;
            if RequestId::parse(line.id) != Some(id) {
                return Err(std::io::Error::other("the line is of another request"));
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
        if read.len() > MOST_BODY {
            return Err(std::io::Error::other("a line is too long"));
        }
    }
    let outcome = outcome.ok_or(std::io::ErrorKind::UnexpectedEof)?;
    Ok((outcome, head.keep))
}
