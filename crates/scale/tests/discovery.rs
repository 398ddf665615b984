//! Discovery agents on real sockets, and the catalog that they serve.
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::task::LocalSet;
use tokio::time::timeout;
use troutknot_scale::catalog::{Catalog, Member, State};
use troutknot_scale::discovery::{Agent, Discovery};
use troutknot_scale::executor_config::ExecutorConfig;
use troutknot_scale::hollow_executors::{HollowExecutors, Placement};

const TIMEOUT: Duration = Duration::from_secs(20);

fn member(executor: usize, state: State) -> Member {
    let address = SocketAddr::from(([127, 0, 0, 9], 3000));
    Member { executor, id: format!("s-{executor}"), address, zone: 1, state, started_ms: 0 }
}

fn upsert(catalog: &mut Catalog, executor: usize, state: State) {
    catalog.upsert(member(executor, state), Instant::now());
}

fn ids(text: &str) -> Vec<String> {
    let list: serde_json::Value = serde_json::from_str(text).unwrap();
    let entries = list["servers"].as_array().unwrap();
    entries.iter().map(|entry| format!("{} {}", entry["id"], entry["state"]).replace('"', "")).collect()
}

#[test]
fn a_snapshot_omits_gone_executors_and_a_delta_contains_only_changes() {
    let mut catalog = Catalog::default();
    (0..3).for_each(|executor| upsert(&mut catalog, executor, State::Ready));
    upsert(&mut catalog, 0, State::Gone);
    upsert(&mut catalog, 1, State::Terminating);
    let snapshot = catalog.message_after(None);
    assert!(snapshot.is_snapshot);
    assert_eq!(ids(&snapshot.text), ["s-2 Ready", "s-1 Terminating"]);
    let delta = catalog.message_after(Some(3));
    assert!(!delta.is_snapshot);
    assert_eq!(ids(&delta.text), ["s-0 Gone", "s-1 Terminating"]);
    assert_eq!((catalog.version(), catalog.listed_count()), (5, 2));
    assert!(catalog.message_after(Some(6)).is_snapshot, "an unknown version is answered with a snapshot");
}

#[test]
fn a_delta_since_a_compacted_version_becomes_a_snapshot() {
    let mut catalog = Catalog::default();
    upsert(&mut catalog, 0, State::Ready);
    for executor in 1..70_000 {
        upsert(&mut catalog, executor, State::Gone);
    }
    assert!(catalog.message_after(Some(1)).is_snapshot);
    assert!(!catalog.message_after(Some(catalog.version() - 10)).is_snapshot);
    assert_eq!(catalog.listed_count(), 1);
}

struct Watch {
    stream: TcpStream,
    text: String,
}

impl Watch {
    async fn open(agent: &Agent, index: u64) -> Self {
        let mut stream = TcpStream::connect(agent.address()).await.unwrap();
        let request = format!("GET /catalog/members?stream=1&index={index} HTTP/1.1\r\nHost: d\r\n\r\n");
        stream.write_all(request.as_bytes()).await.unwrap();
        Watch { stream, text: String::new() }
    }

    /// Reads until the text has been received, and discards everything up to its end.
    async fn read_until(&mut self, expected: &str) {
        let search = async {
            loop {
                if let Some(start) = self.text.find(expected) {
                    self.text.drain(..start + expected.len());
                    return;
                }
                let mut chunk = [0; 4096];
                let count = self.stream.read(&mut chunk).await.unwrap();
                assert!(count > 0, "the watch ended before `{expected}` was received");
                self.text.push_str(std::str::from_utf8(&chunk[..count]).unwrap());
            }
        };
        timeout(TIMEOUT, search).await.unwrap_or_else(|_| panic!("`{expected}` was not received in time"));
    }
}

fn with_agent<F: Future<Output = ()>>(test: impl FnOnce(Rc<Discovery>, Rc<Agent>) -> F) {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
    LocalSet::new().block_on(&runtime, async {
        let config = ExecutorConfig {
            seed: 0,
            slots: 1,
            queue_capacity: 1,
            mean_service_time: Duration::ZERO,
            max_notification_delay: TIMEOUT,
            drain_grace: TIMEOUT,
            slack: Duration::ZERO,
            initial_capacity: 1.0,
            ramp_duration: TIMEOUT,
            budget_multiple: 1.0,
            budget_window: TIMEOUT,
        };
        let executors = HollowExecutors::start(0, config, &Placement::ThisProcess).await.unwrap();
        let discovery = Discovery::new(Rc::new(executors));
        discovery.publish([member(0, State::Ready), member(1, State::Ready)]);
        let agent = Agent::start(&discovery, 0).unwrap();
        test(discovery, agent).await;
    });
}

#[test]
fn a_watch_receives_a_snapshot_then_deltas_and_keep_alive_lines() {
    with_agent(|discovery, agent| async move {
        let mut watch = Watch::open(&agent, 0).await;
        watch.read_until("\"version\":2,\"full\":true").await;
        watch.read_until("s-1").await;
        assert!(agent.wait_until_notified(TIMEOUT).await);
        assert!(agent.take_notification_delays().is_empty(), "a snapshot adds no notification delays");
        discovery.publish([member(0, State::Terminating)]);
        watch.read_until("\"version\":3,\"full\":false").await;
        watch.read_until("Terminating").await;
        assert!(agent.wait_until_notified(TIMEOUT).await);
        assert_eq!(agent.take_notification_delays().len(), 1);
        assert_eq!(agent.traffic().lines, 2);
        watch.read_until("1\r\n\n\r\n").await;
        let mut later = Watch::open(&agent, 2).await;
        later.read_until("\"version\":3,\"full\":false").await;
    });
}

#[test]
fn a_silent_agent_accepts_connections_and_sends_nothing_until_it_resumes() {
    with_agent(|discovery, agent| async move {
        let mut watch = Watch::open(&agent, 0).await;
        watch.read_until("s-1").await;
        discovery.set_silent(true);
        discovery.publish([member(0, State::Gone)]);
        let mut second = Watch::open(&agent, 2).await;
        assert!(!agent.wait_until_notified(Duration::from_millis(50)).await);
        assert_eq!(agent.traffic().lines, 1);
        discovery.set_silent(false);
        watch.read_until("Gone").await;
        second.read_until("Gone").await;
        assert!(agent.wait_until_notified(TIMEOUT).await);
    });
}

#[test]
fn a_forced_snapshot_ends_the_watch_and_is_sent_on_the_next_one() {
    with_agent(|_, agent| async move {
        let mut watch = Watch::open(&agent, 2).await;
        watch.read_until("\"full\":false").await;
        agent.restart_with_snapshot();
        let mut rest = Vec::new();
        let _ = timeout(TIMEOUT, watch.stream.read_to_end(&mut rest)).await.expect("the watch ends");
        let mut next = Watch::open(&agent, 2).await;
        next.read_until("\"full\":true").await;
    });
}
