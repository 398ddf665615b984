//! Simulations: reproducible runs, the shipped scenarios, nodes with a defect, and interrupted or invalid experiments.
use std::fs;
use std::path::PathBuf;
use std::sync::atomic::{AtomicUsize, Ordering};
use troutknot::{Action, Dispatcher, Event, Millis, Outcome};
use troutknot_rehearsal::scenario::Scenario;
use troutknot_simulation::baselines::Policy;
use troutknot_simulation::experiment::{ExperimentError, ExperimentPlan, summarize};
use troutknot_simulation::{DecisionModule, simulate, simulate_modules, simulate_policy};

const SHIPPED_SCENARIOS: [&str; 5] = ["calm", "iftar", "deploy", "storm", "consul"];
const POLICIES: [&str; 7] = ["adaptive", "random", "round-robin", "least-outstanding", "d1", "d2", "d4"];

fn shipped_path(name: &str) -> PathBuf {
    PathBuf::from(concat!(env!("CARGO_MANIFEST_DIR"), "/../../scenarios")).join(format!("{name}.toml"))
}

fn scenario(name: &str) -> Scenario {
    Scenario::parse(&fs::read_to_string(shipped_path(name)).unwrap(), name).unwrap()
}

/// Guards against runs that depend on anything but the scenario and the seed, and against a seed without effect.
#[test]
fn reports_are_equal_for_equal_seeds_and_differ_for_different_seeds() {
    let scenario = scenario("storm");
    let report = |seed| serde_json::to_string(&simulate(&scenario, seed).unwrap()).unwrap();
    assert_eq!(report(7), report(7));
    assert_ne!(report(7), report(8));
}

/// Guards against rule violations of the dispatcher and of the baselines, and against a dispatcher that does not reach
/// the expected service.
#[test]
fn shipped_scenarios_pass_without_violations_for_every_policy() {
    for name in SHIPPED_SCENARIOS {
        let scenario = scenario(name);
        for policy in POLICIES {
            // The baselines run only on the two hardest scenarios.
            if policy != "adaptive" && name != "storm" && name != "deploy" {
                continue;
            }
            let report = simulate_policy(&scenario, scenario.seed, policy.parse().unwrap()).unwrap();
            let violations = &report.verdict.violations;
            assert!(
                violations.is_empty(),
                "{name} by {policy}: {:#?}",
                &violations[..violations.len().min(3)]
            );
            assert!(
                policy != "adaptive" || report.has_passed(),
                "{name}: service {}",
                report.verdict.service
            );
        }
    }
}

#[derive(Clone, Copy, PartialEq, Debug)]
enum Defect {
    /// Retries an attempt that was reset as if it had not been sent.
    RetriesAfterReset,
    DispatchesToDraining,
    IgnoresSlowStart,
    NeverRejectsOrFails,
}

/// The dispatcher with a defect, which alters its events or drops some of its actions.
struct DefectiveModule {
    inner: Dispatcher,
    defect: Defect,
}

impl DecisionModule for DefectiveModule {
    fn handle_event(&mut self, now: Millis, mut event: Event) {
        match (&mut event, self.defect) {
            (Event::AttemptEnded { outcome: outcome @ Outcome::Reset, .. }, Defect::RetriesAfterReset) => {
                *outcome = Outcome::NotSent;
            }
            (Event::EndpointsUpdated { endpoints, .. }, Defect::DispatchesToDraining) => {
                endpoints.iter_mut().for_each(|endpoint| endpoint.state = troutknot::EndpointState::Ready);
            }
            (Event::EndpointsUpdated { endpoints, .. }, Defect::IgnoresSlowStart) => {
                endpoints.iter_mut().for_each(|endpoint| endpoint.started_at = None);
            }
            _ => {}
        }
        self.inner.handle_event(now, event);
    }

    fn poll_actions(&mut self, now: Millis, actions: &mut Vec<Action>) {
        self.inner.poll_actions(now, actions);
        if self.defect == Defect::NeverRejectsOrFails {
            actions.retain(|action| !matches!(action, Action::Reject { .. } | Action::Fail { .. }));
        }
    }
}

/// Guards against a referee that misses the violations of a defective node: each defect has to be reported under the
/// name of its rule violation.
#[test]
fn each_defective_node_is_reported_with_its_violation() {
    let cases = [
        ("storm", Defect::RetriesAfterReset, "repeat"),
        ("deploy", Defect::IgnoresSlowStart, "pushed-over"),
        ("storm", Defect::NeverRejectsOrFails, "no-answer"),
        ("deploy", Defect::DispatchesToDraining, "sent-to-drained"),
    ];
    for (name, defect, expected) in cases {
        let mut scenario = scenario(name);
        if defect == Defect::IgnoresSlowStart {
            // Executors in slow start fail at a lower load: 0.4 instead of the scenario's multiple.
            scenario.rules.budget_multiple = 0.4;
            assert!(
                simulate(&scenario, scenario.seed).unwrap().verdict.violations.is_empty(),
                "a node without a defect"
            );
        }
        let create_module = move |settings: &troutknot::Settings, seed, now| -> Box<dyn DecisionModule> {
            Box::new(DefectiveModule { inner: Dispatcher::new(settings, seed, now), defect })
        };
        let report = simulate_modules(&scenario, scenario.seed, &create_module).unwrap();
        let is_reported = report.verdict.violations.iter().any(|violation| violation.kind.name() == expected);
        assert!(
            is_reported,
            "{defect:?}: {:?}",
            report.verdict.violations.iter().map(|violation| violation.kind.name()).collect::<Vec<_>>()
        );
    }
}

