//! Means with bootstrap confidence intervals: the distribution of the mean over resamples of the runs, drawn with
//! replacement.
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use serde::Serialize;

/// Number of bootstrap resamples.
const RESAMPLES: usize = 2000;

/// A mean and its 95% confidence interval.
#[derive(Clone, Copy, PartialEq, Debug, Serialize)]
pub struct MeanEstimate {
    pub mean: f64,
    pub low: f64,
    pub high: f64,
}

/// Estimates the mean of values with its 95% percentile bootstrap interval. Equal values give equal results; without
/// values all three figures are NaN.
pub fn estimate_mean(values: &[f64]) -> MeanEstimate {
    let average = |values: &mut dyn Iterator<Item = f64>, count: usize| values.sum::<f64>() / count as f64;
    let count = values.len();
    let mean = average(&mut values.iter().copied(), count);
    if count < 2 {
        return MeanEstimate { mean, low: mean, high: mean };
    }
    let mut rng = ChaCha8Rng::seed_from_u64(0x626f_6f74);
    let mut means: Vec<f64> = (0..RESAMPLES)
        .map(|_| average(&mut (0..count).map(|_| values[rng.random_range(0..count)]), count))
        .collect();
    means.sort_by(f64::total_cmp);
    let quantile = |share: f64| means[(share * (RESAMPLES - 1) as f64).round() as usize];
    MeanEstimate { mean, low: quantile(0.025), high: quantile(0.975) }
}

/// Guards against intervals whose coverage is not about 95%, and against wrong results for few or equal values.
#[test]
fn intervals_cover_the_true_mean_at_about_their_nominal_rate() {
    let mut rng = ChaCha8Rng::seed_from_u64(5);
    let mut covered = 0;
    for _ in 0..200 {
        let values: Vec<f64> = (0..20).map(|_| rng.random::<f64>()).collect();
        let estimate = estimate_mean(&values);
        assert!(estimate.low <= estimate.mean && estimate.mean <= estimate.high);
        covered += u32::from((estimate.low..=estimate.high).contains(&0.5));
    }
    // Percentile intervals of 20 values cover the mean in slightly less than 95% of the cases.
    assert!((170..=200).contains(&covered), "{covered} of 200");
    assert_eq!(estimate_mean(&[3.0]), MeanEstimate { mean: 3.0, low: 3.0, high: 3.0 });
    assert!(estimate_mean(&[]).mean.is_nan());
    let constant = estimate_mean(&[2.0; 9]);
    assert_eq!((constant.low, constant.high), (2.0, 2.0));
}
