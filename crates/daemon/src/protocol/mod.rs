//! The words of the protocol and what they mean to the dispatcher. They end here.
use crate::http1::{self, RequestHead, ResponseHead};
use crate::in_flight::{Answer, ClientRequest};
use bytes::{Bytes, BytesMut};
use compact_str::CompactString;
use serde::{Deserialize, Serialize};
use serde_json::value::RawValue;
use serde_json::{Map, Value};
use std::cell::RefCell;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use troutknot::settings::ClassSettings;
use troutknot::*;
use troutknot_configuration::{LoadFields, ResolvedSettings, parse_load_report};
use troutknot_ledger::Fence;
use troutknot_membership::token;

const ID: &str = "Request-Id";
const TYPE: &str = "Request-Class";
const CUSTOMER: &str = "Tenant";
const PATIENCE: &str = "Request-Timeout";
const AGAIN: &str = "Client-Retry";
const FIGURES: &str = "Request-Info";
const REPORT: &str = "Server-Load";
const NEVER_RAN: &str = "Not-Started";
/// The number of an allocation among those of its work unit; an executor that knows it refuses a lower one.
const FENCE: &str = "Work-Fence";
/// How long ago the allocation was recorded that is asked for, in milliseconds.
const FENCE_AGE: &str = "Work-Fence-Age";
/// How long an executor may be silent, in milliseconds.
const LEASE: &str = "Work-Lease";
/// The state of an executor that is no longer listed.
const GONE: &str = "Gone";
const READY: &str = "Ready";
/// Stands for a deadline that is not stated, in milliseconds.
const LEAST_DEADLINE: Millis = 1.0;
/// The longest idempotency key.
const MOST_KEY: usize = 255;

pub const READY_PATH: &str = "/_health";
const PROBE_PATH: &str = "/ping";
const REPORT_PATH: &str = "/_load";
const FENCE_PATH: &str = "/_fence";
/// What is on record of a work unit, by its client's id.
pub const TELL_PATH: &str = "/_work/";
const LIST_PATH: &str = "/catalog/members";

/// Fields that concern one connection alone, or that this node writes itself.
const OWN_FIELDS: &[&str] = &[
    "connection",
    "keep-alive",
    "proxy-connection",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
    "expect",
    "content-length",
    "host",
    "request-id",
    "request-timeout",
    "work-fence",
    "work-fence-age",
    "work-lease",
];

/// The names that the settings give to numbers.
pub struct Codec {
    /// By number, all that were ever in force, and the numbers of those that are.
    project_types: Vec<String>,
    taken_types: HashMap<String, u32>,
    customers: Vec<String>,
    taken_customers: HashMap<String, u32>,
    places: Vec<String>,
    kinds: Vec<String>,
    /// Of each project type: the longest that a client waits, and what running twice would do.
    limits: Vec<Duration>,
    effects: Vec<Effect>,
    /// How often a work unit that is taken from now on may be sent.
    max_attempts: usize,
    /// Whether an allocation may be cancelled.
    cancel: bool,
    come_back_told: bool,
    longest_come_back: Millis,
    probe_path: &'static str,
}

/// What is in force now of something that operators may replace while the node runs.
pub struct Current<T>(RefCell<Rc<T>>);

impl<T> Current<T> {
    pub fn new(first: T) -> Rc<Self> {
        Rc::new(Current(RefCell::new(Rc::new(first))))
    }

    pub fn now(&self) -> Rc<T> {
        self.0.borrow().clone()
    }

    pub fn replace(&self, by: T) {
        *self.0.borrow_mut() = Rc::new(by);
    }
}

fn place_of(name: &str, names: &[String]) -> Option<u32> {
    names.iter().position(|n| n == name).map(|k| k as u32)
}

