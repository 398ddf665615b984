//! Measures the memory that a real `troutknotd` uses per executor.
//!
//! Starts one process for each number of executors and source of the endpoint list, and reads its resident memory from
//! `/proc`. Prints the memory after the start, its peak, and the bytes per executor from a least-squares fit.
//!
//!     cargo run --profile kit -p troutknotd --example fleet_memory -- target/kit/troutknotd [MEMORY_MB [FLEET]...]
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::process::{Child, Command, Stdio};
use std::sync::mpsc;
use std::thread;
use std::time::{Duration, Instant};
use tokio::task::LocalSet;
use troutknot_fake_consul::{Agent, Cluster, Instance};

const FLEETS: [usize; 5] = [100, 1_000, 5_000, 10_000, 19_000];
const DEFAULT_MEMORY_MB: u64 = 512;
const START_TIMEOUT: Duration = Duration::from_secs(30);
/// Time for the node to parse the list and to free the memory that parsing needed.
const SETTLE_TIME: Duration = Duration::from_millis(2500);

/// The sources from which a node receives its endpoint list.
#[derive(Clone, Copy, PartialEq)]
enum ListSource {
    Configuration,
    Watch,
    Both,
    /// Like `Both`, with further snapshots over the watch.
    Repeated,
    /// A Consul agent with one service.
    Consul,
}

const LIST_SOURCES: [(ListSource, &str); 5] = [
    (ListSource::Configuration, "configuration"),
    (ListSource::Watch, "watch"),
    (ListSource::Both, "both"),
    (ListSource::Repeated, "repeated"),
    (ListSource::Consul, "consul"),
];

/// Total number of snapshots that a watch sends.
const REPETITIONS: u64 = 6;
/// Delay after each snapshot.
const REPEAT_INTERVAL: Duration = Duration::from_millis(200);

struct Memory {
    settled_kb: f64,
    peak_kb: f64,
}

fn entry(number: usize) -> String {
    let (high, low) = (number / 250, number % 250);
    format!(
        "{{\"id\":\"s-{:08x}\",\"addr\":\"10.{}.{}.{}:3000\",\"zone\":\"z{}\",\"kind\":\"m{}\",\"cell\":{},\
         \"state\":\"Ready\",\"weight\":1.0,\"started_ms\":{}}}",
        (number as u32).wrapping_mul(2_654_435_761),
        1 + high / 250,
        high % 250,
        low + 1,
        number % 3,
        number % 4,
        number % 40,
        1_700_000_000_000u64 + number as u64
    )
}

fn list(version: u64, full: bool, executors: usize) -> String {
    let entries: Vec<String> = (0..executors).map(entry).collect();
    format!("{{\"version\":{version},\"full\":{full},\"servers\":[{}]}}", entries.join(","))
}

/// Serves watches: sends the lists, then a keep-alive every second.
fn serve_discovery(listener: TcpListener, lists: Vec<String>) {
    for stream in listener.incoming().flatten() {
        let lists = lists.clone();
        thread::spawn(move || serve_watch(stream, &lists));
    }
}

