//! `troutknot rehearse`: plays a scenario on real sockets against real nodes, and prints the verdict.
use crate::{Ended, check};
use clap::Args;
use indicatif::{ProgressBar, ProgressDrawTarget, ProgressStyle};
use std::fmt::Write;
use std::path::PathBuf;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;
use troutknot_rehearsal::nodes::Program;
use troutknot_rehearsal::referee::Verdict;
use troutknot_rehearsal::run::{Failed, Progress, Report, rehearse};
use troutknot_rehearsal::scenario::millis;

/// Play a scenario on real sockets with real nodes and say whether the four rules held
#[derive(Args)]
#[command(after_help = "Example: troutknot rehearse scenarios/iftar.toml --seed 7 --report report.json

Exit status: 0 all held, 1 a rule broke or less service than expected, 2 a file that cannot be used,
3 the machine could not carry it.")]
pub struct Rehearse {
    scenario: PathBuf,
    /// What the day is drawn from; the scenario's own where not given
    #[arg(long)]
    seed: Option<u64>,
    /// Write all figures and breaches to this file
    #[arg(long, value_name = "FILE.json")]
    report: Option<PathBuf>,
    /// Play the day so many times as long, at the same rate; limits, waits and running times stay as they are
    #[arg(long, default_value_t = 1.0)]
    time_scale: f64,
    /// Print the report as JSON
    #[arg(long)]
    json: bool,
    /// Keep the nodes' logs and configurations in this folder
    #[arg(long, value_name = "FOLDER")]
    logs: Option<PathBuf>,
    /// The program that runs a node; this one where not given
    #[arg(long, value_name = "PROGRAM")]
    node: Option<PathBuf>,
}

impl Rehearse {
    pub fn run(self) -> Ended {
        let mut scenario = match check::scenario(&self.scenario) {
            Ok(scenario) => scenario,
            Err(why) => return Ended::Usage.because(why),
        };
        if !(0.1..=100.0).contains(&self.time_scale) {
            return Ended::Usage
                .because(format!("--time-scale is {}; 0.1 to 100 is allowed", self.time_scale));
        }
        scenario.stretch(self.time_scale);
        let launch = match (&self.node, std::env::current_exe()) {
            (Some(path), _) => Program { path: path.clone(), args: Vec::new() },
            (None, Ok(path)) => Program { path, args: vec!["node".into()] },
            (None, Err(why)) => return Ended::Machine.because(format!("cannot find this program: {why}")),
        };
        // Dropped, and with it what is in it, once the day is over.
        let temporary;
        let folder = match &self.logs {
            Some(folder) => match std::fs::create_dir_all(folder) {
                Ok(()) => folder.clone(),
                Err(why) => {
                    return Ended::Usage.because(format!("cannot make `{}`: {why}", folder.display()));
                }
            },
            None => match tempfile::tempdir() {
                Ok(made) => {
                    temporary = made;
                    temporary.path().to_owned()
                }
                Err(why) => return Ended::Machine.because(format!("no folder for logs: {why}")),
            },
        };
        let seed = self.seed.unwrap_or(scenario.seed);
        let scenario = Arc::new(scenario);
        let progress = Arc::new(Progress::default());
        let (length, watched) = (millis(scenario.length) as u64, progress.clone());
        // Hidden where standard error is no terminal.
        let bar = ProgressBar::with_draw_target(Some(length), ProgressDrawTarget::stderr());
        if let Ok(style) = ProgressStyle::with_template("{bar:40} {msg}") {
            bar.set_style(style);
        }
        let (stop, stopped) = std::sync::mpsc::channel::<()>();
        let shown = bar.clone();
        let drawing = std::thread::spawn(move || {
            while stopped
                .recv_timeout(Duration::from_millis(200))
                .is_err_and(|e| e == std::sync::mpsc::RecvTimeoutError::Timeout)
            {
                let (at, over) =
                    (watched.at_ms.load(Ordering::Relaxed), watched.over.load(Ordering::Relaxed));
                shown.set_position(at as u64);
                shown.set_message(format!(
                    "{:.0} of {:.0} s, {over} over",
                    at as f64 / 1e3,
                    length as f64 / 1e3
                ));
            }
        });
        let played = rehearse(&scenario, seed, Arc::new(launch), &folder, progress);
        drop(stop);
        let _ = drawing.join();
        bar.finish_and_clear();
        let report = match played {
            Ok(report) => report,
            Err(why @ Failed::Machine(_)) => return Ended::Machine.because(why),
            Err(why @ Failed::Other(_)) => return Ended::Machine.because(why),
        };
        let text = match serde_json::to_string_pretty(&report) {
            Ok(text) => text,
            Err(why) => return Ended::Machine.because(why),
        };
        if let Some(path) = &self.report
            && let Err(why) = std::fs::write(path, &text)
        {
            return Ended::Usage.because(format!("cannot write `{}`: {why}", path.display()));
        }
        print!("{}", if self.json { text + "\n" } else { told(&report) });
        if !report.carried() {
            let (clients, executors) = (report.clients_late_p99_ms, report.executors_late_p99_ms);
            let what = format!(
                "the machine did not carry it: one time in a hundred, clients were {clients:.0} ms late and \
                 executors {executors:.0} ms"
            );
            return Ended::Machine.because(what);
        }
        if report.holds() { Ended::Held } else { Ended::Broke }
    }
}

