//! The command line with real node processes: short rehearsals with faults and operator actions, invalid input, the
//! ledger commands and the emulated fleet.
#![allow(clippy::unwrap_used)]
use serde_json::Value;
use std::path::PathBuf;
use std::process::{Command, Output};
use std::sync::{Condvar, Mutex};

fn troutknot(args: &[&str]) -> Output {
    Command::new(env!("CARGO_BIN_EXE_troutknot")).args(args).output().unwrap()
}

/// A permit to run a rehearsal. Too many rehearsals in parallel overload the machine, and their late answers would
/// count as violations.
struct RehearsalPermit;

static RUNNING_REHEARSALS: (Mutex<usize>, Condvar) = (Mutex::new(0), Condvar::new());
/// Largest number of parallel rehearsals.
const MAX_REHEARSALS: usize = 4;

impl RehearsalPermit {
    fn acquire() -> Self {
        let running = RUNNING_REHEARSALS.0.lock().unwrap();
        *RUNNING_REHEARSALS.1.wait_while(running, |running| *running >= MAX_REHEARSALS).unwrap() += 1;
        RehearsalPermit
    }
}

impl Drop for RehearsalPermit {
    fn drop(&mut self) {
        *RUNNING_REHEARSALS.0.lock().unwrap() -= 1;
        RUNNING_REHEARSALS.1.notify_one();
    }
}

fn write_file(name: &str, text: &str) -> PathBuf {
    let path = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(format!("{}-{name}", std::process::id()));
    std::fs::write(&path, text).unwrap();
    path
}

const SCENARIO: &str = r#"
name = "short"
length = "4s"
seed = 5
[rules]
ramp = "3s"
told_at_latest = "1s"
drain_grace = "500ms"
[nodes]
count = 2
[[executors]]
name = "box"
count = 5
slots = 4
[[project_types]]
name = "render"
effect = "rerunnable"
share = 3
work = "20ms"
promised_turnaround = "300ms"
hard_limit = "800ms"
[[project_types]]
name = "publish"
effect = "exclusive"
share = 1
work = "40ms"
promised_turnaround = "400ms"
hard_limit = "1s"
credit = 3
[front]
notices_after = "500ms"
[discovery]
notice_most = "200ms"
[traffic]
load = 0.3
"#;

/// Rehearses the scenario with additional lines; returns the report, the exit status and the standard error.
fn run_rehearsal(name: &str, lines: &str) -> (Value, i32, String) {
    // A first line with the key `source` belongs to the section `discovery`.
    let (source, lines) =
        lines.split_at(if lines.starts_with("source") { lines.find('\n').unwrap_or(0) } else { 0 });
    let scenario = SCENARIO.replace("[discovery]", &format!("[discovery]\n{source}"));
    let path = write_file(name, &format!("{scenario}{lines}"));
    let _permit = RehearsalPermit::acquire();
    let out = troutknot(&["rehearse", path.to_str().unwrap(), "--json"]);
    let stderr = String::from_utf8_lossy(&out.stderr).to_string();
    let report = serde_json::from_slice(&out.stdout).unwrap_or_else(|e| panic!("{e}: {stderr}"));
    (report, out.status.code().unwrap(), stderr)
}

