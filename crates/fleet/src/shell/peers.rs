//! Tasks that accept, open and read links between gateways, and the table of open links.

use std::collections::BTreeMap;
use std::net;
use std::sync::Arc;
use std::time::Duration;

use kingcupfall_core::ids;
use kingcupfall_link::transport;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::sync::Semaphore;
use tokio::sync::mpsc;
use tokio::time;

use super::driver;
use crate::messages;
use crate::reducer;

/// Maximum number of accepted connections with an unfinished handshake.
const MAX_HANDSHAKES: usize = 64;

/// Delay after a connection could not be accepted, such as for lack of file descriptors.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(100);

type PeerSocket = transport::LinkSocket<messages::FleetMessage, messages::FleetMessage>;
type PeerReceiver = transport::LinkReceiver<messages::FleetMessage>;

/// Sending half of a link to another gateway.
pub(super) type PeerSender = transport::LinkSender<messages::FleetMessage>;

/// Sender of link events to the driver.
pub(super) type PeerEventSender = mpsc::Sender<driver::PeerEvent>;

/// Accepts links from other gateways for as long as the process runs.
pub(super) async fn run_listener(
    listener: TcpListener,
    key: transport::LinkKey,
    event_sender: PeerEventSender,
) {
    let handshakes = Arc::new(Semaphore::new(MAX_HANDSHAKES));
    loop {
        let Ok(permit) = Arc::clone(&handshakes).acquire_owned().await else {
            return;
        };
        let stream = match listener.accept().await {
            Ok((stream, _)) => stream,
            Err(error) => {
                log::warn!("can't accept a gateway link, retrying after a pause: {error}");
                time::sleep(ACCEPT_RETRY_DELAY).await;
                continue;
            }
        };

        let key = key.clone();
        let event_sender = event_sender.clone();
        ntex::rt::spawn(async move {
            let socket = accept(stream, &key).await;
            drop(permit);
            if let Some(socket) = socket {
                run_link(socket, reducer::LinkKind::Incoming, &event_sender).await;
            }
        });
    }
}

/// Opens a link to the gateway on `vm` and runs it until it is closed.
pub(super) async fn run_connection(
    vm: ids::VmName,
    address: net::SocketAddr,
    key: transport::LinkKey,
    event_sender: PeerEventSender,
) {
    match transport::connect(address, &key).await {
        Ok(socket) => {
            let kind = reducer::LinkKind::Outgoing { vm };
            run_link(socket, kind, &event_sender).await;
        }
        Err(error) => {
            log::debug!("can't open a link to the gateway on {vm} at {address}: {error}");
            // Sending fails only if the driver has stopped.
            let _ = event_sender.send(driver::PeerEvent::Failed { vm }).await;
        }
    }
}

async fn accept(stream: TcpStream, key: &transport::LinkKey) -> Option<PeerSocket> {
    match transport::accept(stream, key).await {
        Ok(socket) => Some(socket),
        Err(error) => {
            log::info!("dropped a connection to the gateway link port: {error}");
            None
        }
    }
}

async fn run_link(socket: PeerSocket, kind: reducer::LinkKind, event_sender: &PeerEventSender) {
    let (sender, receiver) = socket.split();
    let link = driver::next_peer_link_id();
    let opened = driver::PeerEvent::Opened { link, kind, sender };
    if event_sender.send(opened).await.is_err() {
        return;
    }

    receive_messages(link, receiver, event_sender).await;
    // Sending fails only if the driver has stopped.
    let _ = event_sender.send(driver::PeerEvent::Closed { link }).await;
}

async fn receive_messages(
    link: ids::LinkId,
    mut receiver: PeerReceiver,
    event_sender: &PeerEventSender,
) {
    while let Some(received) = receiver.receive().await {
        let messages = match received {
            Ok(messages) => messages,
            Err(error) => {
                log::warn!("closing link {link} to a gateway: receive failed: {error}");
                if error.is_protocol_violation() {
                    // Sending fails only if the driver has stopped.
                    let _ = event_sender
                        .send(driver::PeerEvent::Malformed { link })
                        .await;
                }
                return;
            }
        };
        let event = driver::PeerEvent::Messages { link, messages };
        if event_sender.send(event).await.is_err() {
            return;
        }
    }
}

/// Sending halves of the open links, and the messages queued during the current turn.
#[derive(Default)]
pub(super) struct PeerTable {
    senders: BTreeMap<ids::LinkId, PeerSender>,
    pending: BTreeMap<ids::LinkId, Vec<messages::FleetMessage>>,
}

impl PeerTable {
    pub(super) fn insert(&mut self, link: ids::LinkId, sender: PeerSender) {
        self.senders.insert(link, sender);
    }

    /// Closes a link at once and discards its queued messages.
    pub(super) fn remove(&mut self, link: ids::LinkId) {
        self.pending.remove(&link);
        if let Some(sender) = self.senders.remove(&link) {
            sender.abort();
        }
    }

    /// Queues a message until the end of the turn. Discards it if the link is not open.
    pub(super) fn push(&mut self, link: ids::LinkId, message: messages::FleetMessage) {
        if self.senders.contains_key(&link) {
            self.pending.entry(link).or_default().push(message);
        }
    }

    /// Sends the queued messages, and returns the links that were removed because sending failed.
    pub(super) fn flush(&mut self) -> Vec<ids::LinkId> {
        let mut failed_links = Vec::new();
        for (link, messages) in std::mem::take(&mut self.pending) {
            let Some(sender) = self.senders.get(&link) else {
                continue;
            };
            if let Err(error) = sender.send(messages) {
                log::warn!("closing link {link} to a gateway: send failed: {error}");
                self.senders.remove(&link);
                failed_links.push(link);
            }
        }
        failed_links
    }
}
