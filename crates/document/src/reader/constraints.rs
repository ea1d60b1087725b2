//! Ties between values: values that must be unique, must agree, or refer to others.

use std::collections::HashMap;

use kingcupfall_core::findings;

use super::ReadOutcome;

/// A value that names another one.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ValueReference {
    /// Dotted path of the value that refers.
    pub path: Box<str>,
    /// Place of the value that refers.
    pub position: Option<findings::TextPosition>,
    /// Dotted path of the value that it refers to.
    pub referent: Box<str>,
}

impl ValueReference {
    /// Makes the finding that the referent is missing.
    pub fn missing(&self) -> findings::InputFinding {
        findings::InputFinding {
            path: self.path.clone(),
            position: self.position,
            message: format!("refers to {}, which is missing", self.referent).into(),
        }
    }
}

/// What values of one reading have claimed so far.
#[derive(Debug, Default)]
pub struct ValueTies {
    /// Paths of unique values, by noun and value.
    owners: HashMap<(&'static str, Box<str>), Box<str>>,
    /// Values that subjects are bound to, by noun and subject.
    bonds: HashMap<(&'static str, Box<str>), Box<str>>,
}

impl ValueTies {
    /// Claims `value` for `path`; returns the path that has claimed it before.
    pub fn claim(&mut self, noun: &'static str, value: Box<str>, path: &str) -> Option<Box<str>> {
        let owner = self
            .owners
            .entry((noun, value))
            .or_insert_with(|| path.into());
        (**owner != *path).then(|| owner.clone())
    }

    /// Binds `subject` to `value`; returns the other value that it is bound to.
    pub fn bind(&mut self, noun: &'static str, subject: &str, value: &str) -> Option<Box<str>> {
        let bound = self
            .bonds
            .entry((noun, subject.into()))
            .or_insert_with(|| value.into());
        (**bound != *value).then(|| bound.clone())
    }
}

/// Finds the references of `outcome` to values that its text does not have.
pub fn find_missing<T>(outcome: &ReadOutcome<T>) -> Vec<findings::InputFinding> {
    outcome
        .references
        .iter()
        .filter(|reference| !outcome.places.contains_key(&reference.referent))
        .map(ValueReference::missing)
        .collect()
}
