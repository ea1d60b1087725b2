//! Addresses of the known relays of the fleet.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::fmt::Display;
use std::net;
use std::time::Duration;

use kingcupfall_core::time;
use rand::Rng;
use rand::seq::IteratorRandom;
use serde::Deserialize;
use serde::Serialize;
use serde_with::DurationMilliSeconds;
use serde_with::serde_as;

use super::CellDepth;
use super::CellPosition;
use super::SharingRank;
use super::known_fleet;

/// Time after which a relay is removed if no other relay has received a message from it: several
/// times what an update takes to reach the whole fleet, and less than the usual time until an
/// address is reused.
const MEMBER_TIMEOUT: Duration = Duration::from_secs(15);

/// Number of links to relays of other cells. Membership and directory updates propagate between
/// cells over them.
const OTHER_CELL_LINKS: usize = 6;

/// Number of relays of each cell that read the targets from the directory for the others.
const READERS_PER_CELL: usize = 2;

/// Number of relays from which on some read for the others; in a smaller fleet all of them read.
const MIN_FED_FLEET: usize = 12;

/// What one relay reports to its peers about another one.
#[serde_as]
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberHint {
    /// Address at which the relay accepts links.
    #[serde(rename = "a")]
    pub address: net::SocketAddr,
    /// Time since another relay last received a message from it, as far as known.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "t")]
    pub age: Duration,
}

#[derive(Debug, Clone, Copy)]
struct MemberEntry {
    /// Latest known time at which another relay received a message from the member.
    last_received: time::Timestamp,
    position: CellPosition,
}

/// The other relays of the fleet that this one knows, directly or through peers.
#[derive(Debug)]
pub struct MemberTable {
    own_address: net::SocketAddr,
    own_position: CellPosition,
    members: BTreeMap<net::SocketAddr, MemberEntry>,
    fleet: known_fleet::KnownFleet,
}

impl MemberTable {
    /// Creates the empty table of the relay at `own_address`.
    pub fn new(own_address: net::SocketAddr) -> Self {
        Self {
            own_address,
            own_position: CellPosition::of(&own_address),
            members: BTreeMap::new(),
            fleet: known_fleet::KnownFleet::new(own_address),
        }
    }

    /// Adds the seeds to the relays that share bounds on cold targets. They are no members before
    /// they are heard.
    pub fn add_seeds(&mut self, seeds: &[net::SocketAddr]) {
        self.fleet.add_seeds(seeds);
    }

    /// Records that a message of the relay at `address` was received at `at`. Ignores the relay's
    /// own address.
    pub fn record_received(&mut self, address: net::SocketAddr, at: time::Timestamp) {
        if address == self.own_address {
            return;
        }
        let member = self.members.entry(address).or_insert(MemberEntry {
            last_received: at,
            position: CellPosition::of(&address),
        });
        member.last_received = member.last_received.max(at);
        self.fleet.record_heard(address, at);
    }

    /// Records what a peer reported about another relay. Ignores hints that are too old.
    pub fn record_hint(&mut self, now: time::Timestamp, hint: MemberHint) {
        let at = now.as_micros().saturating_sub(micros(hint.age));
        if hint.age < MEMBER_TIMEOUT {
            self.record_received(hint.address, time::Timestamp::from_micros(at));
        }
    }

    /// Removes relays from which no other relay has received a message within the timeout.
    pub fn remove_expired(&mut self, now: time::Timestamp) {
        self.members
            .retain(|_, member| now.since(member.last_received) < MEMBER_TIMEOUT);
        self.fleet.remove_silent(now, self.members.len() + 1);
    }

    /// Returns the place of this relay among those that share the bound on the requests to the cold
    /// target `name`: those of its cell or all, whether or not they can be reached. `None` if this
    /// relay may not send it any, as it has just started or is not of the cell. The clock starts when
    /// the relay does.
    pub fn cold_rank(
        &self,
        now: time::Timestamp,
        name: &impl Display,
        is_cell_only: bool,
    ) -> Option<SharingRank> {
        self.fleet.rank(now, name, is_cell_only)
    }

