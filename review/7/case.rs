//! A durable request with a mark against repeats, a node that is killed, and an executor that is replaced meanwhile.
#[path = "../common-2/kit.rs"]
mod kit;

use kit::*;
use std::sync::Arc;

/// The work of the executor that is replaced; it goes on when its node is gone, and ends before the executor does.
const WORK: u64 = 600;

fn main() {
    let case = begin();
    let runs = Arc::new(Runs::default());
    let x = plain_executor("s-x", ms(WORK), &runs);
    let a = plain_executor("s-a", ms(50), &runs);
    let discovery = Discovery::start(&[]);
    // The list that the node had long ago, and that it is started with again: nobody of those who serve now.
    let known = discovery.known();
    discovery.add("s-x", x, 3);
    let operator_file = case.path("operator.toml");
    let text = format!(
        "[durable]\npath = \"{}\"\neffects = [\"exclusive\", \"receipted\"]\n",
        case.path("ledger").display()
    );
    std::fs::write(&operator_file, text).expect("the operator's file");
    let settings = Settings {
        probes: false,
        drain_grace_ms: 2000,
        classes: vec![class_with_scope("print-order", "keyed", "cell", 1_000_000, 15_000_000)],
    };
    let listen = free_address();
    let config = node_file("n0", listen, discovery.address, &known, &settings.json());
    let launch = Launch {
        name: "n0",
        config: &config,
        listen,
        discovery: discovery.address,
        management: None,
        operator_file: Some(&operator_file),
        passed: None,
    };
    let mut node = NodeProcess::start(&launch, "first.log");
    wait_until_serving(listen);
    sleep_ms(300);
    let id = new_id();
    let key = format!("Idempotency-Key: order-{id}\r\n");
    let Ok(mut client) = ClientConnection::open(listen) else { finish(2, "cannot run: no connection") };
    let is_sent = client.send(&request_text(&id, "print-order", 15.0, &key, "order")).is_ok();
    if !is_sent {
        finish(2, "cannot run: the request could not be sent");
    }
    note(&format!("client: {id} sent with its key"));
    wait_for("the request at s-x", ms(3000), || !runs.of("s-x").is_empty());
    sleep_ms(200);
    if case.has_trouble {
        note("platform: the node is killed");
        node.kill();
        sleep_ms(WORK);
        note("executor s-x: has done the request, and is replaced");
        discovery.set_state("s-x", "Gone");
        discovery.add("s-a", a, 0);
        node = NodeProcess::start(&launch, "second.log");
        wait_until_serving(listen);
    } else {
        let answer = client.receive(ms(5000));
        note(&format!("client: answered {:?}", answer.map(|answer| answer.status)));
        discovery.set_state("s-x", "Gone");
        discovery.add("s-a", a, 0);
    }
    // The client asks again with the same key, as it got no response.
    let again = new_id();
    let Ok(mut client) = ClientConnection::open(listen) else { finish(2, "cannot run: no connection") };
    let is_sent = client.send(&request_text(&again, "print-order", 10.0, &key, "order")).is_ok();
    let answer = if is_sent { client.receive(ms(12_000)) } else { None };
    note(&format!("client: asked again as {again}, answered {:?}", answer.map(|answer| answer.status)));
    if node.has_ended() {
        finish(2, "cannot run: the node has ended");
    }
    let all = runs.all();
    let elsewhere = all.iter().filter(|run| run.executor == "s-a").count();
    let verdict = format!(
        "the request ran {} times in cell 3 and {elsewhere} times in cell 0, which drops no repeats of cell 3",
        all.len() - elsewhere
    );
    finish(i32::from(elsewhere > 0 && all.len() > elsewhere), &verdict)
}
