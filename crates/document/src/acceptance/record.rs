//! What is kept of one section.

use kingcupfall_core::findings;
use kingcupfall_core::measures;

use super::SectionDigest;
use super::SectionMark;
use super::SectionText;
use super::VersionSpan;
use crate::sections;

/// A text that is kept.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct KeptText {
    /// Version and hash.
    pub mark: SectionMark,
    /// The text.
    pub text: Box<str>,
}

impl KeptText {
    /// Makes the text to send to others.
    pub fn to_section_text(&self, section: sections::SectionName) -> SectionText {
        SectionText {
            section,
            version: self.mark.version,
            text: self.text.clone(),
        }
    }
}

/// A text with findings.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RejectedText {
    /// The text.
    pub kept: KeptText,
    /// What is wrong with it.
    pub findings: findings::FindingList,
}

/// Texts of one section.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct SectionRecord {
    /// Highest text without findings.
    pub accepted: Option<KeptText>,
    /// Highest text with findings, when it is higher than the accepted one.
    pub rejected: Option<RejectedText>,
    /// Highest version that was seen here or heard of from others.
    pub seen: Option<VersionSpan>,
    /// Highest version that was accepted elsewhere.
    pub floor: measures::SectionVersion,
    /// Whether the accepted text is in force.
    pub is_in_force: bool,
}

impl SectionRecord {
    /// Returns what others are told; `None` before the first text.
    pub fn digest(&self) -> Option<SectionDigest> {
        Some(SectionDigest {
            accepted: self.accepted_mark(),
            rejected: self.rejected.as_ref().map(|text| text.kept.mark),
            seen: self.seen?,
        })
    }

    /// Returns the mark of the accepted text.
    pub fn accepted_mark(&self) -> Option<SectionMark> {
        self.accepted.as_ref().map(|kept| kept.mark)
    }

    /// Notes that texts with the versions and hashes of `span` exist.
    pub fn see(&mut self, span: VersionSpan) {
        self.seen = Some(self.seen.map_or(span, |seen| seen.join(span)));
    }

    /// Says whether a text with `mark` is kept already.
    pub fn has_text(&self, mark: SectionMark) -> bool {
        let is_rejected = |text: &RejectedText| text.kept.mark == mark;
        self.accepted_mark() == Some(mark) || self.rejected.as_ref().is_some_and(is_rejected)
    }

    /// Says whether a text with `mark` cannot change anything, with or without findings.
    pub fn is_outdated(&self, mark: SectionMark) -> bool {
        Some(mark) <= self.accepted_mark()
    }

    /// Takes a text without findings that is not outdated.
    pub fn accept(&mut self, kept: KeptText) {
        let is_overtaken = |text: &RejectedText| text.kept.mark < kept.mark;
        if self.rejected.as_ref().is_some_and(is_overtaken) {
            self.rejected = None;
        }
        self.accepted = Some(kept);
    }

    /// Takes a text with findings that is not outdated; returns whether it is the highest one.
    pub fn reject(&mut self, text: RejectedText) -> bool {
        let is_highest = self
            .rejected
            .as_ref()
            .is_none_or(|rejected| rejected.kept.mark < text.kept.mark);
        if is_highest {
            self.rejected = Some(text);
        }
        is_highest
    }

    /// Says whether the accepted text may enter into force.
    ///
    /// The floor holds only the first text back. Later ones are higher than the one in force, so
    /// that each of them is better than what it replaces.
    pub fn may_enter_force(&self) -> bool {
        let reaches_floor = |mark: SectionMark| mark.version >= self.floor;
        self.is_in_force || self.accepted_mark().is_some_and(reaches_floor)
    }
}
