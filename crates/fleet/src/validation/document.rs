//! Validation of sections as parts of the operators' document.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;

use kingcupfall_core::findings;
use kingcupfall_core::measures;
use kingcupfall_document::acceptance;
use kingcupfall_document::sections as document;

use super::SectionValidator;
use crate::sections;

/// Validation status of one section of the document.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct ValidationStatus {
    /// Newest accepted version; `None` until a version has been accepted. It is not active while it
    /// is held, see [`acceptance::OfferOutcome::Held`].
    pub accepted: Option<measures::SectionVersion>,
    /// Newest rejected version; `None` if no version was rejected or a newer one has been accepted
    /// since.
    pub rejected: Option<measures::SectionVersion>,
    /// Findings of the rejected version; empty if there is none.
    pub findings: findings::FindingList,
}

/// The active document and the validation status of its sections.
#[derive(Debug, Default)]
pub struct DocumentState {
    acceptance: acceptance::DocumentAcceptance,
    statuses: BTreeMap<document::SectionName, ValidationStatus>,
}

impl DocumentState {
    /// Returns the state machine that stores the section texts and the active document.
    pub const fn acceptance(&self) -> &acceptance::DocumentAcceptance {
        &self.acceptance
    }

    /// Returns the status of each section of the document that has been validated at least once.
    pub const fn statuses(&self) -> &BTreeMap<document::SectionName, ValidationStatus> {
        &self.statuses
    }

    fn offer_text(
        &mut self,
        section: document::SectionName,
        version: measures::SectionVersion,
        text: &str,
    ) -> sections::SectionVerdict {
        let section_text = acceptance::SectionText {
            section,
            version,
            text: text.into(),
        };
        let outcome = self.acceptance.offer(section_text);
        let status = self.statuses.entry(section).or_default();

        match outcome {
            acceptance::OfferOutcome::Activated | acceptance::OfferOutcome::Held => {
                status.accepted = Some(version);
                if status.rejected < Some(version) {
                    status.rejected = None;
                    status.findings = findings::FindingList::default();
                }
                sections::SectionVerdict::Accepted
            }
            acceptance::OfferOutcome::Rejected => {
                status.rejected = Some(version);
                status.findings = section_findings(&self.acceptance, section);
                sections::SectionVerdict::Rejected
            }
            acceptance::OfferOutcome::Duplicate | acceptance::OfferOutcome::Outdated => {
                sections::SectionVerdict::Rejected
            }
        }
    }
}

/// Validates each section on its own and shares the result with the shell.
///
/// Rejects texts with findings, and also texts that are stored already or not higher than the
/// accepted text in the order of [`acceptance::TextId`]. A reference to a missing entry of another
/// section is no reason to reject a text.
#[derive(Debug, Default)]
pub struct DocumentValidator {
    state: Rc<RefCell<DocumentState>>,
}

impl DocumentValidator {
    /// Returns the state, shared with the shell, that each validation updates.
    pub fn state(&self) -> Rc<RefCell<DocumentState>> {
        Rc::clone(&self.state)
    }
}

impl SectionValidator for DocumentValidator {
    fn validate(&mut self, value: &sections::SectionValue) -> sections::SectionVerdict {
        let section: Option<document::SectionName> = value.section.as_str().parse().ok();
        let text = std::str::from_utf8(&value.bytes).ok();
        let (Some(section), Some(text)) = (section, text) else {
            return sections::SectionVerdict::Rejected;
        };
        self.state
            .borrow_mut()
            .offer_text(section, value.head.version, text)
    }
}

fn section_findings(
    acceptance: &acceptance::DocumentAcceptance,
    section: document::SectionName,
) -> findings::FindingList {
    acceptance
        .status()
        .into_iter()
        .find(|report| report.section == section)
        .map(|report| report.findings)
        .unwrap_or_default()
}