/// The report for a reader.
fn told(report: &Report) -> String {
    let mut out = String::new();
    let v = &report.verdict;
    let _ = writeln!(
        out,
        "{} with seed {} (plan {}): {} nodes, {} executors, {} requests in {:.0} s",
        report.scenario,
        report.seed,
        report.plan,
        report.nodes,
        report.executors,
        v.all.requests,
        report.length_s
    );
    out += &shown(v, report.seed, report.expected_service);
    let _ = writeln!(
        out,
        "  nodes: {:.0} us CPU a request, {:.1} MB at most; kit: {:.0} us CPU a request, {:.1} ms late at p99",
        report.node_cpu_us_per_request,
        report.node_memory_kb as f64 / 1024.0,
        report.kit_cpu_us_per_request,
        report.clients_late_p99_ms.max(report.executors_late_p99_ms)
    );
    let _ = writeln!(out, "{}", if report.holds() { "all held" } else { "NOT all held" });
    out
}

/// A verdict for a reader: how requests fared, each rule, and what stands out.
pub fn shown(v: &Verdict, seed: u64, expected: f64) -> String {
    let mut out = String::new();
    let _ = writeln!(
        out,
        "\n  {:<14} {:>8} {:>9} {:>8} {:>8} {:>7} {:>5} {:>5} {:>8} {:>8}",
        "project type",
        "requests",
        "completed",
        "in time",
        "deferred",
        "aborted",
        "cut",
        "left",
        "p50 ms",
        "p99 ms"
    );
    let all = ("all".to_string(), v.all.clone());
    for (name, t) in v.by_type.iter().map(|(n, t)| (n.clone(), t.clone())).chain([all]) {
        let _ = writeln!(
            out,
            "  {name:<14} {:>8} {:>9} {:>8} {:>8} {:>7} {:>5} {:>5} {:>8.1} {:>8.1}",
            t.requests,
            t.completed,
            t.in_time,
            t.deferred + t.no_way_in,
            t.aborted,
            t.cut,
            t.left,
            t.p50_ms,
            t.p99_ms
        );
    }
    let rules = [
        "one final answer before the hard limit",
        "no effect twice",
        "nothing new past the drain grace",
        "no cold executor pushed over",
    ];
    let _ = writeln!(out);
    for (k, rule) in rules.iter().enumerate() {
        let broken: Vec<_> = v.breaches.iter().filter(|b| usize::from(b.rule) == k + 1).collect();
        let said =
            if broken.is_empty() { "held".to_string() } else { format!("BROKEN {} times", broken.len()) };
        let _ = writeln!(out, "  rule {} {rule}: {said}", k + 1);
        for breach in broken.iter().take(5) {
            let _ = writeln!(out, "    {}: {} (seed {})", breach.name, breach.what, seed);
        }
        if broken.len() > 5 {
            let _ = writeln!(out, "    and {} more; --report holds all", broken.len() - 5);
        }
    }
    let _ = writeln!(
        out,
        "\n  service {:.3} (expected {:.3}), {:.2} tries and {:.2} allocations a request",
        v.service,
        expected,
        v.all.tries as f64 / v.all.requests.max(1) as f64,
        v.all.allocations as f64 / v.all.requests.max(1) as f64
    );
    let _ = writeln!(
        out,
        "  longest send after a drain was told {:.0} ms; most of a cold budget used {:.0}%; fell over {}",
        v.longest_after_told_ms,
        v.cold_budget_used * 100.0,
        v.fell_over
    );
    out
}
