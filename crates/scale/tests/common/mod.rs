//! Rows of a run in which all bounds are met.
use troutknot_scale::bounds::Bounds;
use troutknot_scale::evaluation::BOUNDED_MEASUREMENTS;
use troutknot_scale::file::ScaleFile;
use troutknot_scale::row::{End, Figure, Measurement, NodeKind, OperatingPoint, Phase, Row, Start};

pub const SIZES: [usize; 5] = [100, 1000, 5000, 10_000, 19_000];

pub fn bounds() -> Bounds {
    Bounds::from_file(&ScaleFile::default())
}

pub fn start() -> Start {
    Start {
        name: "test".into(),
        seed: 7,
        version: "0.1.0".into(),
        commit: Some("abc1234".into()),
        cores: 8,
        memory_bytes: 16 << 30,
        time_compression: 480.0,
        bounds: bounds(),
    }
}

pub fn figure(executors: usize, measurement: Measurement, value: f64) -> Figure {
    let point = OperatingPoint { phase: Phase::Steady, executors, turnover: 2.0, rate: 75.0 };
    Figure::new(point, measurement, NodeKind::Real, value, 1.5, &bounds())
}

/// Returns every bounded measurement at every size, with a value equal to its bound.
pub fn rows_within_bounds() -> Vec<Row> {
    let mut rows = vec![Row::Start(start())];
    for size in SIZES {
        rows.push(Row::Figure(figure(size, Measurement::Requests, 600.0)));
        rows.push(Row::Figure(figure(size, Measurement::Completed, 590.0)));
        for measurement in BOUNDED_MEASUREMENTS {
            let bound = bounds().limit(measurement).expect("every bounded measurement has a bound");
            rows.push(Row::Figure(figure(size, measurement, bound)));
        }
    }
    rows.push(Row::End(End { at_seconds: 99.0 }));
    rows
}
