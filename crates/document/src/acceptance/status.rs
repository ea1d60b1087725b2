//! State of the sections, for operators.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::fmt;

use kingcupfall_core::findings;
use kingcupfall_core::measures;
use serde::Serialize;

use super::SectionMark;
use super::VersionSpan;
use super::record::SectionRecord;
use crate::check;
use crate::reader;
use crate::sections;

/// Records by section.
pub type RecordTable = BTreeMap<sections::SectionName, SectionRecord>;

/// State of one section.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct SectionStatus {
    /// Section.
    pub section: sections::SectionName,
    /// Text in force.
    pub in_force: Option<SectionMark>,
    /// Accepted text that waits because a higher version was accepted elsewhere.
    pub held: Option<SectionMark>,
    /// Higher text that has findings and replaces nothing.
    pub rejected: Option<SectionMark>,
    /// What is wrong with the rejected text.
    pub findings: findings::FindingList,
    /// References of the accepted text to missing entries of other sections. The entries that
    /// refer have no effect until the other sections have what they name.
    pub dangling: findings::FindingList,
    /// Highest version, when texts that differ were published under it.
    pub conflict: Option<VersionSpan>,
    /// Highest version that was seen or heard of, when its text is not here.
    pub awaited: Option<measures::SectionVersion>,
}

impl fmt::Display for SectionStatus {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match &self.in_force {
            Some(mark) => writeln!(formatter, "{}: {mark} in force", self.section)?,
            None => writeln!(formatter, "{}: nothing in force", self.section)?,
        }
        if let Some(mark) = &self.held {
            writeln!(
                formatter,
                "  held: {mark}, a higher version was accepted elsewhere"
            )?;
        }
        if let Some(version) = &self.awaited {
            writeln!(formatter, "  awaited: version {version}, known elsewhere")?;
        }
        if let Some(span) = &self.conflict {
            writeln!(
                formatter,
                "  conflict: texts of version {} differ",
                span.version
            )?;
        }
        if let Some(mark) = &self.rejected {
            writeln!(formatter, "  rejected: {mark}")?;
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

/// Describes all sections, in the order of the document.
pub fn describe_sections(records: &RecordTable) -> Vec<SectionStatus> {
    let checks: BTreeMap<_, _> = records
        .iter()
        .filter_map(|(section, record)| Some((*section, record.accepted.as_ref()?)))
        .map(|(section, kept)| (section, check::check_section(section, &kept.text)))
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
    let accepted = record.accepted_mark();
    let rejected = record.rejected.as_ref();
    let rejected_mark = rejected.map(|text| text.kept.mark);
    let kept_version = accepted.max(rejected_mark).map(|mark| mark.version);

    SectionStatus {
        section,
        in_force: accepted.filter(|_| record.is_in_force),
        held: accepted.filter(|_| !record.is_in_force),
        rejected: rejected_mark,
        findings: rejected.map_or_else(Default::default, |text| text.findings.clone()),
        dangling,
        conflict: record.seen.filter(VersionSpan::has_conflict),
        awaited: record
            .seen
            .map(|seen| seen.version)
            .filter(|version| Some(*version) > kept_version),
    }
}

/// Finds the `references` to values whose dotted paths are not in `paths`.
pub fn find_dangling<'list>(
    references: impl IntoIterator<Item = &'list reader::ValueReference>,
    paths: &BTreeSet<&str>,
) -> findings::FindingList {
    let mut list = findings::FindingList::default();
    for reference in references {
        if !paths.contains(&*reference.referent) {
            list.push(reference.missing());
        }
    }
    list
}
