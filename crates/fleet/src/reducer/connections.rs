//! Connections to other gateways: selection of peers, backoff after failures, and closing of unused
//! links.

use std::collections::BTreeMap;
use std::time::Duration;

use kingcupfall_core::ids;
use kingcupfall_core::time;
use rand::Rng;

use super::FleetEffect;
use super::FleetReducer;
use super::FleetRole;
use super::LinkKind;
use super::links::PeerLink;
use crate::subset;

/// Number of gateways of its own zone that a gateway connects to.
const OWN_ZONE_LINKS: usize = 4;

/// Number of gateways of other zones that a gateway connects to.
const OTHER_ZONE_LINKS: usize = 2;

/// Maximum number of connections opened in one maintenance round, so that the loss of a zone causes
/// no burst.
const MAX_CONNECTS_PER_ROUND: usize = 2;

/// Delay after the first failed connection; it doubles with each further failure.
const INITIAL_BACKOFF: Duration = Duration::from_millis(500);

/// Longest delay after failed connections.
const MAX_BACKOFF: Duration = Duration::from_secs(10);

/// Time for which a link is kept open after its gateway is no longer a selected peer.
const UNUSED_LINK_RETENTION: Duration = Duration::from_secs(30);

/// Time after which a connection attempt that neither succeeded nor failed is dropped.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(10);

/// Pending connection attempts and previous failures, by VM.
#[derive(Debug, Default)]
pub(super) struct ConnectionState {
    pending: BTreeMap<ids::VmName, time::Timestamp>,
    failures: BTreeMap<ids::VmName, ConnectFailure>,
}

#[derive(Debug)]
struct ConnectFailure {
    count: u32,
    retry_at: time::Timestamp,
}

impl ConnectionState {
    /// Clears the pending attempt and the failures of a VM whose link has opened.
    pub(super) fn record_opened(&mut self, vm: &ids::VmName) {
        self.pending.remove(vm);
        self.failures.remove(vm);
    }
}

impl FleetReducer {
    pub(super) fn handle_connect_failed(&mut self, now: time::Timestamp, vm: &ids::VmName) {
        self.connections.pending.remove(vm);
        let count = self
            .connections
            .failures
            .get(vm)
            .map_or(0, |failure| failure.count);
        let backoff = INITIAL_BACKOFF
            .saturating_mul(1 << count.min(8))
            .min(MAX_BACKOFF);
        let jitter = self.generator.random_range(0.5..1.0);
        let failure = ConnectFailure {
            count: count + 1,
            retry_at: now + backoff.mul_f64(jitter),
        };

        self.connections.failures.insert(vm.clone(), failure);
        if !self.has_link_to(vm) {
            self.mark_suspect(now, vm);
        }
    }

    /// Opens missing links to selected peers and closes links unused for too long.
    pub(super) fn maintain_links(&mut self, now: time::Timestamp, effects: &mut Vec<FleetEffect>) {
        self.connections
            .pending
            .retain(|_, started_at| now.since(*started_at) < CONNECT_TIMEOUT);
        if self.role == FleetRole::Agent {
            self.subscribe_to_feeds(effects);
            return;
        }

        let mut desired = self.select_peers(now, true, OWN_ZONE_LINKS);
        desired.extend(self.select_peers(now, false, OTHER_ZONE_LINKS));
        let missing = desired.iter().filter(|vm| !self.has_link_to(vm));
        let missing: Vec<ids::VmName> = missing.take(MAX_CONNECTS_PER_ROUND).cloned().collect();
        for vm in missing {
            self.connect(now, &vm, effects);
        }
        self.close_unused_links(now, &desired, effects);
    }

    pub(super) fn connect(
        &mut self,
        now: time::Timestamp,
        vm: &ids::VmName,
        effects: &mut Vec<FleetEffect>,
    ) {
        let Some(address) = self.members.address(vm) else {
            return;
        };
        if self.connections.pending.contains_key(vm) {
            return;
        }
        self.connections.pending.insert(vm.clone(), now);
        effects.push(FleetEffect::Connect {
            vm: vm.clone(),
            address,
        });
    }

    pub(super) fn has_link_to(&self, vm: &ids::VmName) -> bool {
        self.links.values().any(|peer| peer.vm.as_ref() == Some(vm))
    }

    fn select_peers(
        &self,
        now: time::Timestamp,
        is_own_zone: bool,
        count: usize,
    ) -> Vec<ids::VmName> {
        let is_due = |vm: &&ids::VmName| {
            let failure = self.connections.failures.get(*vm);
            failure.is_none_or(|failure| now >= failure.retry_at)
        };
        let candidates = self.members.link_candidates(is_own_zone).filter(is_due);
        subset::highest_weighted_vms(&self.own_record.vm, candidates, count)
    }

    fn close_unused_links(
        &mut self,
        now: time::Timestamp,
        desired: &[ids::VmName],
        effects: &mut Vec<FleetEffect>,
    ) {
        for (link, peer) in &mut self.links {
            let LinkKind::Outgoing { vm } = &peer.kind else {
                continue;
            };
            if desired.contains(vm) {
                peer.unused_since = None;
                continue;
            }
            let unused_since = *peer.unused_since.get_or_insert(now);
            if now.since(unused_since) >= UNUSED_LINK_RETENTION {
                effects.push(FleetEffect::CloseLink { link: *link });
            }
        }

        let is_unused_too_long = |peer: &PeerLink| {
            let age = peer.unused_since.map(|since| now.since(since));
            age.is_some_and(|age| age >= UNUSED_LINK_RETENTION)
        };
        for link in self.select_links(is_unused_too_long) {
            self.links.remove(&link);
            self.remove_source_link(now, link, effects);
        }
    }
}
