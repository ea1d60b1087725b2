//! Links to peers: opening and closing, subscriptions, heartbeats and detection of silence.

use std::time::Duration;

use kingcupfall_core::ids;
use kingcupfall_core::time;
use rand::Rng;
use rand::seq::IndexedRandom;

use super::FleetEffect;
use super::FleetReducer;
use super::FleetRole;
use super::LinkKind;
use super::send;
use crate::members;
use crate::messages;

/// Maximum number of links that a gateway accepts from other gateways.
const MAX_INCOMING_LINKS: usize = 64;

/// Number of gateways from which an agent receives updates.
const FEEDS_PER_AGENT: usize = 3;

/// Interval between heartbeats on a link.
const HEARTBEAT_INTERVAL: Duration = Duration::from_secs(1);

/// Time without any message after which a link is considered lost.
pub(super) const LINK_SILENCE_TIMEOUT: Duration = Duration::from_secs(3);

/// State of one link.
#[derive(Debug)]
pub(super) struct PeerLink {
    pub(super) kind: LinkKind,
    /// VM of the gateway at the other end; `None` until known, and for agents.
    pub(super) vm: Option<ids::VmName>,
    /// Zone of that gateway; `None` until its hello is received.
    pub(super) zone: Option<ids::ZoneName>,
    pub(super) last_received: time::Timestamp,
    /// Whether heartbeats and heads are exchanged on the link.
    pub(super) is_active: bool,
    /// The last heartbeat, if its digests differed from those of this process and no repair was
    /// started.
    pub(super) differing_heartbeat: Option<messages::HeartbeatMessage>,
    next_heartbeat_at: time::Timestamp,
    /// Time since which an outgoing link is no longer to a selected peer; `None` while it is.
    pub(super) unused_since: Option<time::Timestamp>,
}

impl PeerLink {
    /// Returns true if the link is between two gateways.
    pub(super) const fn is_gossip_link(&self) -> bool {
        match self.kind {
            LinkKind::Outgoing { .. } | LinkKind::Incoming => true,
            LinkKind::Agent | LinkKind::Feed => false,
        }
    }
}

impl FleetReducer {
    pub(super) fn add_link(
        &mut self,
        now: time::Timestamp,
        link: ids::LinkId,
        kind: LinkKind,
        effects: &mut Vec<FleetEffect>,
    ) {
        let vm = match &kind {
            LinkKind::Outgoing { vm } => Some(vm.clone()),
            LinkKind::Incoming | LinkKind::Agent | LinkKind::Feed => None,
        };
        if let Some(vm) = &vm {
            self.connections.record_opened(vm);
        }
        if kind == LinkKind::Incoming && self.count_incoming() >= MAX_INCOMING_LINKS {
            effects.push(FleetEffect::CloseLink { link });
            return;
        }

        let delay = self
            .generator
            .random_range(Duration::ZERO..HEARTBEAT_INTERVAL);
        let peer = PeerLink {
            kind,
            vm,
            zone: None,
            last_received: now,
            is_active: false,
            differing_heartbeat: None,
            next_heartbeat_at: now + delay,
            unused_since: None,
        };
        let is_gossip_link = peer.is_gossip_link();
        self.links.insert(link, peer);
        if is_gossip_link {
            self.send_initial_state(now, link, effects);
        } else {
            self.subscribe_to_feeds(effects);
        }
    }

    pub(super) fn remove_link(
        &mut self,
        now: time::Timestamp,
        link: ids::LinkId,
        effects: &mut Vec<FleetEffect>,
    ) {
        let Some(peer) = self.links.remove(&link) else {
            return;
        };
        self.remove_source_link(now, link, effects);
        self.subscribe_to_feeds(effects);

        // Only outgoing links are reopened: a peer may close a link that it opened because it no
        // longer uses it.
        if let LinkKind::Outgoing { vm } = peer.kind
            && !self.has_link_to(&vm)
        {
            self.connect(now, &vm, effects);
        }
    }

    pub(super) fn handle_malformed(&mut self, link: ids::LinkId, effects: &mut Vec<FleetEffect>) {
        self.counters.malformed_messages += 1;
        if self.links.get(&link).is_some_and(PeerLink::is_gossip_link) {
            effects.push(FleetEffect::CloseLink { link });
        }
    }

    pub(super) fn handle_hello(
        &mut self,
        now: time::Timestamp,
        link: ids::LinkId,
        record: members::MemberRecord,
        effects: &mut Vec<FleetEffect>,
    ) {
        if let Some(peer) = self.links.get_mut(&link) {
            peer.vm = Some(record.vm.clone());
            peer.zone = Some(record.zone.clone());
            peer.is_active = peer.is_gossip_link();
        }
        let vm = record.vm.clone();
        self.handle_members(now, link, vec![record], effects);

        // Send the peer its own record if it is not serving here, so that the peer can refute it.
        if let Some(known) = self.members.record(&vm)
            && !known.state.is_serving()
        {
            let records = vec![known.clone()];
            send(effects, link, messages::FleetMessage::Members(records));
        }
    }

