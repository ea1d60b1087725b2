//! What this process lacks of what its peers know, and when it asks for it.

use std::time::Duration;

use kingcupfall_core::time;
use serde::Deserialize;
use serde::Serialize;

use crate::directory;

/// Time for which this process waits for its own reader of the directory before it asks a peer.
const PATIENCE: Duration = Duration::from_millis(400);

/// Time after which another peer is asked: the first one may be slow or gone.
const ASK_INTERVAL: Duration = Duration::from_millis(500);

/// How new the knowledge of a process is.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct KnownState {
    /// Version of its routes.
    #[serde(rename = "c")]
    pub routes: directory::TableVersion,
    /// State of the directory that its targets stand for.
    #[serde(rename = "d")]
    pub directory: directory::DirectoryRevision,
}

impl KnownState {
    /// Says whether the routes or the targets of `other` are newer.
    fn is_behind(&self, other: &Self) -> bool {
        self.routes < other.routes || self.directory < other.directory
    }

    /// Says whether both the routes and the targets are at least as new as those of `other`.
    fn covers(&self, other: &Self) -> bool {
        !self.is_behind(other)
    }
}

/// State that some peer had when this process did not have it, and since when.
#[derive(Debug, Default)]
pub struct CatchUp {
    lacking: Option<(KnownState, time::Timestamp)>,
    asked_at: Option<time::Timestamp>,
}

impl CatchUp {
    /// Notes what a peer knows; says whether it is to be asked for what is newer there.
    ///
    /// One peer is asked at a time, so that a process that comes late is not handed the same
    /// knowledge by all of them.
    pub fn note(&mut self, now: time::Timestamp, own: KnownState, peer: KnownState) -> bool {
        if self.lacking.is_some_and(|(state, _)| own.covers(&state)) {
            self.lacking = None;
        }
        if !own.is_behind(&peer) {
            return false;
        }
        let (_, since) = *self.lacking.get_or_insert((peer, now));
        let is_asked = self.asked_at.is_some_and(|at| now.since(at) < ASK_INTERVAL);
        if now.since(since) < PATIENCE || is_asked {
            return false;
        }
        self.asked_at = Some(now);
        true
    }
}