/// Guards against rule violations of real nodes under faults, restarts and operator actions. Each case also checks the
/// report for an effect of its faults, as a rehearsal without them proves nothing.
#[test]
fn no_rule_is_violated_under_faults_and_operator_actions() {
    type IsFaultVisible = fn(&Value) -> bool;
    let cases: &[(&str, &str, IsFaultVisible)] = &[
        ("no faults", "", |report| report["verdict"]["service"].as_f64() > Some(0.9)),
        (
            "a node that is killed with requests in flight and restarts with its cached list",
            "[[events]]\nwhat = 'kill-node'\nat = '1s'\nnode = 0\nback = '700ms'\n",
            |report| {
                report["verdict"]["all"]["cut"].as_u64() > Some(0)
                    || report["verdict"]["all"]["tries"] != report["verdict"]["all"]["requests"]
            },
        ),
        (
            "all executors slow at the same time",
            "[[troubles]]\nkind = 'slow'\nfrom = '1s'\nto = '2500ms'\nfactor = 6\n",
            |report| report["verdict"]["all"]["p99_ms"].as_f64() > Some(100.0),
        ),
        ("clients that disconnect at the moment of the answer", "[clients]\nleave = 0.9\n", |report| {
            report["verdict"]["all"]["left"].as_u64() > Some(50)
        }),
        (
            "replaced executors in slow start, and a planned node restart",
            "[[events]]\nwhat = 'deploy'\nat = '300ms'\ngroup = 'box'\nevery = '400ms'\ncount = 3\n\
             [[events]]\nwhat = 'restart-node'\nat = '800ms'\nnode = 1\nback = '200ms'\n\
             [[events]]\nwhat = 'reread-nodes'\nat = '500ms'\n",
            |report| report["verdict"]["cold_budget_used"].as_f64() > Some(0.0),
        ),
        (
            "silent executors, resets and lost requests",
            "[[troubles]]\nkind = 'silence'\nfrom = '500ms'\nto = '2s'\nshare = 0.2\n\
             [[troubles]]\nkind = 'resets'\nfrom = '1s'\nto = '3s'\nof_work = 0.2\n\
             [[troubles]]\nkind = 'swallow'\nfrom = '1s'\nto = '3s'\nshare = 0.2\nproject_type = 'render'\n",
            |report| report["verdict"]["all"]["aborted"].as_u64() > Some(0),
        ),
        (
            "a hot restart under load with a suspended executor, and valid and invalid changes of the settings",
            "[[events]]\nwhat = 'suspend-executors'\nat = '200ms'\ngroup = 'box'\nlasts = '2500ms'\n\
             [[events]]\nwhat = 'upgrade-node'\nat = '500ms'\nnode = 0\n\
             [[events]]\nwhat = 'retune-nodes'\nat = '1s'\nattempts = 1\n\
             [[events]]\nwhat = 'retune-nodes'\nat = '1500ms'\nattempts = 3\nbroken = true\n\
             [[troubles]]\nkind = 'resets'\nfrom = '500ms'\nto = '3s'\nof_work = 0.1\n",
            // From 2.2 s on one attempt is allowed, and a failed attempt is not repeated.
            |report| {
                report["verdict"]["all"]["allocations"].as_u64()
                    > report["verdict"]["all"]["requests"].as_u64()
            },
        ),
        (
            "executors that flap in consul, and consul queries that fail",
            "source = 'consul'\n[[events]]\nwhat = 'flap-executors'\nat = '300ms'\ngroup = 'box'\ncount = 2\n\
             every = '500ms'\nlasts = '3s'\n\
             [[events]]\nwhat = 'trouble-discovery'\nhow = 'errors'\nat = '1s'\nlasts = '1s'\n\
             [[events]]\nwhat = 'deploy'\nat = '500ms'\ngroup = 'box'\nevery = '400ms'\ncount = 2\n",
            |report| report["verdict"]["cold_budget_used"].as_f64() > Some(0.0),
        ),
    ];
    std::thread::scope(|scope| {
        for (index, (case, lines, is_fault_visible)) in cases.iter().enumerate() {
            scope.spawn(move || {
                let (report, _, stderr) = run_rehearsal(&format!("faults-{index}.toml"), lines);
                let verdict = &report["verdict"];
                assert_eq!(verdict["breaches"].as_array().unwrap().len(), 0, "{case}: {verdict:#} {stderr}");
                assert!(is_fault_visible(&report), "{case}: the report shows no effect: {report:#}");
            });
        }
    });
}

/// Kills the nodes every 250 ms.
const NODE_KILLS: &str = "[durable]\nlease = '300ms'\n[[events]]\nwhat = 'kill-nodes'\nat = '200ms'\n\
                     every = '250ms'\nlasts = '3s'\nback = '50ms'\n";

