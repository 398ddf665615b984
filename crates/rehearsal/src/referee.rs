//! Judges a day by what clients, executors and discovery saw on the sockets, and by nothing else.
//!
//! Each breach of one of the four rules is named, with the work unit, the executor and the times. Times are in
//! milliseconds since the record's start.
use crate::scenario::{Effect, RepeatScope};
use serde::Serialize;
use std::collections::{BTreeMap, HashMap};
use troutknot_emulator::observed::{AllocNumber, ExecutorNumber, Listed, NodeNumber, Seen};
use troutknot_emulator::{End, Machine, Millis};

/// What the referee is told ahead: the figures of the rules and of the world, and what was asked.
pub struct Facts {
    pub seed: u64,
    pub drain_grace: Millis,
    pub told_at_latest: Millis,
    pub most_allocations: usize,
    pub slack: Millis,
    pub cold_share: f64,
    pub ramp: Millis,
    pub fall_multiple: f64,
    pub fall_window: Millis,
    pub types: Vec<TypeFacts>,
    pub executors: Vec<ExecutorFacts>,
    /// By their numbers in the plan.
    pub requests: Vec<RequestFacts>,
    /// When the day began.
    pub began: Millis,
}

pub struct TypeFacts {
    pub name: String,
    pub effect: Effect,
    /// Whether clients ask with a key, again and again until they are answered.
    pub keyed: bool,
    pub scope: RepeatScope,
    pub window: Millis,
    pub hard_limit: Millis,
    pub promised_turnaround: Millis,
    pub credit: f64,
}

pub struct ExecutorFacts {
    pub name: String,
    pub machine: Machine,
    /// Executors of one place or group know each other's receipts.
    pub place: u32,
    pub group: u32,
    /// Whether its first start counts as cold.
    pub cold_at_first: bool,
}

pub struct RequestFacts {
    pub project_type: usize,
    /// When it was due, into the day.
    pub at: Millis,
}

/// A rule that was broken.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Breach {
    /// 1 to 4.
    pub rule: u8,
    /// What kind of breach, the same word for the same kind.
    pub name: &'static str,
    pub at: Millis,
    pub what: String,
}

/// How requests of one project type, or all, fared.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct Tally {
    pub requests: usize,
    pub completed: usize,
    pub in_time: usize,
    pub deferred: usize,
    pub aborted: usize,
    /// Ended without an answer, by a node that was killed or otherwise.
    pub cut: usize,
    pub left: usize,
    pub no_way_in: usize,
    pub tries: usize,
    pub allocations: usize,
    pub p50_ms: f64,
    pub p99_ms: f64,
}

#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct Verdict {
    pub breaches: Vec<Breach>,
    /// Credit answered within the promised turnaround, counted from the first try, over credit asked by
    /// clients that stayed.
    pub service: f64,
    pub all: Tally,
    pub by_type: BTreeMap<String, Tally>,
    pub fell_over: usize,
    /// The longest from when a node counted as told that an executor drains or is gone to a send.
    pub longest_after_told_ms: f64,
    /// The most of any cold budget that was used, as a share of it.
    pub cold_budget_used: f64,
}

struct Try {
    request: usize,
    node: NodeNumber,
    sent: Millis,
    answered: Option<(Millis, u16, bool)>,
    left: Option<Millis>,
    cut: Option<(Millis, bool)>,
    allocs: Vec<AllocNumber>,
}

struct Alloc {
    id: Box<str>,
    executor: ExecutorNumber,
    first_byte: Millis,
    received: Millis,
    slots: f64,
    work: Millis,
    /// Known not to have run, from then on.
    never_ran: Option<Millis>,
    started: Option<Millis>,
    done: bool,
    /// Answered, broken or given up, whichever came first.
    over: Option<Millis>,
}

