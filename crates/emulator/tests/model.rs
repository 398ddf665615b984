//! Tests of the executor model at given times, without sockets.
use troutknot_emulator::*;

fn attempt(key: u64, slots: f64, work: f64) -> Attempt {
    Attempt {
        key: AttemptKey(key),
        request_id: key,
        request_class: 0,
        slots,
        memory: 0.0,
        work,
        priority: key as f64,
    }
}

/// The outputs up to a time as text: output, attempt and time in whole milliseconds.
fn outputs(executor: &mut Executor, until: f64) -> String {
    let mut words = Vec::new();
    while let Some((at, output)) = executor.pop_output(until) {
        let at = at.round();
        words.push(match output {
            Output::Started { key } => format!("start {} {at}", key.0),
            Output::Progress { key, share } => format!("share {} {share:.2} {at}", key.0),
            Output::Ended { key, outcome } => format!("{outcome:?} {} {at}", key.0),
            Output::Overloaded { .. } => format!("overloaded {at}"),
        });
    }
    words.join(", ")
}

fn machine(slots: f64, cores: f64) -> Machine {
    Machine { slots, cores, ..Machine::default() }
}

#[test]
fn queued_attempts_start_in_the_order_of_the_queue() {
    let machine_with = |order| Machine { queue_order: order, ..machine(2.0, 2.0) };
    for (order, expected) in [
        (QueueOrder::InOrder, "start 0 0, Done 0 100, start 1 100, Done 1 200, start 2 200, Done 2 300"),
        (QueueOrder::Backfill, "start 0 0, start 2 0, Done 0 100, Done 2 100, start 1 100, Done 1 200"),
        (QueueOrder::Priority, "start 0 0, start 2 0, Done 0 100, Done 2 100, start 1 100, Done 1 200"),
    ] {
        let mut executor = Executor::new(machine_with(order), 1, 0.0, true);
        for (key, slots) in [(0, 1.0), (1, 2.0), (2, 1.0)] {
            assert_eq!(executor.dispatch(0.0, attempt(key, slots, 100.0)), Admission::Accepted);
        }
        assert_eq!(outputs(&mut executor, 1000.0), expected, "{order:?}");
    }
}

#[test]
fn attempts_beyond_the_queue_or_too_large_are_rejected() {
    let mut executor = Executor::new(Machine { queue_capacity: 1, ..machine(1.0, 1.0) }, 1, 0.0, true);
    let mut dispatch = |key, slots| executor.dispatch(0.0, attempt(key, slots, 10.0));
    use Admission::*;
    assert_eq!(
        [dispatch(0, 1.0), dispatch(1, 1.0), dispatch(2, 1.0), dispatch(3, 2.0)],
        [Accepted, Accepted, Rejected, Rejected]
    );
}

#[test]
fn attempts_share_the_cores_if_there_are_more_slots() {
    let mut executor = Executor::new(machine(4.0, 2.0), 1, 0.0, true);
    (0..4).for_each(|key| _ = executor.dispatch(0.0, attempt(key, 1.0, 100.0)));
    outputs(&mut executor, 199.0);
    assert_eq!(executor.running_count(), 4);
    outputs(&mut executor, 201.0);
    assert_eq!(executor.running_count(), 0);
}

#[test]
fn overload_during_the_slow_start_stops_an_executor_until_its_restart() {
    let overload_limit = Some(OverloadLimit { multiple: 2.0, window: 100.0 });
    let slow_start = Some(SlowStart { initial_capacity: 0.25, ramp: Ramp::Time(1000.0), overload_limit });
    for (is_warm, works, expected) in [
        // A quarter of four cores completes 100 within the window, so the limit is 200.
        (false, vec![100.0, 90.0], false),
        (false, vec![100.0, 110.0], true),
        (true, vec![100.0, 110.0, 5000.0], false),
    ] {
        let mut executor = Executor::new(Machine { slow_start, ..machine(4.0, 4.0) }, 1, 0.0, is_warm);
        for (key, work) in works.iter().enumerate() {
            executor.dispatch(0.0, attempt(key as u64, 1.0, *work));
        }
        let text = outputs(&mut executor, 0.0);
        assert_eq!((executor.is_down(), text.contains("overloaded")), (expected, expected), "{works:?}");
        assert_eq!(text.contains("Lost 0"), expected);
        executor.pop_output(1e6);
        assert_eq!(executor.is_down(), expected, "the executor stays down");
        executor.restart(1e6);
        assert_eq!(executor.dispatch(1e6, attempt(9, 1.0, 10.0)), Admission::Accepted);
    }
}

