//! Spread of sections: heads are announced, values are pulled, digests find what was lost.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;

use kingcupfall_core::ids;
use kingcupfall_core::time;

use super::FleetEffect;
use super::FleetReducer;
use super::send;
use crate::messages;
use crate::sections;

/// Gateways that a new version is announced to at once.
const FIRST_FANOUT: usize = 3;

/// Wait before it is announced to all other peers, most of which then have it from elsewhere.
const SECOND_DELAY: Duration = Duration::from_millis(400);

/// Silence of a peer after which a version is asked of another.
const PULL_TIMEOUT: Duration = Duration::from_secs(1);

/// Most sections of which versions are known.
const FLOOR_LIMIT: usize = 256;

/// Versions seen, being fetched, and being announced.
#[derive(Debug, Default)]
pub(super) struct SpreadState {
    /// Highest version seen of each section in any message or answer.
    pub(super) floors: BTreeMap<sections::SectionName, SectionFloor>,
    transfers: BTreeMap<sections::SectionName, sections::SectionTransfer>,
    announcements: Vec<HeadAnnouncement>,
}

/// Highest version seen of a section.
#[derive(Debug, Clone, Copy)]
pub(super) struct SectionFloor {
    pub(super) head: sections::VersionHead,
    /// When the section was first heard of.
    pub(super) since: time::Timestamp,
}

/// A new version that some peers have not been told of.
#[derive(Debug)]
struct HeadAnnouncement {
    head: sections::SectionHead,
    told: BTreeSet<ids::LinkId>,
    due_at: time::Timestamp,
}

impl FleetReducer {
    pub(super) fn take_heads(
        &mut self,
        now: time::Timestamp,
        link: ids::LinkId,
        heads: Vec<sections::SectionHead>,
        effects: &mut Vec<FleetEffect>,
    ) {
        for head in heads {
            self.note_holder(link, &head);
            if !self.raise_floor(now, &head) || !self.is_wanted(&head) {
                continue;
            }

            let transfer = self
                .spread
                .transfers
                .entry(head.section.clone())
                .or_insert_with(|| sections::SectionTransfer::new(head.clone(), now));
            if head.head < transfer.wanted.head {
                continue;
            }
            if head.head > transfer.wanted.head {
                *transfer = sections::SectionTransfer::new(head.clone(), now);
            }
            transfer.add_source(link);
            self.ask_next(now, &head.section, effects);
        }
    }

    pub(super) fn answer_pull(
        &mut self,
        link: ids::LinkId,
        wish: &messages::SectionWish,
        effects: &mut Vec<FleetEffect>,
    ) {
        self.counters.pulls_answered += 1;
        match self.store.answer(&wish.wanted, wish.base) {
            sections::SectionAnswer::Patches(patches) => {
                for patch in patches {
                    send(effects, link, messages::FleetMessage::Patch(patch));
                }
            }
            sections::SectionAnswer::Manifest(manifest) => {
                send(effects, link, messages::FleetMessage::Manifest(manifest));
            }
            sections::SectionAnswer::Unavailable => {
                let head = wish.wanted.clone();
                send(effects, link, messages::FleetMessage::Unavailable(head));
            }
        }
    }

    pub(super) fn answer_parts(
        &self,
        link: ids::LinkId,
        wish: &messages::PartWish,
        effects: &mut Vec<FleetEffect>,
    ) {
        let parts = self.store.copy_parts(&wish.head, &wish.indexes);
        if parts.is_empty() {
            let head = wish.head.clone();
            send(effects, link, messages::FleetMessage::Unavailable(head));
        }
        for part in parts {
            send(effects, link, messages::FleetMessage::Part(part));
        }
    }

    pub(super) fn take_patch(
        &mut self,
        now: time::Timestamp,
        link: ids::LinkId,
        patch: &sections::SectionPatch,
        effects: &mut Vec<FleetEffect>,
    ) {
        let Some(transfer) = self.spread.transfers.get_mut(&patch.section) else {
            self.counters.stray_messages += 1;
            return;
        };
        if transfer.asked != Some(link) {
            self.counters.stray_messages += 1;
            return;
        }
        transfer.active_at = now;

        let held = self.store.value(&patch.section);
        if held.is_some_and(|value| value.head.head >= patch.head) {
            // It came twice, or another peer was faster.
            return;
        }
        let held = held.filter(|value| value.head.head == patch.base);
        let bytes = held.and_then(|value| patch.apply(&value.bytes));
        match bytes {
            Some(bytes) => {
                let section = patch.section.clone();
                let value = sections::SectionValue::new(section, patch.head.version, &bytes);
                self.offer(now, value, effects);
            }
            None => self.ask_other(now, &patch.section, effects),
        }
    }

    pub(super) fn take_manifest(
        &mut self,
        now: time::Timestamp,
        link: ids::LinkId,
        manifest: sections::SectionManifest,
        effects: &mut Vec<FleetEffect>,
    ) {
        let section = manifest.head.section.clone();
        self.raise_floor(now, &manifest.head);
        let known = self.store.known_parts(&section);
        let Some(transfer) = self.spread.transfers.get_mut(&section) else {
            self.counters.stray_messages += 1;
            return;
        };
        if transfer.asked != Some(link) {
            self.counters.stray_messages += 1;
            return;
        }

        transfer.active_at = now;
        let head = manifest.head.clone();
        let step = transfer.take_manifest(manifest, &known);
        self.follow_step(now, link, head, step, effects);
    }

