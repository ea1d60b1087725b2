//! Summary of a document.

use std::fmt;

use crate::sections;

/// Counts of a document's entries, written as one line for each section.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct DocumentSummary {
    /// Models.
    pub models: usize,
    /// Organisations.
    pub organisations: usize,
    /// Bearer keys of all organisations.
    pub keys: usize,
    /// Targets that are model engines.
    pub engines: usize,
    /// Targets that are replicas of plain services.
    pub replicas: usize,
    /// Targets that take no new work.
    pub leaving: usize,
    /// Classes of all organisations.
    pub classes: usize,
    /// Plain services.
    pub services: usize,
    /// Organisations with limits.
    pub limits: usize,
}

impl DocumentSummary {
    /// Counts the entries of `document`.
    pub fn of_document(document: &sections::OperatorDocument) -> Self {
        let targets = document.targets.values();
        let engines = targets
            .clone()
            .filter(|entry| matches!(entry.kind, sections::TargetKind::Engine { .. }))
            .count();
        let keys = document.organisations.values();
        let classes = document.priorities.values();

        Self {
            models: document.models.len(),
            organisations: document.organisations.len(),
            keys: keys.map(|entry| entry.key_hashes.len()).sum(),
            engines,
            replicas: document.targets.len() - engines,
            leaving: targets.filter(|entry| entry.leaving).count(),
            classes: classes.map(|classes| classes.len()).sum(),
            services: document.services.len(),
            limits: document.limits.len(),
        }
    }
}

impl fmt::Display for DocumentSummary {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(formatter, "models: {}", self.models)?;
        writeln!(
            formatter,
            "organisations: {} with {} keys",
            self.organisations, self.keys
        )?;
        writeln!(
            formatter,
            "targets: {} engines, {} replicas of services, {} of them leaving",
            self.engines, self.replicas, self.leaving
        )?;
        writeln!(formatter, "priorities: {} classes", self.classes)?;
        writeln!(formatter, "services: {}", self.services)?;
        writeln!(formatter, "limits: {} organisations", self.limits)
    }
}