impl Codec {
    pub fn of(settings: &Map<String, Value>, resolved_settings: ResolvedSettings) -> Self {
        let ResolvedSettings { settings: resolved, classes, tenants, zones, machine_types, .. } =
            &resolved_settings;
        let deadline = |class: &ClassSettings| {
            Duration::from_secs_f64(class.deadline.unwrap_or(LEAST_DEADLINE) / 1000.0)
        };
        let in_force =
            |ids: &[u32], names: &[String]| ids.iter().map(|&id| (names[id as usize].clone(), id)).collect();
        Codec {
            limits: resolved.classes.iter().map(deadline).collect(),
            effects: resolved.classes.iter().map(|class| class.effect).collect(),
            max_attempts: resolved.limits.max_attempts.unwrap_or(1.0) as usize,
            taken_types: in_force(&resolved_settings.current_classes, classes),
            taken_customers: in_force(&resolved_settings.current_tenants, tenants),
            project_types: classes.clone(),
            customers: tenants.clone(),
            places: zones.clone(),
            kinds: machine_types.clone(),
            cancel: resolved.limits.cancel_enabled,
            come_back_told: resolved.limits.retry_after_enabled,
            longest_come_back: resolved.limits.max_retry_after.unwrap_or(f64::INFINITY),
            probe_path: if LoadFields::from_document(settings).is_empty() { PROBE_PATH } else { REPORT_PATH },
        }
    }

    /// The longest that a client may wait for anything.
    pub fn longest(&self) -> Duration {
        let limit = |number: &u32| self.limits[*number as usize];
        self.taken_types.values().map(limit).max().unwrap_or_default()
    }

    pub fn effect(&self, project_type: RequestClassId) -> Option<Effect> {
        self.effects.get(project_type.0 as usize).copied()
    }

    /// Whether what is out of such work may be broken off when nobody waits for it any more.
    pub fn may_withdraw(&self, project_type: RequestClassId) -> bool {
        self.cancel && self.effect(project_type) == Some(Effect::Idempotent)
    }

    pub fn max_attempts(&self) -> usize {
        self.max_attempts
    }

    /// Reads a work unit out of a request's head, without its body, and how long its client will wait; or
    /// the status that says what is wrong with it.
    pub fn work(&self, head: &RequestHead) -> Result<(ClientRequest, Duration), (u16, &'static str)> {
        let one = |name: &str| head.headers.one(name).map_err(|_| (400, "odd header"));
        if !head.target.bytes().all(|b| b.is_ascii_graphic()) {
            return Err((400, "odd target"));
        }
        let path = head.target.split('?').next().unwrap_or("");
        let first = path.strip_prefix('/').ok_or((400, "odd target"))?.split('/').next().unwrap_or("");
        let named = *self.taken_types.get(first).ok_or((404, "unknown path"))?;
        if one(TYPE)?.is_some_and(|said| said != first) {
            return Err((400, "header and path name two project types"));
        }
        if head.method != "POST" {
            return Err((405, "work comes by POST"));
        }
        let id =
            one(ID)?.filter(|id| (1..=64).contains(&id.len()) && id.bytes().all(|b| b.is_ascii_graphic()));
        let id = id.ok_or((400, "no id, or an odd one"))?.to_string();
        let customer = match one(CUSTOMER)? {
            Some(name) => *self.taken_customers.get(name).ok_or((400, "unknown customer"))?,
            None => 0,
        };
        let longest = self.limits[named as usize];
        let left = match one(PATIENCE)? {
            Some(text) => {
                // Guards against times that are no decimal number or absurd, which executors turn away.
                let decimal = text.bytes().all(|b| b.is_ascii_digit() || b == b'.');
                let seconds = text.parse::<f64>().ok().filter(|s| decimal && *s > 0.0 && *s < 1e6);
                longest.min(Duration::from_secs_f64(seconds.ok_or((400, "odd time to wait"))?))
            }
            None => longest,
        };
        let (mut slots, mut memory) = (1.0, 0.0);
        for (name, value) in one(FIGURES)?.unwrap_or("").split(',').filter_map(|pair| pair.split_once('=')) {
            let figure = value.trim().parse::<f64>().ok().filter(|v| (0.0..1e6).contains(v));
            match name.trim() {
                "slots" => slots = figure.ok_or((400, "odd slots"))?,
                "memory" => memory = figure.ok_or((400, "odd memory"))?,
                _ => {}
            }
        }
        let mut fields = BytesMut::new();
        http1::field(&mut fields, ID, &id);
        for (name, value) in &head.headers.0 {
            let own = OWN_FIELDS.iter().any(|own| name.eq_ignore_ascii_case(own));
            if !own && !head.headers.lists("connection", name) {
                http1::field(&mut fields, name, value);
            }
        }
        let work = ClientRequest {
            id,
            key: None,
            method: head.method.clone(),
            target: head.target.clone(),
            fields: fields.freeze(),
            body: Bytes::new(),
            class: RequestClassId(named),
            tenant: TenantId(customer),
            slots,
            memory,
            is_retry: one(AGAIN)? == Some("1"),
        };
        Ok((work, left))
    }

