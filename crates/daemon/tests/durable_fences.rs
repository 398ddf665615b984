//! Queries for the status of attempts at executors whose responses arrive late and twice.
#![allow(clippy::unwrap_used)]
mod common;

use common::durable::*;
use common::*;
use serde_json::json;
use std::collections::{BTreeSet, HashMap};
use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Barrier, Mutex};
use troutknot_emulator::scripted::Discovery;

/// An executor whose connections repeat their last response in front of the response to a fence query, as if a duplicate
/// arrived late. It runs `publish` without an answer and reports its status afterwards.
struct RepeatingExecutor {
    addr: SocketAddr,
    state: Arc<RepeatingState>,
}

#[derive(Default)]
struct RepeatingState {
    /// For each connection the ids that it carried fence queries for, and whether it carried attempts.
    connections: Mutex<Vec<(BTreeSet<String>, bool)>>,
    /// The number of attempts of each `publish` request.
    attempts: Mutex<HashMap<String, usize>>,
    /// The number of fence queries for each request.
    queries: Mutex<HashMap<String, usize>>,
}

/// The request that its executor never runs at the first attempt; it runs all others.
const NEVER_RUN: &str = "never-run";

impl RepeatingExecutor {
    fn start() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let (addr, state) = (listener.local_addr().unwrap(), Arc::<RepeatingState>::default());
        let (shared, render_barrier) = (state.clone(), Arc::new(Barrier::new(2)));
        std::thread::spawn(move || {
            for stream in listener.incoming().map_while(Result::ok) {
                let (state, barrier) = (shared.clone(), render_barrier.clone());
                std::thread::spawn(move || state.serve(stream, &barrier));
            }
        });
        RepeatingExecutor { addr, state }
    }
}

impl RepeatingState {
    /// Serves a connection until it ends, or until it receives an attempt of `publish`.
    fn serve(&self, stream: TcpStream, render_barrier: &Barrier) {
        let number = {
            let mut connections = self.connections.lock().unwrap();
            connections.push(Default::default());
            connections.len() - 1
        };
        let mut reader = BufReader::new(stream);
        let mut last_response: Option<String> = None;
        while let Some((head, _)) = read_message(&mut reader) {
            let id = field(&head, "request-id").unwrap_or_default().to_string();
            let response = match head.split([' ', '/']).nth(2) {
                Some("_fence") => {
                    self.connections.lock().unwrap()[number].0.insert(id.clone());
                    let repeated = last_response.take().unwrap_or_default();
                    last_response = Some(self.status_of(&id));
                    Some(repeated + last_response.as_deref().unwrap_or_default())
                }
                Some("publish") => {
                    self.connections.lock().unwrap()[number].1 = true;
                    self.answer_attempt(&id)
                }
                Some("render") => {
                    self.connections.lock().unwrap()[number].1 = true;
                    // Two at once, so that each has a connection of its own.
                    render_barrier.wait();
                    last_response = Some(done(&id));
                    last_response.clone()
                }
                _ => Some(response("queue=0,x0=9")),
            };
            let Some(response) = response else { return };
            if reader.get_mut().write_all(response.as_bytes()).is_err() {
                return;
            }
        }
    }

    /// The response to an attempt of `publish`; none if its connection breaks.
    fn answer_attempt(&self, id: &str) -> Option<String> {
        let mut attempts = self.attempts.lock().unwrap();
        let attempts = attempts.entry(id.to_string()).or_default();
        *attempts += 1;
        (id == NEVER_RUN && *attempts == 2).then(|| done(id))
    }

    fn status_of(&self, id: &str) -> String {
        let mut queries = self.queries.lock().unwrap();
        let queries = queries.entry(id.to_string()).or_default();
        *queries += 1;
        match *queries {
            _ if id == NEVER_RUN => response(&json!({"state": "never"}).to_string()),
            1..=3 => response(&json!({"state": "running"}).to_string()),
            _ => response(&json!({"state": "done", "result": format!("result of {id}")}).to_string()),
        }
    }
}

fn response(body: &str) -> String {
    format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}", body.len())
}

fn done(id: &str) -> String {
    let event = json!({"id": id, "from": "s-1", "state": "done", "result": format!("result of {id}")});
    response(&format!("{event}\n"))
}

impl RepeatingExecutor {
    /// Starts a node with this executor.
    fn start_node(&self) -> (Node, Discovery) {
        let discovery = Discovery::start(list(7, true, &[entry_at("s-1", self.addr, "Ready")]));
        let node = start_node(&discovery, &create_durable_files(FENCES));
        (node, discovery)
    }

    /// Sends a request of `publish` that loses its connection, and checks that it runs once and gets its own result.
    fn assert_publish_gets_its_result(&self, node: &Node, id: &str) {
        let (status, (_, body)) = node.send_request(build_request("publish", id, 20.0, ""));
        assert_eq!((status, String::from_utf8(body).unwrap()), (200, format!("result of {id}")));
        assert_eq!(self.state.attempts.lock().unwrap()[id], 1, "{id} runs once");
    }

    /// Checks that each connection with queries carried only those for one attempt.
    fn assert_queries_have_their_own_connections(&self) {
        for (queried, has_carried_attempts) in self.state.connections.lock().unwrap().iter() {
            assert!(queried.len() <= 1, "queries for several attempts on one connection: {queried:?}");
            assert!(queried.is_empty() || !has_carried_attempts, "attempts and queries for {queried:?}");
        }
    }
}

/// A result that arrives late on a reused connection must not be taken for the status of another attempt, whose client
/// would get the result of a foreign request.
#[test]
fn a_late_duplicate_result_is_not_the_status_of_another_attempt() {
    let executor = RepeatingExecutor::start();
    let (node, _discovery) = executor.start_node();
    for round in 0..4 {
        // Leaves idle connections that have carried a result.
        let mut clients = [node.connect(), node.connect()];
        for (number, client) in clients.iter_mut().enumerate() {
            let request = build_request("render", &format!("render-{round}-{number}"), 20.0, "");
            client.get_mut().write_all(request.as_bytes()).unwrap();
        }
        clients.iter_mut().for_each(|client| assert_eq!(read_response(client).0, 200));
        executor.assert_publish_gets_its_result(&node, &format!("publish-{round}"));
    }
    executor.assert_queries_have_their_own_connections();
}

/// A `never` that arrives late on a reused connection must not be taken for the status of another attempt, which would run
/// a second time.
#[test]
fn a_late_duplicate_never_permits_no_second_run() {
    let executor = RepeatingExecutor::start();
    let (node, _discovery) = executor.start_node();
    assert_eq!(node.send_request(build_request("publish", NEVER_RUN, 20.0, "")).0, 200);
    for round in 0..4 {
        executor.assert_publish_gets_its_result(&node, &format!("publish-{round}"));
    }
    executor.assert_queries_have_their_own_connections();
}
