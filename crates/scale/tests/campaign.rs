//! Whole runs, played small: two real nodes and 20 executors.
//!
//! The node of a run is this very test binary: with `ROUTER_CONFIG` set, the test [`runs_a_node_where_one_is_told`]
//! runs a node in place of testing anything.
use std::collections::BTreeSet;
use std::path::{Path, PathBuf};
use std::time::{Duration, Instant};
use troutknot_scale::campaign::{Programs, RunError, run};
use troutknot_scale::file::ScaleFile;
use troutknot_scale::node_process::NodeProgram;
use troutknot_scale::row::{Figure, Measurement, Phase, Row};

#[test]
fn runs_a_node_where_one_is_told() {
    if let Some(config) = std::env::var_os("ROUTER_CONFIG") {
        let _log = troutknot_daemon::log_to_stdout();
        troutknot_daemon::start(Path::new(&config)).unwrap();
    }
}

fn own_node() -> NodeProgram {
    let arguments = ["--exact", "runs_a_node_where_one_is_told", "--nocapture"].map(String::from);
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

fn file(more: &str) -> ScaleFile {
    let text = format!("{SMALL}{more}");
    ScaleFile::parse(&text, "test").unwrap_or_else(|faults| panic!("{faults}"))
}

fn play(file: &ScaleFile, node: NodeProgram) -> (Vec<Row>, Result<(), RunError>) {
    let mut rows = Vec::new();
    let ended = run(file, &Programs { node, worker: None }, &mut |row| rows.push(row));
    (rows, ended)
}

fn figures(rows: &[Row]) -> Vec<&Figure> {
    troutknot_scale::row::figures(rows).collect()
}

#[test]
fn a_small_run_measures_each_phase_and_keeps_the_rules() {
    let (rows, ended) = play(&file(""), own_node());
    ended.unwrap();
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
    let of = |measurement: Measurement| -> Vec<f64> {
        figures.iter().filter(|f| f.measurement == measurement).map(|f| f.value).collect()
    };
    // Both turnovers and the busy day.
    let requests = of(Measurement::Requests);
    assert_eq!(requests.len(), 3);
    assert!(requests.iter().all(|sent| *sent > 20.0), "{requests:?}");
    assert_eq!(
        of(Measurement::Completed),
        requests,
        "all are served, also by a fleet that was replaced twice"
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
        let values = of(measurement);
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
        let values = of(measurement);
        assert!(!values.is_empty() && values.iter().all(|value| *value > 0.0), "{measurement:?} {values:?}");
    }
    assert!(!rows.iter().any(|row| matches!(row, Row::Violation(_))));
}

#[test]
fn nodes_that_restart_in_a_silence_are_ready_by_the_list_that_they_held() {
    let silence = "[[troubles]]\nkind = \"discovery-silent\"\nlasts = \"8s\"\nrestarted = 0.5\n";
    let mut file = file(silence);
    // The silence alone, by the platform's own figures: discovery says something every 2 s while it is well, so a node
    // cannot know of a silence much sooner.
    file.faults.remove(0);
    file.load.turnovers = vec![0.0];
    file.rules = ScaleFile::default().rules;
    let (rows, ended) = play(&file, own_node());
    ended.unwrap();
    let figures = figures(&rows);
    let in_silence = |measurement: Measurement| {
        let own = |f: &&&Figure| f.phase == Phase::DiscoverySilent && f.measurement == measurement;
        figures.iter().find(own).map(|figure| figure.value)
    };
    assert!(in_silence(Measurement::StartupTime).is_some_and(|ready| ready < 10_000.0));
    assert_eq!(in_silence(Measurement::LateOrMissingAnswers), Some(0.0));
    assert_eq!(in_silence(Measurement::SentAfterGrace), Some(0.0));
    assert!(in_silence(Measurement::Completed).is_some_and(|completed| completed > 0.0));
}

#[test]
fn a_node_that_ends_by_itself_ends_the_run_with_what_it_said() {
    let node = NodeProgram {
        path: PathBuf::from("/bin/sh"),
        arguments: ["-c", "echo no luck"].map(String::from).to_vec(),
    };
    let (_, ended) = play(&file(""), node);
    assert!(
        matches!(&ended, Err(RunError::NotReady { node: 0, reason, .. }) if reason == "no luck"),
        "{ended:?}"
    );
}

#[test]
fn a_run_ends_at_its_time_limit() {
    let mut file = file("");
    file.time_limit = Duration::from_millis(300);
    let began = Instant::now();
    let (_, ended) = play(&file, own_node());
    assert!(matches!(ended, Err(RunError::TimeLimitExceeded(_))), "{ended:?}");
    assert!(began.elapsed() < Duration::from_secs(20));
}
