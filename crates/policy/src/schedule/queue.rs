//! Work that waits for admission, by organisation.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::time::Duration;

use kingcupfall_core::ids;
use kingcupfall_core::time;

use super::WorkTicket;
use super::length::LengthSlot;

/// Earlier deadline that one step of priority is worth.
const PRIORITY_CREDIT: Duration = Duration::from_secs(10);

/// One piece of waiting work.
#[derive(Debug, Clone)]
pub struct WaitingWork {
    /// What was submitted.
    pub ticket: WorkTicket,
    /// Where its length is learnt; `None` for a service call.
    pub slot: Option<LengthSlot>,
    /// When it was submitted.
    pub since: time::Timestamp,
    /// Expected use of memory over its life, in token seconds.
    pub cost: f64,
    /// Whether its answer is expected to be short, or it is a service call.
    pub is_short: bool,
    /// Memory that it is expected to hold halfway through its life, in tokens.
    pub memory: u64,
}

/// Place of work in the order of its organisation.
pub type QueueKey = (u64, ids::AttemptId);

/// Waiting work of one organisation in order.
#[derive(Debug, Default)]
pub struct OrganisationQueue {
    works: BTreeMap<QueueKey, WaitingWork>,
    /// Work whose answer is expected to be short.
    short: BTreeMap<QueueKey, WaitingWork>,
}

impl OrganisationQueue {
    /// Returns the work in order, that with short answers after the rest.
    pub fn iter(&self) -> impl Iterator<Item = &WaitingWork> {
        self.works.values().chain(self.short.values())
    }

    /// Returns the work with short answers in order.
    pub fn short(&self) -> impl Iterator<Item = &WaitingWork> {
        self.short.values()
    }

    fn is_empty(&self) -> bool {
        self.works.is_empty() && self.short.is_empty()
    }
}

/// All waiting work.
///
/// Within an organisation the order is by start deadline, brought forward by the priority. So a
/// higher priority goes first, but not for ever: work that has waited long enough comes first.
#[derive(Debug, Default)]
pub struct WaitingQueue {
    organisations: BTreeMap<ids::OrganisationName, OrganisationQueue>,
    keys: HashMap<ids::AttemptId, (ids::OrganisationName, QueueKey)>,
    cost: f64,
    memory: u64,
    /// Work that is suspected of crashing targets; an agent takes one at a time.
    suspect: Option<(ids::AttemptId, time::Timestamp)>,
}

impl WaitingQueue {
    /// Adds work. Returns whether its organisation had none waiting.
    pub fn insert(&mut self, work: WaitingWork) -> bool {
        let attempt = work.ticket.attempt;
        let organisation = work.ticket.tag.organisation.clone();
        let key = order_key(&work);

        if work.ticket.suspect {
            self.suspect = Some((attempt, work.since));
        }
        self.cost += work.cost;
        self.memory += work.memory;
        self.keys.insert(attempt, (organisation.clone(), key));
        let queue = self.organisations.entry(organisation).or_default();
        let is_first = queue.is_empty();
        match work.is_short {
            true => queue.short.insert(key, work),
            false => queue.works.insert(key, work),
        };
        is_first
    }

    /// Removes work.
    pub fn remove(&mut self, attempt: ids::AttemptId) -> Option<WaitingWork> {
        let (organisation, key) = self.keys.remove(&attempt)?;
        let queue = self.organisations.get_mut(&organisation)?;
        let work = queue
            .works
            .remove(&key)
            .or_else(|| queue.short.remove(&key))?;
        if self.suspect.is_some_and(|(suspect, _)| suspect == attempt) {
            self.suspect = None;
        }
        self.cost -= work.cost;
        self.memory -= work.memory;
        if queue.is_empty() {
            self.organisations.remove(&organisation);
        }
        if self.keys.is_empty() {
            self.cost = 0.0;
        }
        Some(work)
    }

    /// Returns waiting organisations with their queues.
    pub fn organisations(
        &self,
    ) -> impl Iterator<Item = (&ids::OrganisationName, &OrganisationQueue)> {
        self.organisations.iter()
    }

    /// Returns the expected use of memory of all work, in token seconds.
    pub fn cost(&self) -> f64 {
        self.cost
    }

    /// Returns the memory that all work is expected to hold halfway through its life, in tokens.
    pub fn memory(&self) -> u64 {
        self.memory
    }

    /// Returns the waiting suspect, and since when it waits.
    pub fn suspect(&self) -> Option<(ids::AttemptId, time::Timestamp)> {
        self.suspect
    }

    /// Returns the number of pieces of work.
    pub fn len(&self) -> usize {
        self.keys.len()
    }

    /// Says whether nothing waits.
    pub fn is_empty(&self) -> bool {
        self.keys.is_empty()
    }

    /// Returns the attempts whose start deadline has passed.
    pub fn overdue(&self, now: time::Timestamp) -> Vec<ids::AttemptId> {
        self.organisations
            .values()
            .flat_map(OrganisationQueue::iter)
            .filter(|work| work.ticket.start_by < now)
            .map(|work| work.ticket.attempt)
            .collect()
    }
}

/// Returns the place of work in the order of its organisation.
pub fn order_key(work: &WaitingWork) -> QueueKey {
    let credit = PRIORITY_CREDIT * u32::from(work.ticket.tag.priority.get());
    let credit = u64::try_from(credit.as_micros()).unwrap_or(u64::MAX);
    let deadline = work.ticket.start_by.as_micros();
    let place = deadline.saturating_sub(credit);
    (place, work.ticket.attempt)
}
