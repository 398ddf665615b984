//! A node that follows Consul, as a process between scripted executors and stand-ins of agents.
#![allow(clippy::unwrap_used)]
mod common;

use common::*;
use serde_json::{Value, json};
use std::io::Write;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::mpsc;
use std::thread;
use std::time::{Duration, Instant};
use tokio::sync::mpsc::{UnboundedSender, unbounded_channel};
use tokio::task::LocalSet;
use troutknot_emulator::scripted::{Act, Discovery, Executor};
use troutknot_fake_consul::{Agent, Cluster, Fault, Instance, Status};

/// The stand-ins on a thread of their own.
struct Standins {
    jobs: UnboundedSender<Job>,
    agents: Vec<SocketAddr>,
}

type Job = Box<dyn FnOnce(&Rc<Cluster>, &[Rc<Agent>]) + Send>;

impl Standins {
    fn start(agents: usize, token: Option<&'static str>) -> Self {
        let (jobs, mut to_do) = unbounded_channel::<Job>();
        let (told, addrs) = mpsc::channel();
        thread::spawn(move || {
            let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
            LocalSet::new().block_on(&runtime, async move {
                let cluster = Cluster::new("dc1");
                let start = |_| Agent::start(&cluster, ([127, 0, 0, 1], 0).into(), token).unwrap();
                let agents: Vec<Rc<Agent>> = (0..agents).map(start).collect();
                told.send(agents.iter().map(|agent| agent.addr).collect()).unwrap();
                while let Some(job) = to_do.recv().await {
                    job(&cluster, &agents);
                }
            });
        });
        Standins { jobs, agents: addrs.recv().unwrap() }
    }

    /// Does something on that thread, and waits for what comes of it.
    fn with<R: Send + 'static>(
        &self,
        job: impl FnOnce(&Rc<Cluster>, &[Rc<Agent>]) -> R + Send + 'static,
    ) -> R {
        let (done, result) = mpsc::channel();
        let job: Job = Box::new(move |cluster, agents| _ = done.send(job(cluster, agents)));
        assert!(self.jobs.send(job).is_ok());
        result.recv().unwrap()
    }

    fn script(&self, agent: usize, wrong: Fault) {
        self.with(move |_, agents| agents[agent].set_fault(wrong));
    }

    fn register(&self, executors: &[&Executor]) {
        let addrs: Vec<SocketAddr> = executors.iter().map(|e| e.addr).collect();
        self.with(move |cluster, _| {
            let of = |(k, addr): (usize, &SocketAddr)| Instance::new(&format!("s{k}"), *addr);
            cluster.register_all("box", addrs.iter().enumerate().map(of).collect());
        });
    }

    fn set(&self, id: &'static str, status: Status) {
        self.with(move |cluster, _| cluster.set("box", &[id], status));
    }
}

fn own_file(path: Option<&str>, agents: &[SocketAddr], more: &str) -> String {
    static NUMBER: AtomicU32 = AtomicU32::new(0);
    let path = path.map(String::from).unwrap_or_else(|| {
        let number = NUMBER.fetch_add(1, Ordering::Relaxed);
        format!("{}/own-{}-{number}.toml", env!("CARGO_TARGET_TMPDIR"), std::process::id())
    });
    let agents: Vec<String> = agents.iter().map(|a| format!("\"{a}\"")).collect();
    let text = format!(
        "[lists]\nsources = [\"consul\"]\n[lists.consul]\nagents = [{}]\nwait = \"300ms\"\n\
         longest_retry = \"250ms\"\n{more}\n[[lists.consul.services]]\nname = \"box\"\n",
        agents.join(", ")
    );
    std::fs::write(&path, text).unwrap();
    path
}

fn nowhere() -> SocketAddr {
    ([127, 0, 0, 1], 9).into()
}

fn follow(own: &str) -> Node {
    Node::start_with_operator_file(nowhere(), (256, 64), settings(), "debug", Value::Null, own)
}

/// How many of so many work units each executor got.
fn used(node: &Node, times: usize, executors: &[&Executor]) -> Vec<usize> {
    for _ in 0..times {
        assert_eq!(node.send_request(build_request("render", &next_request_id(), 3.0, "")).0, 200);
    }
    executors.iter().map(|e| std::mem::take(&mut *e.seen.lock().unwrap()).len()).collect()
}

