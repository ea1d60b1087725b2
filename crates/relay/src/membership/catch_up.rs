//! When this relay requests updates that a peer has and it lacks.

use std::time::Duration;

use kingcupfall_core::measures;
use kingcupfall_core::time;
use serde::Deserialize;
use serde::Serialize;

use crate::directory;

/// Time for which the relay's own directory reader may be behind before a peer is queried.
const OWN_READER_TIMEOUT: Duration = Duration::from_millis(400);

/// Minimum time between requests. After it another peer may be queried, as the first one may be
/// slow or gone.
const REQUEST_INTERVAL: Duration = Duration::from_millis(500);

/// Rate, in bytes per second, at which routes are expected from a peer: a fifth of the narrowest
/// links, which callers' responses share.
const ROUTES_RATE: f64 = 250_000.0;

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
    /// When a part of the routes last arrived from the platform's directory.
    routes_read_at: Option<time::Timestamp>,
    /// Version of the relay's routes when it requested newer ones, and until when it expects them.
    requested_routes: Option<(directory::RouteTableVersion, time::Timestamp)>,
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

    /// Returns what the relay has and what it is receiving, for [`Self::should_request`]. A second
    /// copy of large routes would delay the first one.
    pub fn known_or_arriving(
        &self,
        now: time::Timestamp,
        own: KnownVersions,
        peer: KnownVersions,
    ) -> KnownVersions {
        let is_reading = self
            .routes_read_at
            .is_some_and(|at| now.since(at) < OWN_READER_TIMEOUT);
        let is_requested = self
            .requested_routes
            .is_some_and(|(version, until)| version == own.routes && now < until);
        let routes = match is_reading || is_requested {
            true => own.routes.max(peer.routes),
            false => own.routes,
        };
        KnownVersions { routes, ..own }
    }

    /// Records that a part of the routes arrived from the platform's directory.
    pub fn record_routes_read(&mut self, now: time::Timestamp) {
        self.routes_read_at = Some(now);
    }

    /// Records that the relay, which has version `own` of the routes, requested newer ones from a
    /// peer. They are expected to be about as large as the present ones.
    pub fn record_routes_requested(
        &mut self,
        now: time::Timestamp,
        own: directory::RouteTableVersion,
        size: measures::ByteSize,
    ) {
        let transfer = Duration::from_secs_f64(size.get() as f64 / ROUTES_RATE);
        self.requested_routes = Some((own, now + REQUEST_INTERVAL + transfer));
    }
}
