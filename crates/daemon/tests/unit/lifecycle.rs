//! The lifecycle state for each combination of conditions.
use super::*;

#[test]
fn the_state_follows_from_the_list_the_drain_and_the_shutdown() {
    use LifecycleState::*;
    for (has_endpoint_list, drain, shutdown, state, is_ready) in [
        (false, Drain::None, Shutdown::None, Starting, false),
        (false, Drain::Settled, Shutdown::None, Starting, false),
        (true, Drain::None, Shutdown::None, Serving, true),
        (true, Drain::Started, Shutdown::None, Draining, false),
        (true, Drain::Settled, Shutdown::None, Drained, false),
        (true, Drain::None, Shutdown::Requested, ShutdownPending, false),
        (true, Drain::Started, Shutdown::Requested, Draining, false),
        (true, Drain::Settled, Shutdown::Requested, Closing, false),
        (true, Drain::None, Shutdown::HandedOver, HandingOver, false),
        (true, Drain::Started, Shutdown::HandedOver, HandingOver, false),
        (true, Drain::Settled, Shutdown::HandedOver, Closing, false),
        (false, Drain::None, Shutdown::Closing, Closing, false),
    ] {
        let conditions =
            LifecycleConditions { has_endpoint_list, drain, shutdown, ..LifecycleConditions::default() };
        assert_eq!((conditions.state(), conditions.is_ready()), (state, is_ready), "{conditions:?}");
    }
    let listed = LifecycleConditions { has_endpoint_list: true, ..LifecycleConditions::default() };
    let inherited = LifecycleConditions { drain: Drain::Settled, is_drain_inherited: true, ..listed };
    assert!(inherited.is_ready() && inherited.state() == Drained);
    let yielded = LifecycleConditions { has_ready_successor: true, ..listed };
    assert!(yielded.is_ready() && yielded.state() == HandingOver);
    assert_eq!(LifecycleConditions { drain: Drain::Started, ..yielded }.state(), Draining);
}
