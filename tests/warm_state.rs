//! The state that one process of a node hands over to the next.
mod helpers;
use helpers::*;
use troutknot::*;

/// The next process samples a faulty executor less from its start on, unless the executor has restarted since.
#[test]
fn scores_and_running_times_are_handed_over() {
    let mut old = node(1.0);
    old.list_warm(2);
    for _ in 0..40 {
        let (request_id, executor) = old.dispatched(0);
        old.now += 20.0;
        let actions = old.end_attempt(
            request_id,
            0,
            if number_of(executor) == 0 { Outcome::Error } else { Outcome::Completed },
        );
        old.answer_probes(actions, |_| 0.0);
        old.handle(Event::RequestWithdrawn { request_id });
    }
    let exported = old.dispatcher.export_state(old.now);
    assert!(
        exported.class_running_times[0].mean < 60.0 && exported.class_running_times[0].observations > 5.0,
        "{:?}",
        exported.class_running_times
    );
    let dispatches_to_faulty = |imported: Option<WarmState>, started_at: Option<Millis>| {
        let mut new = node(1.0);
        new.now = old.now;
        new.list_warm(2);
        imported.into_iter().for_each(|exported| _ = new.handle(Event::WarmStateReceived(exported)));
        new.update_endpoints(ListUpdate::Delta, &[endpoint(0, 0, EndpointState::Ready, started_at)]);
        let mut to_faulty = 0;
        for _ in 0..50 {
            let (request_id, executor) = new.dispatched(0);
            to_faulty += (number_of(executor) == 0) as u32;
            new.end_attempt(request_id, 0, Outcome::Completed);
        }
        to_faulty
    };
    let without = dispatches_to_faulty(None, None);
    let imported = dispatches_to_faulty(Some(exported.clone()), None);
    let restarted = dispatches_to_faulty(Some(exported.clone()), Some(old.now - 60_000.0));
    assert!(
        imported < without / 2 && restarted > without / 2,
        "{imported} after an import, {without} without, {restarted} after a restart of the executor"
    );
    // A sample size out of bounds is clamped, and executors that are not listed are ignored.
    let mut other = node(1.0);
    other.list_warm(1);
    other.handle(Event::WarmStateReceived(WarmState { sample_size: 99, ..exported }));
    assert_eq!(other.dispatched(0).1, executor(0));
}
