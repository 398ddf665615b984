//! Experiments: scenarios by seeds by varied figures by policies, each a run; one row a run is kept on disk, and what
//! is there is not run again.
use crate::baselines::Policy;
use crate::stats::{self, Mean};
use crate::{Report, simulate_by};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};
use std::fmt::Write as _;
use std::fs::{File, TryLockError};
use std::io::{self, Write};
use std::path::{Path, PathBuf};
use std::sync::Mutex;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::thread;
use toml::{Table, Value};
use troutknot_rehearsal::scenario::Scenario;

const MOST_RUNS: usize = 1_000_000;

/// Figures that are varied; each list is crossed with all others, and what is left out stays as the scenario has it.
#[derive(Deserialize, Clone, Debug, Default)]
#[serde(deny_unknown_fields, default)]
pub struct Vary {
    pub nodes: Vec<i64>,
    /// Times the executors of each group.
    pub executors: Vec<f64>,
    pub load: Vec<f64>,
    /// A share of what a work unit earns.
    pub probe_price: Vec<f64>,
    /// The work of a probe at its executor, as a span of time.
    pub probe_work: Vec<String>,
    pub reading_delay: Vec<String>,
    pub trouble_share: Vec<f64>,
}

#[derive(Deserialize, Clone, Debug)]
#[serde(deny_unknown_fields)]
pub struct Seeds {
    pub from: u64,
    pub count: u64,
}

#[derive(Deserialize, Clone, Debug)]
#[serde(deny_unknown_fields)]
pub struct Experiment {
    /// Paths, beside the experiment's file.
    pub scenarios: Vec<PathBuf>,
    pub seeds: Seeds,
    pub policies: Vec<String>,
    /// The policy with which the others are compared, seed by seed; the first one where it is not given.
    pub against: Option<String>,
    #[serde(default)]
    pub vary: Vary,
}

/// One run that is to be made.
#[derive(Clone)]
pub struct Run {
    /// Names it among all: scenario, figures, policy and seed.
    pub key: String,
    pub group: String,
    pub policy: Policy,
    pub policy_name: String,
    pub seed: u64,
    scenario: usize,
}

/// What is kept of a run.
#[derive(Serialize, Deserialize, Clone, Debug, PartialEq)]
pub struct Row {
    pub key: String,
    /// The scenario and its varied figures.
    pub group: String,
    pub policy: String,
    pub seed: u64,
    pub service: f64,
    pub breaches: usize,
    pub completed: f64,
    pub deferred: f64,
    pub aborted: f64,
    pub p50_ms: f64,
    pub p99_ms: f64,
    pub probes: f64,
    pub allocations: f64,
    pub cold_budget_used: f64,
    pub fell_over: usize,
}

/// A row of the summary: one policy on one scenario with its figures.
#[derive(Serialize, Clone, Debug)]
pub struct Summary {
    pub group: String,
    pub policy: String,
    pub runs: usize,
    pub breaches: usize,
    pub service: Mean,
    /// By seed, less that of the policy compared with; none for itself.
    pub difference: Option<Mean>,
    pub p99_ms: Mean,
    pub probes: f64,
    pub fell_over: usize,
}

/// An experiment ready to be run.
pub struct Planned {
    pub runs: Vec<Run>,
    pub against: String,
    scenarios: Vec<Scenario>,
    text: String,
}

#[derive(Debug, thiserror::Error)]
pub enum Failed {
    /// Every fault on a line of its own.
    #[error("{0}")]
    Bad(String),
    #[error("{0}")]
    Disk(String),
}

fn bad(what: impl Into<String>) -> Failed {
    Failed::Bad(what.into())
}

/// Each combination of the varied figures, with its name.
fn combinations(vary: &Vary) -> Vec<Vec<(&'static str, Value)>> {
    let floats = |of: &[f64]| of.iter().map(|v| Value::Float(*v)).collect::<Vec<_>>();
    let texts = |of: &[String]| of.iter().map(|v| Value::String(v.clone())).collect::<Vec<_>>();
    let lists = [
        ("nodes", vary.nodes.iter().map(|v| Value::Integer(*v)).collect()),
        ("executors", floats(&vary.executors)),
        ("load", floats(&vary.load)),
        ("probe_price", floats(&vary.probe_price)),
        ("probe_work", texts(&vary.probe_work)),
        ("reading_delay", texts(&vary.reading_delay)),
        ("trouble_share", floats(&vary.trouble_share)),
    ];
    let mut all: Vec<Vec<(&'static str, Value)>> = vec![Vec::new()];
    for (name, values) in lists {
        if values.is_empty() {
            continue;
        }
        let with = |one: &Vec<(&'static str, Value)>, value: &Value| {
            let mut one = one.clone();
            one.push((name, value.clone()));
            one
        };
        all = all.iter().flat_map(|one| values.iter().map(|v| with(one, v)).collect::<Vec<_>>()).collect();
    }
    all
}

fn table<'a>(of: &'a mut Table, name: &str) -> Option<&'a mut Table> {
    of.entry(name).or_insert_with(|| Value::Table(Table::new())).as_table_mut()
}