fn serve_watch(mut stream: TcpStream, lists: &[String]) -> std::io::Result<()> {
    let mut request = [0; 2048];
    let _ = stream.read(&mut request)?;
    write!(stream, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")?;
    for list in lists {
        write!(stream, "{:x}\r\n{list}\n\r\n", list.len() + 1)?;
        thread::sleep(REPEAT_INTERVAL);
    }
    loop {
        thread::sleep(Duration::from_secs(1));
        write!(stream, "1\r\n\n\r\n")?;
    }
}

/// Starts a Consul agent with this number of executors on a separate thread.
fn start_consul(executors: usize) -> SocketAddr {
    let (sender, address) = mpsc::channel();
    thread::spawn(move || {
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
        LocalSet::new().block_on(&runtime, async move {
            let cluster = Cluster::new("dc1");
            let instance = |number: usize| {
                let address = ([10, 1, (number / 250) as u8, (number % 250 + 1) as u8], 3000);
                Instance::new(&format!("s-{number:08x}"), address.into())
            };
            cluster.register_all("box", (0..executors).map(instance).collect());
            let agent = Agent::start(&cluster, ([127, 0, 0, 1], 0).into(), None).expect("a free port");
            sender.send(agent.addr).expect("the address is received");
            std::future::pending::<()>().await;
        });
    });
    address.recv().expect("the agent starts")
}

/// Creates the contents of the operator's file, with the address of the agent.
fn operator_file(agent: SocketAddr) -> String {
    format!(
        "[lists]\nsources = [\"consul\"]\n[lists.consul]\nagents = [\"{agent}\"]\nwait = \"300ms\"\n\
         [[lists.consul.services]]\nname = \"box\"\n"
    )
}

fn configuration(discovery: SocketAddr, memory_mb: u64, cached_list: &str) -> String {
    format!(
        "{{\"name\":\"n0\",\"listen\":\"127.0.0.1:0\",\"discovery\":\"{discovery}\",\
         \"seed\":\"8c1f30d27a5be964\",\"limits\":{{\"memory_mb\":{memory_mb},\"sockets\":1024}},\
         \"known\":{cached_list},\"settings\":{{\"balancers\":1,\"me\":0,\"zone\":0,\
         \"failure_domains\":[\"z0\",\"z1\",\"z2\"],\"kinds\":[\"m0\",\"m1\",\"m2\",\"m3\"],\
         \"project_types\":[{{\"name\":\"render\",\"effect\":\"safe\",\"hard_limit\":3000000,\
         \"promised_turnaround\":500000,\"credit\":1.0}}]}}}}"
    )
}

fn is_healthy(node: SocketAddr) -> bool {
    let Ok(mut stream) = TcpStream::connect(node) else { return false };
    let mut answer = String::new();
    let sent = stream.write_all(b"GET /_health HTTP/1.1\r\nHost: n\r\nConnection: close\r\n\r\n");
    sent.is_ok() && stream.read_to_string(&mut answer).is_ok() && answer.starts_with("HTTP/1.1 200")
}

/// Reads the address at which a node listens from its log. Prints warnings in the rest of the log.
fn read_address(process: &mut Child) -> SocketAddr {
    let mut lines = BufReader::new(process.stdout.take().expect("standard output is piped"))
        .lines()
        .map_while(Result::ok);
    let line = lines.find(|line| line.contains("node listening")).expect("the node starts");
    thread::spawn(move || {
        lines
            .filter(|line| {
                line.contains("more executors are listed than fit into memory")
                    || line.contains("invalid endpoint list")
                    || line.contains("consul query failed")
            })
            .for_each(|line| println!("{line}"))
    });
    let address = line.split_whitespace().find_map(|field| field.strip_prefix("address="));
    address.and_then(|address| address.parse().ok()).expect("the line has an address")
}

fn status_kb(process: u32, field: &str) -> f64 {
    let status = std::fs::read_to_string(format!("/proc/{process}/status")).expect("the process runs");
    let line = status.lines().find(|line| line.starts_with(field)).expect("the field is there");
    line.split_whitespace().nth(1).and_then(|value| value.parse().ok()).expect("the field has a number")
}

fn measure(program: &str, memory_mb: u64, source: ListSource, executors: usize) -> Memory {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let discovery = listener.local_addr().expect("the listener is bound");
    let snapshot = list(8, true, executors);
    let lists = match source {
        ListSource::Configuration => vec![list(9, false, 0)],
        ListSource::Watch | ListSource::Both | ListSource::Consul => vec![snapshot.clone()],
        ListSource::Repeated => (8..8 + REPETITIONS).map(|version| list(version, true, executors)).collect(),
    };
    thread::spawn(move || serve_discovery(listener, lists));
    let cached_list =
        if matches!(source, ListSource::Watch | ListSource::Consul) { "null".to_string() } else { snapshot };
    let path = std::env::temp_dir().join(format!("fleet-memory-{}.json", std::process::id()));
    std::fs::write(&path, configuration(discovery, memory_mb, &cached_list))
        .expect("the node file is written");
    let operator_path = std::env::temp_dir().join(format!("fleet-memory-{}.toml", std::process::id()));
    let mut command = Command::new(program);
    if source == ListSource::Consul {
        std::fs::write(&operator_path, operator_file(start_consul(executors)))
            .expect("the operator's file is written");
        command.env("TROUTKNOT_FILE", &operator_path);
    }
    let mut process =
        command.env("ROUTER_CONFIG", &path).stdout(Stdio::piped()).spawn().expect("the program runs");
    let (node, deadline) = (read_address(&mut process), Instant::now() + START_TIMEOUT);
    while !is_healthy(node) && Instant::now() < deadline {
        thread::sleep(Duration::from_millis(20));
    }
    thread::sleep(SETTLE_TIME);
    let memory =
        Memory { settled_kb: status_kb(process.id(), "VmRSS"), peak_kb: status_kb(process.id(), "VmHWM") };
    process.kill().expect("the process runs");
    process.wait().expect("the process exits");
    for file in [path, operator_path] {
        // Only the Consul source has an operator's file.
        let _ = std::fs::remove_file(file);
    }
    memory
}

/// The slope of the least-squares line through the points.
fn slope(points: &[(f64, f64)]) -> f64 {
    let count = points.len() as f64;
    let mean_x = points.iter().map(|(x, _)| x).sum::<f64>() / count;
    let mean_y = points.iter().map(|(_, y)| y).sum::<f64>() / count;
    let covariance: f64 = points.iter().map(|(x, y)| (x - mean_x) * (y - mean_y)).sum();
    let variance: f64 = points.iter().map(|(x, _)| (x - mean_x).powi(2)).sum();
    covariance / variance
}

fn main() {
    let mut arguments = std::env::args().skip(1);
    let program = arguments.next().expect("the path of troutknotd");
    let memory_mb = arguments.next().and_then(|text| text.parse().ok()).unwrap_or(DEFAULT_MEMORY_MB);
    let mut fleets: Vec<usize> = arguments.filter_map(|text| text.parse().ok()).collect();
    if fleets.is_empty() {
        fleets = FLEETS.to_vec();
    }
    println!("source, executors, settled KB, peak KB");
    for (source, name) in LIST_SOURCES {
        let (mut settled, mut peak) = (Vec::new(), Vec::new());
        for &executors in &fleets {
            let memory = measure(&program, memory_mb, source, executors);
            println!("{name}, {executors}, {:.0}, {:.0}", memory.settled_kb, memory.peak_kb);
            settled.push((executors as f64, memory.settled_kb * 1024.0));
            peak.push((executors as f64, memory.peak_kb * 1024.0));
        }
        println!("{name}: {:.0} bytes an executor settled, {:.0} at the peak", slope(&settled), slope(&peak));
    }
}