#[test]
fn capacity_ramps_up_by_time_or_by_work() {
    for (ramp, expected) in [(Ramp::Time(400.0), 0.625), (Ramp::Work(100.0), 0.4375)] {
        let slow_start = Some(SlowStart { initial_capacity: 0.25, ramp, overload_limit: None });
        let mut executor = Executor::new(Machine { slow_start, ..machine(1.0, 1.0) }, 1, 0.0, false);
        assert_eq!(executor.capacity_share(), 0.25);
        executor.dispatch(0.0, attempt(0, 1.0, if ramp == Ramp::Time(400.0) { 1e4 } else { 25.0 }));
        outputs(&mut executor, 200.0);
        assert!(
            (executor.capacity_share() - expected).abs() < 0.01,
            "{ramp:?}: {}",
            executor.capacity_share()
        );
    }
}

#[test]
fn cancelled_attempts_stop_only_within_the_cancel_scope() {
    for (cancel_scope, expected) in [
        (CancelScope::None, "start 0 0, Done 0 100, start 1 100, Done 1 200"),
        (CancelScope::Waiting, "start 0 0, Done 0 100"),
        (CancelScope::Running, "start 0 0, start 1 50"),
    ] {
        let mut executor = Executor::new(Machine { cancel_scope, ..machine(1.0, 1.0) }, 1, 0.0, true);
        (0..2).for_each(|key| _ = executor.dispatch(0.0, attempt(key, 1.0, 100.0)));
        (0..2).for_each(|key| executor.cancel(50.0, AttemptKey(key)));
        assert_eq!(outputs(&mut executor, 1000.0), expected, "{cancel_scope:?}");
    }
}

#[test]
fn a_cancelled_attempt_is_continued_from_its_last_checkpoint() {
    let machine = Machine {
        cancel_scope: CancelScope::Running,
        checkpoint_interval: Some(40.0),
        progress_interval: Some(50.0),
        ..machine(1.0, 1.0)
    };
    let mut executor = Executor::new(machine, 1, 0.0, true);
    executor.dispatch(0.0, attempt(0, 1.0, 100.0));
    executor.cancel(70.0, AttemptKey(0));
    executor.dispatch(70.0, Attempt { key: AttemptKey(1), ..attempt(0, 1.0, 100.0) });
    assert_eq!(
        outputs(&mut executor, 1000.0),
        "start 0 0, share 0 0.50 50, start 1 70, share 1 0.90 120, Done 1 130"
    );
}

#[test]
fn a_drain_returns_queued_attempts_and_completes_running_ones() {
    for (returns_queue_on_drain, expected) in [
        (true, "start 0 0, Returned 1 50, Done 0 100"),
        (false, "start 0 0, Done 0 100, start 1 100, Done 1 200"),
    ] {
        let mut executor =
            Executor::new(Machine { returns_queue_on_drain, ..machine(1.0, 1.0) }, 1, 0.0, true);
        (0..2).for_each(|key| _ = executor.dispatch(0.0, attempt(key, 1.0, 100.0)));
        executor.drain(50.0);
        assert_eq!(outputs(&mut executor, 1000.0), expected);
    }
}

