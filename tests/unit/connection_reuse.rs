//! Connection reuse: detection of stale connections, and the block of reuse that follows.
use super::*;
use crate::policy::rule_inputs::*;

const IDLE_TIMEOUT: Millis = 5000.0;

fn rule() -> ConnectionReuse {
    let mut settings = Settings::default();
    settings.limits.idle_timeout = Some(IDLE_TIMEOUT);
    let mut rule = ConnectionReuse::default();
    rule.apply_settings(&settings);
    rule
}

fn sent_after(idle_time: Millis) -> Attempt {
    Attempt { idle_time, ..attempt(0, 0.0, None) }
}

/// A reset for another reason must count as a fault of the executor and not block connection reuse.
#[test]
fn a_reset_soon_after_dispatch_shows_a_stale_connection() {
    for (idle_time, reset_at, expected) in [
        (10.0, 149.0, true),
        (10.0, 150.0, false),
        (IDLE_TIMEOUT - 1.0, 0.0, true),
        (IDLE_TIMEOUT, 0.0, false),
    ] {
        let was_stale = rule().was_stale(&sent_after(idle_time), reset_at);
        assert_eq!(was_stale, expected, "idle for {idle_time} ms, reset after {reset_at} ms");
    }
    let started = Attempt { started_at: Some(1.0), ..sent_after(10.0) };
    assert!(!rule().was_stale(&started, 2.0), "the attempt started, so the connection was intact");
}

/// A block that ends too early loses requests; one that does not end prevents reuse for good.
#[test]
fn a_block_ends_thirty_seconds_after_the_last_loss() {
    let mut rule = rule();
    let began = ReuseBlock::Began { max_idle_time: 200.0 };
    assert_eq!(rule.block(0.0), began);
    assert_eq!(rule.block(29_999.0), ReuseBlock::Extended);
    assert_eq!(rule.block(59_998.0), ReuseBlock::Extended);
    assert_eq!(rule.block(89_998.0), began);
}

/// Guards against a dispatch over a connection that may be broken.
#[test]
fn idle_connections_are_closed_while_reuse_is_blocked() {
    let mut rule = rule();
    assert!(!rule.must_close_idle(201.0, 0.0), "no broken connection was observed");
    rule.block(0.0);
    for (idle_time, now, expected) in [
        (200.0, 1.0, false),
        (201.0, 1.0, true),
        (IDLE_TIMEOUT - 1.0, 1.0, true),
        (IDLE_TIMEOUT, 1.0, false),
        (201.0, 29_999.0, true),
        (201.0, 30_000.0, false),
    ] {
        assert_eq!(rule.must_close_idle(idle_time, now), expected, "idle for {idle_time} ms, at {now} ms");
    }
}

/// While reuse is blocked, a lost attempt must count against its executor.
#[test]
fn an_idle_connection_explains_a_lost_attempt_unless_reuse_is_blocked() {
    let mut rule = rule();
    assert!(rule.explains_lost_attempt(&sent_after(IDLE_TIMEOUT - 1.0), 0.0));
    assert!(!rule.explains_lost_attempt(&sent_after(IDLE_TIMEOUT), 0.0), "its connection was new");
    rule.block(0.0);
    assert!(!rule.explains_lost_attempt(&sent_after(10.0), 29_999.0), "reuse was blocked");
    assert!(rule.explains_lost_attempt(&sent_after(10.0), 30_000.0));
}