fn wait_until_used(node: &Node, what: &str, executors: &[&Executor], expected: &[bool]) {
    // Enough that none which is used is missed by chance.
    wait_until(what, || used(node, 24, executors).iter().map(|n| *n > 0).eq(expected.iter().copied()));
}

#[test]
fn failing_maintained_and_deregistered_executors_get_nothing_new() {
    let (one, two, three) = (Executor::start(), Executor::start(), Executor::start());
    let all = [&one, &two, &three];
    let standins = Standins::start(1, None);
    standins.register(&all);
    let mut node = follow(&own_file(None, &standins.agents, ""));
    wait_until_used(&node, "all are used", &all, &[true, true, true]);
    // Work that is out goes on.
    one.acts.lock().unwrap().push_back(Act::Wait);
    let mut taken = node.connect();
    taken.get_mut().write_all(build_request("publish", &next_request_id(), 30.0, "").as_bytes()).unwrap();
    wait_until("it goes to the one that waits", || {
        taken.get_ref().set_nonblocking(true).unwrap();
        let answered = taken.get_ref().peek(&mut [0]).is_ok_and(|n| n > 0);
        taken.get_ref().set_nonblocking(false).unwrap();
        if answered {
            // It went to another; then one more is sent.
            assert_eq!(read_response(&mut taken).0, 200);
            taken
                .get_mut()
                .write_all(build_request("publish", &next_request_id(), 30.0, "").as_bytes())
                .unwrap();
        }
        !one.seen.lock().unwrap().is_empty()
    });
    standins.set("s0", Status::Critical);
    wait_until_used(&node, "the failing one is left out", &all, &[false, true, true]);
    one.go_on.send(()).unwrap();
    assert_eq!(read_response(&mut taken).0, 200, "what was out is answered");
    standins.set("s1", Status::Maintenance);
    wait_until_used(&node, "so is the maintained one", &all, &[false, false, true]);
    standins.set("s1", Status::Warning);
    standins.with(|cluster, _| cluster.deregister("box", "s2"));
    wait_until_used(&node, "and the deregistered one", &all, &[false, true, false]);
    let said = node.send_request(HEALTH_CHECK).1;
    assert!(String::from_utf8_lossy(&said.1).contains("list from consul: 2 listed"), "{said:?}");
    // A change that comes while the node ends.
    node.terminate();
    node.wait_for_log("shutdown requested");
    standins.set("s0", Status::Passing);
    assert!(node.process.wait().unwrap().success());
}

#[test]
fn any_faulty_answer_of_an_agent_keeps_the_last_list() {
    let wrongs = [
        (Fault::Silent, "no answer in time"),
        (Fault::Status500, "status 500"),
        (Fault::NoLeader, "the cluster has no leader"),
        (Fault::HalfBody, "connection failed: "),
        (Fault::Garbage, "no JSON of the health API"),
    ];
    thread::scope(|all| {
        for (wrong, said) in wrongs {
            all.spawn(move || {
                let (one, two) = (Executor::start(), Executor::start());
                let standins = Standins::start(1, None);
                standins.register(&[&one, &two]);
                let node = follow(&own_file(None, &standins.agents, ""));
                wait_until_used(&node, "both are used", &[&one, &two], &[true, true]);
                standins.script(0, wrong);
                let line = node.wait_for_log("consul query failed, keeping the last list service=box");
                assert!(line.contains(said) && line.contains("count=2"), "{wrong:?}: {line}");
                wait_until_used(&node, "both are used still", &[&one, &two], &[true, true]);
                standins.set("s0", Status::Critical);
                standins.script(0, Fault::None);
                node.wait_for_log("consul query recovered service=box");
                wait_until_used(&node, "what it missed counts", &[&one, &two], &[false, true]);
            });
        }
    });
}

