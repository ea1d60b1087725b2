//! Limits on the requests to cold targets, which have just started or lost their caches.
//!
//! A cold target crashes if it gets more than it tolerates from all relays together. Each relay
//! derives its share without coordination, as for the limits that targets name themselves, but so
//! that the sum holds in each single second, and in two parts of the fleet that can't reach each
//! other.

use std::time::Duration;

use kingcupfall_core::ids;
use kingcupfall_core::measures;
use kingcupfall_core::time;
use kingcupfall_policy::limit;

use super::DispatchEffect;
use super::Dispatcher;
use super::LimitSharers;
use super::SharedLimit;
use super::shares;
use crate::directory;

/// Number of parts of a fleet that may send their full shares at the same time: two halves that
/// can't reach each other, or relays of which some do not know yet that the fleet has changed.
const INDEPENDENT_PARTS: f64 = 2.0;

/// Time within which a relay's requests may reach the target in one second: requests are counted
/// before their reservations, which take up to 110 ms, and take some time to arrive.
const ARRIVAL_SPAN: Duration = Duration::from_millis(1_200);

/// Time after a target became cold within which this relay sets its first share, at once after the
/// change.
const FIRST_SHARE_TIME: Duration = Duration::from_millis(50);

/// Keeps a bucket from holding exactly one request more than its share of a second.
const TOKEN_SLACK: f64 = 0.01;

/// Bounds on the requests that a cold target gets in any one second from all relays together.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ColdBounds {
    /// Multiple of the rate that the target tolerates.
    pub overrun: f64,
    /// Requests beyond that.
    pub allowance: f64,
}

impl Default for ColdBounds {
    fn default() -> Self {
        Self {
            overrun: 1.0,
            allowance: 0.0,
        }
    }
}

impl ColdBounds {
    /// Returns this relay's share of the requests to a cold target that tolerates `rate`.
    ///
    /// The whole requests that one part of the fleet may send in a second are allotted to the
    /// relays in the order of their ranks. A relay that gets none does not use the target.
    pub fn share(&self, rate: measures::RequestRate, sharers: &LimitSharers) -> limit::TokenRate {
        let rate_per_s = rate.per_second();
        let bound = rate_per_s * self.overrun + self.allowance;
        let mut allotted = (bound / INDEPENDENT_PARTS) as usize;
        if allotted == 0 && bound >= 1.0 {
            // The target would otherwise get nothing at all.
            allotted = 1;
        }
        let users = sharers.relays.min(allotted);
        if sharers.rank >= users {
            return limit::TokenRate::default();
        }
        let own = (allotted / users + usize::from(sharers.rank < allotted % users)) as f64;
        // A bucket allows `burst + per_second * time` requests, rounded down, within a time.
        let span_s = ARRIVAL_SPAN.as_secs_f64();
        let per_second = (rate_per_s * own / allotted as f64).min((own - TOKEN_SLACK) / span_s);
        limit::TokenRate {
            per_second,
            // Rounding must not leave a bucket that never holds a whole request.
            burst: (own + 1.0 - TOKEN_SLACK - per_second * span_s).max(1.0),
        }
    }
}

/// A target that became cold, or is no longer.
#[derive(Debug, Clone, PartialEq)]
pub struct ColdChange {
    /// Target that changed.
    pub target: ids::TargetName,
    /// Requests that it tolerates from all relays together, and the time for which it is expected
    /// to be cold; `None` if it is no longer cold.
    pub began: Option<(measures::RequestRate, Duration)>,
}

/// Whether an incarnation is cold, and what this relay may send it.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct ColdState {
    until: time::Timestamp,
    /// Revision of the last record that said how long the target is cold.
    revision: Option<directory::DirectoryRevision>,
    /// When the bucket was created.
    began_at: time::Timestamp,
    /// Whether the bucket has got a share.
    has_started: bool,
    /// Present while the target is cold and its service limits the requests to cold targets.
    bucket: Option<shares::SharedBucket>,
}

impl ColdState {
    /// Returns whether the target is cold, or may be once its service has a limit.
    pub(super) fn applies(&self, now: time::Timestamp) -> bool {
        self.until > now
    }

    /// Takes the cold time from a record, unless a record of the same or a later revision has been
    /// received before.
    pub(super) fn receive(&mut self, now: time::Timestamp, record: &directory::TargetRecord) {
        if self.revision.is_some_and(|known| record.revision <= known) {
            return;
        }
        // The first record of an era may come from a copy that is older than what is known.
        let era = self.revision.map(directory::DirectoryRevision::era);
        let is_new_era = era.is_some_and(|era| record.revision.era() > era);
        let least = match is_new_era {
            true => self.until,
            false => time::Timestamp::ZERO,
        };
        self.revision = Some(record.revision);
        self.until = least.max(now + record.cold_for);
    }

    /// Returns whether the target takes a request of this relay.
    pub(super) fn allows_request(&self, now: time::Timestamp) -> bool {
        self.bucket
            .as_ref()
            .is_none_or(|bucket| bucket.allows_request(now))
    }

