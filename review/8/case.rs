//! Orders with a key on record, whose clients ask again while the node is upgraded.
#[path = "../common-2/kit.rs"]
mod kit;

use kit::*;
use std::net::{SocketAddr, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread;

const ORDERS: usize = 5;
const WORK: u64 = 400;
/// What a client waits after a 503 that names no time.
const DEFAULT_WAIT: f64 = 0.5;

/// A sound executor; each of its runs is noted under the order, which is the request's body.
fn executor(name: &'static str, runs: Arc<Runs>) -> Handler {
    Arc::new(move |message: &Message, stream: &Arc<Mutex<TcpStream>>| {
        let id = message.request_id();
        if id.is_empty() {
            return write_to(stream, NOT_FOUND);
        }
        runs.add(name, &String::from_utf8_lossy(&message.body));
        sleep_ms(WORK);
        write_to(stream, &done_answer(&id, name))
    })
}

fn order_text(order: &str, key: &str) -> String {
    request_text(&new_id(), "publish", 3.0, &format!("Idempotency-Key: {key}\r\n"), order)
}

/// A client that got no response to its order asks again with its key. After a 503, which says that trying again is
/// harmless, it goes on with another key, until the order is answered.
fn ask_again(node: SocketAddr, order: &str) -> u16 {
    let mut key = format!("key-{order}");
    for number in 1..20 {
        let answer = ClientConnection::open(node).ok().and_then(|mut connection| {
            connection.send(&order_text(order, &key)).ok()?;
            connection.receive(ms(5000))
        });
        let Some(answer) = answer else {
            note(&format!("client of {order}: no response with {key}"));
            sleep_ms(200);
            continue;
        };
        note(&format!("client of {order}: {} with {key}", answer.status));
        if answer.status != 503 {
            return answer.status;
        }
        let wait = answer.message.field("Retry-After").and_then(|text| text.parse().ok()).unwrap_or(DEFAULT_WAIT);
        thread::sleep(std::time::Duration::from_secs_f64(wait));
        key = format!("key-{order}-{number}");
    }
    0
}

fn main() {
    let case = begin();
    let runs = Arc::new(Runs::default());
    let executors: Vec<_> = ["s-a", "s-b"]
        .into_iter()
        .map(|name| (name.to_string(), serve(listener(), executor(name, runs.clone()))))
        .collect();
    let discovery = Discovery::start(&executors);
    let operator_file = case.path("operator.toml");
    let text = format!("[durable]\npath = \"{}\"\n", case.path("ledger").display());
    std::fs::write(&operator_file, text).expect("the operator's file");
    let settings =
        Settings { probes: false, drain_grace_ms: 2000, classes: vec![class("publish", "unsafe", 900_000, 3_000_000)] };
    let socket = listener();
    let node = socket.local_addr().expect("an address");
    let shared = case.path("shared");
    std::fs::create_dir_all(&shared).expect("a folder");
    let config = node_file("n0", node, discovery.address, &discovery.known(), &settings.json());
    let (old_management, new_management) = (free_address(), free_address());
    let launch = |management| Launch {
        name: "n0",
        config: &config,
        listen: node,
        discovery: discovery.address,
        management: Some(management),
        operator_file: Some(&operator_file),
        passed: Some((&socket, shared.as_path())),
    };
    let mut old = NodeProcess::start(&launch(old_management), "old.log");
    wait_until_serving(node);
    // A client that keeps its connection and rests on it.
    let Ok(mut resting) = ClientConnection::open(node) else { finish(2, "cannot run: no connection") };
    let answered = resting.send(&order_text("first", "key-first")).is_ok() && resting.receive(ms(4000)).is_some();
    if !answered {
        finish(2, "cannot run: the node does not answer");
    }
    let orders: Vec<String> = (0..ORDERS).map(|number| format!("order-{number}")).collect();
    for order in &orders {
        let Ok(mut client) = ClientConnection::open(node) else { finish(2, "cannot run: no connection") };
        if client.send(&order_text(order, &format!("key-{order}"))).is_err() {
            finish(2, "cannot run: an order could not be sent");
        }
        wait_for("the order's run", ms(3000), || runs.all().iter().any(|run| run.id == *order));
        note(&format!("client of {order}: loses its connection before the answer"));
    }
    sleep_ms(WORK + 500);
    let mut current = None;
    if case.has_trouble {
        current = Some(NodeProcess::start(&launch(new_management), "new.log"));
        wait_until_ready(new_management);
        note("platform: the new process is ready, the old one gets SIGTERM");
        old.signal(SIGTERM);
    }
    let clients: Vec<_> =
        orders.iter().cloned().map(|order| thread::spawn(move || ask_again(node, &order))).collect();
    let statuses: Vec<u16> = clients.into_iter().map(|client| client.join().unwrap_or(0)).collect();
    note(&format!("last answers: {statuses:?}"));
    drop(resting);
    let process = current.as_mut().unwrap_or(&mut old);
    if process.has_ended() {
        finish(2, "cannot run: the node has ended");
    }
    let count = |order: &&String| runs.all().iter().filter(|run| run.id == **order).count();
    if orders.iter().any(|order| count(&order) == 0) {
        finish(2, "cannot run: an order has not run at all");
    }
    let twice = orders.iter().filter(|order| count(order) > 1).count();
    finish(i32::from(twice > 0), &format!("{twice} of {ORDERS} orders that must never run twice ran twice"))
}
