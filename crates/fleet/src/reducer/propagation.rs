//! Propagation of sections: new heads are announced, values are pulled, and digests reveal lost
//! announcements.

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

/// Number of gateways to which a new version is announced at once.
const INITIAL_FANOUT: usize = 3;

/// Delay before a version is announced to the remaining peers, most of which have received it from
/// others by then.
const REMAINING_PEERS_DELAY: Duration = Duration::from_millis(400);

/// Maximum number of sections whose newest version is tracked.
const MAX_TRACKED_SECTIONS: usize = 256;

/// State of versions that were seen, are being fetched, or are being announced.
#[derive(Debug, Default)]
pub(super) struct PropagationState {
    /// Newest accepted version of each section seen in any message or response.
    pub(super) newest_versions: BTreeMap<sections::SectionName, NewestVersion>,
    pub(super) transfers: BTreeMap<sections::SectionSlot, sections::SectionTransfer>,
    /// Last version of each section that was rejected here, even if the store does not keep it.
    pub(super) rejected: BTreeMap<sections::SectionName, sections::VersionHead>,
    announcements: Vec<HeadAnnouncement>,
}

/// Newest accepted version that was seen of a section.
#[derive(Debug, Clone, Copy)]
pub(super) struct NewestVersion {
    pub(super) head: sections::VersionHead,
    /// Time at which the section was first seen.
    pub(super) first_seen_at: time::Timestamp,
}

/// A new version that is not announced to all peers yet.
#[derive(Debug)]
struct HeadAnnouncement {
    head: sections::SectionHead,
    /// Links on which the version was announced, or whose peer is known to hold it.
    notified: BTreeSet<ids::LinkId>,
    due_at: time::Timestamp,
}

impl FleetReducer {
    pub(super) fn handle_heads(
        &mut self,
        now: time::Timestamp,
        link: ids::LinkId,
        heads: Vec<sections::SectionHead>,
        effects: &mut Vec<FleetEffect>,
    ) {
        for head in heads {
            self.record_holder(link, &head);
            if !self.raise_newest_version(now, &head) || !self.is_needed(&head) {
                continue;
            }

            let slot = head.slot.clone();
            let transfer = self.propagation.transfers.entry(slot.clone());
            let transfer =
                transfer.or_insert_with(|| sections::SectionTransfer::new(head.clone(), now));
            if head.head < transfer.requested.head {
                continue;
            }
            if head.head > transfer.requested.head {
                *transfer = sections::SectionTransfer::new(head, now);
            }
            transfer.add_source(link);
            self.request_from_next(now, &slot, effects);
        }
    }

    /// Validates a version, unless a newer one is known.
    ///
    /// If the process has no version of the section, it defers a version older than the newest
    /// known one for a time, as the newest may still arrive.
    pub(super) fn offer_value(
        &mut self,
        now: time::Timestamp,
        value: sections::SectionValue,
        effects: &mut Vec<FleetEffect>,
    ) {
        let newest = self.propagation.newest_versions.get(&value.section);
        let is_older_than_known = newest.is_some_and(|newest| value.head < newest.head);
        if is_older_than_known && !self.has_accepted(&value.section) {
            self.defer_value(value);
            return;
        }
        self.validate_value(now, value, effects);
    }

    /// Validates a version, stores it, and announces it to peers. Does nothing if the version was
    /// rejected before or is not newer than the accepted one.
    pub(super) fn validate_value(
        &mut self,
        now: time::Timestamp,
        value: sections::SectionValue,
        effects: &mut Vec<FleetEffect>,
    ) {
        let section = value.section.clone();
        let is_already_rejected = self.propagation.rejected.get(&section) == Some(&value.head);
        if is_already_rejected || !self.store.is_update(&section, value.head) {
            return;
        }

        let verdict = self.validator.validate(&value);
        let head = sections::SectionHead {
            slot: sections::SectionSlot { section, verdict },
            head: value.head,
        };
        self.raise_newest_version(now, &head);
        if verdict == sections::SectionVerdict::Rejected {
            let section = head.slot.section.clone();
            self.propagation.rejected.insert(section, value.head);
        }
        if !self.store.replace(verdict, value.clone()) {
            return;
        }
        effects.push(match verdict {
            sections::SectionVerdict::Accepted => FleetEffect::ActivateSection(value),
            sections::SectionVerdict::Rejected => FleetEffect::ReportRejected(value),
        });
        self.counters.sections_changed += 1;

        let notified = self.remove_satisfied_transfers(&head);
        self.announce(now, head, notified, effects);
    }

