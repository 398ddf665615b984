//! Compatibility with files and messages of an earlier release (commit cc67128): messages between two processes of a
//! node are read and written as before, and an operator's file has the same meaning.
use crate::config::consul::ConsistencyMode;
use crate::config::durable::{DurableEffect, LedgerSync};
use crate::config::operator::{DiscoveryConfig, DiscoverySource, OperatorFile};
use crate::hot_restart::codec::{InheritedState, StateBounds, decode, encode};
use std::path::Path;
use std::time::Duration;

const BOUNDS: StateBounds = StateBounds { excluded: 10, entries: 10, executors: 10, ids: 10 };

#[test]
fn hot_restart_messages_of_an_earlier_release_are_read_and_written_unchanged() {
    let lines = include_str!("../fixtures/hot_restart.jsonl");
    let mut inherited = InheritedState::default();
    let mut last = 0;
    for (number, line) in lines.lines().enumerate() {
        let message = decode(line.as_bytes()).unwrap();
        assert_eq!(String::from_utf8(encode(&message)).unwrap().trim_end(), line);
        if last == 0 && inherited.apply(message, "n0", BOUNDS).unwrap() {
            last = number;
        }
    }
    assert_eq!((lines.lines().count(), last), (14, 9), "the state is complete with the tenth line");
    assert_eq!((inherited.version, inherited.entries.len(), inherited.ids.len()), (None, 2, 2));
    assert_eq!(
        inherited.excluded.iter().collect::<Vec<_>>(),
        ["s-1"],
        "the other executor is included again"
    );
    let entry = &inherited.entries[0];
    assert_eq!((entry.id.as_str(), entry.weight, entry.started_at), ("s-1", Some(1.5), Some(5.0)));
    let executor = &inherited.executors[0];
    assert_eq!(executor.failure_score, (0.5, 10.0).into());
    assert_eq!((executor.observations, executor.max_slots), ((2.0, 10.0).into(), 4.0));
    assert_eq!(executor.warm_up_spent, [(9.0, 120.0).into()]);
    let times = inherited.running_times.unwrap();
    assert_eq!(times.classes, [("render".to_string(), 120.0, 31.0).into()]);
    assert_eq!((times.mean_running_time, times.busy_probe_ratio), (110.0, Some(0.1)));
    assert_eq!((times.probe_latency, times.sample_size), (Some(1.5), 2));
}

#[test]
fn an_operators_file_of_an_earlier_release_has_the_same_meaning() {
    let path = Path::new(concat!(env!("CARGO_MANIFEST_DIR"), "/tests/fixtures/operator.toml"));
    let OperatorFile { discovery: DiscoveryConfig { sources, consul }, durable, gossip } =
        OperatorFile::read(path).unwrap();
    assert_eq!(sources, [DiscoverySource::Consul]);
    let (consul, durable, gossip) = (consul.unwrap(), durable.unwrap(), gossip.unwrap());
    assert_eq!((consul.agents.len(), consul.services[0].name.as_str()), (1, "box"));
    assert_eq!(
        (consul.consistency, consul.query_wait),
        (ConsistencyMode::Consistent, Duration::from_secs(10))
    );
    assert_eq!((consul.panic.max_missing_share, consul.damping.is_enabled), (0.5, true));
    assert_eq!(consul.damping.suppress_threshold, 1.5);
    assert_eq!(durable.path, Path::new("/var/lib/troutknot/ledger"));
    assert_eq!(
        durable.effects,
        [DurableEffect::Idempotent, DurableEffect::Deduplicated, DurableEffect::AtMostOnce]
    );
    assert_eq!(
        (durable.key_header.as_str(), durable.retention),
        ("Idempotency-Key", Duration::from_secs(600))
    );
    assert_eq!(
        (durable.sync, durable.slow_sync_threshold, durable.max_jobs),
        (LedgerSync::PerRecord, Duration::from_millis(250), 9000)
    );
    assert_eq!((durable.lease_duration, durable.has_fencing), (Some(Duration::from_secs(2)), true));
    assert_eq!((gossip.listen_address.port(), gossip.peers.len()), (3100, 3));
}
