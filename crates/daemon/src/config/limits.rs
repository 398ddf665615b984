//! Sizes, counts and times that the node keeps to. They are filled once, at start, and handed down.
use crate::ring_buffer::FIRST;
use std::cell::Cell;
use std::time::Duration;

/// What the deployment states, from which the rest follows.
#[derive(Clone, Default)]
pub struct LimitInputs {
    pub memory_mb: u64,
    pub sockets: u64,
    pub connect_wait: Option<Duration>,
    pub executors_idle: Option<Duration>,
    pub drain_grace: Option<Duration>,
    /// The longest hard limit of any project type.
    pub longest: Duration,
    /// Whether the list comes from Consul: its answers are large, and more is kept of each executor.
    pub consul: bool,
    /// Whether the clients' socket is passed on: two processes share the limits at times.
    pub passed: bool,
    /// Whether work units are taken durably: what is on record is kept in mind.
    pub durable: bool,
}

/// Times that follow from the settings, and from new ones.
#[derive(Clone, Copy, Debug)]
pub struct ShutdownTimeouts {
    /// The longest that a work unit may be open.
    pub longest: Duration,
    pub connect_wait: Duration,
    pub probe_wait: Duration,
    /// A pooled connection is not used again after it stood idle for so long.
    pub retire_after: Duration,
    /// An executor that drains or is gone is sent nothing that was decided before from then on.
    pub drain_wait: Duration,
    /// After the signal to end: until then all goes on as before, then idle connections close; what is out
    /// is cut; what is still open is answered.
    pub linger: Duration,
    pub cut_after: Duration,
    pub end_after: Duration,
}

impl ShutdownTimeouts {
    pub fn of(stated: &LimitInputs) -> Self {
        let part = |whole: Duration, of: f64| whole.mul_f64(of);
        let connect_wait = stated.connect_wait.unwrap_or(Duration::from_secs(1));
        let most = stated.longest.min(MOST_TO_END);
        let ms = Duration::from_millis;
        // New connections come for up to 400 ms more. Guards against clients without a way in: they go on using
        // what they have open, so it stays open for as long as what comes over it may be answered. Where limits
        // are short there is less time, as all three have to come in their order before the node is killed.
        let linger = most.max(ms(650)).min(most + ms(300));
        ShutdownTimeouts {
            longest: stated.longest,
            connect_wait,
            probe_wait: connect_wait,
            retire_after: part(stated.executors_idle.unwrap_or(Duration::from_secs(1)), 0.7),
            drain_wait: part(stated.drain_grace.unwrap_or_default(), 0.5),
            linger,
            // A node that is asked to end has the longest limit, or three seconds, and 700 ms more.
            cut_after: (most + ms(200)).max(linger + ms(100)),
            end_after: most + ms(500),
        }
    }
}

#[derive(Debug)]
pub struct Limits {
    times: Cell<ShutdownTimeouts>,
    /// Each ring buffer; a message's head must fit in one.
    pub ring: usize,
    /// What the clients' rings hold beyond their first size, all together.
    pub client_rings: usize,
    pub body: usize,
    /// Bodies of clients that do not come whole with their heads; so many at once.
    pub slow_bodies: usize,
    /// What clients sent for open work units, all together.
    pub held_bytes: usize,
    /// Durable work units on record, where there are any.
    pub durable: usize,
    /// One whole list, or one of changes, and what of it is held as text: entries are taken as they come.
    pub list_line: usize,
    pub list_text: usize,
    /// One answer of Consul, where it is followed.
    pub list_answer: usize,
    /// Executors that are kept, those that are gone or lost their place and are not released yet included, and
    /// those without these.
    pub registered: usize,
    pub known: usize,
    /// Entries that are held of executors that are left out, and all entries of one list together.
    pub left_out: usize,
    pub listed: usize,
    /// Client connections that are served; so many more are accepted only to be told that the node is full.
    pub clients: usize,
    pub turned_away: usize,
    /// Connections that may wait to be accepted. Guards against bursts: past it, they come up a second late.
    pub backlog: u32,
    /// Operators' connections, out of the spare descriptors.
    pub callers: usize,
    pub call_ring: usize,
    /// Connections to executors; a sixteenth is kept for probes.
    pub executors: usize,
    /// Events that may wait for the driver.
    pub events: usize,
    /// Ids of work units that are over and still kept in mind, half of them at least.
    pub past_ids: usize,
    /// How long a request may take to come, the first one from the connection on, and an answer to be taken.
    pub client_wait: Duration,
    pub client_idle: Duration,
    /// To make room, no connection is closed sooner after it came, and none that a work unit came over sooner
    /// after its last answer.
    pub fresh_settle: Duration,
    pub client_settle: Duration,
    /// How long an operator's call may take to hold; its caller waits a second.
    pub call_wait: Duration,
    /// How long after a drain by hand idle connections close and work is deferred: the front has stopped
    /// sending, and what was under way has come.
    pub drain_settle: Duration,
    /// How soon a client that the node has no room for may come back.
    pub full_come_back: Duration,
    /// The same for one that sent what cannot be taken.
    pub bad_come_back: Duration,
    /// Of what still comes after such a request so much is read.
    pub scrap: usize,
    /// A node that was not run for longer has stood still, and what it knows may be old.
    pub standstill: Duration,
    /// How long after a work unit's result the end of the answer may take, for the connection to be kept.
    pub tail_wait: Duration,
    /// How long after an answer a second one to the same allocation may come.
    pub second_answer: Duration,
    /// How much sooner than the client gives up a work unit's limit is set, and its last answer sent.
    pub answer_margin: Duration,
    pub last_answer_margin: Duration,
    /// The list is taken for broken off when it says nothing for so long.
    pub list_silence: Duration,
    /// How long a watch of the list may take to come up, up to its head: whoever serves it answers at once.
    pub list_opening: Duration,
    /// How long after the node's start work waits for the list, which who is well gives at once.
    pub first_list: Duration,
    /// The node serves by the list it held before when no newer one has come by then.
    pub ready_wait: Duration,
    /// For the last answers to be written.
    pub last_words: Duration,
}

