//! Status of the sections, as operators see it.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::fmt;

use kingcupfall_core::findings;
use kingcupfall_core::measures;
use serde::Serialize;

use super::TextId;
use super::VersionSpan;
use super::record::SectionRecord;
use crate::check;
use crate::reader;
use crate::sections;

/// Records by section; a section that nothing is known of has none.
pub type RecordTable = BTreeMap<sections::SectionName, SectionRecord>;

/// Status of one section.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct SectionStatus {
    /// Section that is described.
    pub section: sections::SectionName,
    /// Active text; `None` before the first activation.
    #[serde(rename = "in_force")]
    pub active_id: Option<TextId>,
    /// Accepted text that is not activated because another process has accepted a higher version.
    pub held: Option<TextId>,
    /// Text with findings that is higher than the accepted one.
    pub rejected: Option<TextId>,
    /// Findings of the rejected text.
    pub findings: findings::FindingList,
    /// References of the accepted text to missing entries of other sections. The referring entries
    /// have no effect until the entries that they name exist.
    pub dangling: findings::FindingList,
    /// Highest known version, if different texts were published under it.
    pub conflict: Option<VersionSpan>,
    /// Highest known version, if its text was not received yet.
    pub awaited: Option<measures::SectionVersion>,
}

impl fmt::Display for SectionStatus {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match &self.active_id {
            Some(id) => writeln!(formatter, "{}: {id} active", self.section)?,
            None => writeln!(formatter, "{}: no active version", self.section)?,
        }
        if let Some(id) = &self.held {
            writeln!(
                formatter,
                "  held: {id}, another process has accepted a higher version"
            )?;
        }
        if let Some(version) = &self.awaited {
            writeln!(
                formatter,
                "  awaited: version {version}, reported by another process"
            )?;
        }
        if let Some(span) = &self.conflict {
            writeln!(
                formatter,
                "  conflict: different texts were published as version {}",
                span.version
            )?;
        }
        if let Some(id) = &self.rejected {
            writeln!(formatter, "  rejected: {id}")?;
        }

        for finding in self.findings.iter() {
            writeln!(formatter, "    {finding}")?;
        }
        for finding in self.dangling.iter() {
            writeln!(formatter, "  without effect: {finding}")?;
        }
        Ok(())
    }
}

/// Returns the status of all sections, in document order.
pub fn describe_sections(records: &RecordTable) -> Vec<SectionStatus> {
    let checks: BTreeMap<_, _> = records
        .iter()
        .filter_map(|(section, record)| Some((*section, record.accepted.as_ref()?)))
        .map(|(section, stored)| (section, check::check_section(section, &stored.text)))
        .collect();
    let paths: BTreeSet<&str> = checks
        .values()
        .flat_map(|checked| checked.paths.iter())
        .map(|path| &**path)
        .collect();
    let empty = SectionRecord::default();

    sections::SectionName::ALL
        .into_iter()
        .map(|section| {
            let record = records.get(&section).unwrap_or(&empty);
            let references = checks
                .get(&section)
                .map_or(&[][..], |checked| &checked.references);
            describe_section(section, record, find_dangling(references, &paths))
        })
        .collect()
}

fn describe_section(
    section: sections::SectionName,
    record: &SectionRecord,
    dangling: findings::FindingList,
) -> SectionStatus {
    let accepted = record.accepted_id();
    let rejected = record.rejected.as_ref();
    let rejected_id = rejected.map(|text| text.stored.id);
    let stored_version = accepted.max(rejected_id).map(|id| id.version);

    SectionStatus {
        section,
        active_id: accepted.filter(|_| record.is_active),
        held: accepted.filter(|_| !record.is_active),
        rejected: rejected_id,
        findings: rejected.map_or_else(Default::default, |text| text.findings.clone()),
        dangling,
        conflict: record.seen.filter(VersionSpan::is_conflicting),
        awaited: record
            .seen
            .map(|seen| seen.version)
            .filter(|version| Some(*version) > stored_version),
    }
}

/// Returns a finding for each of `references` whose referenced path is not in `paths`.
pub fn find_dangling<'list>(
    references: impl IntoIterator<Item = &'list reader::ValueReference>,
    paths: &BTreeSet<&str>,
) -> findings::FindingList {
    let mut list = findings::FindingList::default();
    for reference in references {
        if !paths.contains(&*reference.referenced_path) {
            list.push(reference.to_finding());
        }
    }
    list
}
