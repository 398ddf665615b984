//! What two processes of one node tell each other while both run: one JSON object a line. Without I/O.
//!
//! The first line of each side is [`Message::Hello`] with the number of the form. A message that is not known is
//! passed over, so a later release may say more in the same form; one that says something otherwise has another
//! form. Names on the wire are those of the first release that spoke it.
use crate::protocol::EndpointEntry;
use serde::{Deserialize, Serialize};
use std::collections::BTreeSet;
use troutknot::{DecayingScore, Millis, ObservedMean, WarmUpDispatch};

/// The form that this release speaks.
pub const FORM: u32 = 1;
/// The longest line.
pub const MAX_LINE_BYTES: usize = 256 * 1024;
/// How many of anything go into one line.
const ITEMS_PER_LINE: usize = 200;

/// Why a line, or all that was told, cannot be used.
#[derive(Clone, PartialEq, Debug, thiserror::Error)]
pub enum CodecError {
    #[error("no message of form {FORM}: {0}")]
    Malformed(String),
    #[error("it speaks form {0}, this release {FORM}")]
    Form(u32),
    #[error("it is node `{0}`")]
    OtherNode(String),
    #[error("it does not say which form it speaks")]
    NoHello,
    #[error("{0} stands where a figure of 0 or more does")]
    BadFigure(f64),
    #[error("it tells nothing of work")]
    NoRunningTimes,
    #[error("it tells {count} of something, at most {limit} are kept in mind")]
    TooMany { count: usize, limit: usize },
}

/// One line.
#[derive(Serialize, Deserialize, Clone, Debug, PartialEq)]
#[serde(tag = "say", rename_all = "kebab-case")]
pub enum Message {
    /// The first of each side, by the node's name.
    Hello { form: u32, name: String },
    /// Executors that operators excluded.
    #[serde(rename = "out")]
    Excluded { executors: Vec<String> },
    /// Whether operators drained the node; the other one's word for it, to be answered by
    /// [`Message::Acknowledged`].
    Drained { drained: bool, number: u64 },
    /// Executors as the list says, a part of it, and its version where its source counts them.
    List { version: Option<u64>, entries: Vec<EndpointEntry> },
    /// Tokens of ids of requests that were taken lately.
    Ids { ids: Vec<u64> },
    /// What is known of executors.
    Executors { executors: Vec<ExecutorState> },
    /// And of running times.
    #[serde(rename = "work")]
    RunningTimes(RunningTimes),
    /// The older one has told all that the newer one begins with.
    #[serde(rename = "told")]
    Complete,
    /// The newer one takes clients from now on.
    Ready,
    /// An operator excluded an executor, or let it serve again.
    #[serde(rename = "leave-out")]
    SetExcluded {
        executor: String,
        #[serde(rename = "out")]
        is_excluded: bool,
        number: u64,
    },
    /// What the other one asked for under this number holds here.
    #[serde(rename = "done")]
    Acknowledged { number: u64 },
    /// What a process has open, of what both may have together.
    #[serde(rename = "holds")]
    Usage(Usage),
    /// The older one was asked to end.
    Leaving,
    /// Of a later release.
    #[serde(other)]
    Other,
}

/// A score and when it was set, a pair on the wire.
#[derive(Serialize, Deserialize, Clone, Copy, Debug, PartialEq, Default)]
#[serde(from = "(f64, Millis)", into = "(f64, Millis)")]
pub struct Score(pub DecayingScore);

impl From<(f64, Millis)> for Score {
    fn from((value, set_at): (f64, Millis)) -> Self {
        Score(DecayingScore { value, set_at })
    }
}

impl From<Score> for (f64, Millis) {
    fn from(Score(score): Score) -> Self {
        (score.value, score.set_at)
    }
}

/// When something was dispatched and how many slot-milliseconds of a warm-up budget it took, a pair on the wire.
#[derive(Serialize, Deserialize, Clone, Copy, Debug, PartialEq)]
#[serde(from = "(Millis, f64)", into = "(Millis, f64)")]
pub struct Spent(pub WarmUpDispatch);

impl From<(Millis, f64)> for Spent {
    fn from((at, work): (Millis, f64)) -> Self {
        Spent(WarmUpDispatch { at, work })
    }
}

impl From<Spent> for (Millis, f64) {
    fn from(Spent(spent): Spent) -> Self {
        (spent.at, spent.work)
    }
}

/// What is known of one executor; times are Unix times in milliseconds.
#[derive(Serialize, Deserialize, Clone, Debug, PartialEq)]
pub struct ExecutorState {
    pub id: String,
    #[serde(rename = "failed")]
    pub failure_score: Score,
    #[serde(rename = "judged")]
    pub observations: Score,
    #[serde(rename = "slots")]
    pub max_slots: f64,
    /// What of its warm-up budget is spent.
    #[serde(rename = "cold_spent")]
    pub warm_up_spent: Vec<Spent>,
}

impl ExecutorState {
    fn figures(&self) -> impl Iterator<Item = f64> {
        let (score, observations) = (self.failure_score.0, self.observations.0);
        let spent = self.warm_up_spent.iter().flat_map(|Spent(spent)| [spent.at, spent.work]);
        [score.value, score.set_at, observations.value, observations.set_at, self.max_slots]
            .into_iter()
            .chain(spent)
    }
}

/// The running times of one class, a triple on the wire.
#[derive(Serialize, Deserialize, Clone, Debug, PartialEq)]
#[serde(from = "(String, Millis, f64)", into = "(String, Millis, f64)")]
pub struct ClassRunningTime {
    pub class: String,
    pub time: ObservedMean,
}

