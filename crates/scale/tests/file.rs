//! Scale files: their defaults and units, and the errors that are reported for invalid files. Guards against errors
//! that are missed, hide others, or lack their line and the allowed values.
use bytesize::ByteSize;
use std::path::Path;
use std::time::Duration;
use troutknot_scale::file::{FaultKind, ScaleFile};

/// Returns the errors of an invalid file, one per line.
fn errors(text: &str) -> Vec<String> {
    let errors = ScaleFile::parse(text, "run.toml").expect_err("the file is invalid");
    errors.to_string().lines().map(String::from).collect()
}

/// Returns the only error of an invalid file.
fn error(text: &str) -> String {
    let errors = errors(text);
    assert_eq!(errors.len(), 1, "{errors:?}");
    errors[0].clone()
}

#[test]
fn the_shipped_scale_files_are_valid() {
    let folder = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../scenarios/scale");
    let mut count = 0;
    for entry in std::fs::read_dir(folder).unwrap() {
        let path = entry.unwrap().path();
        let text = std::fs::read_to_string(&path).unwrap();
        if let Err(errors) = ScaleFile::parse(&text, &path.display().to_string()) {
            panic!("{errors}");
        }
        count += 1;
    }
    assert_eq!(count, 2);
}

#[test]
fn an_empty_file_configures_the_full_run_without_faults() {
    let file = ScaleFile::parse("", "run.toml").unwrap();
    assert_eq!(file.fleet.sizes, [100, 1000, 5000, 10_000, 19_000]);
    assert_eq!(file.load.turnovers, [0.0, 2.0, 8.0, 20.0]);
    assert_eq!(file.load.rates, [10.0, 75.0, 176.0]);
    assert_eq!((file.requests.tenants, file.bursts.zone, file.bursts.region), (160, 613, 2111));
    let node = &file.real_nodes;
    assert_eq!((node.memory, node.bytes_per_second), (ByteSize::mib(128), ByteSize::kb(11)));
    assert_eq!((node.cpu_share, file.bounds.startup_time), (0.027, Duration::from_secs(10)));
    assert_eq!(file.real_nodes.count + file.hollow_nodes.count, 160);
    assert!(file.faults.is_empty());
}

#[test]
fn durations_and_sizes_are_read_with_their_units() {
    let text = "time_limit = \"2m\"\n[load]\nsettle = \"250ms\"\n[real_nodes]\nmemory = \"64MiB\"\n\
                bytes_per_second = \"2KB\"\n[[troubles]]\nkind = \"zone-lost\"\nexecutors = 5\nback = \"1s 500ms\"\n\
                [fleet]\nsizes = [1]\n";
    // The zone of the fault is larger than the fleet of one executor.
    assert!(error(text).starts_with("run.toml:9: `executors` is 5; 1 to 1 is allowed"), "{}", error(text));
    let file = ScaleFile::parse(&text.replace("sizes = [1]", "sizes = [9]").replace("2m", "1h"), "run.toml");
    let file = file.unwrap();
    assert_eq!(file.load.settle_time, Duration::from_millis(250));
    assert_eq!(file.real_nodes.memory.as_u64(), 64 * 1024 * 1024);
    assert_eq!(file.real_nodes.bytes_per_second.as_u64(), 2000);
    assert_eq!(file.faults[0].get_ref().kind, Some(FaultKind::ZoneLost));
    assert_eq!(file.faults[0].get_ref().returns_after, Some(Duration::from_millis(1500)));
}

