//! Links to agents, behind a trait so that tests can substitute scripted agents.

use std::collections::BTreeMap;
use std::net;

use kingcupfall_core::ids;
use kingcupfall_link::frames;

use super::command;

/// Opens links to agents.
pub trait LinkConnector {
    /// Starts to open a link to the agent at `address`, without waiting for it.
    ///
    /// The link's events go to `link_events`: [`command::LinkEvent::Opened`] once, then frames, and
    /// [`command::LinkEvent::Closed`] at the end or if the link can't be opened.
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
    /// Returns true if they were queued. If they were not, the link is no longer usable.
    fn send(&self, frames: Vec<frames::GatewayFrame>) -> bool;
}

/// The links that are open or being opened, with the frames to send at the end of the turn.
pub struct LinkTable {
    connector: Box<dyn LinkConnector>,
    link_events: command::LinkEventSender,
    writers: BTreeMap<ids::LinkId, Box<dyn LinkWriter>>,
    pending: BTreeMap<ids::LinkId, Vec<frames::GatewayFrame>>,
}

impl LinkTable {
    /// Creates a table without links.
    pub fn new(connector: Box<dyn LinkConnector>, link_events: command::LinkEventSender) -> Self {
        Self {
            connector,
            link_events,
            writers: BTreeMap::new(),
            pending: BTreeMap::new(),
        }
    }

    /// Starts to open a link to the agent at `address`.
    pub fn open(&mut self, link: ids::LinkId, address: net::SocketAddr) {
        let writer = self.connector.open(link, address, self.link_events.clone());
        self.writers.insert(link, writer);
    }

    /// Closes a link, and drops its frames that have not been sent.
    pub fn close(&mut self, link: ids::LinkId) {
        self.writers.remove(&link);
        self.pending.remove(&link);
    }

    /// Queues a frame until the end of the turn; drops it if the link is not in the table.
    pub fn push(&mut self, link: ids::LinkId, frame: frames::GatewayFrame) {
        if self.writers.contains_key(&link) {
            self.pending.entry(link).or_default().push(frame);
        }
    }

    /// Sends the queued frames, one message per link.
    ///
    /// Closes and returns the links that could not queue their message.
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
