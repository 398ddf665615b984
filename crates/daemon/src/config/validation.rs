//! Validation of values in a configuration file. All errors are collected instead of only the first one.
use humantime_serde::re::humantime::format_duration;
use std::ops::RangeInclusive;
use std::time::Duration;

/// A value of a configuration file that is not allowed. The message contains the key and the allowed values.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
pub enum ValidationError {
    /// A duration is out of its range.
    #[error("`{key}` must be {} to {}", format_duration(*allowed.start()), format_duration(*allowed.end()))]
    Duration {
        /// The key, including its sections.
        key: &'static str,
        /// The allowed range.
        allowed: RangeInclusive<Duration>,
    },
    /// A list is too short or too long.
    #[error("`{key}` must name {} to {} {items}", allowed.start(), allowed.end())]
    Count {
        /// The key, including its sections.
        key: &'static str,
        /// The allowed number of items.
        allowed: RangeInclusive<usize>,
        /// What the items of the list are, in the plural.
        items: &'static str,
    },
    /// A number is out of its range.
    #[error("`{key}` must be {} to {}", allowed.start(), allowed.end())]
    Number {
        /// The key, including its sections.
        key: &'static str,
        /// The allowed range.
        allowed: RangeInclusive<f64>,
    },
    /// A value violates another rule.
    #[error("`{key}` {rule}")]
    Rule {
        /// The key, including its sections.
        key: &'static str,
        /// The violated rule, as the rest of a sentence that begins with the key.
        rule: &'static str,
    },
}

/// Collects the errors of one file.
#[derive(Default)]
pub struct Validator {
    errors: Vec<ValidationError>,
}

impl Validator {
    /// Checks that a duration is within a range.
    pub fn check_duration(&mut self, key: &'static str, value: Duration, allowed: RangeInclusive<Duration>) {
        if !allowed.contains(&value) {
            self.errors.push(ValidationError::Duration { key, allowed });
        }
    }

    /// Checks that the number of items of a list is within a range.
    pub fn check_count(
        &mut self,
        key: &'static str,
        count: usize,
        allowed: RangeInclusive<usize>,
        items: &'static str,
    ) {
        if !allowed.contains(&count) {
            self.errors.push(ValidationError::Count { key, allowed, items });
        }
    }

    /// Checks that a number is within a range.
    pub fn check_number(&mut self, key: &'static str, value: f64, allowed: RangeInclusive<f64>) {
        if !allowed.contains(&value) {
            self.errors.push(ValidationError::Number { key, allowed });
        }
    }

    /// Checks any other rule, given whether the value satisfies it.
    pub fn check_rule(&mut self, key: &'static str, is_satisfied: bool, rule: &'static str) {
        if !is_satisfied {
            self.errors.push(ValidationError::Rule { key, rule });
        }
    }

    /// Returns all errors, in the order of the checks.
    pub fn into_errors(self) -> Vec<ValidationError> {
        self.errors
    }
}
