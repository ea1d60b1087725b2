//! Finds out which requests ran at a target when it crashed.
//!
//! A relay sees a crash only as attempts without a complete response, and many other faults look
//! the same. Such an attempt makes its request a suspect once the target is known to have ended
//! without notice: nothing accepts connections at its address any more, or another incarnation has
//! registered under its name. A request that may have crashed as many targets as quarantine it
//! waits until that is known.

use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

use kingcupfall_core::ids;
use kingcupfall_core::time;
use kingcupfall_core::work;
use kingcupfall_policy::quarantine;
use xxhash_rust::xxh3;

use super::AttemptResult;
use super::DispatchEffect;
use super::Dispatcher;
use super::SuspectSource;
use crate::directory;

/// Time within which the end of a target must become known for the attempts lost there to count.
const LOSS_RETENTION: Duration = Duration::from_secs(5);

/// Time for which an ended target is remembered: attempts may hang there until their timeouts.
const END_RETENTION: Duration = Duration::from_secs(60);

/// Delay of a probe after an attempt was lost: a process that ends closes its connections and its
/// listener one after the other.
const PROBE_DELAY: Duration = Duration::from_millis(50);

/// Minimum time between two probes of a target.
const PROBE_INTERVAL: Duration = Duration::from_millis(500);

/// Time without data after which a target counts as silent when its caller leaves.
const SILENCE_TIME: Duration = Duration::from_millis(900);

/// Maximum number of lost attempts that are kept for one target.
const MAX_LOSSES: usize = 256;

/// Number of crashed targets from which on a request is quarantined, as counted by
/// [`quarantine::QuarantinePolicy`].
const QUARANTINE_CRASHES: usize = 2;

/// Whether a request may be sent to a target, as far as it may crash it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CrashVerdict {
    /// It may be sent.
    MayRun,
    /// Probes of its targets are under way, after which it may be quarantined.
    Unresolved,
    /// It is quarantined, or a part of its prompt is.
    Quarantined,
    /// Its target has ended just after it began to run the request, which may be the cause.
    MayBeCause,
}

/// Whether the end of an attempt makes a crash likely.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum LossKind {
    /// The connection broke or fell silent.
    Abrupt,
    /// The target reported its own failure, or this relay ended the attempt. The target may have
    /// crashed since then, or be about to.
    Unclear,
}

/// An attempt to run a request at a target.
#[derive(Debug, Clone)]
pub(super) struct TargetAttempt {
    pub(super) target: Rc<directory::TargetRecord>,
    pub(super) fingerprint: work::RequestFingerprint,
    pub(super) prompt_parts: Rc<[work::PromptPartId]>,
    pub(super) sent_at: time::Timestamp,
    /// When the first event from the target was received.
    pub(super) first_event_at: Option<time::Timestamp>,
    /// When the target was last heard from.
    pub(super) heard_at: time::Timestamp,
}

/// An attempt that ended without a successful response.
#[derive(Debug, Clone)]
pub(super) struct LostAttempt {
    fingerprint: work::RequestFingerprint,
    sent_at: time::Timestamp,
    lost_at: time::Timestamp,
    kind: LossKind,
    /// Whether the target has accepted a connection since.
    is_disproved: bool,
    /// Its prompt, if that may be the cause.
    pub(super) prompt: Option<quarantine::LostPrompt>,
}

/// What is known of one incarnation at which attempts were lost.
#[derive(Debug, Clone, Default)]
struct TargetLosses {
    attempts: Vec<LostAttempt>,
    ended_at: Option<time::Timestamp>,
    probed_at: Option<time::Timestamp>,
    is_probing: bool,
}

/// Lost attempts by the incarnation at which they ran.
#[derive(Debug, Clone, Default)]
pub(super) struct LostAttempts {
    targets: BTreeMap<directory::TargetKey, TargetLosses>,
    /// When each request was first lost at a target that ended.
    first_losses: BTreeMap<work::RequestFingerprint, time::Timestamp>,
    /// When incarnations announced that they leave.
    departures: BTreeMap<directory::TargetKey, time::Timestamp>,
}

impl LostAttempts {
    fn record(&mut self, key: &directory::TargetKey, attempt: LostAttempt) {
        let losses = self.targets.entry(key.clone()).or_default();
        if losses.attempts.len() < MAX_LOSSES {
            losses.attempts.push(attempt);
        }
    }

    /// Records that an incarnation has announced that it leaves.
    pub(super) fn record_departure(&mut self, now: time::Timestamp, key: &directory::TargetKey) {
        self.departures.insert(key.clone(), now);
    }

