//! Clients that write slowly, stop half way, or send at full speed: the memory of the node, and the answers of another
//! client meanwhile.
#![allow(clippy::unwrap_used)]
mod common;

use common::durable::create_durable_files;
use common::platform::*;
use common::*;
use serde_json::{Value, json};
use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};
use troutknot_emulator::scripted::{Action, Discovery, Executor};

const KIB: usize = 1024;

/// What a hostile client does with one connection, until the connection ends.
type Script = fn(&mut TcpStream, &AtomicBool) -> io::Result<()>;

/// One picture: clients that do the same at once.
#[derive(Clone, Copy)]
struct Picture {
    name: &'static str,
    clients: usize,
    script: Script,
}

/// Pause between two bytes of a client that writes slowly.
const DRIP_PAUSE: Duration = Duration::from_millis(100);

fn unique_id() -> String {
    static NUMBER: AtomicUsize = AtomicUsize::new(0);
    format!("h-{}", NUMBER.fetch_add(1, Ordering::Relaxed))
}

/// A request's head without its end, with this number of additional fields of this length.
fn open_head(fields: usize, field_bytes: usize, framing: &str) -> String {
    let mut head = format!(
        "POST /render/a HTTP/1.1\r\nHost: n\r\nRequest-Id: {}\r\nRequest-Timeout: 9\r\n{framing}",
        unique_id()
    );
    for number in 0..fields {
        let name = format!("x{number}: ");
        let value = "v".repeat(field_bytes.saturating_sub(name.len() + 2).max(1));
        head += &format!("{name}{value}\r\n");
    }
    head
}

/// Writes one byte after another, slowly.
fn drip(stream: &mut TcpStream, is_done: &AtomicBool) -> io::Result<()> {
    while !is_done.load(Ordering::Relaxed) {
        std::thread::sleep(DRIP_PAUSE);
        stream.write_all(b"v")?;
    }
    Ok(())
}

/// Waits until the node closes the connection.
fn wait_for_close(stream: &mut TcpStream, is_done: &AtomicBool) -> io::Result<()> {
    stream.set_read_timeout(Some(DRIP_PAUSE))?;
    let mut buffer = [0; 512];
    while !is_done.load(Ordering::Relaxed) {
        match stream.read(&mut buffer) {
            Ok(0) => return Ok(()),
            Err(error) if error.kind() != io::ErrorKind::WouldBlock => return Err(error),
            _ => {}
        }
    }
    Ok(())
}

/// Writes the same bytes at full speed until the connection breaks, and discards all responses.
fn flood(stream: &mut TcpStream, is_done: &AtomicBool, mut next: impl FnMut() -> Vec<u8>) -> io::Result<()> {
    let mut reader = stream.try_clone()?;
    std::thread::spawn(move || {
        let mut buffer = vec![0; 64 * KIB];
        while reader.read(&mut buffer).is_ok_and(|count| count > 0) {}
    });
    while !is_done.load(Ordering::Relaxed) {
        stream.write_all(&next())?;
    }
    Ok(())
}

fn small_request(timeout: &str, extra: &str) -> String {
    format!(
        "POST /render/a HTTP/1.1\r\nHost: n\r\nRequest-Id: {}\r\nRequest-Timeout: {timeout}\r\n{extra}Content-Length: 0\r\n\r\n",
        unique_id()
    )
}

const CLIENTS: usize = 900;

const MEMORY_PICTURES: &[Picture] = &[
    Picture {
        name: "long heads, slowly",
        clients: CLIENTS,
        script: |stream, is_done| {
            stream.write_all(open_head(56, 270, "").as_bytes())?;
            drip(stream, is_done)
        },
    },
    Picture {
        name: "heads of short fields, slowly",
        clients: CLIENTS,
        script: |stream, is_done| {
            stream.write_all(open_head(58, 8, "").as_bytes())?;
            drip(stream, is_done)
        },
    },
    Picture {
        name: "heads of very many short fields",
        clients: CLIENTS,
        script: |stream, is_done| {
            let head = open_head(1600, 8, "") + "\r\n";
            stream.write_all(head.as_bytes())?;
            wait_for_close(stream, is_done)
        },
    },
    Picture {
        name: "half of a large body",
        clients: CLIENTS,
        script: |stream, is_done| {
            let head = open_head(4, 20, "Content-Length: 65000\r\n") + "\r\n";
            stream.write_all(head.as_bytes())?;
            stream.write_all(&vec![b'b'; 33 * KIB])?;
            wait_for_close(stream, is_done)
        },
    },
    Picture {
        name: "a long head and half of a large body",
        clients: CLIENTS,
        script: |stream, is_done| {
            let head = open_head(56, 250, "Content-Length: 65000\r\n") + "\r\n";
            stream.write_all(head.as_bytes())?;
            stream.write_all(&vec![b'b'; 60 * KIB])?;
            wait_for_close(stream, is_done)
        },
    },
    Picture {
        name: "half of a chunked body",
        clients: CLIENTS,
        script: |stream, is_done| {
            let head = open_head(4, 20, "Transfer-Encoding: chunked\r\n") + "\r\n";
            stream.write_all(head.as_bytes())?;
            for _ in 0..500 {
                stream.write_all(
                    b"41\r\nccccccccccccccccccccccccccccccccccccccccccccccccccccccccccccccccc\r\n",
                )?;
            }
            wait_for_close(stream, is_done)
        },
    },
    Picture {
        name: "large requests without end",
        clients: CLIENTS,
        script: |stream, is_done| {
            let body = "b".repeat(60 * KIB);
            let head = open_head(50, 250, &format!("Content-Length: {}\r\n", body.len())) + "\r\n";
            stream.write_all(head.as_bytes())?;
            stream.write_all(body.as_bytes())?;
            wait_for_close(stream, is_done)
        },
    },
];