/// Guards against nodes that run an at-most-once request twice after they were killed, and against a referee that does
/// not detect this: a node without its ledger has to be reported.
#[test]
fn killed_nodes_run_at_most_once_requests_once_and_a_node_without_ledger_is_reported() {
    let (report, _, stderr) = run_rehearsal("durable.toml", NODE_KILLS);
    let verdict = &report["verdict"];
    assert_eq!(verdict["breaches"].as_array().unwrap().len(), 0, "{verdict:#} {stderr}");
    let publish = &verdict["by_type"]["publish"];
    assert!(
        publish["tries"].as_u64() > publish["requests"].as_u64(),
        "the kills have no effect: {publish:#}"
    );
    // A node without its ledger treats a retry of a client as a new request.
    let program = write_file("no-ledger.sh", "#!/bin/sh\nunset TROUTKNOT_FILE\nexec \"$TROUTKNOT\" node\n");
    std::fs::set_permissions(&program, std::os::unix::fs::PermissionsExt::from_mode(0o755)).unwrap();
    let scenario = write_file(
        "no-ledger.toml",
        &format!("{}{NODE_KILLS}", SCENARIO.replace("work = \"40ms\"", "work = \"200ms\"")),
    );
    let is_reported = (1..=5).any(|seed: u64| {
        let _permit = RehearsalPermit::acquire();
        let out = Command::new(env!("CARGO_BIN_EXE_troutknot"))
            .args(["rehearse", scenario.to_str().unwrap(), "--json", "--seed", &seed.to_string(), "--node"])
            .arg(&program)
            .env("TROUTKNOT", env!("CARGO_BIN_EXE_troutknot"))
            .output()
            .unwrap();
        let report: Value = serde_json::from_slice(&out.stdout).unwrap();
        let violations = report["verdict"]["breaches"].as_array().unwrap();
        violations.iter().any(|b| b["name"] == "second-effect" || b["name"] == "ran-again")
    });
    assert!(is_reported, "the second run of a request is not reported");
}

/// Guards against ledger commands that fail on the ledger of a running node, compact it while the node runs, miss a
/// record that contradicts earlier ones, or accept a missing or foreign file.
#[test]
fn ledger_commands_handle_running_stopped_damaged_and_missing_ledgers() {
    use troutknot_ledger::store::Store;
    use troutknot_ledger::{Answer, Fence, Record, Row};
    let path = write_file("ledger", "");
    let request_id = troutknot::RequestId(1);
    let (client_id, key, digest, payload) = ("a1".to_string(), None, [0; 32], vec![]);
    let effect = troutknot::Effect::AtMostOnce;
    let row = |sequence, record| Row { recorded_at: 1e12, sequence, record };
    let rows = [
        row(0, Record::Accepted { request_id, effect, deadline: 2e12, client_id, key, digest, payload }),
        row(1, Record::Dispatched { request_id, fence: Fence(1), executor: "s-7".into(), lease_until: 1e12 }),
    ];
    let store = Store::open(&path).unwrap();
    store.commit(&rows).unwrap();
    let ledger = path.to_str().unwrap().to_string();
    let run = |verb: &str, path: &str| {
        let out = troutknot(&["ledger", verb, path]);
        let text = [out.stdout, out.stderr].map(|bytes| String::from_utf8_lossy(&bytes).to_string()).concat();
        (out.status.code().unwrap(), text)
    };
    let (status, output) = run("show", &ledger);
    assert!(status == 0 && output.contains("1 requests on record, 1 open; 2 rows"), "running: {output}");
    assert!(output.contains("a1: recorded") && output.contains("attempt 1 at s-7: unknown"), "{output}");
    assert_eq!(run("compact", &ledger).0, 2, "the ledger is compacted while its node runs");
    drop(store);
    assert_eq!(run("verify", &ledger), (0, "good: 2 rows of 1 requests\n".into()));
    assert_eq!(run("compact", &ledger).0, 0);
    // A dispatch after the final answer contradicts it.
    let store = Store::open(&path).unwrap();
    let answered = Record::Answered { request_id, answer: Answer::Failed };
    let late = Record::Dispatched { request_id, fence: Fence(2), executor: "s-8".into(), lease_until: 1e12 };
    store.commit(&[row(2, answered), row(3, late)]).unwrap();
    drop(store);
    let (status, output) = run("verify", &ledger);
    assert!(
        status == 1 && output.contains("row 3 of request 1: the request has its final answer"),
        "{output}"
    );
    for (name, path) in
        [("missing", PathBuf::from("nowhere.ledger")), ("text", write_file("text", "not a ledger"))]
    {
        for verb in ["show", "verify", "compact"] {
            let (status, output) = run(verb, path.to_str().unwrap_or_default());
            assert!(status == 2 && output.starts_with("troutknot: ledger `"), "{name} {verb}: {output}");
        }
    }
}

