//! Lines through figures: known ones are found again, and where values leave them is said.
mod common;

use common::SIZES;
use troutknot_scale::fit::{LinearFit, Sample, group_into_series};
use troutknot_scale::row::{Measurement, NodeKind, figures};

fn samples(value: impl Fn(f64) -> f64) -> Vec<Sample> {
    SIZES.map(|executors| Sample { executors, value: value(executors as f64) }).to_vec()
}

fn near(a: f64, b: f64) {
    assert!((a - b).abs() <= 1e-9 * b.abs().max(1.0), "{a} is not {b}");
}

#[test]
fn a_line_is_found_again() {
    let fit = LinearFit::through(samples(|size| 3.0 + 0.25 * size)).unwrap();
    near(fit.slope, 0.25);
    near(fit.intercept, 3.0);
    near(fit.r_squared.unwrap(), 1.0);
    near(fit.predict(40_000), 10_003.0);
    assert_eq!((fit.samples.len(), fit.deviation), (5, None));
}

#[test]
fn known_sums_give_the_known_line() {
    // By hand: means 2 and 4, sum of squares 2, of products 3; residues -0.5, 1, -0.5.
    let values = [(1, 2.0), (2, 5.0), (3, 5.0)];
    let fit =
        LinearFit::through(values.map(|(executors, value)| Sample { executors, value }).to_vec()).unwrap();
    near(fit.slope, 1.5);
    near(fit.intercept, 1.0);
    near(fit.r_squared.unwrap(), 0.75);
}

#[test]
fn samples_are_kept_in_the_order_of_size() {
    let mut mixed = samples(|size| size);
    mixed.reverse();
    mixed.push(Sample { executors: 1000, value: 1001.0 });
    let fit = LinearFit::through(mixed).unwrap();
    let sizes: Vec<usize> = fit.samples.iter().map(|sample| sample.executors).collect();
    assert_eq!(sizes, [100, 1000, 1000, 5000, 10_000, 19_000]);
}

#[test]
fn equal_values_have_no_r_squared_and_one_size_no_line() {
    let flat = LinearFit::through(samples(|_| 4.0)).unwrap();
    near(flat.slope, 0.0);
    near(flat.intercept, 4.0);
    assert_eq!((flat.r_squared, flat.deviation), (None, None));
    let two = LinearFit::through(samples(|size| size).into_iter().take(2).collect()).unwrap();
    near(two.slope, 1.0);
    assert_eq!(two.r_squared, None);
    let one = Sample { executors: 100, value: 1.0 };
    assert_eq!(LinearFit::through(vec![one, Sample { value: 2.0, ..one }]), None);
    assert_eq!(LinearFit::through(Vec::new()), None);
}

#[test]
fn values_that_grow_faster_at_the_end_leave_the_line_there() {
    let bent = samples(|size| if size > 15_000.0 { 2.0 * size } else { size });
    let leaves = LinearFit::through(bent).unwrap().deviation.unwrap();
    assert_eq!((leaves.executors, leaves.value), (19_000, 38_000.0));
    near(leaves.predicted, 19_000.0);
    let flattened = samples(|size| size.min(8000.0));
    assert_eq!(LinearFit::through(flattened).unwrap().deviation.unwrap().executors, 10_000);
}

#[test]
fn scatter_within_what_the_smaller_sizes_show_is_no_bend() {
    // Off the line by up to 15%, here and there.
    let scattered = [0.9, 1.15, 0.88, 1.1, 0.95];
    let samples: Vec<Sample> = SIZES
        .iter()
        .zip(scattered)
        .map(|(&executors, share)| Sample { executors, value: 500.0 + share * executors as f64 })
        .collect();
    assert_eq!(LinearFit::through(samples).unwrap().deviation, None);
}

#[test]
fn three_sizes_are_too_few_to_leave_a_line() {
    let few: Vec<Sample> = samples(|size| size * size).into_iter().take(3).collect();
    assert_eq!(LinearFit::through(few).unwrap().deviation, None);
}

#[test]
fn series_hold_what_differs_in_size_alone() {
    let rows = common::good_rows();
    let all = group_into_series(figures(&rows));
    assert_eq!(all.len(), troutknot_scale::evaluation::BOUNDED_MEASUREMENTS.len() + 2);
    let (of, samples) = all.iter().find(|(of, _)| of.measurement == Measurement::CpuShare).unwrap();
    assert_eq!((of.node, of.turnover(), of.rate()), (NodeKind::Real, 2.0, 75.0));
    assert_eq!(samples.iter().map(|sample| sample.executors).collect::<Vec<_>>(), SIZES);
}
