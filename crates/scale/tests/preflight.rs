//! Placement of executors by the descriptors that a process may open: guards against runs that run out of descriptors.
use std::path::PathBuf;
use troutknot_scale::campaign::preflight::choose_placement;
use troutknot_scale::campaign::{Resource, RunError};
use troutknot_scale::executor_worker::WorkerProgram;
use troutknot_scale::hollow_executors::Placement;

fn worker() -> WorkerProgram {
    WorkerProgram { path: PathBuf::from("worker"), arguments: Vec::new() }
}

#[test]
fn executors_run_in_this_process_if_its_descriptors_suffice() {
    let placement = choose_placement(19_000, 1000, Some(&worker()), |_| 20_000).unwrap();
    assert_eq!(placement, Placement::ThisProcess);
}

#[test]
fn executors_are_spread_over_workers_that_use_half_their_descriptors() {
    let program = worker();
    let placement = choose_placement(30_000, 1000, Some(&program), |_| 20_000).unwrap();
    assert_eq!(placement, Placement::Workers { count: 4, program });
}

#[test]
fn too_few_descriptors_are_reported_before_the_run() {
    let cases = [
        // No worker program.
        (19_000, 1001, None, 20_000, 20_001),
        // Too few even for the needs of this process without executors.
        (100, 5000, Some(worker()), 4000, 5000),
        (100, 50, Some(worker()), 100, 101),
        // More workers than a run may start.
        (50_000, 100, Some(worker()), 1024, 50_100),
    ];
    for (executor_descriptors, other_descriptors, worker, available, expected) in cases {
        let placement =
            choose_placement(executor_descriptors, other_descriptors, worker.as_ref(), |_| available);
        assert!(
            matches!(placement, Err(RunError::InsufficientResources { resource: Resource::FileDescriptors, needed, .. })
                if needed == expected),
            "{executor_descriptors} and {other_descriptors} of {available}: {placement:?}"
        );
    }
}
