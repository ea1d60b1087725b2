//! Links between simulated processes, and their calls at the platform.

use std::collections::BTreeMap;
use std::time::Duration;
use std::time::Instant;

use kingcupfall_core::ids;
use kingcupfall_core::measures;
use rand::Rng;
use rand::seq::IndexedRandom;

use super::FleetSimulation;
use super::LossKind;
use super::NodeIndex;
use super::Occurrence;
use super::PLATFORM_DELAY;
use super::ServiceMode;
use super::WATCH_TIME;
use super::WaitingWatch;
use crate::messages;
use crate::reducer;

/// Time after which a connection to a lost VM fails.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(3);

/// Wait before an agent that has lost a link gets another.
const RELINK_DELAY: Duration = Duration::from_secs(1);

/// All links; both ends use the same number.
#[derive(Debug, Default)]
pub(super) struct LinkTable {
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
        usage.work += started.elapsed();
        usage.sent_bytes += bytes.len() as u64;
        usage.sent_messages += 1;

        let Some(other) = self.links.other_end(link, index) else {
            return;
        };
        let is_lost = self.plan.loss > 0.0 && self.generator.random_bool(self.plan.loss);
        if is_lost || !self.can_reach(index, other) {
            return;
        }
        let is_doubled =
            self.plan.duplication > 0.0 && self.generator.random_bool(self.plan.duplication);
        let copies = if is_doubled { 2 } else { 1 };
        for _ in 0..copies {
            let event = reducer::FleetEvent::MessageReceived {
                link,
                message: decoded.clone(),
            };
            let delay = self.draw_delay(index, other);
            let size = bytes.len() as u64;
            self.schedule(delay, Occurrence::Arrival(other, event, size));
        }
    }

    pub(super) fn close_link(&mut self, index: NodeIndex, link: ids::LinkId) {
        let Some(other) = self.links.other_end(link, index) else {
            return;
        };
        self.links.ends.remove(&link);
        if self.can_reach(index, other) {
            let event = reducer::FleetEvent::LinkClosed { link };
            let delay = self.draw_delay(index, other);
            self.schedule(delay, Occurrence::Event(other, event));
            self.relink_later(other);
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
            self.schedule(Duration::ZERO, Occurrence::Event(agent, event));
            self.relink_later(agent);
        }
    }

    pub(super) fn try_connect(&mut self, index: NodeIndex, vm: &ids::VmName) {
        let other = self.vms.get(vm).copied();
        let reachable =
            other.filter(|other| self.nodes[other.0].is_alive() && self.can_reach(index, *other));
        if let Some(other) = reachable {
            let kind = reducer::LinkKind::Outgoing { vm: vm.clone() };
            self.open(index, kind, other, reducer::LinkKind::Incoming);
            return;
        }

        let loss = other.and_then(|other| self.nodes[other.0].loss);
        let delay = match loss {
            Some(LossKind::Process) => self.plan.remote_delay,
            Some(LossKind::Vm) | None => CONNECT_TIMEOUT,
        };
        let event = reducer::FleetEvent::ConnectFailed { vm: vm.clone() };
        self.schedule(delay, Occurrence::Event(index, event));
    }

    /// Links an agent to a random gateway, of its own zone when there is one.
    pub(super) fn relink_agent(&mut self, index: NodeIndex) {
        if !self.nodes[index.0].is_alive() {
            return;
        }
        let zone = self.nodes[index.0].identity.zone.clone();
        let near = self.select(|node| node.is_gateway() && node.identity.zone == zone);
        let gateways = match near.is_empty() {
            true => self.select(super::node::SimulationNode::is_gateway),
            false => near,
        };

        let chosen = gateways.choose(&mut self.generator).copied();
        match chosen.filter(|gateway| self.can_reach(index, *gateway)) {
            Some(gateway) => self.open(
                gateway,
                reducer::LinkKind::Agent,
                index,
                reducer::LinkKind::Feed,
            ),
            None => self.schedule(RELINK_DELAY, Occurrence::Relink(index)),
        }
    }

    pub(super) fn call_service(&mut self, index: NodeIndex, after: reducer::ServiceRevision) {
        self.service.count_call(self.now);
        let mode = self.service_mode(index);
        if mode == ServiceMode::Down {
            let event = reducer::FleetEvent::SectionReadFailed;
            self.schedule(PLATFORM_DELAY, Occurrence::Event(index, event));
            return;
        }
        if let Some(reading) = self.service.read(mode, after) {
            self.answer(index, reading);
            return;
        }

        let number = self.next_number;
        self.watches.push(WaitingWatch {
            node: index,
            after,
            number,
        });
        self.schedule(WATCH_TIME, Occurrence::EndWatch(index, number));
    }

    pub(super) fn wake_watches(&mut self) {
        let watches = std::mem::take(&mut self.watches);
        for watch in watches {
            let mode = self.service_mode(watch.node);
            if mode == ServiceMode::Down {
                let event = reducer::FleetEvent::SectionReadFailed;
                self.schedule(PLATFORM_DELAY, Occurrence::Event(watch.node, event));
                continue;
            }
            match self.service.read(mode, watch.after) {
                Some(reading) => self.answer(watch.node, reading),
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

    pub(super) fn read_vms(&mut self, index: NodeIndex) {
        let lag = self.plan.list_lag.as_micros();
        let lag = u64::try_from(lag).unwrap_or(u64::MAX);
        let moment = self.now.as_micros().checked_sub(lag);
        let moment = moment.map(kingcupfall_core::time::Timestamp::from_micros);
        let listed = self.nodes.iter().filter(|node| node.is_listed(moment));

        let mut listing = reducer::VmListing {
            gateways: Vec::new(),
            leaving: Vec::new(),
            size: measures::ByteSize::ZERO,
        };
        for node in listed {
            listing.size += measures::ByteSize::new(self.plan.list_entry_bytes);
            if node.is_leaving {
                listing.leaving.push(node.identity.vm.clone());
            } else if node.is_gateway() {
                listing.gateways.push(node.seed());
            }
        }
        self.nodes[index.0].usage.platform_bytes += listing.size.get();
        let event = reducer::FleetEvent::VmListRead(listing);
        self.schedule(PLATFORM_DELAY, Occurrence::Event(index, event));
    }

    fn answer(&mut self, index: NodeIndex, reading: reducer::ServiceReading) {
        let sizes = reading
            .sections
            .iter()
            .map(|value| value.bytes.len() as u64);
        self.nodes[index.0].usage.platform_bytes += sizes.sum::<u64>();
        let event = reducer::FleetEvent::SectionsRead(reading);
        self.schedule(PLATFORM_DELAY, Occurrence::Event(index, event));
    }

    fn open(
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

    fn relink_later(&mut self, index: NodeIndex) {
        if !self.nodes[index.0].is_gateway() {
            self.schedule(RELINK_DELAY, Occurrence::Relink(index));
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
        let is_cut = self.cut_zones.contains(left_zone) != self.cut_zones.contains(right_zone);
        !is_cut && self.nodes[right.0].is_alive()
    }

    fn draw_delay(&mut self, left: NodeIndex, right: NodeIndex) -> Duration {
        let left_zone = &self.nodes[left.0].identity.zone;
        let right_zone = &self.nodes[right.0].identity.zone;
        let delay = match left_zone == right_zone {
            true => self.plan.zone_delay,
            false => self.plan.remote_delay,
        };
        delay
            + self
                .generator
                .random_range(Duration::ZERO..=self.plan.jitter)
    }
}