    /// Keeps an incarnation in mind that runs attempts, unless it has announced that it leaves.
    fn track(&mut self, key: directory::TargetKey) {
        if !self.departures.contains_key(&key) {
            self.targets.entry(key).or_default();
        }
    }

    /// Returns whether a lost attempt was sent before its request was lost at another target that
    /// ended. It then says nothing more about the request: several targets have ended at the same
    /// time, or this relay was cut off from them.
    fn is_concurrent(&mut self, attempt: &LostAttempt) -> bool {
        let first_lost_at = self
            .first_losses
            .entry(attempt.fingerprint)
            .or_insert(attempt.lost_at);
        attempt.sent_at < *first_lost_at && attempt.lost_at > *first_lost_at
    }

    pub(super) fn has_ended(&self, key: &directory::TargetKey) -> bool {
        let losses = self.targets.get(key);
        losses.is_some_and(|losses| losses.ended_at.is_some())
    }

    pub(super) fn is_probing(&self, key: &directory::TargetKey) -> bool {
        let losses = self.targets.get(key);
        losses.is_some_and(|losses| losses.is_probing)
    }

    /// Returns the delay of the probe to start, or `None` if one is under way.
    fn start_probe(
        &mut self,
        now: time::Timestamp,
        key: &directory::TargetKey,
    ) -> Option<Duration> {
        let losses = self.targets.get_mut(key)?;
        if losses.is_probing {
            return None;
        }
        losses.is_probing = true;
        let next_at = losses.probed_at.map_or(now, |at| at + PROBE_INTERVAL);
        let delay = PROBE_DELAY.max(next_at.since(now));
        losses.probed_at = Some(now + delay);
        Some(delay)
    }

    fn finish_probe(&mut self, key: &directory::TargetKey, is_reachable: bool) {
        if let Some(losses) = self.targets.get_mut(key) {
            losses.is_probing = false;
            for attempt in &mut losses.attempts {
                attempt.is_disproved |= is_reachable;
            }
        }
    }

    /// Records that an incarnation has ended, and returns the attempts that were lost there.
    fn end_target(&mut self, now: time::Timestamp, key: &directory::TargetKey) -> Vec<LostAttempt> {
        let losses = self.targets.entry(key.clone()).or_default();
        losses.ended_at = Some(now);
        let mut attempts = std::mem::take(&mut losses.attempts);
        attempts.retain(|attempt| now.since(attempt.lost_at) < LOSS_RETENTION);
        attempts
    }

    /// Records that an incarnation has been replaced, and returns the attempts whose connections
    /// broke or fell silent there.
    fn replace_target(
        &mut self,
        now: time::Timestamp,
        key: &directory::TargetKey,
    ) -> Vec<LostAttempt> {
        if let Some(losses) = self.targets.get_mut(key) {
            let attempts = &mut losses.attempts;
            attempts.retain(|attempt| attempt.kind == LossKind::Abrupt);
        }
        self.end_target(now, key)
    }

    /// Records that an incarnation has responded to an attempt, so that it has not ended. Returns
    /// whether it was taken for ended when the attempt was sent.
    fn record_response(&mut self, key: &directory::TargetKey, sent_at: time::Timestamp) -> bool {
        let losses = self.targets.get_mut(key);
        let ended_at = losses.and_then(|losses| losses.ended_at.take());
        ended_at.is_some_and(|ended_at| ended_at < sent_at)
    }

    /// Returns the incarnations of a target that have been replaced by the registered one, and that
    /// are not known to have ended.
    fn replaced_incarnations(
        &self,
        registered: &directory::TargetKey,
    ) -> Vec<directory::TargetKey> {
        let targets = self.targets.iter();
        targets
            .filter(|(key, losses)| {
                key.name == registered.name && *key != registered && losses.ended_at.is_none()
            })
            .map(|(key, _)| key.clone())
            .collect()
    }

    /// Returns the number of targets that a request may have crashed without that being known yet.
    fn unresolved_crashes(&self, fingerprint: work::RequestFingerprint) -> usize {
        let is_unresolved = |attempt: &LostAttempt| {
            attempt.fingerprint == fingerprint
                && attempt.kind == LossKind::Abrupt
                && !attempt.is_disproved
        };
        let targets = self.targets.values();
        targets
            .filter(|losses| losses.attempts.iter().any(is_unresolved))
            .count()
    }

