//! A node's process that discovers scripted executors from fake agents of Consul.
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
use troutknot_emulator::scripted::{Action, Discovery, Executor};
use troutknot_fake_consul::{Agent, Cluster, Fault, Instance, Status};

/// A fake cluster of Consul and its agents, on a thread of their own.
struct FakeConsul {
    tasks: UnboundedSender<Task>,
    agents: Vec<SocketAddr>,
}

type Task = Box<dyn FnOnce(&Rc<Cluster>, &[Rc<Agent>]) + Send>;

impl FakeConsul {
    fn start(agents: usize, token: Option<&'static str>) -> Self {
        let (tasks, mut received_tasks) = unbounded_channel::<Task>();
        let (sender, addrs) = mpsc::channel();
        thread::spawn(move || {
            let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
            LocalSet::new().block_on(&runtime, async move {
                let cluster = Cluster::new("dc1");
                let start = |_| Agent::start(&cluster, ([127, 0, 0, 1], 0).into(), token).unwrap();
                let agents: Vec<Rc<Agent>> = (0..agents).map(start).collect();
                sender.send(agents.iter().map(|agent| agent.addr).collect()).unwrap();
                while let Some(task) = received_tasks.recv().await {
                    task(&cluster, &agents);
                }
            });
        });
        FakeConsul { tasks, agents: addrs.recv().unwrap() }
    }

    /// Runs a task on the thread of the cluster, and returns its result.
    fn run<R: Send + 'static>(
        &self,
        task: impl FnOnce(&Rc<Cluster>, &[Rc<Agent>]) -> R + Send + 'static,
    ) -> R {
        let (done, result) = mpsc::channel();
        let task: Task = Box::new(move |cluster, agents| _ = done.send(task(cluster, agents)));
        assert!(self.tasks.send(task).is_ok());
        result.recv().unwrap()
    }

    fn set_fault(&self, agent: usize, fault: Fault) {
        self.run(move |_, agents| agents[agent].set_fault(fault));
    }

    /// Registers executors as `s0`, `s1` and so on.
    fn register(&self, executors: &[&Executor]) {
        let addrs: Vec<SocketAddr> = executors.iter().map(|executor| executor.addr).collect();
        self.run(move |cluster, _| {
            let instance = |(number, addr): (usize, &SocketAddr)| Instance::new(&format!("s{number}"), *addr);
            cluster.register_all("box", addrs.iter().enumerate().map(instance).collect());
        });
    }

    fn set_status(&self, id: &'static str, status: Status) {
        self.run(move |cluster, _| cluster.set_status("box", &[id], status));
    }
}

/// Writes an operator's file that watches the service `box`, with additional lines, and returns its path.
fn write_operator_file(path: Option<&str>, agents: &[SocketAddr], extra_lines: &str) -> String {
    static NUMBER: AtomicU32 = AtomicU32::new(0);
    let path = path.map(String::from).unwrap_or_else(|| {
        let number = NUMBER.fetch_add(1, Ordering::Relaxed);
        format!("{}/operator-file-{}-{number}.toml", env!("CARGO_TARGET_TMPDIR"), std::process::id())
    });
    let agents: Vec<String> = agents.iter().map(|agent| format!("\"{agent}\"")).collect();
    let text = format!(
        "[lists]\nsources = [\"consul\"]\n[lists.consul]\nagents = [{}]\nwait = \"300ms\"\n\
         longest_retry = \"250ms\"\n{extra_lines}\n[[lists.consul.services]]\nname = \"box\"\n",
        agents.join(", ")
    );
    std::fs::write(&path, text).unwrap();
    path
}

/// An address that nothing listens on.
fn unused_address() -> SocketAddr {
    ([127, 0, 0, 1], 9).into()
}

/// Starts a node that discovers executors as the operator's file states.
fn start_node(operator_file: &str) -> Node {
    Node::start_with_operator_file(
        unused_address(),
        (256, 64),
        settings(),
        "debug",
        Value::Null,
        operator_file,
    )
}

