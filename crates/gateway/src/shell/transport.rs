//! Links to agents over TCP.

use std::net;

use kingcupfall_core::ids;
use kingcupfall_link::frames;
use kingcupfall_link::transport;
use tokio::sync::mpsc;
use tokio::sync::oneshot;

use super::command;
use super::links;

/// Messages that may wait while a link is being opened, which are none before the agent's hello,
/// or until its task comes to them.
const MAX_QUEUED_MESSAGES: usize = 64;

/// Opens links by [`transport::connect`].
pub struct TransportConnector {
    key: transport::LinkKey,
}

impl TransportConnector {
    /// Makes a connector whose links prove that they hold `key`.
    pub fn new(key: transport::LinkKey) -> Self {
        Self { key }
    }
}

impl links::LinkConnector for TransportConnector {
    fn open(
        &self,
        link: ids::LinkId,
        address: net::SocketAddr,
        link_events: command::LinkEventSender,
    ) -> Box<dyn links::LinkWriter> {
        let (messages, outgoing) = mpsc::channel(MAX_QUEUED_MESSAGES);
        let (closer, closed) = oneshot::channel();
        let key = self.key.clone();

        ntex::rt::spawn(async move {
            let run = run_link(link, address, &key, &link_events, outgoing);
            tokio::select! {
                () = run => {}
                // The outlet was dropped: nobody wants the link any more.
                _ = closed => {}
            }
            // An error means that the process ends.
            let _ = link_events.send(command::LinkEvent::Closed { link }).await;
        });
        Box::new(TransportWriter {
            messages,
            _closer: closer,
        })
    }
}

/// The sending side of a link over TCP.
struct TransportWriter {
    messages: mpsc::Sender<Vec<frames::GatewayFrame>>,
    /// Dropped together with the outlet, which ends the task of the link.
    _closer: oneshot::Sender<()>,
}

impl links::LinkWriter for TransportWriter {
    fn send(&self, frames: Vec<frames::GatewayFrame>) -> bool {
        self.messages.try_send(frames).is_ok()
    }
}

async fn run_link(
    link: ids::LinkId,
    address: net::SocketAddr,
    key: &transport::LinkKey,
    link_events: &command::LinkEventSender,
    mut outgoing: mpsc::Receiver<Vec<frames::GatewayFrame>>,
) {
    let socket = match transport::connect(address, key).await {
        Ok(socket) => socket,
        Err(error) => {
            log::debug!("link {link} to {address} can't be opened: {error}");
            return;
        }
    };
    let (sender, mut receiver) = socket.split();
    if link_events
        .send(command::LinkEvent::Opened { link })
        .await
        .is_err()
    {
        return;
    }

    loop {
        tokio::select! {
            message = outgoing.recv() => {
                let Some(frames) = message else {
                    return;
                };
                if let Err(error) = sender.send(frames) {
                    log::warn!("link {link} to {address} is lost: {error}");
                    return;
                }
            }
            received = receiver.receive() => {
                let frames = match received {
                    Some(Ok(frames)) => frames,
                    Some(Err(error)) => {
                        log::warn!("link {link} to {address} is lost: {error}");
                        return;
                    }
                    None => return,
                };
                let event = command::LinkEvent::Frames { link, frames };
                if link_events.send(event).await.is_err() {
                    return;
                }
            }
        }
    }
}
