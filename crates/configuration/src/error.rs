//! What makes settings unusable.
use serde_json::Value;
use std::fmt;

/// One fault of the settings: which key, and what is allowed.
#[derive(Clone, PartialEq, Debug, thiserror::Error)]
pub enum SettingsError {
    /// A value is of another type than its key's.
    #[error("setting `{key}`: {value} is of the wrong type")]
    WrongType {
        /// The key, with a star for an index in a list.
        key: String,
        /// The value.
        value: Value,
    },
    /// An entry of a list whose entries need names has none.
    #[error("setting `{key}`: entry {entry} has no name")]
    MissingName {
        /// The list.
        key: &'static str,
        /// The index of the entry, from 0.
        entry: usize,
    },
    /// A name occurs in a list more than once.
    #[error("setting `{key}`: `{name}` stands there twice")]
    DuplicateName {
        /// The list.
        key: &'static str,
        /// The name.
        name: String,
    },
    /// There is no request class.
    #[error("setting `project_types` names none; it is a list of at least one")]
    NoClasses,
    /// There are more request classes than [`MAX_NAMES`](crate::MAX_NAMES).
    #[error("setting `project_types` names {count}, at most {MAX} are kept in mind", MAX = crate::MAX_NAMES)]
    TooManyClasses {
        /// How many it names.
        count: usize,
    },
    /// There were more names over the life of the node than [`MAX_NAMES`](crate::MAX_NAMES).
    #[error("setting `{key}`: {count} were named so far, at most {MAX} are kept in mind", MAX = crate::MAX_NAMES)]
    TooManyNames {
        /// The list.
        key: &'static str,
        /// How many were named.
        count: usize,
    },
    /// There were more request classes over the life of the node than [`MAX_NAMES`](crate::MAX_NAMES); one whose terms
    /// change counts as a new one.
    #[error("with its terms this is project type {count}, {MAX} are kept in mind", MAX = crate::MAX_NAMES)]
    TooManyClassTerms {
        /// How many there were.
        count: usize,
    },
    /// A class needs a type of machine that is not listed.
    #[error("project type `{class}`: there is no kind {machine_type}")]
    UnknownMachineType {
        /// The class.
        class: String,
        /// The number that it names.
        machine_type: u32,
    },
    /// The maximum number of attempts is not positive.
    #[error("setting `limits.max_allocations` is not a positive number")]
    InvalidMaxAttempts,
    /// Hedging is enabled, but a request may not have a second attempt.
    #[error("setting `limits.second_copies`: true needs `limits.max_allocations` of 2 or more")]
    HedgingWithoutSecondAttempt,
    /// The source of weights is not one of those allowed.
    #[error("setting `weight_source`: `{word}`; silent, none, nominal, rough and live are allowed")]
    UnknownWeightSource {
        /// The source that the settings name.
        word: String,
    },
    /// The number of this node is not below the number of nodes.
    #[error("setting `me`: {node} is not under `balancers`, which is {nodes}")]
    NodeNumberOutOfRange {
        /// The node's number.
        node: f64,
        /// The number of nodes.
        nodes: f64,
    },
    /// A term of a class is not a positive number.
    #[error("project type `{class}`: `{term}` is not a positive number")]
    NotPositive {
        /// The class.
        class: String,
        /// The term's key.
        term: &'static str,
    },
    /// A term of a class is missing.
    #[error("project type `{class}`: `{term}` is missing")]
    MissingTerm {
        /// The class.
        class: String,
        /// The term's key.
        term: String,
    },
    /// A class has a deadline out of bounds.
    #[error("project type `{class}`: `hard_limit` is from 1 ms to 1e9 ms")]
    DeadlineOutOfRange {
        /// The class.
        class: String,
    },
    /// A key is missing that the settings in force have.
    #[error("setting `{key}` is missing")]
    MissingKey {
        /// The key.
        key: String,
    },
}

/// All faults that were found in settings, in one line.
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
