//! Parsing and validation of clients' requests.
use super::codec::Codec;
use super::names;
use crate::http1::{RequestHead, put_field};
use crate::in_flight::ClientRequest;
use bytes::{Bytes, BytesMut};
use std::time::Duration;
use troutknot::{RequestClassId, TenantId};

/// The ledger and the duplicate check hold ids in memory, so their length is bounded.
const MAX_REQUEST_ID_BYTES: usize = 64;
const MAX_IDEMPOTENCY_KEY_BYTES: usize = 255;

/// Exclusive upper bound of a request's timeout.
const MAX_TIMEOUT_SECS: f64 = 1e6;
/// Exclusive upper bound of the amount of a resource.
const MAX_RESOURCE: f64 = 1e6;

/// Tenant of a request that names none.
const DEFAULT_TENANT: u32 = 0;

/// Why a request of a client is refused.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum RequestError {
    /// A field that may occur once is repeated, or is not text.
    #[error("field `{0}` is repeated or not UTF-8")]
    InvalidField(&'static str),
    /// The target is not an absolute path, or has other characters.
    #[error("the target must be an absolute path of printable ASCII")]
    InvalidTarget,
    /// The first segment of the path is not a class.
    #[error("the path names no request class in force")]
    UnknownPath,
    /// The field for the class contradicts the path.
    #[error("field `Request-Class` and the path name different classes")]
    ClassMismatch,
    /// Any method but POST.
    #[error("requests are submitted by POST")]
    MethodNotAllowed,
    /// The id is missing, longer than 64 bytes or not printable.
    #[error("field `Request-Id` must have 1 to 64 printable ASCII characters")]
    InvalidRequestId,
    /// The tenant is not one of the settings.
    #[error("field `Tenant` names no tenant in force")]
    UnknownTenant,
    /// The timeout is not a number, or out of range.
    #[error("field `Request-Timeout` must be a decimal number of seconds above 0 and under 1000000")]
    InvalidTimeout,
    /// The number of slots is not a number, or out of range.
    #[error("`slots` of `Request-Info` must be from 0 to under 1000000")]
    InvalidSlots,
    /// The memory is not a number, or out of range.
    #[error("`memory` of `Request-Info` must be from 0 to under 1000000")]
    InvalidMemory,
    /// The key's field is repeated, or is not text.
    #[error("the idempotency key is repeated or not UTF-8")]
    UnreadableIdempotencyKey,
    /// The key is empty, too long or not printable.
    #[error("the idempotency key must have 1 to 255 printable ASCII characters")]
    InvalidIdempotencyKey,
}

impl RequestError {
    /// The status of the response to such a request.
    pub fn status(self) -> u16 {
        match self {
            RequestError::UnknownPath => 404,
            RequestError::MethodNotAllowed => 405,
            _ => 400,
        }
    }
}

/// A request that was parsed from its head, and its timeout.
pub struct RequestWithTimeout {
    /// The request, with an empty body.
    pub request: ClientRequest,
    /// How long the client waits for its response, at most the deadline of its class.
    pub timeout: Duration,
}

/// Resources that a request needs, in the units of the load reports.
struct Resources {
    slots: f64,
    memory: f64,
}

impl Codec {
    /// Parses the head of a client's request.
    ///
    /// # Errors
    /// If the path, the method or a field is not that of a request which this node accepts.
    pub fn parse_request(&self, head: &RequestHead) -> Result<RequestWithTimeout, RequestError> {
        let class_name = first_path_segment(&head.target)?;
        let class = *self.current_classes.get(class_name).ok_or(RequestError::UnknownPath)?;
        if field(head, names::REQUEST_CLASS)?.is_some_and(|class| class != class_name) {
            return Err(RequestError::ClassMismatch);
        }
        if head.method != "POST" {
            return Err(RequestError::MethodNotAllowed);
        }
        let id = parse_request_id(head)?;
        let tenant = self.parse_tenant(head)?;
        let timeout = parse_timeout(head)?;
        let resources = parse_resources(head)?;
        let request = ClientRequest {
            key: None,
            method: head.method.clone(),
            target: head.target.clone(),
            fields: forwarded_fields(&id, head),
            id,
            body: Bytes::new(),
            class: RequestClassId(class),
            tenant: TenantId(tenant),
            slots: resources.slots,
            memory: resources.memory,
            is_retry: field(head, names::CLIENT_RETRY)? == Some("1"),
        };
        let deadline = self.class_deadlines[class as usize];
        Ok(RequestWithTimeout { request, timeout: timeout.map_or(deadline, |timeout| timeout.min(deadline)) })
    }

