//! The lists of names in settings, and the keys that new settings must not omit.
use crate::catalog::MAX_NAMES;
use crate::error::SettingsError;
use serde_json::{Map, Value};
use std::collections::HashSet;

pub(crate) const CLASSES: &str = "project_types";
pub(crate) const TENANTS: &str = "customers";
pub(crate) const ZONES: &str = "failure_domains";
pub(crate) const MACHINE_TYPES: &str = "kinds";

/// The names that the settings list, in their order.
pub(crate) struct Names {
    pub classes: Vec<String>,
    pub tenants: Vec<String>,
    pub zones: Vec<String>,
    pub machine_types: Vec<String>,
}

impl Names {
    pub fn read(document: &Map<String, Value>) -> Result<Self, SettingsError> {
        Ok(Names {
            classes: list(document, CLASSES)?,
            tenants: list(document, TENANTS)?,
            zones: list(document, ZONES)?,
            machine_types: list(document, MACHINE_TYPES)?,
        })
    }

    pub fn faults(&self) -> Vec<SettingsError> {
        match self.classes.len() {
            0 => vec![SettingsError::NoClasses],
            count if count > MAX_NAMES => vec![SettingsError::TooManyClasses { count }],
            _ => Vec::new(),
        }
    }
}

/// Returns the names of the request classes in the order of the settings; an empty string for a class without a name.
pub fn class_names(document: &Map<String, Value>) -> Vec<String> {
    let entries = document.get(CLASSES).and_then(Value::as_array).into_iter().flatten();
    entries.map(|entry| entry.get("name").and_then(Value::as_str).unwrap_or("").to_string()).collect()
}

/// Returns the names in a list whose entries are names or objects with a `name`.
fn list(document: &Map<String, Value>, key: &'static str) -> Result<Vec<String>, SettingsError> {
    let entries = document.get(key).and_then(Value::as_array).into_iter().flatten();
    let name = |entry: &Value| entry.as_str().or_else(|| entry.get("name")?.as_str()).map(str::to_string);
    let names: Vec<String> = entries
        .enumerate()
        .map(|(number, entry)| name(entry).ok_or(SettingsError::MissingName { key, entry: number }))
        .collect::<Result<_, _>>()?;
    let mut seen = HashSet::new();
    match names.iter().find(|name| !seen.insert(name.as_str())) {
        Some(repeated) => Err(SettingsError::DuplicateName { key, name: repeated.clone() }),
        None => Ok(names),
    }
}

/// Returns an error for each key of `before`, at any depth, that `after` does not have. Lists are not compared.
pub(crate) fn missing_keys(before: &Value, after: &Map<String, Value>) -> Vec<SettingsError> {
    let mut missing = Vec::new();
    if let Some(before) = before.as_object() {
        collect_missing(before, after, "", &mut missing);
    }
    missing.into_iter().map(|key| SettingsError::MissingKey { key }).collect()
}

fn collect_missing(
    before: &Map<String, Value>,
    after: &Map<String, Value>,
    path: &str,
    missing: &mut Vec<String>,
) {
    for (key, value) in before.iter().filter(|(_, value)| !value.is_null()) {
        let path = if path.is_empty() { key.clone() } else { format!("{path}.{key}") };
        match after.get(key).filter(|other| !other.is_null()) {
            None => missing.push(path),
            Some(other) => {
                if let Some(before) = value.as_object() {
                    match other.as_object() {
                        Some(after) => collect_missing(before, after, &path, missing),
                        None => collect_missing(before, &Map::new(), &path, missing),
                    }
                }
            }
        }
    }
}

/// Returns an error for each key that all classes of `before` have and a class of `after` does not have.
pub(crate) fn missing_class_keys(
    before: &Value,
    after: &Map<String, Value>,
    names: &[String],
) -> Vec<SettingsError> {
    let keys = common_keys(before.get(CLASSES));
    let entries = after.get(CLASSES).and_then(Value::as_array).into_iter().flatten();
    let mut missing = Vec::new();
    for (entry, class) in entries.zip(names) {
        let is_missing = |key: &&&String| entry.get(key.as_str()).is_none_or(Value::is_null);
        for key in keys.iter().filter(is_missing) {
            missing.push(SettingsError::MissingTerm { class: class.clone(), term: key.to_string() });
        }
    }
    missing
}

/// Returns the keys that all entries of a list have.
fn common_keys(list: Option<&Value>) -> Vec<&String> {
    let entries: Vec<&Map<String, Value>> =
        list.and_then(Value::as_array).into_iter().flatten().filter_map(Value::as_object).collect();
    let Some(first) = entries.first() else { return Vec::new() };
    first.keys().filter(|key| entries.iter().all(|entry| entry.contains_key(*key))).collect()
}
