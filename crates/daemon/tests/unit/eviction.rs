//! Which connection is evicted.
use super::*;
use crate::config::limits::{LimitInputs, Limits};
use tokio::time::advance;

fn limits() -> DownstreamLimits {
    Limits::new(&LimitInputs { memory_mb: 64, max_sockets: 128, ..LimitInputs::default() }).downstream
}

/// Whether the connection was told to close.
async fn was_evicted(entry: &ConnectionEntry) -> bool {
    timeout(Duration::ZERO, entry.evicted()).await.is_ok()
}

#[tokio::test(start_paused = true)]
async fn connections_without_a_request_are_evicted_first_and_the_longest_waiting_of_them() {
    let (connections, limits) = (ClientConnections::default(), limits());
    let idle = connections.insert();
    idle.set_state(ConnectionState::Idle { since: Instant::now() });
    advance(limits.min_idle_before_eviction).await;
    let first = connections.insert();
    advance(Duration::from_millis(1)).await;
    let second = connections.insert();
    assert!(!connections.evict_one(&limits), "the new ones are too young, and idle ones come after them");
    advance(limits.min_new_connection_age).await;
    for (expected, entry) in [("first", &first), ("second", &second), ("idle", &idle)] {
        assert!(connections.evict_one(&limits), "{expected}");
        assert!(was_evicted(entry).await, "{expected}");
    }
    assert!(!connections.evict_one(&limits), "none waits any more");
}

#[tokio::test(start_paused = true)]
async fn a_connection_is_not_evicted_while_it_handles_a_request_or_soon_after() {
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
    assert_eq!(entry.state(), ConnectionState::Busy, "it has served, and waits no longer");
    assert!(was_evicted(&entry).await && !was_evicted(&entry).await, "once");
    connections.remove(&entry);
    assert_eq!(connections.count(), 0);
}
