//! Links to agents, behind a trait so that tests can put a scripted agent in their place.

use std::collections::BTreeMap;
use std::net;

use kingcupfall_core::ids;
use kingcupfall_link::frames;

use super::command;

/// Opens links to agents.
pub trait LinkConnector {
    /// Starts to open a link to the agent at `address`.
    ///
    /// The notices of the link go to `link_events`: once [`command::LinkEvent::Opened`], then frames,
    /// and [`command::LinkEvent::Closed`] at the end or when it can't be opened.
    fn open(
        &self,
        link: ids::LinkId,
        address: net::SocketAddr,
        link_events: command::LinkEventSender,
    ) -> Box<dyn LinkWriter>;
}

/// The sending side of a link. Dropping it closes the link.
pub trait LinkWriter {
    /// Queues frames without waiting.
    ///
    /// Returns whether they were taken; when they were not, the link is of no more use.
    fn send(&self, frames: Vec<frames::GatewayFrame>) -> bool;
}

/// The links that are open or being opened, and the frames to send at the end of a turn.
pub struct LinkTable {
    connector: Box<dyn LinkConnector>,
    link_events: command::LinkEventSender,
    writers: BTreeMap<ids::LinkId, Box<dyn LinkWriter>>,
    pending: BTreeMap<ids::LinkId, Vec<frames::GatewayFrame>>,
}

impl LinkTable {
    /// Makes a table without links.
    pub fn new(connector: Box<dyn LinkConnector>, link_events: command::LinkEventSender) -> Self {
        Self {
            connector,
            link_events,
            writers: BTreeMap::new(),
            pending: BTreeMap::new(),
        }
    }

    /// Starts to open a link.
    pub fn open(&mut self, link: ids::LinkId, address: net::SocketAddr) {
        let writer = self.connector.open(link, address, self.link_events.clone());
        self.writers.insert(link, writer);
    }

    /// Closes a link.
    pub fn close(&mut self, link: ids::LinkId) {
        self.writers.remove(&link);
        self.pending.remove(&link);
    }

    /// Keeps a frame until the end of the turn.
    pub fn push(&mut self, link: ids::LinkId, frame: frames::GatewayFrame) {
        if self.writers.contains_key(&link) {
            self.pending.entry(link).or_default().push(frame);
        }
    }

    /// Sends the frames of the turn, one message a link, and returns the links that took none.
    pub fn flush(&mut self) -> Vec<ids::LinkId> {
        let mut broken = Vec::new();

        for (link, frames) in std::mem::take(&mut self.pending) {
            let is_sent = self
                .writers
                .get(&link)
                .is_some_and(|writer| writer.send(frames));
            if !is_sent {
                self.close(link);
                broken.push(link);
            }
        }

        broken
    }
}
