//! Limits on the requests that targets take from all relays together.
//!
//! A target in need names a limit in its responses. Relays report it to each other, and each derives
//! its own share, so that nothing has to be agreed: a bucket of tokens, one for each request. What
//! relays save while they have no calls is bounded as well. A target that takes few requests is
//! therefore used by few relays, which all of them derive from a hash.

use std::collections::BTreeMap;
use std::time::Duration;

use kingcupfall_core::ids;
use kingcupfall_core::measures;
use kingcupfall_core::time;
use kingcupfall_policy::limit;
use serde::Deserialize;
use serde::Serialize;
use serde_with::DurationMilliSeconds;
use serde_with::serde_as;

use super::CallDemand;
use super::DispatchEffect;
use super::Dispatcher;
use super::LimitSource;
use super::shares;
use super::targets;
use crate::directory;

/// Time whose requests the relays may save together, beside [`SAVED_REQUESTS`].
const SAVED_TIME: Duration = Duration::from_secs(1);

/// Requests that the relays may save together at any limit. With those of [`SAVED_TIME`], a target
/// gets at most a quarter more in four seconds than it takes, and these.
const SAVED_REQUESTS: f64 = 3.0;

/// Requests per second that a target gets even if it names a lower limit. Without any, nobody would
/// learn that the limit has ended.
const MIN_RATE_PER_S: f64 = 0.25;

/// Time for which the end of a limit is reported to peers.
const LIFT_REPORT_TIME: Duration = Duration::from_secs(10);

/// A target's limit, as reported to peers.
#[serde_as]
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct TargetLimit {
    /// Incarnation that named the limit.
    #[serde(rename = "t")]
    pub target: directory::TargetKey,
    /// Requests that it takes from all relays together; `None` if it has no limit any more.
    #[serde(rename = "l")]
    pub limit: Option<measures::RequestRate>,
    /// Time since a relay heard this from the target.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "a")]
    pub age: Duration,
}

/// A limited target, and which relays share its limit.
#[derive(Debug, Clone, PartialEq)]
pub struct SharedLimit {
    /// Incarnation that named the limit.
    pub target: directory::TargetKey,
    /// Service of the target.
    pub service: ids::ServiceName,
    /// Requests that it takes from all relays together.
    pub limit: measures::RequestRate,
    /// Whether only the relays of one cell use the target.
    pub is_cell_only: bool,
    /// Whether this relay is one of those that may use it.
    pub is_usable: bool,
}

/// The relays that share a target's limit, as one of them sees them.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct LimitSharers {
    /// Number of the relays.
    pub relays: usize,
    /// Number of them that use the target before this relay, if not all can.
    pub rank: usize,
    /// This relay's share of the service's requests; `None` if it does not know those of all.
    pub demand_share: Option<f64>,
}

impl LimitSharers {
    /// Returns this relay's share of a limit.
    pub fn share(&self, limit: measures::RequestRate) -> limit::TokenRate {
        let limit_per_s = limit.per_second().max(MIN_RATE_PER_S);
        let saved = limit_per_s * SAVED_TIME.as_secs_f64() + SAVED_REQUESTS;
        // Each relay that uses the target has to be able to save one request.
        let users = self.relays.min(saved as usize);
        if self.rank >= users {
            return limit::TokenRate::default();
        }
        let share = match self.demand_share {
            Some(share) if users == self.relays => share,
            Some(_) | None => 1.0 / users as f64,
        };
        limit::TokenRate {
            per_second: limit_per_s * share,
            burst: 1.0 + (saved - users as f64) * share,
        }
    }
}

/// What was last heard of a target's limit, and what this relay may send.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct HeardLimit {
    /// Requests that the target takes from all relays together; `None` without a limit.
    rate: Option<measures::RequestRate>,
    /// When it was heard.
    heard_at: time::Timestamp,
    bucket: shares::SharedBucket,
}

impl HeardLimit {
    /// Returns whether the target has a limit.
    pub(super) const fn is_limited(&self) -> bool {
        self.rate.is_some()
    }

    /// Returns whether the target takes a request of this relay at `now`.
    pub(super) fn allows_request(&self, now: time::Timestamp) -> bool {
        self.rate.is_none() || self.bucket.allows_request(now)
    }