    pub(super) fn take_part(
        &mut self,
        now: time::Timestamp,
        link: ids::LinkId,
        part: sections::SectionPart,
        effects: &mut Vec<FleetEffect>,
    ) {
        let head = part.head.clone();
        let Some(transfer) = self.spread.transfers.get_mut(&head.section) else {
            self.counters.stray_messages += 1;
            return;
        };
        if transfer.asked != Some(link) {
            self.counters.stray_messages += 1;
            return;
        }

        transfer.active_at = now;
        let step = transfer.take_part(part);
        self.follow_step(now, link, head, step, effects);
    }

    pub(super) fn take_unavailable(
        &mut self,
        now: time::Timestamp,
        link: ids::LinkId,
        head: &sections::SectionHead,
        effects: &mut Vec<FleetEffect>,
    ) {
        let transfer = self.spread.transfers.get(&head.section);
        if transfer.is_some_and(|transfer| transfer.asked == Some(link)) {
            self.ask_other(now, &head.section, effects);
        }
    }

    /// Puts a value in force unless the process has, or knows of, a newer one.
    ///
    /// A process that has no version of the section keeps an older one than the newest it knows
    /// of aside for a time, since the newest may yet arrive.
    pub(super) fn offer(
        &mut self,
        now: time::Timestamp,
        value: sections::SectionValue,
        effects: &mut Vec<FleetEffect>,
    ) {
        self.raise_floor(now, &value.head);
        let floor = self.spread.floors.get(&value.head.section);
        let is_below = floor.is_some_and(|floor| value.head.head < floor.head);
        let is_first = self.store.head(&value.head.section).is_none();
        if is_first && is_below {
            self.set_aside(value);
            return;
        }
        self.put_in_force(now, value, effects);
    }

    pub(super) fn put_in_force(
        &mut self,
        now: time::Timestamp,
        value: sections::SectionValue,
        effects: &mut Vec<FleetEffect>,
    ) {
        let head = value.head.clone();
        if !self.store.replace(value.clone()) {
            return;
        }
        self.counters.sections_changed += 1;
        effects.push(FleetEffect::Publish(value));

        let mut told = BTreeSet::new();
        if let Some(transfer) = self.spread.transfers.remove(&head.section) {
            told.extend(transfer.sources.iter().copied());
            told.extend(transfer.asked);
            if transfer.wanted.head > head.head {
                // A patch on the way to the wanted version; its successors follow.
                self.spread.transfers.insert(head.section.clone(), transfer);
            }
        }
        self.announce(now, head, told, effects);
    }

    /// Announces new versions to the peers that were left out at first.
    pub(super) fn finish_announcements(
        &mut self,
        now: time::Timestamp,
        effects: &mut Vec<FleetEffect>,
    ) {
        let announcements = std::mem::take(&mut self.spread.announcements);
        let (due, waiting): (Vec<_>, Vec<_>) = announcements
            .into_iter()
            .partition(|announcement| now >= announcement.due_at);
        self.spread.announcements = waiting;
        if due.is_empty() {
            return;
        }

        for link in self.select_links(|peer| peer.is_active) {
            let news = due.iter().filter(|entry| !entry.told.contains(&link));
            let heads: Vec<sections::SectionHead> = news.map(|entry| entry.head.clone()).collect();
            if !heads.is_empty() {
                send(effects, link, messages::FleetMessage::NewHeads(heads));
            }
        }
    }

    /// Asks other peers for versions whose peer has gone silent.
    pub(super) fn check_transfers(&mut self, now: time::Timestamp, effects: &mut Vec<FleetEffect>) {
        let late = self.spread.transfers.iter();
        let late: Vec<sections::SectionName> = late
            .filter(|(_, transfer)| now.since(transfer.active_at) >= PULL_TIMEOUT)
            .map(|(section, _)| section.clone())
            .collect();
        for section in late {
            if let Some(transfer) = self.spread.transfers.get_mut(&section) {
                transfer.postpone_source();
            }
            self.ask_next(now, &section, effects);
        }
    }

    /// Forgets a lost link as a source of versions.
    pub(super) fn forget_source(
        &mut self,
        now: time::Timestamp,
        link: ids::LinkId,
        effects: &mut Vec<FleetEffect>,
    ) {
        for transfer in self.spread.transfers.values_mut() {
            transfer.remove_source(link);
        }
        let idle = self.spread.transfers.iter();
        let idle: Vec<sections::SectionName> = idle
            .filter(|(_, transfer)| transfer.asked.is_none())
            .map(|(section, _)| section.clone())
            .collect();
        for section in idle {
            self.ask_next(now, &section, effects);
        }
    }