#[derive(Default)]
struct Sifted {
    tries: BTreeMap<Box<str>, Try>,
    allocs: BTreeMap<AllocNumber, Alloc>,
    /// By node and executor: when it counted as told, and whether as ready.
    told: HashMap<(NodeNumber, ExecutorNumber), Vec<(Millis, bool)>>,
    ups: BTreeMap<ExecutorNumber, Vec<Millis>>,
    downs: BTreeMap<ExecutorNumber, Vec<Millis>>,
    killed: HashMap<NodeNumber, Vec<Millis>>,
    /// By node and executor: when it was left out by hand, or let back.
    out: HashMap<(NodeNumber, ExecutorNumber), Vec<(Millis, bool)>>,
    /// By node: when it was drained by hand, or activated.
    drained: HashMap<NodeNumber, Vec<(Millis, bool)>>,
    /// Of each upgrade: its node, its begin and its end.
    upgrades: Vec<(NodeNumber, Millis, Millis)>,
    /// From when on work units may be sent so many times.
    attempts: Vec<(Millis, usize)>,
    fell: Vec<(Millis, ExecutorNumber)>,
    no_way_in: HashMap<usize, Vec<Millis>>,
    breaches: Vec<Breach>,
}

/// A node may take so long over new settings; and a drained one over taking nothing more, of its 4 s.
const SETTLED: Millis = 1200.0;
const LAST_TAKEN: Millis = 2000.0;
/// After an upgrade's end requests may still meet its doing for so long; and so many may in one upgrade.
const UPGRADE_TAIL: Millis = 300.0;
const MOST_AT_THE_DOOR: usize = 2;

/// What holds at a time, of words in order; the time since which, and the word.
fn at_time<T: Copy + PartialEq>(words: Option<&Vec<(Millis, T)>>, at: Millis) -> Option<(Millis, T)> {
    let words = words?;
    let (_, word) = *words[..words.partition_point(|(since, _)| *since <= at)].last()?;
    // The first of an unbroken run of the same.
    let run = words[..words.partition_point(|(since, _)| *since <= at)].iter().rev();
    run.take_while(|(_, same)| *same == word).last().copied()
}