/// Descriptors kept free for the log, the runtime, discovery and probes.
const SPARE: u64 = 24;

/// Of these, what operators' connections may take.
const CALLERS: usize = 12;

/// Log lines that may wait to be written; more are dropped. The log starts before a node is told anything.
pub const LOG_LINES: usize = 1024;

/// What is kept in mind of a durable work unit; its row in the map, its id and key, an allocation or two.
pub const DURABLE_BYTES: usize = 800;

/// The longest between two calls for the list. A change counts as told 6 s after discovery can be reached again, and
/// of that a call that was under way may take an opening in vain.
pub const LIST_ASKED_WITHIN: Duration = Duration::from_secs(3);

/// The part of the stated memory that is given out; the rest is for the program itself and for gaps.
const USED_SHARE: f64 = 0.9;

/// What one executor that is kept takes, the reading of a whole new list of all of them included. Measured in a
/// real process (`examples/fleet_memory.rs`): 1,105 bytes each at the peak, with names and addresses of up to 24
/// bytes; longer ones take their length more.
pub const EXECUTOR_BYTES: usize = 1_200;

/// What one takes that is gone or lost its place, and is not released yet; a part of those kept may be so.
pub const RELEASED_BYTES: usize = 960;
const RELEASED_PART: usize = 16;

/// What the entry of one that is left out takes; so many are held for each one kept.
pub const LEFT_OUT_BYTES: usize = 600;
const LEFT_OUT_PART: usize = 4;

/// What Consul's part of the node holds of an executor beside that and the text of its answer. Measured likewise:
/// 2,812 bytes each at the peak in all, with 726 bytes each in the answer.
pub const CONSUL_MEMBER_BYTES: usize = 960;

/// What is kept in mind of an id that is over.
const PAST_ID_BYTES: usize = 24;

/// No list is longer.
const MOST_LIST: usize = 64 * 1024 * 1024;

const MOST_TO_END: Duration = Duration::from_secs(3);

impl Limits {
    pub fn times(&self) -> ShutdownTimeouts {
        self.times.get()
    }

    /// What new settings state; sizes and counts stay as they were at the start.
    pub fn retune(&self, stated: &LimitInputs) {
        self.times.set(ShutdownTimeouts::of(stated));
    }

