//! The lifecycle state for each combination of facts.
use super::*;

#[test]
fn the_state_follows_from_the_list_the_drain_and_the_shutdown() {
    use LifecycleState::*;
    for (is_listed, drain, shutdown, state, is_ready) in [
        (false, Drain::None, Shutdown::None, Starting, false),
        (false, Drain::Settled, Shutdown::None, Starting, false),
        (true, Drain::None, Shutdown::None, Serving, true),
        (true, Drain::Begun, Shutdown::None, Draining, false),
        (true, Drain::Settled, Shutdown::None, Drained, false),
        (true, Drain::None, Shutdown::Requested, Leaving, false),
        (true, Drain::Begun, Shutdown::Requested, Draining, false),
        (true, Drain::Settled, Shutdown::Requested, Closing, false),
        (true, Drain::None, Shutdown::HandedOver, HandingOver, false),
        (true, Drain::Begun, Shutdown::HandedOver, HandingOver, false),
        (true, Drain::Settled, Shutdown::HandedOver, Closing, false),
        (false, Drain::None, Shutdown::Closing, Closing, false),
    ] {
        let facts = LifecycleFacts { is_listed, drain, shutdown, ..LifecycleFacts::default() };
        assert_eq!((facts.state(), facts.is_ready()), (state, is_ready), "{facts:?}");
    }
    let listed = LifecycleFacts { is_listed: true, ..LifecycleFacts::default() };
    let inherited = LifecycleFacts { drain: Drain::Settled, is_drain_inherited: true, ..listed };
    assert!(inherited.is_ready() && inherited.state() == Drained);
    let yielded = LifecycleFacts { has_yielded: true, ..listed };
    assert!(yielded.is_ready() && yielded.state() == HandingOver);
    assert_eq!(LifecycleFacts { drain: Drain::Begun, ..yielded }.state(), Draining);
}
