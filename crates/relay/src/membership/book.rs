//! Addresses at which processes of the same kind are.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
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

/// Time after which a process that nobody has heard of is forgotten: several times what news take
/// through a fleet, and less than the usual time until an address is used again.
const FORGET_AFTER: Duration = Duration::from_secs(15);

/// Links to processes of other cells, over which news of members and knowledge travel.
const OUTSIDE_LINKS: usize = 6;

/// What a process tells of another one.
#[serde_as]
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberHint {
    /// Where it takes links.
    #[serde(rename = "a")]
    pub address: net::SocketAddr,
    /// Time since somebody heard it.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "t")]
    pub age: Duration,
}

#[derive(Debug, Clone, Copy)]
struct KnownMember {
    heard_at: time::Timestamp,
    position: CellPosition,
}

/// Processes that were heard of.
#[derive(Debug)]
pub struct MemberBook {
    own: net::SocketAddr,
    position: CellPosition,
    members: BTreeMap<net::SocketAddr, KnownMember>,
}

impl MemberBook {
    /// Makes the book of the process at an address, which knows nobody.
    pub fn new(own: net::SocketAddr) -> Self {
        Self {
            own,
            position: CellPosition::of(&own),
            members: BTreeMap::new(),
        }
    }

    /// Notes that a process was heard.
    pub fn hear(&mut self, address: net::SocketAddr, at: time::Timestamp) {
        if address == self.own {
            return;
        }
        let member = self.members.entry(address).or_insert(KnownMember {
            heard_at: at,
            position: CellPosition::of(&address),
        });
        member.heard_at = member.heard_at.max(at);
    }

    /// Notes what another process tells.
    pub fn take_hint(&mut self, now: time::Timestamp, hint: MemberHint) {
        let at = now.as_micros().saturating_sub(micros(hint.age));
        if hint.age < FORGET_AFTER {
            self.hear(hint.address, time::Timestamp::from_micros(at));
        }
    }

    /// Forgets processes that nobody has heard for long.
    pub fn forget(&mut self, now: time::Timestamp) {
        self.members
            .retain(|_, member| now.since(member.heard_at) < FORGET_AFTER);
    }

    /// Returns the number of processes, this one included.
    pub fn processes(&self) -> usize {
        self.members.len() + 1
    }

    /// Returns the depth of cells at the present size.
    pub fn depth(&self) -> CellDepth {
        CellDepth::for_processes(self.processes())
    }

    /// Says whether a process is in the cell of this one.
    pub fn is_near(&self, address: net::SocketAddr) -> bool {
        self.depth()
            .is_same(self.position, CellPosition::of(&address))
    }

    /// Returns processes to tell others of, drawn at random so that news of all travel alike.
    pub fn hints(
        &self,
        now: time::Timestamp,
        random: &mut impl Rng,
        count: usize,
    ) -> Vec<MemberHint> {
        let hints = self.members.iter().map(|(address, member)| MemberHint {
            address: *address,
            age: now.since(member.heard_at),
        });
        hints.choose_multiple(random, count)
    }

    /// Returns the processes to be linked with: all of the cell, and a few of others.
    pub fn wanted(&self) -> BTreeSet<net::SocketAddr> {
        let depth = self.depth();
        let is_near = |member: &KnownMember| depth.is_same(self.position, member.position);
        let mut wanted = BTreeSet::new();
        let mut outside = Vec::new();
        for (address, member) in &self.members {
            match is_near(member) {
                true => drop(wanted.insert(*address)),
                false => {
                    // Each pair has its own rank, so that links outside spread over all.
                    let rank = CellPosition::of(&format!("{}-{address}", self.own));
                    outside.push((rank, *address));
                }
            }
        }
        outside.sort_unstable();
        let outside = outside.into_iter().take(OUTSIDE_LINKS);
        wanted.extend(outside.map(|(_, address)| address));
        wanted
    }
}

fn micros(duration: Duration) -> u64 {
    u64::try_from(duration.as_micros()).unwrap_or(u64::MAX)
}
