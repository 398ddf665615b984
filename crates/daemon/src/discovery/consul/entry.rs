//! Conversion between the roster's members and entries of the endpoint list.
use crate::protocol::EndpointEntry;
use crate::protocol::endpoint_state::{DRAINING, GONE, READY};
use compact_str::{CompactString, ToCompactString};
use troutknot_consul::health::{Health, Member, Start};
use troutknot_consul::roster::{Change, State};

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
        address: member.addr.to_compact_string(),
        zone: Some(member.zone.as_str().into()),
        machine_type: member.kind.as_deref().map(CompactString::from),
        deduplication_group: member.cell,
        state: state.into(),
        weight: Some(member.weight),
        started_at: change.started,
    }
}

/// The member of a cached entry; none if the entry has no address.
pub fn member_of(entry: &EndpointEntry) -> Option<Member> {
    let is_ready = entry.is_ready();
    let started_at = entry.started_at.filter(|at| *at > 0.0);
    Some(Member {
        id: entry.id.to_string(),
        addr: entry.address.parse().ok()?,
        health: if is_ready { Health::Passing } else { Health::Maintenance },
        weight: if is_ready { entry.weight.unwrap_or(1.0) } else { 0.0 },
        zone: entry.zone.as_deref().unwrap_or_default().to_string(),
        kind: entry.machine_type.as_deref().map(str::to_string),
        cell: entry.deduplication_group,
        start: started_at.map_or(Start::Unknown, Start::Told),
    })
}
