//! This relay's shares of the requests that targets take from all relays together.

use std::time::Duration;

use kingcupfall_core::time;
use kingcupfall_policy::limit;

/// A bucket of tokens, one for each request, that accrue at this relay's share.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct SharedBucket {
    share: limit::TokenRate,
    bucket: limit::TokenBucket,
}

/// Requests that a target takes of this relay.
#[derive(Debug, Clone, Copy)]
pub(super) struct RequestSupply {
    /// Tokens now.
    pub(super) tokens: f64,
    /// Tokens that accrue per second.
    pub(super) per_second: f64,
    /// Time until the next request; `None` if the share allows none.
    pub(super) next: Option<Duration>,
    /// Time after which the target takes any number of requests, if it is known.
    pub(super) free_in: Option<Duration>,
}

impl SharedBucket {
    /// Creates an empty bucket that gets tokens once this relay has a share.
    pub(super) fn new(now: time::Timestamp) -> Self {
        Self {
            share: limit::TokenRate::default(),
            bucket: limit::TokenBucket::new(now, 0.0),
        }
    }

    /// Returns whether there is a token.
    pub(super) fn allows_request(&self, now: time::Timestamp) -> bool {
        self.bucket.tokens(now, self.share) >= 1.0
    }

    /// Takes `count` tokens; a negative count returns some.
    pub(super) fn take(&mut self, now: time::Timestamp, count: f64) {
        self.bucket.take(now, self.share, count);
    }

    /// Replaces the share. What has accrued so far did so at the previous one.
    pub(super) fn set_share(&mut self, now: time::Timestamp, share: limit::TokenRate) {
        self.take(now, 0.0);
        self.share = share;
    }

    /// Replaces the share, and fills the bucket with its burst.
    pub(super) fn start_share(&mut self, now: time::Timestamp, share: limit::TokenRate) {
        self.share = share;
        self.bucket = limit::TokenBucket::new(now, share.burst);
    }

    /// Returns the requests that the target takes at `now` and later.
    pub(super) fn supply(&self, now: time::Timestamp) -> RequestSupply {
        RequestSupply {
            tokens: self.bucket.tokens(now, self.share),
            per_second: self.share.per_second,
            next: self.bucket.time_until(now, self.share, 1.0),
            free_in: None,
        }
    }
}

impl RequestSupply {
    /// Returns the supply of a target that has this and another limit. It is free once both end,
    /// which is only known if both ends are.
    pub(super) fn combine(self, other: Self) -> Self {
        Self {
            tokens: self.tokens.min(other.tokens),
            per_second: self.per_second.min(other.per_second),
            next: self.next.zip(other.next).map(|(own, next)| own.max(next)),
            free_in: self
                .free_in
                .zip(other.free_in)
                .map(|(own, free)| own.max(free)),
        }
    }
}