#[test]
fn an_emptied_list_is_not_accepted_and_logged() {
    let executors: Vec<Executor> = (0..4).map(|_| Executor::start()).collect();
    let all: Vec<&Executor> = executors.iter().collect();
    let standins = Standins::start(2, None);
    standins.register(&all);
    let node = follow(&own_file(None, &standins.agents, ""));
    wait_until_used(&node, "all are used", &all, &[true; 4]);
    (0..2).for_each(|agent| standins.script(agent, Fault::Empty));
    // A new index, so that those that wait are answered.
    standins.set("s0", Status::Passing);
    let line = node.wait_for_log("too many executors missing in consul");
    assert!(line.contains("they stay listed missing=2 count=2"), "{line}");
    assert_eq!(used(&node, 20, &all).iter().sum::<usize>(), 20, "the rest is served by");
    (0..2).for_each(|agent| standins.script(agent, Fault::None));
    standins.set("s0", Status::Passing);
    node.wait_for_log("no executor missing in consul stays listed");
}

#[test]
fn agents_that_disagree_bring_no_executor_back_and_the_next_one_is_queried() {
    let (one, two) = (Executor::start(), Executor::start());
    let all = [&one, &two];
    let standins = Standins::start(3, None);
    standins.register(&all);
    let node = follow(&own_file(None, &standins.agents, "consistency = \"stale\""));
    wait_until_used(&node, "both are used", &all, &[true, true]);
    standins.script(1, Fault::StaleView);
    standins.set("s0", Status::Maintenance);
    wait_until_used(&node, "the first agent says so", &all, &[false, true]);
    // The first one fails, the second shows the cluster as it was.
    standins.script(0, Fault::Status500);
    node.wait_for_log("is behind index");
    assert_eq!(used(&node, 30, &all), [0, 30], "an older view brings nothing back");
    wait_until("the third is asked", || {
        standins.with(|_, agents| agents[2].take_requests().iter().any(|a| a.ends_with("&stale")))
    });
    standins.set("s0", Status::Passing);
    wait_until_used(&node, "what it says counts", &all, &[true, true]);
    // A cluster that was restored counts its indices anew.
    (0..3).for_each(|agent| standins.script(agent, Fault::None));
    standins.with(|cluster, _| cluster.reset_index());
    standins.set("s1", Status::Critical);
    wait_until_used(&node, "the new count is taken", &all, &[true, false]);
}

#[test]
fn sighup_changes_agents_services_and_token_during_a_query() {
    let (one, two) = (Executor::start(), Executor::start());
    let (first, second) = (Standins::start(1, None), Standins::start(1, Some("secret")));
    first.register(&[&one]);
    let addr = two.addr;
    second.with(move |cluster, _| cluster.register("box", Instance::new("other", addr)));
    let own = own_file(None, &first.agents, "");
    let node = follow(&own);
    wait_until_used(&node, "the first one's list", &[&one, &two], &[true, false]);
    for bad in ["agents = []", "[lists", "[lists]\nsources = [\"dns\"]"] {
        std::fs::write(&own, bad).unwrap();
        node.signal("HUP");
        node.wait_for_log("new operator's file rejected");
    }
    let token = format!("{own}.token");
    std::fs::write(&token, "wrong").unwrap();
    // Another cluster lists others: by default half of what was listed would stay until it is believed gone.
    let panic = "[lists.consul.panic]\nshare = 1.0";
    own_file(Some(&own), &second.agents, &format!("token_file = \"{token}\"\n{panic}"));
    node.signal("HUP");
    let line = node.wait_for_log("consul query failed, keeping the last list service=box");
    assert!(line.contains("status 403"), "{line}");
    assert_eq!(used(&node, 5, &[&one, &two]), [5, 0], "the list is kept meanwhile");
    std::fs::write(&token, "secret\n").unwrap();
    node.signal("HUP");
    wait_until_used(&node, "the second one's list", &[&one, &two], &[false, true]);
}

#[test]
fn a_node_that_starts_with_consul_silent_serves_by_its_last_list() {
    let (one, two) = (Executor::start(), Executor::start());
    let standins = Standins::start(1, None);
    standins.script(0, Fault::Silent);
    standins.register(&[&two]);
    let mut saved = entry("s0@host-s0.dc1", &one, "Ready");
    saved["started_ms"] = json!(0);
    let known = json!({"version": 3, "full": true, "servers": [saved, entry("gone", &two, "Ready")]});
    let own = own_file(None, &standins.agents, "[lists.consul.panic]\nshare = 0.5\nspan = \"200ms\"");
    let node = Node::start_with_operator_file(nowhere(), (256, 64), settings(), "info", known, &own);
    wait_until_used(&node, "the list held before", &[&one, &two], &[true, true]);
    // Then Consul answers: one is the same, elsewhere now, and the other is no more.
    standins.script(0, Fault::None);
    wait_until_used(&node, "the new list", &[&one, &two], &[false, true]);
}

