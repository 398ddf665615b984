//! Where executors are placed by the descriptors that a process may have.
use std::path::PathBuf;
use troutknot_scale::campaign::preflight::choose_placement;
use troutknot_scale::campaign::{Resource, RunError};
use troutknot_scale::executor_worker::WorkerProgram;
use troutknot_scale::hollow_executors::Placement;

fn worker() -> WorkerProgram {
    WorkerProgram { path: PathBuf::from("worker"), arguments: Vec::new() }
}

#[test]
fn executors_stay_in_this_process_where_its_descriptors_are_enough() {
    let placed = choose_placement(19_000, 1000, Some(&worker()), |_| 20_000).unwrap();
    assert_eq!(placed, Placement::ThisProcess);
}

#[test]
fn executors_are_spread_over_workers_that_are_filled_by_half() {
    let program = worker();
    let placed = choose_placement(30_000, 1000, Some(&program), |_| 20_000).unwrap();
    assert_eq!(placed, Placement::Workers { count: 4, program });
}

#[test]
fn too_few_descriptors_are_found_before_the_run() {
    let cases = [
        // No program for workers.
        (19_000, 1001, None, 20_000, 20_001),
        // Not even this process's own are there.
        (100, 5000, Some(worker()), 4000, 5000),
        (100, 50, Some(worker()), 100, 101),
        // More workers than a run starts.
        (50_000, 100, Some(worker()), 1024, 50_100),
    ];
    for (of_executors, of_others, worker, available, expected) in cases {
        let placed = choose_placement(of_executors, of_others, worker.as_ref(), |_| available);
        assert!(
            matches!(placed, Err(RunError::InsufficientResources { resource: Resource::FileDescriptors, needed, .. })
                if needed == expected),
            "{of_executors} and {of_others} of {available}: {placed:?}"
        );
    }
}
