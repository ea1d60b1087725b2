//! The relays among which bounds are shared that have to hold even if relays can't reach each other.
//!
//! A relay that is not heard any more may run on behind a broken link and use its share. Its share is
//! therefore not given to others before it has been silent for some time, and for much longer while
//! this relay hears less than half of the fleet: at most two parts of a fleet can each hear half of
//! it, and shares leave room for two.

use std::collections::BTreeMap;
use std::fmt::Display;
use std::net;
use std::time::Duration;

use kingcupfall_core::time;

use super::CellDepth;
use super::CellPosition;

/// Time for which a silent relay keeps its share: four times that after which it counts as gone.
const RETENTION_TIME: Duration = Duration::from_secs(60);

/// The same while less than half of the fleet is heard. Without an end, relays that were all replaced
/// twice in a minute would be counted for good.
const MAX_RETENTION_TIME: Duration = Duration::from_secs(3_600);

/// Age from which a relay uses its shares: after several heartbeats of several peers, both know of
/// each other.
const CONTACT_TIME: Duration = Duration::from_secs(3);

/// The place of this relay among those that share a bound.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct SharingRank {
    /// Number of the relays.
    pub relays: usize,
    /// Number of them that come before this one, in an order that all relays agree on.
    pub rank: usize,
}

/// All relays that this one has to reckon with: the seeds, and those that it has heard of.
#[derive(Debug)]
pub(super) struct KnownFleet {
    own_address: net::SocketAddr,
    /// When each of the other relays was last heard by any relay, as far as known.
    last_heard: BTreeMap<net::SocketAddr, time::Timestamp>,
    has_other_seeds: bool,
    is_seed: bool,
    has_heard_any: bool,
}

impl KnownFleet {
    /// Creates the fleet that only consists of this relay, at `own_address`.
    pub(super) const fn new(own_address: net::SocketAddr) -> Self {
        Self {
            own_address,
            last_heard: BTreeMap::new(),
            has_other_seeds: false,
            is_seed: false,
            has_heard_any: false,
        }
    }

    /// Adds the seeds. Each may run, though none has been heard yet.
    pub(super) fn add_seeds(&mut self, seeds: &[net::SocketAddr]) {
        self.is_seed |= seeds.contains(&self.own_address);
        for seed in seeds.iter().filter(|seed| **seed != self.own_address) {
            self.has_other_seeds = true;
            self.last_heard.entry(*seed).or_default();
        }
    }

    /// Records that the relay at `address` was heard at `at`.
    pub(super) fn record_heard(&mut self, address: net::SocketAddr, at: time::Timestamp) {
        self.has_heard_any = true;
        let last_heard = self.last_heard.entry(address).or_default();
        *last_heard = at.max(*last_heard);
    }

    /// Removes relays that have been silent for long: for longer if `live_relays`, this one included,
    /// are less than half of all.
    pub(super) fn remove_silent(&mut self, now: time::Timestamp, live_relays: usize) {
        let retention = match live_relays * 2 > self.last_heard.len() {
            true => RETENTION_TIME,
            false => MAX_RETENTION_TIME,
        };
        self.last_heard
            .retain(|_, last_heard| now.since(*last_heard) < retention);
    }

    /// Returns the place of this relay among those that share a bound of the target `name`: all of
    /// them, or those of its cell. `None` if this relay has no share: it has not run for long enough
    /// to know, and to be known by, the others, has reached none of its seeds yet, or the target
    /// belongs to another cell.
    pub(super) fn rank(
        &self,
        now: time::Timestamp,
        name: &impl Display,
        is_cell_only: bool,
    ) -> Option<SharingRank> {
        let age = now.since(time::Timestamp::ZERO);
        // Any number of relays may have started without reaching a seed. Only the seeds know their
        // places among each other without having heard anything.
        let is_unlinked = self.has_other_seeds && !self.is_seed && !self.has_heard_any;
        if age < CONTACT_TIME || is_unlinked {
            return None;
        }
        let depth = match is_cell_only {
            true => CellDepth::for_relays(self.last_heard.len() + 1),
            false => CellDepth::default(),
        };
        let target = CellPosition::of(name);
        let is_sharer =
            |address: &net::SocketAddr| depth.is_same_cell(target, CellPosition::of(address));
        if !is_sharer(&self.own_address) {
            return None;
        }
        let rank = |address: &net::SocketAddr| CellPosition::of(&format!("{address}-{name}"));
        let own_rank = rank(&self.own_address);
        let mut sharing = SharingRank { relays: 1, rank: 0 };
        for address in self.last_heard.keys().filter(|address| is_sharer(address)) {
            sharing.relays += 1;
            sharing.rank += usize::from(rank(address) < own_rank);
        }
        Some(sharing)
    }
}
