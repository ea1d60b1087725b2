//! Links from gateways: accepting connections, receiving frames, and sending frames in batches.

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

use super::event_loop;

/// Maximum number of connections in the handshake.
const MAX_HANDSHAKES: usize = 64;

/// Delay after a failure to accept a connection, such as a lack of file descriptors.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(100);

type FrameSender = transport::LinkSender<frames::AgentFrame>;
type FrameReceiver = transport::LinkReceiver<frames::GatewayFrame>;

/// Counters of the link listener.
#[derive(Debug, Default)]
pub struct LinkCounters {
    /// Links opened since the start.
    pub opened: AtomicU64,
    /// Connections and links dropped because the peer violated the protocol.
    pub protocol_violations: AtomicU64,
}

/// Accepts links until its task is cancelled.
pub(super) struct LinkListener {
    /// Bound socket.
    pub(super) listener: TcpListener,
    /// Secret that peers must prove to hold.
    pub(super) key: transport::LinkKey,
    /// Channel to the event loop.
    pub(super) events: mpsc::Sender<event_loop::ShellEvent>,
    /// Counters shared with the agent's handle.
    pub(super) counters: Arc<LinkCounters>,
}

impl LinkListener {
    /// Accepts links until its task is cancelled.
    pub(super) async fn run(self) {
        let handshakes = Arc::new(Semaphore::new(MAX_HANDSHAKES));
        let mut next_link = 0;

        loop {
            let Ok(permit) = Arc::clone(&handshakes).acquire_owned().await else {
                return;
            };
            let stream = match self.listener.accept().await {
                Ok((stream, _)) => stream,
                Err(error) => {
                    log::warn!(
                        "can't accept a connection from a gateway; retrying after a delay: {error}"
                    );
                    time::sleep(ACCEPT_RETRY_DELAY).await;
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

/// Opens and reads one link.
struct LinkTask {
    link: ids::LinkId,
    key: transport::LinkKey,
    events: mpsc::Sender<event_loop::ShellEvent>,
    counters: Arc<LinkCounters>,
}

impl LinkTask {
    async fn open(&self, stream: TcpStream) -> Option<FrameReceiver> {
        let socket = match transport::accept(stream, &self.key).await {
            Ok(socket) => socket,
            Err(error) => {
                self.record_error(&error);
                return None;
            }
        };
        let (sender, receiver) = socket.split();
        self.counters.opened.fetch_add(1, Ordering::Relaxed);

        let event = event_loop::ShellEvent::LinkAccepted {
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
                    self.record_error(&error);
                    break;
                }
                None => break,
            };
            let link = self.link;
            let event = event_loop::ShellEvent::Frames { link, frames };
            if self.events.send(event).await.is_err() {
                return;
            }
        }

        let event = event_loop::ShellEvent::LinkClosed { link: self.link };
        // Sending fails only if the agent has ended.
        let _ = self.events.send(event).await;
    }

    fn record_error(&self, error: &transport::TransportError) {
        if error.is_protocol_violation() {
            self.counters
                .protocol_violations
                .fetch_add(1, Ordering::Relaxed);
        }
        log::info!("link {} dropped: {error}", self.link);
    }
}

/// Sending halves of the open links, and the frames waiting for the next flush.
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

    /// Drops a link without sending its waiting frames.
    pub(super) fn remove(&mut self, link: ids::LinkId) {
        self.pending.remove(&link);
        if let Some(sender) = self.senders.remove(&link) {
            sender.abort();
        }
    }

    /// Queues a frame until the next flush.
    pub(super) fn push(&mut self, link: ids::LinkId, frame: frames::AgentFrame) {
        self.pending.entry(link).or_default().push(frame);
    }

    /// Sends the queued frames, one message per link, and returns the links that failed.
    pub(super) fn flush(&mut self) -> Vec<ids::LinkId> {
        let mut broken = Vec::new();
        for (link, frames) in std::mem::take(&mut self.pending) {
            let Some(sender) = self.senders.get(&link) else {
                continue;
            };
            if let Err(error) = sender.send(frames) {
                log::warn!("link {link} dropped; can't send frames: {error}");
                self.senders.remove(&link);
                broken.push(link);
            }
        }
        broken
    }

    /// Sends what is queued in every link's sender, then closes the links.
    pub(super) async fn close(self) {
        let closing = self.senders.into_values().map(transport::LinkSender::close);
        future::join_all(closing).await;
    }
}
