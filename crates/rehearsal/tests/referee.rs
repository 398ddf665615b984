//! The referee on records made by hand: what it must see, and what it must not take for a breach.
use troutknot_emulator::observations::{ListedState, Observation};
use troutknot_emulator::{AttemptOutcome, Machine};
use troutknot_rehearsal::referee::{ClassFacts, ExecutorFacts, Facts, RequestFacts, judge};
use troutknot_rehearsal::scenario::{DeduplicationScope, Effect};

const RENDER: usize = 0;
const MAIL: usize = 1;
const PUBLISH: usize = 2;
/// Exclusive, and asked for with a key until it is answered.
const KEYED: usize = 3;

fn facts(class: usize, scope: DeduplicationScope) -> Facts {
    let of = |name: &str, effect| ClassFacts {
        name: name.into(),
        effect,
        has_idempotency_key: name == "keyed",
        deduplication_scope: scope,
        deduplication_window: 1000.0,
        deadline: 2000.0,
        latency_objective: 500.0,
        value: 1.0,
    };
    let executor = |k: u32, slow_start| ExecutorFacts {
        name: format!("s-{k}"),
        machine: Machine { slots: 2.0, cores: 2.0, ..Machine::default() },
        zone: 0,
        deduplication_group: k,
        slow_start,
    };
    Facts {
        seed: 0,
        drain_grace: 1000.0,
        notification_timeout: 3000.0,
        max_attempts: 3,
        slack: 50.0,
        initial_capacity: 0.5,
        ramp_duration: 10_000.0,
        budget_multiple: 2.0,
        budget_window: 100.0,
        classes: vec![
            of("render", Effect::Idempotent),
            of("mail", Effect::Deduplicated),
            of("publish", Effect::AtMostOnce),
            of("keyed", Effect::AtMostOnce),
        ],
        executors: vec![executor(0, false), executor(1, false), executor(2, true)],
        requests: vec![RequestFacts { class, due_at: 0.0 }],
        started_at: 0.0,
    }
}

fn sent(attempt: u32) -> Observation {
    Observation::RequestSent { id: id(attempt), request: 0, attempt, node: 0 }
}

fn id(attempt: u32) -> Box<str> {
    format!("a{attempt}").into()
}

fn answered(attempt: u32, status: u16) -> Observation {
    Observation::RequestAnswered { id: id(attempt), status, is_valid: status == 200, retry_after: None }
}

fn received(attempt_id: u64, executor: u32, attempt: u32, first_byte: f64) -> Observation {
    Observation::Received { executor, attempt_id, id: id(attempt), first_byte, slots: 1.0, work: 90.0 }
}

fn done(attempt_id: u64) -> Observation {
    Observation::Ended { attempt_id, outcome: AttemptOutcome::Done }
}

fn reset(attempt_id: u64) -> Observation {
    Observation::Ended { attempt_id, outcome: AttemptOutcome::Reset }
}

fn told(listed: ListedState) -> Observation {
    Observation::NodeNotified { node: 0, executor: 0, state: listed }
}

fn cut(reused: bool) -> Observation {
    Observation::ConnectionLost { id: id(0), reused }
}

