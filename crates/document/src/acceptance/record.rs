//! The stored texts of one section.

use kingcupfall_core::findings;
use kingcupfall_core::measures;

use super::SectionDigest;
use super::SectionText;
use super::TextId;
use super::VersionSpan;
use crate::sections;

/// A stored text of a section.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StoredText {
    pub id: TextId,
    pub text: Box<str>,
}

impl StoredText {
    /// Returns the text in the form that is sent to other processes.
    pub fn to_section_text(&self, section: sections::SectionName) -> SectionText {
        SectionText {
            section,
            version: self.id.version,
            text: self.text.clone(),
        }
    }
}

/// A text with findings.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RejectedText {
    pub stored: StoredText,
    pub findings: findings::FindingList,
}

/// The texts of one section and whether the accepted one is active.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct SectionRecord {
    /// Highest text without findings; `None` before the first.
    pub accepted: Option<StoredText>,
    /// Highest text with findings, if it is higher than the accepted one.
    pub rejected: Option<RejectedText>,
    /// Highest version that was received here or reported by another process.
    pub seen: Option<VersionSpan>,
    /// Highest version that another process has accepted. While no text is active, lower versions
    /// are held.
    pub version_floor: measures::SectionVersion,
    /// Whether the accepted text is active.
    pub is_active: bool,
}

impl SectionRecord {
    /// Returns the digest to send to other processes; `None` while no text is known.
    pub fn digest(&self) -> Option<SectionDigest> {
        Some(SectionDigest {
            accepted: self.accepted_id(),
            rejected: self.rejected.as_ref().map(|text| text.stored.id),
            seen: self.seen?,
        })
    }

    /// Returns the identity of the accepted text.
    pub fn accepted_id(&self) -> Option<TextId> {
        self.accepted.as_ref().map(|stored| stored.id)
    }

    /// Records that texts with the versions and hashes of `span` exist.
    pub fn record_seen(&mut self, span: VersionSpan) {
        self.seen = Some(self.seen.map_or(span, |seen| seen.merge(span)));
    }

    /// Returns true if the text with `id` is stored, whether accepted or rejected.
    pub fn contains(&self, id: TextId) -> bool {
        let is_rejected = |text: &RejectedText| text.stored.id == id;
        self.accepted_id() == Some(id) || self.rejected.as_ref().is_some_and(is_rejected)
    }

    /// Returns true if a text with `id` is not higher than the accepted one, so that it changes
    /// nothing whether or not it has findings.
    pub fn is_outdated(&self, id: TextId) -> bool {
        Some(id) <= self.accepted_id()
    }

    /// Stores a text without findings, which must not be outdated, and drops a lower rejected one.
    pub fn accept(&mut self, stored: StoredText) {
        let is_superseded = |text: &RejectedText| text.stored.id < stored.id;
        if self.rejected.as_ref().is_some_and(is_superseded) {
            self.rejected = None;
        }
        self.accepted = Some(stored);
    }

    /// Stores a text with findings, which must not be outdated, if it is higher than the rejected
    /// one. Returns true if it was stored.
    pub fn reject(&mut self, text: RejectedText) -> bool {
        let is_highest = self
            .rejected
            .as_ref()
            .is_none_or(|rejected| rejected.stored.id < text.stored.id);
        if is_highest {
            self.rejected = Some(text);
        }
        is_highest
    }

    /// Returns true if the accepted text may be activated.
    ///
    /// The version floor only holds back the first text. Later texts are higher than the active
    /// one, so each of them improves on the text that it replaces.
    pub fn may_activate(&self) -> bool {
        let reaches_version_floor = |id: TextId| id.version >= self.version_floor;
        self.is_active || self.accepted_id().is_some_and(reaches_version_floor)
    }
}
