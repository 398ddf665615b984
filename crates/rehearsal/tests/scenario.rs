//! Scenario files that cannot be used, and plans that must not differ.
use std::time::Duration;
use troutknot_rehearsal::plan::{Plan, Step, format_request_id, parse_request_id};
use troutknot_rehearsal::scenario::Scenario;

const GOOD: &str = r#"name = "good"
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
fn files_with_faults_are_refused_with_every_line_and_what_is_allowed() {
    assert!(Scenario::parse(GOOD, "f").is_ok());
    // What is replaced by what, and the faults that follow: line and a part of the text.
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
        ("name = \"good\"", "name = good", &[(1, "")]),
    ];
    let mut wrong = Vec::new();
    for (from, to, expected) in cases {
        let text = GOOD.replacen(from, to, 1);
        let faults = Scenario::parse(&text, "f").expect_err(to).entries;
        let fits = |(fault, (line, part)): (&troutknot_rehearsal::scenario::Diagnostic, &(usize, &str))| {
            fault.line == *line && fault.message.contains(part)
        };
        let fit = faults.len() == expected.len() && faults.iter().zip(*expected).all(fits);
        if !fit {
            wrong.push(format!("{to}: {faults:?}"));
        }
    }
    assert!(wrong.is_empty(), "{}", wrong.join("\n"));
    let both = GOOD.replace("slots = 2", "slots = 0").replace("to = \"2s\"", "to = \"99s\"");
    assert_eq!(Scenario::parse(&both, "f").unwrap_err().to_string().lines().count(), 3, "all at once");
}

#[test]
fn the_shipped_scenarios_are_good() {
    let folder = concat!(env!("CARGO_MANIFEST_DIR"), "/../../scenarios");
    let mut count = 0;
    for entry in std::fs::read_dir(folder).unwrap() {
        let path = entry.unwrap().path();
        if path.ends_with("scenarios/scale") {
            // Scale files, which are no scenarios; `crates/scale/tests/file.rs` reads each of them.
            continue;
        }
        let text = std::fs::read_to_string(&path).unwrap();
        Scenario::parse(&text, &path.display().to_string()).unwrap_or_else(|faults| panic!("{faults}"));
        count += 1;
    }
    assert!(count >= 7);
}

#[test]
fn the_same_seed_gives_the_same_plan_and_another_one_another() {
    let scenario = Scenario::parse(GOOD, "f").unwrap();
    let [a, b, c] = [1, 1, 2].map(|seed| Plan::generate(&scenario, seed));
    assert_eq!((a.hash(), &a.requests, &a.steps), (b.hash(), &b.requests, &b.steps));
    assert_ne!(a.hash(), c.hash());
    let expected = scenario.expected_requests();
    assert!((a.requests.len() as f64 / expected - 1.0).abs() < 0.1, "{} of {expected}", a.requests.len());
    assert_eq!(scenario.load_factor(Duration::from_secs(3)), 2.0);
    let joins = a.steps.iter().filter(|(_, step)| matches!(step, Step::Join { .. })).count();
    assert_eq!((joins, a.executors.len()), (4, 8), "each has a successor");
    let slowed = a.steps.iter().filter(|(_, step)| matches!(step, Step::FaultBegins { .. })).count();
    assert_eq!(slowed, 2, "half of four");
}

#[test]
fn ids_that_are_not_of_the_seed_mean_nothing() {
    assert_eq!(parse_request_id(7, &format_request_id(7, 123, 2)), Some((123, 2)));
    for odd in [
        format_request_id(8, 123, 2),
        "feedfeedfeedfeed".into(),
        "0000".into(),
        "00000700000\u{e9}b02".into(),
    ] {
        assert_eq!(parse_request_id(7, &odd), None, "{odd}");
    }
}

#[test]
fn discovery_by_consul_takes_its_own_troubles_only() {
    let trouble = "[[events]]\nwhat = \"trouble-discovery\"\nhow = \"silent\"\nlasts = \"1s\"\nat = \"1s\"\n";
    let consul = GOOD.replace("[traffic]", "[discovery]\nsource = \"consul\"\n[traffic]");
    assert!(Scenario::parse(&format!("{consul}{trouble}"), "f").is_ok());
    for (text, part) in [
        (format!("{GOOD}{trouble}"), "not for discovery by Platform"),
        (
            format!("{consul}[[events]]\nwhat = \"reread-nodes\"\nat = \"1s\"\n"),
            "not for discovery by Consul",
        ),
        (format!("{consul}{}", trouble.replace("silent", "loud")), "unknown variant `loud`, expected one of"),
    ] {
        let faults = Scenario::parse(&text, "f").unwrap_err().to_string();
        assert!(faults.contains(part), "{faults}");
    }
}
