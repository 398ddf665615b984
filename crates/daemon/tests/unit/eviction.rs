//! The choice of the connection to evict.
use super::*;
use crate::config::limits::{LimitInputs, Limits};
use tokio::time::advance;

fn limits() -> DownstreamLimits {
    Limits::new(&LimitInputs { memory_mb: 64, max_sockets: 128, ..LimitInputs::default() }).downstream
}

/// Whether the connection was chosen for eviction.
async fn was_evicted(entry: &ConnectionEntry) -> bool {
    timeout(Duration::ZERO, entry.evicted()).await.is_ok()
}

#[tokio::test(start_paused = true)]
async fn connections_without_a_request_are_evicted_before_idle_ones_and_the_longest_waiting_first() {
    let (connections, limits) = (ClientConnections::default(), limits());
    let idle = connections.insert();
    idle.set_state(ConnectionState::Idle { since: Instant::now() });
    advance(limits.min_idle_before_eviction).await;
    let first = connections.insert();
    advance(Duration::from_millis(1)).await;
    let second = connections.insert();
    assert!(
        !connections.evict_one(&limits),
        "new connections are below the minimum age, and idle ones are evicted after them"
    );
    advance(limits.min_new_connection_age).await;
    for (expected, entry) in [("first", &first), ("second", &second), ("idle", &idle)] {
        assert!(connections.evict_one(&limits), "{expected}");
        assert!(was_evicted(entry).await, "{expected}");
    }
    assert!(!connections.evict_one(&limits), "no waiting connection is left");
}

#[tokio::test(start_paused = true)]
async fn a_connection_is_not_evicted_during_a_request_or_soon_after() {
    let (connections, limits) = (ClientConnections::default(), limits());
    let entry = connections.insert();
    entry.stop_waiting();
    assert_eq!(entry.state(), ConnectionState::NewBusy);
    entry.set_state(ConnectionState::Busy);
    advance(2 * limits.min_idle_before_eviction).await;
    assert!(!connections.evict_one(&limits), "it handles a request");
    entry.set_state(ConnectionState::Idle { since: Instant::now() });
    advance(limits.min_idle_before_eviction - Duration::from_millis(1)).await;
    assert!(!connections.evict_one(&limits), "its next request may be on the way");
    advance(Duration::from_millis(1)).await;
    assert!(connections.evict_one(&limits));
    assert_eq!(entry.state(), ConnectionState::Busy, "it has served a request and no longer waits");
    assert!(was_evicted(&entry).await && !was_evicted(&entry).await, "once");
    connections.remove(&entry);
    assert_eq!(connections.count(), 0);
}