/// Sends this number of requests, and returns how many of them each executor received.
fn count_requests_by_executor(node: &Node, count: usize, executors: &[&Executor]) -> Vec<usize> {
    for _ in 0..count {
        assert_eq!(node.send_request(build_request("render", &next_request_id(), 3.0, "")).0, 200);
    }
    executors.iter().map(|executor| std::mem::take(&mut *executor.requests.lock().unwrap()).len()).collect()
}

/// Waits until exactly the executors marked in `expected` receive requests.
fn wait_until_requests_reach(node: &Node, description: &str, executors: &[&Executor], expected: &[bool]) {
    // With 24 requests, an executor in use is practically never missed by chance.
    wait_until(description, || {
        count_requests_by_executor(node, 24, executors)
            .iter()
            .map(|count| *count > 0)
            .eq(expected.iter().copied())
    });
}

/// Executors that Consul reports as critical, in maintenance or no longer at all must get no new requests, and a
/// request that is open at one must still be answered.
#[test]
fn failing_maintained_and_deregistered_executors_get_no_new_requests() {
    let (first, second, third) = (Executor::start(), Executor::start(), Executor::start());
    let all = [&first, &second, &third];
    let consul = FakeConsul::start(1, None);
    consul.register(&all);
    let mut node = start_node(&write_operator_file(None, &consul.agents, ""));
    wait_until_requests_reach(&node, "all are used", &all, &[true, true, true]);
    // A request that is open at an executor is completed.
    first.actions.lock().unwrap().push_back(Action::Wait);
    let mut open_request = node.connect();
    open_request
        .get_mut()
        .write_all(build_request("publish", &next_request_id(), 30.0, "").as_bytes())
        .unwrap();
    wait_until("the request is dispatched to the executor that waits", || {
        open_request.get_ref().set_nonblocking(true).unwrap();
        let is_answered = open_request.get_ref().peek(&mut [0]).is_ok_and(|length| length > 0);
        open_request.get_ref().set_nonblocking(false).unwrap();
        if is_answered {
            // Another executor received the request, so another one is sent.
            assert_eq!(read_response(&mut open_request).0, 200);
            open_request
                .get_mut()
                .write_all(build_request("publish", &next_request_id(), 30.0, "").as_bytes())
                .unwrap();
        }
        !first.requests.lock().unwrap().is_empty()
    });
    consul.set_status("s0", Status::Critical);
    wait_until_requests_reach(&node, "the failing executor gets no requests", &all, &[false, true, true]);
    first.resume.send(()).unwrap();
    assert_eq!(read_response(&mut open_request).0, 200, "the open request is answered");
    consul.set_status("s1", Status::Maintenance);
    wait_until_requests_reach(
        &node,
        "the executor in maintenance gets no requests",
        &all,
        &[false, false, true],
    );
    consul.set_status("s1", Status::Warning);
    consul.run(|cluster, _| cluster.deregister("box", "s2"));
    wait_until_requests_reach(
        &node,
        "the deregistered executor gets no requests",
        &all,
        &[false, true, false],
    );
    let health = node.send_request(HEALTH_CHECK).1;
    assert!(String::from_utf8_lossy(&health.1).contains("list from consul: 2 listed"), "{health:?}");
    // A change during the shutdown.
    node.terminate();
    node.wait_for_log("shutdown requested");
    consul.set_status("s0", Status::Passing);
    assert!(node.process.wait().unwrap().success());
}

