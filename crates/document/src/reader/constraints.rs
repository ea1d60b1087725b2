//! Constraints between values: values that must be unique, must agree, or refer to others.

use std::collections::HashMap;

use kingcupfall_core::findings;

use super::ReadOutcome;

/// A value that names another value, which may be in another text.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ValueReference {
    /// Dotted path of the value that refers.
    pub path: Box<str>,
    /// Position of the value that refers; `None` if it is not known.
    pub position: Option<findings::TextPosition>,
    /// Dotted path of the value that it refers to.
    pub referenced_path: Box<str>,
}

impl ValueReference {
    /// Returns the finding that the referenced value is missing.
    pub fn to_finding(&self) -> findings::InputFinding {
        findings::InputFinding {
            path: self.path.clone(),
            position: self.position,
            message: format!("refers to {}, which is missing", self.referenced_path).into(),
        }
    }
}

/// Unique values and bindings that were registered while reading one text.
#[derive(Debug, Default)]
pub struct ValueConstraints {
    /// Paths of unique values, by kind and value.
    unique_paths: HashMap<(&'static str, Box<str>), Box<str>>,
    /// Values that subjects are bound to, by subject kind and subject.
    bindings: HashMap<(&'static str, Box<str>), Box<str>>,
}

impl ValueConstraints {
    /// Registers `value` as the one of `path`; returns the other path that registered it first.
    pub fn register_unique(
        &mut self,
        kind: &'static str,
        value: Box<str>,
        path: &str,
    ) -> Option<Box<str>> {
        let first_path = self
            .unique_paths
            .entry((kind, value))
            .or_insert_with(|| path.into());
        (**first_path != *path).then(|| first_path.clone())
    }

    /// Binds `subject` to `value`; returns the different value that it is already bound to.
    pub fn register_binding(
        &mut self,
        subject_kind: &'static str,
        subject: &str,
        value: &str,
    ) -> Option<Box<str>> {
        let bound_value = self
            .bindings
            .entry((subject_kind, subject.into()))
            .or_insert_with(|| value.into());
        (**bound_value != *value).then(|| bound_value.clone())
    }
}

/// Returns a finding for each reference of `outcome` to a value that its text does not have.
pub fn find_dangling_references<T>(outcome: &ReadOutcome<T>) -> Vec<findings::InputFinding> {
    outcome
        .references
        .iter()
        .filter(|reference| !outcome.positions.contains_key(&reference.referenced_path))
        .map(ValueReference::to_finding)
        .collect()
}
