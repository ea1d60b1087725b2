//! The state machine that accepts, holds or rejects section texts.

use kingcupfall_core::findings;

use super::DocumentDigest;
use super::SectionDigest;
use super::SectionStatus;
use super::SectionText;
use super::TextId;
use super::VersionSpan;
use super::record::RejectedText;
use super::record::SectionRecord;
use super::record::StoredText;
use super::status;
use super::validation;
use crate::check;
use crate::sections;

/// Result of offering a text.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OfferOutcome {
    /// The text has no findings and is now the active one.
    Activated,
    /// The text has no findings, but is not activated because another process has accepted a
    /// higher version.
    Held,
    /// The text has findings; the active text stays.
    Rejected,
    /// The text is already stored.
    Duplicate,
    /// A higher text is already stored.
    Outdated,
}

/// The stored texts of all sections, and the active document.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct DocumentAcceptance {
    records: status::RecordTable,
    document: sections::OperatorDocument,
}

impl DocumentAcceptance {
    /// Checks and stores a text from the configuration service or from another process, and
    /// activates it if it has no findings and no higher version is known to be accepted elsewhere.
    pub fn offer(&mut self, text: SectionText) -> OfferOutcome {
        let section = text.section;
        let id = text.id();
        let record = self.records.entry(section).or_default();
        record.record_seen(VersionSpan::from_id(id));
        if record.contains(id) {
            return OfferOutcome::Duplicate;
        }
        if record.is_outdated(id) {
            return OfferOutcome::Outdated;
        }

        let checked = check::check_section(section, &text.text);
        let stored = StoredText {
            id,
            text: text.text,
        };
        if checked.findings.is_empty() {
            record.accept(stored);
            self.activate(section, checked.document)
        } else {
            let findings = checked.findings;
            match record.reject(RejectedText { stored, findings }) {
                true => OfferOutcome::Rejected,
                false => OfferOutcome::Outdated,
            }
        }
    }

    /// Records the digest of a section that another process has sent.
    ///
    /// The version that the other process has accepted becomes a floor: while the section has no
    /// active text here, no lower version is activated.
    pub fn record_digest(&mut self, section: sections::SectionName, digest: &SectionDigest) {
        let record = self.records.entry(section).or_default();
        record.record_seen(digest.seen);
        if let Some(accepted) = digest.accepted {
            record.version_floor = record.version_floor.max(accepted.version);
        }
    }

    /// Activates the accepted texts that are held because of a version floor.
    ///
    /// For use when the higher version cannot be fetched because no process that had it is left.
    pub fn activate_held_sections(&mut self) {
        let held: Vec<_> = self.held_sections();

        for section in held {
            let Some(record) = self.records.get_mut(&section) else {
                continue;
            };
            let Some(stored) = &record.accepted else {
                continue;
            };
            let checked = check::check_section(section, &stored.text);
            record.is_active = true;
            self.document.replace_section(section, checked.document);
        }
    }

    /// Returns the sections whose accepted text is held because of a version floor.
    pub fn held_sections(&self) -> Vec<sections::SectionName> {
        let is_held = |record: &SectionRecord| record.accepted.is_some() && !record.is_active;
        let held = self.records.iter().filter(|(_, record)| is_held(record));
        held.map(|(section, _)| *section).collect()
    }

    /// Returns the active document; sections without an active text are empty.
    pub fn document(&self) -> &sections::OperatorDocument {
        &self.document
    }

    /// Returns the identity of the active text of `section`; `None` before the first activation.
    pub fn active_id(&self, section: sections::SectionName) -> Option<TextId> {
        let record = self.records.get(&section)?;
        record.accepted_id().filter(|_| record.is_active)
    }

    /// Returns the digests of all sections, to send to other processes.
    pub fn digest(&self) -> DocumentDigest {
        let digests = self.records.iter();
        digests
            .filter_map(|(section, record)| Some((*section, record.digest()?)))
            .collect()
    }

    /// Returns the texts that a process with `digest` lacks and that would change its state.
    pub fn texts_missing_from(&self, digest: &DocumentDigest) -> Vec<SectionText> {
        let mut texts = Vec::new();

        for (section, record) in &self.records {
            let other = digest.get(section);
            let accepted = other.and_then(|other| other.accepted);
            let rejected = other.and_then(|other| other.rejected);
            if let Some(stored) = &record.accepted
                && Some(stored.id) > accepted
            {
                texts.push(stored.to_section_text(*section));
            }
            if let Some(text) = &record.rejected
                && Some(text.stored.id) > accepted.max(rejected)
            {
                texts.push(text.stored.to_section_text(*section));
            }
        }
        texts
    }

    /// Returns the sections for which a process with `digest` has a text that would change the
    /// state here.
    pub fn outdated_sections(&self, digest: &DocumentDigest) -> Vec<sections::SectionName> {
        let is_outdated = |section: &sections::SectionName, other: &SectionDigest| {
            let record = self.records.get(section);
            let accepted = record.and_then(SectionRecord::accepted_id);
            let rejected = record
                .and_then(|record| record.rejected.as_ref())
                .map(|text| text.stored.id);
            other.accepted > accepted || other.rejected > accepted.max(rejected)
        };

        let outdated = digest
            .iter()
            .filter(|(section, other)| is_outdated(section, other));
        outdated.map(|(section, _)| *section).collect()
    }

    /// Returns the status of all sections with their findings, in document order.
    ///
    /// Parses all accepted texts again, so it is meant for operators' queries and not for every
    /// event.
    pub fn status(&self) -> Vec<SectionStatus> {
        status::describe_sections(&self.records)
    }

    /// Checks `text` as a new text of `section` without changing any state.
    ///
    /// References to and from other sections are checked against their accepted texts.
    pub fn validate_section(
        &self,
        section: sections::SectionName,
        text: &str,
    ) -> findings::FindingList {
        validation::validate_section(&self.records, section, text)
    }

    fn activate(
        &mut self,
        section: sections::SectionName,
        document: sections::OperatorDocument,
    ) -> OfferOutcome {
        let record = self.records.entry(section).or_default();
        if !record.may_activate() {
            return OfferOutcome::Held;
        }

        record.is_active = true;
        self.document.replace_section(section, document);
        OfferOutcome::Activated
    }
}
