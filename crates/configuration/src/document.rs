//! Parses the settings of a node from the platform's configuration.
use crate::error::SettingsError;
use serde_json::{Map, Value};
use serde_path_to_error::{Path, Segment};
use troutknot::{MachineTypeId, Settings};

/// Lists whose entries may be plain names in place of objects.
const LISTS_OF_NAMES: [&str; 2] = ["project_types", "customers"];

/// Parses the settings from a JSON object. A key that is missing or `null` has its default value.
///
/// ```
/// let settings = serde_json::json!({"balancers": 3, "limits": {"conn_idle": 1500000}});
/// let settings = troutknot_configuration::parse_settings(settings.as_object().unwrap()).unwrap();
/// assert_eq!((settings.nodes, settings.limits.idle_timeout), (3.0, Some(1500.0)));
/// ```
///
/// # Errors
/// If a value has the wrong type; the error contains the first such key.
pub fn parse_settings(document: &Map<String, Value>) -> Result<Settings, SettingsError> {
    let mut document = Value::Object(document.clone());
    remove_nulls(&mut document);
    for list in LISTS_OF_NAMES {
        let entries = document.get_mut(list).and_then(Value::as_array_mut);
        let names = entries.into_iter().flatten().filter(|entry| !entry.is_object());
        names.for_each(|entry| *entry = Value::Object(Map::new()));
    }
    let mut settings: Settings =
        serde_path_to_error::deserialize(&document).map_err(|error| wrong_type(&document, error.path()))?;
    assign_listed_class_values(&mut settings);
    Ok(settings)
}

/// Copies values that the configuration lists by class index, outside the classes, into the classes.
fn assign_listed_class_values(settings: &mut Settings) {
    let executors = &settings.executors;
    for (number, class) in settings.classes.iter_mut().enumerate() {
        let machine_type = executors.class_machine_types.get(number).copied().flatten();
        class.machine_type = machine_type
            .filter(|machine_type| *machine_type >= 0.0)
            .map(|machine_type| MachineTypeId(machine_type as u32));
        class.stretch = executors.class_stretches.get(number).copied().flatten().unwrap_or_default();
    }
}

fn remove_nulls(value: &mut Value) {
    match value {
        Value::Object(fields) => {
            fields.retain(|_, field| !field.is_null());
            fields.values_mut().for_each(remove_nulls);
        }
        Value::Array(entries) => entries.iter_mut().for_each(remove_nulls),
        _ => {}
    }
}

/// Returns the error for the value at `path` of the document.
fn wrong_type(document: &Value, path: &Path) -> SettingsError {
    let mut value = Some(document);
    let mut names = Vec::new();
    for segment in path {
        match segment {
            Segment::Seq { index } => {
                value = value.and_then(|value| value.get(index));
                names.push("*".to_string());
            }
            Segment::Map { key } => {
                value = value.and_then(|value| value.get(key));
                names.push(key.clone());
            }
            Segment::Enum { .. } | Segment::Unknown => {}
        }
    }
    let value = value.cloned().unwrap_or_default();
    SettingsError::WrongType { key: names.join("."), value }
}
