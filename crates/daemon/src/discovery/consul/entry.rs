//! Conversion between the roster's members and entries of the endpoint list.
use crate::protocol::EndpointEntry;
use compact_str::{CompactString, ToCompactString};
use troutknot_consul::health::{Health, Member, Start};
use troutknot_consul::roster::{Change, State};

const READY: &str = "Ready";
const DRAINING: &str = "Terminating";
const GONE: &str = "Gone";

/// The entry of an executor that changed.
pub fn entry_of(change: Change) -> EndpointEntry {
    let member = &change.member;
    let state = match change.state {
        State::Ready => READY,
        State::Draining => DRAINING,
        State::Gone => GONE,
    };
    EndpointEntry {
        id: member.id.as_str().into(),
        addr: member.addr.to_compact_string(),
        zone: Some(member.zone.as_str().into()),
        kind: member.kind.as_deref().map(CompactString::from),
        cell: member.cell,
        state: state.into(),
        weight: Some(member.weight),
        started_ms: change.started,
    }
}

/// The member of a cached entry; none if the entry has no address.
pub fn member_of(entry: &EndpointEntry) -> Option<Member> {
    let is_ready = entry.state == READY;
    let started_at = entry.started_ms.filter(|at| *at > 0.0);
    Some(Member {
        id: entry.id.to_string(),
        addr: entry.addr.parse().ok()?,
        health: if is_ready { Health::Passing } else { Health::Maintenance },
        weight: if is_ready { entry.weight.unwrap_or(1.0) } else { 0.0 },
        zone: entry.zone.as_deref().unwrap_or_default().to_string(),
        kind: entry.kind.as_deref().map(str::to_string),
        cell: entry.cell,
        start: started_at.map_or(Start::Unknown, Start::Told),
    })
}
