//! Status of durable requests for operators and clients. The texts are part of the node's external interface.
use super::Durable;
use serde_json::{Value, json};
use std::fmt::Write;
use troutknot::Millis;
use troutknot_ledger::{Attempt, AttemptStatus};

fn status_name(status: AttemptStatus) -> &'static str {
    match status {
        AttemptStatus::InFlight => "out",
        AttemptStatus::Unknown => "unknown",
        AttemptStatus::NeverRan => "never-ran",
        AttemptStatus::MayHaveRun => "may-have-run",
        AttemptStatus::Completed => "completed",
    }
}

fn describe_attempt(attempt: &Attempt, now: Millis) -> Value {
    json!({"fence": attempt.fence.0, "executor": attempt.executor, "at_ms": attempt.recorded_at,
        "standing": status_name(attempt.status(now))})
}

impl Durable {
    /// Describes the recorded request with a client's id as a line of JSON. Returns `None` if there is none.
    pub fn describe_request(&self, client_id: &str) -> Option<String> {
        let ledger = self.ledger.borrow();
        let request_id = ledger.find_by_client_id(client_id)?;
        let (job, now) = (ledger.job(request_id)?, self.now());
        let attempts: Vec<Value> =
            job.attempts.iter().map(|attempt| describe_attempt(attempt, now)).collect();
        let state = match job.answered_at {
            Some(_) if !self.pending_answers.contains(request_id) => "answered",
            _ if attempts.is_empty() => "taken",
            _ => "allocated",
        };
        let job = json!({"id": client_id, "state": state, "taken_ms": job.accepted_at,
            "limit_ms": job.deadline, "answered_ms": job.answered_at,
            "acknowledged": job.is_acknowledged, "allocations": attempts});
        Some(format!("{job}\n"))
    }

    /// Describes the state of the ledger for the readiness response.
    pub fn status_text(&self) -> String {
        let ledger = self.ledger.borrow();
        let state = match self.committer.check_ready(self.config.slow_sync_threshold) {
            Ok(()) => "ready".to_string(),
            Err(error) => format!("new work is deferred: {error}"),
        };
        let open = ledger.open_jobs().count();
        let mut text = String::new();
        let _ = writeln!(text, "ledger: {state}; {} on record, {open} open", ledger.len());
        let unrecovered = self.unrecovered_count.get();
        if unrecovered > 0 {
            let _ = writeln!(text, "ledger: {unrecovered} from before still to be taken up");
        }
        text
    }
}