/// Guards against a `verify` that disagrees with a node on how many attempts a ledger may have: it knows no settings, and
/// must accept what a node wrote under any, and nothing more.
#[test]
fn verify_accepts_as_many_attempts_as_a_node_records_and_no_more() {
    use troutknot_ledger::store::Store;
    use troutknot_ledger::{Fence, MAX_ATTEMPTS, Record, Row};
    let path = write_file("attempts-ledger", "");
    let request_id = troutknot::RequestId(0);
    let (effect, outcome) = (troutknot::Effect::AtMostOnce, troutknot::Outcome::Rejected);
    let (client_id, key, digest, payload) = ("a1".to_string(), None, [0; 32], vec![]);
    let mut records =
        vec![Record::Accepted { request_id, effect, deadline: 2e12, client_id, key, digest, payload }];
    let mut verify = |fence: u64| {
        let (executor, lease_until) = ("s-7".into(), 1e12);
        records.push(Record::Dispatched { request_id, fence: Fence(fence), executor, lease_until });
        let attempt_id = troutknot::AttemptId(fence as u32 - 1);
        records.push(Record::Ended { request_id, attempt_id, outcome });
        let numbered = (0..).zip(records.clone());
        let rows = numbered.map(|(sequence, record)| Row { recorded_at: 1e12, sequence, record });
        Store::open(&path).unwrap().commit(&rows.collect::<Vec<_>>()).unwrap();
        let out = troutknot(&["ledger", "verify", path.to_str().unwrap()]);
        (out.status.code(), String::from_utf8_lossy(&out.stderr).to_string())
    };
    for fence in 1..=MAX_ATTEMPTS as u64 {
        assert_eq!(verify(fence), (Some(0), String::new()), "{fence} attempts");
    }
    let (status, output) = verify(MAX_ATTEMPTS as u64 + 1);
    let expected = "row 7 of request 0: the request has had the maximum number of attempts";
    assert!(status == Some(1) && output.contains(expected), "{output}");
}

/// Guards against a rehearsal that passes although its service is lower than expected.
#[test]
fn service_below_the_expected_one_gives_exit_status_1() {
    let (report, status, _) = run_rehearsal(
        "missed.toml",
        "[[troubles]]\nkind = 'errors'\nfrom = '0s'\nto = '4s'\nof_work = 0.9\n[expect]\nservice = 0.9\n",
    );
    assert_eq!(status, 1, "{report:#}");
}

