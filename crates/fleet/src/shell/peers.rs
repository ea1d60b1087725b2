//! Links between gateways.

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

/// Most connections that may be in their handshake.
const HANDSHAKE_LIMIT: usize = 64;

/// Wait after a connection could not be accepted, such as for lack of file descriptors.
const ACCEPT_PAUSE: Duration = Duration::from_millis(100);

type PeerSocket = transport::LinkSocket<messages::FleetMessage, messages::FleetMessage>;
type PeerReceiver = transport::LinkReceiver<messages::FleetMessage>;

/// Sending half of a link to another gateway.
pub(super) type PeerSender = transport::LinkSender<messages::FleetMessage>;

/// Channel to the task that owns the reducer.
pub(super) type PeerNotices = mpsc::Sender<driver::PeerNotice>;

/// Accepts links for as long as the gateway lives.
pub(super) async fn run_listener(
    listener: TcpListener,
    key: transport::LinkKey,
    notices: PeerNotices,
) {
    let handshakes = Arc::new(Semaphore::new(HANDSHAKE_LIMIT));
    loop {
        let Ok(permit) = Arc::clone(&handshakes).acquire_owned().await else {
            return;
        };
        let stream = match listener.accept().await {
            Ok((stream, _)) => stream,
            Err(error) => {
                log::warn!("can't accept a link of a gateway: {error}");
                time::sleep(ACCEPT_PAUSE).await;
                continue;
            }
        };

        let key = key.clone();
        let notices = notices.clone();
        ntex::rt::spawn(async move {
            let socket = accept(stream, &key).await;
            drop(permit);
            if let Some(socket) = socket {
                run_link(socket, reducer::LinkKind::Incoming, &notices).await;
            }
        });
    }
}

/// Opens a link to the gateway on `vm`.
pub(super) async fn run_connection(
    vm: ids::VmName,
    address: net::SocketAddr,
    key: transport::LinkKey,
    notices: PeerNotices,
) {
    match transport::connect(address, &key).await {
        Ok(socket) => {
            let kind = reducer::LinkKind::Outgoing { vm };
            run_link(socket, kind, &notices).await;
        }
        Err(error) => {
            log::debug!("can't link to {vm} at {address}: {error}");
            // An error means that the process ends.
            let _ = notices.send(driver::PeerNotice::Failed { vm }).await;
        }
    }
}

async fn accept(stream: TcpStream, key: &transport::LinkKey) -> Option<PeerSocket> {
    match transport::accept(stream, key).await {
        Ok(socket) => Some(socket),
        Err(error) => {
            log::info!("a connection on the gateways' port was dropped: {error}");
            None
        }
    }
}

async fn run_link(socket: PeerSocket, kind: reducer::LinkKind, notices: &PeerNotices) {
    let (sender, receiver) = socket.split();
    let link = driver::next_peer_link();
    let opened = driver::PeerNotice::Opened { link, kind, sender };
    if notices.send(opened).await.is_err() {
        return;
    }

    read(link, receiver, notices).await;
    // An error means that the process ends.
    let _ = notices.send(driver::PeerNotice::Closed { link }).await;
}

async fn read(link: ids::LinkId, mut receiver: PeerReceiver, notices: &PeerNotices) {
    while let Some(received) = receiver.receive().await {
        let messages = match received {
            Ok(messages) => messages,
            Err(error) => {
                log::warn!("link {link} to a gateway: {error}");
                if error.is_protocol_violation() {
                    // An error means that the process ends.
                    let _ = notices.send(driver::PeerNotice::Junk { link }).await;
                }
                return;
            }
        };
        let notice = driver::PeerNotice::Messages { link, messages };
        if notices.send(notice).await.is_err() {
            return;
        }
    }
}

/// Sending halves of the open links, and the messages of the turn in progress.
#[derive(Default)]
pub(super) struct PeerTable {
    senders: BTreeMap<ids::LinkId, PeerSender>,
    pending: BTreeMap<ids::LinkId, Vec<messages::FleetMessage>>,
}

impl PeerTable {
    pub(super) fn insert(&mut self, link: ids::LinkId, sender: PeerSender) {
        self.senders.insert(link, sender);
    }

    /// Drops a link at once.
    pub(super) fn remove(&mut self, link: ids::LinkId) {
        self.pending.remove(&link);
        if let Some(sender) = self.senders.remove(&link) {
            sender.abort();
        }
    }

    /// Keeps a message until the end of the turn.
    pub(super) fn push(&mut self, link: ids::LinkId, message: messages::FleetMessage) {
        if self.senders.contains_key(&link) {
            self.pending.entry(link).or_default().push(message);
        }
    }

    /// Sends the messages of the turn, and returns the links that broke.
    pub(super) fn flush(&mut self) -> Vec<ids::LinkId> {
        let mut broken = Vec::new();
        for (link, messages) in std::mem::take(&mut self.pending) {
            let Some(sender) = self.senders.get(&link) else {
                continue;
            };
            if let Err(error) = sender.send(messages) {
                log::warn!("link {link} to a gateway: {error}");
                self.senders.remove(&link);
                broken.push(link);
            }
        }
        broken
    }
}