impl Sifted {
    fn of(facts: &Facts, seen: &[(Millis, Seen)]) -> Self {
        let mut s = Sifted::default();
        let mut asked: HashMap<NodeNumber, Millis> = HashMap::new();
        for (at, seen) in seen {
            let at = *at;
            match seen {
                Seen::Sent { id, request, node, .. } => {
                    let fresh = Try {
                        request: *request,
                        node: *node,
                        sent: at,
                        answered: None,
                        left: None,
                        cut: None,
                        allocs: Vec::new(),
                    };
                    // Sent once more over another connection where the first was found closed unwritten.
                    s.tries.entry(id.clone()).or_insert(fresh).node = *node;
                }
                Seen::Answered { id, status, fits, .. } => {
                    if let Some(t) = s.tries.get_mut(id) {
                        t.answered.get_or_insert((at, *status, *fits));
                    }
                }
                Seen::Left { id } => {
                    if let Some(t) = s.tries.get_mut(id) {
                        t.left = Some(at);
                    }
                }
                Seen::Cut { id, reused } => {
                    if let Some(t) = s.tries.get_mut(id) {
                        t.cut = Some((at, *reused));
                    }
                }
                Seen::NoWayIn { request } => s.no_way_in.entry(*request).or_default().push(at),
                Seen::LeftOut { node, executor, out } => {
                    s.out.entry((*node, *executor)).or_default().push((at, *out));
                }
                Seen::Drained { node, drained } => s.drained.entry(*node).or_default().push((at, *drained)),
                Seen::UpgradeBegan { node } => s.upgrades.push((*node, at, f64::INFINITY)),
                Seen::UpgradeOver { node } => {
                    let last = s.upgrades.iter_mut().rev().find(|(of, ..)| of == node);
                    last.into_iter().for_each(|(_, _, end)| *end = at);
                }
                Seen::Retuned { attempts } => s.attempts.push((at, *attempts as usize)),
                Seen::CallFailed { node, status } => s.breaches.push(Breach {
                    rule: 3,
                    name: "call-failed",
                    at,
                    what: format!("node n{node} answered a call {status:?}, or not in time"),
                }),
                Seen::Health { node, status } => {
                    let drained = at_time(s.drained.get(node), at).is_some_and(|(_, drained)| drained);
                    if drained == (*status == Some(200)) {
                        let name = if drained { "ready-while-drained" } else { "not-ready-again" };
                        let what = format!("the health of node n{node} answered {status:?}");
                        s.breaches.push(Breach { rule: 1, name, at, what });
                    }
                }
                Seen::Received { executor, attempt_id: alloc, id, first_byte, slots, work } => {
                    let (executor, first_byte, slots, work) = (*executor, *first_byte, *slots, *work);
                    if let Some(t) = s.tries.get_mut(id) {
                        t.allocs.push(*alloc);
                    }
                    let made = Alloc {
                        id: id.clone(),
                        executor,
                        first_byte,
                        received: at,
                        slots,
                        work,
                        never_ran: None,
                        started: None,
                        done: false,
                        over: None,
                    };
                    s.allocs.insert(*alloc, made);
                }
                Seen::Unknown { executor, id } => s.breaches.push(Breach {
                    rule: 1,
                    name: "unknown-id",
                    at,
                    what: format!("{} got `{id}`, which no client sent", facts.executor(*executor)),
                }),
                Seen::NeverRan { attempt_id: alloc } => s.with(*alloc, |a| {
                    a.never_ran = Some(at);
                    a.over.get_or_insert(at);
                }),
                Seen::Errored { attempt_id: alloc } | Seen::GivenUp { attempt_id: alloc } => {
                    s.with(*alloc, |a| _ = a.over.get_or_insert(at));
                }
                Seen::Started { attempt_id: alloc } => s.with(*alloc, |a| a.started = Some(at)),
                Seen::Ended { attempt_id: alloc, end } => s.with(*alloc, |a| {
                    a.over.get_or_insert(at);
                    match end {
                        End::Done => a.done = true,
                        End::Returned => a.never_ran = Some(at),
                        End::Lost | End::Reset => {}
                    }
                }),
                Seen::ExecutorUp { executor } => s.ups.entry(*executor).or_default().push(at),
                Seen::ExecutorDown { executor } => s.downs.entry(*executor).or_default().push(at),
                Seen::FellOver { executor, .. } => s.fell.push((at, *executor)),
                Seen::AgentKnows { node, executor, listed } => {
                    if *listed != Listed::Ready {
                        let latest = at + facts.told_at_latest;
                        s.told.entry((*node, *executor)).or_default().push((latest, false));
                    }
                }
                Seen::Told { node, executor, listed } => {
                    let told = s.told.entry((*node, *executor)).or_default();
                    let ready = *listed == Listed::Ready;
                    if ready {
                        // What was to count as told later has been told, and more.
                        told.retain(|(told, _)| *told <= at);
                    }
                    told.push((at, ready));
                }
                Seen::NodeAsked { node } => _ = asked.insert(*node, at),
                Seen::NodeKilled { node } => {
                    // One that was asked to end, and had its time, is owed nothing.
                    if asked.remove(node).is_none() {
                        s.killed.entry(*node).or_default().push(at);
                    }
                }
                Seen::NodeEnded { node, well } => {
                    let was_asked = asked.remove(node).is_some();
                    if !was_asked || !well {
                        s.breaches.push(Breach {
                            rule: 1,
                            name: "node-crashed",
                            at,
                            what: format!(
                                "node n{node} ended by itself, {}",
                                if *well { "unasked" } else { "badly" }
                            ),
                        });
                    }
                }
                // A process that follows none has heard of no call.
                Seen::NodeStarted { node } => {
                    let of_node = s.out.iter_mut().filter(|((of, _), _)| of == node);
                    of_node.for_each(|(_, words)| words.push((at, false)));
                    s.drained.entry(*node).or_default().push((at, false));
                }
                Seen::NodeReread { .. } | Seen::TroubleBegan { .. } | Seen::TroubleOver { .. } => {}
            }
        }
        s.told.values_mut().for_each(|told| told.sort_by(|a, b| a.0.total_cmp(&b.0)));
        s
    }

    fn with(&mut self, alloc: AllocNumber, change: impl FnOnce(&mut Alloc)) {
        if let Some(alloc) = self.allocs.get_mut(&alloc) {
            change(alloc);
        }
    }