/// Guards against invalid input that starts processes or prints results, and against errors that do not state the
/// fault.
#[test]
fn invalid_input_is_reported_with_its_exit_status_before_anything_starts() {
    let invalid = write_file(
        "invalid.toml",
        &SCENARIO.replace("count = 5", "count = 5000").replace("slots = 4", "slots = 0"),
    );
    let fast = write_file(
        "fast.toml",
        &SCENARIO.replace("load = 0.3", "load = 20").replace("work = \"20ms\"", "work = \"500us\""),
    );
    let many_descriptors = write_file(
        "many-descriptors.toml",
        &SCENARIO.replace("count = 2", "count = 60\ndescriptors = 65536"),
    );
    let config = write_file("node.json", "{\"name\": 5}");
    let too_many_nodes = write_file("too-many-nodes.toml", &SCENARIO.replace("count = 2", "count = 65"));
    let durable = write_file("durable-scenario.toml", &format!("{SCENARIO}[durable]\n"));
    let [too_many_nodes, durable] = [&too_many_nodes, &durable].map(|path| path.to_str().unwrap());
    let [invalid, fast, many_descriptors, config] =
        [&invalid, &fast, &many_descriptors, &config].map(|path| path.to_str().unwrap());
    let cases: &[(&[&str], i32, &[&str])] = &[
        (&["rehearse", "nowhere.toml"], 2, &["cannot read `nowhere.toml`"]),
        (&["rehearse", invalid], 2, &["`count` is 5000; 1 to 3000 is allowed", "`slots` is 0; 1 to 1024"]),
        (&["check", invalid, config], 2, &["`count` is 5000", "node.json"]),
        (&["rehearse", fast], 3, &["requests a second; the kit carries 10000 at most"]),
        (&["rehearse", many_descriptors], 3, &["file descriptors"]),
        (
            &["rehearse", too_many_nodes],
            3,
            &["65 nodes and 5 executors; a rehearsal has 64 and 1000 at most"],
        ),
        (&["experiment", "nowhere.toml", "--out", "nowhere"], 2, &["cannot read `nowhere.toml`"]),
        (&["simulate", durable], 2, &["durable requests need real node processes that are killed"]),
        (&["rehearse", fast, "--time-scale", "0"], 2, &["--time-scale is 0; 0.1 to 100 is allowed"]),
        (&["node", "--config", config], 2, &["invalid type"]),
        (&["rehearse"], 2, &["required arguments were not provided"]),
        (&["emulate", invalid], 2, &["`count` is 5000"]),
    ];
    for (args, status, parts) in cases {
        let out = troutknot(args);
        let stderr = String::from_utf8_lossy(&out.stderr).to_string();
        assert_eq!((out.status.code(), out.stdout.len()), (Some(*status), 0), "{args:?}: {stderr}");
        parts.iter().for_each(|part| assert!(stderr.contains(part), "{args:?}: {stderr}"));
    }
}

/// Guards against help without an example, and against a check that rejects valid files or accepts invalid ones.
#[test]
fn help_has_examples_and_check_accepts_valid_files_only() {
    for verb in ["node", "rehearse", "simulate", "experiment", "emulate", "check", "completions"] {
        let out = troutknot(&[verb, "--help"]);
        let help = String::from_utf8_lossy(&out.stdout).to_string();
        assert!(out.status.success() && help.contains(&format!("Example: troutknot {verb} ")), "{help}");
    }
    assert!(troutknot(&["--version"]).status.success());
    let valid = write_file("valid.toml", SCENARIO);
    let durable = write_file("durable-operator.toml", "[durable]\npath = \"ledger\"\nkept = \"10days\"\n");
    let checked = troutknot(&["check", durable.to_str().unwrap()]);
    assert!(String::from_utf8_lossy(&checked.stderr).contains("`durable.kept` must be 100ms to 7days"));
    let operator_file = concat!(env!("CARGO_MANIFEST_DIR"), "/../../deploy/troutknot.toml");
    assert_eq!(troutknot(&["check", valid.to_str().unwrap(), operator_file]).status.code(), Some(0));
    let text = std::fs::read_to_string(operator_file).unwrap().replace("share = 0.5", "share = 5");
    let invalid = troutknot(&["check", write_file("operator.toml", &text).to_str().unwrap()]);
    assert_eq!(invalid.status.code(), Some(2));
    assert!(String::from_utf8_lossy(&invalid.stderr).contains("`lists.consul.panic.share` must be 0 to 1"));
    assert!(String::from_utf8_lossy(&troutknot(&["completions", "bash"]).stdout).contains("_troutknot"));
}

/// Guards against an emulated fleet that does not print the address of each executor, of discovery and of each Consul
/// agent.
#[test]
fn an_emulated_fleet_prints_all_its_addresses() {
    let path = write_file("fleet.toml", SCENARIO);
    let out = troutknot(&["emulate", path.to_str().unwrap(), "--consul", "2", "--for", "300ms"]);
    let stdout = String::from_utf8_lossy(&out.stdout).to_string();
    assert_eq!(stdout.lines().filter(|l| l.starts_with("s-0000")).count(), 5, "{stdout}");
    assert!(stdout.contains("discovery http://127."), "{stdout}");
    assert_eq!(stdout.lines().filter(|l| l.starts_with("consul http://127.")).count(), 2, "{stdout}");
}
