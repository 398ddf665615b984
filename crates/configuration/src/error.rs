//! Errors in settings.
use serde_json::Value;
use std::fmt;

/// One error in the settings, with the key and the allowed values.
#[derive(Clone, PartialEq, Debug, thiserror::Error)]
pub enum SettingsError {
    /// A value has the wrong type.
    #[error("setting `{key}`: {value} is of the wrong type")]
    WrongType {
        /// Key of the value, with a star for an index in a list.
        key: String,
        /// The value.
        value: Value,
    },
    /// An entry in a list of names has no name.
    #[error("setting `{key}`: entry {entry} has no name")]
    MissingName {
        /// Key of the list.
        key: &'static str,
        /// Index of the entry, from 0.
        entry: usize,
    },
    /// A name occurs more than once in a list.
    #[error("setting `{key}`: `{name}` occurs twice")]
    DuplicateName {
        /// Key of the list.
        key: &'static str,
        /// Name that occurs again.
        name: String,
    },
    /// The settings contain no request class.
    #[error("setting `project_types` names none; at least one is required")]
    NoClasses,
    /// The settings contain more request classes than [`MAX_NAMES`](crate::MAX_NAMES).
    #[error("setting `project_types` names {count}, at most {MAX} are kept in mind", MAX = crate::MAX_NAMES)]
    TooManyClasses {
        /// Number of request classes.
        count: usize,
    },
    /// A list has had more different names over the lifetime of the node than [`MAX_NAMES`](crate::MAX_NAMES).
    #[error("setting `{key}`: {count} were named so far, at most {MAX} are kept in mind", MAX = crate::MAX_NAMES)]
    TooManyNames {
        /// Key of the list.
        key: &'static str,
        /// Number of different names.
        count: usize,
    },
    /// There have been more request classes over the lifetime of the node than [`MAX_NAMES`](crate::MAX_NAMES). A class
    /// whose terms change counts as a new one.
    #[error("with its terms this is project type {count}, {MAX} are kept in mind", MAX = crate::MAX_NAMES)]
    TooManyClassTerms {
        /// Number of request classes.
        count: usize,
    },
    /// A class requires a machine type that is not listed.
    #[error("project type `{class}`: `kinds` has no entry {machine_type}")]
    UnknownMachineType {
        /// The class.
        class: String,
        /// Index of the machine type.
        machine_type: u32,
    },
    /// The maximum number of attempts is not positive.
    #[error("setting `limits.max_allocations` is not a positive number")]
    InvalidMaxAttempts,
    /// Hedging is enabled, but requests may not have a second attempt.
    #[error("setting `limits.second_copies`: true needs `limits.max_allocations` of 2 or more")]
    HedgingWithoutSecondAttempt,
    /// The weight source is unknown.
    #[error("setting `weight_source`: `{source_name}`; silent, none, nominal, rough and live are allowed")]
    UnknownWeightSource {
        /// Value in the settings.
        source_name: String,
    },
    /// The number of this node is not below the number of nodes.
    #[error("setting `me`: {node} is not below `balancers`, which is {nodes}")]
    NodeNumberOutOfRange {
        /// Number of this node.
        node: f64,
        /// Number of nodes.
        nodes: f64,
    },
    /// A term of a class is not a positive number.
    #[error("project type `{class}`: `{term}` is not a positive number")]
    NotPositive {
        /// The class.
        class: String,
        /// Key of the term.
        term: &'static str,
    },
    /// A term of a class is missing.
    #[error("project type `{class}`: `{term}` is missing")]
    MissingTerm {
        /// The class.
        class: String,
        /// Key of the term.
        term: String,
    },
    /// The deadline of a class is out of range.
    #[error("project type `{class}`: `hard_limit` must be from 1 ms to 1e9 ms")]
    DeadlineOutOfRange {
        /// The class.
        class: String,
    },
    /// A key of the settings in effect is missing.
    #[error("setting `{key}` is missing")]
    MissingKey {
        /// Path of the key.
        key: String,
    },
}

/// All errors that were found in settings, displayed in one line.
#[derive(Clone, PartialEq, Debug, thiserror::Error)]
pub struct SettingsErrors(pub Vec<SettingsError>);

impl fmt::Display for SettingsErrors {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (number, error) in self.0.iter().enumerate() {
            let separator = if number == 0 { "" } else { "; " };
            write!(formatter, "{separator}{error}")?;
        }
        Ok(())
    }
}

impl From<SettingsError> for SettingsErrors {
    fn from(error: SettingsError) -> Self {
        SettingsErrors(vec![error])
    }
}
