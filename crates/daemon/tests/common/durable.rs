//! Helpers for tests of nodes with a ledger.
use super::*;
use troutknot_emulator::scripted::Action;

/// Paths of the operator's file and the ledger of one test.
pub struct DurableFiles {
    pub operator_file: String,
    pub ledger: String,
}

/// Writes an operator's file with a `[durable]` section that has these additional lines.
pub fn create_durable_files(extra_lines: &str) -> DurableFiles {
    static NUMBER: AtomicU32 = AtomicU32::new(0);
    let number = NUMBER.fetch_add(1, Ordering::Relaxed);
    let base = format!("{}/durable-{}-{number}", env!("CARGO_TARGET_TMPDIR"), std::process::id());
    let (operator_file, ledger) = (format!("{base}.toml"), format!("{base}.ledger"));
    let _ = std::fs::remove_file(&ledger);
    std::fs::write(&operator_file, format!("[durable]\npath = \"{ledger}\"\n{extra_lines}\n")).unwrap();
    DurableFiles { operator_file, ledger }
}

/// Line of the `[durable]` section that enables fencing.
pub const FENCES: &str = "fences = true";

pub fn start_node(discovery: &Discovery, files: &DurableFiles) -> Node {
    start_node_with_settings(discovery, files, settings())
}

pub fn start_node_with_settings(discovery: &Discovery, files: &DurableFiles, settings: Value) -> Node {
    Node::start_with_operator_file(
        discovery.addr,
        (256, 64),
        settings,
        "debug",
        Value::Null,
        &files.operator_file,
    )
}

/// Applies a configuration with this number of attempts to a running node.
pub fn reload_max_attempts(node: &Node, max_attempts: u64) {
    let mut config = node.config.clone();
    config["settings"] = settings_with_max_attempts(max_attempts);
    node.reload(&config.to_string());
    node.wait_for_log("settings_changed=true");
}

pub fn build_keyed_request(class: &str, id: &str, key: &str, body: &str) -> String {
    build_request(class, id, 20.0, body).replacen("X-Other: kept", &format!("Idempotency-Key: {key}"), 1)
}

/// Kills the node's process and waits for its end.
pub fn kill_node(mut node: Node) {
    node.process.kill().unwrap();
    node.process.wait().unwrap();
}

/// Sends a request, and kills the node once the executor has received it.
pub fn kill_node_with_open_attempt(
    discovery: &Discovery,
    files: &DurableFiles,
    executor: &Executor,
    act: Action,
    request: &str,
) {
    let node = start_node(discovery, files);
    executor.actions.lock().unwrap().push_back(act);
    let mut client = node.connect();
    client.get_mut().write_all(request.as_bytes()).unwrap();
    executor.wait_for_attempts(1);
    kill_node(node);
}
