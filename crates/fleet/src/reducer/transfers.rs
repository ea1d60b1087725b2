//! Transfers of versions of sections: fetching them from peers and replying to peers that fetch.

use std::collections::BTreeSet;
use std::time::Duration;

use kingcupfall_core::ids;
use kingcupfall_core::time;

use super::FleetEffect;
use super::FleetReducer;
use super::send;
use crate::messages;
use crate::sections;

/// Time without progress after which a version is requested from another peer.
const PULL_TIMEOUT: Duration = Duration::from_secs(1);

impl FleetReducer {
    pub(super) fn handle_pull(
        &mut self,
        link: ids::LinkId,
        request: &messages::SectionRequest,
        effects: &mut Vec<FleetEffect>,
    ) {
        self.counters.pull_replies += 1;
        match self.store.build_reply(&request.requested, request.base) {
            sections::SectionReply::Patches(patches) => {
                for patch in patches {
                    send(effects, link, messages::FleetMessage::Patch(patch));
                }
            }
            sections::SectionReply::Manifest(manifest) => {
                send(effects, link, messages::FleetMessage::Manifest(manifest));
            }
            sections::SectionReply::Unavailable => {
                let head = request.requested.clone();
                send(effects, link, messages::FleetMessage::Unavailable(head));
            }
        }
    }

    pub(super) fn handle_pull_parts(
        &self,
        link: ids::LinkId,
        request: &messages::PartRequest,
        effects: &mut Vec<FleetEffect>,
    ) {
        let parts = self.store.copy_parts(&request.head, &request.indexes);
        if parts.is_empty() {
            let head = request.head.clone();
            send(effects, link, messages::FleetMessage::Unavailable(head));
        }
        for part in parts {
            send(effects, link, messages::FleetMessage::Part(part));
        }
    }

    pub(super) fn handle_patch(
        &mut self,
        now: time::Timestamp,
        link: ids::LinkId,
        patch: &sections::SectionPatch,
        effects: &mut Vec<FleetEffect>,
    ) {
        if !self.is_requested_from(link, &patch.slot) {
            self.counters.unexpected_messages += 1;
            return;
        }
        self.record_activity(now, &patch.slot);
        let section = patch.slot.section.clone();
        if !self.store.is_update(&section, patch.head) {
            // The patch arrived twice, or another peer was faster.
            return;
        }

        let base = self.store.find(&section, patch.base);
        match base.and_then(|value| patch.apply(&value.bytes)) {
            Some(bytes) => {
                let value = sections::SectionValue::new(section, patch.head.version, &bytes);
                self.offer_value(now, value, effects);
            }
            None => self.request_from_other(now, &patch.slot, effects),
        }
    }

    pub(super) fn handle_manifest(
        &mut self,
        now: time::Timestamp,
        link: ids::LinkId,
        manifest: sections::SectionManifest,
        effects: &mut Vec<FleetEffect>,
    ) {
        let head = manifest.head.clone();
        self.raise_newest_version(now, &head);
        if !self.is_requested_from(link, &head.slot) {
            self.counters.unexpected_messages += 1;
            return;
        }

        self.record_activity(now, &head.slot);
        let known = self.store.known_parts(&head.slot.section);
        if let Some(transfer) = self.propagation.transfers.get_mut(&head.slot) {
            let step = transfer.handle_manifest(manifest, &known);
            self.execute_step(now, link, head, step, effects);
        }
    }

    pub(super) fn handle_part(
        &mut self,
        now: time::Timestamp,
        link: ids::LinkId,
        part: sections::SectionPart,
        effects: &mut Vec<FleetEffect>,
    ) {
        let head = part.head.clone();
        if !self.is_requested_from(link, &head.slot) {
            self.counters.unexpected_messages += 1;
            return;
        }

        self.record_activity(now, &head.slot);
        if let Some(transfer) = self.propagation.transfers.get_mut(&head.slot) {
            let step = transfer.handle_part(part);
            self.execute_step(now, link, head, step, effects);
        }
    }

    pub(super) fn handle_unavailable(
        &mut self,
        now: time::Timestamp,
        link: ids::LinkId,
        head: &sections::SectionHead,
        effects: &mut Vec<FleetEffect>,
    ) {
        if self.is_requested_from(link, &head.slot) {
            self.request_from_other(now, &head.slot, effects);
        }
    }

