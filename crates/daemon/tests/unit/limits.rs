//! Sizes, counts and times, for what deployments state.
use super::*;

#[test]
fn connections_and_memory_stay_within_what_is_stated() {
    let sizes = [(192, 1024), (16, 64), (64, 100_000), (2048, 4096), (32, 1024), (48, 1024), (0, 0)];
    let each = |size| (0..8).map(move |with| (size, [1, 2, 4].map(|bit| with & bit != 0)));
    for ((memory_mb, sockets), [consul, durable, passed]) in sizes.into_iter().flat_map(each) {
        let l = Limits::of(&LimitInputs {
            memory_mb,
            sockets,
            consul,
            durable,
            passed,
            ..LimitInputs::default()
        });
        let connections = l.clients + l.turned_away + l.executors;
        assert!(connections as u64 + SPARE <= sockets.max(64), "{l:?}");
        // Open work units, bodies on their way in, results; rings; ids, a list, and the executors known.
        let bodies = l.held_bytes + 2 * l.slow_bodies * l.body + 2 * l.executors * l.body;
        let clients_rings = l.clients * 2 * FIRST + l.client_rings;
        let rings = clients_rings + l.executors * l.ring * 2;
        // What each of two processes keeps for itself; the ledger is held by one of them.
        let own = l.past_ids * 24
            + l.callers * l.call_ring * 2
            + l.turned_away * 2 * FIRST
            // Measured: see [`EXECUTOR_BYTES`]. Entries that are left out, and a share that is not released yet.
            + l.known * EXECUTOR_BYTES
            + (l.registered - l.known) * RELEASED_BYTES
            + l.left_out * LEFT_OUT_BYTES
            + if consul { l.list_answer + l.known * CONSUL_MEMBER_BYTES } else { l.list_text };
        let ledger = if durable { l.durable * DURABLE_BYTES } else { 0 };
        let held = bodies + rings + ledger + if passed { 2 * own } else { own };
        assert!(held <= memory_mb.max(16) as usize * 1024 * 1024 * 9 / 10, "{held} {l:?}");
        assert!(l.clients > 0 && l.turned_away > 0 && l.executors > 0);
        // What was held for each executor before it was measured, and the bound that followed.
        let before = memory_mb.max(16) as usize * 1024 * 1024 / if passed { 16_000 } else { 12_288 };
        assert!(l.known * 100 >= before * 99, "{} of {before} {l:?}", l.known);
    }
}

/// 19,000 executors with a third to spare, entries of 171 bytes, and a list of one and a half times the bound.
#[test]
fn a_node_of_128_mb_holds_19_000_executors_with_a_third_to_spare() {
    const FLEET: usize = 19_000;
    const ENTRY: usize = 171;
    let stated = LimitInputs { memory_mb: 128, sockets: 1024, ..LimitInputs::default() };
    let limits = Limits::of(&stated);
    assert!(limits.known >= FLEET * 3 / 2, "{limits:?}");
    assert!(limits.list_line >= limits.known * 3 / 2 * ENTRY, "{limits:?}");
    // With any number of sockets, and where work is durable.
    for (sockets, durable) in [(100_000, false), (1024, true), (100_000, true)] {
        let limits = Limits::of(&LimitInputs { sockets, durable, ..stated.clone() });
        assert!(limits.known >= FLEET, "{limits:?}");
    }
}

/// A node that is asked to end is killed 700 ms after the longest limit, 3 s of it at most.
#[test]
fn the_stages_of_an_end_come_in_their_order_whatever_the_limits() {
    let ms = Duration::from_millis;
    for longest in [0, 50, 100, 200, 300, 350, 400, 449, 450, 500, 649, 650, 1000, 2999, 3000, 20_000].map(ms)
    {
        let limits = Limits::of(&LimitInputs { longest, ..LimitInputs::default() });
        let times = limits.times();
        let ShutdownTimeouts { linger, cut_after, end_after, .. } = times;
        assert!(linger >= ms(300) && linger >= longest.min(ms(650)), "{longest:?}: {times:?}");
        // What came last before the door closed has a moment, and what is cut has one to be told of it.
        assert!(cut_after >= linger + ms(100), "{longest:?}: {times:?}");
        assert!(end_after >= cut_after + ms(100), "{longest:?}: {times:?}");
        let killed = longest.min(ms(3000)) + ms(700);
        assert!(end_after + limits.last_words + ms(100) <= killed, "{longest:?}: {times:?}");
    }
}

/// Discovery can be reached again at any moment of a call that then fails: what is left of that call, the wait before
/// the next one, and the answer. `docs/design/crossings.md` has the sums.
#[test]
fn a_change_is_told_in_time_whatever_call_for_the_list_fails() {
    let limits = Limits::of(&LimitInputs::default());
    let (silence, opening) = (limits.list_silence, limits.list_opening);
    let [first, second] = [200, 400].map(Duration::from_millis);
    let ends = [
        ("an opening in vain", opening + LIST_ASKED_WITHIN),
        ("a refusal after a list that fell silent", silence + first + LIST_ASKED_WITHIN),
        ("a head and then silence", opening + silence + first),
        ("a list that fell silent and an opening in vain", silence + first + opening + second),
    ];
    for (what, took) in ends {
        assert!(took <= Duration::from_millis(5900), "{what}: {took:?}");
    }
}
