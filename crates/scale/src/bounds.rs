//! Upper bounds of the measurements of a run.
use crate::file::ScaleFile;
use crate::measurement::Measurement;
use serde::{Deserialize, Serialize};

/// Upper bound of each bounded measurement, in the unit of that measurement. The first row of a run contains the
/// bounds, so that its rows can be evaluated without the scale file.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Bounds {
    #[serde(rename = "told_ms")]
    pub notification_delay_ms: f64,
    #[serde(rename = "ready_ms")]
    pub startup_ms: f64,
    pub cpu_share: f64,
    pub memory_bytes: f64,
    pub bytes_per_second: f64,
    pub open_sockets: f64,
}

impl Bounds {
    /// Takes the bounds from a scale file.
    pub fn from_file(file: &ScaleFile) -> Self {
        let budget = &file.real_nodes;
        Bounds {
            notification_delay_ms: file.bounds.notification_delay.as_secs_f64() * 1000.0,
            startup_ms: file.bounds.startup_time.as_secs_f64() * 1000.0,
            cpu_share: budget.cpu_share,
            memory_bytes: budget.memory.as_u64() as f64,
            bytes_per_second: budget.bytes_per_second.as_u64() as f64,
            open_sockets: budget.sockets as f64,
        }
    }

    /// Returns the upper bound of a measurement; `None` if the measurement is only reported.
    pub fn limit(&self, measurement: Measurement) -> Option<f64> {
        use Measurement::*;
        match measurement {
            LateOrMissingAnswers | RepeatedEffects | SentAfterGrace | SlowStartOverload => Some(0.0),
            DuplicateAnswers | UnretainedExecutors => Some(0.0),
            NotificationDelay => Some(self.notification_delay_ms),
            StartupTime => Some(self.startup_ms),
            CpuShare => Some(self.cpu_share),
            Memory => Some(self.memory_bytes),
            ListBytes => Some(self.bytes_per_second),
            OpenSockets => Some(self.open_sockets),
            _ => None,
        }
    }
}
