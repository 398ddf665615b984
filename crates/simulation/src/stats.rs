//! Means with intervals by bootstrap: what would come out if the same runs were drawn again, with replacement.
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use serde::Serialize;

const RESAMPLES: usize = 2000;

/// A mean and its 95% interval.
#[derive(Clone, Copy, PartialEq, Debug, Serialize)]
pub struct Mean {
    pub mean: f64,
    pub low: f64,
    pub high: f64,
}

/// The mean of values with its 95% percentile interval by bootstrap; the same values give the same.
/// All three are not a number where there are no values.
pub fn mean(values: &[f64]) -> Mean {
    let of = |values: &mut dyn Iterator<Item = f64>, count: usize| values.sum::<f64>() / count as f64;
    let count = values.len();
    let mean = of(&mut values.iter().copied(), count);
    if count < 2 {
        return Mean { mean, low: mean, high: mean };
    }
    let mut rng = ChaCha8Rng::seed_from_u64(0x626f_6f74);
    let mut means: Vec<f64> = (0..RESAMPLES)
        .map(|_| of(&mut (0..count).map(|_| values[rng.random_range(0..count)]), count))
        .collect();
    means.sort_by(f64::total_cmp);
    let at = |share: f64| means[(share * (RESAMPLES - 1) as f64).round() as usize];
    Mean { mean, low: at(0.025), high: at(0.975) }
}

#[test]
fn intervals_hold_the_mean_about_as_often_as_they_say() {
    let mut rng = ChaCha8Rng::seed_from_u64(5);
    let mut held = 0;
    for _ in 0..200 {
        let values: Vec<f64> = (0..20).map(|_| rng.random::<f64>()).collect();
        let m = mean(&values);
        assert!(m.low <= m.mean && m.mean <= m.high);
        held += u32::from((m.low..=m.high).contains(&0.5));
    }
    // A little under 95%, as percentile intervals of 20 values are.
    assert!((170..=200).contains(&held), "{held} of 200");
    assert_eq!(mean(&[3.0]), Mean { mean: 3.0, low: 3.0, high: 3.0 });
    assert!(mean(&[]).mean.is_nan());
    let constant = mean(&[2.0; 9]);
    assert_eq!((constant.low, constant.high), (2.0, 2.0));
}
