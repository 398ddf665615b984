//! Decodes load reports: lists of values, and text.
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
    /// Returns the field with this name. Some fields have two names: one in the simulator's protocol and one in HTTP
    /// responses.
    fn from_name(name: &str) -> Self {
        match name {
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
    /// Reads the fields from the JSON object of the settings; none if it does not list them.
    pub fn from_document(document: &Map<String, Value>) -> Self {
        let fields = document.get("load_info").and_then(|info| info.get("fields")).and_then(Value::as_array);
        let names = fields.into_iter().flatten().map(|field| field.as_str().unwrap_or(""));
        LoadFields(names.map(LoadField::from_name).collect())
    }

    /// Whether the settings list no fields.
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    /// Creates a report from values in the order of the fields. Values that are not finite are omitted.
    pub fn report(&self, values: &[Option<f64>]) -> LoadReport {
        let mut report = LoadReport::default();
        self.0.iter().zip(values).for_each(|(field, value)| field.set(*value, &mut report));
        report
    }
}

/// Parses a load report of the form `name=value,name=value`. Unknown names and invalid numbers are ignored.
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
