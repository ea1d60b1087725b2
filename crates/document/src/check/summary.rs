//! Entry counts of a document.

use std::fmt;

use crate::sections;

/// Entry counts of a document; displayed as one line per section.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct DocumentSummary {
    /// Number of models.
    pub models: usize,
    /// Number of organisations.
    pub organisations: usize,
    /// Number of bearer keys of all organisations.
    pub keys: usize,
    /// Number of targets that are model engines.
    pub engines: usize,
    /// Number of targets that are replicas of plain services.
    pub replicas: usize,
    /// Number of targets, of either kind, that take no new work.
    pub leaving: usize,
    /// Number of request classes of all organisations.
    pub classes: usize,
    /// Number of plain services.
    pub services: usize,
    /// Number of organisations with limits.
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