const SMALL_SCENARIO: &str = r#"
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

/// Creates an empty folder with the small scenario.
fn create_folder(name: &str) -> PathBuf {
    let path = std::env::temp_dir().join(format!("troutknot-{}-{name}", std::process::id()));
    let _ = fs::remove_dir_all(&path);
    fs::create_dir_all(&path).unwrap();
    fs::write(path.join("small.toml"), SMALL_SCENARIO).unwrap();
    path
}

fn read_experiment(folder: &std::path::Path, text: &str) -> Result<ExperimentPlan, ExperimentError> {
    let path = folder.join("spec.toml");
    fs::write(&path, text).unwrap();
    ExperimentPlan::read(&path)
}

const EXPERIMENT: &str = "scenarios = ['small.toml']\npolicies = ['random', 'adaptive']\n\
                    seeds = {from = 1, count = 6}\n[vary]\nload = [0.5, 0.8]\nnodes = [1, 3]\n";

/// Guards against a killed experiment that repeats stored runs, loses rows or fails on a partial last row, and against
/// a folder that mixes the rows of two experiments or of two processes.
#[test]
fn a_killed_experiment_resumes_with_the_missing_runs() {
    let folder = create_folder("resumed");
    let plan = read_experiment(&folder, EXPERIMENT).unwrap();
    assert_eq!(plan.runs.len(), 48);
    let out = folder.join("out");
    let rows = plan.run(&out, 4, |_| {}).unwrap();
    let path = out.join("rows.jsonl");
    // A killed process leaves some rows, the last of them partial: 20 rows and 40 bytes.
    let text = fs::read_to_string(&path).unwrap();
    let complete: Vec<&str> = text.lines().take(20).collect();
    fs::write(&path, format!("{}\n{}", complete.join("\n"), &text[..40])).unwrap();
    let min_progress = AtomicUsize::new(usize::MAX);
    let resumed = plan.run(&out, 3, |stored| _ = min_progress.fetch_min(stored, Ordering::Relaxed)).unwrap();
    assert_eq!(resumed, rows, "the resumed experiment returns other rows or another order");
    assert_eq!(min_progress.into_inner(), 20, "stored runs are repeated");
    let summary = summarize(&rows, &plan.reference_policy);
    assert_eq!(summary.len(), 8);
    for group in &summary {
        assert_eq!(
            (group.runs, group.violations, group.difference.is_some()),
            (6, 0, group.policy == "adaptive"),
            "{group:?}"
        );
    }
    // The folder accepts neither another experiment nor a second process.
    let other = read_experiment(&folder, &EXPERIMENT.replace("0.8", "0.9")).unwrap();
    assert!(
        matches!(other.run(&out, 1, |_| {}), Err(ExperimentError::Io(error)) if error.contains("another experiment"))
    );
    let lock = fs::File::options().write(true).open(out.join("lock")).unwrap();
    lock.try_lock().unwrap();
    let second = plan.run(&out, 1, |_| {});
    assert!(
        matches!(second, Err(ExperimentError::Io(error)) if error.contains("another process is writing"))
    );
}

/// Guards against an invalid experiment that starts anyway, or whose error does not state the fault.
#[test]
fn invalid_experiments_are_rejected_with_their_faults_before_any_run() {
    let folder = create_folder("invalid");
    let cases = [
        (
            "scenarios = []\npolicies = ['random']\nseeds = {from = 1, count = 1}",
            "must not be empty, and `seeds.count` must not be 0",
        ),
        (
            "scenarios = ['small.toml']\npolicies = ['best']\nseeds = {from = 1, count = 1}",
            "unknown policy `best`",
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
            "2000000 runs; at most 1000000 are allowed",
        ),
        ("scenarios = ['none.toml']\npolicies = ['d1']\nseeds = {from = 1, count = 1}", "cannot read"),
        ("scenarios = ['small.toml']\npolicies = ['d1']\nseeds = {from = 1, count = 1}\nmore = 1", "line 4"),
    ];
    for (text, part) in cases {
        let faults = match read_experiment(&folder, text) {
            Err(ExperimentError::Invalid(faults)) => faults,
            _ => panic!("{text} is accepted"),
        };
        assert!(faults.contains(part), "{text}: {faults}");
    }
    let durable = simulate(&scenario("durable"), 1);
    assert!(durable.is_err_and(|error| error.to_string().contains("run `troutknot rehearse`")));
    assert_eq!("d4".parse(), Ok(Policy::PowerOfChoices(4)));
}
