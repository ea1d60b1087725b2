//! The state machine of acceptance.

use kingcupfall_core::findings;

use super::DocumentDigest;
use super::SectionDigest;
use super::SectionMark;
use super::SectionStatus;
use super::SectionText;
use super::VersionSpan;
use super::record::KeptText;
use super::record::RejectedText;
use super::record::SectionRecord;
use super::status;
use super::trial;
use crate::check;
use crate::sections;

/// What became of a text that was offered.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OfferOutcome {
    /// It is in force.
    InForce,
    /// It has no findings, and waits because a higher version was accepted elsewhere.
    Held,
    /// It has findings and replaces nothing.
    Rejected,
    /// It is kept already.
    Known,
    /// A higher text is kept.
    Outdated,
}

/// Section texts that were seen, and the document in force.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct DocumentAcceptance {
    records: status::RecordTable,
    document: sections::OperatorDocument,
}

impl DocumentAcceptance {
    /// Takes a text of a section from the configuration service or from another process.
    pub fn offer(&mut self, text: SectionText) -> OfferOutcome {
        let section = text.section;
        let mark = text.mark();
        let record = self.records.entry(section).or_default();
        record.see(VersionSpan::of_mark(mark));
        if record.has_text(mark) {
            return OfferOutcome::Known;
        }
        if record.is_outdated(mark) {
            return OfferOutcome::Outdated;
        }

        let checked = check::check_section(section, &text.text);
        let kept = KeptText {
            mark,
            text: text.text,
        };
        if checked.findings.is_empty() {
            record.accept(kept);
            self.enter_force(section, checked.document)
        } else {
            let findings = checked.findings;
            match record.reject(RejectedText { kept, findings }) {
                true => OfferOutcome::Rejected,
                false => OfferOutcome::Outdated,
            }
        }
    }

    /// Takes what another process says of a section.
    ///
    /// The version that it has accepted becomes a floor: while nothing of the section is in force
    /// here, no lower version enters into force.
    pub fn observe(&mut self, section: sections::SectionName, digest: &SectionDigest) {
        let record = self.records.entry(section).or_default();
        record.see(digest.seen);
        if let Some(accepted) = digest.accepted {
            record.floor = record.floor.max(accepted.version);
        }
    }

    /// Puts accepted texts into force that a floor has held back.
    ///
    /// For a process that cannot get the higher version, since all that had it are gone.
    pub fn release_floors(&mut self) {
        let held: Vec<_> = self.held_sections();

        for section in held {
            let Some(record) = self.records.get_mut(&section) else {
                continue;
            };
            let Some(kept) = &record.accepted else {
                continue;
            };
            let checked = check::check_section(section, &kept.text);
            record.is_in_force = true;
            self.document.adopt(section, checked.document);
        }
    }

    /// Returns the sections whose accepted text a floor holds back.
    pub fn held_sections(&self) -> Vec<sections::SectionName> {
        let is_held = |record: &SectionRecord| record.accepted.is_some() && !record.is_in_force;
        let held = self.records.iter().filter(|(_, record)| is_held(record));
        held.map(|(section, _)| *section).collect()
    }

    /// Returns the document in force; sections without an accepted text are empty.
    pub fn document(&self) -> &sections::OperatorDocument {
        &self.document
    }

    /// Returns version and hash of the text of `section` in force.
    pub fn in_force(&self, section: sections::SectionName) -> Option<SectionMark> {
        let record = self.records.get(&section)?;
        record.accepted_mark().filter(|_| record.is_in_force)
    }

    /// Returns what others are told of all sections.
    pub fn digest(&self) -> DocumentDigest {
        let digests = self.records.iter();
        digests
            .filter_map(|(section, record)| Some((*section, record.digest()?)))
            .collect()
    }

    /// Returns the texts that a process with `digest` does not have and can use.
    pub fn texts_beyond(&self, digest: &DocumentDigest) -> Vec<SectionText> {
        let mut texts = Vec::new();

        for (section, record) in &self.records {
            let other = digest.get(section);
            let accepted = other.and_then(|other| other.accepted);
            let rejected = other.and_then(|other| other.rejected);
            if let Some(kept) = &record.accepted
                && Some(kept.mark) > accepted
            {
                texts.push(kept.to_section_text(*section));
            }
            if let Some(text) = &record.rejected
                && Some(text.kept.mark) > accepted.max(rejected)
            {
                texts.push(text.kept.to_section_text(*section));
            }
        }
        texts
    }

    /// Returns the sections of which a process with `digest` has a text that is of use here.
    pub fn sections_behind(&self, digest: &DocumentDigest) -> Vec<sections::SectionName> {
        let is_behind = |section: &sections::SectionName, other: &SectionDigest| {
            let record = self.records.get(section);
            let accepted = record.and_then(SectionRecord::accepted_mark);
            let rejected = record
                .and_then(|record| record.rejected.as_ref())
                .map(|text| text.kept.mark);
            other.accepted > accepted || other.rejected > accepted.max(rejected)
        };

        let behind = digest
            .iter()
            .filter(|(section, other)| is_behind(section, other));
        behind.map(|(section, _)| *section).collect()
    }

    /// Returns the state of all sections with their findings, in the order of the document.
    ///
    /// Reads the accepted texts again; meant for operators' queries, not for each event.
    pub fn status(&self) -> Vec<SectionStatus> {
        status::describe_sections(&self.records)
    }

    /// Finds everything wrong with `text` as a new text of `section`, and changes nothing.
    ///
    /// References to and from the other sections are checked against their accepted texts.
    pub fn try_section(&self, section: sections::SectionName, text: &str) -> findings::FindingList {
        trial::try_section(&self.records, section, text)
    }

    fn enter_force(
        &mut self,
        section: sections::SectionName,
        document: sections::OperatorDocument,
    ) -> OfferOutcome {
        let record = self.records.entry(section).or_default();
        if !record.may_enter_force() {
            return OfferOutcome::Held;
        }

        record.is_in_force = true;
        self.document.adopt(section, document);
        OfferOutcome::InForce
    }
}