/// Clients of which each does one of the [`MEMORY_PICTURES`].
const MIXED: Picture = Picture {
    name: "all of these at once",
    clients: CLIENTS,
    script: |stream, is_done| {
        static NEXT: AtomicUsize = AtomicUsize::new(0);
        let picture = NEXT.fetch_add(1, Ordering::Relaxed) % MEMORY_PICTURES.len();
        (MEMORY_PICTURES[picture].script)(stream, is_done)
    },
};

/// The picture whose first request stays open at its executor.
const INPUT_BEHIND_OPEN_REQUEST: &str = "input behind an open request";

const FLOOD_PICTURES: &[Picture] = &[
    Picture {
        name: "status queries under new names",
        clients: 1,
        script: |stream, is_done| {
            flood(stream, is_done, || {
                (0..200)
                    .map(|_| format!("GET /_work/{} HTTP/1.1\r\nHost: n\r\n\r\n", unique_id()))
                    .collect::<String>()
                    .into_bytes()
            })
        },
    },
    Picture {
        name: "requests with hardly any time",
        clients: 1,
        script: |stream, is_done| {
            flood(stream, is_done, || {
                (0..200).map(|_| small_request("0.000001", "")).collect::<String>().into_bytes()
            })
        },
    },
    Picture {
        name: "requests under new names",
        clients: 1,
        script: |stream, is_done| {
            flood(stream, is_done, || {
                (0..200).map(|_| small_request("9", "")).collect::<String>().into_bytes()
            })
        },
    },
    Picture {
        name: "keyed requests under new names",
        clients: 1,
        script: |stream, is_done| {
            flood(stream, is_done, || {
                (0..200)
                    .map(|_| small_request("9", &format!("Idempotency-Key: {}\r\n", unique_id())))
                    .collect::<String>()
                    .into_bytes()
            })
        },
    },
    Picture {
        name: "requests of unknown classes",
        clients: 1,
        script: |stream, is_done| {
            flood(stream, is_done, || {
                (0..200)
                    .map(|_| small_request("9", "").replacen("render", &unique_id(), 1))
                    .collect::<String>()
                    .into_bytes()
            })
        },
    },
    Picture {
        name: "trailers without end",
        clients: 1,
        script: |stream, is_done| {
            let head = open_head(0, 0, "Transfer-Encoding: chunked\r\n") + "\r\n0\r\n";
            stream.write_all(head.as_bytes())?;
            flood(stream, is_done, || b"a: b\r\n".repeat(2000))
        },
    },
    Picture {
        name: "trailers without end, in long lines",
        clients: 1,
        script: |stream, is_done| {
            let head = open_head(0, 0, "Transfer-Encoding: chunked\r\n") + "\r\n0\r\n";
            stream.write_all(head.as_bytes())?;
            let line = format!("a: {}\r\n", "b".repeat(8 * KIB));
            flood(stream, is_done, || line.as_bytes().repeat(8))
        },
    },
    Picture {
        name: "empty lines",
        clients: 1,
        script: |stream, is_done| flood(stream, is_done, || b"\r\n".repeat(4000)),
    },
    Picture {
        name: "small chunks",
        clients: 1,
        script: |stream, is_done| {
            flood(stream, is_done, || {
                let head = open_head(0, 0, "Transfer-Encoding: chunked\r\n") + "\r\n";
                [head.into_bytes(), b"1\r\na\r\n".repeat(60_000), b"0\r\n\r\n".to_vec()].concat()
            })
        },
    },
    Picture {
        name: INPUT_BEHIND_OPEN_REQUEST,
        clients: 1,
        script: |stream, is_done| {
            stream.write_all(small_request("9", "").as_bytes())?;
            flood(stream, is_done, || vec![b'x'; 256 * KIB])
        },
    },
    Picture {
        name: "health checks",
        clients: 1,
        script: |stream, is_done| flood(stream, is_done, || HEALTH_CHECK.as_bytes().repeat(200)),
    },
];