impl From<(String, Millis, f64)> for ClassRunningTime {
    fn from((class, mean, observations): (String, Millis, f64)) -> Self {
        ClassRunningTime { class, time: ObservedMean { mean, observations } }
    }
}

impl From<ClassRunningTime> for (String, Millis, f64) {
    fn from(ClassRunningTime { class, time }: ClassRunningTime) -> Self {
        (class, time.mean, time.observations)
    }
}

/// What is known of running times and probes.
#[derive(Serialize, Deserialize, Clone, Debug, PartialEq, Default)]
pub struct RunningTimes {
    #[serde(rename = "types")]
    pub classes: Vec<ClassRunningTime>,
    #[serde(rename = "mean_run")]
    pub mean_running_time: Millis,
    #[serde(rename = "waiting_share")]
    pub busy_probe_ratio: Option<f64>,
    #[serde(rename = "lag")]
    pub probe_latency: Option<Millis>,
    #[serde(rename = "draws")]
    pub sample_size: u32,
}

impl RunningTimes {
    fn figures(&self) -> impl Iterator<Item = f64> {
        let of_classes = self.classes.iter().flat_map(|class| [class.time.mean, class.time.observations]);
        let general = [Some(self.mean_running_time), self.busy_probe_ratio, self.probe_latency];
        of_classes.chain(general.into_iter().flatten())
    }
}

/// What a process has open, in counts and bytes.
#[derive(Serialize, Deserialize, Clone, Copy, Debug, PartialEq, Default)]
pub struct Usage {
    pub clients: usize,
    pub executors: usize,
    pub bytes: usize,
    /// In clients' rings beyond their first size, and for bodies on their way; an earlier release says neither.
    #[serde(default)]
    pub rings: usize,
    #[serde(default)]
    pub slow_bodies: usize,
}

/// What does not fit into one line goes into several; at least one.
pub fn in_lines<T: Clone>(all: &[T], message: impl Fn(Vec<T>) -> Message) -> Vec<Message> {
    if all.is_empty() {
        return vec![message(Vec::new())];
    }
    all.chunks(ITEMS_PER_LINE).map(|part| message(part.to_vec())).collect()
}

/// # Errors
/// Why a line is no message.
pub fn read(line: &[u8]) -> Result<Message, CodecError> {
    serde_json::from_slice(line).map_err(|error| CodecError::Malformed(error.to_string()))
}

/// The line of a message, with its end.
pub fn write(message: &Message) -> Vec<u8> {
    let mut line = serde_json::to_vec(message).unwrap_or_default();
    line.push(b'\n');
    line
}

/// How much is taken over at most.
#[derive(Clone, Copy)]
pub struct Bounds {
    pub executors: usize,
    pub ids: usize,
}

/// What a process begins with that follows another.
#[derive(Default, Debug, PartialEq)]
pub struct Inherited {
    has_greeted: bool,
    pub excluded: BTreeSet<String>,
    pub is_drained: bool,
    pub version: Option<u64>,
    pub entries: Vec<EndpointEntry>,
    pub ids: Vec<u64>,
    pub executors: Vec<ExecutorState>,
    pub running_times: Option<RunningTimes>,
}

impl Inherited {
    /// Takes the next message; true with the last.
    ///
    /// # Errors
    /// Nothing of what was told may then be used.
    pub fn take(&mut self, message: Message, name: &str, bounds: Bounds) -> Result<bool, CodecError> {
        if !self.has_greeted {
            return self.greet(message, name).map(|()| false);
        }
        match message {
            Message::Excluded { executors } => self.excluded.extend(executors),
            Message::Drained { drained, .. } => self.is_drained = drained,
            Message::List { version, entries } => {
                self.version = version;
                self.entries.extend(entries);
            }
            Message::Ids { ids } => self.ids.extend(ids),
            Message::Executors { executors } => {
                executors.iter().flat_map(ExecutorState::figures).try_for_each(check_figure)?;
                self.executors.extend(executors);
            }
            Message::RunningTimes(times) => {
                times.figures().try_for_each(check_figure)?;
                self.running_times = Some(times);
            }
            // What changed while it was telling.
            Message::SetExcluded { executor, is_excluded: true, .. } => _ = self.excluded.insert(executor),
            Message::SetExcluded { executor, is_excluded: false, .. } => _ = self.excluded.remove(&executor),
            Message::Complete if self.running_times.is_none() => return Err(CodecError::NoRunningTimes),
            Message::Complete => return Ok(true),
            _ => {}
        }
        self.check_bounds(bounds).map(|()| false)
    }

    fn greet(&mut self, message: Message, name: &str) -> Result<(), CodecError> {
        match message {
            Message::Hello { form, .. } if form > FORM => Err(CodecError::Form(form)),
            Message::Hello { name: other, .. } if other != name => Err(CodecError::OtherNode(other)),
            Message::Hello { .. } => {
                self.has_greeted = true;
                Ok(())
            }
            _ => Err(CodecError::NoHello),
        }
    }

    fn check_bounds(&self, bounds: Bounds) -> Result<(), CodecError> {
        let counts = [
            (self.excluded.len(), bounds.executors),
            (self.entries.len(), bounds.executors),
            (self.ids.len(), bounds.ids),
            (self.executors.len(), bounds.executors),
        ];
        match counts.into_iter().find(|(count, limit)| count > limit) {
            Some((count, limit)) => Err(CodecError::TooMany { count, limit }),
            None => Ok(()),
        }
    }
}

fn check_figure(figure: f64) -> Result<(), CodecError> {
    if figure.is_finite() && figure >= 0.0 { Ok(()) } else { Err(CodecError::BadFigure(figure)) }
}

#[cfg(test)]
#[path = "../../tests/unit/hot_restart_codec.rs"]
mod tests;