    pub(super) fn handle_subscribe(&mut self, link: ids::LinkId, effects: &mut Vec<FleetEffect>) {
        if let Some(peer) = self.links.get_mut(&link) {
            peer.is_active = true;
            self.send_all_heads(link, effects);
        }
    }

    /// Sends a heartbeat on each active link where one is due.
    pub(super) fn send_heartbeats(&mut self, now: time::Timestamp, effects: &mut Vec<FleetEffect>) {
        let heartbeat = messages::HeartbeatMessage {
            sections: self.store.digest(),
            suspects: self.suspects.digest(),
        };

        for (link, peer) in &mut self.links {
            if peer.is_active && now >= peer.next_heartbeat_at {
                peer.next_heartbeat_at = now + HEARTBEAT_INTERVAL;
                send(effects, *link, messages::FleetMessage::Heartbeat(heartbeat));
            }
        }
    }

    /// Closes gossip links, and deactivates others, on which nothing was received for too long.
    pub(super) fn close_silent_links(
        &mut self,
        now: time::Timestamp,
        effects: &mut Vec<FleetEffect>,
    ) {
        let is_silent = |peer: &PeerLink| {
            (peer.is_active || peer.is_gossip_link())
                && now.since(peer.last_received) >= LINK_SILENCE_TIMEOUT
        };
        let silent_links: Vec<ids::LinkId> = self.select_links(is_silent);

        for link in silent_links {
            self.counters.silent_links += 1;
            let Some(peer) = self.links.get_mut(&link) else {
                continue;
            };
            if !peer.is_gossip_link() {
                // The gateway or agent that hosts this reducer closes the link when it is lost.
                peer.is_active = false;
                self.remove_source_link(now, link, effects);
                continue;
            }

            let vm = peer.vm.clone();
            effects.push(FleetEffect::CloseLink { link });
            self.remove_link(now, link, effects);
            if let Some(vm) = vm
                && !self.has_link_to(&vm)
            {
                self.mark_suspect(now, &vm);
            }
        }
    }

    /// Selects up to `count` random active gossip links other than `except`.
    pub(super) fn select_random_peers(
        &mut self,
        count: usize,
        except: Option<ids::LinkId>,
    ) -> Vec<ids::LinkId> {
        let peers = self.select_links(|peer| peer.is_active && peer.is_gossip_link());
        let peers: Vec<ids::LinkId> = peers
            .into_iter()
            .filter(|link| Some(*link) != except)
            .collect();
        peers
            .choose_multiple(&mut self.generator, count)
            .copied()
            .collect()
    }

    pub(super) fn select_links(&self, predicate: impl Fn(&PeerLink) -> bool) -> Vec<ids::LinkId> {
        self.links
            .iter()
            .filter(|(_, peer)| predicate(peer))
            .map(|(link, _)| *link)
            .collect()
    }

    /// Sends a hello, and the state that a joining peer needs, on a new link.
    fn send_initial_state(
        &mut self,
        now: time::Timestamp,
        link: ids::LinkId,
        effects: &mut Vec<FleetEffect>,
    ) {
        let hello = Box::new(self.own_record.clone());
        send(effects, link, messages::FleetMessage::Hello(hello));

        self.send_all_heads(link, effects);
        self.send_member_sample(link, effects);
        self.send_notices(now, link, effects);
    }

    /// Subscribes an agent to more gateways if it has too few feeds.
    pub(super) fn subscribe_to_feeds(&mut self, effects: &mut Vec<FleetEffect>) {
        if self.role != FleetRole::Agent {
            return;
        }
        let active = self.select_links(|peer| peer.is_active).len();
        let idle = self.select_links(|peer| !peer.is_active);
        let missing = FEEDS_PER_AGENT.saturating_sub(active);
        let chosen: Vec<ids::LinkId> = idle
            .choose_multiple(&mut self.generator, missing)
            .copied()
            .collect();

        for link in chosen {
            if let Some(peer) = self.links.get_mut(&link) {
                peer.is_active = true;
                peer.last_received = self.schedule.last_tick.max(peer.last_received);
                send(effects, link, messages::FleetMessage::Subscribe);
            }
        }
    }

    fn count_incoming(&self) -> usize {
        self.select_links(|peer| peer.kind == LinkKind::Incoming)
            .len()
    }
}
