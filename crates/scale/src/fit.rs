//! Least-squares line through figures over the fleet size, and the size at which the figures deviate from it.
use crate::row::{Figure, Measurement, NodeKind, Phase};
use std::collections::BTreeMap;

/// Relative distance from the line up to which a value is not a deviation, whatever the scatter of the other values.
const RELATIVE_TOLERANCE: f64 = 0.1;
/// Number of fleet sizes that a line needs to predict the values of the next one.
const MIN_SIZES_FOR_PREDICTION: usize = 3;
/// The 97.5% quantiles of Student's t distribution for 1 to 10 degrees of freedom; the last one is used for more
/// than 10.
const T_QUANTILES: [f64; 10] = [12.706, 4.303, 3.182, 2.776, 2.571, 2.447, 2.365, 2.306, 2.262, 2.228];

/// The fleet size and the value of one figure.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Sample {
    pub executors: usize,
    pub value: f64,
}

/// A least-squares line through samples.
#[derive(Clone, Debug, PartialEq)]
pub struct LinearFit {
    /// Increase of the value per executor.
    pub slope: f64,
    /// Value of the line at a fleet size of 0.
    pub intercept: f64,
    /// Coefficient of determination; `None` if all values are equal, or if there are only two samples, since a line
    /// always fits two samples exactly.
    pub r_squared: Option<f64>,
    /// The samples, ordered by fleet size.
    pub samples: Vec<Sample>,
    /// The first deviation from the line through smaller sizes, if any.
    pub deviation: Option<Deviation>,
}

/// A value that deviates from the line through all smaller fleet sizes.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Deviation {
    pub executors: usize,
    pub value: f64,
    pub predicted: f64,
}

/// A line through samples, with the sums that its prediction interval needs.
struct Line {
    slope: f64,
    intercept: f64,
    mean_size: f64,
    /// Sum of squared deviations of the sizes from their mean.
    size_sum_of_squares: f64,
    /// Sum of squared residuals.
    residual_sum_of_squares: f64,
    count: usize,
}

impl Line {
    /// Fits a line; `None` if the samples have fewer than two sizes.
    fn through(samples: &[Sample]) -> Option<Self> {
        let count = samples.len();
        let mean = |value: &dyn Fn(&Sample) -> f64| samples.iter().map(value).sum::<f64>() / count as f64;
        let mean_size = mean(&|sample| sample.executors as f64);
        let mean_value = mean(&|sample| sample.value);
        let (mut size_sum_of_squares, mut cross_product_sum) = (0.0, 0.0);
        for sample in samples {
            let size_deviation = sample.executors as f64 - mean_size;
            size_sum_of_squares += size_deviation * size_deviation;
            cross_product_sum += size_deviation * (sample.value - mean_value);
        }
        if size_sum_of_squares <= 0.0 {
            return None;
        }
        let slope = cross_product_sum / size_sum_of_squares;
        let intercept = mean_value - slope * mean_size;
        let mut line =
            Line { slope, intercept, mean_size, size_sum_of_squares, residual_sum_of_squares: 0.0, count };
        let residual = |sample: &Sample| sample.value - line.predict(sample.executors);
        line.residual_sum_of_squares = samples.iter().map(|sample| residual(sample).powi(2)).sum();
        Some(line)
    }

    fn predict(&self, executors: usize) -> f64 {
        self.intercept + self.slope * executors as f64
    }

    /// Returns half the width of the 95% prediction interval at a fleet size.
    fn prediction_margin(&self, executors: usize) -> f64 {
        let degrees_of_freedom = self.count.saturating_sub(2).max(1);
        let quantile = T_QUANTILES[degrees_of_freedom.min(T_QUANTILES.len()) - 1];
        let size_deviation = executors as f64 - self.mean_size;
        let variance = self.residual_sum_of_squares / degrees_of_freedom as f64;
        quantile
            * (variance
                * (1.0
                    + 1.0 / self.count as f64
                    + size_deviation * size_deviation / self.size_sum_of_squares))
                .sqrt()
    }
}

