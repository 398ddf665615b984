//! Checks before a run that the machine has enough file descriptors and memory.
use super::{Resource, RunError};
use crate::executor_worker::WorkerProgram;
use crate::file::ScaleFile;
use crate::hollow_executors::Placement;
use rustix::process::{Resource as Limit, Rlimit, getrlimit, setrlimit};

/// Descriptors for files, the async runtimes and the program itself, in addition to listeners and connections.
const SPARE_DESCRIPTORS: u64 = 100;
/// A real node uses at most one in this many of its sockets for connections to executors.
const SOCKETS_PER_EXECUTOR_CONNECTION: u64 = 3;
/// Upper limit of the worker processes of one run.
const MAX_WORKERS: usize = 16;
/// Descriptors in this process for the connections of clients, discovery and health checks to one real node.
const DESCRIPTORS_PER_NODE: u64 = 160;
/// Memory of a listening executor in bytes, in this process and in the kernel.
const BYTES_PER_EXECUTOR: u64 = 8 * 1024;
/// Memory of an open connection in bytes, both ends together.
const BYTES_PER_CONNECTION: u64 = 32 * 1024;
/// Memory of the test kit in bytes, without executors, connections and real nodes.
const BASE_BYTES: u64 = 256 * 1024 * 1024;
/// Upper limit of the memory of a run, as a share of the available memory.
const MAX_MEMORY_SHARE: f64 = 0.5;

/// Returns the number of connections of all hollow nodes.
fn hollow_connections(file: &ScaleFile) -> u64 {
    (file.hollow_nodes.count * file.hollow_nodes.connections) as u64
}

/// Returns the descriptors that the executors need for listeners and accepted connections.
fn executor_descriptors(file: &ScaleFile) -> u64 {
    let from_real_nodes =
        file.real_nodes.count as u64 * (file.real_nodes.sockets / SOCKETS_PER_EXECUTOR_CONNECTION);
    file.largest_fleet() as u64 + from_real_nodes + hollow_connections(file)
}

/// Returns the descriptors that this process needs in addition to those of the executors.
fn other_descriptors(file: &ScaleFile) -> u64 {
    file.real_nodes.count as u64 * DESCRIPTORS_PER_NODE + hollow_connections(file) + SPARE_DESCRIPTORS
}

/// Estimates the memory of a run in bytes.
fn estimate_memory(file: &ScaleFile) -> u64 {
    let real = file.real_nodes.count as u64 * file.real_nodes.memory.as_u64();
    let connections = hollow_connections(file);
    BASE_BYTES + real + file.largest_fleet() as u64 * BYTES_PER_EXECUTOR + connections * BYTES_PER_CONNECTION
}

/// Checks memory and descriptors, and decides where the executors run: in this process if it may open enough
/// descriptors, otherwise in worker processes if `worker` is given.
///
/// # Errors
/// [`RunError::InsufficientResources`] with the resource that is too small.
pub fn check_resources(file: &ScaleFile, worker: Option<&WorkerProgram>) -> Result<Placement, RunError> {
    let needed = estimate_memory(file);
    let available = (read_meminfo_kib("MemAvailable:") as f64 * 1024.0 * MAX_MEMORY_SHARE) as u64;
    // 0 means that the kernel does not report its memory: then the check is skipped.
    if available > 0 && available < needed {
        return Err(RunError::InsufficientResources { resource: Resource::Memory, needed, available });
    }
    choose_placement(executor_descriptors(file), other_descriptors(file), worker, allowed_descriptors)
}

/// Decides by the number of descriptors needed where the executors run. `allow` takes the number that a single process
/// would need for the run and returns the number that it may open.
///
/// # Errors
/// [`RunError::InsufficientResources`] if the descriptors do not suffice.
pub fn choose_placement(
    executor_descriptors: u64,
    other_descriptors: u64,
    worker: Option<&WorkerProgram>,
    allow: impl FnOnce(u64) -> u64,
) -> Result<Placement, RunError> {
    let needed = executor_descriptors + other_descriptors;
    let available = allow(needed);
    let insufficient =
        |needed| RunError::InsufficientResources { resource: Resource::FileDescriptors, needed, available };
    if needed <= available {
        return Ok(Placement::ThisProcess);
    }
    let Some(program) = worker else { return Err(insufficient(needed)) };
    if other_descriptors > available || available <= SPARE_DESCRIPTORS {
        return Err(insufficient(other_descriptors.max(SPARE_DESCRIPTORS + 1)));
    }
    // Connections may be spread unevenly, so each worker is planned to use at most half of its descriptors.
    let per_worker = ((available - SPARE_DESCRIPTORS) / 2).max(1);
    let count = executor_descriptors.div_ceil(per_worker) as usize;
    if count > MAX_WORKERS {
        return Err(insufficient(needed));
    }
    Ok(Placement::Workers { count, program: program.clone() })
}

/// Returns the descriptor limit of this process, after raising it as far as needed and as the hard limit allows.
fn allowed_descriptors(needed: u64) -> u64 {
    let Rlimit { current, maximum } = getrlimit(Limit::Nofile);
    let unlimited = u64::MAX;
    let (current, maximum) = (current.unwrap_or(unlimited), maximum.unwrap_or(unlimited));
    if current >= needed || maximum <= current {
        return current;
    }
    let raised = Rlimit { current: Some(needed.min(maximum)), maximum: Some(maximum) };
    match setrlimit(Limit::Nofile, raised) {
        Ok(()) => needed.min(maximum),
        Err(_) => current,
    }
}

/// Returns the memory of the machine in bytes; 0 if the kernel does not report it.
pub fn total_memory() -> u64 {
    read_meminfo_kib("MemTotal:") * 1024
}

/// Reads a field of `/proc/meminfo` in KiB; 0 if it is missing.
fn read_meminfo_kib(field: &str) -> u64 {
    let info = std::fs::read_to_string("/proc/meminfo").unwrap_or_default();
    let line = info.lines().find_map(|line| line.strip_prefix(field));
    line.and_then(|line| line.split_whitespace().next()?.parse().ok()).unwrap_or(0)
}