type Case = (&'static str, usize, DeduplicationScope, Vec<(f64, Observation)>, &'static [&'static str]);

#[test]
fn breaches_and_what_only_looks_like_one() {
    use DeduplicationScope::{All, Group};
    let started = |attempt_id| Observation::Started { attempt_id };
    let knows = |listed| Observation::AgentUpdated { node: 0, executor: 0, state: listed };
    let once = |at: f64| {
        vec![(0.0, sent(0)), (at, received(1, 0, 0, at)), (at + 20.0, done(1)), (at + 30.0, answered(0, 200))]
    };
    let after = |mut first: Vec<(f64, Observation)>, then: Vec<(f64, Observation)>| {
        first.extend(then);
        first
    };
    let cold = |works: usize| {
        let mut seen = vec![(0.0, Observation::ExecutorUp { executor: 2 }), (0.0, sent(0))];
        (0..works).for_each(|k| seen.push((1.0, received(k as u64, 2, 0, 1.0))));
        seen.push((1.5, answered(0, 502)));
        (0..works).for_each(|k| seen.push((1.2, reset(k as u64))));
        seen
    };
    let cases: Vec<Case> = vec![
        ("one answer", PUBLISH, All, once(10.0), &[]),
        ("an answer that a client may still take", RENDER, All, once(2010.0), &[]),
        ("a late answer", RENDER, All, once(2030.0), &["late-answer"]),
        ("none at all", RENDER, All, vec![(0.0, sent(0))], &["no-answer"]),
        (
            "a node that was killed owes nothing",
            RENDER,
            All,
            vec![(0.0, sent(0)), (10.0, Observation::NodeKilled { node: 0 }), (11.0, cut(true))],
            &[],
        ),
        (
            "one that was asked to end owes what it had taken",
            RENDER,
            All,
            vec![
                (0.0, Observation::NodeTerminating { node: 0 }),
                (1.0, sent(0)),
                (2.0, received(1, 0, 0, 2.0)),
                (10.0, Observation::NodeKilled { node: 0 }),
                (11.0, cut(true)),
                (12.0, Observation::Cancelled { attempt_id: 1 }),
            ],
            &["lost"],
        ),
        ("a close that crosses a request", RENDER, All, vec![(0.0, sent(0)), (1.0, cut(true))], &[]),
        ("a close of a fresh connection", RENDER, All, vec![(0.0, sent(0)), (1.0, cut(false))], &["lost"]),
        (
            "a node that ends by itself",
            RENDER,
            All,
            after(once(10.0), vec![(100.0, Observation::NodeExited { node: 0, is_clean: true })]),
            &["node-crashed"],
        ),
        (
            "a node that ends when it is asked to",
            RENDER,
            All,
            after(
                once(10.0),
                vec![
                    (100.0, Observation::NodeTerminating { node: 0 }),
                    (200.0, Observation::NodeExited { node: 0, is_clean: true }),
                ],
            ),
            &[],
        ),
        (
            "a client that left",
            RENDER,
            All,
            vec![
                (0.0, sent(0)),
                (10.0, Observation::ClientDisconnected { id: id(0) }),
                (40.0, received(1, 0, 0, 40.0)),
                (60.0, done(1)),
            ],
            &[],
        ),
        (
            "work sent long after its client left",
            RENDER,
            All,
            vec![
                (0.0, sent(0)),
                (10.0, Observation::ClientDisconnected { id: id(0) }),
                (80.0, received(1, 0, 0, 80.0)),
                (90.0, done(1)),
            ],
            &["sent-after-final"],
        ),
        (
            "receipted work again within its window",
            MAIL,
            All,
            vec![
                (0.0, sent(0)),
                (1.0, received(1, 0, 0, 1.0)),
                (100.0, reset(1)),
                (900.0, received(2, 1, 0, 900.0)),
                (950.0, done(2)),
                (960.0, answered(0, 200)),
            ],
            &[],
        ),
        (
            "receipted work past its window",
            MAIL,
            All,
            vec![
                (0.0, sent(0)),
                (1.0, received(1, 0, 0, 1.0)),
                (100.0, reset(1)),
                (1002.0, received(2, 1, 0, 1002.0)),
                (1050.0, done(2)),
                (1060.0, answered(0, 200)),
            ],
            &["repeat"],
        ),
        (
            "receipted work outside its group",
            MAIL,
            Group,
            vec![
                (0.0, sent(0)),
                (1.0, received(1, 0, 0, 1.0)),
                (100.0, reset(1)),
                (200.0, received(2, 1, 0, 200.0)),
                (250.0, done(2)),
                (260.0, answered(0, 200)),
            ],
            &["repeat"],
        ),
        (
            "receipted work deferred outside its group",
            MAIL,
            Group,
            vec![(0.0, sent(0)), (1.0, received(1, 0, 0, 1.0)), (100.0, reset(1)), (200.0, answered(0, 503))],
            &["deferred-may-have-run"],
        ),
        (
            "exclusive work that was handed back",
            PUBLISH,
            All,
            vec![
                (0.0, sent(0)),
                (1.0, received(1, 0, 0, 1.0)),
                (9.0, Observation::Ended { attempt_id: 1, outcome: AttemptOutcome::Returned }),
                (10.0, received(2, 1, 0, 10.0)),
                (30.0, done(2)),
                (31.0, answered(0, 200)),
            ],
            &[],
        ),
        (
            "exclusive work that ran in two tries",
            PUBLISH,
            All,
            vec![
                (0.0, sent(0)),
                (1.0, received(1, 0, 0, 1.0)),
                (2.0, started(1)),
                (9.0, Observation::Ended { attempt_id: 1, outcome: AttemptOutcome::Returned }),
                (10.0, answered(0, 503)),
                (20.0, sent(1)),
                (21.0, received(2, 1, 1, 21.0)),
                (22.0, started(2)),
                (30.0, done(2)),
                (31.0, answered(1, 200)),
            ],
            &["second-effect"],
        ),
        (
            "one that is given up before the next is sent",
            RENDER,
            All,
            vec![
                (0.0, sent(0)),
                (1.0, received(1, 0, 0, 1.0)),
                (100.0, received(2, 1, 0, 100.0)),
                (120.0, Observation::Cancelled { attempt_id: 1 }),
                (150.0, done(2)),
                (151.0, answered(0, 200)),
            ],
            &[],
        ),
        (
            "two out at once",
            RENDER,
            All,
            vec![
                (0.0, sent(0)),
                (1.0, received(1, 0, 0, 1.0)),
                (100.0, received(2, 1, 0, 100.0)),
                (170.0, done(1)),
                (180.0, done(2)),
                (181.0, answered(0, 200)),
            ],
            &["two-out"],
        ),
        (
            "a send within the grace",
            RENDER,
            All,
            after(vec![(0.0, told(ListedState::Terminating))], once(1040.0)),
            &[],
        ),
        (
            "a send past the grace",
            RENDER,
            All,
            after(vec![(0.0, told(ListedState::Terminating))], once(1060.0)),
            &["sent-to-drained"],
        ),
        (
            "a send once it is back",
            RENDER,
            All,
            after(
                vec![(0.0, told(ListedState::Terminating)), (500.0, told(ListedState::Ready))],
                once(1060.0),
            ),
            &[],
        ),
        (
            "gone after it drained counts from the drain",
            RENDER,
            All,
            after(
                vec![(0.0, told(ListedState::Terminating)), (900.0, told(ListedState::Gone))],
                once(1060.0),
            ),
            &["sent-to-drained"],
        ),
        (
            "a node that never listens counts as told in the end",
            RENDER,
            All,
            after(vec![(-3000.0, knows(ListedState::Gone))], once(1060.0)),
            &["sent-to-drained"],
        ),
        (
            "a key whose result is made for the try before",
            KEYED,
            All,
            vec![
                (0.0, sent(0)),
                (5.0, received(1, 0, 0, 5.0)),
                (6.0, started(1)),
                (10.0, Observation::NodeKilled { node: 0 }),
                (10.0, Observation::Cancelled { attempt_id: 1 }),
                (11.0, cut(false)),
                (50.0, sent(1)),
                (60.0, done(1)),
                (70.0, answered(1, 200)),
            ],
            &[],
        ),
        (
            "a key that runs again after a crash",
            KEYED,
            All,
            vec![
                (0.0, sent(0)),
                (5.0, received(1, 0, 0, 5.0)),
                (6.0, started(1)),
                (10.0, Observation::NodeKilled { node: 0 }),
                (10.0, Observation::Cancelled { attempt_id: 1 }),
                (11.0, cut(false)),
                (50.0, sent(1)),
                (55.0, received(2, 1, 0, 55.0)),
                (56.0, started(2)),
                (60.0, done(2)),
                (70.0, answered(1, 200)),
            ],
            &["repeat", "ran-again"],
        ),
        (
            "a key that is never answered",
            KEYED,
            All,
            vec![(0.0, sent(0)), (10.0, Observation::NodeKilled { node: 0 }), (11.0, cut(false))],
            &["no-final"],
        ),
        (
            "a key that is sent after the answer to another try",
            KEYED,
            All,
            vec![
                (0.0, sent(0)),
                (10.0, Observation::NodeKilled { node: 0 }),
                (11.0, cut(false)),
                (50.0, sent(1)),
                (60.0, answered(1, 502)),
                (300.0, received(1, 0, 0, 300.0)),
                (320.0, done(1)),
            ],
            &["sent-after-final"],
        ),
        ("a cold one within its budget", RENDER, All, cold(2), &[]),
        ("a cold one pushed over", RENDER, All, cold(3), &["pushed-over"]),
    ];
    for (what, class, scope, seen, expected) in cases {
        let verdict = judge(&facts(class, scope), &seen);
        let mut found: Vec<&str> = verdict.violations.iter().map(|violation| violation.kind.name()).collect();
        found.retain(|name| !(what.starts_with("a cold one") && *name == "two-out"));
        found.dedup();
        assert_eq!(found, expected, "{what}: {:#?}", verdict.violations);
    }
}

#[test]
fn service_counts_from_the_first_try_and_leaves_out_who_left() {
    let seen = |at: f64| {
        vec![
            (0.0, sent(0)),
            (5.0, answered(0, 503)),
            (at - 20.0, sent(1)),
            (at - 10.0, received(1, 0, 1, at - 10.0)),
            (at - 5.0, done(1)),
            (at, answered(1, 200)),
        ]
    };
    for (at, in_time, service) in [(400.0, 1, 1.0), (501.0, 0, 0.0)] {
        let verdict = judge(&facts(RENDER, DeduplicationScope::All), &seen(at));
        assert_eq!(
            (verdict.all.in_time, verdict.service, verdict.all.client_attempts),
            (in_time, service, 2)
        );
    }
    let left = judge(
        &facts(RENDER, DeduplicationScope::All),
        &[(0.0, sent(0)), (1.0, Observation::ClientDisconnected { id: id(0) })],
    );
    assert_eq!((left.all.abandoned, left.service), (1, 1.0));
}

#[test]
fn a_violation_serializes_under_the_report_s_keys() {
    let verdict = judge(&facts(RENDER, DeduplicationScope::All), &[(0.0, sent(0))]);
    let expected = concat!(
        r#"[{"rule":1,"name":"no-answer","at":2050.0,"#,
        r#""what":"render a0: sent to n0 at 0.000 s, no answer by its hard limit"}]"#
    );
    assert_eq!(serde_json::to_string(&verdict.violations).unwrap(), expected);
    let report = serde_json::to_value(&verdict).unwrap();
    let keys_of =
        |value: &serde_json::Value| -> Vec<String> { value.as_object().unwrap().keys().cloned().collect() };
    let mut verdict_keys = keys_of(&report);
    verdict_keys.sort_unstable();
    assert_eq!(
        verdict_keys,
        ["all", "breaches", "by_type", "cold_budget_used", "fell_over", "longest_after_told_ms", "service"]
    );
    let mut tally_keys = keys_of(&report["all"]);
    tally_keys.sort_unstable();
    assert_eq!(
        tally_keys,
        [
            "aborted",
            "allocations",
            "completed",
            "cut",
            "deferred",
            "in_time",
            "left",
            "no_way_in",
            "p50_ms",
            "p99_ms",
            "requests",
            "tries"
        ]
    );
}