/// Starts the clients of a picture, each of which connects again when its connection ends.
fn start_clients(
    picture: Picture,
    clients: usize,
    addr: SocketAddr,
    is_done: &Arc<AtomicBool>,
) -> Vec<JoinHandle<()>> {
    let client = |_| {
        let is_done = is_done.clone();
        let run = move || {
            while !is_done.load(Ordering::Relaxed) {
                let Ok(mut stream) = TcpStream::connect_timeout(&addr, Duration::from_secs(1)) else {
                    continue;
                };
                let _ = (picture.script)(&mut stream, &is_done);
            }
        };
        std::thread::Builder::new().stack_size(128 * KIB).spawn(run).unwrap()
    };
    (0..clients).map(client).collect()
}

/// The answers of a client that sends small requests one after another.
#[derive(Default)]
struct Answers {
    latencies: Vec<Duration>,
    failures: usize,
}

impl Answers {
    fn percentile(&self, share: f64) -> Duration {
        let mut sorted = self.latencies.clone();
        sorted.sort_unstable();
        sorted.get(((sorted.len() as f64 - 1.0) * share).round() as usize).copied().unwrap_or_default()
    }
}

/// Pause of the other client between an answer and its next request.
const REQUEST_PAUSE: Duration = Duration::from_millis(5);

/// Sends requests for this long, and records their latencies.
fn observe(addr: SocketAddr, duration: Duration) -> Answers {
    let (mut answers, started_at) = (Answers::default(), Instant::now());
    let mut connection: Option<io::BufReader<TcpStream>> = None;
    while started_at.elapsed() < duration {
        let sent_at = Instant::now();
        let mut exchange = || -> Option<bool> {
            if connection.is_none() {
                let stream = TcpStream::connect_timeout(&addr, Duration::from_secs(3)).ok()?;
                stream.set_read_timeout(Some(Duration::from_secs(3))).ok()?;
                connection = Some(io::BufReader::new(stream));
            }
            let open = connection.as_mut()?;
            open.get_mut().write_all(build_request("render", &unique_id(), 3.0, "").as_bytes()).ok()?;
            let (head, _) = read_message(open)?;
            if field(&head, "connection") == Some("close") {
                connection = None;
            }
            Some(head.starts_with("HTTP/1.1 200"))
        };
        match exchange() {
            Some(true) => answers.latencies.push(sent_at.elapsed()),
            _ => {
                connection = None;
                answers.failures += 1;
            }
        }
        std::thread::sleep(REQUEST_PAUSE);
    }
    answers
}

/// A field of a process's status in KB.
fn memory_kb(process: &AdminNode, field: &str) -> usize {
    let status =
        std::fs::read_to_string(format!("/proc/{}/status", process.node.process.id())).unwrap_or_default();
    let line = status.lines().find(|line| line.starts_with(field));
    line.and_then(|line| line.split_whitespace().nth(1)?.parse().ok()).unwrap_or(0)
}

fn node_config(discovery: &Discovery, memory_mb: u64) -> Value {
    json!({"name": "n0", "listen": "127.0.0.1:0", "management": "127.0.0.1:0",
        "discovery": discovery.addr.to_string(), "seed": "8c1f30d27a5be964",
        "limits": {"cores": 1.0, "memory_mb": memory_mb, "sockets": 1024}, "settings": settings()})
}

/// Executors that two processes of this size retain beside the one that serves; each takes memory of its own.
fn fleet_size(memory_mb: u64) -> usize {
    memory_mb as usize * KIB * KIB / 16_000
}

/// What was measured of one picture.
struct Measured {
    peak_kb: usize,
    answers: Answers,
    has_crashed: bool,
}

/// Whether one process runs, or two during a hot restart.
#[derive(Clone, Copy, PartialEq, Debug)]
enum Processes {
    One,
    Two,
}

/// Duration of each picture in the measurement.
const PLAY_DURATION: Duration = Duration::from_secs(2);

