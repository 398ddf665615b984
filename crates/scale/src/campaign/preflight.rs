//! Whether the machine has what a run needs, found out before anything is started.
use super::{Resource, RunError};
use crate::executor_worker::WorkerProgram;
use crate::file::ScaleFile;
use crate::hollow_executors::Placement;
use rustix::process::{Resource as Limit, Rlimit, getrlimit, setrlimit};

/// Descriptors beside listeners and connections: files, runtimes, the programs' own.
const SPARE_DESCRIPTORS: u64 = 100;
/// A real node's connections to executors are at most a third of its sockets.
const EXECUTOR_SHARE_OF_SOCKETS: u64 = 3;
/// Worker processes of one run.
const MAX_WORKERS: usize = 16;
/// Connections of clients, agents and health checks to one real node, at this end.
const DESCRIPTORS_BESIDE_NODE: u64 = 160;
/// What a listening executor takes in this process and in the kernel.
const BYTES_PER_EXECUTOR: u64 = 8 * 1024;
/// What an open connection takes, both ends together.
const BYTES_PER_CONNECTION: u64 = 32 * 1024;
const BASE_BYTES: u64 = 256 * 1024 * 1024;
/// A run takes no more than this share of the memory that is free.
const MEMORY_SHARE: f64 = 0.5;

/// Connections of the hollow nodes, one end of each.
fn hollow_connections(file: &ScaleFile) -> u64 {
    (file.hollow_nodes.count * file.hollow_nodes.connections) as u64
}

/// Descriptors of the executors: listeners, and their ends of connections.
fn executor_descriptors(file: &ScaleFile) -> u64 {
    let of_real = file.real_nodes.count as u64 * (file.real_nodes.sockets / EXECUTOR_SHARE_OF_SOCKETS);
    file.largest_fleet() as u64 + of_real + hollow_connections(file)
}

/// Descriptors of all else in this process.
fn other_descriptors(file: &ScaleFile) -> u64 {
    file.real_nodes.count as u64 * DESCRIPTORS_BESIDE_NODE + hollow_connections(file) + SPARE_DESCRIPTORS
}

fn memory(file: &ScaleFile) -> u64 {
    let real = file.real_nodes.count as u64 * file.real_nodes.memory.as_u64();
    let connections = hollow_connections(file);
    BASE_BYTES + real + file.largest_fleet() as u64 * BYTES_PER_EXECUTOR + connections * BYTES_PER_CONNECTION
}

/// Where the executors will live: in this process if its descriptors are enough, else in worker processes, where
/// there is a program for them.
///
/// # Errors
/// What there is too little of.
pub fn check(file: &ScaleFile, worker: Option<&WorkerProgram>) -> Result<Placement, RunError> {
    let needed = memory(file);
    let available = (kilobytes("MemAvailable:") as f64 * 1024.0 * MEMORY_SHARE) as u64;
    // Where the kernel says nothing, nothing is known to be missing.
    if available > 0 && available < needed {
        return Err(RunError::InsufficientResources { resource: Resource::Memory, needed, available });
    }
    place(executor_descriptors(file), other_descriptors(file), worker, allowed_descriptors)
}

/// The same for numbers of descriptors; `allow` says how many a process may have of those that it needs.
///
/// # Errors
/// Where they are too few.
pub fn place(
    of_executors: u64,
    of_others: u64,
    worker: Option<&WorkerProgram>,
    allow: impl FnOnce(u64) -> u64,
) -> Result<Placement, RunError> {
    let needed = of_executors + of_others;
    let available = allow(needed);
    let too_little =
        |needed| RunError::InsufficientResources { resource: Resource::FileDescriptors, needed, available };
    if needed <= available {
        return Ok(Placement::ThisProcess);
    }
    let Some(program) = worker else { return Err(too_little(needed)) };
    if of_others > available || available <= SPARE_DESCRIPTORS {
        return Err(too_little(of_others.max(SPARE_DESCRIPTORS + 1)));
    }
    // Connections need not spread evenly: each worker is filled by half at most.
    let of_worker = ((available - SPARE_DESCRIPTORS) / 2).max(1);
    let count = of_executors.div_ceil(of_worker) as usize;
    if count > MAX_WORKERS {
        return Err(too_little(needed));
    }
    Ok(Placement::Workers { count, program: program.clone() })
}

/// The limit on this process's descriptors, raised up to the hard one where that is needed.
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

/// In bytes; 0 where the kernel does not say it.
pub fn total_memory() -> u64 {
    kilobytes("MemTotal:") * 1024
}

fn kilobytes(field: &str) -> u64 {
    let info = std::fs::read_to_string("/proc/meminfo").unwrap_or_default();
    let line = info.lines().find_map(|line| line.strip_prefix(field));
    line.and_then(|line| line.split_whitespace().next()?.parse().ok()).unwrap_or(0)
}
