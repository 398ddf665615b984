//! Days in simulated time: the same ones again, the shipped ones, wrong nodes, and experiments that are killed.
use std::fs;
use std::path::PathBuf;
use std::sync::atomic::{AtomicUsize, Ordering};
use troutknot::{Action, Dispatcher, Event, Millis, Outcome};
use troutknot_rehearsal::scenario::Scenario;
use troutknot_simulation::baselines::Policy;
use troutknot_simulation::experiment::{Failed, Planned, summary};
use troutknot_simulation::{DecisionModule, simulate, simulate_by, simulate_with};

const SHIPPED: [&str; 5] = ["calm", "iftar", "deploy", "storm", "consul"];
const POLICIES: [&str; 7] = ["adaptive", "random", "round-robin", "least-outstanding", "d1", "d2", "d4"];

fn shipped(name: &str) -> PathBuf {
    PathBuf::from(concat!(env!("CARGO_MANIFEST_DIR"), "/../../scenarios")).join(format!("{name}.toml"))
}

fn scenario(name: &str) -> Scenario {
    Scenario::parse(&fs::read_to_string(shipped(name)).unwrap(), name).unwrap()
}

#[test]
fn the_same_seed_is_the_same_day_and_another_is_another() {
    let scenario = scenario("storm");
    let of = |seed| serde_json::to_string(&simulate(&scenario, seed).unwrap()).unwrap();
    assert_eq!(of(7), of(7));
    assert_ne!(of(7), of(8));
}

#[test]
fn shipped_days_break_no_rule_by_any_policy() {
    for name in SHIPPED {
        let scenario = scenario(name);
        for policy in POLICIES {
            // The others on the two hardest days alone.
            if policy != "adaptive" && name != "storm" && name != "deploy" {
                continue;
            }
            let report = simulate_by(&scenario, scenario.seed, policy.parse().unwrap()).unwrap();
            let breaches = &report.verdict.violations;
            assert!(breaches.is_empty(), "{name} by {policy}: {:#?}", &breaches[..breaches.len().min(3)]);
            assert!(policy != "adaptive" || report.holds(), "{name}: service {}", report.verdict.service);
        }
    }
}

#[derive(Clone, Copy, PartialEq, Debug)]
enum Wrong {
    TakesAResetForNothing,
    SendsToTheDrained,
    PushesCold,
    NeverGivesUp,
}

/// The dispatcher, lied to or overruled in one way.
struct Wronged {
    inner: Dispatcher,
    wrong: Wrong,
}

impl DecisionModule for Wronged {
    fn handle_event(&mut self, now: Millis, mut event: Event) {
        match (&mut event, self.wrong) {
            (Event::AttemptEnded { outcome: outcome @ Outcome::Reset, .. }, Wrong::TakesAResetForNothing) => {
                *outcome = Outcome::NotSent;
            }
            (Event::EndpointsUpdated { endpoints: entries, .. }, Wrong::SendsToTheDrained) => {
                entries.iter_mut().for_each(|entry| entry.state = troutknot::EndpointState::Ready);
            }
            (Event::EndpointsUpdated { endpoints: entries, .. }, Wrong::PushesCold) => {
                entries.iter_mut().for_each(|entry| entry.started_at = None);
            }
            _ => {}
        }
        self.inner.handle_event(now, event);
    }

    fn poll_actions(&mut self, now: Millis, actions: &mut Vec<Action>) {
        self.inner.poll_actions(now, actions);
        if self.wrong == Wrong::NeverGivesUp {
            actions.retain(|action| !matches!(action, Action::Reject { .. } | Action::Fail { .. }));
        }
    }
}

#[test]
fn each_wrong_node_is_named_by_what_is_wrong_with_it() {
    let cases = [
        ("storm", Wrong::TakesAResetForNothing, "repeat"),
        ("deploy", Wrong::PushesCold, "pushed-over"),
        ("storm", Wrong::NeverGivesUp, "no-answer"),
        ("deploy", Wrong::SendsToTheDrained, "sent-to-drained"),
    ];
    for (name, wrong, expected) in cases {
        let mut scenario = scenario(name);
        if wrong == Wrong::PushesCold {
            // Cold executors that stand little.
            scenario.rules.budget_multiple = 0.4;
            assert!(
                simulate(&scenario, scenario.seed).unwrap().verdict.violations.is_empty(),
                "a sound node"
            );
        }
        let make = move |settings: &troutknot::Settings, seed, now| -> Box<dyn DecisionModule> {
            Box::new(Wronged { inner: Dispatcher::new(settings, seed, now), wrong })
        };
        let report = simulate_with(&scenario, scenario.seed, &make).unwrap();
        let named = report.verdict.violations.iter().any(|b| b.kind.name() == expected);
        assert!(
            named,
            "{wrong:?}: {:?}",
            report.verdict.violations.iter().map(|b| b.kind.name()).collect::<Vec<_>>()
        );
    }
}

