//! Checks of a whole document, or of one section as its owner publishes it.

mod summary;

use std::collections::BTreeSet;

use kingcupfall_core::findings;

pub use summary::DocumentSummary;

use crate::reader;
use crate::sections;

/// A text that was read and checked.
#[derive(Debug, Clone, PartialEq)]
pub struct DocumentCheck {
    /// What could be read. Entries with findings may be missing in it.
    pub document: sections::OperatorDocument,
    /// Everything that is wrong, in the order of its place.
    pub findings: findings::FindingList,
}

/// The text of one section, read and checked by itself.
#[derive(Debug, Clone, PartialEq)]
pub struct SectionCheck {
    /// What could be read; only the section's own field is filled.
    pub document: sections::OperatorDocument,
    /// Everything that is wrong with the text by itself, in the order of its place.
    pub findings: findings::FindingList,
    /// References to entries of other sections.
    pub references: Vec<reader::ValueReference>,
    /// Dotted paths of the section's values.
    pub paths: BTreeSet<Box<str>>,
}

/// Reads and checks a document that holds all sections.
pub fn check_document(text: &str) -> DocumentCheck {
    let mut outcome = reader::read_text::<sections::OperatorDocument>(text);

    if !outcome.is_broken {
        let missing = reader::find_missing(&outcome);
        outcome.findings = sort_findings(outcome.findings, missing);
    }

    DocumentCheck {
        document: outcome.value.unwrap_or_default(),
        findings: outcome.findings,
    }
}

/// Reads and checks the text of one section: a document that holds no other section.
///
/// References to other sections are returned, not checked.
pub fn check_section(section: sections::SectionName, text: &str) -> SectionCheck {
    let outcome = reader::read_text::<sections::OperatorDocument>(text);
    let foreign = find_foreign(section, &outcome.places);

    SectionCheck {
        document: outcome.value.unwrap_or_default(),
        findings: sort_findings(outcome.findings, foreign),
        references: outcome.references,
        paths: outcome.places.into_keys().collect(),
    }
}

/// Reports sections other than `section`.
fn find_foreign(
    section: sections::SectionName,
    places: &reader::PlaceMap,
) -> Vec<findings::InputFinding> {
    let others = sections::SectionName::ALL
        .into_iter()
        .filter(|other| *other != section);
    let message = format!("does not belong into the text of section {section}");

    others
        .filter_map(|other| places.get_key_value(other.as_str()))
        .map(|(path, position)| findings::InputFinding {
            path: path.clone(),
            position: Some(*position),
            message: message.as_str().into(),
        })
        .collect()
}

/// Puts two lists together, in the order of their places; findings without a place go last.
fn sort_findings(
    list: findings::FindingList,
    more: Vec<findings::InputFinding>,
) -> findings::FindingList {
    let mut findings: Vec<_> = list.iter().cloned().collect();
    findings.extend(more);
    findings.sort_by_key(|finding| (finding.position.is_none(), finding.position));

    let mut sorted = findings::FindingList::default();
    for finding in findings {
        sorted.push(finding);
    }
    sorted
}