#[test]
fn with_the_platforms_list_the_strictest_state_counts() {
    let (one, two) = (Executor::start(), Executor::start());
    let all = [&one, &two];
    let standins = Standins::start(1, None);
    standins.register(&[&two]);
    let discovery = Discovery::start(list(7, true, &[entry("s-1", &one, "Ready")]));
    let own = own_file(None, &standins.agents, "");
    let text = std::fs::read_to_string(&own).unwrap().replace("[\"consul\"]", "[\"platform\", \"consul\"]");
    std::fs::write(&own, text).unwrap();
    let node =
        Node::start_with_operator_file(discovery.addr, (256, 64), settings(), "info", Value::Null, &own);
    wait_until_used(&node, "both lists", &all, &[true, true]);
    let drained = list(8, false, &[entry("s0@host-s0.dc1", &two, "Terminating")]);
    discovery.lines.send(drained).unwrap();
    wait_until_used(&node, "the platform's word on Consul's executor", &all, &[true, false]);
}

#[test]
fn two_thousand_instances_of_which_a_tenth_flaps_stay_within_the_nodes_memory() {
    let executors: Vec<Executor> = (0..4).map(|_| Executor::start()).collect();
    let addrs: Vec<SocketAddr> = executors.iter().map(|e| e.addr).collect();
    let standins = Standins::start(1, None);
    standins.with(move |cluster, _| {
        let of = |k: usize| Instance::new(&format!("s{k:04}"), addrs[k % 4]);
        cluster.register_all("box", (0..2000).map(of).collect());
    });
    let own = own_file(None, &standins.agents, "");
    let node = Node::start_with_operator_file(nowhere(), (256, 48), settings(), "info", Value::Null, &own);
    let end = Instant::now() + Duration::from_secs(3);
    let (mut failing, mut served) = (false, 0);
    while Instant::now() < end {
        failing = !failing;
        let status = if failing { Status::Critical } else { Status::Passing };
        standins.with(move |cluster, _| {
            let ids: Vec<String> = (0..200).map(|k| format!("s{k:04}")).collect();
            let ids: Vec<&str> = ids.iter().map(String::as_str).collect();
            cluster.set("box", &ids, status);
        });
        for _ in 0..20 {
            assert_eq!(node.send_request(build_request("render", &next_request_id(), 3.0, "")).0, 200);
            served += 1;
        }
    }
    let line = std::fs::read_to_string(format!("/proc/{}/status", node.process.id())).unwrap();
    let most = line.lines().find_map(|line| line.strip_prefix("VmHWM:")).unwrap().trim();
    let most: u64 = most.split(' ').next().unwrap().parse().unwrap();
    assert!(most <= 48 * 1024 && served > 100, "{most} kB, {served} served");
}

#[test]
fn an_invalid_operators_file_is_reported_in_plain_lines() {
    let good = own_file(None, &[nowhere()], "");
    let config = json!({"name": "n0", "listen": "127.0.0.1:0", "discovery": "127.0.0.1:9", "seed": "8c",
        "limits": {"memory_mb": 64, "sockets": 64}, "settings": settings()});
    let config = write_config_file(&config.to_string());
    let text = std::fs::read_to_string(&good).unwrap();
    for (from, to, part) in [
        ("[lists]", "[list]", "line 1: unknown field `list`, expected one of `lists`"),
        ("\"consul\"", "\"dns\"", "line 2: unknown variant `dns`, expected `platform` or `consul`"),
        ("127.0.0.1:9", "here", "line 4: invalid socket address syntax"),
        ("\"127.0.0.1:9\"", "", "must name 1 to 16 addresses"),
        ("300ms", "1ms", "`lists.consul.wait` must be 100ms to 10m"),
        ("\"box\"", "\"\"", "an empty name"),
        ("[\"consul\"]", "[\"consul\", \"consul\"]", "names one source twice"),
        (
            "[[lists.consul.services]]",
            "damping = { reuse = 9 }\n[[lists.consul.services]]",
            "`reuse` <= `cutoff`",
        ),
    ] {
        let path = format!("{good}.bad");
        std::fs::write(&path, text.replace(from, to)).unwrap();
        let out = spawn_node_with_operator_file(&config, "info", &path).wait_with_output().unwrap();
        let said = String::from_utf8(out.stderr).unwrap();
        assert!(!out.status.success() && said.lines().count() == 1 && said.contains(part), "{to}: {said}");
    }
}