/// An agent that fails must not remove executors, and changes during the fault must be applied once it has recovered.
#[test]
fn the_last_list_is_kept_through_any_fault_of_an_agent() {
    let faults = [
        (Fault::Silent, "no answer in time"),
        (Fault::Status500, "status 500"),
        (Fault::NoLeader, "the cluster has no leader"),
        (Fault::TruncatedBody, "connection failed: "),
        (Fault::InvalidJson, "invalid JSON of the health API"),
    ];
    thread::scope(|scope| {
        for (fault, expected) in faults {
            scope.spawn(move || {
                let (first, second) = (Executor::start(), Executor::start());
                let consul = FakeConsul::start(1, None);
                consul.register(&[&first, &second]);
                let node = start_node(&write_operator_file(None, &consul.agents, ""));
                wait_until_requests_reach(&node, "both are used", &[&first, &second], &[true, true]);
                consul.set_fault(0, fault);
                let line = node.wait_for_log("consul query failed, keeping the last list service=box");
                assert!(line.contains(expected) && line.contains("count=2"), "{fault:?}: {line}");
                wait_until_requests_reach(&node, "both are still used", &[&first, &second], &[true, true]);
                consul.set_status("s0", Status::Critical);
                consul.set_fault(0, Fault::None);
                node.wait_for_log("consul query recovered service=box");
                wait_until_requests_reach(
                    &node,
                    "the change during the fault is applied",
                    &[&first, &second],
                    &[false, true],
                );
            });
        }
    });
}

/// An agent that loses its state answers with an empty list, which must not remove all executors at once.
#[test]
fn a_suddenly_empty_list_is_logged_and_not_applied() {
    let executors: Vec<Executor> = (0..4).map(|_| Executor::start()).collect();
    let all: Vec<&Executor> = executors.iter().collect();
    let consul = FakeConsul::start(2, None);
    consul.register(&all);
    let node = start_node(&write_operator_file(None, &consul.agents, ""));
    wait_until_requests_reach(&node, "all are used", &all, &[true; 4]);
    (0..2).for_each(|agent| consul.set_fault(agent, Fault::Empty));
    // A new index, so that pending blocking queries are answered.
    consul.set_status("s0", Status::Passing);
    let line = node.wait_for_log("too many executors missing in consul");
    assert!(line.contains("they stay listed missing=2 count=2"), "{line}");
    assert_eq!(
        count_requests_by_executor(&node, 20, &all).iter().sum::<usize>(),
        20,
        "the remaining executors serve"
    );
    (0..2).for_each(|agent| consul.set_fault(agent, Fault::None));
    consul.set_status("s0", Status::Passing);
    node.wait_for_log("no executor missing in consul stays listed");
}

/// After a failover to an agent with an outdated view, an executor in maintenance must not be used again.
#[test]
fn an_outdated_agent_brings_no_executor_back_and_the_next_agent_is_queried() {
    let (first, second) = (Executor::start(), Executor::start());
    let all = [&first, &second];
    let consul = FakeConsul::start(3, None);
    consul.register(&all);
    let node = start_node(&write_operator_file(None, &consul.agents, "consistency = \"stale\""));
    wait_until_requests_reach(&node, "both are used", &all, &[true, true]);
    consul.set_fault(1, Fault::StaleView);
    consul.set_status("s0", Status::Maintenance);
    wait_until_requests_reach(&node, "the state of the first agent is applied", &all, &[false, true]);
    // The first agent fails, and the second one has an outdated view of the cluster.
    consul.set_fault(0, Fault::Status500);
    node.wait_for_log("is behind index");
    assert_eq!(
        count_requests_by_executor(&node, 30, &all),
        [0, 30],
        "an outdated view brings no executor back"
    );
    wait_until("the third agent is queried", || {
        consul.run(|_, agents| agents[2].take_requests().iter().any(|query| query.ends_with("&stale")))
    });
    consul.set_status("s0", Status::Passing);
    wait_until_requests_reach(&node, "the state of the third agent is applied", &all, &[true, true]);
    // The indices of a restored cluster start again from a low value.
    (0..3).for_each(|agent| consul.set_fault(agent, Fault::None));
    consul.run(|cluster, _| cluster.reset_index());
    consul.set_status("s1", Status::Critical);
    wait_until_requests_reach(&node, "a list with a restarted index is applied", &all, &[true, false]);
}

