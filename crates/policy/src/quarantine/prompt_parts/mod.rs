//! Quarantine of prompt parts that may crash the targets that generate output for them.
//!
//! Requests with such a part differ in everything else, and share their other parts with sound
//! requests. A part is told from those beside it by two observations: targets crash again and again
//! soon after they began to generate for a prompt with it, and no stream with it gets far.

mod correlation;
mod disabled;
mod sound_parts;
mod verdict;

use std::rc::Rc;

use kingcupfall_core::ids;
use kingcupfall_core::time;
use kingcupfall_core::work;
use serde::Deserialize;
use serde::Serialize;

pub use correlation::CrashCorrelation;
pub use disabled::NoPartQuarantine;

/// A prompt that a target was to generate output for, or had just begun to, when it crashed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LostPrompt {
    /// Shared parts of the prompt, in order.
    pub parts: Rc<[work::PromptPartId]>,
    /// When its request was sent to the target, on the local clock.
    pub sent_at: time::Timestamp,
    /// When its request was lost, on the local clock.
    pub lost_at: time::Timestamp,
}

/// A [`LostPrompt`] as exchanged between processes.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PromptRecord {
    /// Shared parts of the prompt, in order.
    #[serde(rename = "p")]
    pub parts: Box<[work::PromptPartId]>,
    /// Time since its request was lost, in milliseconds before the time of sending.
    #[serde(rename = "a")]
    pub age_ms: u64,
    /// Time from sending its request until it was lost, in milliseconds.
    #[serde(rename = "d")]
    pub duration_ms: u64,
}

/// What is known of one crash, as exchanged between processes. Merging is a union, so that records
/// may arrive in any order, in part and more than once.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PromptCrash {
    /// The crash.
    #[serde(rename = "c")]
    pub crash: ids::CrashId,
    /// Prompts that were lost in it.
    #[serde(rename = "p", default)]
    pub prompts: Vec<PromptRecord>,
    /// Parts that have been found sound since.
    #[serde(rename = "s", default)]
    pub sound_parts: Vec<work::PromptPartId>,
    /// Whether the target has responded since to a later request, so that it did not crash.
    #[serde(rename = "d", default)]
    pub is_disproved: bool,
}

impl PromptCrash {
    pub(super) const fn of_sound_parts(
        crash: ids::CrashId,
        sound_parts: Vec<work::PromptPartId>,
    ) -> Self {
        Self {
            crash,
            prompts: Vec::new(),
            sound_parts,
            is_disproved: false,
        }
    }
}

/// A quarantined part of a prompt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PartQuarantine {
    /// The part.
    pub part: work::PromptPartId,
    /// End of its quarantine, on the local clock.
    pub until: time::Timestamp,
}

/// Standing of a prompt part.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PartStanding {
    /// Repeated crashes may be due to it.
    Suspected,
    /// Requests with it are refused.
    Quarantined,
    /// It is neither suspected nor quarantined any more.
    Cleared,
}

/// A change of a part's standing.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PartChange {
    /// The part.
    pub part: work::PromptPartId,
    /// Its new standing.
    pub standing: PartStanding,
    /// Crashes that count against it; before the change if it was cleared.
    pub crash_count: usize,
}

/// Finds the prompt parts that crash targets.
pub trait PromptPartPolicy {
    /// Returns the first quarantined part of a prompt, if any. Of parts that explain the same
    /// crashes, only one is quarantined, and only in prompts that have all of them.
    fn quarantined_part(&self, parts: &[work::PromptPartId]) -> Option<PartQuarantine>;

    /// Returns all quarantined parts.
    fn quarantined_parts(&self) -> Vec<PartQuarantine>;

    /// Returns whether streams with each of these parts have been found sound, at any time.
    fn are_sound(&self, parts: &[work::PromptPartId]) -> bool;

    /// Returns whether no crash is known.
    fn is_empty(&self) -> bool;

    /// Records the prompts that were lost in a crash, and returns what is new, for other processes.
    fn record_crash(
        &mut self,
        now: time::Timestamp,
        crash: ids::CrashId,
        prompts: &[LostPrompt],
    ) -> Option<PromptCrash>;

    /// Records that a stream with these parts, whose output began at `began_at`, has got further
    /// than one that crashes its target. Crashes before that are not due to these parts. Returns
    /// what is new, for other processes.
    fn record_sound_stream(
        &mut self,
        now: time::Timestamp,
        parts: &[work::PromptPartId],
        began_at: time::Timestamp,
    ) -> Vec<PromptCrash>;

    /// Records that the target of a crash responded to a request that was sent at `sent_at`; if
    /// that was after the crash, there was none. Returns what is new, for other processes.
    fn record_response(
        &mut self,
        now: time::Timestamp,
        crash: ids::CrashId,
        sent_at: time::Timestamp,
    ) -> Option<PromptCrash>;

    /// Merges a record received from another process. Returns what this process knows of it that is
    /// new for others.
    fn merge(&mut self, now: time::Timestamp, record: &PromptCrash) -> Option<PromptCrash>;

    /// Decides anew which parts are quarantined, and returns what has changed. To be called after
    /// each change and at regular intervals.
    fn review(&mut self, now: time::Timestamp) -> Vec<PartChange>;

    /// Returns the crashes that changed after the first `change_count` changes, and the number of
    /// all changes.
    fn records_after(&self, now: time::Timestamp, change_count: u64) -> (Vec<PromptCrash>, u64);

    /// Returns a copy that does not share state with this policy, to try a decision on.
    fn boxed_clone(&self) -> Box<dyn PromptPartPolicy>;
}
