//! Validation of a changed section against the accepted texts of the other sections.

use std::collections::BTreeSet;

use kingcupfall_core::findings;

use super::record::SectionRecord;
use super::status;
use crate::check;
use crate::sections;

/// Returns everything wrong with `text` as the new text of `section`: its own findings, its
/// references to missing entries, and references of other sections that it would leave dangling.
pub fn validate_section(
    records: &status::RecordTable,
    section: sections::SectionName,
    text: &str,
) -> findings::FindingList {
    let changed = check::check_section(section, text);
    let others: Vec<check::SectionCheck> = records
        .iter()
        .filter(|(other, _)| **other != section)
        .filter_map(|(other, record)| check_accepted(*other, record))
        .collect();
    let checks = others.iter().chain([&changed]);
    let paths: BTreeSet<&str> = checks
        .clone()
        .flat_map(|checked| checked.paths.iter())
        .map(|path| &**path)
        .collect();

    let mut all_findings = changed.findings.clone();
    all_findings.append(status::find_dangling(&changed.references, &paths));
    for other in &others {
        let orphaned = other
            .references
            .iter()
            .filter(|reference| section.contains_path(&reference.referenced_path));
        all_findings.append(status::find_dangling(orphaned, &paths));
    }
    all_findings
}

fn check_accepted(
    section: sections::SectionName,
    record: &SectionRecord,
) -> Option<check::SectionCheck> {
    let stored = record.accepted.as_ref()?;
    Some(check::check_section(section, &stored.text))
}