    /// Requests versions from other peers if the current peer has been silent.
    pub(super) fn retry_stalled_transfers(
        &mut self,
        now: time::Timestamp,
        effects: &mut Vec<FleetEffect>,
    ) {
        let stalled = self.propagation.transfers.iter();
        let stalled: Vec<sections::SectionSlot> = stalled
            .filter(|(_, transfer)| now.since(transfer.active_at) >= PULL_TIMEOUT)
            .map(|(slot, _)| slot.clone())
            .collect();
        for slot in stalled {
            if let Some(transfer) = self.propagation.transfers.get_mut(&slot) {
                transfer.postpone_source();
            }
            self.request_from_next(now, &slot, effects);
        }
    }

    /// Removes a lost link as a source of versions.
    pub(super) fn remove_source_link(
        &mut self,
        now: time::Timestamp,
        link: ids::LinkId,
        effects: &mut Vec<FleetEffect>,
    ) {
        for transfer in self.propagation.transfers.values_mut() {
            transfer.remove_source(link);
        }
        let idle = self.propagation.transfers.iter();
        let idle: Vec<sections::SectionSlot> = idle
            .filter(|(_, transfer)| transfer.current_source.is_none())
            .map(|(slot, _)| slot.clone())
            .collect();
        for slot in idle {
            self.request_from_next(now, &slot, effects);
        }
    }

    /// Removes the transfers that a version makes unnecessary, and returns the peers that hold it.
    pub(super) fn remove_satisfied_transfers(
        &mut self,
        head: &sections::SectionHead,
    ) -> BTreeSet<ids::LinkId> {
        let mut notified = BTreeSet::new();
        self.propagation.transfers.retain(|slot, transfer| {
            let is_older = transfer.requested.head <= head.head;
            let is_done = slot.section == head.slot.section && is_older;
            if is_done {
                notified.extend(transfer.sources.iter().copied());
                notified.extend(transfer.current_source);
            }
            !is_done
        });
        notified
    }

    /// Requests a version from its next source, unless a request is pending. Removes the transfer
    /// if it has no sources.
    pub(super) fn request_from_next(
        &mut self,
        now: time::Timestamp,
        slot: &sections::SectionSlot,
        effects: &mut Vec<FleetEffect>,
    ) {
        let Some(transfer) = self.propagation.transfers.get_mut(slot) else {
            return;
        };
        if transfer.current_source.is_some() {
            return;
        }
        let Some(link) = transfer.sources.pop() else {
            // If the version is still missing here, a difference of digests leads to another
            // source.
            self.propagation.transfers.remove(slot);
            return;
        };

        transfer.current_source = Some(link);
        transfer.active_at = now;
        let request = messages::SectionRequest {
            requested: transfer.requested.clone(),
            base: self.store.patch_base(slot),
        };
        send(effects, link, messages::FleetMessage::Pull(request));
    }

    fn is_requested_from(&self, link: ids::LinkId, slot: &sections::SectionSlot) -> bool {
        let transfer = self.propagation.transfers.get(slot);
        transfer.is_some_and(|transfer| transfer.current_source == Some(link))
    }

    fn record_activity(&mut self, now: time::Timestamp, slot: &sections::SectionSlot) {
        if let Some(transfer) = self.propagation.transfers.get_mut(slot) {
            transfer.active_at = now;
        }
    }

    fn execute_step(
        &mut self,
        now: time::Timestamp,
        link: ids::LinkId,
        head: sections::SectionHead,
        step: sections::TransferStep,
        effects: &mut Vec<FleetEffect>,
    ) {
        match step {
            sections::TransferStep::Request(indexes) => {
                let request = messages::PartRequest { head, indexes };
                send(effects, link, messages::FleetMessage::PullParts(request));
            }
            sections::TransferStep::Wait => {}
            sections::TransferStep::Complete(value) => {
                // The version need not be fetched again, whatever its validation finds.
                self.propagation.transfers.remove(&head.slot);
                self.offer_value(now, value, effects);
            }
            sections::TransferStep::Damaged => {
                self.counters.damaged_transfers += 1;
                if let Some(transfer) = self.propagation.transfers.get_mut(&head.slot) {
                    transfer.abandon_source();
                    transfer.add_source(link);
                }
                self.request_from_next(now, &head.slot, effects);
            }
        }
    }

    fn request_from_other(
        &mut self,
        now: time::Timestamp,
        slot: &sections::SectionSlot,
        effects: &mut Vec<FleetEffect>,
    ) {
        if let Some(transfer) = self.propagation.transfers.get_mut(slot) {
            transfer.abandon_source();
        }
        self.request_from_next(now, slot, effects);
    }
}