fn each<'a>(of: &'a mut Table, name: &str) -> impl Iterator<Item = &'a mut Table> {
    let list = of.get_mut(name).and_then(Value::as_array_mut);
    list.into_iter().flatten().filter_map(Value::as_table_mut)
}

/// Sets a varied figure in a scenario's text.
fn set(scenario: &mut Table, name: &str, value: &Value) {
    let put = |table: Option<&mut Table>, key: &str| {
        table.into_iter().for_each(|table| _ = table.insert(key.into(), value.clone()));
    };
    match name {
        "nodes" => put(table(scenario, "nodes"), "count"),
        "load" => put(table(scenario, "traffic"), "load"),
        "probe_price" => put(table(scenario, "nodes"), "probe_price"),
        "executors" => {
            let times = value.as_float().unwrap_or(1.0);
            for group in each(scenario, "executors") {
                let count = group.get("count").and_then(Value::as_integer).unwrap_or(0) as f64;
                group.insert("count".into(), Value::Integer((count * times).round() as i64));
            }
        }
        "probe_work" => each(scenario, "executors").for_each(|group| put(Some(group), "probe_work")),
        "reading_delay" => {
            each(scenario, "executors").for_each(|group| put(table(group, "readings"), "delay"))
        }
        _ => each(scenario, "troubles").for_each(|trouble| put(Some(trouble), "share")),
    }
}

impl Planned {
    /// Reads an experiment and checks all that it would run.
    ///
    /// # Errors
    /// Every fault, with what is allowed.
    pub fn read(path: &Path) -> Result<Self, Failed> {
        let shown = path.display();
        let text = std::fs::read_to_string(path).map_err(|e| bad(format!("cannot read `{shown}`: {e}")))?;
        let spec: Experiment = toml::from_str(&text).map_err(|e| {
            let line =
                e.span().map_or(0, |span| text[..span.start.min(text.len())].matches('\n').count() + 1);
            bad(format!("`{shown}` line {line}: {}", e.message().trim().replace('\n', "; ")))
        })?;
        let mut faults = Vec::new();
        if spec.scenarios.is_empty() || spec.policies.is_empty() || spec.seeds.count == 0 {
            faults
                .push(format!("`{shown}`: `scenarios`, `policies` and `seeds.count` must name one at least"));
        }
        let mut policies = Vec::new();
        for name in &spec.policies {
            match name.parse::<Policy>() {
                Ok(policy) => policies.push((name.clone(), policy)),
                Err(why) => faults.push(format!("`{shown}`: {why}")),
            }
        }
        let against = spec.against.clone().or(spec.policies.first().cloned()).unwrap_or_default();
        if !spec.policies.contains(&against) {
            faults.push(format!("`{shown}`: `against` names `{against}`, which is not among `policies`"));
        }
        let folder = path.parent().unwrap_or(Path::new("."));
        let figures = combinations(&spec.vary);
        let count = (spec.scenarios.len() * figures.len() * policies.len()) as f64 * spec.seeds.count as f64;
        if count > MOST_RUNS as f64 {
            faults.push(format!("`{shown}`: {count:.0} runs; {MOST_RUNS} are allowed"));
            return Err(bad(faults.join("\n")));
        }
        let (mut scenarios, mut runs, mut whole) = (Vec::new(), Vec::new(), text.clone());
        for file in &spec.scenarios {
            let at = folder.join(file);
            let named = at.display().to_string();
            let text = match std::fs::read_to_string(&at) {
                Ok(text) => text,
                Err(e) => {
                    faults.push(format!("cannot read `{named}`: {e}"));
                    continue;
                }
            };
            whole += &text;
            let read: Table = match toml::from_str(&text) {
                Ok(read) => read,
                Err(e) => {
                    faults.push(format!("`{named}`: {}", e.message().trim()));
                    continue;
                }
            };
            let stem = file.file_stem().map_or(String::new(), |s| s.to_string_lossy().to_string());
            for figures in &figures {
                let mut varied = read.clone();
                figures.iter().for_each(|(name, value)| set(&mut varied, name, value));
                let figures: String =
                    figures.iter().map(|(name, value)| format!(" {name}={value}")).collect();
                let group = format!("{stem}{}", figures.replace('"', ""));
                match Scenario::parse(&varied.to_string(), &format!("{named} with{figures}")) {
                    Err(why) => faults.push(why.to_string()),
                    Ok(scenario) if scenario.durable.is_some() => {
                        faults.push(format!("`{named}`: durable work is not simulated"));
                    }
                    Ok(scenario) if scenario.has_operator_events() => {
                        faults.push(format!("`{named}`: calls, upgrades and new settings are not simulated"));
                    }
                    Ok(scenario) => {
                        scenarios.push(scenario);
                        for (policy_name, policy) in &policies {
                            let (policy_name, policy) = (policy_name.clone(), *policy);
                            runs.extend((spec.seeds.from..).take(spec.seeds.count as usize).map(|seed| {
                                Run {
                                    key: format!("{group} {policy_name} {seed}"),
                                    group: group.clone(),
                                    policy,
                                    policy_name: policy_name.clone(),
                                    seed,
                                    scenario: scenarios.len() - 1,
                                }
                            }));
                        }
                    }
                }
            }
        }
        if faults.is_empty() {
            Ok(Planned { runs, against, scenarios, text: whole })
        } else {
            Err(bad(faults.join("\n")))
        }
    }