/// Plays a picture against a node for this long.
fn play(picture: Picture, memory_mb: u64, processes: Processes, duration: Duration) -> Measured {
    let executor = Executor::start();
    let mut entries = vec![entry("s-1", &executor, "Ready")];
    entries.extend(
        (0..fleet_size(memory_mb)).map(|number| entry(&format!("s-{number:08x}"), &executor, "Terminating")),
    );
    let discovery = Discovery::start(list(7, true, &entries));
    let files = create_durable_files("kept = \"100ms\"");
    let platform = Platform::new();
    let config = node_config(&discovery, memory_mb);
    let mut all = Vec::new();
    let holds_first = picture.name == INPUT_BEHIND_OPEN_REQUEST;
    if holds_first {
        executor.actions.lock().unwrap().push_back(Action::Silent);
    }
    let is_done: Arc<AtomicBool> = Arc::default();
    let mut clients = Vec::new();
    let (addr, half) = match processes {
        Processes::One => {
            let operator_file = files.operator_file.clone();
            all.push(AdminNode::start_with_config(config, |program| {
                _ = program.env("TROUTKNOT_FILE", operator_file)
            }));
            (all[0].node.addr, picture.clients)
        }
        Processes::Two => {
            all.push(platform.start_with_config(config.clone(), &files.operator_file));
            let addr = all[0].node.addr;
            let half = picture.clients.div_ceil(2);
            clients.extend(start_clients(picture, half, addr, &is_done));
            std::thread::sleep(Duration::from_millis(500));
            all.push(platform.start_with_config(config, &files.operator_file));
            all[0].node.wait_for_log("hot restart: the new process takes clients");
            (addr, half)
        }
    };
    clients.extend(start_clients(picture, half, addr, &is_done));
    if holds_first {
        executor.wait_for_attempts(1);
    }
    let observer = std::thread::spawn(move || observe(addr, duration));
    let (mut peak_kb, started_at) = (0, Instant::now());
    while started_at.elapsed() < duration {
        peak_kb = peak_kb.max(all.iter().map(|process| memory_kb(process, "VmRSS")).sum());
        std::thread::sleep(Duration::from_millis(10));
    }
    is_done.store(true, Ordering::Relaxed);
    let answers = observer.join().unwrap();
    clients.into_iter().for_each(|client| client.join().unwrap());
    let has_crashed = all.iter_mut().any(|process| process.node.process.try_wait().unwrap().is_some());
    Measured { peak_kb, answers, has_crashed }
}

/// Guards against one client whose small or unsound requests at full speed keep all others from being served: the task of
/// its connection never waited, so that no other task ran.
#[test]
fn a_client_at_full_speed_keeps_no_other_client_from_being_served() {
    const REQUESTS: usize = 20;
    let executor = Executor::start();
    let discovery = Discovery::start(list(7, true, &[entry("s-1", &executor, "Ready")]));
    let files = create_durable_files("kept = \"100ms\"");
    let node = common::durable::start_node(&discovery, &files);
    for picture in FLOOD_PICTURES {
        let is_done: Arc<AtomicBool> = Arc::default();
        let clients = start_clients(*picture, 1, node.addr, &is_done);
        let mut connection = node.connect();
        for number in 0..REQUESTS {
            let _ =
                connection.get_mut().write_all(build_request("render", &unique_id(), 20.0, "").as_bytes());
            let response = read_message(&mut connection);
            let (head, _) =
                response.unwrap_or_else(|| panic!("{}: no answer to request {number}", picture.name));
            assert!(head.starts_with("HTTP/1.1 200"), "{}: {head}", picture.name);
        }
        is_done.store(true, Ordering::Relaxed);
        drop(connection);
        clients.into_iter().for_each(|client| client.join().unwrap());
    }
}

#[test]
#[ignore = "a measurement: cargo test --profile kit -p troutknotd --test hostile_clients -- --ignored --nocapture"]
fn memory_and_latency_beside_hostile_clients() {
    let filter = std::env::var("PICTURE").unwrap_or_default();
    let memory: Vec<u64> = match std::env::var("MEMORY_MB") {
        Ok(value) => vec![value.parse().unwrap()],
        Err(_) => vec![48, 128, 192],
    };
    println!("picture | MB | processes | peak MB | answers | failures | p50 ms | p99 ms | max ms");
    for picture in MEMORY_PICTURES.iter().chain([&MIXED]).chain(FLOOD_PICTURES) {
        if !picture.name.contains(&filter) {
            continue;
        }
        for &memory_mb in &memory {
            for processes in [Processes::One, Processes::Two] {
                let measured = play(*picture, memory_mb, processes, PLAY_DURATION);
                let Measured { peak_kb, answers, has_crashed } = measured;
                let millis = |share| answers.percentile(share).as_secs_f64() * 1000.0;
                println!(
                    "{} | {memory_mb} | {processes:?} | {:.1} | {} | {} | {:.1} | {:.1} | {:.1}{}",
                    picture.name,
                    peak_kb as f64 / 1024.0,
                    answers.latencies.len(),
                    answers.failures,
                    millis(0.5),
                    millis(0.99),
                    millis(1.0),
                    if has_crashed { " | CRASHED" } else { "" }
                );
            }
        }
    }
}
