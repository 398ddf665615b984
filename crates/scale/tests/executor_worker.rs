//! The worker's side of the pipes: commands and replies as JSON lines, in the same order, until the input ends.
use std::io::{BufRead, BufReader, Write, pipe};
use std::thread;
use std::time::Duration;
use troutknot_scale::executor_commands::{Command, Reply};
use troutknot_scale::executor_config::ExecutorConfig;
use troutknot_scale::executor_worker::serve;

fn config() -> ExecutorConfig {
    ExecutorConfig {
        seed: 1,
        slots: 1,
        queue_capacity: 1,
        mean_service_time: Duration::from_millis(1),
        max_notification_delay: Duration::from_secs(6),
        drain_grace: Duration::from_secs(2),
        slack: Duration::ZERO,
        initial_capacity: 0.25,
        ramp_duration: Duration::from_secs(10),
        budget_multiple: 4.0,
        budget_window: Duration::from_secs(1),
    }
}

/// Returns the replies of a worker to these lines; the worker has ended on return.
fn replies_to(lines: &[String]) -> Vec<Reply> {
    let (input, mut to_worker) = pipe().unwrap();
    let (from_worker, output) = pipe().unwrap();
    let worker = thread::spawn(move || serve(input, output));
    let mut replies = BufReader::new(from_worker).lines();
    let mut received = Vec::new();
    for line in lines {
        writeln!(to_worker, "{line}").unwrap();
        let Some(Ok(reply)) = replies.next() else { break };
        received.push(serde_json::from_str(&reply).unwrap());
    }
    drop(to_worker);
    assert!(replies.next().is_none(), "the worker writes nothing after its last reply");
    worker.join().unwrap().unwrap();
    received
}

fn to_line(command: &Command) -> String {
    serde_json::to_string(command).unwrap()
}

#[test]
fn a_worker_opens_its_part_of_the_fleet_and_replies_to_each_command() {
    let commands = [
        Command::Open { first: 40, count: 3, config: config() },
        Command::Kill(0..100),
        Command::Restart(41..42),
        Command::RecordNotifications { node: 1, executors: vec![41] },
        Command::Report,
    ];
    let replies = replies_to(&commands.iter().map(to_line).collect::<Vec<_>>());
    let Reply::Opened(addresses) = &replies[0] else { panic!("{replies:?}") };
    assert_eq!(addresses.len(), 3);
    assert_eq!(replies[1..4], [Reply::Done, Reply::Done, Reply::Done]);
    assert!(matches!(&replies[4], Reply::Report(report) if report.violations.is_empty()));
}

#[test]
fn a_command_before_open_fails_and_so_does_a_second_open() {
    let open = Command::Open { first: 50, count: 1, config: config() };
    let replies = replies_to(&[to_line(&Command::Report), to_line(&open), to_line(&open)]);
    assert!(matches!(replies[0], Reply::Failed(_)));
    assert!(matches!(replies[1], Reply::Opened(_)));
    assert!(matches!(replies[2], Reply::Failed(_)));
}

#[test]
fn a_worker_ends_at_a_line_that_is_not_a_command() {
    assert_eq!(replies_to(&["nonsense".into(), to_line(&Command::Report)]), []);
}
