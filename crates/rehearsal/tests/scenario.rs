//! Scenario files and plans. Guards against invalid files that are accepted or reported at the wrong line, and against
//! plans that depend on more than the scenario and the seed.
use std::time::Duration;
use troutknot_rehearsal::plan::{Plan, Step, format_request_id, parse_request_id};
use troutknot_rehearsal::scenario::{Diagnostic, Scenario};

/// A valid scenario; the cases of the tests change single lines of it.
const VALID: &str = r#"name = "valid"
length = "10s"
[nodes]
count = 2
[[executors]]
name = "box"
count = 4
slots = 2
[[project_types]]
name = "render"
effect = "rerunnable"
share = 1
work = "10ms"
promised_turnaround = "100ms"
hard_limit = "1s"
[traffic]
load = 0.5
shape = [{ at = "2s", times = 1 }, { at = "4s", times = 3 }]
[[troubles]]
kind = "slow"
from = "1s"
to = "2s"
factor = 2
share = 0.5
[[events]]
what = "deploy"
at = "1s"
group = "box"
every = "1s"
"#;

#[test]
fn each_error_of_a_file_is_reported_with_its_line_and_the_allowed_values() {
    assert!(Scenario::parse(VALID, "f").is_ok());
    // A text, its replacement, and the expected errors: their line and a part of the message.
    type Case = (&'static str, &'static str, &'static [(usize, &'static str)]);
    let cases: &[Case] = &[
        ("length = \"10s\"", "length = \"10 parsecs\"", &[(2, "parsecs")]),
        ("length = \"10s\"", "length = \"2h\"\nsped = 4", &[(3, "unknown field `sped`")]),
        (
            "length = \"10s\"",
            "length = \"2h\"",
            &[(2, "up to 1h is allowed"), (17, "requests; 5000000 are allowed")],
        ),
        ("count = 2\n", "count = 0\n", &[(4, "`count` is 0; 1 to 1000 is allowed")]),
        ("slots = 2", "slots = -1", &[(8, "`slots` is -1"), (9, "no executor has the 1 slots")]),
        (
            "effect = \"rerunnable\"",
            "effect = \"maybe\"",
            &[(11, "unknown variant `maybe`, expected one of")],
        ),
        ("effect = \"rerunnable\"", "effect = \"receipted\"", &[(9, "needs a `window`")]),
        ("hard_limit = \"1s\"", "hard_limit = \"50ms\"", &[(15, "no less than `promised_turnaround`")]),
        ("name = \"render\"", "name = \"a/b\"", &[(10, "letters, digits and `-` are allowed")]),
        ("load = 0.5", "load = 1e9", &[(17, "`load` is 1000000000; 0 to 20 is allowed"), (17, "requests")]),
        ("at = \"4s\"", "at = \"1s\"", &[(18, "must follow each other")]),
        ("factor = 2\n", "", &[(19, "needs `factor`")]),
        ("factor = 2\n", "factor = 2\nalpha = 3\n", &[(24, "takes no `alpha`; it takes [\"factor\"]")]),
        ("to = \"2s\"", "to = \"1s\"", &[(22, "later than `from`")]),
        ("kind = \"slow\"", "kind = \"slow\"\ngroup = \"boxes\"", &[(21, "no group `boxes`; [\"box\"] are")]),
        ("group = \"box\"", "node = 7\ngroup = \"box\"", &[(28, "takes no `node`"), (28, "under 2")]),
        ("every = \"1s\"\n", "", &[(25, "needs `every`")]),
        ("[traffic]", "[trafic]", &[(16, "unknown field `trafic`")]),
        ("name = \"valid\"", "name = valid", &[(1, "")]),
    ];
    let mut mismatches = Vec::new();
    for (from, to, expected) in cases {
        let text = VALID.replacen(from, to, 1);
        let entries = Scenario::parse(&text, "f").expect_err(to).entries;
        let is_expected = |(entry, (line, part)): (&Diagnostic, &(usize, &str))| {
            entry.line == *line && entry.message.contains(part)
        };
        let matches = entries.len() == expected.len() && entries.iter().zip(*expected).all(is_expected);
        if !matches {
            mismatches.push(format!("{to}: {entries:?}"));
        }
    }
    assert!(mismatches.is_empty(), "{}", mismatches.join("\n"));
    let two_changes = VALID.replace("slots = 2", "slots = 0").replace("to = \"2s\"", "to = \"99s\"");
    assert_eq!(
        Scenario::parse(&two_changes, "f").unwrap_err().to_string().lines().count(),
        3,
        "all errors at once"
    );
}

