//! A node with a ledger. A new configuration allows fewer attempts; later the node is restarted. It has to start, to
//! recover what was open, and to give the recorded answers to clients that ask again with their keys.
use common::*;
use std::collections::HashSet;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

const ORDERS: usize = 6;
/// The attempts that the settings allow at first, and after the new configuration.
const ATTEMPTS: (u32, u32) = (5, 1);
/// A node has to be ready this long after a start.
const READY_WITHIN: Duration = Duration::from_secs(30);

fn main() {
    run_case(|root| {
        // An executor turns away each order once, as one does whose queue is full at that moment.
        let turned_away: Mutex<HashSet<String>> = Mutex::default();
        let decide: Decide = Arc::new(move |_, id, _| {
            let is_first = turned_away.lock().unwrap().insert(id.to_string());
            if is_first { Conduct::TurnAway } else { Conduct::Sound }
        });
        let executors: Vec<Executor> =
            ["s-1", "s-2"].iter().map(|name| Executor::start(name, 7, decide.clone())).collect();
        let listed: Vec<_> = executors.iter().map(|executor| (executor.name.clone(), executor.address)).collect();
        let discovery = start_discovery(&listed);
        let address = free_address();
        let classes = [class("entry", "keyed", 80, 5000), class("filing", "unsafe", 800, 12000)];
        let config = |attempts| node_config(address, discovery, attempts, &classes);
        let path = write_file("node.json", &config(ATTEMPTS.0));
        let ledger = folder().join("ledger").display().to_string();
        let operator = write_file("operator.toml", &format!("[durable]\npath = \"{ledger}\"\n"));
        let env = [("ROUTER_CONFIG", path), ("TROUTKNOT_FILE", operator)];
        let mut first = Node::start(root, "first", &env, None);
        if !wait_until(READY_WITHIN, || get(address, "/_health") == 200) {
            return Err(format!("the node is not ready: {}", first.log()));
        }
        // Orders whose answers are on record.
        let order = |number: usize, ms: u64| {
            let body = format!("filing ms={ms} order={number}");
            request("filing", &new_id(), &format!("order-{number}"), 12.0, &body)
        };
        for number in 0..ORDERS {
            let answer = submit(address, &order(number, 700), Duration::from_secs(12));
            let status = answer.as_ref().map_or(0, Message::status);
            record(format!("client: order-{number} {status}"));
            if status != 200 {
                return Err(format!("order-{number} was answered {status}"));
            }
        }
        if has_trouble() {
            record(format!("the configuration allows {} attempt now instead of {}", ATTEMPTS.1, ATTEMPTS.0));
            write_file("node.json", &config(ATTEMPTS.1));
        }
        first.signal(SIGHUP);
        thread::sleep(Duration::from_millis(1500));
        if get(address, "/_health") != 200 {
            return Err("the node does not serve after SIGHUP".into());
        }
        first.signal(SIGTERM);
        if !first.wait_for_end(Duration::from_secs(5)) {
            return Err("the node did not end after SIGTERM".into());
        }
        drop(first);
        // The platform starts the node again; one that ends is started once more after some seconds.
        let mut violations = Vec::new();
        let mut starts = 1;
        let mut node = Node::start(root, "start1", &env, None);
        let is_ready = wait_until(READY_WITHIN, || {
            if let Some(status) = node.ended() {
                violations.push(format!("the node ended at start {starts}: {status}: {}", node.log().trim()));
                thread::sleep(Duration::from_secs(8));
                starts += 1;
                node = Node::start(root, &format!("start{starts}"), &env, None);
            }
            get(address, "/_health") == 200
        });
        if !is_ready {
            violations.push(format!("the node is not ready {} s after the restart", READY_WITHIN.as_secs()));
        }
        for number in 0..ORDERS {
            let answer = submit(address, &order(number, 700), Duration::from_secs(3));
            let status = answer.as_ref().map_or(0, Message::status);
            record(format!("client: order-{number} again {status}"));
            if status != 200 {
                violations.push(format!("order-{number} has its answer on record and gets none (status {status})"));
            }
        }
        Ok(violations)
    })
}