const SMALL: &str = r#"
name = "small"
length = "3s"
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
work = "30ms"
promised_turnaround = "200ms"
hard_limit = "1s"
[traffic]
load = 0.7
"#;

fn folder(name: &str) -> PathBuf {
    let path = std::env::temp_dir().join(format!("troutknot-{}-{name}", std::process::id()));
    let _ = fs::remove_dir_all(&path);
    fs::create_dir_all(&path).unwrap();
    fs::write(path.join("small.toml"), SMALL).unwrap();
    path
}

fn planned(folder: &std::path::Path, text: &str) -> Result<Planned, Failed> {
    let path = folder.join("spec.toml");
    fs::write(&path, text).unwrap();
    Planned::read(&path)
}

const SPEC: &str = "scenarios = ['small.toml']\npolicies = ['random', 'adaptive']\n\
                    seeds = {from = 1, count = 6}\n[vary]\nload = [0.5, 0.8]\nnodes = [1, 3]\n";

#[test]
fn an_experiment_that_was_killed_goes_on_where_it_was() {
    let folder = folder("resumed");
    let spec = planned(&folder, SPEC).unwrap();
    assert_eq!(spec.runs.len(), 48);
    let out = folder.join("out");
    let whole = spec.run(&out, 4, |_| {}).unwrap();
    let path = out.join("rows.jsonl");
    // What a kill leaves: some rows, the last one torn.
    let text = fs::read_to_string(&path).unwrap();
    let first: Vec<&str> = text.lines().take(20).collect();
    fs::write(&path, format!("{}\n{}", first.join("\n"), &text[..40])).unwrap();
    let told = AtomicUsize::new(usize::MAX);
    let again = spec.run(&out, 3, |done| _ = told.fetch_min(done, Ordering::Relaxed)).unwrap();
    assert_eq!(again, whole, "the same rows in the same order, whichever ended first");
    assert_eq!(told.into_inner(), 20, "what was there is not run again");
    let summary = summary(&whole, &spec.against);
    assert_eq!(summary.len(), 8);
    for s in &summary {
        assert_eq!((s.runs, s.breaches, s.difference.is_some()), (6, 0, s.policy == "adaptive"), "{s:?}");
    }
    // Another experiment in the same folder is refused, and so is a second writer.
    let other = planned(&folder, &SPEC.replace("0.8", "0.9")).unwrap();
    assert!(
        matches!(other.run(&out, 1, |_| {}), Err(Failed::Disk(why)) if why.contains("another experiment"))
    );
    let lock = fs::File::options().write(true).open(out.join("lock")).unwrap();
    lock.try_lock().unwrap();
    assert!(matches!(spec.run(&out, 1, |_| {}), Err(Failed::Disk(why)) if why.contains("another run")));
}

#[test]
fn experiments_that_cannot_be_run_say_all_that_is_wrong_before_any_run() {
    let folder = folder("bad");
    let cases = [
        ("scenarios = []\npolicies = ['random']\nseeds = {from = 1, count = 1}", "must name one at least"),
        (
            "scenarios = ['small.toml']\npolicies = ['best']\nseeds = {from = 1, count = 1}",
            "`best` is no policy",
        ),
        (
            "scenarios = ['small.toml']\npolicies = ['d1']\nagainst = 'd2'\nseeds = {from = 1, count = 1}",
            "not among `policies`",
        ),
        (
            "scenarios = ['small.toml']\npolicies = ['d1']\nseeds = {from = 1, count = 1}\n[vary]\nnodes = [0]",
            "`count` is 0; 1 to 1000 is allowed",
        ),
        (
            "scenarios = ['small.toml']\npolicies = ['d1']\nseeds = {from = 1, count = 2000000}",
            "2000000 runs; 1000000 are allowed",
        ),
        ("scenarios = ['none.toml']\npolicies = ['d1']\nseeds = {from = 1, count = 1}", "cannot read"),
        ("scenarios = ['small.toml']\npolicies = ['d1']\nseeds = {from = 1, count = 1}\nmore = 1", "line 4"),
    ];
    for (text, part) in cases {
        let said = match planned(&folder, text) {
            Err(Failed::Bad(why)) => why,
            _ => panic!("{text} is taken"),
        };
        assert!(said.contains(part), "{text}: {said}");
    }
    let durable = simulate(&scenario("durable"), 1);
    assert!(durable.is_err_and(|why| why.to_string().contains("rehearse it")));
    assert_eq!("d4".parse(), Ok(Policy::Fixed(4)));
}