/// A reload arrives while a blocking query is pending. It must apply at once, and an invalid file or a rejected token
/// must keep the last list.
#[test]
fn sighup_changes_agents_services_and_token_during_a_query() {
    let (first, second) = (Executor::start(), Executor::start());
    let (old_cluster, new_cluster) = (FakeConsul::start(1, None), FakeConsul::start(1, Some("secret")));
    old_cluster.register(&[&first]);
    let addr = second.addr;
    new_cluster.run(move |cluster, _| cluster.register("box", Instance::new("other", addr)));
    let operator_file = write_operator_file(None, &old_cluster.agents, "");
    let node = start_node(&operator_file);
    wait_until_requests_reach(&node, "the list of the old cluster", &[&first, &second], &[true, false]);
    for invalid in ["agents = []", "[lists", "[lists]\nsources = [\"dns\"]"] {
        std::fs::write(&operator_file, invalid).unwrap();
        node.signal("HUP");
        node.wait_for_log("new operator's file rejected");
    }
    let token = format!("{operator_file}.token");
    std::fs::write(&token, "wrong").unwrap();
    // The new cluster lists another executor. By default, up to half of the executors that are missing would stay
    // listed for some time, so the share is set to 1.
    let panic = "[lists.consul.panic]\nshare = 1.0";
    write_operator_file(
        Some(&operator_file),
        &new_cluster.agents,
        &format!("token_file = \"{token}\"\n{panic}"),
    );
    node.signal("HUP");
    let line = node.wait_for_log("consul query failed, keeping the last list service=box");
    assert!(line.contains("status 403"), "{line}");
    assert_eq!(count_requests_by_executor(&node, 5, &[&first, &second]), [5, 0], "the last list is kept");
    std::fs::write(&token, "secret\n").unwrap();
    node.signal("HUP");
    wait_until_requests_reach(&node, "the list of the new cluster", &[&first, &second], &[false, true]);
}

/// A node that starts while no agent answers must serve by its cached list rather than reject all requests.
#[test]
fn a_node_that_starts_while_consul_is_silent_serves_by_its_cached_list() {
    let (first, second) = (Executor::start(), Executor::start());
    let consul = FakeConsul::start(1, None);
    consul.set_fault(0, Fault::Silent);
    consul.register(&[&second]);
    let mut cached = entry("s0@host-s0.dc1", &first, "Ready");
    cached["started_ms"] = json!(0);
    let cached_list =
        json!({"version": 3, "full": true, "servers": [cached, entry("gone", &second, "Ready")]});
    let operator_file =
        write_operator_file(None, &consul.agents, "[lists.consul.panic]\nshare = 0.5\nspan = \"200ms\"");
    let node = Node::start_with_operator_file(
        unused_address(),
        (256, 64),
        settings(),
        "info",
        cached_list,
        &operator_file,
    );
    wait_until_requests_reach(&node, "the cached list", &[&first, &second], &[true, true]);
    // Consul answers: one executor has another address now, and the other one is gone.
    consul.set_fault(0, Fault::None);
    wait_until_requests_reach(&node, "the new list", &[&first, &second], &[false, true]);
}

/// With two sources, an executor that one of them drains must get no requests although the other one lists it as
/// ready.
#[test]
fn of_the_platforms_and_consuls_states_of_an_executor_the_strictest_applies() {
    let (first, second) = (Executor::start(), Executor::start());
    let all = [&first, &second];
    let consul = FakeConsul::start(1, None);
    consul.register(&[&second]);
    let discovery = Discovery::start(list(7, true, &[entry("s-1", &first, "Ready")]));
    let operator_file = write_operator_file(None, &consul.agents, "");
    let text = std::fs::read_to_string(&operator_file)
        .unwrap()
        .replace("[\"consul\"]", "[\"platform\", \"consul\"]");
    std::fs::write(&operator_file, text).unwrap();
    let node = Node::start_with_operator_file(
        discovery.addr,
        (256, 64),
        settings(),
        "info",
        Value::Null,
        &operator_file,
    );
    wait_until_requests_reach(&node, "both lists", &all, &[true, true]);
    let drained = list(8, false, &[entry("s0@host-s0.dc1", &second, "Terminating")]);
    discovery.lines.send(drained).unwrap();
    wait_until_requests_reach(&node, "the platform drains an executor of Consul", &all, &[true, false]);
}