impl LinearFit {
    /// Fits a line; `None` if the samples have fewer than two sizes.
    pub fn through(mut samples: Vec<Sample>) -> Option<Self> {
        samples.sort_by_key(|sample| sample.executors);
        let line = Line::through(&samples)?;
        let mean = samples.iter().map(|sample| sample.value).sum::<f64>() / samples.len() as f64;
        let variance: f64 = samples.iter().map(|sample| (sample.value - mean).powi(2)).sum();
        let r_squared =
            (variance > 0.0 && samples.len() > 2).then(|| 1.0 - line.residual_sum_of_squares / variance);
        let deviation = find_deviation(&samples);
        Some(LinearFit { slope: line.slope, intercept: line.intercept, r_squared, samples, deviation })
    }

    /// Returns the value of the line at a fleet size.
    pub fn predict(&self, executors: usize) -> f64 {
        self.intercept + self.slope * executors as f64
    }
}

/// Compares each size with the line through all smaller ones; the samples are ordered by size.
fn find_deviation(samples: &[Sample]) -> Option<Deviation> {
    let mut sizes: Vec<usize> = samples.iter().map(|sample| sample.executors).collect();
    sizes.dedup();
    for size in sizes.iter().skip(MIN_SIZES_FOR_PREDICTION) {
        let below = samples.partition_point(|sample| sample.executors < *size);
        let at_size = samples[below..].iter().take_while(|sample| sample.executors == *size);
        let line = Line::through(&samples[..below])?;
        let predicted = line.predict(*size);
        let tolerance = line.prediction_margin(*size).max(RELATIVE_TOLERANCE * predicted.abs());
        if let Some(outlier) = at_size.into_iter().find(|sample| (sample.value - predicted).abs() > tolerance)
        {
            return Some(Deviation { executors: *size, value: outlier.value, predicted });
        }
    }
    None
}

/// Identifies the figures that one line is fitted to: they differ in the fleet size only.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct SeriesKey {
    pub measurement: Measurement,
    pub phase: Phase,
    pub node: NodeKind,
    turnover: TotalOrder,
    rate: TotalOrder,
}

/// A number with the total order of `f64::total_cmp`, for use in map keys.
#[derive(Clone, Copy, Debug)]
struct TotalOrder(f64);

impl PartialEq for TotalOrder {
    fn eq(&self, other: &Self) -> bool {
        self.cmp(other).is_eq()
    }
}

impl Eq for TotalOrder {}

impl PartialOrd for TotalOrder {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for TotalOrder {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        self.0.total_cmp(&other.0)
    }
}

impl SeriesKey {
    /// Returns the key of the series that a figure belongs to.
    pub fn from_figure(figure: &Figure) -> Self {
        SeriesKey {
            measurement: figure.measurement,
            phase: figure.phase,
            node: figure.node,
            turnover: TotalOrder(figure.turnover),
            rate: TotalOrder(figure.rate),
        }
    }

    /// Returns the turnover of the figures.
    pub fn turnover(&self) -> f64 {
        self.turnover.0
    }

    /// Returns the requests per second at one real node.
    pub fn rate(&self) -> f64 {
        self.rate.0
    }
}

/// Groups figures into series, each ordered by fleet size.
pub fn group_into_series<'a>(figures: impl Iterator<Item = &'a Figure>) -> BTreeMap<SeriesKey, Vec<Sample>> {
    let mut series: BTreeMap<SeriesKey, Vec<Sample>> = BTreeMap::new();
    for figure in figures {
        let sample = Sample { executors: figure.executors, value: figure.value };
        series.entry(SeriesKey::from_figure(figure)).or_default().push(sample);
    }
    series.values_mut().for_each(|samples| samples.sort_by_key(|sample| sample.executors));
    series
}