    pub(super) fn remove_expired(&mut self, now: time::Timestamp) {
        self.targets.retain(|_, losses| {
            let attempts = &mut losses.attempts;
            attempts.retain(|attempt| now.since(attempt.lost_at) < LOSS_RETENTION);
            losses.ended_at = losses
                .ended_at
                .filter(|ended_at| now.since(*ended_at) < END_RETENTION);
            !losses.attempts.is_empty() || losses.ended_at.is_some() || losses.is_probing
        });
        let is_recent = |lost_at: &time::Timestamp| now.since(*lost_at) < END_RETENTION;
        self.first_losses.retain(|_, lost_at| is_recent(lost_at));
        self.departures
            .retain(|_, departed_at| is_recent(departed_at));
    }
}

impl Dispatcher {
    /// Returns the requests that crashed targets.
    pub fn suspects(&self, now: time::Timestamp) -> Vec<quarantine::SuspectRecord> {
        self.settings.quarantine.records(now)
    }

    /// Returns the suspicions that changed after the first `change_count` changes, and the number
    /// of all changes.
    pub fn suspects_after(
        &self,
        now: time::Timestamp,
        change_count: u64,
    ) -> (Vec<quarantine::SuspectRecord>, u64) {
        self.settings.quarantine.records_after(now, change_count)
    }

    /// Returns whether a request may be sent to a target, as far as crashes of its targets are
    /// known or likely.
    pub fn crash_verdict(
        &self,
        now: time::Timestamp,
        fingerprint: work::RequestFingerprint,
    ) -> CrashVerdict {
        let known = self.known_crashes(now, fingerprint);
        let unresolved = self.lost_attempts.unresolved_crashes(fingerprint);
        if known >= QUARANTINE_CRASHES {
            CrashVerdict::Quarantined
        } else if known + unresolved >= QUARANTINE_CRASHES {
            CrashVerdict::Unresolved
        } else {
            CrashVerdict::MayRun
        }
    }

    fn known_crashes(&self, now: time::Timestamp, fingerprint: work::RequestFingerprint) -> usize {
        let record = self.settings.quarantine.record(now, fingerprint);
        record.map_or(0, |record| record.crashes.iter().flatten().count())
    }

    /// Returns whether a request has crashed a target, or may have.
    pub(super) fn is_suspect(
        &self,
        now: time::Timestamp,
        fingerprint: work::RequestFingerprint,
    ) -> bool {
        self.known_crashes(now, fingerprint) > 0
            || self.lost_attempts.unresolved_crashes(fingerprint) > 0
    }

    /// Draws conclusions about a target and a request from how an attempt ended.
    pub(super) fn assess_result(
        &mut self,
        now: time::Timestamp,
        attempt: &TargetAttempt,
        result: AttemptResult,
        effects: &mut Vec<DispatchEffect>,
    ) {
        let key = &attempt.target.key;
        match result {
            AttemptResult::Succeeded { .. } => {
                self.record_response(attempt);
                self.record_prompt_response(now, attempt, effects);
                let fingerprint = attempt.fingerprint;
                self.settings.quarantine.record_completion(now, fingerprint);
            }
            AttemptResult::NotRun => self.record_response(attempt),
            AttemptResult::Failed => {
                self.record_response(attempt);
                self.record_loss(now, attempt, LossKind::Unclear, effects);
            }
            AttemptResult::Cancelled => {
                let kind = match now.since(attempt.heard_at) < SILENCE_TIME {
                    true => LossKind::Unclear,
                    false => LossKind::Abrupt,
                };
                self.record_loss(now, attempt, kind, effects);
            }
            AttemptResult::Broken | AttemptResult::TimedOut => {
                self.record_loss(now, attempt, LossKind::Abrupt, effects);
            }
            AttemptResult::Unreachable => self.handle_target_end(now, key, effects),
        }
    }

    fn record_response(&mut self, attempt: &TargetAttempt) {
        let key = &attempt.target.key;
        if self.lost_attempts.record_response(key, attempt.sent_at) {
            self.settings.quarantine.disprove_crash(crash_id(key));
        }
    }

