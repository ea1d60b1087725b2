//! Feeds the changes of targets from relays that read the platform's directory to the others of
//! their cell, which then need not read it themselves.
//!
//! Each response of the directory is passed on, also one without changes: a relay that has received
//! none for some time reads the directory itself, and then feeds its own cell in turn.

use std::cell::Cell;
use std::time::Duration;

use kingcupfall_core::time;
use rand::Rng;

use super::peer_messages;
use super::state;
use super::state::RelayState;
use crate::directory;

/// Time for which a relay relies on what it was last fed. Together with the time that a reader
/// leaves between two calls, less than the bounds within which changes have to be in force.
const FEED_TIMEOUT: Duration = Duration::from_millis(1_500);

/// Longest random addition to [`FEED_TIMEOUT`]. The first relays that read again feed the others.
const MAX_FEED_JITTER: Duration = Duration::from_millis(500);

/// What a relay remembers of being fed, and of feeding its peers.
#[derive(Debug, Default)]
pub(super) struct DirectoryFeed {
    /// Time until which the relay need not read the directory itself.
    fed_until: Cell<time::Timestamp>,
    /// Revision up to which the relay has fed its peers; `None` before it has read anything.
    sent_revision: Cell<Option<directory::DirectoryRevision>>,
}

impl RelayState {
    /// Waits as long as other relays feed this one the directory's changes. Returns whether it
    /// waited. Readers of a cell never wait.
    pub async fn wait_while_fed(&self) -> bool {
        let mut has_waited = false;
        loop {
            let fed_until = self.directory_feed.fed_until.get();
            if fed_until <= self.now() || self.is_directory_reader() {
                return has_waited;
            }
            has_waited = true;
            tokio::time::sleep_until(self.instant(fed_until)).await;
        }
    }

    /// Returns whether this relay reads the directory's targets for others.
    pub fn is_directory_reader(&self) -> bool {
        self.members.borrow().is_reader()
    }

    /// Returns whether this is the first relay of the fleet, in an order that all relays agree on.
    pub fn is_first_relay(&self) -> bool {
        self.members.borrow().is_first()
    }

    /// Returns whether some relays read the directory's targets for the others.
    pub fn has_directory_readers(&self) -> bool {
        self.members.borrow().has_readers()
    }

    /// Returns about how many relays read the directory's targets.
    pub fn directory_reader_count(&self) -> usize {
        self.members.borrow().reader_count()
    }

    /// Passes on what a response of the directory has changed, if anything.
    pub(super) fn feed_peers(&self) {
        let revision = self.targets.borrow().revision();
        let feed = &self.directory_feed;
        let since = feed
            .sent_revision
            .replace(Some(revision))
            .unwrap_or(revision);
        let delta = directory::TargetDelta {
            is_confirmed: true,
            ..self.targets.borrow().delta_since(since)
        };
        let message = peer_messages::PeerMessage::Targets(delta);
        self.broadcast(state::UpdateScope::Cell, &message);
    }

    /// Records that a peer passed on a response of the directory which confirms that this relay's
    /// targets are complete up to `revision`. Ignored if this relay lacks earlier changes.
    pub(super) fn record_feed(&self, revision: directory::DirectoryRevision) {
        if self.targets.borrow().revision() < revision || !self.has_directory_readers() {
            return;
        }
        let now = self.now();
        let jitter = MAX_FEED_JITTER.mul_f64(rand::rng().random_range(0.0..1.0));
        self.directory_feed
            .fed_until
            .set(now + FEED_TIMEOUT + jitter);
        self.directory_responded_at.set(now);
        let mut targets = self.targets.borrow_mut();
        if targets.is_directory_lost() {
            targets.record_directory_regained(now);
            self.record_directory_return();
        }
    }
}
