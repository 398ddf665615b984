//! Blocking queries: what is asked, and what the head of an answer does to the next question.
use crate::Millis;
use std::fmt::Write;

/// Consul holds a query up to a sixteenth longer than it was asked to, so that all do not end at once.
const JITTER_PART: f64 = 1.0 / 16.0;
/// What an answer may take beside the wait.
const WAY: Millis = 3000.0;
const FIRST_RETRY: Millis = 250.0;
const MOST_DOUBLINGS: u32 = 8;

/// Which view of the cluster is good enough.
#[derive(Clone, Copy, PartialEq, Eq, Debug, Default)]
pub enum Consistency {
    #[default]
    Default,
    /// Any server answers, also one without a leader.
    Stale,
    /// The leader makes sure of itself first.
    Consistent,
}

/// What is watched.
#[derive(Clone, PartialEq, Debug, Default)]
pub struct Watched {
    pub service: String,
    /// The agent's own where there is none.
    pub datacenter: Option<String>,
    pub namespace: Option<String>,
    /// An expression that the agent filters by.
    pub filter: Option<String>,
    pub consistency: Consistency,
}

/// Waits and bounds of a watch.
#[derive(Clone, Copy, PartialEq, Debug)]
pub struct Pace {
    /// How long an agent may hold a question while nothing changes.
    pub wait: Millis,
    /// The longest between two tries that fail.
    pub longest_retry: Millis,
    /// Between two questions that are answered, so that a list that changes all the time is not asked for
    /// without pause.
    pub least_between: Millis,
    /// A stale answer that is older is none.
    pub oldest_contact: Millis,
}

impl Default for Pace {
    fn default() -> Self {
        Pace { wait: 10_000.0, longest_retry: 10_000.0, least_between: 50.0, oldest_contact: 10_000.0 }
    }
}

/// Why an answer is not used; the list stays as it was.
#[derive(Clone, PartialEq, Debug, thiserror::Error)]
pub enum Refused {
    #[error("status {0}")]
    Status(u16),
    #[error("it has no leader")]
    NoLeader,
    #[error("its view is {0:.0} ms old")]
    Old(Millis),
    #[error("its view, at index {0}, is behind one at {1} that is known")]
    Behind(u64, u64),
    #[error("it has no usable X-Consul-Index")]
    NoIndex,
    #[error("{0}")]
    Body(#[from] crate::health::Unusable),
}

/// What the head of an answer says.
#[derive(Clone, Copy, PartialEq, Debug, Default)]
pub struct Head<'a> {
    pub status: u16,
    pub index: Option<&'a str>,
    pub known_leader: Option<&'a str>,
    /// In milliseconds, as text.
    pub last_contact: Option<&'a str>,
}

/// One watch: the index that it waits on, and how often it failed in a row.
#[derive(Clone, PartialEq, Debug)]
pub struct Blocking {
    watched: Watched,
    pace: Pace,
    index: u64,
    failures: u32,
    /// The highest index whose answer was used, and how many answers in a row were behind it.
    highest: u64,
    behind: u32,
    /// So many may be, one for each agent, before the indices are taken for a new count.
    agents: u32,
}

fn escaped(text: &str) -> String {
    let mut out = String::new();
    for byte in text.bytes() {
        match byte {
            b'A'..=b'Z' | b'a'..=b'z' | b'0'..=b'9' | b'-' | b'_' | b'.' | b'~' => out.push(byte as char),
            _ => _ = write!(out, "%{byte:02X}"),
        }
    }
    out
}

impl Blocking {
    /// A watch over so many agents.
    pub fn new(watched: Watched, pace: Pace, agents: u32) -> Self {
        Blocking { watched, pace, index: 0, failures: 0, highest: 0, behind: 0, agents }
    }

    pub fn watched(&self) -> &Watched {
        &self.watched
    }

    /// 0 before the first answer, and after a reset.
    pub fn index(&self) -> u64 {
        self.index
    }

    pub fn failures(&self) -> u32 {
        self.failures
    }

    /// Path and query of the next question.
    pub fn target(&self) -> String {
        let w = &self.watched;
        let mut target = format!("/v1/health/service/{}?index={}", escaped(&w.service), self.index);
        if self.index > 0 {
            let _ = write!(target, "&wait={:.0}ms", self.pace.wait);
        }
        for (name, value) in [("dc", &w.datacenter), ("ns", &w.namespace), ("filter", &w.filter)] {
            if let Some(value) = value {
                let _ = write!(target, "&{name}={}", escaped(value));
            }
        }
        match w.consistency {
            Consistency::Default => {}
            Consistency::Stale => target += "&stale",
            Consistency::Consistent => target += "&consistent",
        }
        target
    }

    /// How long the whole call may take; longer than the agent may hold it.
    pub fn deadline(&self) -> Millis {
        let held = if self.index > 0 { self.pace.wait * (1.0 + JITTER_PART) } else { 0.0 };
        held + WAY
    }

    /// Whether the answer may be used: looked at before its body is. One that is behind what is known could
    /// bring back an executor that drains, so it is not used before all agents are behind.
    ///
    /// # Errors
    /// Why it may not.
    pub fn check(&mut self, head: &Head) -> Result<(), Refused> {
        if head.status != 200 {
            // The documentation promises no status for a lost leader; agents answer 500.
            let lost = head.known_leader == Some("false");
            return Err(if lost { Refused::NoLeader } else { Refused::Status(head.status) });
        }
        if head.known_leader == Some("false") {
            return Err(Refused::NoLeader);
        }
        let age = head.last_contact.and_then(|text| text.parse::<f64>().ok()).unwrap_or(0.0);
        if age > self.pace.oldest_contact {
            return Err(Refused::Old(age));
        }
        let index = head.index.and_then(|text| text.parse::<u64>().ok()).ok_or(Refused::NoIndex)?;
        if index < self.highest && self.behind < self.agents {
            self.behind += 1;
            return Err(Refused::Behind(index, self.highest));
        }
        Ok(())
    }

    /// The answer was used: what the next question waits on, and how long to wait before it is asked. An
    /// index that went backwards is forgotten; one of 0 counts as 1, so that the next question does wait.
    pub fn answered(&mut self, head: &Head) -> Millis {
        let index = head.index.and_then(|text| text.parse::<u64>().ok()).unwrap_or(0).max(1);
        self.index = if index < self.index { 0 } else { index };
        (self.failures, self.highest, self.behind) = (0, index, 0);
        self.pace.least_between
    }

    /// The call failed: how long to wait before the next one; `chance` in 0..1 spreads many nodes.
    pub fn failed(&mut self, chance: f64) -> Millis {
        let wait = FIRST_RETRY * f64::powi(2.0, self.failures.min(MOST_DOUBLINGS) as i32);
        self.failures = self.failures.saturating_add(1);
        wait.min(self.pace.longest_retry) * (0.5 + 0.5 * chance.clamp(0.0, 1.0))
    }

    /// Another agent is asked from now on; its indices may count otherwise.
    pub fn moved(&mut self) {
        self.index = 0;
    }
}
