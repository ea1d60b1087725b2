//! Finds out which parts of prompts crash targets, from the streams that were lost in crashes and
//! those that were not.
//!
//! A target crashes soon after it has begun to generate for such a prompt. A stream that has run
//! for longer is therefore not the cause of a crash, and none of its parts crashed a target before
//! it began.

use std::collections::VecDeque;
use std::rc::Rc;
use std::time::Duration;

use kingcupfall_core::ids;
use kingcupfall_core::time;
use kingcupfall_core::work;
use kingcupfall_policy::quarantine;

use super::CallDemand;
use super::DispatchEffect;
use super::Dispatcher;
use super::PartSource;
use super::calls;
use super::crashes;
use super::crashes::CrashVerdict;
use crate::directory;

/// Time from the first event of a stream within which a part of its prompt crashes the target: ten
/// times what was seen.
const FATAL_TIME: Duration = Duration::from_secs(1);

/// Time after its last event within which the target of a stream ends: that between two events of a
/// busy target, and more. Streams that are lost at one time are then all dated after they were
/// sent.
const MAX_EVENT_GAP: Duration = Duration::from_millis(250);

/// Time from the completion of a call until its target is found to have ended, within which the
/// completion may have been the crash: a probe and the report of a peer.
const CRASH_REPORT_TIME: Duration = Duration::from_millis(500);

/// Maximum number of completions whose targets may still turn out to have ended.
const MAX_RECENT_COMPLETIONS: usize = 1_024;

/// A call that completed sooner than a fatal one may crash its target.
#[derive(Debug, Clone)]
struct RecentCompletion {
    target: directory::TargetKey,
    prompt_parts: Rc<[work::PromptPartId]>,
    sent_at: time::Timestamp,
    began_at: time::Timestamp,
    ended_at: time::Timestamp,
}

/// Completed calls, oldest first. A response may end with its connection, so that it also looks
/// complete if the target crashes. That becomes known by other calls there, or from a peer.
#[derive(Debug, Clone, Default)]
pub(super) struct RecentCompletions {
    completions: VecDeque<RecentCompletion>,
}

impl RecentCompletions {
    pub(super) fn add(&mut self, now: time::Timestamp, placed: &calls::PlacedCall) {
        let prompt_parts = &placed.demand.prompt_parts;
        if placed.is_sound || prompt_parts.is_empty() {
            return;
        }
        if self.completions.len() >= MAX_RECENT_COMPLETIONS {
            self.completions.pop_front();
        }
        self.completions.push_back(RecentCompletion {
            target: placed.target.key.clone(),
            prompt_parts: Rc::clone(prompt_parts),
            sent_at: placed.sent_at,
            began_at: placed.first_event_at.unwrap_or(placed.sent_at),
            ended_at: now,
        });
    }

    /// Removes the completions at a target that has ended, and returns the prompts of those that
    /// may have been the crash.
    fn take_lost(
        &mut self,
        now: time::Timestamp,
        target: &directory::TargetKey,
    ) -> Vec<quarantine::LostPrompt> {
        let mut lost = Vec::new();
        self.completions.retain(|completion| {
            let is_lost = completion.target == *target;
            if is_lost && now.since(completion.ended_at) < CRASH_REPORT_TIME {
                lost.push(quarantine::LostPrompt {
                    parts: Rc::clone(&completion.prompt_parts),
                    sent_at: completion.sent_at,
                    lost_at: completion.ended_at,
                });
            }
            !is_lost
        });
        lost
    }

    /// Returns the target that crashed, if calls were completed there recently.
    fn crashed_target(&self, crash: ids::CrashId) -> Option<directory::TargetKey> {
        let mut targets = self.completions.iter().map(|completion| &completion.target);
        let target = targets.find(|target| crashes::crash_id(target) == crash);
        target.cloned()
    }

    fn pop_before(&mut self, at: time::Timestamp) -> Option<RecentCompletion> {
        let first = self.completions.front()?;
        match first.ended_at < at {
            true => self.completions.pop_front(),
            false => None,
        }
    }
}