    fn of_try<'a>(&'a self, t: &'a Try) -> impl Iterator<Item = &'a Alloc> {
        t.allocs.iter().filter_map(|number| self.allocs.get(number))
    }

    /// Whether the node of a try was killed, unasked, between two times.
    fn killed(&self, node: NodeNumber, from: Millis, to: Millis) -> bool {
        self.killed.get(&node).is_some_and(|at| at.iter().any(|at| (from..=to).contains(at)))
    }
}

impl Facts {
    fn executor(&self, number: ExecutorNumber) -> &str {
        self.executors.get(number as usize).map_or("an executor that is not known", |e| &e.name)
    }

    fn type_of(&self, t: &Try) -> &TypeFacts {
        &self.types[self.requests[t.request].project_type]
    }

    /// A time as a reader of the report knows it.
    fn shown(&self, at: Millis) -> String {
        format!("{:.3} s", (at - self.began) / 1000.0)
    }

    /// Whether two executors drop each other's repeats.
    fn share_receipts(&self, scope: RepeatScope, a: ExecutorNumber, b: ExecutorNumber) -> bool {
        let (a, b) = (&self.executors[a as usize], &self.executors[b as usize]);
        match scope {
            RepeatScope::All => true,
            RepeatScope::Place => a.place == b.place,
            RepeatScope::Group => a.group == b.group,
        }
    }

    fn capacity(&self, executor: ExecutorNumber, since_start: Millis) -> f64 {
        let machine = &self.executors[executor as usize].machine;
        let warmth = self.cold_share + (1.0 - self.cold_share) * (since_start / self.ramp).clamp(0.0, 1.0);
        machine.cores.min(machine.slots) * machine.speed * warmth
    }
}

/// Judges what was seen, in the order of time.
pub fn judge(facts: &Facts, seen: &[(Millis, Seen)]) -> Verdict {
    let mut s = Sifted::of(facts, seen);
    let mut breaches = std::mem::take(&mut s.breaches);
    for (id, t) in &s.tries {
        one_answer(facts, &s, id, t, &mut breaches);
        no_second_effect(facts, &s, id, t, &mut breaches);
    }
    no_second_effect_over_tries(facts, &s, &mut breaches);
    one_answer_for_a_key(facts, &s, &mut breaches);
    let longest = nothing_after_a_drain(facts, &s, &mut breaches);
    nothing_while_out_or_drained(facts, &s, &mut breaches);
    no_gap_over_an_upgrade(facts, &s, &mut breaches);
    let used = no_cold_one_pushed_over(facts, &s, &mut breaches);
    breaches.sort_by(|a, b| a.at.total_cmp(&b.at));
    let mut verdict = count(facts, &s);
    verdict.breaches = breaches;
    verdict.fell_over = s.fell.len();
    (verdict.longest_after_told_ms, verdict.cold_budget_used) = (longest, used);
    verdict
}

