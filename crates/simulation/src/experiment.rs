//! Experiments: every combination of scenario, varied settings, policy and seed is a run. Each run is stored on disk as
//! one row; a run whose row is stored is not repeated.
use crate::baselines::Policy;
use crate::stats::{self, MeanEstimate};
use crate::{Report, simulate_policy};
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

/// Largest number of runs of an experiment.
const MAX_RUNS: usize = 1_000_000;

/// Settings that are varied. Every combination of their values is run; a setting without values stays as in the
/// scenario.
#[derive(Deserialize, Clone, Debug, Default)]
#[serde(deny_unknown_fields, default)]
pub struct VariedSettings {
    /// Numbers of nodes.
    pub nodes: Vec<i64>,
    /// Factors of the number of executors in each group.
    pub executors: Vec<f64>,
    /// Loads, as shares of the capacity of the initial executors.
    pub load: Vec<f64>,
    /// Prices of a probe, as shares of the value of a request.
    pub probe_price: Vec<f64>,
    /// Running times of a probe at its executor, as durations.
    pub probe_work: Vec<String>,
    /// Delays of load reports, as durations.
    #[serde(rename = "reading_delay")]
    pub load_report_delay: Vec<String>,
    /// Shares of the executors affected by each fault.
    #[serde(rename = "trouble_share")]
    pub fault_share: Vec<f64>,
}

/// A range of seeds.
#[derive(Deserialize, Clone, Debug)]
#[serde(deny_unknown_fields)]
pub struct SeedRange {
    pub from: u64,
    pub count: u64,
}

/// The contents of an experiment file.
#[derive(Deserialize, Clone, Debug)]
#[serde(deny_unknown_fields)]
pub struct Experiment {
    /// Paths, relative to the experiment's file.
    pub scenarios: Vec<PathBuf>,
    pub seeds: SeedRange,
    pub policies: Vec<String>,
    /// The policy with which the others are compared, seed by seed; by default the first one.
    #[serde(rename = "against")]
    pub reference_policy: Option<String>,
    #[serde(default)]
    pub vary: VariedSettings,
}

/// One simulation of an experiment.
#[derive(Clone)]
pub struct Run {
    /// Unique in the experiment: scenario, varied settings, policy and seed.
    pub key: String,
    /// The scenario and its varied settings.
    pub group: String,
    pub policy: Policy,
    pub policy_name: String,
    pub seed: u64,
    /// Index in the `scenarios` of the plan.
    scenario: usize,
}

/// The stored result of a run.
#[derive(Serialize, Deserialize, Clone, Debug, PartialEq)]
pub struct Row {
    pub key: String,
    /// The scenario and its varied settings.
    pub group: String,
    pub policy: String,
    pub seed: u64,
    pub service: f64,
    #[serde(rename = "breaches")]
    pub violations: usize,
    /// Completed requests as a share of all requests.
    pub completed: f64,
    /// Rejected requests as a share of all requests.
    #[serde(rename = "deferred")]
    pub rejected: f64,
    /// Failed requests as a share of all requests.
    #[serde(rename = "aborted")]
    pub failed: f64,
    pub p50_ms: f64,
    pub p99_ms: f64,
    /// Probes per request.
    pub probes: f64,
    /// Attempts per request.
    #[serde(rename = "allocations")]
    pub attempts: f64,
    /// Largest share of a warm-up budget that was used.
    #[serde(rename = "cold_budget_used")]
    pub warm_up_budget_used: f64,
    /// Number of executors that failed by overload.
    #[serde(rename = "fell_over")]
    pub overload_failures: usize,
}

/// A row of the summary: the results of one policy on one scenario with its varied settings.
#[derive(Serialize, Clone, Debug)]
pub struct Summary {
    pub group: String,
    pub policy: String,
    pub runs: usize,
    #[serde(rename = "breaches")]
    pub violations: usize,
    pub service: MeanEstimate,
    /// Difference of the service to that of the reference policy, by seed; `None` for the reference policy.
    pub difference: Option<MeanEstimate>,
    pub p99_ms: MeanEstimate,
    /// Mean number of probes per request.
    pub probes: f64,
    /// Number of executors that failed by overload.
    #[serde(rename = "fell_over")]
    pub overload_failures: usize,
}

