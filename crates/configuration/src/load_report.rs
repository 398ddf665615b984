//! The fields of load reports, and reports written as text.
use serde_json::{Map, Value};
use troutknot::LoadReport;

#[derive(Clone, Copy)]
enum LoadField {
    QueueLength,
    InFlight,
    FreeSlots,
    FreeMemory,
    Unused,
}

impl LoadField {
    /// A field by its name. Some have two, one in the simulator's protocol and one on sockets.
    fn from_name(word: &str) -> Self {
        match word {
            "depth" | "queue" => LoadField::QueueLength,
            "concurrent" | "inflight" => LoadField::InFlight,
            "x0" => LoadField::FreeSlots,
            "x1" => LoadField::FreeMemory,
            _ => LoadField::Unused,
        }
    }

    fn set(self, value: Option<f64>, report: &mut LoadReport) {
        let value = value.filter(|value| value.is_finite());
        match self {
            LoadField::QueueLength => report.queue_length = value,
            LoadField::InFlight => report.in_flight = value,
            LoadField::FreeSlots => report.free_slots = value,
            LoadField::FreeMemory => report.free_memory = value,
            LoadField::Unused => {}
        }
    }
}

/// The fields of a load report, in the order that the settings state.
#[derive(Default)]
pub struct LoadFields(Vec<LoadField>);

impl LoadFields {
    /// As a configuration's object states them; none where it does not.
    pub fn from_document(document: &Map<String, Value>) -> Self {
        let fields = document.get("load_info").and_then(|info| info.get("fields")).and_then(Value::as_array);
        let words = fields.into_iter().flatten().map(|field| field.as_str().unwrap_or(""));
        LoadFields(words.map(LoadField::from_name).collect())
    }

    /// Whether no fields are stated.
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    /// A report of these values, in the order of the fields; what is no finite number is left out.
    pub fn report(&self, values: &[Option<f64>]) -> LoadReport {
        let mut report = LoadReport::default();
        self.0.iter().zip(values).for_each(|(field, value)| field.set(*value, &mut report));
        report
    }
}

/// A load report written as `name=value,name=value`; what is not known or no number is passed over.
///
/// ```
/// let report = troutknot_configuration::parse_load_report("queue=2, x0=1.5,util=0.6,x1=odd");
/// assert_eq!((report.queue_length, report.free_slots, report.free_memory), (Some(2.0), Some(1.5), None));
/// ```
pub fn parse_load_report(text: &str) -> LoadReport {
    let mut report = LoadReport::default();
    for (name, value) in text.split(',').filter_map(|pair| pair.split_once('=')) {
        LoadField::from_name(name.trim()).set(value.trim().parse().ok(), &mut report);
    }
    report
}