/// Rule 1: one final answer before the hard limit, made by an executor where it is a result; nothing sent
/// for it after.
fn one_answer(facts: &Facts, s: &Sifted, id: &str, t: &Try, breaches: &mut Vec<Breach>) {
    let kind = facts.type_of(t);
    let limit = t.sent + kind.hard_limit + facts.slack;
    let mut broken = |name, at, what: String| {
        breaches.push(Breach { rule: 1, name, at, what: format!("{} {id}: {what}", kind.name) });
    };
    let over = match (t.answered, t.left, t.cut) {
        (Some((at, status, fits)), ..) => {
            if at > limit {
                let what = format!("answered {status} at {}, {:.0} ms late", facts.shown(at), at - limit);
                broken("late-answer", at, what);
            }
            let own = |t: &Try| s.of_try(t).any(|a| a.done);
            // With a key, another try's result is its own.
            let of_key = |other: &&Try| other.request == t.request && own(other);
            let made = || own(t) || kind.keyed && s.tries.values().any(|other| of_key(&other));
            if status == 200 && !(fits && made()) {
                broken("invented-result", at, "200 with a result that no executor made for it".into());
            }
            Some(at)
        }
        (None, Some(at), _) => Some(at),
        (None, None, Some((at, reused))) => {
            let killed = s.killed(t.node, t.sent - 1000.0, at + 100.0);
            // A close between requests may cross one that the node has not read.
            let crossed = reused && t.allocs.is_empty();
            if !(killed || crossed) {
                let what =
                    format!("n{} ended its connection at {} without an answer", t.node, facts.shown(at));
                broken("lost", at, what);
            }
            None
        }
        (None, None, None) => {
            if !s.killed(t.node, t.sent - 1000.0, limit) {
                let what =
                    format!("sent to n{} at {}, no answer by its hard limit", t.node, facts.shown(t.sent));
                broken("no-answer", limit, what);
            }
            Some(limit)
        }
    };
    for alloc in s.of_try(t) {
        if let Some(over) = over
            && alloc.first_byte > over + facts.slack
        {
            let executor = facts.executor(alloc.executor);
            let what = format!(
                "sent to {executor} at {}, though it was over at {}",
                facts.shown(alloc.first_byte),
                facts.shown(over)
            );
            broken("sent-after-final", alloc.first_byte, what);
        }
    }
}

/// Rule 2 within one try: one allocation out at a time, three at most; another, or a deferral, only where the
/// project type allows it after what went before.
fn no_second_effect(facts: &Facts, s: &Sifted, id: &str, t: &Try, breaches: &mut Vec<Breach>) {
    let kind = facts.type_of(t);
    let mut broken = |name, at, what: String| {
        breaches.push(Breach { rule: 2, name, at, what: format!("{} {id}: {what}", kind.name) });
    };
    let allocs: Vec<&Alloc> = s.of_try(t).collect();
    // What came a while before new settings may go by either.
    let in_force = |at| at_time(Some(&s.attempts), at).map_or(facts.most_allocations, |(_, most)| most);
    let most = in_force(t.sent).max(in_force(t.sent - SETTLED));
    if allocs.len() > most {
        let at = allocs[most].received;
        broken("too-many-allocations", at, format!("{} allocations", allocs.len()));
    }
    for (k, later) in allocs.iter().enumerate().skip(1) {
        for earlier in &allocs[..k] {
            let between = format!(
                "at {} to {}, after {} to {}",
                facts.shown(later.received),
                facts.executor(later.executor),
                facts.shown(earlier.received),
                facts.executor(earlier.executor)
            );
            if earlier.over.is_none_or(|over| over > later.received + facts.slack) {
                broken("two-out", later.received, format!("allocated {between}, which was still out"));
            }
            // What may have run by all that the node could know.
            if earlier.never_ran.is_some_and(|known| known <= later.received + facts.slack) {
                continue;
            }
            let allowed = match kind.effect {
                Effect::Rerunnable => true,
                Effect::Exclusive => false,
                Effect::Receipted => {
                    facts.share_receipts(kind.scope, earlier.executor, later.executor)
                        && later.received <= earlier.received + kind.window
                }
            };
            if !allowed {
                let ran =
                    if earlier.started.is_some() && later.started.is_some() { "ran twice, " } else { "" };
                broken("repeat", later.received, format!("{ran}allocated {between}, which may have run"));
            }
        }
    }
    if let Some((at, status @ (429 | 503), _)) = t.answered {
        let strict = match kind.effect {
            Effect::Rerunnable => false,
            Effect::Receipted => kind.scope != RepeatScope::All,
            Effect::Exclusive => true,
        };
        // What came after the answer is another breach.
        let may = |a: &&&Alloc| {
            a.received <= at + facts.slack && a.never_ran.is_none_or(|known| known > at + facts.slack)
        };
        if let Some(alloc) = allocs.iter().find(may).filter(|_| strict) {
            let executor = facts.executor(alloc.executor);
            let what = format!("answered {status} at {}, though {executor} may have run it", facts.shown(at));
            broken("deferred-may-have-run", at, what);
        }
    }
}

