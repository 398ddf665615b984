//! The wire's events as they stand on a line, borrowed from it.
use base64::prelude::{BASE64_STANDARD, Engine};
use serde::{Deserialize, Deserializer};
use std::borrow::Cow;
use troutknot::{GossipMessage, RequestId};
use troutknot_gossip::ClassNames;

pub fn parse<'a, T: Deserialize<'a>>(line: &'a [u8]) -> Result<T, String> {
    serde_json::from_slice(line).map_err(|e| e.to_string().replace(" at line 1 column ", ", column "))
}

/// The name of the message. It nearly always stands first, so the line is rarely read twice.
pub fn op(line: &[u8]) -> Result<Cow<'_, str>, String> {
    const FIRST: &[u8] = b"{\"op\":\"";
    if let Some(rest) = line.strip_prefix(FIRST)
        && let Some(end) = rest.iter().position(|&b| b == b'"' || b == b'\\')
        && rest[end] == b'"'
        && let Ok(op) = std::str::from_utf8(&rest[..end])
    {
        return Ok(op.into());
    }
    #[derive(Deserialize)]
    struct Named<'a> {
        #[serde(borrow)]
        op: Cow<'a, str>,
    }
    Ok(parse::<Named>(line)?.op)
}

fn request_id<'de, D: Deserializer<'de>>(d: D) -> Result<RequestId, D::Error> {
    let text = Cow::<str>::deserialize(d)?;
    if text.len() != 16 || text.bytes().any(|b| !matches!(b, b'0'..=b'9' | b'a'..=b'f')) {
        return Err(serde::de::Error::custom(format!("`{text}` is not 16 lower-case hex digits")));
    }
    u64::from_str_radix(&text, 16).map(RequestId).map_err(serde::de::Error::custom)
}

#[derive(Deserialize)]
pub struct Begin {
    pub time: u64,
}

#[derive(Deserialize)]
pub struct Instance {
    pub i: u64,
}

#[derive(Deserialize)]
pub struct Create {
    pub i: u64,
    pub nonce64: u64,
    pub profile_data: serde_json::Map<String, serde_json::Value>,
}

#[derive(Deserialize)]
pub struct Sheet {
    pub sheet: u8,
    pub entries: Vec<Entry>,
}

#[derive(Deserialize, Clone)]
pub struct Entry {
    pub executor: Box<str>,
    #[serde(default)]
    pub dc: Option<u32>,
    #[serde(default)]
    pub hw: Option<u32>,
    #[serde(default)]
    pub stripe: Option<u32>,
    pub phase: EntryPhase,
    #[serde(default)]
    pub scale: Option<f64>,
    #[serde(default)]
    pub start_time: Option<u64>,
}

#[derive(Deserialize, Clone, Copy)]
#[serde(rename_all = "lowercase")]
pub enum EntryPhase {
    Healthy,
    Cordoned,
    Deregistered,
}

#[derive(Deserialize)]
pub struct PeersKnown {
    pub i: u64,
    pub kind: PeersKind,
    pub sheet: Option<u8>,
}

#[derive(Deserialize, PartialEq, Eq, Clone, Copy)]
#[serde(rename_all = "snake_case")]
pub enum PeersKind {
    Incr,
    Total,
    WarmCopy,
    Lost,
}

#[derive(Deserialize)]
pub struct NewRequest {
    pub i: u64,
    #[serde(deserialize_with = "request_id")]
    pub call: RequestId,
    #[serde(default)]
    pub cores_needed: Option<f64>,
    #[serde(default)]
    pub mem_needed: Option<f64>,
    pub time_left: u64,
    #[serde(default)]
    pub account: Option<u32>,
    #[serde(default)]
    pub retry: Option<bool>,
    pub priority: u32,
}

#[derive(Deserialize)]
pub struct PingResult<'a> {
    pub i: u64,
    #[serde(borrow)]
    pub executor: Cow<'a, str>,
    pub state_code: StateCode,
    pub lag: u64,
    #[serde(default)]
    pub metrics: Option<Vec<Option<f64>>>,
}

#[derive(Deserialize, PartialEq, Eq, Clone, Copy)]
#[serde(rename_all = "UPPERCASE")]
pub enum StateCode {
    Good,
    Bad,
    Full,
    Late,
    Noconn,
    Rst,
    Cxl,
    Nop,
}

#[derive(Deserialize)]
pub struct Returned {
    pub i: u64,
    #[serde(deserialize_with = "request_id")]
    pub call: RequestId,
    pub complete: bool,
    pub n: u32,
    pub state_code: StateCode,
}

#[derive(Deserialize)]
pub struct Begun {
    pub i: u64,
    #[serde(deserialize_with = "request_id")]
    pub call: RequestId,
    pub n: u32,
}

#[derive(Deserialize)]
pub struct Heartbeat {
    pub i: u64,
    #[serde(deserialize_with = "request_id")]
    pub call: RequestId,
    #[serde(default)]
    pub value: Option<f64>,
    pub n: u32,
    pub what: u32,
}

#[derive(Deserialize)]
pub struct Withdrawn {
    pub i: u64,
    #[serde(deserialize_with = "request_id")]
    pub call: RequestId,
}

#[derive(Deserialize)]
pub struct Inbox<'a> {
    pub i: u64,
    #[serde(default, borrow)]
    pub body: Option<Cow<'a, str>>,
}

impl Inbox<'_> {
    pub fn said(&self, types: ClassNames) -> Option<GossipMessage> {
        troutknot_gossip::decode(&BASE64_STANDARD.decode(self.body.as_deref()?).ok()?, types)
    }
}