/// Frequent changes of a long list must not exhaust the memory of the node or stall its requests.
#[test]
fn a_node_of_48_mb_serves_2000_instances_of_which_a_tenth_flaps() {
    let executors: Vec<Executor> = (0..4).map(|_| Executor::start()).collect();
    let addrs: Vec<SocketAddr> = executors.iter().map(|executor| executor.addr).collect();
    let consul = FakeConsul::start(1, None);
    consul.run(move |cluster, _| {
        let instance = |number: usize| Instance::new(&format!("s{number:04}"), addrs[number % 4]);
        cluster.register_all("box", (0..2000).map(instance).collect());
    });
    let operator_file = write_operator_file(None, &consul.agents, "");
    let node = Node::start_with_operator_file(
        unused_address(),
        (256, 48),
        settings(),
        "info",
        Value::Null,
        &operator_file,
    );
    let end_at = Instant::now() + Duration::from_secs(3);
    let (mut is_failing, mut served) = (false, 0);
    while Instant::now() < end_at {
        is_failing = !is_failing;
        let status = if is_failing { Status::Critical } else { Status::Passing };
        consul.run(move |cluster, _| {
            let ids: Vec<String> = (0..200).map(|number| format!("s{number:04}")).collect();
            let ids: Vec<&str> = ids.iter().map(String::as_str).collect();
            cluster.set_status("box", &ids, status);
        });
        for _ in 0..20 {
            assert_eq!(node.send_request(build_request("render", &next_request_id(), 3.0, "")).0, 200);
            served += 1;
        }
    }
    let line = std::fs::read_to_string(format!("/proc/{}/status", node.process.id())).unwrap();
    let peak = line.lines().find_map(|line| line.strip_prefix("VmHWM:")).unwrap().trim();
    let peak_kb: u64 = peak.split(' ').next().unwrap().parse().unwrap();
    assert!(peak_kb <= 48 * 1024 && served > 100, "{peak_kb} kB, {served} served");
}

/// A fault in the operator's file must end the start with one line that names the key, not with a default or a panic.
#[test]
fn each_fault_of_an_operators_file_is_reported_in_one_line() {
    let valid = write_operator_file(None, &[unused_address()], "");
    let config = json!({"name": "n0", "listen": "127.0.0.1:0", "discovery": "127.0.0.1:9", "seed": "8c",
        "limits": {"memory_mb": 64, "sockets": 64}, "settings": settings()});
    let config = write_config_file(&config.to_string());
    let text = std::fs::read_to_string(&valid).unwrap();
    for (from, to, expected) in [
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
        let path = format!("{valid}.bad");
        std::fs::write(&path, text.replace(from, to)).unwrap();
        let output = spawn_node_with_operator_file(&config, "info", &path).wait_with_output().unwrap();
        let error = String::from_utf8(output.stderr).unwrap();
        assert!(
            !output.status.success() && error.lines().count() == 1 && error.contains(expected),
            "{to}: {error}"
        );
    }
}

