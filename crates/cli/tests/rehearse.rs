//! The command line with real nodes as processes: short days with the hard cases, and what cannot be played.
#![allow(clippy::unwrap_used)]
use serde_json::Value;
use std::path::PathBuf;
use std::process::{Command, Output};
use std::sync::{Condvar, Mutex};

fn troutknot(args: &[&str]) -> Output {
    Command::new(env!("CARGO_BIN_EXE_troutknot")).args(args).output().unwrap()
}

/// Room for one more day: too many at once are late by themselves, and would be judged for it.
struct Room;

static DAYS: (Mutex<usize>, Condvar) = (Mutex::new(0), Condvar::new());
const MOST_DAYS: usize = 4;

impl Room {
    fn take() -> Self {
        let days = DAYS.0.lock().unwrap();
        *DAYS.1.wait_while(days, |days| *days >= MOST_DAYS).unwrap() += 1;
        Room
    }
}

impl Drop for Room {
    fn drop(&mut self) {
        *DAYS.0.lock().unwrap() -= 1;
        DAYS.1.notify_one();
    }
}

fn file(name: &str, text: &str) -> PathBuf {
    let path = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(format!("{}-{name}", std::process::id()));
    std::fs::write(&path, text).unwrap();
    path
}

const DAY: &str = r#"
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

/// Plays a day with more lines; the report, the exit status and what was said.
fn played(name: &str, more: &str) -> (Value, i32, String) {
    // What begins with a key goes into the section of discovery.
    let (own, more) =
        more.split_at(if more.starts_with("source") { more.find('\n').unwrap_or(0) } else { 0 });
    let day = DAY.replace("[discovery]", &format!("[discovery]\n{own}"));
    let path = file(name, &format!("{day}{more}"));
    let _room = Room::take();
    let out = troutknot(&["rehearse", path.to_str().unwrap(), "--json"]);
    let said = String::from_utf8_lossy(&out.stderr).to_string();
    let report = serde_json::from_slice(&out.stdout).unwrap_or_else(|e| panic!("{e}: {said}"));
    (report, out.status.code().unwrap(), said)
}

