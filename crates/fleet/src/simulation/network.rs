//! Links between simulated processes, and their calls to the platform.

use std::collections::BTreeMap;
use std::time::Duration;
use std::time::Instant;

use kingcupfall_core::ids;
use kingcupfall_core::measures;
use rand::Rng;
use rand::seq::IndexedRandom;

use super::FailureKind;
use super::FleetSimulation;
use super::NodeIndex;
use super::PLATFORM_DELAY;
use super::PendingWatch;
use super::ScheduledEvent;
use super::ServiceMode;
use super::WATCH_TIMEOUT;
use crate::messages;
use crate::reducer;

/// Time after which a connection attempt to a lost or unreachable VM fails.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(3);

/// Delay before an agent that lost a link connects again.
const AGENT_RECONNECT_DELAY: Duration = Duration::from_secs(1);

/// All open links. Both ends of a link use the same id.
#[derive(Debug, Default)]
pub(super) struct LinkTable {
    /// Both ends of each link. The gateway comes first on a link to an agent.
    ends: BTreeMap<ids::LinkId, [NodeIndex; 2]>,
    next: u64,
}

impl LinkTable {
    fn add(&mut self, ends: [NodeIndex; 2]) -> ids::LinkId {
        let link = ids::LinkId::new(self.next);
        self.next += 1;
        self.ends.insert(link, ends);
        link
    }

    fn other_end(&self, link: ids::LinkId, index: NodeIndex) -> Option<NodeIndex> {
        let [left, right] = *self.ends.get(&link)?;
        match left == index {
            true => Some(right),
            false => Some(left),
        }
    }
}

impl FleetSimulation {
    pub(super) fn send(
        &mut self,
        index: NodeIndex,
        link: ids::LinkId,
        message: messages::FleetMessage,
    ) {
        let started = Instant::now();
        let bytes = messages::encode(&message).expect("own messages are within the limits");
        let decoded = messages::decode(&bytes).expect("own messages can be decoded");
        let usage = &mut self.nodes[index.0].usage;
        usage.busy_time += started.elapsed();
        usage.sent_bytes += bytes.len() as u64;
        usage.sent_messages += 1;

        let Some(other) = self.links.other_end(link, index) else {
            return;
        };
        let is_dropped =
            self.plan.loss_rate > 0.0 && self.generator.random_bool(self.plan.loss_rate);
        if is_dropped || !self.can_reach(index, other) {
            return;
        }
        let is_duplicated = self.plan.duplication_rate > 0.0
            && self.generator.random_bool(self.plan.duplication_rate);
        let copies = if is_duplicated { 2 } else { 1 };
        for _ in 0..copies {
            let event = reducer::FleetEvent::MessageReceived {
                link,
                message: decoded.clone(),
            };
            let delay = self.random_delay(index, other);
            let size = bytes.len() as u64;
            self.schedule(delay, ScheduledEvent::DeliverMessage(other, event, size));
        }
    }

    /// Closes a link at `index`, and at the other end if it can be reached.
    pub(super) fn close_link(&mut self, index: NodeIndex, link: ids::LinkId) {
        let Some(other) = self.links.other_end(link, index) else {
            return;
        };
        self.links.ends.remove(&link);
        if self.can_reach(index, other) {
            let event = reducer::FleetEvent::LinkClosed { link };
            let delay = self.random_delay(index, other);
            self.schedule(delay, ScheduledEvent::Deliver(other, event));
            self.schedule_agent_connect(other);
        }
    }

    pub(super) fn close_links(&mut self, index: NodeIndex) {
        let links = self.links.ends.iter();
        let links: Vec<ids::LinkId> = links
            .filter(|(_, ends)| ends.contains(&index))
            .map(|(link, _)| *link)
            .collect();
        for link in links {
            self.close_link(index, link);
        }
    }