    /// Counts a request that is sent to the target.
    pub(super) fn record_request(&mut self, now: time::Timestamp) {
        self.bucket.take(now, 1.0);
    }

    /// Withdraws a request that was counted and not sent.
    pub(super) fn withdraw_request(&mut self, now: time::Timestamp) {
        self.bucket.take(now, -1.0);
    }

    /// Returns the requests that a limited target takes of this relay.
    pub(super) fn supply(&self, now: time::Timestamp) -> Option<shares::RequestSupply> {
        self.rate.map(|_| self.bucket.supply(now))
    }

    /// Replaces the limit by what a response says that was received at `heard_at`, to a request sent
    /// at `sent_at`. Returns whether the limit changed.
    fn update(
        &mut self,
        rate: Option<measures::RequestRate>,
        sent_at: time::Timestamp,
        heard_at: time::Timestamp,
    ) -> bool {
        // A response without a limit that was begun before the limit was heard does not lift it.
        let is_outdated = rate.is_none() && sent_at <= self.heard_at;
        if is_outdated || heard_at < self.heard_at || rate.is_none() && self.rate.is_none() {
            return false;
        }
        if self.rate.is_none() {
            self.bucket = shares::SharedBucket::new(heard_at);
        }
        self.heard_at = heard_at;
        std::mem::replace(&mut self.rate, rate) != rate
    }
}

/// When a service whose targets all limit their requests or are cold takes another one of this
/// relay.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum LimitedWait {
    /// After this time.
    For(Duration),
    /// Not before the limits or this relay's shares change.
    Unknown,
}

impl Dispatcher {
    /// Handles what the response to a request says of its target's limit.
    pub(super) fn handle_limit(
        &mut self,
        now: time::Timestamp,
        key: &directory::TargetKey,
        rate: Option<measures::RequestRate>,
        sent_at: time::Timestamp,
        effects: &mut Vec<DispatchEffect>,
    ) {
        self.update_limit(key, rate, (sent_at, now), LimitSource::Target, effects);
    }

    /// Handles limits that a peer reported.
    pub(super) fn merge_limits(
        &mut self,
        now: time::Timestamp,
        reports: &[TargetLimit],
        effects: &mut Vec<DispatchEffect>,
    ) {
        for report in reports {
            let terms = self.terms_mut(now, &report.target);
            // What is known already keeps its time, so that reports don't renew each other.
            if terms.is_none_or(|terms| terms.limit.rate == report.limit) {
                continue;
            }
            let age = u64::try_from(report.age.as_micros()).unwrap_or(u64::MAX);
            let heard_at = time::Timestamp::from_micros(now.as_micros().saturating_sub(age));
            let times = (heard_at, heard_at);
            self.update_limit(
                &report.target,
                report.limit,
                times,
                LimitSource::Peer,
                effects,
            );
        }
    }

    /// Updates a limit by a response received at the second of two times, to a request sent at the
    /// first.
    fn update_limit(
        &mut self,
        key: &directory::TargetKey,
        rate: Option<measures::RequestRate>,
        (sent_at, heard_at): (time::Timestamp, time::Timestamp),
        source: LimitSource,
        effects: &mut Vec<DispatchEffect>,
    ) {
        if let Some(terms) = self.terms_mut(heard_at, key)
            && terms.limit.update(rate, sent_at, heard_at)
        {
            effects.push(DispatchEffect::LimitChanged {
                target: key.name.clone(),
                limit: rate,
                source,
            });
        }
    }

    /// Counts a request that is sent to a target.
    pub(super) fn record_request(&mut self, now: time::Timestamp, key: &directory::TargetKey) {
        if let Some(entry) = self.targets.get_mut(&key.name)
            && entry.record.key == *key
        {
            entry.terms.record_request(now);
        }
    }

    /// Withdraws a request that was counted at `counted_at` and not sent.
    pub(super) fn withdraw_request(
        &mut self,
        now: time::Timestamp,
        key: &directory::TargetKey,
        counted_at: time::Timestamp,
    ) {
        if let Some(entry) = self.targets.get_mut(&key.name)
            && entry.record.key == *key
        {
            entry.terms.withdraw_request(now, counted_at);
        }
    }