impl crashes::TargetAttempt {
    /// Returns whether the target had not begun to generate for the prompt, or had just begun to,
    /// when it was last heard from.
    fn is_fresh(&self) -> bool {
        self.first_event_at
            .is_none_or(|first_event_at| self.heard_at.since(first_event_at) < FATAL_TIME)
    }

    /// Returns the prompt of an attempt that was lost, if it may be the cause.
    pub(super) fn lost_prompt(&self, now: time::Timestamp) -> Option<quarantine::LostPrompt> {
        let may_be_cause = self.is_fresh() && !self.prompt_parts.is_empty();
        may_be_cause.then(|| quarantine::LostPrompt {
            parts: Rc::clone(&self.prompt_parts),
            sent_at: self.sent_at,
            // A target that goes dark has ended when its events stop, long before that is noticed.
            lost_at: self
                .first_event_at
                .map_or(now, |_| now.min(self.heard_at + MAX_EVENT_GAP)),
        })
    }
}

impl Dispatcher {
    /// Returns all prompt parts that are quarantined.
    pub fn quarantined_parts(&self) -> Vec<quarantine::PartQuarantine> {
        self.settings.prompt_parts.quarantined_parts()
    }

    /// Returns the crashes that changed after the first `change_count` changes, and the number of
    /// all changes.
    pub fn prompt_crashes_after(
        &self,
        now: time::Timestamp,
        change_count: u64,
    ) -> (Vec<quarantine::PromptCrash>, u64) {
        self.settings.prompt_parts.records_after(now, change_count)
    }

    /// Returns whether the stream of a call may be resumed at another target, as far as its request
    /// may crash targets.
    pub fn resumption_verdict(&self, now: time::Timestamp, call: ids::CallId) -> CrashVerdict {
        let Some(placed) = self.placed.get(&call) else {
            return CrashVerdict::MayRun;
        };
        if self.part_quarantine(&placed.demand).is_some() {
            return CrashVerdict::Quarantined;
        }
        let verdict = self.crash_verdict(now, placed.demand.fingerprint);
        let attempt = placed.attempt();
        let may_be_cause =
            attempt.is_fresh() && !self.settings.prompt_parts.are_sound(&attempt.prompt_parts);
        if verdict != CrashVerdict::MayRun || !may_be_cause {
            return verdict;
        }
        let key = &attempt.target.key;
        if self.lost_attempts.has_ended(key) {
            CrashVerdict::MayBeCause
        } else if self.lost_attempts.is_probing(key) {
            CrashVerdict::Unresolved
        } else {
            CrashVerdict::MayRun
        }
    }

    /// Returns the quarantine of a part of a call's prompt, if any.
    pub(super) fn part_quarantine(
        &self,
        demand: &CallDemand,
    ) -> Option<quarantine::PartQuarantine> {
        let policy = &self.settings.prompt_parts;
        policy.quarantined_part(&demand.prompt_parts)
    }

    /// Records the prompts that may have caused the crash of a target.
    pub(super) fn record_prompt_crash(
        &mut self,
        now: time::Timestamp,
        key: &directory::TargetKey,
        attempts: &[crashes::LostAttempt],
        effects: &mut Vec<DispatchEffect>,
    ) {
        let mut prompts = self.recent_completions.take_lost(now, key);
        let lost = attempts.iter().filter_map(|attempt| attempt.prompt.clone());
        prompts.extend(lost);
        let crash = crashes::crash_id(key);
        let policy = &mut self.settings.prompt_parts;
        let Some(record) = policy.record_crash(now, crash, &prompts) else {
            return;
        };
        effects.push(DispatchEffect::PromptsLost {
            target: key.name.clone(),
            prompts,
        });
        effects.push(DispatchEffect::PromptCrashesChanged(vec![record]));
        self.review_parts(now, PartSource::Crash(key.name.clone()), effects);
    }