    /// Closes the links of agents to a lost gateway at the agents' ends.
    pub(super) fn drop_agent_links(&mut self, lost: NodeIndex) {
        let links = self.links.ends.iter();
        let links: Vec<(ids::LinkId, NodeIndex)> = links
            .filter(|(_, [left, _])| *left == lost)
            .filter(|(_, [_, right])| !self.nodes[right.0].is_gateway())
            .map(|(link, [_, right])| (*link, *right))
            .collect();
        for (link, agent) in links {
            self.links.ends.remove(&link);
            let event = reducer::FleetEvent::LinkClosed { link };
            self.schedule(Duration::ZERO, ScheduledEvent::Deliver(agent, event));
            self.schedule_agent_connect(agent);
        }
    }

    pub(super) fn try_connect(&mut self, index: NodeIndex, vm: &ids::VmName) {
        let other = self.vms.get(vm).copied();
        let reachable =
            other.filter(|other| self.nodes[other.0].is_alive() && self.can_reach(index, *other));
        if let Some(other) = reachable {
            let kind = reducer::LinkKind::Outgoing { vm: vm.clone() };
            self.open_link(index, kind, other, reducer::LinkKind::Incoming);
            return;
        }

        let failure = other.and_then(|other| self.nodes[other.0].failure);
        let delay = match failure {
            Some(FailureKind::Process) => self.plan.inter_zone_delay,
            Some(FailureKind::Vm) | None => CONNECT_TIMEOUT,
        };
        let event = reducer::FleetEvent::ConnectFailed { vm: vm.clone() };
        self.schedule(delay, ScheduledEvent::Deliver(index, event));
    }

    /// Connects an agent to a random gateway, preferably of its own zone. Retries after a delay if
    /// the gateway cannot be reached.
    pub(super) fn connect_agent(&mut self, index: NodeIndex) {
        if !self.nodes[index.0].is_alive() {
            return;
        }
        let zone = self.nodes[index.0].identity.zone.clone();
        let same_zone = self.select(|node| node.is_gateway() && node.identity.zone == zone);
        let gateways = match same_zone.is_empty() {
            true => self.select(super::node::SimulationNode::is_gateway),
            false => same_zone,
        };

        let chosen = gateways.choose(&mut self.generator).copied();
        match chosen.filter(|gateway| self.can_reach(index, *gateway)) {
            Some(gateway) => self.open_link(
                gateway,
                reducer::LinkKind::Agent,
                index,
                reducer::LinkKind::Feed,
            ),
            None => self.schedule(AGENT_RECONNECT_DELAY, ScheduledEvent::ConnectAgent(index)),
        }
    }

    pub(super) fn call_service(&mut self, index: NodeIndex, after: reducer::ServiceRevision) {
        self.service.record_call(self.now);
        let mode = self.service_mode(index);
        if mode == ServiceMode::Down {
            let event = reducer::FleetEvent::SectionReadFailed;
            self.schedule(PLATFORM_DELAY, ScheduledEvent::Deliver(index, event));
            return;
        }
        if let Some(reading) = self.service.read(mode, after) {
            self.schedule_reading(index, reading);
            return;
        }

        let number = self.next_number;
        self.watches.push(PendingWatch {
            node: index,
            after,
            number,
        });
        self.schedule(WATCH_TIMEOUT, ScheduledEvent::EndWatch(index, number));
    }

    pub(super) fn wake_watches(&mut self) {
        let watches = std::mem::take(&mut self.watches);
        for watch in watches {
            let mode = self.service_mode(watch.node);
            if mode == ServiceMode::Down {
                let event = reducer::FleetEvent::SectionReadFailed;
                self.schedule(PLATFORM_DELAY, ScheduledEvent::Deliver(watch.node, event));
                continue;
            }
            match self.service.read(mode, watch.after) {
                Some(reading) => self.schedule_reading(watch.node, reading),
                None => self.watches.push(watch),
            }
        }
    }

