//! Complete small runs with two real nodes and 20 executors. They guard against phases that are not measured, rules
//! that a correct node seems to violate, and runs that do not end.
//!
//! This test binary also is the node program of the runs: if `ROUTER_CONFIG` is set, the test
//! [`runs_a_node_if_router_config_is_set`] runs a node and tests nothing.
use std::collections::BTreeSet;
use std::path::{Path, PathBuf};
use std::time::{Duration, Instant};
use troutknot_scale::campaign::{Programs, RunError, run};
use troutknot_scale::file::ScaleFile;
use troutknot_scale::node_process::NodeProgram;
use troutknot_scale::row::{Figure, Measurement, Phase, Row};

#[test]
fn runs_a_node_if_router_config_is_set() {
    if let Some(config) = std::env::var_os("ROUTER_CONFIG") {
        let _log = troutknot_daemon::log_to_stdout();
        troutknot_daemon::start(Path::new(&config)).unwrap();
    }
}

/// Returns this test binary as a node program.
fn node_program() -> NodeProgram {
    let arguments = ["--exact", "runs_a_node_if_router_config_is_set", "--nocapture"].map(String::from);
    NodeProgram { path: std::env::current_exe().unwrap(), arguments: arguments.to_vec() }
}

const SMALL: &str = r#"
name = "test"
seed = 5
time_limit = "2m"
[fleet]
sizes = [20]
[load]
turnovers = [0, 2]
rates = [30]
settle = "100ms"
measure = "1s"
[requests]
teams = 8
work = "5ms"
[real_nodes]
count = 2
cpu_share = 8.0
bytes_per_second = "10MB"
[hollow_nodes]
count = 0
by_dispatcher = 0
[rules]
drain_grace = "500ms"
told_at_latest = "1s"
ramp = "1s"
[bursts]
zone = 4
region = 8
[[troubles]]
kind = "busy-day"
replaced = 2
failed = 1
factor = 86400
"#;

/// Parses the small scale file with `more` appended.
fn small_file(more: &str) -> ScaleFile {
    let text = format!("{SMALL}{more}");
    ScaleFile::parse(&text, "test").unwrap_or_else(|errors| panic!("{errors}"))
}

/// Runs a scale file without worker processes; returns its rows and its result.
fn run_file(file: &ScaleFile, node: NodeProgram) -> (Vec<Row>, Result<(), RunError>) {
    let mut rows = Vec::new();
    let result = run(file, &Programs { node, worker: None }, &mut |row| rows.push(row));
    (rows, result)
}

fn figures(rows: &[Row]) -> Vec<&Figure> {
    troutknot_scale::row::figures(rows).collect()
}

#[test]
fn a_small_run_measures_every_phase_without_rule_violations() {
    let (rows, result) = run_file(&small_file(""), node_program());
    result.unwrap();
    assert!(matches!(&rows[0], Row::Start(start) if start.name == "test"));
    let figures = figures(&rows);
    let phases: BTreeSet<Phase> = figures.iter().map(|figure| figure.phase).collect();
    let expected = [
        Phase::Steady,
        Phase::Start,
        Phase::ConfigChange,
        Phase::ZoneBurst,
        Phase::RegionBurst,
        Phase::BusyDay,
    ];
    assert_eq!(phases, expected.into());
    let values_of = |measurement: Measurement| -> Vec<f64> {
        figures.iter().filter(|figure| figure.measurement == measurement).map(|figure| figure.value).collect()
    };
    // One figure for each of the two turnovers and one for the busy day.
    let requests = values_of(Measurement::Requests);
    assert_eq!(requests.len(), 3);
    assert!(requests.iter().all(|sent| *sent > 20.0), "{requests:?}");
    assert_eq!(
        values_of(Measurement::Completed),
        requests,
        "not all requests were completed, or not by a fleet that was replaced twice"
    );
    let zeros = [
        Measurement::LateOrMissingAnswers,
        Measurement::DuplicateAnswers,
        Measurement::RepeatedEffects,
        Measurement::SentAfterGrace,
        Measurement::SlowStartOverload,
        Measurement::UnretainedExecutors,
    ];
    for measurement in zeros {
        let values = values_of(measurement);
        assert!(!values.is_empty() && values.iter().all(|value| *value == 0.0), "{measurement:?} {values:?}");
    }
    let positive = [
        Measurement::StartupTime,
        Measurement::Memory,
        Measurement::CpuShare,
        Measurement::ProbesPerRequest,
        Measurement::ConnectionsPerRequest,
        Measurement::ExecutorBytes,
        Measurement::OpenSockets,
        Measurement::ConfigDelay,
        Measurement::ReachedExecutors,
    ];
    for measurement in positive {
        let values = values_of(measurement);
        assert!(!values.is_empty() && values.iter().all(|value| *value > 0.0), "{measurement:?} {values:?}");
    }
    assert!(!rows.iter().any(|row| matches!(row, Row::Violation(_))));
}

#[test]
fn nodes_that_restart_while_discovery_is_silent_become_ready_by_their_cached_list() {
    let silence = "[[troubles]]\nkind = \"discovery-silent\"\nlasts = \"8s\"\nrestarted = 0.5\n";
    let mut file = small_file(silence);
    // Only the silence, with the default rules: discovery sends something every 2 s while it works, so a node cannot
    // detect a silence much sooner.
    file.faults.remove(0);
    file.load.turnovers = vec![0.0];
    file.rules = ScaleFile::default().rules;
    let (rows, result) = run_file(&file, node_program());
    result.unwrap();
    let figures = figures(&rows);
    let value_in_silence = |measurement: Measurement| {
        let is_wanted =
            |figure: &&&Figure| figure.phase == Phase::DiscoverySilent && figure.measurement == measurement;
        figures.iter().find(is_wanted).map(|figure| figure.value)
    };
    assert!(value_in_silence(Measurement::StartupTime).is_some_and(|startup_ms| startup_ms < 10_000.0));
    assert_eq!(value_in_silence(Measurement::LateOrMissingAnswers), Some(0.0));
    assert_eq!(value_in_silence(Measurement::SentAfterGrace), Some(0.0));
    assert!(value_in_silence(Measurement::Completed).is_some_and(|completed| completed > 0.0));
}

#[test]
fn a_node_that_exits_ends_the_run_with_its_last_output() {
    let node = NodeProgram {
        path: PathBuf::from("/bin/sh"),
        arguments: ["-c", "echo no luck"].map(String::from).to_vec(),
    };
    let (_, result) = run_file(&small_file(""), node);
    assert!(
        matches!(&result, Err(RunError::NotReady { node: 0, reason, .. }) if reason == "no luck"),
        "{result:?}"
    );
}

#[test]
fn a_run_that_exceeds_its_time_limit_ends_with_an_error() {
    let mut file = small_file("");
    file.time_limit = Duration::from_millis(300);
    let started_at = Instant::now();
    let (_, result) = run_file(&file, node_program());
    assert!(matches!(result, Err(RunError::TimeLimitExceeded(_))), "{result:?}");
    assert!(started_at.elapsed() < Duration::from_secs(20));
}