    /// Records that an event of a call's stream was received: its parts are sound once it has run
    /// for longer than a fatal one.
    pub(super) fn record_stream_event(
        &mut self,
        now: time::Timestamp,
        call: ids::CallId,
        effects: &mut Vec<DispatchEffect>,
    ) {
        let Some(placed) = self.placed.get_mut(&call) else {
            return;
        };
        let Some(first_event_at) = placed.first_event_at else {
            placed.first_event_at = Some(now);
            let attempt = placed.attempt();
            return self.record_prompt_response(now, &attempt, effects);
        };
        if placed.is_sound || now.since(first_event_at) < FATAL_TIME {
            return;
        }
        placed.is_sound = true;
        let prompt_parts = Rc::clone(&placed.demand.prompt_parts);
        self.record_sound_parts(now, &prompt_parts, first_event_at, effects);
    }

    /// Records completions at targets that have not ended since.
    pub(super) fn record_completions(
        &mut self,
        now: time::Timestamp,
        effects: &mut Vec<DispatchEffect>,
    ) {
        let micros = u64::try_from(FATAL_TIME.as_micros()).unwrap_or(u64::MAX);
        let before = time::Timestamp::from_micros(now.as_micros().saturating_sub(micros));
        while let Some(completion) = self.recent_completions.pop_before(before) {
            let key = &completion.target;
            if !self.lost_attempts.has_ended(key) && !self.lost_attempts.is_probing(key) {
                let parts = &completion.prompt_parts;
                self.record_sound_parts(now, parts, completion.began_at, effects);
            }
        }
    }

    fn record_sound_parts(
        &mut self,
        now: time::Timestamp,
        parts: &[work::PromptPartId],
        began_at: time::Timestamp,
        effects: &mut Vec<DispatchEffect>,
    ) {
        let policy = &mut self.settings.prompt_parts;
        let records = policy.record_sound_stream(now, parts, began_at);
        self.handle_prompt_findings(now, records, effects);
    }

    /// Records that a target responded to an attempt: it has not crashed before it was sent.
    pub(super) fn record_prompt_response(
        &mut self,
        now: time::Timestamp,
        attempt: &crashes::TargetAttempt,
        effects: &mut Vec<DispatchEffect>,
    ) {
        let policy = &mut self.settings.prompt_parts;
        if policy.is_empty() {
            return;
        }
        let crash = crashes::crash_id(&attempt.target.key);
        let record = policy.record_response(now, crash, attempt.sent_at);
        self.handle_prompt_findings(now, record.into_iter().collect(), effects);
    }

    fn handle_prompt_findings(
        &mut self,
        now: time::Timestamp,
        records: Vec<quarantine::PromptCrash>,
        effects: &mut Vec<DispatchEffect>,
    ) {
        if !records.is_empty() {
            effects.push(DispatchEffect::PromptCrashesChanged(records));
            self.review_parts(now, PartSource::Response, effects);
        }
    }

    /// Merges crashes that a peer reported.
    pub(super) fn merge_prompt_crashes(
        &mut self,
        now: time::Timestamp,
        records: &[quarantine::PromptCrash],
        effects: &mut Vec<DispatchEffect>,
    ) {
        let policy = &mut self.settings.prompt_parts;
        let findings: Vec<_> = records
            .iter()
            .filter_map(|record| policy.merge(now, record))
            .collect();
        if !findings.is_empty() {
            effects.push(DispatchEffect::PromptCrashesChanged(findings));
        }
        self.review_parts(now, PartSource::Peer, effects);
        for record in records {
            if !record.is_disproved
                && !record.prompts.is_empty()
                && let Some(target) = self.recent_completions.crashed_target(record.crash)
            {
                self.record_prompt_crash(now, &target, &[], effects);
            }
        }
    }

    /// Decides anew which parts are quarantined, and refuses the calls that wait although they have
    /// such a part.
    pub(super) fn review_parts(
        &mut self,
        now: time::Timestamp,
        source: PartSource,
        effects: &mut Vec<DispatchEffect>,
    ) {
        let changes = self.settings.prompt_parts.review(now);
        if changes.is_empty() {
            return;
        }
        effects.push(DispatchEffect::PartsChanged { changes, source });
        self.refuse_quarantined(now, effects);
    }
}
