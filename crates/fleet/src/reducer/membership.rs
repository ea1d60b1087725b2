//! Records of gateways: merging, suspicion, refutation and gossip.

use std::collections::BTreeMap;

use kingcupfall_core::ids;
use kingcupfall_core::time;
use rand::seq::IteratorRandom;

use super::FleetEffect;
use super::FleetReducer;
use super::FleetRole;
use super::send;
use crate::members;
use crate::messages;

/// Links that a record is passed on to by each gateway that learns it.
const RECORD_FANOUT: usize = 4;

/// Most records in one message of news, so that the loss of a zone makes no burst.
const NEWS_LIMIT: usize = 32;

/// Records sent to a new peer, and to a random one now and then.
const SAMPLE_SIZE: usize = 16;

/// Records that wait to be passed on.
#[derive(Debug, Default)]
pub(super) struct MemberNews {
    records: BTreeMap<ids::VmName, members::MemberRecord>,
}

impl FleetReducer {
    pub(super) fn take_members(
        &mut self,
        now: time::Timestamp,
        link: ids::LinkId,
        records: Vec<members::MemberRecord>,
        effects: &mut Vec<FleetEffect>,
    ) {
        if self.role == FleetRole::Agent {
            self.counters.stray_messages += 1;
            return;
        }

        for record in records {
            if record.vm == self.own.vm {
                self.refute(&record);
                continue;
            }
            let vm = record.vm.clone();
            match self.members.merge(now, record.clone()) {
                members::MemberChange::Learned => {
                    self.news.records.insert(vm, record);
                }
                members::MemberChange::Ignored => self.correct(link, &record, effects),
            }
        }
    }

    /// Marks a gateway as suspect and lets the zone know.
    pub(super) fn suspect(&mut self, now: time::Timestamp, vm: &ids::VmName) {
        if let Some(record) = self.members.suspect(now, vm) {
            self.counters.suspicions += 1;
            self.reader.forget_rank();
            self.news.records.insert(vm.clone(), record);
        }
    }

    /// Leaves: peers stop counting on this gateway at once.
    pub(super) fn leave(&mut self) {
        if self.own.state == members::MemberState::Leaving {
            return;
        }
        self.own.state = members::MemberState::Leaving;
        self.announce_self(self.own.number);
    }

    /// Passes on what was learned since the last tick.
    pub(super) fn spread_news(&mut self, effects: &mut Vec<FleetEffect>) {
        if self.news.records.is_empty() {
            return;
        }
        let links = self.random_peers(RECORD_FANOUT, None);
        if links.is_empty() {
            return;
        }

        let mut records = Vec::new();
        while records.len() < NEWS_LIMIT
            && let Some((_, record)) = self.news.records.pop_first()
        {
            records.push(record);
        }
        for link in links {
            let message = messages::FleetMessage::Members(records.clone());
            send(effects, link, message);
        }
    }

    /// Sends a random sample of the zone's records, the own one among them, to a random peer.
    pub(super) fn exchange_members(&mut self, effects: &mut Vec<FleetEffect>) {
        for link in self.random_peers(1, None) {
            self.send_sample(link, effects);
        }
    }

    pub(super) fn send_sample(&mut self, link: ids::LinkId, effects: &mut Vec<FleetEffect>) {
        let zone = &self.own.zone;
        let known = self.members.records().filter(|record| record.zone == *zone);
        let mut records: Vec<members::MemberRecord> = known
            .choose_multiple(&mut self.generator, SAMPLE_SIZE)
            .into_iter()
            .cloned()
            .collect();

        records.push(self.own.clone());
        send(effects, link, messages::FleetMessage::Members(records));
    }

    /// Answers a record of this VM that is of another life, or says that this one is lost.
    fn refute(&mut self, record: &members::MemberRecord) {
        let is_older = record.number < self.own.number;
        if is_older || *record == self.own {
            return;
        }
        self.counters.refutations += 1;
        self.announce_self(record.number);
    }

    fn announce_self(&mut self, highest: u64) {
        self.own.number = highest.saturating_add(1);
        self.news
            .records
            .insert(self.own.vm.clone(), self.own.clone());
        self.reader.forget_rank();
    }

    /// Tells a peer whose record is old, such as one that was paused.
    fn correct(
        &self,
        link: ids::LinkId,
        record: &members::MemberRecord,
        effects: &mut Vec<FleetEffect>,
    ) {
        let Some(known) = self.members.record(&record.vm) else {
            return;
        };
        if known.number > record.number && known.zone == self.own.zone {
            let records = vec![known.clone()];
            send(effects, link, messages::FleetMessage::Members(records));
        }
    }
}