    pub fn of(stated: &LimitInputs) -> Self {
        let spare = if stated.passed { 2 * SPARE } else { SPARE };
        let sockets = stated.sockets.clamp(64, 1 << 20) - spare;
        let memory = stated.memory_mb.clamp(16, 1 << 20) as usize * 1024 * 1024;
        let ring = 16 * 1024;
        let body = 64 * 1024;
        let connections = (sockets as usize).min(memory / 12 / (2 * FIRST));
        let turned_away = (connections / 16).max(2);
        // Clients that wait for an answer and those that only hold a connection share the rest.
        // Where Consul's answers need room, work has less of it.
        let of =
            |usual: usize, beside_consul: usize| memory / if stated.consul { beside_consul } else { usual };
        // Two processes at once keep the list and what is known of executors twice, and all else between them.
        let slow_bodies = match (stated.passed, stated.consul || stated.durable) {
            (false, _) => memory / 20,
            (true, false) => memory / 22,
            (true, true) => memory / 40,
        };
        let an_answer = if stated.passed { 16 } else { 9 };
        let executors = (connections / 3).min(2 * of(9, 16) / (2 * body)).max(2);
        let clients = connections - turned_away - executors;
        let list_line = (memory / 16).min(MOST_LIST);
        let mut limits = Limits {
            times: Cell::new(ShutdownTimeouts::of(stated)),
            ring,
            client_rings: memory / 16,
            body,
            slow_bodies: slow_bodies / body,
            // Beside another process of this node what each keeps in mind is there twice.
            held_bytes: if stated.durable || stated.passed { of(12, 18) } else { of(8, 12) },
            durable: memory / 14 / DURABLE_BYTES,
            list_line,
            list_text: list_line / 16,
            list_answer: (memory / an_answer).min(12 * 1024 * 1024),
            registered: 0,
            known: 0,
            left_out: 0,
            listed: 0,
            clients,
            turned_away,
            backlog: 1024,
            callers: CALLERS,
            call_ring: 2 * FIRST,
            executors,
            events: 4096,
            past_ids: memory / 4096,
            client_wait: Duration::from_secs(2),
            client_idle: Duration::from_secs(120),
            fresh_settle: Duration::from_millis(150),
            client_settle: Duration::from_secs(1),
            call_wait: Duration::from_millis(500),
            drain_settle: Duration::from_millis(1000),
            full_come_back: Duration::from_millis(50),
            bad_come_back: Duration::from_secs(1),
            scrap: 64 * 1024,
            standstill: Duration::from_millis(100),
            tail_wait: Duration::from_millis(100),
            second_answer: Duration::from_millis(50),
            answer_margin: Duration::from_millis(25),
            last_answer_margin: Duration::from_millis(8),
            // Discovery says something every 2 s.
            list_silence: Duration::from_millis(2600),
            // What falls silent counts as told after 6 s: the silence, and an opening in vain. A source with too
            // many calls takes up to 2 s for one before it turns it away.
            list_opening: Duration::from_millis(2200),
            first_list: Duration::from_millis(150),
            ready_wait: Duration::from_secs(1),
            last_words: Duration::from_millis(100),
        };
        limits.share_out(memory, stated);
        limits
    }

    /// Gives executors the memory that nothing else may take.
    fn share_out(&mut self, memory: usize, stated: &LimitInputs) {
        let processes = if stated.passed { 2 } else { 1 };
        let may_be_taken = (memory as f64 * USED_SHARE) as usize;
        let for_executors = may_be_taken.saturating_sub(self.bytes_beside_executors(stated)) / processes;
        let kept_and_released = EXECUTOR_BYTES + RELEASED_BYTES / RELEASED_PART;
        if stated.consul {
            // Consul's own part leaves out what is over its bound, and tells no more than is kept.
            self.known = for_executors / (kept_and_released + CONSUL_MEMBER_BYTES);
        } else {
            self.known = for_executors / (kept_and_released + LEFT_OUT_BYTES / LEFT_OUT_PART);
            self.left_out = self.known / LEFT_OUT_PART;
        }
        self.registered = self.known + self.known / RELEASED_PART;
        self.listed = self.known + self.left_out;
    }

    /// The most that all but executors may take.
    fn bytes_beside_executors(&self, stated: &LimitInputs) -> usize {
        let bodies = self.held_bytes + 2 * self.slow_bodies * self.body + 2 * self.executors * self.body;
        let clients_rings = self.clients * 2 * FIRST + self.client_rings;
        let rings = clients_rings + self.executors * self.ring * 2;
        let list = if stated.consul { self.list_answer } else { self.list_text };
        // What each of two processes has of its own; the ledger is held by one of them.
        let own = self.past_ids * PAST_ID_BYTES
            + self.callers * self.call_ring * 2
            + self.turned_away * 2 * FIRST
            + list;
        let ledger = if stated.durable { self.durable * DURABLE_BYTES } else { 0 };
        bodies + rings + ledger + if stated.passed { 2 * own } else { own }
    }
}

#[cfg(test)]
#[path = "../../tests/unit/limits.rs"]
mod tests;