    /// Counts a request that is sent to the target.
    pub(super) fn record_request(&mut self, now: time::Timestamp) {
        if let Some(bucket) = &mut self.bucket {
            bucket.take(now, 1.0);
        }
    }

    /// Withdraws a request that was counted at `counted_at` and not sent.
    pub(super) fn withdraw_request(&mut self, now: time::Timestamp, counted_at: time::Timestamp) {
        // Before, there was no bucket in which it was counted.
        if counted_at >= self.began_at
            && let Some(bucket) = &mut self.bucket
        {
            bucket.take(now, -1.0);
        }
    }

    /// Returns the requests that a cold target takes of this relay.
    pub(super) fn supply(&self, now: time::Timestamp) -> Option<shares::RequestSupply> {
        let bucket = self.bucket.as_ref()?;
        Some(shares::RequestSupply {
            free_in: Some(self.until.since(now)),
            ..bucket.supply(now)
        })
    }

    /// Sets this relay's share. The one that it has as the target becomes cold may be used at once:
    /// most targets are cold for less time than a request takes to accrue.
    fn set_share(&mut self, now: time::Timestamp, share: limit::TokenRate) {
        let is_first = now.since(self.began_at) < FIRST_SHARE_TIME && !self.has_started;
        let Some(bucket) = &mut self.bucket else {
            return;
        };
        match is_first {
            true => bucket.start_share(now, share),
            false => bucket.set_share(now, share),
        }
        self.has_started = true;
    }

    /// Begins or ends the limit on the target's requests. Returns whether it did.
    fn review(&mut self, now: time::Timestamp, has_rule: bool) -> bool {
        let is_cold = has_rule && self.applies(now);
        if is_cold == self.bucket.is_some() {
            return false;
        }
        self.began_at = now;
        self.has_started = false;
        self.bucket = is_cold.then(|| shares::SharedBucket::new(now));
        true
    }
}

impl Dispatcher {
    /// Counts all targets of these zones as cold for the time of their service's rule from `now` on,
    /// until a later record says otherwise. A target that is cold for longer stays so. Returns the
    /// effects to execute; targets of services without a rule change nothing.
    pub fn mark_cold(
        &mut self,
        now: time::Timestamp,
        zones: &[ids::ZoneName],
    ) -> Vec<DispatchEffect> {
        for entry in self.targets.values_mut() {
            if zones.contains(&entry.record.zone)
                && let Some(rule) = self.cold_rules.get(&entry.record.service)
            {
                let cold = &mut entry.terms.cold;
                cold.until = cold.until.max(now + rule.time);
            }
        }
        let mut effects = Vec::new();
        self.review_cold(now, &mut effects);
        effects
    }

    /// Begins and ends the limits on the requests to cold targets.
    pub(super) fn review_cold(&mut self, now: time::Timestamp, effects: &mut Vec<DispatchEffect>) {
        let mut changes = Vec::new();
        for (name, entry) in &mut self.targets {
            let rule = self.cold_rules.get(&entry.record.service);
            let cold = &mut entry.terms.cold;
            if cold.review(now, rule.is_some()) {
                let began = cold.bucket.and(rule);
                changes.push(ColdChange {
                    target: name.clone(),
                    began: began.map(|rule| (rule.rate, cold.until.since(now))),
                });
            }
        }
        if !changes.is_empty() {
            effects.push(DispatchEffect::ColdChanged(changes));
        }
    }

    /// Sets this relay's shares of the requests to cold targets.
    pub(super) fn set_cold_shares(
        &mut self,
        now: time::Timestamp,
        shares: &[(directory::TargetKey, limit::TokenRate)],
    ) {
        for (key, share) in shares {
            if let Some(entry) = self.targets.get_mut(&key.name)
                && entry.record.key == *key
            {
                entry.terms.cold.set_share(now, *share);
            }
        }
    }

    /// Returns the limits on the requests to cold targets, and which relays share them.
    pub fn shared_cold_limits(&self) -> Vec<SharedLimit> {
        self.share_limits(|entry| {
            let rule = self.cold_rules.get(&entry.record.service)?;
            entry.terms.cold.bucket.map(|_| rule.rate)
        })
    }

    /// Returns the number of targets that are cold and whose requests are limited for it.
    pub fn cold_target_count(&self) -> usize {
        let entries = self.targets.values();
        entries
            .filter(|entry| entry.terms.cold.bucket.is_some())
            .count()
    }

    /// Returns the time until a cold target takes a request of this relay, zero if it takes one now
    /// or is not cold; `None` if no time is known.
    pub fn cold_wait(&self, now: time::Timestamp, key: &directory::TargetKey) -> Option<Duration> {
        let entry = self.targets.get(&key.name);
        let supply = entry
            .filter(|entry| entry.record.key == *key)
            .and_then(|entry| entry.terms.cold.supply(now));
        match supply {
            Some(supply) => supply.next.into_iter().chain(supply.free_in).min(),
            None => Some(Duration::ZERO),
        }
    }
}