#[test]
fn days_in_which_no_rule_breaks() {
    // What strikes, and a check of the report that shows that it struck.
    type Struck = fn(&Value) -> bool;
    let cases: &[(&str, &str, Struck)] = &[
        ("calm", "", |r| r["verdict"]["service"].as_f64() > Some(0.9)),
        (
            "a node killed with work out, that comes back with only its last list",
            "[[events]]\nwhat = 'kill-node'\nat = '1s'\nnode = 0\nback = '700ms'\n",
            |r| {
                r["verdict"]["all"]["cut"].as_u64() > Some(0)
                    || r["verdict"]["all"]["tries"] != r["verdict"]["all"]["requests"]
            },
        ),
        (
            "every executor slow together",
            "[[troubles]]\nkind = 'slow'\nfrom = '1s'\nto = '2500ms'\nfactor = 6\n",
            |r| r["verdict"]["all"]["p99_ms"].as_f64() > Some(100.0),
        ),
        ("clients that leave at the moment of the answer", "[clients]\nleave = 0.9\n", |r| {
            r["verdict"]["all"]["left"].as_u64() > Some(50)
        }),
        (
            "cold successors and a planned restart",
            "[[events]]\nwhat = 'deploy'\nat = '300ms'\ngroup = 'box'\nevery = '400ms'\ncount = 3\n\
             [[events]]\nwhat = 'restart-node'\nat = '800ms'\nnode = 1\nback = '200ms'\n\
             [[events]]\nwhat = 'reread-nodes'\nat = '500ms'\n",
            |r| r["verdict"]["cold_budget_used"].as_f64() > Some(0.0),
        ),
        (
            "silence, resets and swallowed work",
            "[[troubles]]\nkind = 'silence'\nfrom = '500ms'\nto = '2s'\nshare = 0.2\n\
             [[troubles]]\nkind = 'resets'\nfrom = '1s'\nto = '3s'\nof_work = 0.2\n\
             [[troubles]]\nkind = 'swallow'\nfrom = '1s'\nto = '3s'\nshare = 0.2\nproject_type = 'render'\n",
            |r| r["verdict"]["all"]["aborted"].as_u64() > Some(0),
        ),
        (
            "an upgrade under load with an executor out by hand, and settings that are taken and not",
            "[[events]]\nwhat = 'suspend-executors'\nat = '200ms'\ngroup = 'box'\nlasts = '2500ms'\n\
             [[events]]\nwhat = 'upgrade-node'\nat = '500ms'\nnode = 0\n\
             [[events]]\nwhat = 'retune-nodes'\nat = '1s'\nattempts = 1\n\
             [[events]]\nwhat = 'retune-nodes'\nat = '1500ms'\nattempts = 3\nbroken = true\n\
             [[troubles]]\nkind = 'resets'\nfrom = '500ms'\nto = '3s'\nof_work = 0.1\n",
            // With one attempt from 2.2 s on, what breaks is not tried again.
            |r| r["verdict"]["all"]["allocations"].as_u64() > r["verdict"]["all"]["requests"].as_u64(),
        ),
        (
            "a list from consul that flaps, goes silent and errs",
            "source = 'consul'\n[[events]]\nwhat = 'flap-executors'\nat = '300ms'\ngroup = 'box'\ncount = 2\n\
             every = '500ms'\nlasts = '3s'\n\
             [[events]]\nwhat = 'trouble-discovery'\nhow = 'errors'\nat = '1s'\nlasts = '1s'\n\
             [[events]]\nwhat = 'deploy'\nat = '500ms'\ngroup = 'box'\nevery = '400ms'\ncount = 2\n",
            |r| r["verdict"]["cold_budget_used"].as_f64() > Some(0.0),
        ),
    ];
    std::thread::scope(|all| {
        for (k, (what, more, struck)) in cases.iter().enumerate() {
            all.spawn(move || {
                let (report, _, said) = played(&format!("day-{k}.toml"), more);
                let verdict = &report["verdict"];
                assert_eq!(verdict["breaches"].as_array().unwrap().len(), 0, "{what}: {verdict:#} {said}");
                assert!(struck(&report), "{what} did not strike: {report:#}");
            });
        }
    });
}

const KILLS: &str = "[durable]\nlease = '300ms'\n[[events]]\nwhat = 'kill-nodes'\nat = '200ms'\n\
                     every = '250ms'\nlasts = '3s'\nback = '50ms'\n";

#[test]
fn nodes_killed_over_and_over_run_nothing_exclusive_twice_and_one_that_forgets_is_caught() {
    let (report, _, said) = played("durable.toml", KILLS);
    let verdict = &report["verdict"];
    assert_eq!(verdict["breaches"].as_array().unwrap().len(), 0, "{verdict:#} {said}");
    let publish = &verdict["by_type"]["publish"];
    assert!(publish["tries"].as_u64() > publish["requests"].as_u64(), "the kills struck: {publish:#}");
    // The mutant: a node without its ledger takes whoever asks again for a newcomer.
    let program = file("forgets.sh", "#!/bin/sh\nunset TROUTKNOT_FILE\nexec \"$TROUTKNOT\" node\n");
    std::fs::set_permissions(&program, std::os::unix::fs::PermissionsExt::from_mode(0o755)).unwrap();
    let day = file("forgets.toml", &format!("{}{KILLS}", DAY.replace("work = \"40ms\"", "work = \"200ms\"")));
    let caught = (1..=5).any(|seed: u64| {
        let _room = Room::take();
        let out = Command::new(env!("CARGO_BIN_EXE_troutknot"))
            .args(["rehearse", day.to_str().unwrap(), "--json", "--seed", &seed.to_string(), "--node"])
            .arg(&program)
            .env("TROUTKNOT", env!("CARGO_BIN_EXE_troutknot"))
            .output()
            .unwrap();
        let report: Value = serde_json::from_slice(&out.stdout).unwrap();
        let breaches = report["verdict"]["breaches"].as_array().unwrap();
        breaches.iter().any(|b| b["name"] == "second-effect" || b["name"] == "ran-again")
    });
    assert!(caught, "a node that forgets runs something twice");
}

