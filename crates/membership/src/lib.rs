//! Which executors a host keeps in mind: handles for names, and the choice where a list names more than fit.
//! Without I/O.
mod executor_registry;
mod retention;

pub use executor_registry::ExecutorRegistry;
pub use retention::{Rank, Readiness, Retention};

/// The parameters of the hash FNV-1a with 64 bits.
const FNV_OFFSET_BASIS: u64 = 0xcbf2_9ce4_8422_2325;
const FNV_PRIME: u64 = 0x0100_0000_01b3;

/// The FNV-1a hash of a name, so that every node has the same number for it.
pub fn token(name: &str) -> u64 {
    name.bytes().fold(FNV_OFFSET_BASIS, |hash, byte| (hash ^ u64::from(byte)).wrapping_mul(FNV_PRIME))
}