    pub(super) fn take_heartbeat(
        &mut self,
        now: time::Timestamp,
        link: ids::LinkId,
        heartbeat: messages::HeartbeatMessage,
        effects: &mut Vec<FleetEffect>,
    ) {
        let sections = self.store.digest();
        let suspects = self.suspects.digest();
        let Some(peer) = self.links.get_mut(&link) else {
            return;
        };

        // Changes on their way make digests differ for a moment; only a lasting difference counts.
        let is_lasting = peer.differing == Some(heartbeat);
        let has_other_sections = heartbeat.sections != sections;
        let has_other_suspects = peer.is_gossip() && heartbeat.suspects != suspects;
        let differs = has_other_sections || has_other_suspects;
        peer.differing = (differs && !is_lasting).then_some(heartbeat);
        if !is_lasting {
            return;
        }

        if has_other_sections {
            self.counters.repairs += 1;
            self.send_all_heads(link, effects);
        }
        if has_other_suspects {
            self.send_suspects(now, link, effects);
        }
    }

    pub(super) fn send_all_heads(&self, link: ids::LinkId, effects: &mut Vec<FleetEffect>) {
        let heads = self.store.heads();
        send(effects, link, messages::FleetMessage::AllHeads(heads));
    }

    /// Raises the floor of a section, and says whether the section is kept at all.
    pub(super) fn raise_floor(
        &mut self,
        now: time::Timestamp,
        head: &sections::SectionHead,
    ) -> bool {
        if let Some(floor) = self.spread.floors.get_mut(&head.section) {
            floor.head = floor.head.max(head.head);
            return true;
        }
        if self.spread.floors.len() >= FLOOR_LIMIT {
            return false;
        }

        let floor = SectionFloor {
            head: head.head,
            since: now,
        };
        self.spread.floors.insert(head.section.clone(), floor);
        true
    }

    fn is_wanted(&self, head: &sections::SectionHead) -> bool {
        let held = self.store.head(&head.section);
        held.is_none_or(|held| held < head.head)
    }

    /// Notes that a peer has a version, so that it need not be told.
    fn note_holder(&mut self, link: ids::LinkId, head: &sections::SectionHead) {
        for announcement in &mut self.spread.announcements {
            if announcement.head == *head {
                announcement.told.insert(link);
            }
        }
    }

    fn announce(
        &mut self,
        now: time::Timestamp,
        head: sections::SectionHead,
        mut told: BTreeSet<ids::LinkId>,
        effects: &mut Vec<FleetEffect>,
    ) {
        for link in self.random_peers(FIRST_FANOUT, None) {
            if told.insert(link) {
                let heads = vec![head.clone()];
                send(effects, link, messages::FleetMessage::NewHeads(heads));
            }
        }

        // An older version of the section need not be announced any more.
        self.spread
            .announcements
            .retain(|announcement| announcement.head.section != head.section);
        self.spread.announcements.push(HeadAnnouncement {
            head,
            told,
            due_at: now + SECOND_DELAY,
        });
    }

    fn follow_step(
        &mut self,
        now: time::Timestamp,
        link: ids::LinkId,
        head: sections::SectionHead,
        step: sections::TransferStep,
        effects: &mut Vec<FleetEffect>,
    ) {
        match step {
            sections::TransferStep::Ask(indexes) => {
                let wish = messages::PartWish { head, indexes };
                send(effects, link, messages::FleetMessage::PullParts(wish));
            }
            sections::TransferStep::Wait => {}
            sections::TransferStep::Complete(value) => {
                let section = value.head.section.clone();
                self.offer(now, value, effects);
                self.end_transfer(&section);
            }
            sections::TransferStep::Damaged => {
                self.counters.damaged_transfers += 1;
                if let Some(transfer) = self.spread.transfers.get_mut(&head.section) {
                    transfer.abandon_source();
                    transfer.add_source(link);
                }
                self.ask_next(now, &head.section, effects);
            }
        }
    }

    /// Ends a transfer whose version came in but could not be put in force yet.
    fn end_transfer(&mut self, section: &sections::SectionName) {
        if self.store.head(section).is_none() {
            self.spread.transfers.remove(section);
        }
    }

    fn ask_other(
        &mut self,
        now: time::Timestamp,
        section: &sections::SectionName,
        effects: &mut Vec<FleetEffect>,
    ) {
        if let Some(transfer) = self.spread.transfers.get_mut(section) {
            transfer.abandon_source();
        }
        self.ask_next(now, section, effects);
    }

    /// Asks the next holder of a wanted version, unless one is being asked.
    fn ask_next(
        &mut self,
        now: time::Timestamp,
        section: &sections::SectionName,
        effects: &mut Vec<FleetEffect>,
    ) {
        let Some(transfer) = self.spread.transfers.get_mut(section) else {
            return;
        };
        if transfer.asked.is_some() {
            return;
        }
        let Some(link) = transfer.sources.pop() else {
            // Digests will find another holder.
            self.spread.transfers.remove(section);
            return;
        };

        transfer.asked = Some(link);
        transfer.active_at = now;
        let wish = messages::SectionWish {
            wanted: transfer.wanted.clone(),
            base: self.store.head(section),
        };
        send(effects, link, messages::FleetMessage::Pull(wish));
    }
}
