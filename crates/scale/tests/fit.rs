//! Linear fits over the fleet size: guards against wrong coefficients, and against deviations from the line that are
//! missed or reported without cause.
mod common;

use common::SIZES;
use troutknot_scale::fit::{LinearFit, Sample, group_into_series};
use troutknot_scale::row::{Measurement, NodeKind, figures};

/// Returns one sample per fleet size.
fn samples(value: impl Fn(f64) -> f64) -> Vec<Sample> {
    SIZES.map(|executors| Sample { executors, value: value(executors as f64) }).to_vec()
}

fn assert_close(actual: f64, expected: f64) {
    assert!(
        (actual - expected).abs() <= 1e-9 * expected.abs().max(1.0),
        "{actual} differs from the expected {expected}"
    );
}

#[test]
fn samples_on_a_line_give_its_slope_and_intercept() {
    let fit = LinearFit::through(samples(|size| 3.0 + 0.25 * size)).unwrap();
    assert_close(fit.slope, 0.25);
    assert_close(fit.intercept, 3.0);
    assert_close(fit.r_squared.unwrap(), 1.0);
    assert_close(fit.predict(40_000), 10_003.0);
    assert_eq!((fit.samples.len(), fit.deviation), (5, None));
}

#[test]
fn scattered_samples_give_the_least_squares_line() {
    // Computed by hand: means 2 and 4, sum of squares 2, sum of products 3, residuals -0.5, 1 and -0.5.
    let values = [(1, 2.0), (2, 5.0), (3, 5.0)];
    let fit =
        LinearFit::through(values.map(|(executors, value)| Sample { executors, value }).to_vec()).unwrap();
    assert_close(fit.slope, 1.5);
    assert_close(fit.intercept, 1.0);
    assert_close(fit.r_squared.unwrap(), 0.75);
}

#[test]
fn samples_are_ordered_by_fleet_size() {
    let mut mixed = samples(|size| size);
    mixed.reverse();
    mixed.push(Sample { executors: 1000, value: 1001.0 });
    let fit = LinearFit::through(mixed).unwrap();
    let sizes: Vec<usize> = fit.samples.iter().map(|sample| sample.executors).collect();
    assert_eq!(sizes, [100, 1000, 1000, 5000, 10_000, 19_000]);
}

#[test]
fn equal_values_have_no_r_squared_and_a_single_size_has_no_line() {
    let flat = LinearFit::through(samples(|_| 4.0)).unwrap();
    assert_close(flat.slope, 0.0);
    assert_close(flat.intercept, 4.0);
    assert_eq!((flat.r_squared, flat.deviation), (None, None));
    let two = LinearFit::through(samples(|size| size).into_iter().take(2).collect()).unwrap();
    assert_close(two.slope, 1.0);
    assert_eq!(two.r_squared, None);
    let one = Sample { executors: 100, value: 1.0 };
    assert_eq!(LinearFit::through(vec![one, Sample { value: 2.0, ..one }]), None);
    assert_eq!(LinearFit::through(Vec::new()), None);
}

#[test]
fn a_change_of_slope_is_reported_as_a_deviation() {
    let bent = samples(|size| if size > 15_000.0 { 2.0 * size } else { size });
    let deviation = LinearFit::through(bent).unwrap().deviation.unwrap();
    assert_eq!((deviation.executors, deviation.value), (19_000, 38_000.0));
    assert_close(deviation.predicted, 19_000.0);
    let flattened = samples(|size| size.min(8000.0));
    assert_eq!(LinearFit::through(flattened).unwrap().deviation.unwrap().executors, 10_000);
}

#[test]
fn scatter_like_that_of_smaller_sizes_is_no_deviation() {
    // Up to 15% off the line, in both directions.
    let scattered = [0.9, 1.15, 0.88, 1.1, 0.95];
    let samples: Vec<Sample> = SIZES
        .iter()
        .zip(scattered)
        .map(|(&executors, share)| Sample { executors, value: 500.0 + share * executors as f64 })
        .collect();
    assert_eq!(LinearFit::through(samples).unwrap().deviation, None);
}

#[test]
fn three_sizes_are_too_few_for_a_deviation() {
    let few: Vec<Sample> = samples(|size| size * size).into_iter().take(3).collect();
    assert_eq!(LinearFit::through(few).unwrap().deviation, None);
}

#[test]
fn figures_of_one_series_differ_in_fleet_size_only() {
    let rows = common::rows_within_bounds();
    let series = group_into_series(figures(&rows));
    assert_eq!(series.len(), troutknot_scale::evaluation::BOUNDED_MEASUREMENTS.len() + 2);
    let (key, samples) = series.iter().find(|(key, _)| key.measurement == Measurement::CpuShare).unwrap();
    assert_eq!((key.node, key.turnover(), key.rate()), (NodeKind::Real, 2.0, 75.0));
    assert_eq!(samples.iter().map(|sample| sample.executors).collect::<Vec<_>>(), SIZES);
}
