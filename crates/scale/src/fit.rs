//! A line through figures over the size of the fleet, by least squares, and where they leave it.
use crate::row::{Figure, Measurement, NodeKind, Phase};
use std::collections::BTreeMap;

/// A figure that is off the line by no more than this share of it is on the line, whatever the scatter of the others.
const RELATIVE_TOLERANCE: f64 = 0.1;
/// Sizes that a line is drawn through before the next one is held against it.
const MIN_SIZES_FOR_PREDICTION: usize = 3;
/// The 97.5% quantiles of Student's t distribution for 1 to 10 degrees of freedom; beyond, that of 10 is used.
const T_QUANTILES: [f64; 10] = [12.706, 4.303, 3.182, 2.776, 2.571, 2.447, 2.365, 2.306, 2.262, 2.228];

/// One figure: its fleet size, and its value.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Sample {
    pub executors: usize,
    pub value: f64,
}

/// A line through samples.
#[derive(Clone, Debug, PartialEq)]
pub struct LinearFit {
    /// For each executor.
    pub slope: f64,
    pub intercept: f64,
    /// The share of the values' variance that the line explains; none where all values are equal, or where two samples
    /// cannot but lie on it.
    pub r_squared: Option<f64>,
    /// By size, all that were fitted.
    pub samples: Vec<Sample>,
    pub deviation: Option<Deviation>,
}

/// The smallest size at which values leave the line through the smaller ones.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Deviation {
    pub executors: usize,
    pub value: f64,
    pub predicted: f64,
}

/// Sums of a line through samples.
struct Line {
    slope: f64,
    intercept: f64,
    mean_size: f64,
    /// The sum of squares of the sizes about their mean.
    spread: f64,
    /// The sum of squares of the values about the line.
    residue: f64,
    count: usize,
}

impl Line {
    /// None through samples of one size alone.
    fn through(samples: &[Sample]) -> Option<Self> {
        let count = samples.len();
        let mean = |of: &dyn Fn(&Sample) -> f64| samples.iter().map(of).sum::<f64>() / count as f64;
        let mean_size = mean(&|sample| sample.executors as f64);
        let mean_value = mean(&|sample| sample.value);
        let (mut spread, mut common) = (0.0, 0.0);
        for sample in samples {
            let off = sample.executors as f64 - mean_size;
            spread += off * off;
            common += off * (sample.value - mean_value);
        }
        if spread <= 0.0 {
            return None;
        }
        let slope = common / spread;
        let intercept = mean_value - slope * mean_size;
        let mut line = Line { slope, intercept, mean_size, spread, residue: 0.0, count };
        let off = |sample: &Sample| sample.value - line.at(sample.executors);
        line.residue = samples.iter().map(|sample| off(sample).powi(2)).sum();
        Some(line)
    }

    fn at(&self, executors: usize) -> f64 {
        self.intercept + self.slope * executors as f64
    }

    /// How far a further value at a size lies from the line at most, in 95 of 100 cases.
    fn margin(&self, executors: usize) -> f64 {
        let freedom = self.count.saturating_sub(2).max(1);
        let quantile = T_QUANTILES[freedom.min(T_QUANTILES.len()) - 1];
        let off = executors as f64 - self.mean_size;
        let variance = self.residue / freedom as f64;
        quantile * (variance * (1.0 + 1.0 / self.count as f64 + off * off / self.spread)).sqrt()
    }
}

impl LinearFit {
    /// None where there are not two sizes at least.
    pub fn through(mut samples: Vec<Sample>) -> Option<Self> {
        samples.sort_by_key(|sample| sample.executors);
        let line = Line::through(&samples)?;
        let mean = samples.iter().map(|sample| sample.value).sum::<f64>() / samples.len() as f64;
        let variance: f64 = samples.iter().map(|sample| (sample.value - mean).powi(2)).sum();
        let r_squared = (variance > 0.0 && samples.len() > 2).then(|| 1.0 - line.residue / variance);
        let deviation = find_deviation(&samples);
        Some(LinearFit { slope: line.slope, intercept: line.intercept, r_squared, samples, deviation })
    }

    pub fn at(&self, executors: usize) -> f64 {
        self.intercept + self.slope * executors as f64
    }
}

/// Holds each size against the line through all smaller ones; the samples are in the order of size.
fn find_deviation(samples: &[Sample]) -> Option<Deviation> {
    let mut sizes: Vec<usize> = samples.iter().map(|sample| sample.executors).collect();
    sizes.dedup();
    for size in sizes.iter().skip(MIN_SIZES_FOR_PREDICTION) {
        let below = samples.partition_point(|sample| sample.executors < *size);
        let at_size = samples[below..].iter().take_while(|sample| sample.executors == *size);
        let line = Line::through(&samples[..below])?;
        let predicted = line.at(*size);
        let allowed = line.margin(*size).max(RELATIVE_TOLERANCE * predicted.abs());
        if let Some(off) = at_size.into_iter().find(|sample| (sample.value - predicted).abs() > allowed) {
            return Some(Deviation { executors: *size, value: off.value, predicted });
        }
    }
    None
}

/// What the figures of one line have in common: all but the size of the fleet.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct SeriesKey {
    pub measurement: Measurement,
    pub phase: Phase,
    pub node: NodeKind,
    turnover: TotalOrder,
    rate: TotalOrder,
}

/// A number with an order, for a key of a map.
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
    pub fn of(figure: &Figure) -> Self {
        SeriesKey {
            measurement: figure.measurement,
            phase: figure.phase,
            node: figure.node,
            turnover: TotalOrder(figure.turnover),
            rate: TotalOrder(figure.rate),
        }
    }

    pub fn turnover(&self) -> f64 {
        self.turnover.0
    }

    pub fn rate(&self) -> f64 {
        self.rate.0
    }
}

/// The samples of each series.
pub fn group_into_series<'a>(figures: impl Iterator<Item = &'a Figure>) -> BTreeMap<SeriesKey, Vec<Sample>> {
    let mut all: BTreeMap<SeriesKey, Vec<Sample>> = BTreeMap::new();
    for figure in figures {
        let sample = Sample { executors: figure.executors, value: figure.value };
        all.entry(SeriesKey::of(figure)).or_default().push(sample);
    }
    all.values_mut().for_each(|samples| samples.sort_by_key(|sample| sample.executors));
    all
}