#[test]
fn ledgers_that_are_live_dead_damaged_or_none() {
    use troutknot_ledger::store::Store;
    use troutknot_ledger::{Answer, Fence, Record, Row};
    let path = file("ledger", "");
    let request_id = troutknot::RequestId(1);
    let (id, key, digest, work) = ("a1".to_string(), None, [0; 32], vec![]);
    let effect = troutknot::Effect::AtMostOnce;
    let row = |sequence, record| Row { recorded_at: 1e12, sequence, record };
    let rows = [
        row(
            0,
            Record::Accepted {
                request_id,
                effect,
                deadline: 2e12,
                client_id: id,
                key,
                digest,
                payload: work,
            },
        ),
        row(1, Record::Dispatched { request_id, fence: Fence(1), executor: "s-7".into(), lease_until: 1e12 }),
    ];
    let store = Store::open(&path).unwrap();
    store.commit(&rows).unwrap();
    let at = path.to_str().unwrap().to_string();
    let said = |verb: &str, path: &str| {
        let out = troutknot(&["ledger", verb, path]);
        let text = [out.stdout, out.stderr].map(|b| String::from_utf8_lossy(&b).to_string()).concat();
        (out.status.code().unwrap(), text)
    };
    let (status, shown) = said("show", &at);
    assert!(status == 0 && shown.contains("1 requests on record, 1 open; 2 rows"), "live: {shown}");
    assert!(shown.contains("a1: recorded") && shown.contains("attempt 1 at s-7: unknown"), "{shown}");
    assert_eq!(said("compact", &at).0, 2, "its node runs");
    drop(store);
    assert_eq!(said("verify", &at), (0, "good: 2 rows of 1 requests\n".into()));
    assert_eq!(said("compact", &at).0, 0);
    // An allocation after the answer does not follow, and is named.
    let store = Store::open(&path).unwrap();
    let answered = Record::Answered { request_id, answer: Answer::Failed };
    let late = Record::Dispatched { request_id, fence: Fence(2), executor: "s-8".into(), lease_until: 1e12 };
    store.commit(&[row(2, answered), row(3, late)]).unwrap();
    drop(store);
    let (status, found) = said("verify", &at);
    assert!(status == 1 && found.contains("row 3 of request 1: the request has its final answer"), "{found}");
    for (name, path) in [("none", PathBuf::from("nowhere.ledger")), ("text", file("text", "not a ledger"))] {
        for verb in ["show", "verify", "compact"] {
            let (status, said) = said(verb, path.to_str().unwrap_or_default());
            assert!(status == 2 && said.starts_with("troutknot: ledger `"), "{name} {verb}: {said}");
        }
    }
}

#[test]
fn a_bar_that_is_missed_is_exit_status_1() {
    let (report, status, _) = played(
        "missed.toml",
        "[[troubles]]\nkind = 'errors'\nfrom = '0s'\nto = '4s'\nof_work = 0.9\n[expect]\nservice = 0.9\n",
    );
    assert_eq!(status, 1, "{report:#}");
}

