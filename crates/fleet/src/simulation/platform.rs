//! Fakes of the configuration service and the VM list.

use std::collections::BTreeMap;

use kingcupfall_core::measures;
use kingcupfall_core::time;

use crate::reducer;
use crate::sections;

/// How the configuration service responds.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ServiceMode {
    /// It returns the newest sections.
    Up,
    /// Every call fails.
    Down,
    /// It returns the sections as of this revision.
    Stale(reducer::ServiceRevision),
}

/// Fake configuration service, with the history of its sections.
#[derive(Debug, Default)]
pub struct FakeService {
    history: Vec<sections::SectionValue>,
    calls: BTreeMap<u64, u32>,
}

impl FakeService {
    /// Publishes a section and returns the new revision. The version must be higher than all earlier
    /// ones of the section.
    pub fn publish(&mut self, value: sections::SectionValue) -> reducer::ServiceRevision {
        self.history.push(value);
        self.revision()
    }

    /// Returns the newest revision, which is the number of publications.
    pub const fn revision(&self) -> reducer::ServiceRevision {
        reducer::ServiceRevision::new(self.history.len() as u64)
    }

    /// Records a call in the second of `now`.
    pub fn record_call(&mut self, now: time::Timestamp) {
        let second = now.as_micros() / 1_000_000;
        *self.calls.entry(second).or_default() += 1;
    }

    /// Returns the highest number of calls in one second, from the second of `since` on.
    pub fn peak_calls(&self, since: time::Timestamp) -> u32 {
        let first = since.as_micros() / 1_000_000;
        self.calls
            .range(first..)
            .map(|(_, calls)| *calls)
            .max()
            .unwrap_or(0)
    }

    /// Returns the number of calls from the second of `since` on.
    pub fn total_calls(&self, since: time::Timestamp) -> u64 {
        let first = since.as_micros() / 1_000_000;
        self.calls
            .range(first..)
            .map(|(_, calls)| u64::from(*calls))
            .sum()
    }

    /// Returns the sections that changed after revision `after`, as far as `mode` shows them.
    ///
    /// Returns `None` if the service is down, or if a watch must wait, as there is no revision later
    /// than `after`. A read from revision zero never waits.
    pub fn read(
        &self,
        mode: ServiceMode,
        after: reducer::ServiceRevision,
    ) -> Option<reducer::ServiceReading> {
        let revision = match mode {
            ServiceMode::Up => self.revision(),
            ServiceMode::Down => return None,
            ServiceMode::Stale(revision) => revision,
        };
        if revision <= after && after > reducer::ServiceRevision::default() {
            return None;
        }

        let first = usize::try_from(after.get()).unwrap_or(usize::MAX);
        let last = usize::try_from(revision.get()).unwrap_or(usize::MAX);
        let changes = self.history.get(first..last).unwrap_or(&[]);
        let mut newest = BTreeMap::new();
        for value in changes {
            newest.insert(value.section.clone(), value.clone());
        }
        Some(reducer::ServiceReading {
            revision,
            sections: newest.into_values().collect(),
        })
    }

    /// Returns the newest version of a section; `None` if none was published.
    pub fn newest(&self, section: &sections::SectionName) -> Option<measures::SectionVersion> {
        self.history
            .iter()
            .rev()
            .find(|value| value.section == *section)
            .map(|value| value.head.version)
    }
}
