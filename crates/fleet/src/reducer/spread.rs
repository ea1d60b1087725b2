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
    /// Highest accepted version of each section seen in any message or answer.
    pub(super) floors: BTreeMap<sections::SectionName, SectionFloor>,
    transfers: BTreeMap<sections::SectionSlot, sections::SectionTransfer>,
    /// Newest version of each section that was rejected here, though it may not be kept.
    pub(super) refused: BTreeMap<sections::SectionName, sections::VersionHead>,
    announcements: Vec<HeadAnnouncement>,
}

/// Highest accepted version seen of a section.
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

            let slot = head.slot.clone();
            let transfer = self.spread.transfers.entry(slot.clone());
            let transfer =
                transfer.or_insert_with(|| sections::SectionTransfer::new(head.clone(), now));
            if head.head < transfer.wanted.head {
                continue;
            }
            if head.head > transfer.wanted.head {
                *transfer = sections::SectionTransfer::new(head, now);
            }
            transfer.add_source(link);
            self.ask_next(now, &slot, effects);
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
        if !self.is_asked(link, &patch.slot) {
            self.counters.stray_messages += 1;
            return;
        }
        self.note_activity(now, &patch.slot);
        let section = patch.slot.section.clone();
        if !self.store.is_news(&section, patch.head) {
            // It came twice, or another peer was faster.
            return;
        }

        let base = self.store.find(&section, patch.base);
        match base.and_then(|value| patch.apply(&value.bytes)) {
            Some(bytes) => {
                let value = sections::SectionValue::new(section, patch.head.version, &bytes);
                self.offer(now, value, effects);
            }
            None => self.ask_other(now, &patch.slot, effects),
        }
    }

    pub(super) fn take_manifest(
        &mut self,
        now: time::Timestamp,
        link: ids::LinkId,
        manifest: sections::SectionManifest,
        effects: &mut Vec<FleetEffect>,
    ) {
        let head = manifest.head.clone();
        self.raise_floor(now, &head);
        if !self.is_asked(link, &head.slot) {
            self.counters.stray_messages += 1;
            return;
        }

        self.note_activity(now, &head.slot);
        let known = self.store.known_parts(&head.slot.section);
        if let Some(transfer) = self.spread.transfers.get_mut(&head.slot) {
            let step = transfer.take_manifest(manifest, &known);
            self.follow_step(now, link, head, step, effects);
        }
    }

    pub(super) fn take_part(
        &mut self,
        now: time::Timestamp,
        link: ids::LinkId,
        part: sections::SectionPart,
        effects: &mut Vec<FleetEffect>,
    ) {
        let head = part.head.clone();
        if !self.is_asked(link, &head.slot) {
            self.counters.stray_messages += 1;
            return;
        }

        self.note_activity(now, &head.slot);
        if let Some(transfer) = self.spread.transfers.get_mut(&head.slot) {
            let step = transfer.take_part(part);
            self.follow_step(now, link, head, step, effects);
        }
    }

    pub(super) fn take_unavailable(
        &mut self,
        now: time::Timestamp,
        link: ids::LinkId,
        head: &sections::SectionHead,
        effects: &mut Vec<FleetEffect>,
    ) {
        if self.is_asked(link, &head.slot) {
            self.ask_other(now, &head.slot, effects);
        }
    }

    /// Takes a version unless the process has, or knows of, a newer one.
    ///
    /// A process that has no version of the section keeps an older one than the newest it knows
    /// of aside for a time, since the newest may yet arrive.
    pub(super) fn offer(
        &mut self,
        now: time::Timestamp,
        value: sections::SectionValue,
        effects: &mut Vec<FleetEffect>,
    ) {
        let floor = self.spread.floors.get(&value.section);
        let is_below = floor.is_some_and(|floor| value.head < floor.head);
        if is_below && !self.has_accepted(&value.section) {
            self.set_aside(value);
            return;
        }
        self.check_value(now, value, effects);
    }

    /// Checks a version and, when nothing is wrong with it, puts it in force.
    pub(super) fn check_value(
        &mut self,
        now: time::Timestamp,
        value: sections::SectionValue,
        effects: &mut Vec<FleetEffect>,
    ) {
        let section = value.section.clone();
        let is_refused = self.spread.refused.get(&section) == Some(&value.head);
        if is_refused || !self.store.is_news(&section, value.head) {
            return;
        }

        let verdict = self.judge.judge(&value);
        let head = sections::SectionHead {
            slot: sections::SectionSlot { section, verdict },
            head: value.head,
        };
        self.raise_floor(now, &head);
        if verdict == sections::SectionVerdict::Rejected {
            let section = head.slot.section.clone();
            self.spread.refused.insert(section, value.head);
        }
        if !self.store.replace(verdict, value.clone()) {
            return;
        }
        effects.push(match verdict {
            sections::SectionVerdict::Accepted => FleetEffect::Publish(value),
            sections::SectionVerdict::Rejected => FleetEffect::Reject(value),
        });
        self.counters.sections_changed += 1;

        let told = self.close_transfers(&head);
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
        let late: Vec<sections::SectionSlot> = late
            .filter(|(_, transfer)| now.since(transfer.active_at) >= PULL_TIMEOUT)
            .map(|(slot, _)| slot.clone())
            .collect();
        for slot in late {
            if let Some(transfer) = self.spread.transfers.get_mut(&slot) {
                transfer.postpone_source();
            }
            self.ask_next(now, &slot, effects);
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
        let idle: Vec<sections::SectionSlot> = idle
            .filter(|(_, transfer)| transfer.asked.is_none())
            .map(|(slot, _)| slot.clone())
            .collect();
        for slot in idle {
            self.ask_next(now, &slot, effects);
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

    /// Raises the floor of a section when the version was accepted, and says whether the section
    /// is kept at all.
    pub(super) fn raise_floor(
        &mut self,
        now: time::Timestamp,
        head: &sections::SectionHead,
    ) -> bool {
        if head.slot.verdict == sections::SectionVerdict::Rejected {
            return true;
        }
        let section = &head.slot.section;
        if let Some(floor) = self.spread.floors.get_mut(section) {
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
        self.spread.floors.insert(section.clone(), floor);
        true
    }

    pub(super) fn has_accepted(&self, section: &sections::SectionName) -> bool {
        let verdict = sections::SectionVerdict::Accepted;
        self.store.head(section, verdict).is_some()
    }

    /// Says whether a version that a peer keeps is of use here.
    fn is_wanted(&self, head: &sections::SectionHead) -> bool {
        let section = &head.slot.section;
        let is_refused = self.spread.refused.get(section) == Some(&head.head);
        if is_refused || !self.store.is_news(section, head.head) {
            return false;
        }

        match head.slot.verdict {
            sections::SectionVerdict::Accepted => true,
            sections::SectionVerdict::Rejected => {
                self.store.head(section, head.slot.verdict) < Some(head.head)
            }
        }
    }

    fn is_asked(&self, link: ids::LinkId, slot: &sections::SectionSlot) -> bool {
        let transfer = self.spread.transfers.get(slot);
        transfer.is_some_and(|transfer| transfer.asked == Some(link))
    }

    fn note_activity(&mut self, now: time::Timestamp, slot: &sections::SectionSlot) {
        if let Some(transfer) = self.spread.transfers.get_mut(slot) {
            transfer.active_at = now;
        }
    }

    /// Ends the transfers that a version has satisfied, and returns the peers that have it.
    fn close_transfers(&mut self, head: &sections::SectionHead) -> BTreeSet<ids::LinkId> {
        let mut told = BTreeSet::new();
        self.spread.transfers.retain(|slot, transfer| {
            let is_older = transfer.wanted.head <= head.head;
            let is_done = slot.section == head.slot.section && is_older;
            if is_done {
                told.extend(transfer.sources.iter().copied());
                told.extend(transfer.asked);
            }
            !is_done
        });
        told
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
            .retain(|announcement| announcement.head.slot != head.slot);
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
                // Whatever the check finds, this version need not be fetched again.
                self.spread.transfers.remove(&head.slot);
                self.offer(now, value, effects);
            }
            sections::TransferStep::Damaged => {
                self.counters.damaged_transfers += 1;
                if let Some(transfer) = self.spread.transfers.get_mut(&head.slot) {
                    transfer.abandon_source();
                    transfer.add_source(link);
                }
                self.ask_next(now, &head.slot, effects);
            }
        }
    }

    fn ask_other(
        &mut self,
        now: time::Timestamp,
        slot: &sections::SectionSlot,
        effects: &mut Vec<FleetEffect>,
    ) {
        if let Some(transfer) = self.spread.transfers.get_mut(slot) {
            transfer.abandon_source();
        }
        self.ask_next(now, slot, effects);
    }

    /// Asks the next holder of a wanted version, unless one is being asked.
    fn ask_next(
        &mut self,
        now: time::Timestamp,
        slot: &sections::SectionSlot,
        effects: &mut Vec<FleetEffect>,
    ) {
        let Some(transfer) = self.spread.transfers.get_mut(slot) else {
            return;
        };
        if transfer.asked.is_some() {
            return;
        }
        let Some(link) = transfer.sources.pop() else {
            // Digests will find another holder.
            self.spread.transfers.remove(slot);
            return;
        };

        transfer.asked = Some(link);
        transfer.active_at = now;
        let wish = messages::SectionWish {
            wanted: transfer.wanted.clone(),
            base: self.store.base(slot),
        };
        send(effects, link, messages::FleetMessage::Pull(wish));
    }
}