#[test]
fn all_errors_are_reported_at_once_with_their_lines() {
    let text = "\
name = \"bad\"
time_limit = \"9h\"
colour = \"red\"

[fleet]
sizes = [100, 0, 60000]
slots = \"four\"

[load]
rates = [
    10,
    -5,
]
turnovers = []
measure = \"soon\"

[real_nodes]
memory = \"1MiB\"
cpu = 1

[surprise]
a = 1
b = 2

[hollow_nodes]
count = 4
by_dispatcher = 5

[[troubles]]
kind = \"earthquake\"

[[troubles]]
kind = \"zone-lost\"
back = \"0s\"
lasts = \"8s\"
";
    let reported = errors(text);
    let expected = [
        "run.toml:2: `time_limit` must be over 0s and at most 4h",
        "run.toml:3: unknown field `colour`, expected one of",
        "run.toml:6: `sizes` is 0; 1 to 50000 is allowed",
        "run.toml:6: `sizes` is 60000; 1 to 50000 is allowed",
        "run.toml:6: `sizes` must be strictly increasing",
        "run.toml:7: invalid type: string \"four\", expected f64",
        "run.toml:10: `rates` is -5; 0.1 to 5000 is allowed",
        "run.toml:14: `turnovers` is empty; at least one value is required",
        "run.toml:15: invalid value: string \"soon\", expected a duration",
        "run.toml:18: `memory` is 1.0 MiB; 16MiB to 4GiB is allowed",
        "run.toml:19: unknown field `cpu`, expected one of",
        "run.toml:21: unknown field `surprise`, expected one of",
        "run.toml:27: `by_dispatcher` is 5; up to `count`, 4, is allowed",
        "run.toml:30: unknown variant `earthquake`, expected one of `busy-day`, `zone-lost`, `discovery-silent`",
        "run.toml:32: a trouble ZoneLost needs `executors`; it takes [\"executors\", \"back\"]",
        "run.toml:34: `back` must be over 0s and at most 10m",
        "run.toml:35: a trouble ZoneLost takes no `lasts`; it takes [\"executors\", \"back\"]",
    ];
    assert_eq!(reported.len(), expected.len(), "{reported:#?}");
    for (reported, expected) in reported.iter().zip(expected) {
        assert!(reported.starts_with(expected), "{reported}\nis not\n{expected}");
    }
}

#[test]
fn syntax_errors_are_reported_with_their_lines() {
    let reported = errors("name = \"a\"\nseed = = 3\n[fleet\nsizes = [1]\n");
    assert_eq!(reported[0], "run.toml:2: extra `=`, expected nothing");
    assert!(reported.iter().any(|line| line.starts_with("run.toml:3: unclosed table")), "{reported:?}");
}