/// Prints the time from a change at the agent until the dispatcher receives it, and the CPU time and memory of the
/// node.
#[test]
#[ignore = "a measurement: cargo test --release -p troutknotd --test consul -- --ignored --nocapture"]
fn latency_and_cost_of_a_change() {
    println!(
        "| entries | p50, ms | p99, ms | node CPU a change, ms | node memory, MB |\n| --- | --- | --- | --- | --- |"
    );
    for entries in [10, 500, 5000] {
        let executor = Executor::start();
        let addr = executor.addr;
        let consul = FakeConsul::start(1, None);
        consul.run(move |cluster, _| {
            let instance = |number: usize| Instance::new(&format!("s{number:04}"), addr);
            cluster.register_all("box", (0..entries).map(instance).collect());
        });
        let extra_lines = "[lists.consul.damping]\non = false";
        let operator_file = write_operator_file(None, &consul.agents, extra_lines);
        let node = Node::start_with_operator_file(
            unused_address(),
            (256, 48),
            settings(),
            "debug",
            Value::Null,
            &operator_file,
        );
        let read_proc =
            |name: &str| std::fs::read_to_string(format!("/proc/{}/{name}", node.process.id())).unwrap();
        let cpu = || {
            let stat = read_proc("stat");
            let fields: Vec<&str> = stat.rsplit(')').next().unwrap().split_whitespace().collect();
            (fields[11].parse::<f64>().unwrap() + fields[12].parse::<f64>().unwrap()) * 10.0
        };
        let (cpu_before, mut latencies) = (cpu(), Vec::new());
        let rounds = 200;
        for round in 0..rounds {
            let status = if round % 2 == 0 { Status::Critical } else { Status::Passing };
            while node.log.try_recv().is_ok() {}
            // Right after an answer, the next blocking query has not been sent yet.
            let query_sent_at = Instant::now() + Duration::from_millis(80);
            wait_until("the next query is sent", || Instant::now() > query_sent_at);
            let changed_at = Instant::now();
            consul.run(move |cluster, _| cluster.set_status("box", &["s0003"], status));
            node.wait_for_log("consul changes sent count=1");
            latencies.push(changed_at.elapsed().as_secs_f64() * 1000.0);
        }
        latencies.sort_by(f64::total_cmp);
        let memory = read_proc("status");
        let peak = memory.lines().find_map(|line| line.strip_prefix("VmHWM:")).unwrap().trim();
        let peak_kb: f64 = peak.split(' ').next().unwrap().parse().unwrap();
        println!(
            "| {entries} | {:.2} | {:.2} | {:.2} | {:.1} |",
            latencies[latencies.len() / 2],
            latencies[latencies.len() * 99 / 100],
            (cpu() - cpu_before) / f64::from(rounds),
            peak_kb / 1024.0
        );
    }
}

/// The list of one service must not replace that of another one, and a late answer must still be applied.
#[test]
fn the_executors_of_several_services_are_merged_even_if_answers_are_late() {
    let (first, second) = (Executor::start(), Executor::start());
    let all = [&first, &second];
    let consul = FakeConsul::start(1, None);
    consul.register(&[&first]);
    let addr = second.addr;
    consul.run(move |cluster, _| cluster.register("cart", Instance::new("c0", addr)));
    let operator_file = write_operator_file(None, &consul.agents, "");
    let text = std::fs::read_to_string(&operator_file).unwrap();
    std::fs::write(&operator_file, format!("{text}[[lists.consul.services]]\nname = \"cart\"\n")).unwrap();
    let node = start_node(&operator_file);
    wait_until_requests_reach(&node, "both services", &all, &[true, true]);
    consul.set_fault(0, Fault::Delayed(Duration::from_millis(200)));
    consul.run(|cluster, _| cluster.set_status("cart", &["c0"], Status::Critical));
    wait_until_requests_reach(&node, "a late answer is applied when it arrives", &all, &[true, false]);
    // The operator removes a service from the file.
    consul.run(|cluster, _| cluster.set_status("cart", &["c0"], Status::Passing));
    wait_until_requests_reach(&node, "both are used again", &all, &[true, true]);
    std::fs::write(&operator_file, text).unwrap();
    node.signal("HUP");
    node.wait_for_log("consul service no longer watched service=cart");
    wait_until_requests_reach(
        &node,
        "only the executor of the remaining service is used",
        &all,
        &[true, false],
    );
}
