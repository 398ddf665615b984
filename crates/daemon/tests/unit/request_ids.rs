//! Duplicate detection by tokens, and the numbering of requests.
use super::*;
use crate::config::limits::LimitInputs;
use std::time::Duration;
use tokio::time::advance;

/// Tokens between two checks of their number.
const CHECK_INTERVAL: u64 = 127;
const MAX_DEADLINE: Duration = Duration::from_secs(60);

fn limits() -> Limits {
    Limits::new(&LimitInputs {
        memory_mb: 64,
        max_sockets: 128,
        max_deadline: MAX_DEADLINE,
        ..LimitInputs::default()
    })
}

#[tokio::test(start_paused = true)]
async fn a_token_is_a_duplicate_for_at_least_the_longest_deadline() {
    let (ids, limits) = (RequestIds::new(), limits());
    advance(MAX_DEADLINE - Duration::from_millis(1)).await;
    assert!(ids.record_token(1, &limits));
    assert!(!ids.record_token(1, &limits), "immediately");
    advance(MAX_DEADLINE).await;
    assert!(!ids.record_token(1, &limits), "one deadline later, in the older generation");
    assert_eq!(ids.recent_tokens(), [1]);
    advance(MAX_DEADLINE).await;
    assert!(ids.record_token(1, &limits), "two deadlines later it is dropped");
}

#[tokio::test(start_paused = true)]
async fn the_number_of_recent_tokens_is_bounded() {
    let (ids, limits) = (RequestIds::new(), limits());
    let max_tokens = limits.downstream.max_completed_ids as u64;
    for token in 0..2 * max_tokens {
        assert!(ids.record_token(token, &limits), "{token}");
        if token % CHECK_INTERVAL == 0 {
            assert!(ids.recent_tokens().len() as u64 <= max_tokens, "{token}");
        }
    }
    assert!(!ids.record_token(2 * max_tokens - max_tokens / 2, &limits), "the latest half is retained");
    assert!(ids.record_token(0, &limits), "the oldest is dropped");
}

/// Guards against a second run: the id of a request that must not run twice was dropped as soon as enough others had come.
#[tokio::test(start_paused = true)]
async fn no_number_of_other_requests_displaces_a_protected_token() {
    let (ids, limits) = (RequestIds::new(), limits());
    assert!(ids.protect_token(u64::MAX, &limits));
    for token in 0..3 * limits.downstream.max_completed_ids as u64 {
        ids.record_token(token, &limits);
    }
    assert!(ids.is_recent(u64::MAX, &limits));
    let max_protected = limits.downstream.max_protected_ids as u64;
    let fitting = (0..max_protected).take_while(|token| ids.protect_token(1 << 32 | token, &limits)).count();
    assert_eq!(fitting as u64, max_protected / 2 - 1, "there is no memory for more within one deadline");
    ids.forget_token(1 << 32);
    assert!(ids.protect_token(1 << 33, &limits), "a request that was never dispatched needs none");
    assert_eq!(ids.protected_tokens().len() as u64, max_protected / 2);
    advance(MAX_DEADLINE).await;
    assert!(ids.is_recent(u64::MAX, &limits), "one deadline later");
    assert!(ids.protect_token(1 << 34, &limits));
    let next = RequestIds::new();
    next.import_protected(&ids.protected_tokens(), &limits);
    assert!(
        next.is_recent(u64::MAX, &limits) && next.is_recent(1 << 34, &limits),
        "both generations are imported"
    );
    advance(MAX_DEADLINE).await;
    assert!(!ids.is_recent(u64::MAX, &limits), "two deadlines later");
}

/// A reload with shorter deadlines must not drop the ids of requests that were admitted under longer ones.
#[tokio::test(start_paused = true)]
async fn tokens_are_kept_for_the_deadline_under_which_they_were_recorded() {
    let (ids, limits) = (RequestIds::new(), limits());
    assert!(ids.protect_token(1, &limits));
    limits.update_timeouts(&LimitInputs { max_deadline: MAX_DEADLINE / 60, ..LimitInputs::default() });
    for _ in 0..59 {
        advance(MAX_DEADLINE / 60).await;
        assert!(ids.is_recent(1, &limits));
    }
}

#[tokio::test]
async fn request_numbers_only_increase() {
    let ids = RequestIds::new();
    assert_eq!(ids.next_id(), RequestId(0));
    ids.open("a".into());
    assert!(ids.is_open("a") && !ids.is_open("b"));
    assert_eq!(ids.next_id(), RequestId(1));
    ids.skip_to(1000);
    ids.skip_to(10);
    assert_eq!(ids.next_id(), RequestId(1000), "a lower number is ignored");
    ids.close("a");
    assert!(!ids.is_open("a"));
}
