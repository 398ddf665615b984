//! The executors of a host: handles for their names, and which ones are retained if a list has more than fit into
//! memory. Without I/O.
mod executor_registry;
mod retention;

pub use executor_registry::ExecutorRegistry;
pub use retention::{Rank, Readiness, Retention};

/// Parameters of the 64-bit FNV-1a hash.
const FNV_OFFSET_BASIS: u64 = 0xcbf2_9ce4_8422_2325;
const FNV_PRIME: u64 = 0x0100_0000_01b3;

/// Returns the 64-bit FNV-1a hash of a name, which is the same at every node.
pub fn token(name: &str) -> u64 {
    name.bytes().fold(FNV_OFFSET_BASIS, |hash, byte| (hash ^ u64::from(byte)).wrapping_mul(FNV_PRIME))
}