/// Invalid statements, each with the line of its error and the start of the message.
const SINGLE_ERRORS: &[(&str, &str)] = &[
    ("seed = -1", "1: invalid value: integer `-1`, expected u64"),
    ("time_limit = \"0s\"", "1: `time_limit` must be over 0s and at most 4h"),
    ("time_limit = \"30s\"", "1: 60 points of `settle` and `measure` take 600s; `time_limit` is 30s"),
    ("[fleet]\nsizes = []", "2: `sizes` is empty; at least one size is required"),
    ("[fleet]\nsizes = [5, 5]", "2: `sizes` must be strictly increasing"),
    ("[fleet]\nsizes = 5", "2: invalid type: integer `5`, expected a sequence"),
    ("[fleet]\nslots = 0", "2: `slots` is 0; 1 to 1024 is allowed"),
    ("[fleet]\nqueue_capacity = 99999", "2: `queue_capacity` is 99999; 0 to 65536 is allowed"),
    ("[load]\nturnovers = [-1]", "2: `turnovers` is -1; 0 to 100 is allowed"),
    ("[load]\nturnovers = [2, 1]", "2: `turnovers` must not decrease"),
    ("[load]\nrates = [nan]", "2: `rates` is NaN; 0.1 to 5000 is allowed"),
    ("[load]\nmeasure = \"0s\"", "2: `measure` is 0s; more than 0s is allowed"),
    ("[load]\nmeasure = 5", "2: invalid type: integer `5`, expected a duration"),
    ("[requests]\nteams = 0", "2: `teams` is 0; 1 to 10000 is allowed"),
    ("[requests]\nwork = \"0s\"", "2: `work` is 0s; more than 0s is allowed"),
    ("[requests]\ndeadline = \"0s\"", "2: `deadline` must be over 0s and not less than `latency_target`"),
    (
        "[requests]\nlatency_target = \"9s\"",
        "1: `deadline` must be over 0s and not less than `latency_target`",
    ),
    ("[requests]\nat_most_once = 1.5", "2: `at_most_once` is 1.5; 0 to 1 is allowed"),
    ("[real_nodes]\ncount = 0", "2: `count` is 0; 1 to 64 is allowed"),
    ("[real_nodes]\nmemory = \"lots\"", "2: "),
    ("[real_nodes]\nmemory = \"5GiB\"", "2: `memory` is 5.0 GiB; 16MiB to 4GiB is allowed"),
    ("[real_nodes]\nsockets = 3", "2: `sockets` is 3; 64 to 65536 is allowed"),
    ("[real_nodes]\ncpu_share = 0", "2: `cpu_share` is 0; 0.0001 to 64 is allowed"),
    ("[real_nodes]\nbytes_per_second = \"0B\"", "2: `bytes_per_second` is 0B; 1B or more is allowed"),
    ("[hollow_nodes]\ncount = 2000", "2: `count` is 2000; 0 to 192 is allowed"),
    ("[hollow_nodes]\nconnections = 0", "2: `connections` is 0; 1 to 1024 is allowed"),
    ("[hollow_nodes.measured]\nnew_connections = 2", "2: `new_connections` is 2; 0 to 1 is allowed"),
    (
        "[hollow_nodes.measured]\nprobes_per_request = -1",
        "2: `probes_per_request` is -1; 0 to 100 is allowed",
    ),
    ("[hollow_nodes.measured]\npushes_per_request = 4", "2: `pushes_per_request` is 4; 0 to 3 is allowed"),
    ("[rules]\ncold_share = 0", "2: `cold_share` is 0; 0.01 to 1 is allowed"),
    ("[rules]\nramp = \"0s\"", "2: `ramp` is 0s; more than 0s is allowed"),
    ("[rules]\nfall_window = \"0s\"", "2: `fall_window` is 0s; more than 0s is allowed"),
    ("[rules]\nfall_multiple = 0", "2: `fall_multiple` is 0; 0.1 to 1000 is allowed"),
    ("[rules]\nmost_allocations = 4", "2: `most_allocations` is 4; 1 to 3 is allowed"),
    ("[bounds]\ntold = \"0s\"", "2: `told` is 0; 1 to 600000 is allowed"),
    ("[bounds]\nready = \"1h\"", "2: `ready` is 3600000; 1 to 600000 is allowed"),
    ("[bursts]\nzone = 60000", "2: `zone` is 60000; 0 to 50000 is allowed"),
    ("[bursts]\nregion = -1", "2: invalid value: integer `-1`, expected usize"),
    ("[[troubles]]\nreplaced = 1", "1: a trouble needs a `kind`"),
    (
        "[[troubles]]\nkind = \"busy-day\"\nreplaced = 1\nfailed = 1\nfactor = 0.5",
        "5: `factor` is 0.5; 1 to 86400 is allowed",
    ),
    (
        "[[troubles]]\nkind = \"discovery-silent\"\nlasts = \"20m\"\nrestarted = 0.1",
        "3: `lasts` must be over 0s and at most 10m",
    ),
    (
        "[[troubles]]\nkind = \"discovery-silent\"\nlasts = \"8s\"\nrestarted = 2.0",
        "4: `restarted` is 2; 0 to 1 is allowed",
    ),
    (
        "[[troubles]]\nkind = \"zone-lost\"\nexecutors = 20000\nback = \"1s\"",
        "3: `executors` is 20000; 1 to 19000 is allowed",
    ),
];

#[test]
fn each_invalid_value_is_reported_with_the_allowed_values() {
    for (text, expected) in SINGLE_ERRORS {
        let reported = error(text);
        assert!(reported.starts_with(&format!("run.toml:{expected}")), "{text}\nis reported as\n{reported}");
    }
}

#[test]
fn too_many_operating_points_and_too_high_rates_are_rejected() {
    let sizes: Vec<String> = (1..=200).map(|size| size.to_string()).collect();
    let reported = error(&format!("[load]\nmeasure = \"1s\"\n[fleet]\nsizes = [{}]", sizes.join(",")));
    assert!(reported.contains("2400 points are measured; up to 1000 are allowed"), "{reported}");
    let reported = error("[load]\nrates = [5000]\n[real_nodes]\ncount = 64");
    assert!(reported.contains("320000 requests a second at all real nodes; up to 20000"), "{reported}");
}

/// Guards against a parser that does not terminate, or floods the output, on a file that has only errors.
#[test]
fn the_number_of_reported_errors_is_limited() {
    let text: String = (0..500).map(|number| format!("key{number} = 1\n")).collect();
    let reported = errors(&text);
    assert_eq!(reported.len(), 200);
    assert!(reported[0].starts_with("run.toml:1: unknown field `key0`"), "{}", reported[0]);
}