    /// Returns the number of known relays, this one included.
    pub fn relay_count(&self) -> usize {
        self.members.len() + 1
    }

    /// Returns the depth of cells for the number of known relays.
    pub fn depth(&self) -> CellDepth {
        CellDepth::for_relays(self.relay_count())
    }

    /// Returns whether the fleet is large enough for some relays to read for the others.
    pub fn has_readers(&self) -> bool {
        self.relay_count() >= MIN_FED_FLEET
    }

    /// Returns whether this relay reads the targets from the directory for its cell: all relays of a
    /// small fleet do, and those of a cell with the lowest positions. Relays with different views
    /// may disagree, which costs a few calls, or leaves a cell without a reader until its relays
    /// notice that none feeds them.
    pub fn is_reader(&self) -> bool {
        if !self.has_readers() {
            return true;
        }
        let depth = self.depth();
        let lower = self.members.values().filter(|member| {
            member.position < self.own_position
                && depth.is_same_cell(self.own_position, member.position)
        });
        lower.take(READERS_PER_CELL).count() < READERS_PER_CELL
    }

    /// Returns whether this relay has the lowest position of all known ones.
    pub fn is_first(&self) -> bool {
        let mut members = self.members.values();
        members.all(|member| member.position > self.own_position)
    }

    /// Returns about how many relays read the targets from the directory.
    pub fn reader_count(&self) -> usize {
        match self.has_readers() {
            true => self.depth().cell_count() * READERS_PER_CELL,
            false => self.relay_count(),
        }
    }

    /// Returns the number of relays that share something named `name`, those of this relay's cell or
    /// all, and how many of them come before this one in an order that all relays agree on.
    pub fn sharing_rank(&self, name: &impl Display, is_cell_only: bool) -> (usize, usize) {
        let depth = self.depth();
        let rank = |address| CellPosition::of(&format!("{address}-{name}"));
        let own_rank = rank(&self.own_address);
        let sharers = self.members.iter().filter(|(_, member)| {
            !is_cell_only || depth.is_same_cell(self.own_position, member.position)
        });
        let (mut relays, mut earlier) = (1, 0);
        for (address, _) in sharers {
            relays += 1;
            earlier += usize::from(rank(address) < own_rank);
        }
        (relays, earlier)
    }

    /// Returns true if the relay at `address` is in the cell of this one.
    pub fn is_same_cell(&self, address: net::SocketAddr) -> bool {
        self.depth()
            .is_same_cell(self.own_position, CellPosition::of(&address))
    }

    /// Returns hints about up to `count` members, drawn at random so that all members are
    /// propagated equally fast.
    pub fn sample_hints(
        &self,
        now: time::Timestamp,
        random: &mut impl Rng,
        count: usize,
    ) -> Vec<MemberHint> {
        let hints = self.members.iter().map(|(address, member)| MemberHint {
            address: *address,
            age: now.since(member.last_received),
        });
        hints.choose_multiple(random, count)
    }

    /// Returns the addresses to keep links to: all members of this relay's cell, and a few of other
    /// cells.
    pub fn desired_links(&self) -> BTreeSet<net::SocketAddr> {
        let depth = self.depth();
        let is_same_cell =
            |member: &MemberEntry| depth.is_same_cell(self.own_position, member.position);
        let mut desired = BTreeSet::new();
        let mut others = Vec::new();
        for (address, member) in &self.members {
            match is_same_cell(member) {
                true => drop(desired.insert(*address)),
                false => {
                    // Each pair has its own rank, so that the links between cells are distributed
                    // evenly over all relays.
                    let rank = CellPosition::of(&format!("{}-{address}", self.own_address));
                    others.push((rank, *address));
                }
            }
        }
        others.sort_unstable();
        let others = others.into_iter().take(OTHER_CELL_LINKS);
        desired.extend(others.map(|(_, address)| address));
        desired
    }
}

fn micros(duration: Duration) -> u64 {
    u64::try_from(duration.as_micros()).unwrap_or(u64::MAX)
}
