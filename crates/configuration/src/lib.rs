//! Parses and validates the settings of a node from the platform's configuration, and assigns ids to the names in it.
//! Without I/O.
//!
//! [`parse_settings`] parses one configuration. A host that applies new settings while it runs resolves all of them with
//! one [`IdCatalog`], so that ids remain stable.
mod catalog;
mod document;
mod error;
mod load_report;
mod names;

pub use catalog::{IdCatalog, MAX_NAMES, ResolvedSettings};
pub use document::parse_settings;
pub use error::{SettingsError, SettingsErrors};
pub use load_report::{LoadFields, parse_load_report};
pub use names::class_names;
use troutknot::Millis;

const MICROS_PER_MILLI: f64 = 1000.0;

/// Converts microseconds of the configuration to milliseconds.
pub fn millis_from_micros(micros: u64) -> Millis {
    micros as f64 / MICROS_PER_MILLI
}
