//! What every host of the dispatcher needs, said once: the settings under our own names, load readings, the
//! registry of executors, and the tokens that stand for them at every node alike.
mod catalog;
mod document;
mod error;
mod names;
mod registry;
mod retention;
mod telling;

pub use catalog::{IdCatalog, MAX_NAMES, ResolvedSettings};
pub use document::parse_settings;
pub use error::{SettingsError, SettingsErrors};
pub use names::class_names;
pub use registry::ExecutorRegistry;
pub use retention::{Rank, Retention, Standing};
use serde_json::{Map, Value};
pub use telling::{MOST_TOLD, TypeNames, telling, told};
use troutknot::{LoadReport, Millis};

/// FNV-1a of a name, so that every node has the same number for it.
pub fn token(name: &str) -> u64 {
    name.bytes().fold(0xcbf29ce484222325, |hash, byte| (hash ^ byte as u64).wrapping_mul(0x100000001b3))
}

pub fn millis(micros: u64) -> Millis {
    micros as f64 / 1000.0
}

#[derive(Clone, Copy)]
enum LoadField {
    Queue,
    Held,
    FreeSlots,
    FreeMemory,
    Unused,
}

impl LoadField {
    /// Both words that a field goes by: the simulator's wire and the sockets differ in some.
    fn named(word: &str) -> Self {
        match word {
            "depth" | "queue" => LoadField::Queue,
            "concurrent" | "inflight" => LoadField::Held,
            "x0" => LoadField::FreeSlots,
            "x1" => LoadField::FreeMemory,
            _ => LoadField::Unused,
        }
    }

    fn put(self, value: Option<f64>, reading: &mut LoadReport) {
        let value = value.filter(|v| v.is_finite());
        match self {
            LoadField::Queue => reading.queue_length = value,
            LoadField::Held => reading.in_flight = value,
            LoadField::FreeSlots => reading.free_slots = value,
            LoadField::FreeMemory => reading.free_memory = value,
            LoadField::Unused => {}
        }
    }
}

/// The fields of a load report, in the order that the settings state.
#[derive(Default)]
pub struct LoadFields(Vec<LoadField>);

impl LoadFields {
    pub fn stated(settings: &Map<String, Value>) -> Self {
        let fields = settings.get("load_info").and_then(|info| info.get("fields")).and_then(Value::as_array);
        let words = fields.into_iter().flatten().map(|field| field.as_str().unwrap_or(""));
        LoadFields(words.map(LoadField::named).collect())
    }

    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    pub fn reading(&self, values: &[Option<f64>]) -> LoadReport {
        let mut reading = LoadReport::default();
        self.0.iter().zip(values).for_each(|(field, value)| field.put(*value, &mut reading));
        reading
    }
}

/// A load report written as `name=value,name=value`; what is not known or no number is skipped.
///
/// ```
/// let reading = troutknot_hosting::named_reading("queue=2, x0=1.5,util=0.6,x1=odd");
/// assert_eq!((reading.queue_length, reading.free_slots, reading.free_memory), (Some(2.0), Some(1.5), None));
/// ```
pub fn named_reading(text: &str) -> LoadReport {
    let mut reading = LoadReport::default();
    for (name, value) in text.split(',').filter_map(|pair| pair.split_once('=')) {
        LoadField::named(name.trim()).put(value.trim().parse().ok(), &mut reading);
    }
    reading
}