/// Rule 2 over the tries of a request: clients try exclusive work again only where that was called harmless.
fn no_second_effect_over_tries(facts: &Facts, s: &Sifted, breaches: &mut Vec<Breach>) {
    let mut ran: BTreeMap<usize, Vec<&Alloc>> = BTreeMap::new();
    for t in s.tries.values().filter(|t| facts.type_of(t).effect == Effect::Exclusive) {
        ran.entry(t.request).or_default().extend(s.of_try(t).filter(|a| a.started.is_some()));
    }
    for (request, allocs) in ran {
        let ids: std::collections::BTreeSet<&str> = allocs.iter().map(|a| &*a.id).collect();
        if ids.len() > 1 {
            let at = allocs.iter().map(|a| a.received).fold(0.0, f64::max);
            let what = format!("request {request} ran as {ids:?}, each once");
            breaches.push(Breach { rule: 2, name: "second-effect", at, what });
        }
    }
}

/// What is taken durably has its one answer and its one run, over all tries with its key and whatever died.
fn one_answer_for_a_key(facts: &Facts, s: &Sifted, breaches: &mut Vec<Breach>) {
    let mut by_request: BTreeMap<usize, Vec<&Try>> = BTreeMap::new();
    for t in s.tries.values().filter(|t| facts.type_of(t).keyed) {
        by_request.entry(t.request).or_default().push(t);
    }
    for (request, mut tries) in by_request {
        tries.sort_by(|a, b| a.sent.total_cmp(&b.sent));
        let kind = facts.type_of(tries[0]);
        let mut broken = |rule, name, at, what: String| {
            breaches.push(Breach {
                rule,
                name,
                at,
                what: format!("{} request {request}: {what}", kind.name),
            });
        };
        let started: Vec<&Alloc> =
            tries.iter().flat_map(|t| s.of_try(t)).filter(|a| a.started.is_some()).collect();
        if kind.effect == Effect::Exclusive && started.len() > 1 {
            let at = started[1].received;
            broken(2, "ran-again", at, format!("started {} times", started.len()));
        }
        // Deferred is an invitation to come back; any other answer is the last one.
        let last =
            tries.iter().filter_map(|t| t.answered).find(|(_, status, _)| !matches!(status, 429 | 503));
        match last {
            Some((at, status, _)) => {
                let later = tries.iter().flat_map(|t| s.of_try(t)).find(|a| a.first_byte > at + facts.slack);
                if let Some(alloc) = later {
                    let executor = facts.executor(alloc.executor);
                    let what = format!("answered {status} at {}, sent to {executor} after", facts.shown(at));
                    broken(1, "sent-after-final", alloc.first_byte, what);
                }
            }
            None if tries.iter().all(|t| t.answered.is_none()) => {
                let at = tries.last().map_or(0.0, |t| t.sent);
                broken(1, "no-final", at, format!("asked {} times, never answered", tries.len()));
            }
            None => {}
        }
    }
}

/// Rule 3; the longest time between being told and a send.
fn nothing_after_a_drain(facts: &Facts, s: &Sifted, breaches: &mut Vec<Breach>) -> Millis {
    let mut longest = 0.0f64;
    for alloc in s.allocs.values() {
        let Some(t) = s.tries.get(&alloc.id) else { continue };
        let Some(told) = s.told.get(&(t.node, alloc.executor)) else { continue };
        let last = told.partition_point(|(at, _)| *at <= alloc.first_byte);
        // The first word of an unbroken run of them.
        let drained = told[..last].iter().rev().take_while(|(_, ready)| !ready).last();
        let Some((at, _)) = drained else { continue };
        longest = longest.max(alloc.first_byte - at);
        if alloc.first_byte > at + facts.drain_grace + facts.slack {
            let what = format!(
                "n{} sent {} to {} at {}, told at {} that it drains or is gone",
                t.node,
                alloc.id,
                facts.executor(alloc.executor),
                facts.shown(alloc.first_byte),
                facts.shown(*at)
            );
            breaches.push(Breach { rule: 3, name: "sent-to-drained", at: alloc.first_byte, what });
        }
    }
    longest
}