    /// Runs what is not yet in the folder, on so many threads; `done` is told how many are.
    ///
    /// # Errors
    /// Where another process writes the folder, it holds another experiment, or the disk does not take a row.
    pub fn run(
        &self,
        folder: &Path,
        threads: usize,
        done: impl Fn(usize) + Sync,
    ) -> Result<Vec<Row>, Failed> {
        let disk = |e: io::Error| Failed::Disk(format!("`{}`: {e}", folder.display()));
        std::fs::create_dir_all(folder).map_err(disk)?;
        let lock = File::options()
            .create(true)
            .truncate(false)
            .write(true)
            .open(folder.join("lock"))
            .map_err(disk)?;
        match lock.try_lock() {
            Ok(()) => {}
            Err(TryLockError::WouldBlock) => {
                return Err(Failed::Disk(format!("`{}`: another run writes it", folder.display())));
            }
            Err(TryLockError::Error(e)) => return Err(disk(e)),
        }
        let kept = folder.join("experiment.toml");
        match std::fs::read_to_string(&kept) {
            Ok(was) if was != self.text => {
                let what = "holds another experiment, or its scenarios have changed; name another folder";
                return Err(Failed::Disk(format!("`{}` {what}", folder.display())));
            }
            Ok(_) => {}
            Err(_) => std::fs::write(&kept, &self.text).map_err(disk)?,
        }
        let path = folder.join("rows.jsonl");
        let rows = read_rows(&path).map_err(disk)?;
        let have: BTreeSet<&str> = rows.iter().map(|row| row.key.as_str()).collect();
        let todo: Vec<&Run> = self.runs.iter().filter(|run| !have.contains(run.key.as_str())).collect();
        let before = self.runs.len() - todo.len();
        done(before);
        let file = File::options().create(true).append(true).open(&path).map_err(disk)?;
        let (file, next, finished) = (Mutex::new(file), AtomicUsize::new(0), AtomicUsize::new(before));
        let failed = Mutex::new(None);
        thread::scope(|all| {
            for _ in 0..threads.max(1) {
                all.spawn(|| {
                    while let Some(run) = todo.get(next.fetch_add(1, Ordering::Relaxed)) {
                        let written = self.row(run).and_then(|row| {
                            let line =
                                format!("{}\n", serde_json::to_string(&row).map_err(|e| e.to_string())?);
                            let mut file = file.lock().map_err(|e| e.to_string())?;
                            // One write a row: a kill leaves whole rows, and perhaps a part of the last.
                            file.write_all(line.as_bytes())
                                .and_then(|()| file.flush())
                                .map_err(|e| e.to_string())
                        });
                        if let Err(why) = written {
                            if let Ok(mut failed) = failed.lock() {
                                failed.get_or_insert(why);
                            }
                            return;
                        }
                        done(finished.fetch_add(1, Ordering::Relaxed) + 1);
                    }
                });
            }
        });
        if let Ok(Some(why)) = failed.into_inner() {
            return Err(Failed::Disk(format!("`{}`: {why}", folder.display())));
        }
        // In the order of the plan, whichever ended first.
        let mut by_key: BTreeMap<String, Row> =
            read_rows(&path).map_err(disk)?.into_iter().map(|row| (row.key.clone(), row)).collect();
        Ok(self.runs.iter().filter_map(|run| by_key.remove(&run.key)).collect())
    }

