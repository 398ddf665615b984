//! Sampling from a seeded generator. The number and order of draws determine the plan of a seed.
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// Independent random streams of one seed, so that a change to one part of a plan leaves the others alone.
#[derive(Clone, Copy)]
#[repr(u64)]
pub(super) enum Stream {
    Executors = 1,
    Steps = 2,
    Requests = 3,
}

/// The generator of a seed's stream, at its beginning.
pub(super) fn generator(seed: u64, stream: Stream) -> ChaCha8Rng {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    rng.set_stream(stream as u64);
    rng
}

/// Samples an index with a probability proportional to its weight; one draw.
pub(super) fn weighted_index(rng: &mut ChaCha8Rng, weights: &[f64]) -> usize {
    let mut remaining = rng.random::<f64>() * weights.iter().sum::<f64>();
    for (index, weight) in weights.iter().enumerate() {
        remaining -= weight;
        if remaining < 0.0 {
            return index;
        }
    }
    // Rounding can leave a remainder of zero.
    weights.iter().rposition(|weight| *weight > 0.0).unwrap_or(0)
}

/// Samples up to `count` of the candidates without replacement; one draw for each.
pub(super) fn sample(rng: &mut ChaCha8Rng, mut candidates: Vec<usize>, count: usize) -> Vec<usize> {
    for index in 0..count.min(candidates.len()) {
        let other = rng.random_range(index..candidates.len());
        candidates.swap(index, other);
    }
    candidates.truncate(count);
    candidates
}