/// A valid experiment with all its runs.
pub struct ExperimentPlan {
    pub runs: Vec<Run>,
    pub reference_policy: String,
    scenarios: Vec<Scenario>,
    /// The text of the experiment and of its scenarios; a folder with rows of another text is not used.
    source: String,
}

/// Why an experiment failed.
#[derive(Debug, thiserror::Error)]
pub enum ExperimentError {
    /// The experiment is not valid; each fault is on a line of its own.
    #[error("{0}")]
    Invalid(String),
    /// The folder or its files cannot be used.
    #[error("{0}")]
    Io(String),
}

fn invalid(faults: impl Into<String>) -> ExperimentError {
    ExperimentError::Invalid(faults.into())
}

/// Returns every combination of the varied settings, each as names and values.
fn combinations(vary: &VariedSettings) -> Vec<Vec<(&'static str, Value)>> {
    let floats = |values: &[f64]| values.iter().map(|v| Value::Float(*v)).collect::<Vec<_>>();
    let texts = |values: &[String]| values.iter().map(|v| Value::String(v.clone())).collect::<Vec<_>>();
    let lists = [
        ("nodes", vary.nodes.iter().map(|v| Value::Integer(*v)).collect()),
        ("executors", floats(&vary.executors)),
        ("load", floats(&vary.load)),
        ("probe_price", floats(&vary.probe_price)),
        ("probe_work", texts(&vary.probe_work)),
        ("reading_delay", texts(&vary.load_report_delay)),
        ("trouble_share", floats(&vary.fault_share)),
    ];
    let mut combinations: Vec<Vec<(&'static str, Value)>> = vec![Vec::new()];
    for (name, values) in lists {
        if values.is_empty() {
            continue;
        }
        let extend = |combination: &Vec<(&'static str, Value)>, value: &Value| {
            let mut extended = combination.clone();
            extended.push((name, value.clone()));
            extended
        };
        combinations = combinations
            .iter()
            .flat_map(|combination| values.iter().map(|v| extend(combination, v)).collect::<Vec<_>>())
            .collect();
    }
    combinations
}

/// Returns a table within another one, which is created if it is missing.
fn subtable<'a>(parent: &'a mut Table, name: &str) -> Option<&'a mut Table> {
    parent.entry(name).or_insert_with(|| Value::Table(Table::new())).as_table_mut()
}

/// Returns the tables of an array of tables.
fn tables<'a>(parent: &'a mut Table, name: &str) -> impl Iterator<Item = &'a mut Table> {
    let list = parent.get_mut(name).and_then(Value::as_array_mut);
    list.into_iter().flatten().filter_map(Value::as_table_mut)
}

/// Sets a varied setting in the TOML of a scenario.
fn set_varied(scenario: &mut Table, name: &str, value: &Value) {
    let set = |table: Option<&mut Table>, key: &str| {
        table.into_iter().for_each(|table| _ = table.insert(key.into(), value.clone()));
    };
    match name {
        "nodes" => set(subtable(scenario, "nodes"), "count"),
        "load" => set(subtable(scenario, "traffic"), "load"),
        "probe_price" => set(subtable(scenario, "nodes"), "probe_price"),
        "executors" => {
            let factor = value.as_float().unwrap_or(1.0);
            for group in tables(scenario, "executors") {
                let count = group.get("count").and_then(Value::as_integer).unwrap_or(0) as f64;
                group.insert("count".into(), Value::Integer((count * factor).round() as i64));
            }
        }
        "probe_work" => tables(scenario, "executors").for_each(|group| set(Some(group), "probe_work")),
        "reading_delay" => {
            tables(scenario, "executors").for_each(|group| set(subtable(group, "readings"), "delay"))
        }
        // The remaining name, `trouble_share`.
        _ => tables(scenario, "troubles").for_each(|fault| set(Some(fault), "share")),
    }
}

