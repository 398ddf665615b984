//! A worker's side of the pipes: JSON lines in, JSON lines out, in order, until the input ends.
use std::io::{BufRead, BufReader, Write, pipe};
use std::thread;
use std::time::Duration;
use troutknot_scale::executor_orders::{Order, Reply};
use troutknot_scale::executor_terms::ExecutorTerms;
use troutknot_scale::executor_worker::serve;

fn terms() -> ExecutorTerms {
    ExecutorTerms {
        seed: 1,
        slots: 1,
        queue_capacity: 1,
        mean_service: Duration::from_millis(1),
        told_at_latest: Duration::from_secs(6),
        drain_grace: Duration::from_secs(2),
        slack: Duration::ZERO,
        cold_share: 0.25,
        ramp: Duration::from_secs(10),
        fall_multiple: 4.0,
        fall_window: Duration::from_secs(1),
    }
}

/// What a worker answers to these orders; it has ended when this returns.
fn answers(orders: &[String]) -> Vec<Reply> {
    let (input, mut to_worker) = pipe().unwrap();
    let (from_worker, output) = pipe().unwrap();
    let worker = thread::spawn(move || serve(input, output));
    let mut replies = BufReader::new(from_worker).lines();
    let mut given = Vec::new();
    for order in orders {
        writeln!(to_worker, "{order}").unwrap();
        let Some(Ok(line)) = replies.next() else { break };
        given.push(serde_json::from_str(&line).unwrap());
    }
    drop(to_worker);
    assert!(replies.next().is_none(), "it says no more");
    worker.join().unwrap().unwrap();
    given
}

fn line(order: &Order) -> String {
    serde_json::to_string(order).unwrap()
}

#[test]
fn a_worker_opens_its_part_of_the_fleet_and_answers_each_order() {
    let orders = [
        Order::Open { first: 40, count: 3, terms: terms() },
        Order::Kill(0..100),
        Order::Restart(41..42),
        Order::Told { node: 1, executors: vec![41] },
        Order::Report,
    ];
    let replies = answers(&orders.iter().map(line).collect::<Vec<_>>());
    let Reply::Opened(addresses) = &replies[0] else { panic!("{replies:?}") };
    assert_eq!(addresses.len(), 3);
    assert_eq!(replies[1..4], [Reply::Done, Reply::Done, Reply::Done]);
    assert!(matches!(&replies[4], Reply::Report(report) if report.breaches.is_empty()));
}

#[test]
fn an_order_before_the_executors_are_open_fails_and_so_does_a_second_opening() {
    let open = Order::Open { first: 50, count: 1, terms: terms() };
    let replies = answers(&[line(&Order::Report), line(&open), line(&open)]);
    assert!(matches!(replies[0], Reply::Failed(_)));
    assert!(matches!(replies[1], Reply::Opened(_)));
    assert!(matches!(replies[2], Reply::Failed(_)));
}

#[test]
fn a_worker_ends_at_a_line_that_is_no_order() {
    assert_eq!(answers(&["nonsense".into(), line(&Order::Report)]), []);
}
