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

/// Most sections of which versions are known.
const FLOOR_LIMIT: usize = 256;

/// Versions seen, being fetched, and being announced.
#[derive(Debug, Default)]
pub(super) struct SpreadState {
    /// Highest accepted version of each section seen in any message or answer.
    pub(super) floors: BTreeMap<sections::SectionName, SectionFloor>,
    pub(super) transfers: BTreeMap<sections::SectionSlot, sections::SectionTransfer>,
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
}