    /// Announces new versions to the peers that were not notified at first.
    pub(super) fn send_due_announcements(
        &mut self,
        now: time::Timestamp,
        effects: &mut Vec<FleetEffect>,
    ) {
        let announcements = std::mem::take(&mut self.propagation.announcements);
        let (due, waiting): (Vec<_>, Vec<_>) = announcements
            .into_iter()
            .partition(|announcement| now >= announcement.due_at);
        self.propagation.announcements = waiting;
        if due.is_empty() {
            return;
        }

        for link in self.select_links(|peer| peer.is_active) {
            let updates = due.iter().filter(|entry| !entry.notified.contains(&link));
            let heads: Vec<sections::SectionHead> =
                updates.map(|entry| entry.head.clone()).collect();
            if !heads.is_empty() {
                send(effects, link, messages::FleetMessage::NewHeads(heads));
            }
        }
    }

    pub(super) fn handle_heartbeat(
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

        // Digests differ for a moment while a change propagates, so only a difference that a second
        // heartbeat confirms is repaired.
        let is_lasting = peer.differing_heartbeat == Some(heartbeat);
        let sections_differ = heartbeat.sections != sections;
        let suspects_differ = peer.is_gossip_link() && heartbeat.suspects != suspects;
        let differs = sections_differ || suspects_differ;
        peer.differing_heartbeat = (differs && !is_lasting).then_some(heartbeat);
        if !is_lasting {
            return;
        }

        if sections_differ {
            self.counters.repairs += 1;
            self.send_all_heads(link, effects);
        }
        if suspects_differ {
            self.send_suspects(now, link, effects);
        }
    }

    pub(super) fn send_all_heads(&self, link: ids::LinkId, effects: &mut Vec<FleetEffect>) {
        let heads = self.store.heads();
        send(effects, link, messages::FleetMessage::AllHeads(heads));
    }

    /// Raises the newest known version of a section to `head` if that was accepted. Returns false
    /// if the section is new and no more sections can be tracked.
    pub(super) fn raise_newest_version(
        &mut self,
        now: time::Timestamp,
        head: &sections::SectionHead,
    ) -> bool {
        if head.slot.verdict == sections::SectionVerdict::Rejected {
            return true;
        }
        let section = &head.slot.section;
        if let Some(newest) = self.propagation.newest_versions.get_mut(section) {
            newest.head = newest.head.max(head.head);
            return true;
        }
        if self.propagation.newest_versions.len() >= MAX_TRACKED_SECTIONS {
            return false;
        }

        let newest = NewestVersion {
            head: head.head,
            first_seen_at: now,
        };
        self.propagation
            .newest_versions
            .insert(section.clone(), newest);
        true
    }

    pub(super) fn has_accepted(&self, section: &sections::SectionName) -> bool {
        let verdict = sections::SectionVerdict::Accepted;
        self.store.head(section, verdict).is_some()
    }

    /// Returns true if a version that a peer holds is to be fetched.
    fn is_needed(&self, head: &sections::SectionHead) -> bool {
        let section = &head.slot.section;
        let is_already_rejected = self.propagation.rejected.get(section) == Some(&head.head);
        if is_already_rejected || !self.store.is_update(section, head.head) {
            return false;
        }

        match head.slot.verdict {
            sections::SectionVerdict::Accepted => true,
            sections::SectionVerdict::Rejected => {
                self.store.head(section, head.slot.verdict) < Some(head.head)
            }
        }
    }

    /// Records that a peer holds a version, so that it need not be notified.
    fn record_holder(&mut self, link: ids::LinkId, head: &sections::SectionHead) {
        for announcement in &mut self.propagation.announcements {
            if announcement.head == *head {
                announcement.notified.insert(link);
            }
        }
    }

    fn announce(
        &mut self,
        now: time::Timestamp,
        head: sections::SectionHead,
        mut notified: BTreeSet<ids::LinkId>,
        effects: &mut Vec<FleetEffect>,
    ) {
        for link in self.select_random_peers(INITIAL_FANOUT, None) {
            if notified.insert(link) {
                let heads = vec![head.clone()];
                send(effects, link, messages::FleetMessage::NewHeads(heads));
            }
        }

        // The new version supersedes an older one that is still to be announced.
        self.propagation
            .announcements
            .retain(|announcement| announcement.head.slot != head.slot);
        self.propagation.announcements.push(HeadAnnouncement {
            head,
            notified,
            due_at: now + REMAINING_PEERS_DELAY,
        });
    }
}