    fn row(&self, run: &Run) -> Result<Row, String> {
        let report =
            simulate_by(&self.scenarios[run.scenario], run.seed, run.policy).map_err(|e| e.to_string())?;
        let Report { verdict, probes, .. } = report;
        let of = |count: usize| count as f64 / verdict.all.requests.max(1) as f64;
        Ok(Row {
            key: run.key.clone(),
            group: run.group.clone(),
            policy: run.policy_name.clone(),
            seed: run.seed,
            service: verdict.service,
            breaches: verdict.violations.len(),
            completed: of(verdict.all.completed),
            deferred: of(verdict.all.rejected),
            aborted: of(verdict.all.failed),
            p50_ms: verdict.all.p50_ms,
            p99_ms: verdict.all.p99_ms,
            probes: of(probes as usize),
            allocations: of(verdict.all.attempts),
            cold_budget_used: verdict.warm_up_budget_used,
            fell_over: verdict.overload_failures,
        })
    }
}

/// The rows of a file, if there is one; a torn last line is cut off it.
fn read_rows(path: &Path) -> io::Result<Vec<Row>> {
    let text = match std::fs::read_to_string(path) {
        Ok(text) => text,
        Err(e) if e.kind() == io::ErrorKind::NotFound => return Ok(Vec::new()),
        Err(e) => return Err(e),
    };
    let whole = text.rfind('\n').map_or(0, |at| at + 1);
    if whole < text.len() {
        File::options().write(true).open(path)?.set_len(whole as u64)?;
    }
    let row = |line: &str| serde_json::from_str(line).map_err(io::Error::other);
    text[..whole].lines().map(row).collect()
}

/// Each policy on each scenario with its figures, in the order of the rows.
pub fn summary(rows: &[Row], against: &str) -> Vec<Summary> {
    let mut order: Vec<(&str, &str)> = Vec::new();
    for row in rows {
        if !order.contains(&(&row.group, &row.policy)) {
            order.push((&row.group, &row.policy));
        }
    }
    let of = |group: &str, policy: &str| -> Vec<&Row> {
        rows.iter().filter(|row| row.group == group && row.policy == policy).collect()
    };
    let mean_of = |rows: &[&Row], figure: fn(&Row) -> f64| {
        stats::mean(&rows.iter().map(|row| figure(row)).collect::<Vec<f64>>())
    };
    let each = order.into_iter().map(|(group, policy)| {
        let own = of(group, policy);
        let other: BTreeMap<u64, f64> =
            of(group, against).iter().map(|row| (row.seed, row.service)).collect();
        let pairs = own.iter().filter_map(|row| Some(row.service - other.get(&row.seed)?));
        let pairs: Vec<f64> = pairs.collect();
        Summary {
            group: group.to_string(),
            policy: policy.to_string(),
            runs: own.len(),
            breaches: own.iter().map(|row| row.breaches).sum(),
            service: mean_of(&own, |row| row.service),
            difference: (policy != against && !pairs.is_empty()).then(|| stats::mean(&pairs)),
            p99_ms: mean_of(&own, |row| row.p99_ms),
            probes: mean_of(&own, |row| row.probes).mean,
            fell_over: own.iter().map(|row| row.fell_over).sum(),
        }
    });
    each.collect()
}

/// The summary as CSV.
pub fn as_csv(summary: &[Summary]) -> String {
    let mut out = String::from(
        "group,policy,runs,breaches,service,service_low,service_high,difference,difference_low,difference_high,\
         p99_ms,probes_a_request,fell_over\n",
    );
    for s in summary {
        let difference =
            s.difference.map_or(",,".into(), |d| format!("{:.4},{:.4},{:.4}", d.mean, d.low, d.high));
        let _ = writeln!(
            out,
            "{},{},{},{},{:.4},{:.4},{:.4},{difference},{:.1},{:.3},{}",
            s.group,
            s.policy,
            s.runs,
            s.breaches,
            s.service.mean,
            s.service.low,
            s.service.high,
            s.p99_ms.mean,
            s.probes,
            s.fell_over
        );
    }
    out
}
