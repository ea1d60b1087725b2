//! Checks of a complete document, or of one section as its owner publishes it.

mod summary;

use std::collections::BTreeSet;

use kingcupfall_core::findings;

pub use summary::DocumentSummary;

use crate::reader;
use crate::sections;

/// Result of reading and checking a document.
#[derive(Debug, Clone, PartialEq)]
pub struct DocumentCheck {
    /// The values that could be read; entries with findings may be missing.
    pub document: sections::OperatorDocument,
    /// Everything wrong with the document, in the order of the text.
    pub findings: findings::FindingList,
}

/// Result of reading and checking the text of one section on its own.
#[derive(Debug, Clone, PartialEq)]
pub struct SectionCheck {
    /// The values that could be read; other sections are empty unless `findings` reports them.
    pub document: sections::OperatorDocument,
    /// Everything wrong with the text on its own, in the order of the text.
    pub findings: findings::FindingList,
    /// References to entries of other sections; they are not checked.
    pub references: Vec<reader::ValueReference>,
    /// Dotted paths of the tables in the text, which references may point to.
    pub paths: BTreeSet<Box<str>>,
}

/// Reads and checks a document with all sections, including the references between them.
///
/// References are not checked in a text with syntax errors, since the entries that they name may
/// be on lines that could not be parsed.
pub fn check_document(text: &str) -> DocumentCheck {
    let mut outcome = reader::read_text::<sections::OperatorDocument>(text);

    if !outcome.has_syntax_errors {
        let dangling = reader::find_dangling_references(&outcome);
        outcome.findings = merge_findings(outcome.findings, dangling);
    }

    DocumentCheck {
        document: outcome.value.unwrap_or_default(),
        findings: outcome.findings,
    }
}

/// Reads and checks the text of one section; other sections in it are reported.
///
/// References to other sections are returned without being checked.
pub fn check_section(section: sections::SectionName, text: &str) -> SectionCheck {
    let outcome = reader::read_text::<sections::OperatorDocument>(text);
    let other_sections = find_other_sections(section, &outcome.positions);

    SectionCheck {
        document: outcome.value.unwrap_or_default(),
        findings: merge_findings(outcome.findings, other_sections),
        references: outcome.references,
        paths: outcome.positions.into_keys().collect(),
    }
}

/// Returns a finding for each section other than `section` at `positions`.
fn find_other_sections(
    section: sections::SectionName,
    positions: &reader::PositionMap,
) -> Vec<findings::InputFinding> {
    let others = sections::SectionName::ALL
        .into_iter()
        .filter(|other| *other != section);
    let message = format!("does not belong in the text of section {section}");

    others
        .filter_map(|other| positions.get_key_value(other.as_str()))
        .map(|(path, position)| findings::InputFinding {
            path: path.clone(),
            position: Some(*position),
            message: message.as_str().into(),
        })
        .collect()
}

/// Merges two lists in the order of the text; findings without a position go last.
fn merge_findings(
    list: findings::FindingList,
    added: Vec<findings::InputFinding>,
) -> findings::FindingList {
    let mut findings: Vec<_> = list.iter().cloned().collect();
    findings.extend(added);
    findings.sort_by_key(|finding| (finding.position.is_none(), finding.position));

    let mut sorted = findings::FindingList::default();
    for finding in findings {
        sorted.push(finding);
    }
    sorted
}