    fn parse_tenant(&self, head: &RequestHead) -> Result<u32, RequestError> {
        let Some(name) = field(head, names::TENANT)? else { return Ok(DEFAULT_TENANT) };
        self.current_tenants.get(name).copied().ok_or(RequestError::UnknownTenant)
    }
}

/// The idempotency key of a request; none if the field `name` is missing.
///
/// # Errors
/// If the field is repeated, too long, or not printable.
pub fn parse_idempotency_key(head: &RequestHead, name: &str) -> Result<Option<String>, RequestError> {
    let key = head.headers.single(name).map_err(|_| RequestError::UnreadableIdempotencyKey)?;
    let Some(key) = key else { return Ok(None) };
    let is_printable = key.bytes().all(|byte| byte.is_ascii_graphic() || byte == b' ');
    if !is_printable || !(1..=MAX_IDEMPOTENCY_KEY_BYTES).contains(&key.len()) {
        return Err(RequestError::InvalidIdempotencyKey);
    }
    Ok(Some(key.to_string()))
}

fn field<'a>(head: &'a RequestHead, name: &'static str) -> Result<Option<&'a str>, RequestError> {
    head.headers.single(name).map_err(|_| RequestError::InvalidField(name))
}

/// The first segment of the target's path, which names the request's class.
fn first_path_segment(target: &str) -> Result<&str, RequestError> {
    if !target.bytes().all(|byte| byte.is_ascii_graphic()) {
        return Err(RequestError::InvalidTarget);
    }
    let path = target.split('?').next().unwrap_or("");
    let path = path.strip_prefix('/').ok_or(RequestError::InvalidTarget)?;
    Ok(path.split('/').next().unwrap_or(""))
}

fn parse_request_id(head: &RequestHead) -> Result<String, RequestError> {
    let id = field(head, names::REQUEST_ID)?.ok_or(RequestError::InvalidRequestId)?;
    let is_printable = id.bytes().all(|byte| byte.is_ascii_graphic());
    if !is_printable || !(1..=MAX_REQUEST_ID_BYTES).contains(&id.len()) {
        return Err(RequestError::InvalidRequestId);
    }
    Ok(id.to_string())
}

/// Accepts plain decimal numbers only, as executors refuse the other forms that the standard library parses.
fn parse_timeout(head: &RequestHead) -> Result<Option<Duration>, RequestError> {
    let Some(text) = field(head, names::REQUEST_TIMEOUT)? else { return Ok(None) };
    let is_decimal = text.bytes().all(|byte| byte.is_ascii_digit() || byte == b'.');
    let seconds = text.parse::<f64>().ok();
    let seconds = seconds.filter(|&seconds| is_decimal && seconds > 0.0 && seconds < MAX_TIMEOUT_SECS);
    Ok(Some(Duration::from_secs_f64(seconds.ok_or(RequestError::InvalidTimeout)?)))
}

fn parse_resources(head: &RequestHead) -> Result<Resources, RequestError> {
    let mut resources = Resources { slots: 1.0, memory: 0.0 };
    let pairs = field(head, names::REQUEST_INFO)?.unwrap_or("").split(',');
    for (name, value) in pairs.filter_map(|pair| pair.split_once('=')) {
        let amount = value.trim().parse::<f64>().ok().filter(|amount| (0.0..MAX_RESOURCE).contains(amount));
        match name.trim() {
            "slots" => resources.slots = amount.ok_or(RequestError::InvalidSlots)?,
            "memory" => resources.memory = amount.ok_or(RequestError::InvalidMemory)?,
            _ => {}
        }
    }
    Ok(resources)
}

/// The header lines that are forwarded to executors unchanged.
fn forwarded_fields(id: &str, head: &RequestHead) -> Bytes {
    let mut fields = BytesMut::new();
    put_field(&mut fields, names::REQUEST_ID, id);
    for (name, value) in &head.headers.0 {
        if is_forwarded(head, name) {
            put_field(&mut fields, name, value);
        }
    }
    fields.freeze()
}

fn is_forwarded(head: &RequestHead, name: &str) -> bool {
    let is_excluded = names::NOT_FORWARDED.iter().any(|excluded| name.eq_ignore_ascii_case(excluded));
    !is_excluded && !head.headers.has_token("connection", name)
}
