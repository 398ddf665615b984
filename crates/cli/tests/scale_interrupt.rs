//! Interrupted scale runs.
use std::fs::{read_to_string, write};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::thread::sleep;
use std::time::{Duration, Instant};

const WAIT_TIMEOUT: Duration = Duration::from_secs(30);
const POLL_INTERVAL: Duration = Duration::from_millis(5);

/// A scale file whose phases are longer than the test waits for anything.
const SCALE_FILE: &str = r#"
name = "interrupted"
time_limit = "2m"
[fleet]
sizes = [20]
[load]
settle = "1m"
turnovers = [0]
rates = [10]
[real_nodes]
count = 2
[hollow_nodes]
count = 0
by_dispatcher = 0
"#;

/// Polls until there is a value; fails after `WAIT_TIMEOUT`.
fn wait_for<T>(description: &str, mut poll: impl FnMut() -> Option<T>) -> T {
    let started = Instant::now();
    loop {
        if let Some(value) = poll() {
            return value;
        }
        assert!(started.elapsed() < WAIT_TIMEOUT, "timed out: {description}");
        sleep(POLL_INTERVAL);
    }
}

fn child_pids(process: &Child) -> Vec<u32> {
    let pid = process.id();
    let mut pids = Vec::new();
    // Each thread has its own list of children.
    for task in std::fs::read_dir(format!("/proc/{pid}/task")).into_iter().flatten().flatten() {
        let text = read_to_string(task.path().join("children")).unwrap_or_default();
        pids.extend(text.split_whitespace().filter_map(|child| child.parse::<u32>().ok()));
    }
    pids
}

/// Guards against nodes that outlive an interrupted run, and against an interrupted run that reports success.
#[test]
fn an_interrupted_run_ends_its_nodes_and_fails() {
    for signal in ["-INT", "-TERM"] {
        let path = PathBuf::from(env!("CARGO_TARGET_TMPDIR"))
            .join(format!("interrupt-{}{signal}.toml", std::process::id()));
        write(&path, SCALE_FILE).unwrap();
        let mut run = Command::new(env!("CARGO_BIN_EXE_troutknot"))
            .args(["scale", &path.display().to_string()])
            .stdout(Stdio::null())
            .stderr(Stdio::null())
            .spawn()
            .unwrap();
        let nodes = wait_for("two nodes", || Some(child_pids(&run)).filter(|nodes| nodes.len() == 2));
        let signalled = Command::new("kill").args([signal, &run.id().to_string()]).status().unwrap();
        assert!(signalled.success());
        let status = wait_for("the end of the run", || run.try_wait().unwrap());
        assert_eq!(status.code(), Some(3), "{signal}");
        for node in nodes {
            assert!(!Path::new(&format!("/proc/{node}")).exists(), "{signal}: node {node} still runs");
        }
    }
}