    pub(super) fn end_watch(&mut self, index: NodeIndex, number: u64) {
        let count = self.watches.len();
        self.watches.retain(|watch| watch.number != number);
        if self.watches.len() == count {
            return;
        }
        let reading = reducer::ServiceReading {
            revision: self.service.revision(),
            sections: Vec::new(),
        };
        self.apply(index, reducer::FleetEvent::SectionsRead(reading));
    }

    pub(super) fn read_vm_list(&mut self, index: NodeIndex) {
        let lag = self.plan.vm_list_lag.as_micros();
        let lag = u64::try_from(lag).unwrap_or(u64::MAX);
        let as_of = self.now.as_micros().checked_sub(lag);
        let as_of = as_of.map(kingcupfall_core::time::Timestamp::from_micros);
        let listed_nodes = self.nodes.iter().filter(|node| node.is_listed(as_of));

        let mut listing = reducer::VmListing {
            gateways: Vec::new(),
            leaving: Vec::new(),
            size: measures::ByteSize::ZERO,
        };
        for node in listed_nodes {
            listing.size += measures::ByteSize::new(self.plan.vm_list_entry_bytes);
            if node.is_leaving {
                listing.leaving.push(node.identity.vm.clone());
            } else if node.is_gateway() {
                listing.gateways.push(node.seed());
            }
        }
        self.nodes[index.0].usage.platform_bytes += listing.size.get();
        let event = reducer::FleetEvent::VmListRead(listing);
        self.schedule(PLATFORM_DELAY, ScheduledEvent::Deliver(index, event));
    }

    fn schedule_reading(&mut self, index: NodeIndex, reading: reducer::ServiceReading) {
        let sizes = reading
            .sections
            .iter()
            .map(|value| value.bytes.len() as u64);
        self.nodes[index.0].usage.platform_bytes += sizes.sum::<u64>();
        let event = reducer::FleetEvent::SectionsRead(reading);
        self.schedule(PLATFORM_DELAY, ScheduledEvent::Deliver(index, event));
    }

    fn open_link(
        &mut self,
        left: NodeIndex,
        left_kind: reducer::LinkKind,
        right: NodeIndex,
        right_kind: reducer::LinkKind,
    ) {
        let link = self.links.add([left, right]);
        let event = reducer::FleetEvent::LinkOpened {
            link,
            kind: left_kind,
        };
        self.apply(left, event);

        let event = reducer::FleetEvent::LinkOpened {
            link,
            kind: right_kind,
        };
        self.apply(right, event);
    }

    fn schedule_agent_connect(&mut self, index: NodeIndex) {
        if !self.nodes[index.0].is_gateway() {
            self.schedule(AGENT_RECONNECT_DELAY, ScheduledEvent::ConnectAgent(index));
        }
    }

    fn service_mode(&self, index: NodeIndex) -> ServiceMode {
        let zone = &self.nodes[index.0].identity.zone;
        self.service_modes
            .get(zone)
            .copied()
            .unwrap_or(ServiceMode::Up)
    }

    fn can_reach(&self, left: NodeIndex, right: NodeIndex) -> bool {
        let left_zone = &self.nodes[left.0].identity.zone;
        let right_zone = &self.nodes[right.0].identity.zone;
        let is_separated =
            self.isolated_zones.contains(left_zone) != self.isolated_zones.contains(right_zone);
        !is_separated && self.nodes[right.0].is_alive()
    }

    fn random_delay(&mut self, left: NodeIndex, right: NodeIndex) -> Duration {
        let left_zone = &self.nodes[left.0].identity.zone;
        let right_zone = &self.nodes[right.0].identity.zone;
        let delay = match left_zone == right_zone {
            true => self.plan.intra_zone_delay,
            false => self.plan.inter_zone_delay,
        };
        delay
            + self
                .generator
                .random_range(Duration::ZERO..=self.plan.max_jitter)
    }
}
