//! Metric labels for organisations and request classes, bounded in number.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use kingcupfall_core::ids;
use kingcupfall_core::work;
use prometheus_client::encoding::EncodeLabelSet;

/// Maximum number of classes, over all organisations, that have their own label.
pub const MAX_LABELLED_CLASSES: usize = 2_000;

/// Maximum number of classes of one organisation that have their own label.
pub const MAX_CLASSES_PER_ORGANISATION: usize = 16;

/// Shared label of the classes beyond the limits.
pub const OTHER_LABEL: &str = "other";

/// Organisation and class of a call, as metric labels.
#[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord, EncodeLabelSet)]
pub struct CallerLabels {
    /// Name of the organisation.
    pub organisation: String,
    /// Name of the class, or [`OTHER_LABEL`].
    pub class: String,
}

/// Assigns labels to calls and merges the classes beyond the limits under one label.
///
/// Operators name the organisations, but callers choose the names of classes. Without a limit, one
/// caller could exhaust the memory of every process that reads the metrics; without a limit per
/// organisation, it could use up the labels of the others.
#[derive(Debug, Default)]
pub struct LabelLimiter {
    labelled_classes: BTreeMap<ids::OrganisationName, BTreeSet<ids::ClassName>>,
    labelled_count: usize,
}

impl LabelLimiter {
    /// Returns the labels of a call. The first calls of an organisation decide which of its classes
    /// get their own label.
    pub fn label(&mut self, tag: &work::CallerTag) -> CallerLabels {
        let class = match self.ensure_label(tag) {
            true => tag.class.as_str(),
            false => OTHER_LABEL,
        };
        CallerLabels {
            organisation: tag.organisation.as_str().into(),
            class: class.into(),
        }
    }

    /// Assigns the class its own label if the limits allow it; returns true if it has one.
    fn ensure_label(&mut self, tag: &work::CallerTag) -> bool {
        let classes = self
            .labelled_classes
            .entry(tag.organisation.clone())
            .or_default();
        if classes.contains(&tag.class) {
            return true;
        }
        if classes.len() >= MAX_CLASSES_PER_ORGANISATION
            || self.labelled_count >= MAX_LABELLED_CLASSES
        {
            return false;
        }

        classes.insert(tag.class.clone());
        self.labelled_count += 1;
        true
    }
}
