//! Limits on the requests that targets take from all relays together.

use kingcupfall_core::measures;
use kingcupfall_core::time;

use super::DispatchEffect;
use super::Dispatcher;
use super::LimitSource;
use crate::directory;

/// What was last heard of a target's limit.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct HeardLimit {
    /// Requests that the target takes from all relays together; `None` without a limit.
    pub(super) rate: Option<measures::RequestRate>,
    /// When it was heard.
    heard_at: time::Timestamp,
}

impl HeardLimit {
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
        self.heard_at = heard_at;
        std::mem::replace(&mut self.rate, rate) != rate
    }
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
        if let Some(entry) = self.targets.get_mut(&key.name)
            && entry.record.key == *key
            && entry.limit.update(rate, sent_at, now)
        {
            effects.push(DispatchEffect::LimitChanged {
                target: key.name.clone(),
                limit: rate,
                source: LimitSource::Target,
            });
        }
    }

    /// Returns the number of targets that have named a limit.
    pub fn limited_target_count(&self) -> usize {
        let limits = self.targets.values().filter_map(|entry| entry.limit.rate);
        limits.count()
    }
}