#[test]
fn all_scenario_files_of_the_repository_are_valid() {
    let folder = concat!(env!("CARGO_MANIFEST_DIR"), "/../../scenarios");
    let mut count = 0;
    for entry in std::fs::read_dir(folder).unwrap() {
        let path = entry.unwrap().path();
        if path.ends_with("scenarios/scale") {
            // The folder of scale files, which `crates/scale/tests/file.rs` reads.
            continue;
        }
        let text = std::fs::read_to_string(&path).unwrap();
        Scenario::parse(&text, &path.display().to_string()).unwrap_or_else(|errors| panic!("{errors}"));
        count += 1;
    }
    assert!(count >= 7);
}

#[test]
fn plans_are_equal_for_equal_seeds_and_differ_for_others() {
    let scenario = Scenario::parse(VALID, "f").unwrap();
    let [first, same, other] = [1, 1, 2].map(|seed| Plan::generate(&scenario, seed));
    assert_eq!((first.hash(), &first.requests, &first.steps), (same.hash(), &same.requests, &same.steps));
    assert_ne!(first.hash(), other.hash());
    let expected = scenario.expected_requests();
    assert!(
        (first.requests.len() as f64 / expected - 1.0).abs() < 0.1,
        "{} of {expected}",
        first.requests.len()
    );
    assert_eq!(scenario.load_factor(Duration::from_secs(3)), 2.0);
    let joins = first.steps.iter().filter(|(_, step)| matches!(step, Step::Join { .. })).count();
    assert_eq!((joins, first.executors.len()), (4, 8), "each executor has a replacement");
    let slow = first.steps.iter().filter(|(_, step)| matches!(step, Step::FaultBegins { .. })).count();
    assert_eq!(slow, 2, "half of four executors");
}

#[test]
fn request_ids_of_other_seeds_and_malformed_ids_are_not_parsed() {
    assert_eq!(parse_request_id(7, &format_request_id(7, 123, 2)), Some((123, 2)));
    for id in [
        format_request_id(8, 123, 2),
        "feedfeedfeedfeed".into(),
        "0000".into(),
        "00000700000\u{e9}b02".into(),
    ] {
        assert_eq!(parse_request_id(7, &id), None, "{id}");
    }
}

#[test]
fn discovery_events_are_accepted_only_for_their_source() {
    let event = "[[events]]\nwhat = \"trouble-discovery\"\nhow = \"silent\"\nlasts = \"1s\"\nat = \"1s\"\n";
    let consul = VALID.replace("[traffic]", "[discovery]\nsource = \"consul\"\n[traffic]");
    assert!(Scenario::parse(&format!("{consul}{event}"), "f").is_ok());
    for (text, part) in [
        (format!("{VALID}{event}"), "not for discovery by Platform"),
        (
            format!("{consul}[[events]]\nwhat = \"reread-nodes\"\nat = \"1s\"\n"),
            "not for discovery by Consul",
        ),
        (format!("{consul}{}", event.replace("silent", "loud")), "unknown variant `loud`, expected one of"),
    ] {
        let errors = Scenario::parse(&text, "f").unwrap_err().to_string();
        assert!(errors.contains(part), "{errors}");
    }
}