#[test]
fn single_and_overlapping_faults_change_the_end_of_an_attempt() {
    use Fault::*;
    let contention = CpuContention { share: 0.5, on: 100.0, off: 100.0 };
    // Faults with their begin and end, and the outputs for an attempt with work of 100 that arrives at 0.
    type Case = (Vec<(Fault, f64, f64)>, &'static str);
    let cases: Vec<Case> = vec![
        (vec![], "start 0 0, Done 0 100"),
        (vec![(Slow { factor: 3.0 }, 0.0, 60.0)], "start 0 0, Done 0 140"),
        (
            vec![(Slow { factor: 2.0 }, 0.0, 60.0), (Slow { factor: 2.0 }, 20.0, 40.0)],
            "start 0 0, Done 0 135",
        ),
        (vec![(Pause, 50.0, 250.0)], "start 0 0, Done 0 300"),
        (vec![(Pause, 0.0, 250.0)], "start 0 250, Done 0 350"),
        (vec![(contention, 0.0, 1000.0)], "start 0 0, Done 0 150"),
        (vec![(Silence { restarts: true }, 50.0, 250.0)], "start 0 0, Reset 0 250"),
        (vec![(Silence { restarts: false }, 50.0, 250.0)], "start 0 0, Done 0 100"),
        (vec![(NeverStart { request_class: 0, share: 1.0 }, 0.0, 1000.0)], ""),
        (vec![(NeverStart { request_class: 1, share: 1.0 }, 0.0, 1000.0)], "start 0 0, Done 0 100"),
        (vec![(Errors { share: 1.0 }, 0.0, 1000.0)], "Error"),
    ];
    for (faults, expected) in cases {
        let mut executor = Executor::new(machine(1.0, 1.0), 1, 0.0, true);
        let mut steps: Vec<(f64, usize, bool)> = Vec::new();
        for (number, (_, begin, end)) in faults.iter().enumerate() {
            steps.extend([(*begin, number, true), (*end, number, false)]);
        }
        steps.sort_by(|a, b| a.0.total_cmp(&b.0));
        let (now, later): (Vec<_>, Vec<_>) = steps.into_iter().partition(|step| step.0 == 0.0);
        let apply = |executor: &mut Executor, (at, number, begins): (f64, usize, bool)| {
            let fault = faults[number].0.clone();
            if begins {
                executor.begin_fault(at, number as u64, fault)
            } else {
                executor.end_fault(at, number as u64)
            }
        };
        now.into_iter().for_each(|step| apply(&mut executor, step));
        let admission = executor.dispatch(0.0, attempt(0, 1.0, 100.0));
        later.into_iter().for_each(|step| apply(&mut executor, step));
        let text =
            if admission == Admission::Error { "Error".into() } else { outputs(&mut executor, 5000.0) };
        assert_eq!(text, expected, "{faults:?}");
    }
}

#[test]
fn resets_end_running_attempts_and_heavy_tails_are_equal_on_all_executors() {
    let mut executor = Executor::new(machine(1.0, 1.0), 1, 0.0, true);
    executor.begin_fault(0.0, 0, Fault::Resets { share: 1.0 });
    executor.dispatch(0.0, attempt(0, 1.0, 100.0));
    let text = outputs(&mut executor, 99.0);
    assert!(text.starts_with("start 0 0, Reset 0 "), "{text}");
    let tail = Fault::HeavyTail { request_class: 0, share: 1.0, alpha: 1.5 };
    let ends = [1, 2].map(|seed| {
        let mut executor = Executor::new(machine(1.0, 1.0), seed, 0.0, true);
        executor.begin_fault(0.0, 0, tail.clone());
        executor.dispatch(0.0, attempt(5, 1.0, 100.0));
        outputs(&mut executor, 1e9)
    });
    assert_eq!(ends[0], ends[1]);
    assert_ne!(ends[0], "start 5 0, Done 5 100");
}

#[test]
fn load_reports_have_the_configured_age_delay_and_error() {
    let load_reports = LoadReportTiming { interval: 100.0, delay: 20.0, jitter: 10.0, noise: 0.0 };
    let mut executor = Executor::new(Machine { load_reports, ..machine(4.0, 4.0) }, 1, 0.0, true);
    executor.dispatch(1000.0, attempt(0, 1.0, 1e6));
    assert_eq!(executor.probe(1010.0).free_slots, 4.0, "no report can show the attempt yet");
    assert_eq!(executor.probe(1000.0 + 20.0 + 10.0 + 2.0 * 100.0).free_slots, 3.0);
    executor.begin_fault(1300.0, 0, Fault::WrongLoadReports { factor: 0.0 });
    assert_eq!(executor.probe(1300.0).free_slots, 4.0, "the wrong report shows no load");
    executor.end_fault(1300.0, 0);
    executor.begin_fault(1300.0, 1, Fault::LateLoadReports { delay: 800.0 });
    executor.dispatch(1301.0, attempt(1, 1.0, 1e6));
    assert_eq!(executor.probe(2000.0).free_slots, 3.0, "the delayed report does not show the second attempt");
}

#[test]
fn probes_and_handshakes_cost_work_and_connections_are_limited() {
    let machine = Machine { probe_work: 10.0, handshake_work: 20.0, max_connections: 1, ..machine(1.0, 1.0) };
    let mut executor = Executor::new(machine, 1, 0.0, true);
    assert!(executor.connect(0.0) && !executor.connect(0.0));
    executor.dispatch(0.0, attempt(0, 1.0, 100.0));
    executor.probe(0.0);
    assert_eq!(outputs(&mut executor, 1000.0), "start 0 0, Done 0 130");
    executor.disconnect(1000.0);
    assert!(executor.connect(1000.0));
}
