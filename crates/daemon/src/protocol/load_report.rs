//! Load probes and the reports in their responses.
use super::codec::Codec;
use super::names;
use crate::http1::ResponseHead;
use std::net::SocketAddr;
use troutknot::LoadReport;
use troutknot_configuration::parse_load_report;

impl Codec {
    /// The request that probes an executor's load.
    pub fn probe_request(&self, executor: SocketAddr) -> String {
        format!("GET {} HTTP/1.1\r\nHost: {executor}\r\n\r\n", self.probe_path)
    }

    /// The load report of a probe's response: from its body if that has `name=value` pairs, otherwise from the
    /// `Server-Load` field.
    pub fn load_report(&self, head: &ResponseHead, body: &[u8]) -> LoadReport {
        let in_body = std::str::from_utf8(body).ok().filter(|text| text.contains('='));
        let in_field = head.headers.single(names::SERVER_LOAD).ok().flatten();
        parse_load_report(in_body.or(in_field).unwrap_or(""))
    }
}