/// Rule 3 by hand: nothing new to an executor past the grace after the node was told to leave it out, until the
/// call back; and a drained node takes nothing.
fn nothing_while_out_or_drained(facts: &Facts, s: &Sifted, breaches: &mut Vec<Breach>) {
    for alloc in s.allocs.values() {
        let Some(t) = s.tries.get(&alloc.id) else { continue };
        let (node, at) = (t.node, alloc.first_byte);
        let shown = |since| format!("at {}, told at {}", facts.shown(at), facts.shown(since));
        if let Some((since, true)) = at_time(s.out.get(&(node, alloc.executor)), at)
            && at > since + facts.drain_grace + facts.slack
        {
            let executor = facts.executor(alloc.executor);
            let what =
                format!("n{node} sent {} to {executor}, which is out by hand, {}", alloc.id, shown(since));
            breaches.push(Breach { rule: 3, name: "sent-to-banned", at, what });
        }
        if let Some((since, true)) = at_time(s.drained.get(&node), t.sent)
            && t.sent > since + LAST_TAKEN
        {
            let what = format!("n{node}, which is drained, took {} and sent it {}", alloc.id, shown(since));
            breaches.push(Breach { rule: 1, name: "taken-while-drained", at, what });
        }
    }
}

/// Clients see one node while one process follows another.
fn no_gap_over_an_upgrade(facts: &Facts, s: &Sifted, breaches: &mut Vec<Breach>) {
    for &(node, began, end) in &s.upgrades {
        let within = |at: Millis| (began..=end + UPGRADE_TAIL).contains(&at);
        let unread = |t: &&Try| {
            t.node == node
                && t.allocs.is_empty()
                && t.answered.is_none()
                && t.cut.is_some_and(|(at, _)| within(at))
        };
        let cut = s.tries.values().filter(unread).count();
        // While a node is drained there may be none to go to.
        let drained = |at: Millis| s.drained.values().any(|w| at_time(Some(w), at).is_some_and(|(_, d)| d));
        let refused = s.no_way_in.values().flatten().filter(|at| within(**at) && !drained(**at)).count();
        if cut + refused > MOST_AT_THE_DOOR {
            let what = format!(
                "{cut} requests to n{node} were cut unread and {refused} found no way in while it was upgraded \
                 from {} to {}",
                facts.shown(began),
                facts.shown(end)
            );
            breaches.push(Breach { rule: 1, name: "ended-at-the-door", at: began, what });
        }
    }
}

/// Rule 4; the largest share of a cold budget that was used.
fn no_cold_one_pushed_over(facts: &Facts, s: &Sifted, breaches: &mut Vec<Breach>) -> f64 {
    let mut most = 0.0f64;
    let mut by_executor: BTreeMap<ExecutorNumber, Vec<&Alloc>> = BTreeMap::new();
    for alloc in s.allocs.values() {
        by_executor.entry(alloc.executor).or_default().push(alloc);
    }
    for (executor, mut allocs) in by_executor {
        allocs.sort_by(|a, b| a.received.total_cmp(&b.received));
        let ups = s.ups.get(&executor).map_or(&[][..], |ups| ups);
        for (life, &start) in ups.iter().enumerate() {
            if life == 0 && !facts.executors[executor as usize].cold_at_first {
                continue;
            }
            let end = ups.get(life + 1).copied().unwrap_or(f64::INFINITY).min(start + facts.ramp);
            let of_life: Vec<&&Alloc> =
                allocs.iter().filter(|a| (start..end).contains(&a.received)).collect();
            let (mut sum, mut from) = (0.0, 0);
            for (k, alloc) in of_life.iter().enumerate() {
                sum += alloc.slots * alloc.work;
                while of_life[from].received <= alloc.received - facts.fall_window {
                    sum -= of_life[from].slots * of_life[from].work;
                    from += 1;
                }
                let capacity = facts.capacity(executor, alloc.received - start);
                let stands = facts.fall_multiple * capacity * facts.fall_window;
                most = most.max(sum / stands);
                if sum > stands * (1.0 + 1e-6) {
                    let mut by_node: BTreeMap<NodeNumber, f64> = BTreeMap::new();
                    for sent in &of_life[from..=k] {
                        let node = s.tries.get(&sent.id).map_or(NodeNumber::MAX, |t| t.node);
                        *by_node.entry(node).or_default() += sent.slots * sent.work;
                    }
                    let by_node: Vec<String> =
                        by_node.iter().map(|(node, work)| format!("n{node} {work:.0} ms")).collect();
                    let what = format!(
                        "{} stands {stands:.0} ms of work within {:.0} ms at {}, {:.0} ms after its start; {} sent it",
                        facts.executor(executor),
                        facts.fall_window,
                        facts.shown(alloc.received),
                        alloc.received - start,
                        by_node.join(", ")
                    );
                    breaches.push(Breach { rule: 4, name: "pushed-over", at: alloc.received, what });
                    break;
                }
            }
        }
    }
    most
}

