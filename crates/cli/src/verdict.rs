//! Formats reports and verdicts as text.
use std::fmt::Write;
use troutknot_rehearsal::referee::{RuleViolation, Verdict};
use troutknot_rehearsal::run::Report;

/// Upper limit of the violations of one rule that are printed; the report file contains all of them.
const MAX_PRINTED_VIOLATIONS: usize = 5;

/// Descriptions of the four rules, which are numbered from 1.
const RULES: [&str; 4] = [
    "one final answer before the deadline",
    "no effect twice",
    "nothing new past the drain grace",
    "no executor overloaded in slow start",
];

/// Formats the report of a rehearsal: the verdict, and the resource usage of the processes.
pub fn format_report(report: &Report) -> String {
    let mut out = format!(
        "{} with seed {} (plan {}): {} nodes, {} executors, {} requests in {:.0} s\n",
        report.scenario,
        report.seed,
        report.plan,
        report.nodes,
        report.executors,
        report.verdict.all.requests,
        report.length_s
    );
    out += &format_verdict(&report.verdict, report.seed, report.expected_service);
    let _ = writeln!(
        out,
        "  nodes: {:.0} us CPU a request, {:.1} MB at most; kit: {:.0} us CPU a request, {:.1} ms late at p99",
        report.node_cpu_us_per_request,
        report.node_memory_kb as f64 / 1024.0,
        report.kit_cpu_us_per_request,
        report.clients_late_p99_ms.max(report.executors_late_p99_ms)
    );
    out += if report.has_passed() { "all held\n" } else { "NOT all held\n" };
    out
}

/// Formats a verdict: the outcomes by request class, each rule, the service, and how far drains and slow start were
/// respected.
pub fn format_verdict(verdict: &Verdict, seed: u64, expected_service: f64) -> String {
    let mut out = format_outcomes(verdict);
    out.push('\n');
    for (index, rule) in RULES.iter().enumerate() {
        let number = index as u8 + 1;
        let violations: Vec<&RuleViolation> =
            verdict.violations.iter().filter(|violation| violation.rule == number).collect();
        out += &format_rule(number, rule, &violations, seed);
    }
    let requests = verdict.all.requests.max(1) as f64;
    let _ = writeln!(
        out,
        "\n  service {:.3} (expected {expected_service:.3}), {:.2} client attempts and {:.2} node attempts per request",
        verdict.service,
        verdict.all.client_attempts as f64 / requests,
        verdict.all.attempts as f64 / requests
    );
    let _ = writeln!(
        out,
        "  longest dispatch after a drain notice {:.0} ms; largest use of a warm-up budget {:.0}%; {} executors \
         overloaded",
        verdict.longest_dispatch_after_drain_ms,
        verdict.warm_up_budget_used * 100.0,
        verdict.overload_failures
    );
    out
}

fn format_outcomes(verdict: &Verdict) -> String {
    let mut out = format!(
        "\n  {:<14} {:>8} {:>9} {:>8} {:>8} {:>7} {:>5} {:>5} {:>8} {:>8}\n",
        "class", "requests", "completed", "in time", "rejected", "failed", "cut", "left", "p50 ms", "p99 ms"
    );
    let by_class = verdict.by_class.iter().map(|(name, tally)| (name.as_str(), tally));
    for (name, tally) in by_class.chain([("all", &verdict.all)]) {
        let _ = writeln!(
            out,
            "  {name:<14} {:>8} {:>9} {:>8} {:>8} {:>7} {:>5} {:>5} {:>8.1} {:>8.1}",
            tally.requests,
            tally.completed,
            tally.in_time,
            tally.rejected + tally.unreachable,
            tally.failed,
            tally.disconnected,
            tally.abandoned,
            tally.p50_ms,
            tally.p99_ms
        );
    }
    out
}

fn format_rule(number: u8, rule: &str, violations: &[&RuleViolation], seed: u64) -> String {
    let result = if violations.is_empty() {
        "held".to_string()
    } else {
        format!("VIOLATED {} times", violations.len())
    };
    let mut out = format!("  rule {number} {rule}: {result}\n");
    for violation in violations.iter().take(MAX_PRINTED_VIOLATIONS) {
        let _ = writeln!(out, "    {}: {} (seed {seed})", violation.kind, violation.description);
    }
    if violations.len() > MAX_PRINTED_VIOLATIONS {
        let _ = writeln!(
            out,
            "    and {} more; --report writes all of them",
            violations.len() - MAX_PRINTED_VIOLATIONS
        );
    }
    out
}
