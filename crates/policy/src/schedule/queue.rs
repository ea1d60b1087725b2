//! Queue of the work that waits for admission, ordered within each organisation.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::time::Duration;

use kingcupfall_core::ids;
use kingcupfall_core::time;

use super::SubmittedWork;
use super::length::LengthSlot;

/// Time by which each level of priority moves work ahead in the order of start deadlines.
const PRIORITY_CREDIT: Duration = Duration::from_secs(10);

/// One piece of waiting work.
#[derive(Debug, Clone)]
pub struct WaitingWork {
    /// The work as submitted.
    pub submitted: SubmittedWork,
    /// Slot of its length statistics; `None` for a service call.
    pub slot: Option<LengthSlot>,
    /// Time of submission.
    pub submitted_at: time::Timestamp,
    /// Expected memory integrated over its expected running time, in token seconds.
    pub expected_cost: f64,
    /// Whether its output is expected to be short; true for a service call.
    pub is_short: bool,
    /// Memory that it is expected to hold halfway through its output, in tokens.
    pub expected_memory: u64,
}

/// Sort key of work within its organisation: start deadline less priority credit, in microseconds.
pub type QueueKey = (u64, ids::AttemptId);

/// Waiting work of one organisation, ordered by [`QueueKey`].
#[derive(Debug, Default)]
pub struct OrganisationQueue {
    long: BTreeMap<QueueKey, WaitingWork>,
    /// Work whose output is expected to be short.
    short: BTreeMap<QueueKey, WaitingWork>,
}

impl OrganisationQueue {
    /// Returns the long work in order, then the short work in order.
    pub fn iter(&self) -> impl Iterator<Item = &WaitingWork> {
        self.long.values().chain(self.short.values())
    }

    /// Returns the short work in order.
    pub fn short(&self) -> impl Iterator<Item = &WaitingWork> {
        self.short.values()
    }

    fn is_empty(&self) -> bool {
        self.long.is_empty() && self.short.is_empty()
    }
}

/// All waiting work of one scheduler.
///
/// Within an organisation, work is ordered by its start deadline less a credit for its priority.
/// Higher priority therefore goes first, but does not starve lower priority: work that has waited
/// long enough comes first whatever its priority.
#[derive(Debug, Default)]
pub struct WaitingQueue {
    organisations: BTreeMap<ids::OrganisationName, OrganisationQueue>,
    keys: HashMap<ids::AttemptId, (ids::OrganisationName, QueueKey)>,
    expected_cost: f64,
    expected_memory: u64,
    /// Suspect that waits, with its time of submission; an agent accepts one suspect at a time.
    suspect: Option<(ids::AttemptId, time::Timestamp)>,
}

impl WaitingQueue {
    /// Adds work and returns true if its organisation had none waiting.
    pub fn insert(&mut self, work: WaitingWork) -> bool {
        let attempt = work.submitted.attempt;
        let organisation = work.submitted.tag.organisation.clone();
        let key = order_key(&work);

        if work.submitted.suspect {
            self.suspect = Some((attempt, work.submitted_at));
        }
        self.expected_cost += work.expected_cost;
        self.expected_memory += work.expected_memory;
        self.keys.insert(attempt, (organisation.clone(), key));
        let queue = self.organisations.entry(organisation).or_default();
        let is_first = queue.is_empty();
        match work.is_short {
            true => queue.short.insert(key, work),
            false => queue.long.insert(key, work),
        };
        is_first
    }

    /// Removes and returns work; `None` if it is not waiting.
    pub fn remove(&mut self, attempt: ids::AttemptId) -> Option<WaitingWork> {
        let (organisation, key) = self.keys.remove(&attempt)?;
        let queue = self.organisations.get_mut(&organisation)?;
        let work = queue
            .long
            .remove(&key)
            .or_else(|| queue.short.remove(&key))?;
        if self.suspect.is_some_and(|(suspect, _)| suspect == attempt) {
            self.suspect = None;
        }
        self.expected_cost -= work.expected_cost;
        self.expected_memory -= work.expected_memory;
        if queue.is_empty() {
            self.organisations.remove(&organisation);
        }
        if self.keys.is_empty() {
            // Clears the rounding error that the sum has accumulated.
            self.expected_cost = 0.0;
        }
        Some(work)
    }

    /// Returns the organisations that have waiting work, with their queues.
    pub fn organisations(
        &self,
    ) -> impl Iterator<Item = (&ids::OrganisationName, &OrganisationQueue)> {
        self.organisations.iter()
    }

    /// Returns the sum of the expected cost of all waiting work, in token seconds.
    pub fn expected_cost(&self) -> f64 {
        self.expected_cost
    }

    /// Returns the sum of the expected memory of all waiting work, in tokens.
    pub fn expected_memory(&self) -> u64 {
        self.expected_memory
    }

    /// Returns the waiting suspect and its time of submission.
    pub fn suspect(&self) -> Option<(ids::AttemptId, time::Timestamp)> {
        self.suspect
    }

    /// Returns the number of waiting pieces of work.
    pub fn len(&self) -> usize {
        self.keys.len()
    }

    /// Returns true if no work is waiting.
    pub fn is_empty(&self) -> bool {
        self.keys.is_empty()
    }

    /// Returns the attempts whose start deadline has passed.
    pub fn overdue(&self, now: time::Timestamp) -> Vec<ids::AttemptId> {
        self.organisations
            .values()
            .flat_map(OrganisationQueue::iter)
            .filter(|work| work.submitted.start_by < now)
            .map(|work| work.submitted.attempt)
            .collect()
    }
}

/// Returns the sort key of work within its organisation.
pub fn order_key(work: &WaitingWork) -> QueueKey {
    let credit = PRIORITY_CREDIT * u32::from(work.submitted.tag.priority.get());
    let credit = u64::try_from(credit.as_micros()).unwrap_or(u64::MAX);
    let deadline = work.submitted.start_by.as_micros();
    let position = deadline.saturating_sub(credit);
    (position, work.submitted.attempt)
}