fn count(facts: &Facts, s: &Sifted) -> Verdict {
    let mut tries: Vec<Vec<&Try>> = (0..facts.requests.len()).map(|_| Vec::new()).collect();
    for t in s.tries.values() {
        tries[t.request].push(t);
    }
    let mut tallies: Vec<Tally> = facts.types.iter().map(|_| Tally::default()).collect();
    let mut took: Vec<Vec<Millis>> = facts.types.iter().map(|_| Vec::new()).collect();
    let (mut asked, mut in_time) = (0.0, 0.0);
    for (number, request) in facts.requests.iter().enumerate() {
        let kind = &facts.types[request.project_type];
        let tally = &mut tallies[request.project_type];
        tally.requests += 1;
        tally.tries += tries[number].len();
        tally.allocations += tries[number].iter().map(|t| t.allocs.len()).sum::<usize>();
        tries[number].sort_by(|a, b| a.sent.total_cmp(&b.sent));
        let due = facts.began + request.at;
        let completed = tries[number].iter().find_map(|t| t.answered.filter(|a| a.1 == 200 && a.2));
        let last = tries[number].last();
        if let Some((at, ..)) = completed {
            tally.completed += 1;
            took[request.project_type].push(at - due);
            asked += kind.credit;
            if at <= due + kind.promised_turnaround {
                tally.in_time += 1;
                in_time += kind.credit;
            }
            continue;
        }
        match last {
            Some(Try { left: Some(_), answered: None, .. }) => {
                tally.left += 1;
                continue;
            }
            Some(Try { answered: Some((_, 429 | 503, _)), .. }) => tally.deferred += 1,
            Some(Try { answered: Some(_), .. }) => tally.aborted += 1,
            Some(_) => tally.cut += 1,
            None => tally.no_way_in += 1,
        }
        asked += kind.credit;
    }
    let mut all = Tally::default();
    let mut by_type = BTreeMap::new();
    let mut every = Vec::new();
    for ((kind, tally), took) in facts.types.iter().zip(&mut tallies).zip(&mut took) {
        (tally.p50_ms, tally.p99_ms) = (quantile(took, 0.5), quantile(took, 0.99));
        every.append(&mut took.clone());
        for (sum, part) in [
            (&mut all.requests, tally.requests),
            (&mut all.completed, tally.completed),
            (&mut all.in_time, tally.in_time),
            (&mut all.deferred, tally.deferred),
            (&mut all.aborted, tally.aborted),
            (&mut all.cut, tally.cut),
            (&mut all.left, tally.left),
            (&mut all.no_way_in, tally.no_way_in),
            (&mut all.tries, tally.tries),
            (&mut all.allocations, tally.allocations),
        ] {
            *sum += part;
        }
        by_type.insert(kind.name.clone(), tally.clone());
    }
    (all.p50_ms, all.p99_ms) = (quantile(&mut every, 0.5), quantile(&mut every, 0.99));
    let service = if asked > 0.0 { in_time / asked } else { 1.0 };
    Verdict { service, all, by_type, ..Verdict::default() }
}

/// 0 where there is none.
pub fn quantile(values: &mut [f64], share: f64) -> f64 {
    values.sort_by(f64::total_cmp);
    let at = (share * (values.len().saturating_sub(1)) as f64).round() as usize;
    values.get(at).copied().unwrap_or(0.0)
}
