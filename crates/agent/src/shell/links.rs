//! Links of gateways: accepting, reading, and sending what one turn of the reducer brings.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;

use futures_util::future;
use kingcupfall_core::ids;
use kingcupfall_link::frames;
use kingcupfall_link::transport;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::sync::Semaphore;
use tokio::sync::mpsc;
use tokio::time;

use super::turn;

/// Most connections that may be in their handshake.
const HANDSHAKE_LIMIT: usize = 64;

/// Wait after a connection could not be accepted, such as for lack of file descriptors.
const ACCEPT_PAUSE: Duration = Duration::from_millis(100);

type FrameSender = transport::LinkSender<frames::AgentFrame>;
type FrameReceiver = transport::LinkReceiver<frames::GatewayFrame>;

/// Counts of what came in on the listening port.
#[derive(Debug, Default)]
pub struct LinkCounters {
    /// Links opened.
    pub opened: AtomicU64,
    /// Connections and links dropped because the peer sent junk.
    pub junk: AtomicU64,
}

/// Accepts links for as long as the agent lives.
pub(super) struct LinkListener {
    /// Bound socket.
    pub(super) listener: TcpListener,
    /// Key that peers must prove.
    pub(super) key: transport::LinkKey,
    /// Where events go.
    pub(super) events: mpsc::Sender<turn::ShellEvent>,
    /// Counts.
    pub(super) counters: Arc<LinkCounters>,
}

impl LinkListener {
    /// Accepts for ever.
    pub(super) async fn run(self) {
        let handshakes = Arc::new(Semaphore::new(HANDSHAKE_LIMIT));
        let mut next_link = 0;

        loop {
            let Ok(permit) = Arc::clone(&handshakes).acquire_owned().await else {
                return;
            };
            let stream = match self.listener.accept().await {
                Ok((stream, _)) => stream,
                Err(error) => {
                    log::warn!("can't accept a link: {error}");
                    time::sleep(ACCEPT_PAUSE).await;
                    continue;
                }
            };

            let link = LinkTask {
                link: ids::LinkId::new(next_link),
                key: self.key.clone(),
                events: self.events.clone(),
                counters: Arc::clone(&self.counters),
            };
            next_link += 1;
            tokio::spawn(async move {
                if let Some(receiver) = link.open(stream).await {
                    drop(permit);
                    link.read(receiver).await;
                }
            });
        }
    }
}

/// Reads one link.
struct LinkTask {
    link: ids::LinkId,
    key: transport::LinkKey,
    events: mpsc::Sender<turn::ShellEvent>,
    counters: Arc<LinkCounters>,
}

impl LinkTask {
    async fn open(&self, stream: TcpStream) -> Option<FrameReceiver> {
        let socket = match transport::accept(stream, &self.key).await {
            Ok(socket) => socket,
            Err(error) => {
                self.note_error(&error);
                return None;
            }
        };
        let (sender, receiver) = socket.split();
        self.counters.opened.fetch_add(1, Ordering::Relaxed);

        let event = turn::ShellEvent::LinkAccepted {
            link: self.link,
            sender,
        };
        self.events.send(event).await.ok()?;
        Some(receiver)
    }

    async fn read(&self, mut receiver: FrameReceiver) {
        loop {
            let frames = match receiver.receive().await {
                Some(Ok(frames)) => frames,
                Some(Err(error)) => {
                    self.note_error(&error);
                    break;
                }
                None => break,
            };
            let link = self.link;
            let event = turn::ShellEvent::Frames { link, frames };
            if self.events.send(event).await.is_err() {
                return;
            }
        }

        let event = turn::ShellEvent::LinkEnded { link: self.link };
        // The receiver is gone only when the agent has ended.
        let _ = self.events.send(event).await;
    }

    fn note_error(&self, error: &transport::TransportError) {
        if error.is_protocol_violation() {
            self.counters.junk.fetch_add(1, Ordering::Relaxed);
        }
        log::info!("link {}: {error}", self.link);
    }
}

/// Sending halves of the open links, and the frames of the turn in progress.
#[derive(Default)]
pub(super) struct LinkTable {
    senders: BTreeMap<ids::LinkId, FrameSender>,
    pending: BTreeMap<ids::LinkId, Vec<frames::AgentFrame>>,
}

impl LinkTable {
    /// Adds a link.
    pub(super) fn insert(&mut self, link: ids::LinkId, sender: FrameSender) {
        self.senders.insert(link, sender);
    }

    /// Drops a link at once.
    pub(super) fn remove(&mut self, link: ids::LinkId) {
        self.pending.remove(&link);
        if let Some(sender) = self.senders.remove(&link) {
            sender.abort();
        }
    }

    /// Keeps a frame until the end of the turn.
    pub(super) fn push(&mut self, link: ids::LinkId, frame: frames::AgentFrame) {
        self.pending.entry(link).or_default().push(frame);
    }

    /// Sends the frames of the turn, one message a link, and returns the links that broke.
    pub(super) fn flush(&mut self) -> Vec<ids::LinkId> {
        let mut broken = Vec::new();
        for (link, frames) in std::mem::take(&mut self.pending) {
            let Some(sender) = self.senders.get(&link) else {
                continue;
            };
            if let Err(error) = sender.send(frames) {
                log::warn!("link {link}: {error}");
                self.senders.remove(&link);
                broken.push(link);
            }
        }
        broken
    }

    /// Writes what waits on every link, then closes them.
    pub(super) async fn close(self) {
        let closing = self.senders.into_values().map(transport::LinkSender::close);
        future::join_all(closing).await;
    }
}
