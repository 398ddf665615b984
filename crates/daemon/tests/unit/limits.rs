//! Limits for several deployments: memory, steps of a shutdown, and the time until a list update is applied.
use super::*;

#[test]
fn connections_and_memory_stay_within_the_limits_of_the_deployment() {
    let sizes = [(192, 1024), (16, 64), (64, 100_000), (2048, 4096), (32, 1024), (48, 1024), (0, 0)];
    let variants = |size| (0..8).map(move |bits| (size, [1, 2, 4].map(|bit| bits & bit != 0)));
    for ((memory_mb, max_sockets), [has_consul, has_ledger, has_inherited_socket]) in
        sizes.into_iter().flat_map(variants)
    {
        let limits = Limits::new(&LimitInputs {
            memory_mb,
            max_sockets,
            has_consul,
            has_ledger,
            has_inherited_socket,
            ..LimitInputs::default()
        });
        let Limits { downstream, upstream, discovery, admin, executor_bounds: bounds, .. } = &limits;
        let connections =
            downstream.max_connections + downstream.max_rejected_connections + upstream.max_connections;
        assert!(connections as u64 + SPARE_DESCRIPTORS <= max_sockets.max(64), "{limits:?}");
        let bodies = downstream.max_reserved_bytes
            + 2 * downstream.max_partial_bodies * limits.max_body_bytes
            + 2 * upstream.max_connections * limits.max_body_bytes;
        let downstream_buffers = downstream.max_connections * 2 * INITIAL_BYTES + downstream.buffer_bytes;
        let buffers = downstream_buffers + upstream.max_connections * limits.connection_buffer_bytes * 2;
        // Each of two processes has these of its own; only one of them has the ledger open.
        let per_process = (downstream.max_completed_ids + downstream.max_protected_ids) * 24
            + admin.max_connections * admin.buffer_bytes * 2
            + downstream.max_rejected_connections * 2 * INITIAL_BYTES
            + bounds.max_retained * EXECUTOR_BYTES
            + (bounds.max_registered - bounds.max_retained) * RELEASED_BYTES
            + bounds.max_unretained_entries * UNRETAINED_ENTRY_BYTES
            + if has_consul {
                discovery.max_consul_answer_bytes + bounds.max_retained * CONSUL_MEMBER_BYTES
            } else {
                discovery.max_buffered_text_bytes
            };
        let ledger = if has_ledger { limits.max_durable_jobs * JOB_BYTES } else { 0 };
        let processes = if has_inherited_socket { 2 } else { 1 };
        let used = bodies + buffers + ledger + processes * per_process;
        let memory = memory_mb.max(16) as usize * 1024 * 1024;
        assert!(used <= memory * 9 / 10, "{used} {limits:?}");
        assert!(downstream.max_connections > 0 && downstream.max_rejected_connections > 0);
        assert!(upstream.max_connections > 0);
        // At least one executor is retained for each 12 kB, or 16 kB with two processes.
        let expected = memory / if has_inherited_socket { 16_000 } else { 12_288 };
        assert!(bounds.max_retained * 100 >= expected * 99, "{expected} {limits:?}");
    }
}

/// The bound allows half as many executors again as the fleet of 19,000, so that a third of it is spare. A list of
/// one and a half times the bound, with entries of 171 bytes, can be received.
#[test]
fn a_node_of_128_mb_retains_19_000_executors_with_a_third_to_spare() {
    const FLEET: usize = 19_000;
    const ENTRY_BYTES: usize = 171;
    let inputs = LimitInputs { memory_mb: 128, max_sockets: 1024, ..LimitInputs::default() };
    let limits = Limits::new(&inputs);
    let max_retained = limits.executor_bounds.max_retained;
    assert!(max_retained >= FLEET * 3 / 2, "{limits:?}");
    assert!(limits.discovery.max_list_bytes >= max_retained * 3 / 2 * ENTRY_BYTES, "{limits:?}");
    // With more sockets and with a ledger as well.
    for (max_sockets, has_ledger) in [(100_000, false), (1024, true), (100_000, true)] {
        let limits = Limits::new(&LimitInputs { max_sockets, has_ledger, ..inputs.clone() });
        assert!(limits.executor_bounds.max_retained >= FLEET, "{limits:?}");
    }
}

/// The platform kills a node 700 ms after the longest deadline, of which 3 s count at most.
#[test]
fn the_steps_of_a_shutdown_keep_their_order_with_any_deadline() {
    let millis = Duration::from_millis;
    for deadline in
        [0, 50, 100, 200, 300, 350, 400, 449, 450, 500, 649, 650, 1000, 2999, 3000, 20_000].map(millis)
    {
        let limits = Limits::new(&LimitInputs { max_deadline: deadline, ..LimitInputs::default() });
        let timeouts = limits.timeouts();
        let Timeouts { close_idle_after, cancel_after, answer_open_after, .. } = timeouts;
        assert!(close_idle_after >= millis(300), "{deadline:?}: {timeouts:?}");
        assert!(close_idle_after >= deadline.min(millis(650)), "{deadline:?}: {timeouts:?}");
        // The last requests and the cancelled attempts each have 100 ms to be answered.
        assert!(cancel_after >= close_idle_after + millis(100), "{deadline:?}: {timeouts:?}");
        assert!(answer_open_after >= cancel_after + millis(100), "{deadline:?}: {timeouts:?}");
        let killed_after = deadline.min(millis(3000)) + millis(700);
        let written_after = answer_open_after + limits.last_write_timeout;
        assert!(written_after + millis(100) <= killed_after, "{deadline:?}: {timeouts:?}");
    }
}

/// Discovery may become reachable again during a poll that still fails: the rest of that poll, the wait before the
/// next one and its answer have to fit into 5.9 s. `docs/design/crossings.md` has the sums.
#[test]
fn a_list_update_is_applied_in_time_whichever_poll_fails() {
    let limits = Limits::new(&LimitInputs::default());
    let (idle, opening) = (limits.discovery.watch_idle_timeout, limits.discovery.watch_open_timeout);
    let [first, second] = [200, 400].map(Duration::from_millis);
    let cases = [
        ("a failed opening", opening + MAX_POLL_INTERVAL),
        ("a rejection after an idle watch", idle + first + MAX_POLL_INTERVAL),
        ("a head and then an idle watch", opening + idle + first),
        ("an idle watch and a failed opening", idle + first + opening + second),
    ];
    for (case, elapsed) in cases {
        assert!(elapsed <= Duration::from_millis(5900), "{case}: {elapsed:?}");
    }
}