    /// Sets this relay's shares of limits.
    pub(super) fn set_limit_shares(
        &mut self,
        now: time::Timestamp,
        shares: &[(directory::TargetKey, limit::TokenRate)],
    ) {
        for (key, share) in shares {
            if let Some(entry) = self.targets.get_mut(&key.name)
                && entry.record.key == *key
            {
                entry.terms.limit.bucket.set_share(now, *share);
            }
        }
    }

    /// Returns the limits that this relay knows, and those that have ended a short time ago.
    pub fn reported_limits(&self, now: time::Timestamp) -> Vec<TargetLimit> {
        let entries = self.targets.values().filter(|entry| {
            let heard_at = entry.terms.limit.heard_at;
            let was_limited = heard_at > time::Timestamp::ZERO;
            entry.terms.limit.rate.is_some()
                || was_limited && now.since(heard_at) < LIFT_REPORT_TIME
        });
        entries
            .map(|entry| TargetLimit {
                target: entry.record.key.clone(),
                limit: entry.terms.limit.rate,
                age: now.since(entry.terms.limit.heard_at),
            })
            .collect()
    }

    /// Returns the number of targets that have named a limit.
    pub fn limited_target_count(&self) -> usize {
        let limits = self
            .targets
            .values()
            .filter_map(|entry| entry.terms.limit.rate);
        limits.count()
    }

    /// Returns the limits that this relay knows, and which relays share them.
    pub fn shared_limits(&self) -> Vec<SharedLimit> {
        self.share_limits(|entry| entry.terms.limit.rate)
    }

    /// Returns these limits of targets, and which relays share them.
    pub(super) fn share_limits(
        &self,
        limit: impl Fn(&targets::TargetEntry) -> Option<measures::RequestRate>,
    ) -> Vec<SharedLimit> {
        let limited = self.targets.values().filter_map(|entry| {
            let limit = limit(entry)?;
            let service = entry.record.service.clone();
            let is_cell_only = self.is_used_by_cells(&service);
            Some(SharedLimit {
                target: entry.record.key.clone(),
                service,
                limit,
                is_cell_only,
                is_usable: !is_cell_only || self.is_in_cell(entry),
            })
        });
        limited.collect()
    }

    /// Returns whether each cell has enough targets of a service to use no others.
    fn is_used_by_cells(&self, service: &ids::ServiceName) -> bool {
        let mut counts: BTreeMap<u64, usize> = BTreeMap::new();
        for entry in self.targets.values() {
            if entry.record.service == *service && entry.takes_work() {
                let cell = self.cell_depth.cell_index(entry.position);
                *counts.entry(cell).or_default() += 1;
            }
        }
        counts.len() == self.cell_depth.cell_count()
            && counts
                .values()
                .all(|count| *count >= targets::MIN_CELL_TARGETS)
    }

    /// Returns when the last of `ahead` waiting calls can be sent, if all targets that may run them
    /// limit their requests or are cold, and take fewer now.
    pub(super) fn limited_wait(
        &self,
        now: time::Timestamp,
        demand: &CallDemand,
        ahead: usize,
    ) -> Option<LimitedWait> {
        let staying = self.targets.values().filter(|entry| entry.may_run(demand));
        let (mut tokens, mut whole_tokens, mut rate_per_s) = (0.0, 0.0, 0.0);
        let (mut next_token, mut free_in) = (None, None);
        for entry in staying {
            let supply = entry.terms.supply(now)?;
            tokens += supply.tokens;
            whole_tokens += supply.tokens.floor().max(0.0);
            rate_per_s += supply.per_second;
            next_token = next_token.into_iter().chain(supply.next).min();
            free_in = free_in.into_iter().chain(supply.free_in).min();
        }
        if ahead as f64 <= whole_tokens {
            return None;
        }
        let missing = (ahead as f64 - tokens).max(0.0);
        let wait = Duration::try_from_secs_f64(missing / rate_per_s).ok();
        let wait = wait.zip(next_token).map(|(wait, next)| wait.max(next));
        let wait = wait.into_iter().chain(free_in).min();
        Some(wait.map_or(LimitedWait::Unknown, LimitedWait::For))
    }
}