#[test]
fn what_cannot_be_played_is_said_in_plain_lines_before_anything_starts() {
    let bad = file("bad.toml", &DAY.replace("count = 5", "count = 5000").replace("slots = 4", "slots = 0"));
    let fast = file(
        "fast.toml",
        &DAY.replace("load = 0.3", "load = 20").replace("work = \"20ms\"", "work = \"500us\""),
    );
    let many = file("many.toml", &DAY.replace("count = 2", "count = 60\ndescriptors = 65536"));
    let config = file("node.json", "{\"name\": 5}");
    let crowd = file("crowd.toml", &DAY.replace("count = 2", "count = 65"));
    let durable = file("durable-day.toml", &format!("{DAY}[durable]\n"));
    let [crowd, durable] = [&crowd, &durable].map(|path| path.to_str().unwrap());
    let [bad, fast, many, config] = [&bad, &fast, &many, &config].map(|path| path.to_str().unwrap());
    let cases: &[(&[&str], i32, &[&str])] = &[
        (&["rehearse", "nowhere.toml"], 2, &["cannot read `nowhere.toml`"]),
        (&["rehearse", bad], 2, &["`count` is 5000; 1 to 3000 is allowed", "`slots` is 0; 1 to 1024"]),
        (&["check", bad, config], 2, &["`count` is 5000", "node.json"]),
        (&["rehearse", fast], 3, &["requests a second; the kit carries 10000 at most"]),
        (&["rehearse", many], 3, &["file descriptors"]),
        (&["rehearse", crowd], 3, &["65 nodes and 5 executors; a rehearsal has 64 and 1000 at most"]),
        (&["experiment", "nowhere.toml", "--out", "nowhere"], 2, &["cannot read `nowhere.toml`"]),
        (&["simulate", durable], 2, &["durable requests need real node processes that are killed"]),
        (&["rehearse", fast, "--time-scale", "0"], 2, &["--time-scale is 0; 0.1 to 100 is allowed"]),
        (&["node", "--config", config], 2, &["invalid type"]),
        (&["rehearse"], 2, &["required arguments were not provided"]),
        (&["emulate", bad], 2, &["`count` is 5000"]),
    ];
    for (args, status, parts) in cases {
        let out = troutknot(args);
        let said = String::from_utf8_lossy(&out.stderr).to_string();
        assert_eq!((out.status.code(), out.stdout.len()), (Some(*status), 0), "{args:?}: {said}");
        parts.iter().for_each(|part| assert!(said.contains(part), "{args:?}: {said}"));
    }
}

#[test]
fn help_that_shows_no_example_and_files_that_are_good() {
    for verb in ["node", "rehearse", "simulate", "experiment", "emulate", "check", "completions"] {
        let out = troutknot(&[verb, "--help"]);
        let said = String::from_utf8_lossy(&out.stdout).to_string();
        assert!(out.status.success() && said.contains(&format!("Example: troutknot {verb} ")), "{said}");
    }
    assert!(troutknot(&["--version"]).status.success());
    let good = file("good.toml", DAY);
    let durable = file("durable-own.toml", "[durable]\npath = \"ledger\"\nkept = \"10days\"\n");
    let said = troutknot(&["check", durable.to_str().unwrap()]);
    assert!(String::from_utf8_lossy(&said.stderr).contains("`durable.kept` must be 100ms to 7days"));
    let own = concat!(env!("CARGO_MANIFEST_DIR"), "/../../deploy/troutknot.toml");
    assert_eq!(troutknot(&["check", good.to_str().unwrap(), own]).status.code(), Some(0));
    let text = std::fs::read_to_string(own).unwrap().replace("share = 0.5", "share = 5");
    let bad = troutknot(&["check", file("own.toml", &text).to_str().unwrap()]);
    assert_eq!(bad.status.code(), Some(2));
    assert!(String::from_utf8_lossy(&bad.stderr).contains("`lists.consul.panic.share` must be 0 to 1"));
    assert!(String::from_utf8_lossy(&troutknot(&["completions", "bash"]).stdout).contains("_troutknot"));
}

#[test]
fn a_fleet_by_hand_lists_itself() {
    let path = file("fleet.toml", DAY);
    let out = troutknot(&["emulate", path.to_str().unwrap(), "--consul", "2", "--for", "300ms"]);
    let said = String::from_utf8_lossy(&out.stdout).to_string();
    assert_eq!(said.lines().filter(|l| l.starts_with("s-0000")).count(), 5, "{said}");
    assert!(said.contains("discovery http://127."), "{said}");
    assert_eq!(said.lines().filter(|l| l.starts_with("consul http://127.")).count(), 2, "{said}");
}
