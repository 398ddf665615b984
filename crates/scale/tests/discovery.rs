//! Discovery's agents over real sockets, and the list behind them.
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

const LONG: Duration = Duration::from_secs(20);

fn member(executor: usize, state: State) -> Member {
    let address = SocketAddr::from(([127, 0, 0, 9], 3000));
    Member { executor, id: format!("s-{executor}"), address, zone: 1, state, started_ms: 0 }
}

fn put(catalog: &mut Catalog, executor: usize, state: State) {
    catalog.put(member(executor, state), Instant::now());
}

fn ids(text: &str) -> Vec<String> {
    let list: serde_json::Value = serde_json::from_str(text).unwrap();
    let entries = list["servers"].as_array().unwrap();
    entries.iter().map(|entry| format!("{} {}", entry["id"], entry["state"]).replace('"', "")).collect()
}

#[test]
fn a_whole_list_names_who_is_there_and_changes_name_who_changed() {
    let mut catalog = Catalog::default();
    (0..3).for_each(|executor| put(&mut catalog, executor, State::Ready));
    put(&mut catalog, 0, State::Gone);
    put(&mut catalog, 1, State::Terminating);
    let whole = catalog.line(None);
    assert!(whole.full);
    assert_eq!(ids(&whole.text), ["s-2 Ready", "s-1 Terminating"]);
    let changes = catalog.line(Some(3));
    assert!(!changes.full);
    assert_eq!(ids(&changes.text), ["s-0 Gone", "s-1 Terminating"]);
    assert_eq!((catalog.version(), catalog.listed()), (5, 2));
    assert!(catalog.line(Some(6)).full, "a version that never was gets the whole list");
}

#[test]
fn changes_that_were_forgotten_are_answered_with_the_whole_list() {
    let mut catalog = Catalog::default();
    put(&mut catalog, 0, State::Ready);
    for executor in 1..70_000 {
        put(&mut catalog, executor, State::Gone);
    }
    assert!(catalog.line(Some(1)).full);
    assert!(!catalog.line(Some(catalog.version() - 10)).full);
    assert_eq!(catalog.listed(), 1);
}

struct Watch {
    stream: TcpStream,
    text: String,
}

impl Watch {
    async fn open(agent: &Agent, index: u64) -> Self {
        let mut stream = TcpStream::connect(agent.address()).await.unwrap();
        let ask = format!("GET /catalog/members?stream=1&index={index} HTTP/1.1\r\nHost: d\r\n\r\n");
        stream.write_all(ask.as_bytes()).await.unwrap();
        Watch { stream, text: String::new() }
    }

    /// Reads until this has come; what came before it goes.
    async fn until(&mut self, expected: &str) {
        let wait = async {
            loop {
                if let Some(at) = self.text.find(expected) {
                    self.text.drain(..at + expected.len());
                    return;
                }
                let mut chunk = [0; 4096];
                let count = self.stream.read(&mut chunk).await.unwrap();
                assert!(count > 0, "the watch ended before `{expected}`");
                self.text.push_str(std::str::from_utf8(&chunk[..count]).unwrap());
            }
        };
        timeout(LONG, wait).await.unwrap_or_else(|_| panic!("no `{expected}`"));
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
            max_notification_delay: LONG,
            drain_grace: LONG,
            slack: Duration::ZERO,
            initial_capacity: 1.0,
            ramp_duration: LONG,
            budget_multiple: 1.0,
            budget_window: LONG,
        };
        let executors = HollowExecutors::start(0, config, &Placement::ThisProcess).await.unwrap();
        let discovery = Discovery::new(Rc::new(executors));
        discovery.publish([member(0, State::Ready), member(1, State::Ready)]);
        let agent = Agent::start(&discovery, 0).unwrap();
        test(discovery, agent).await;
    });
}

#[test]
fn a_watch_gets_the_whole_list_then_changes_and_empty_lines() {
    with_agent(|discovery, agent| async move {
        let mut watch = Watch::open(&agent, 0).await;
        watch.until("\"version\":2,\"full\":true").await;
        watch.until("s-1").await;
        assert!(agent.has_told_all(LONG).await);
        assert!(agent.take_delays().is_empty(), "a whole list repeats what was told");
        discovery.publish([member(0, State::Terminating)]);
        watch.until("\"version\":3,\"full\":false").await;
        watch.until("Terminating").await;
        assert!(agent.has_told_all(LONG).await);
        assert_eq!(agent.take_delays().len(), 1);
        assert_eq!(agent.traffic().lines, 2);
        watch.until("1\r\n\n\r\n").await;
        let mut later = Watch::open(&agent, 2).await;
        later.until("\"version\":3,\"full\":false").await;
    });
}

#[test]
fn a_silent_agent_takes_connections_and_says_nothing_until_it_speaks() {
    with_agent(|discovery, agent| async move {
        let mut watch = Watch::open(&agent, 0).await;
        watch.until("s-1").await;
        discovery.set_silent(true);
        discovery.publish([member(0, State::Gone)]);
        let mut second = Watch::open(&agent, 2).await;
        assert!(!agent.has_told_all(Duration::from_millis(50)).await);
        assert_eq!(agent.traffic().lines, 1);
        discovery.set_silent(false);
        watch.until("Gone").await;
        second.until("Gone").await;
        assert!(agent.has_told_all(LONG).await);
    });
}

#[test]
fn a_whole_list_on_demand_ends_the_watch_and_comes_with_the_next() {
    with_agent(|_, agent| async move {
        let mut watch = Watch::open(&agent, 2).await;
        watch.until("\"full\":false").await;
        agent.restart_with_whole_list();
        let mut rest = Vec::new();
        let _ = timeout(LONG, watch.stream.read_to_end(&mut rest)).await.expect("the watch ends");
        let mut next = Watch::open(&agent, 2).await;
        next.until("\"full\":true").await;
    });
}
