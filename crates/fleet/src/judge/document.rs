//! Check of sections as parts of the operators' document.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;

use kingcupfall_core::findings;
use kingcupfall_core::measures;
use kingcupfall_document::acceptance;
use kingcupfall_document::sections as document;

use super::SectionJudge;
use crate::sections;

/// One section of the document as this process has it.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct SectionStanding {
    /// Version in force.
    pub in_force: Option<measures::SectionVersion>,
    /// Newer version that has findings.
    pub rejected: Option<measures::SectionVersion>,
    /// What is wrong with it.
    pub findings: findings::FindingList,
}

/// The document in force and the standing of its sections.
#[derive(Debug, Default)]
pub struct DocumentState {
    acceptance: acceptance::DocumentAcceptance,
    standings: BTreeMap<document::SectionName, SectionStanding>,
}

impl DocumentState {
    /// Returns the state machine of acceptance.
    pub const fn acceptance(&self) -> &acceptance::DocumentAcceptance {
        &self.acceptance
    }

    /// Returns the standing of each section that was seen.
    pub const fn standings(&self) -> &BTreeMap<document::SectionName, SectionStanding> {
        &self.standings
    }

    fn offer(
        &mut self,
        section: document::SectionName,
        version: measures::SectionVersion,
        text: &str,
    ) -> sections::SectionVerdict {
        let text = acceptance::SectionText {
            section,
            version,
            text: text.into(),
        };
        let outcome = self.acceptance.offer(text);
        let standing = self.standings.entry(section).or_default();

        match outcome {
            acceptance::OfferOutcome::Activated | acceptance::OfferOutcome::Held => {
                standing.in_force = Some(version);
                if standing.rejected < Some(version) {
                    standing.rejected = None;
                    standing.findings = findings::FindingList::default();
                }
                sections::SectionVerdict::Accepted
            }
            acceptance::OfferOutcome::Rejected => {
                standing.rejected = Some(version);
                standing.findings = find_findings(&self.acceptance, section);
                sections::SectionVerdict::Rejected
            }
            acceptance::OfferOutcome::Duplicate | acceptance::OfferOutcome::Outdated => {
                sections::SectionVerdict::Rejected
            }
        }
    }
}

/// Checks sections by the document's acceptance, and shares what is in force.
#[derive(Debug, Default)]
pub struct DocumentJudge {
    state: Rc<RefCell<DocumentState>>,
}

impl DocumentJudge {
    /// Returns the state that the judge shares with the shell.
    pub fn state(&self) -> Rc<RefCell<DocumentState>> {
        Rc::clone(&self.state)
    }
}

impl SectionJudge for DocumentJudge {
    fn judge(&mut self, value: &sections::SectionValue) -> sections::SectionVerdict {
        let section: Option<document::SectionName> = value.section.as_str().parse().ok();
        let text = std::str::from_utf8(&value.bytes).ok();
        let (Some(section), Some(text)) = (section, text) else {
            return sections::SectionVerdict::Rejected;
        };
        self.state
            .borrow_mut()
            .offer(section, value.head.version, text)
    }
}

fn find_findings(
    acceptance: &acceptance::DocumentAcceptance,
    section: document::SectionName,
) -> findings::FindingList {
    acceptance
        .status()
        .into_iter()
        .find(|status| status.section == section)
        .map(|status| status.findings)
        .unwrap_or_default()
}
