//! Labels of metrics, bounded in number.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use kingcupfall_core::ids;
use kingcupfall_core::work;
use prometheus_client::encoding::EncodeLabelSet;

/// Most pairs of organisation and class with labels of their own.
pub const PAIR_LIMIT: usize = 2_000;

/// Most classes of one organisation with labels of their own.
pub const CLASS_LIMIT: usize = 16;

/// Label of an organisation's classes beyond the limits.
pub const OTHER_LABEL: &str = "other";

/// Organisation and class of a call.
#[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord, EncodeLabelSet)]
pub struct CallerLabels {
    /// Name of the organisation.
    pub organisation: String,
    /// Name of the class.
    pub class: String,
}

/// Gives out labels, and joins the classes beyond the limits under one label.
///
/// Operators name the organisations, but callers choose the names of classes: without a bound one
/// caller could fill the memory of every process that reads the metrics, and without a bound for
/// each organisation it could take the labels of the others.
#[derive(Debug, Default)]
pub struct LabelLimiter {
    known: BTreeMap<ids::OrganisationName, BTreeSet<ids::ClassName>>,
    pairs: usize,
}

impl LabelLimiter {
    /// Returns the labels of a call.
    pub fn label(&mut self, tag: &work::CallerTag) -> CallerLabels {
        let class = match self.has_label(tag) {
            true => tag.class.as_str(),
            false => OTHER_LABEL,
        };
        CallerLabels {
            organisation: tag.organisation.as_str().into(),
            class: class.into(),
        }
    }

    /// Says whether a class has a label of its own, after giving it one when there is room.
    fn has_label(&mut self, tag: &work::CallerTag) -> bool {
        let classes = self.known.entry(tag.organisation.clone()).or_default();
        if classes.contains(&tag.class) {
            return true;
        }
        if classes.len() >= CLASS_LIMIT || self.pairs >= PAIR_LIMIT {
            return false;
        }

        classes.insert(tag.class.clone());
        self.pairs += 1;
        true
    }
}