/// Prints how long a change at the agent takes to the dispatcher, and what it costs the node.
#[test]
#[ignore = "a measurement: cargo test --release -p troutknotd --test consul -- --ignored --nocapture"]
fn time_and_cost_of_a_change() {
    println!(
        "| entries | p50, ms | p99, ms | node CPU a change, ms | node memory, MB |\n| --- | --- | --- | --- | --- |"
    );
    for entries in [10, 500, 5000] {
        let executor = Executor::start();
        let addr = executor.addr;
        let standins = Standins::start(1, None);
        standins.with(move |cluster, _| {
            let of = |k: usize| Instance::new(&format!("s{k:04}"), addr);
            cluster.register_all("box", (0..entries).map(of).collect());
        });
        let more = "[lists.consul.damping]\non = false";
        let own = own_file(None, &standins.agents, more);
        let node =
            Node::start_with_operator_file(nowhere(), (256, 48), settings(), "debug", Value::Null, &own);
        let of_process =
            |what: &str| std::fs::read_to_string(format!("/proc/{}/{what}", node.process.id())).unwrap();
        let cpu = || {
            let stat = of_process("stat");
            let fields: Vec<&str> = stat.rsplit(')').next().unwrap().split_whitespace().collect();
            (fields[11].parse::<f64>().unwrap() + fields[12].parse::<f64>().unwrap()) * 10.0
        };
        let (before, mut took) = (cpu(), Vec::new());
        let rounds = 200;
        for round in 0..rounds {
            let status = if round % 2 == 0 { Status::Critical } else { Status::Passing };
            while node.log.try_recv().is_ok() {}
            // Where the answer before is only just in, the next question is not out yet.
            let asked = Instant::now() + Duration::from_millis(80);
            wait_until("the next question is out", || Instant::now() > asked);
            let start = Instant::now();
            standins.with(move |cluster, _| cluster.set("box", &["s0003"], status));
            node.wait_for_log("consul changes sent count=1");
            took.push(start.elapsed().as_secs_f64() * 1000.0);
        }
        took.sort_by(f64::total_cmp);
        let memory = of_process("status");
        let most = memory.lines().find_map(|line| line.strip_prefix("VmHWM:")).unwrap().trim();
        let most: f64 = most.split(' ').next().unwrap().parse().unwrap();
        println!(
            "| {entries} | {:.2} | {:.2} | {:.2} | {:.1} |",
            took[took.len() / 2],
            took[took.len() * 99 / 100],
            (cpu() - before) / f64::from(rounds),
            most / 1024.0
        );
    }
}

#[test]
fn several_services_are_one_list_also_if_answers_are_late() {
    let (one, two) = (Executor::start(), Executor::start());
    let all = [&one, &two];
    let standins = Standins::start(1, None);
    standins.register(&[&one]);
    let addr = two.addr;
    standins.with(move |cluster, _| cluster.register("cart", Instance::new("c0", addr)));
    let own = own_file(None, &standins.agents, "");
    let text = std::fs::read_to_string(&own).unwrap();
    std::fs::write(&own, format!("{text}[[lists.consul.services]]\nname = \"cart\"\n")).unwrap();
    let node = follow(&own);
    wait_until_used(&node, "both services", &all, &[true, true]);
    standins.script(0, Fault::Late(Duration::from_millis(200)));
    standins.with(|cluster, _| cluster.set("cart", &["c0"], Status::Critical));
    wait_until_used(&node, "a late word counts when it comes", &all, &[true, false]);
    // The operator takes a service out.
    standins.with(|cluster, _| cluster.set("cart", &["c0"], Status::Passing));
    wait_until_used(&node, "both again", &all, &[true, true]);
    std::fs::write(&own, text).unwrap();
    node.signal("HUP");
    node.wait_for_log("consul service no longer watched service=cart");
    wait_until_used(&node, "the one that is left", &all, &[true, false]);
}
