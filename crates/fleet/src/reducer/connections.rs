//! Connections to other gateways: which are wanted, begun, kept and given up.

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

/// Gateways of the own zone that a gateway connects to.
const ZONE_LINKS: usize = 4;

/// Gateways of other zones that a gateway connects to.
const REMOTE_LINKS: usize = 2;

/// Connections begun at one upkeep, so that a lost zone makes no burst.
const CONNECTS_PER_UPKEEP: usize = 2;

/// Wait after the first failed connection; it doubles with each failure.
const FIRST_BACKOFF: Duration = Duration::from_millis(500);

/// Longest wait after failed connections.
const LONGEST_BACKOFF: Duration = Duration::from_secs(10);

/// Time for which a link is kept that is no longer among the wanted ones.
const UNWANTED_TIME: Duration = Duration::from_secs(30);

/// Time after which a connection that neither opened nor failed is forgotten.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(10);

/// Connections that are being opened, and failures of earlier ones.
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
    /// Notes that a connection has opened.
    pub(super) fn note_opened(&mut self, vm: &ids::VmName) {
        self.pending.remove(vm);
        self.failures.remove(vm);
    }
}

impl FleetReducer {
    pub(super) fn fail_connect(&mut self, now: time::Timestamp, vm: &ids::VmName) {
        self.connections.pending.remove(vm);
        let count = self
            .connections
            .failures
            .get(vm)
            .map_or(0, |failure| failure.count);
        let backoff = FIRST_BACKOFF
            .saturating_mul(1 << count.min(8))
            .min(LONGEST_BACKOFF);
        let jitter = self.generator.random_range(0.5..1.0);
        let failure = ConnectFailure {
            count: count + 1,
            retry_at: now + backoff.mul_f64(jitter),
        };

        self.connections.failures.insert(vm.clone(), failure);
        if !self.has_link_to(vm) {
            self.suspect(now, vm);
        }
    }

    /// Opens the links that are wanted and closes those that no longer are.
    pub(super) fn maintain_links(&mut self, now: time::Timestamp, effects: &mut Vec<FleetEffect>) {
        self.connections
            .pending
            .retain(|_, since| now.since(*since) < CONNECT_TIMEOUT);
        if self.role == FleetRole::Agent {
            self.choose_feeds(effects);
            return;
        }

        let mut wanted = self.choose_peers(now, true, ZONE_LINKS);
        wanted.extend(self.choose_peers(now, false, REMOTE_LINKS));
        let missing = wanted.iter().filter(|vm| !self.has_link_to(vm));
        let missing: Vec<ids::VmName> = missing.take(CONNECTS_PER_UPKEEP).cloned().collect();
        for vm in missing {
            self.connect(now, &vm, effects);
        }
        self.close_unwanted(now, &wanted, effects);
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

    fn choose_peers(
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
        subset::heaviest_vms(&self.own.vm, candidates, count)
    }

    fn close_unwanted(
        &mut self,
        now: time::Timestamp,
        wanted: &[ids::VmName],
        effects: &mut Vec<FleetEffect>,
    ) {
        for (link, peer) in &mut self.links {
            let LinkKind::Outgoing { vm } = &peer.kind else {
                continue;
            };
            if wanted.contains(vm) {
                peer.unwanted_since = None;
                continue;
            }
            let since = *peer.unwanted_since.get_or_insert(now);
            if now.since(since) >= UNWANTED_TIME {
                effects.push(FleetEffect::CloseLink { link: *link });
            }
        }

        let is_closed = |peer: &PeerLink| {
            let age = peer.unwanted_since.map(|since| now.since(since));
            age.is_some_and(|age| age >= UNWANTED_TIME)
        };
        for link in self.select_links(is_closed) {
            self.links.remove(&link);
            self.forget_source(now, link, effects);
        }
    }
}