impl ExperimentPlan {
    /// Reads an experiment, and checks every scenario that it runs.
    ///
    /// # Errors
    /// If the experiment or a scenario is not valid; the error lists the faults and what is allowed. The scenarios are
    /// not read if the experiment has too many runs.
    pub fn read(path: &Path) -> Result<Self, ExperimentError> {
        let shown = path.display();
        let text =
            std::fs::read_to_string(path).map_err(|e| invalid(format!("cannot read `{shown}`: {e}")))?;
        let spec: Experiment = toml::from_str(&text).map_err(|e| {
            let line =
                e.span().map_or(0, |span| text[..span.start.min(text.len())].matches('\n').count() + 1);
            invalid(format!("`{shown}` line {line}: {}", e.message().trim().replace('\n', "; ")))
        })?;
        let mut faults = Vec::new();
        if spec.scenarios.is_empty() || spec.policies.is_empty() || spec.seeds.count == 0 {
            faults.push(format!(
                "`{shown}`: `scenarios` and `policies` must not be empty, and `seeds.count` must not be 0"
            ));
        }
        let mut policies = Vec::new();
        for name in &spec.policies {
            match name.parse::<Policy>() {
                Ok(policy) => policies.push((name.clone(), policy)),
                Err(error) => faults.push(format!("`{shown}`: {error}")),
            }
        }
        let reference_policy =
            spec.reference_policy.clone().or(spec.policies.first().cloned()).unwrap_or_default();
        if !spec.policies.contains(&reference_policy) {
            faults.push(format!(
                "`{shown}`: `against` names `{reference_policy}`, which is not among `policies`"
            ));
        }
        let folder = path.parent().unwrap_or(Path::new("."));
        let combinations = combinations(&spec.vary);
        let count =
            (spec.scenarios.len() * combinations.len() * policies.len()) as f64 * spec.seeds.count as f64;
        if count > MAX_RUNS as f64 {
            faults.push(format!("`{shown}`: {count:.0} runs; at most {MAX_RUNS} are allowed"));
            return Err(invalid(faults.join("\n")));
        }
        let (mut scenarios, mut runs, mut source) = (Vec::new(), Vec::new(), text.clone());
        for file in &spec.scenarios {
            let scenario_path = folder.join(file);
            let scenario_name = scenario_path.display().to_string();
            let text = match std::fs::read_to_string(&scenario_path) {
                Ok(text) => text,
                Err(e) => {
                    faults.push(format!("cannot read `{scenario_name}`: {e}"));
                    continue;
                }
            };
            source += &text;
            let unvaried: Table = match toml::from_str(&text) {
                Ok(table) => table,
                Err(e) => {
                    faults.push(format!("`{scenario_name}`: {}", e.message().trim()));
                    continue;
                }
            };
            let stem = file.file_stem().map_or(String::new(), |s| s.to_string_lossy().to_string());
            for combination in &combinations {
                let mut varied = unvaried.clone();
                combination.iter().for_each(|(name, value)| set_varied(&mut varied, name, value));
                let values: String =
                    combination.iter().map(|(name, value)| format!(" {name}={value}")).collect();
                let group = format!("{stem}{}", values.replace('"', ""));
                match Scenario::parse(&varied.to_string(), &format!("{scenario_name} with{values}")) {
                    Err(error) => faults.push(error.to_string()),
                    Ok(scenario) if scenario.durable.is_some() => {
                        faults.push(format!("`{scenario_name}`: durable requests cannot be simulated"));
                    }
                    Ok(scenario) if scenario.has_operator_events() => {
                        faults.push(format!(
                            "`{scenario_name}`: admin calls, hot restarts and changed settings cannot be simulated"
                        ));
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
            Ok(ExperimentPlan { runs, reference_policy, scenarios, source })
        } else {
            Err(invalid(faults.join("\n")))
        }
    }

    /// Simulates the runs that have no row in the folder yet, on the given number of threads, and returns the rows of
    /// all runs in the order of the plan. Calls `report_progress` with the number of stored runs at the start and after
    /// each run.
    ///
    /// # Errors
    /// If another process writes to the folder, the folder belongs to another experiment, or a run cannot be simulated
    /// or its row stored.
    pub fn run(
        &self,
        folder: &Path,
        threads: usize,
        report_progress: impl Fn(usize) + Sync,
    ) -> Result<Vec<Row>, ExperimentError> {
        let io_error = |e: io::Error| ExperimentError::Io(format!("`{}`: {e}", folder.display()));
        std::fs::create_dir_all(folder).map_err(io_error)?;
        let lock = File::options()
            .create(true)
            .truncate(false)
            .write(true)
            .open(folder.join("lock"))
            .map_err(io_error)?;
        match lock.try_lock() {
            Ok(()) => {}
            Err(TryLockError::WouldBlock) => {
                return Err(ExperimentError::Io(format!(
                    "`{}`: another process is writing to it",
                    folder.display()
                )));
            }
            Err(TryLockError::Error(e)) => return Err(io_error(e)),
        }
        let source_path = folder.join("experiment.toml");
        match std::fs::read_to_string(&source_path) {
            Ok(stored) if stored != self.source => {
                let reason =
                    "belongs to another experiment, or its scenarios have changed; choose another folder";
                return Err(ExperimentError::Io(format!("`{}` {reason}", folder.display())));
            }
            Ok(_) => {}
            Err(_) => std::fs::write(&source_path, &self.source).map_err(io_error)?,
        }
        let path = folder.join("rows.jsonl");
        let rows = read_rows(&path).map_err(io_error)?;
        let stored: BTreeSet<&str> = rows.iter().map(|row| row.key.as_str()).collect();
        let missing: Vec<&Run> = self.runs.iter().filter(|run| !stored.contains(run.key.as_str())).collect();
        let stored_count = self.runs.len() - missing.len();
        report_progress(stored_count);
        let file = File::options().create(true).append(true).open(&path).map_err(io_error)?;
        let (file, next, finished) = (Mutex::new(file), AtomicUsize::new(0), AtomicUsize::new(stored_count));
        let first_error = Mutex::new(None);
        thread::scope(|scope| {
            for _ in 0..threads.max(1) {
                scope.spawn(|| {
                    while let Some(run) = missing.get(next.fetch_add(1, Ordering::Relaxed)) {
                        let written = self.simulate(run).and_then(|row| {
                            let line =
                                format!("{}\n", serde_json::to_string(&row).map_err(|e| e.to_string())?);
                            let mut file = file.lock().map_err(|e| e.to_string())?;
                            // One write per row: a killed process leaves complete rows and at most one partial
                            // row at the end.
                            file.write_all(line.as_bytes())
                                .and_then(|()| file.flush())
                                .map_err(|e| e.to_string())
                        });
                        if let Err(error) = written {
                            if let Ok(mut first_error) = first_error.lock() {
                                first_error.get_or_insert(error);
                            }
                            return;
                        }
                        report_progress(finished.fetch_add(1, Ordering::Relaxed) + 1);
                    }
                });
            }
        });
        if let Ok(Some(error)) = first_error.into_inner() {
            return Err(ExperimentError::Io(format!("`{}`: {error}", folder.display())));
        }
        // Rows are stored in the order in which the runs ended; they are returned in the order of the plan.
        let mut by_key: BTreeMap<String, Row> =
            read_rows(&path).map_err(io_error)?.into_iter().map(|row| (row.key.clone(), row)).collect();
        Ok(self.runs.iter().filter_map(|run| by_key.remove(&run.key)).collect())
    }

    fn simulate(&self, run: &Run) -> Result<Row, String> {
        let report = simulate_policy(&self.scenarios[run.scenario], run.seed, run.policy)
            .map_err(|e| e.to_string())?;
        let Report { verdict, probes, .. } = report;
        let per_request = |count: usize| count as f64 / verdict.all.requests.max(1) as f64;
        Ok(Row {
            key: run.key.clone(),
            group: run.group.clone(),
            policy: run.policy_name.clone(),
            seed: run.seed,
            service: verdict.service,
            violations: verdict.violations.len(),
            completed: per_request(verdict.all.completed),
            rejected: per_request(verdict.all.rejected),
            failed: per_request(verdict.all.failed),
            p50_ms: verdict.all.p50_ms,
            p99_ms: verdict.all.p99_ms,
            probes: per_request(probes as usize),
            attempts: per_request(verdict.all.attempts),
            warm_up_budget_used: verdict.warm_up_budget_used,
            overload_failures: verdict.overload_failures,
        })
    }
}

/// Reads the rows of a file, if it exists, and truncates the file after its last complete line.
fn read_rows(path: &Path) -> io::Result<Vec<Row>> {
    let text = match std::fs::read_to_string(path) {
        Ok(text) => text,
        Err(e) if e.kind() == io::ErrorKind::NotFound => return Ok(Vec::new()),
        Err(e) => return Err(e),
    };
    let complete_length = text.rfind('\n').map_or(0, |at| at + 1);
    if complete_length < text.len() {
        File::options().write(true).open(path)?.set_len(complete_length as u64)?;
    }
    let parse_row = |line: &str| serde_json::from_str(line).map_err(io::Error::other);
    text[..complete_length].lines().map(parse_row).collect()
}

/// Summarizes the rows of each scenario with its varied settings and each policy, in the order of their first rows.
pub fn summarize(rows: &[Row], reference_policy: &str) -> Vec<Summary> {
    let mut order: Vec<(&str, &str)> = Vec::new();
    for row in rows {
        if !order.contains(&(&row.group, &row.policy)) {
            order.push((&row.group, &row.policy));
        }
    }
    let select = |group: &str, policy: &str| -> Vec<&Row> {
        rows.iter().filter(|row| row.group == group && row.policy == policy).collect()
    };
    let mean_of = |rows: &[&Row], value: fn(&Row) -> f64| {
        stats::estimate_mean(&rows.iter().map(|row| value(row)).collect::<Vec<f64>>())
    };
    let summaries = order.into_iter().map(|(group, policy)| {
        let own = select(group, policy);
        let reference: BTreeMap<u64, f64> =
            select(group, reference_policy).iter().map(|row| (row.seed, row.service)).collect();
        let differences = own.iter().filter_map(|row| Some(row.service - reference.get(&row.seed)?));
        let differences: Vec<f64> = differences.collect();
        Summary {
            group: group.to_string(),
            policy: policy.to_string(),
            runs: own.len(),
            violations: own.iter().map(|row| row.violations).sum(),
            service: mean_of(&own, |row| row.service),
            difference: (policy != reference_policy && !differences.is_empty())
                .then(|| stats::estimate_mean(&differences)),
            p99_ms: mean_of(&own, |row| row.p99_ms),
            probes: mean_of(&own, |row| row.probes).mean,
            overload_failures: own.iter().map(|row| row.overload_failures).sum(),
        }
    });
    summaries.collect()
}

/// Formats the summary as CSV.
pub fn format_csv(summary: &[Summary]) -> String {
    let mut out = String::from(
        "group,policy,runs,breaches,service,service_low,service_high,difference,difference_low,difference_high,\
         p99_ms,probes_a_request,fell_over\n",
    );
    for group in summary {
        let difference = group
            .difference
            .map_or(",,".into(), |value| format!("{:.4},{:.4},{:.4}", value.mean, value.low, value.high));
        let _ = writeln!(
            out,
            "{},{},{},{},{:.4},{:.4},{:.4},{difference},{:.1},{:.3},{}",
            group.group,
            group.policy,
            group.runs,
            group.violations,
            group.service.mean,
            group.service.low,
            group.service.high,
            group.p99_ms.mean,
            group.probes,
            group.overload_failures
        );
    }
    out
}