    /// Status, fields and body that tell a client its final answer.
    pub fn answer(&self, answer: &Answer) -> (u16, Vec<(&'static str, String)>, Bytes) {
        match answer {
            Answer::Completed(result) => (200, Vec::new(), result.clone()),
            Answer::Rejected(wait) => (503, self.come_back(*wait), Bytes::new()),
            Answer::Failed => (502, Vec::new(), Bytes::new()),
        }
    }

    /// The field that tells a client when to come back, where the settings allow that.
    pub fn come_back(&self, wait: Option<Millis>) -> Vec<(&'static str, String)> {
        let told = |w: Millis| format!("{:.3}", w.min(self.longest_come_back).max(0.0) / 1000.0);
        let wait = wait.filter(|_| self.come_back_told);
        wait.map(|w| ("Retry-After", told(w))).into_iter().collect()
    }

    /// The names of a work unit's project type and customer.
    pub fn names_of(&self, work: &ClientRequest) -> (String, String) {
        let name = |names: &[String], k: u32| names.get(k as usize).cloned().unwrap_or_default();
        (name(&self.project_types, work.class.0), name(&self.customers, work.tenant.0))
    }

    /// The names of project types by their numbers, of all that were ever taken.
    pub fn type_names(&self) -> &[String] {
        &self.project_types
    }

    /// The project types that are taken, by name.
    pub fn taken_types(&self) -> impl Iterator<Item = (&str, RequestClassId)> {
        self.taken_types.iter().map(|(name, &number)| (name.as_str(), RequestClassId(number)))
    }

    /// What such names stand for now; none where the project type is not known.
    pub fn places_of(&self, project_type: &str, customer: &str) -> Option<(RequestClassId, TenantId)> {
        let project_type = *self.taken_types.get(project_type)?;
        let customer = self.taken_customers.get(customer).copied().unwrap_or(0);
        Some((RequestClassId(project_type), TenantId(customer)))
    }

    /// The question what became of an allocation that was recorded so long ago, which from then on is refused.
    pub fn fence(&self, id: &str, fence: Fence, age: Millis, to: SocketAddr) -> BytesMut {
        let mut out = BytesMut::with_capacity(192);
        out.extend_from_slice(format!("POST {FENCE_PATH} HTTP/1.1\r\n").as_bytes());
        http1::field(&mut out, "Host", to.to_string());
        http1::field(&mut out, ID, id);
        http1::field(&mut out, FENCE, fence.0.to_string());
        http1::field(&mut out, FENCE_AGE, format!("{age:.0}"));
        http1::field(&mut out, "Content-Length", "0");
        out.extend_from_slice(b"\r\n");
        out
    }

    /// The head that hands a work unit to an executor, which hears how long this node will wait.
    pub fn allocation(
        &self,
        work: &ClientRequest,
        to: SocketAddr,
        wait: Duration,
        lease: Option<(u64, Option<Millis>)>,
    ) -> BytesMut {
        let mut out = BytesMut::with_capacity(256 + work.fields.len());
        out.extend_from_slice(format!("{} {} HTTP/1.1\r\n", work.method, work.target).as_bytes());
        http1::field(&mut out, "Host", to.to_string());
        out.extend_from_slice(&work.fields);
        http1::field(&mut out, PATIENCE, format!("{:.3}", wait.as_secs_f64()));
        if let Some((fence, span)) = lease {
            http1::field(&mut out, FENCE, fence.to_string());
            span.iter().for_each(|span| http1::field(&mut out, LEASE, format!("{span:.0}")));
        }
        http1::field(&mut out, "Content-Length", work.body.len().to_string());
        out.extend_from_slice(b"\r\n");
        out
    }

    pub fn probe(&self, to: SocketAddr) -> String {
        format!("GET {} HTTP/1.1\r\nHost: {to}\r\n\r\n", self.probe_path)
    }

    /// What an answered probe says of load; it stands in the body, or in a field.
    pub fn reading(&self, head: &ResponseHead, body: &[u8]) -> LoadReport {
        let field = head.headers.one(REPORT).ok().flatten();
        parse_load_report(
            std::str::from_utf8(body).ok().filter(|text| text.contains('=')).or(field).unwrap_or(""),
        )
    }

    pub fn watch(&self, to: SocketAddr, after: Option<u64>) -> String {
        let after = after.map_or(String::new(), |version| format!("&index={version}"));
        format!("GET {LIST_PATH}?stream=1{after} HTTP/1.1\r\nHost: {to}\r\n\r\n")
    }

    /// What an executor's listing says, but for the number that this node gives it.
    pub fn listing(&self, entry: &EndpointEntry, executor: ExecutorId) -> Endpoint {
        let place = |name: &Option<CompactString>, names| {
            name.as_ref().map_or(0, |name| place_of(name, names).unwrap_or(u32::MAX))
        };
        Endpoint {
            executor,
            token: token(&entry.id),
            zone: ZoneId(place(&entry.zone, &self.places)),
            machine_type: MachineTypeId(place(&entry.kind, &self.kinds)),
            deduplication_group: DeduplicationGroupId(entry.cell.unwrap_or(0)),
            state: match entry.state.as_str() {
                READY => EndpointState::Ready,
                GONE => EndpointState::Gone,
                // A word that is not known is taken for the one that stops new work.
                _ => EndpointState::Draining,
            },
            weight: entry.weight.unwrap_or(1.0),
            started_at: entry.started_ms.filter(|&at| at > 0.0),
        }
    }
}

/// What an executor's head alone says of an allocation: its outcome, or that it was taken.
pub fn taken(head: &ResponseHead) -> Option<Outcome> {
    let never_ran = matches!(head.headers.one(NEVER_RAN), Ok(Some("1")));
    match head.status {
        200 => None,
        503 | 504 if never_ran => Some(Outcome::Rejected),
        _ => Some(Outcome::Error),
    }
}

/// The idempotency key of a request; none where its header is missing.
///
/// # Errors
/// The status, and why it is none.
pub fn key(head: &RequestHead, header: &str) -> Result<Option<String>, (u16, &'static str)> {
    let Some(key) = head.headers.one(header).map_err(|_| (400, "odd key"))? else { return Ok(None) };
    let fits = (1..=MOST_KEY).contains(&key.len()) && key.bytes().all(|b| b.is_ascii_graphic() || b == b' ');
    if fits { Ok(Some(key.to_string())) } else { Err((400, "a key has 1 to 255 printable bytes")) }
}

/// What an executor says of an allocation that it was asked for.
#[derive(Debug, PartialEq)]
pub enum AttemptFate {
    /// It has not run, and never will.
    Never,
    Running,
    Done(Bytes),
    /// It may have run.
    Lost,
}

/// Reads such an answer; none where it is not one.
pub fn fate(head: &ResponseHead, body: &[u8]) -> Option<AttemptFate> {
    #[derive(Deserialize)]
    struct Fields {
        state: String,
        result: Option<String>,
    }
    let fields: Fields = serde_json::from_slice(body).ok().filter(|_| head.status == 200)?;
    match fields.state.as_str() {
        "never" => Some(AttemptFate::Never),
        "running" => Some(AttemptFate::Running),
        "done" => fields.result.map(|result| AttemptFate::Done(result.into())),
        // A word that is not known is taken for the strictest.
        _ => Some(AttemptFate::Lost),
    }
}

/// Takes the next line that is not empty; at the end of the text also one that lacks its line feed.
pub fn next_line(text: &mut BytesMut, ended: bool) -> Option<BytesMut> {
    loop {
        let end = text.iter().position(|&b| b == b'\n').map(|at| at + 1);
        let line = text.split_to(end.or(ended.then_some(text.len())).filter(|&n| n > 0)?);
        if !line.trim_ascii().is_empty() {
            return Some(line);
        }
    }
}

/// One line that an executor tells of an allocation.
#[derive(Debug, PartialEq)]
pub enum AttemptEvent {
    Started,
    Progress(f64),
    Result(Bytes),
    Ended(Outcome),
}

/// Reads such a line; an error says why it is none, or is of another work unit.
pub fn line(bytes: &[u8], id: &str) -> Result<AttemptEvent, String> {
    #[derive(Deserialize)]
    struct Fields<'a> {
        id: Option<String>,
        state: String,
        share: Option<f64>,
        #[serde(borrow)]
        result: Option<&'a RawValue>,
    }
    let line: Fields = serde_json::from_slice(bytes).map_err(|e| e.to_string())?;
    // Guards against a late second answer on a connection that is used again: what says nothing of whose it is
    // proves nothing.
    if line.id.as_deref() != Some(id) {
        return Err("the line is of another work unit, or of none".into());
    }
    match line.state.as_str() {
        "started" => Ok(AttemptEvent::Started),
        "running" => Ok(AttemptEvent::Progress(line.share.unwrap_or(0.0))),
        "done" => {
            let raw = line.result.ok_or("a result is missing")?.get();
            let text = serde_json::from_str::<String>(raw).unwrap_or_else(|_| raw.to_string());
            Ok(AttemptEvent::Result(text.into()))
        }
        "failed" => Ok(AttemptEvent::Ended(Outcome::Error)),
        "returned" => Ok(AttemptEvent::Ended(Outcome::Rejected)),
        "lost" => Ok(AttemptEvent::Ended(Outcome::Reset)),
        other => Err(format!("unknown state `{other}`")),
    }
}