    fn record_loss(
        &mut self,
        now: time::Timestamp,
        attempt: &TargetAttempt,
        kind: LossKind,
        effects: &mut Vec<DispatchEffect>,
    ) {
        let key = &attempt.target.key;
        let lost_attempt = LostAttempt {
            fingerprint: attempt.fingerprint,
            sent_at: attempt.sent_at,
            lost_at: now,
            kind,
            is_disproved: false,
            prompt: match kind {
                LossKind::Abrupt => attempt.lost_prompt(now),
                LossKind::Unclear => None,
            },
        };
        if self.lost_attempts.has_ended(key) {
            self.record_crash(now, key, &[lost_attempt], effects);
        } else if self.is_staying(key) {
            let needs_probe = kind == LossKind::Abrupt || self.is_suspect(now, attempt.fingerprint);
            // A target that leaves ends as planned, whatever runs there.
            self.lost_attempts.record(key, lost_attempt);
            if needs_probe && let Some(delay) = self.lost_attempts.start_probe(now, key) {
                let target = Rc::clone(&attempt.target);
                effects.push(DispatchEffect::Probe { target, delay });
            }
        }
    }

    /// Handles the result of a [`DispatchEffect::Probe`].
    pub(super) fn handle_probe(
        &mut self,
        now: time::Timestamp,
        key: &directory::TargetKey,
        is_reachable: bool,
        effects: &mut Vec<DispatchEffect>,
    ) {
        self.lost_attempts.finish_probe(key, is_reachable);
        if !is_reachable {
            self.handle_target_end(now, key, effects);
        }
    }

    fn handle_target_end(
        &mut self,
        now: time::Timestamp,
        key: &directory::TargetKey,
        effects: &mut Vec<DispatchEffect>,
    ) {
        let mut attempts = self.lost_attempts.end_target(now, key);
        attempts.retain(|attempt| !attempt.is_disproved);
        self.record_crash(now, key, &attempts, effects);
    }

    /// Handles the registration of an incarnation, which ends previous ones of the same name.
    pub(super) fn handle_registration(
        &mut self,
        now: time::Timestamp,
        registered: &directory::TargetKey,
        effects: &mut Vec<DispatchEffect>,
    ) {
        let placed = self.placed.values().map(|placed| &placed.target.key);
        let replaced: Vec<_> = placed
            .filter(|key| key.name == registered.name && *key != registered)
            .cloned()
            .collect();
        for key in replaced {
            self.lost_attempts.track(key);
        }
        for key in self.lost_attempts.replaced_incarnations(registered) {
            let attempts = self.lost_attempts.replace_target(now, &key);
            self.record_crash(now, &key, &attempts, effects);
        }
    }

    /// Counts the crash of a target for all requests that were lost there, and refuses those that
    /// wait although they are quarantined now.
    fn record_crash(
        &mut self,
        now: time::Timestamp,
        key: &directory::TargetKey,
        attempts: &[LostAttempt],
        effects: &mut Vec<DispatchEffect>,
    ) {
        self.record_prompt_crash(now, key, attempts, effects);
        let crash = crash_id(key);
        let mut records = Vec::new();
        for attempt in attempts {
            if self.lost_attempts.is_concurrent(attempt) {
                continue;
            }
            let fingerprint = attempt.fingerprint;
            let known = self.settings.quarantine.record(now, fingerprint);
            self.settings
                .quarantine
                .record_crash(now, fingerprint, crash);
            let record = self.settings.quarantine.record(now, fingerprint);
            if let Some(record) = record
                && known.is_none_or(|known| known.crashes != record.crashes)
            {
                records.push(record);
            }
        }
        if records.is_empty() {
            return;
        }
        let source = SuspectSource::Crash(key.name.clone());
        effects.push(DispatchEffect::SuspectsChanged { records, source });
        self.refuse_quarantined(now, effects);
    }

    /// Merges requests that crashed targets of a peer.
    pub(super) fn merge_suspects(
        &mut self,
        now: time::Timestamp,
        records: &[quarantine::SuspectRecord],
        effects: &mut Vec<DispatchEffect>,
    ) {
        let mut changed = Vec::new();
        for received in records {
            let known = self.settings.quarantine.record(now, received.fingerprint);
            self.settings.quarantine.merge(now, received);
            let merged = self.settings.quarantine.record(now, received.fingerprint);
            if let Some(merged) = merged
                && known.is_none_or(|known| known.crashes != merged.crashes)
            {
                changed.push(merged);
            }
        }
        if !changed.is_empty() {
            let source = SuspectSource::Peer;
            let records = changed;
            effects.push(DispatchEffect::SuspectsChanged { records, source });
            self.refuse_quarantined(now, effects);
        }
    }
}

/// Returns the id of an incarnation's crash: the same at each relay that observes it.
pub(super) fn crash_id(key: &directory::TargetKey) -> ids::CrashId {
    ids::CrashId::from_u128(xxh3::xxh3_128(key.to_string().as_bytes()))
}
