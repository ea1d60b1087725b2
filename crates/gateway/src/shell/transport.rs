//! Links to agents over TCP.

use std::net;

use kingcupfall_core::ids;
use kingcupfall_link::frames;
use kingcupfall_link::transport;
use tokio::sync::mpsc;
use tokio::sync::oneshot;

use super::command;
use super::links;

/// Maximum number of messages that wait for the task of a link.
///
/// While the link is being opened there are none, as the gateway sends nothing before the agent's
/// hello.
const MAX_QUEUED_MESSAGES: usize = 64;

/// Opens links over TCP with [`transport::connect`].
pub struct TransportConnector {
    key: transport::LinkKey,
}

impl TransportConnector {
    /// Creates a connector whose links authenticate with `key`.
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
                // The writer was dropped, which closes the link.
                _ = closed => {}
            }
            // An error means that the driver has ended.
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
    /// Dropped together with the writer, which ends the task of the link.
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
            log::debug!("can't open link {link} to the agent at {address}: {error}");
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
                    log::warn!("lost link {link} to the agent at {address}: {error}");
                    return;
                }
            }
            received = receiver.receive() => {
                let frames = match received {
                    Some(Ok(frames)) => frames,
                    Some(Err(error)) => {
                        log::warn!("lost link {link} to the agent at {address}: {error}");
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