/// A version of the list: the whole, or what changed.
#[derive(Deserialize, Clone, Debug)]
pub struct EndpointList {
    pub version: u64,
    #[serde(default)]
    pub full: bool,
    #[serde(rename = "servers")]
    pub entries: Vec<EndpointEntry>,
    /// Entries that were cut for the bound when it was read.
    #[serde(skip)]
    pub beyond: usize,
}

/// What a list says of one executor. Tens of thousands are held at once, so its texts are stored in place of
/// being allocated one by one, as far as they have up to 24 bytes.
#[derive(Serialize, Deserialize, Clone, Debug, PartialEq)]
pub struct EndpointEntry {
    pub id: CompactString,
    /// Missing, perhaps, where the executor is gone.
    #[serde(default)]
    pub addr: CompactString,
    pub zone: Option<CompactString>,
    pub kind: Option<CompactString>,
    pub cell: Option<u32>,
    pub state: CompactString,
    pub weight: Option<f64>,
    pub started_ms: Option<f64>,
}

impl EndpointEntry {
    /// One that is known by its name alone.
    pub fn gone(id: &str) -> Self {
        let (id, addr, state) = (id.into(), CompactString::default(), GONE.into());
        EndpointEntry { id, addr, zone: None, kind: None, cell: None, state, weight: None, started_ms: None }
    }

    pub fn is_gone(&self) -> bool {
        self.state == GONE
    }

    pub fn is_ready(&self) -> bool {
        self.state == READY
    }

    /// The same once it is no longer listed.
    pub fn into_gone(self) -> Self {
        EndpointEntry { state: GONE.into(), ..self }
    }
}

#[cfg(test)]
#[path = "../../tests/unit/protocol.rs"]
mod tests;
