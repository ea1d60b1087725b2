//! When this relay requests updates that a peer has and it lacks.

use std::time::Duration;

use kingcupfall_core::time;
use serde::Deserialize;
use serde::Serialize;

use crate::directory;

/// Time for which the relay's own directory reader may be behind before a peer is queried.
const OWN_READER_TIMEOUT: Duration = Duration::from_millis(400);

/// Minimum time between requests. After it another peer may be queried, as the first one may be
/// slow or gone.
const REQUEST_INTERVAL: Duration = Duration::from_millis(500);

/// Versions of the routes and targets that a relay has.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct KnownVersions {
    /// Version of its routes.
    #[serde(rename = "c")]
    pub routes: directory::RouteTableVersion,
    /// Directory revision of its targets.
    #[serde(rename = "d")]
    pub directory: directory::DirectoryRevision,
}

impl KnownVersions {
    /// Returns true if the routes or the targets of `other` are newer.
    fn is_behind(&self, other: &Self) -> bool {
        self.routes < other.routes || self.directory < other.directory
    }

    /// Returns true if both the routes and the targets are at least as new as those of `other`.
    fn covers(&self, other: &Self) -> bool {
        !self.is_behind(other)
    }
}

/// Decides when to request updates from a peer that is ahead of this relay.
#[derive(Debug, Default)]
pub struct CatchUpScheduler {
    /// Versions that a peer had and this relay lacks, and since when.
    lacking: Option<(KnownVersions, time::Timestamp)>,
    requested_at: Option<time::Timestamp>,
}

impl CatchUpScheduler {
    /// Records the versions that a peer reported, and returns true if the relay should now request
    /// the updates that it lacks from this peer.
    ///
    /// One peer is queried at a time, so that a relay that joins late doesn't receive the same
    /// updates from all of them.
    pub fn should_request(
        &mut self,
        now: time::Timestamp,
        own: KnownVersions,
        peer: KnownVersions,
    ) -> bool {
        if self
            .lacking
            .is_some_and(|(versions, _)| own.covers(&versions))
        {
            self.lacking = None;
        }
        if !own.is_behind(&peer) {
            return false;
        }
        let (_, since) = *self.lacking.get_or_insert((peer, now));
        let is_requested = self
            .requested_at
            .is_some_and(|at| now.since(at) < REQUEST_INTERVAL);
        if now.since(since) < OWN_READER_TIMEOUT || is_requested {
            return false;
        }
        self.requested_at = Some(now);
        true
    }
}
