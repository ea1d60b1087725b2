//! An open link, and its sending and receiving halves.

use std::marker::PhantomData;
use std::time::Duration;

use futures_util::SinkExt;
use futures_util::StreamExt;
use futures_util::stream;
use serde::Serialize;
use serde::de::DeserializeOwned;
use tokio::net::TcpStream;
use tokio::sync::watch;
use tokio::task;
use tokio::time;
use tokio_tungstenite::WebSocketStream;
use tokio_tungstenite::tungstenite::Message;

use super::Result;
use super::TransportError;
use super::queue;
use crate::codec;

/// Time limit within which [`LinkSender::close`] writes the queued messages and the peer closes its
/// end.
const CLOSE_TIMEOUT: Duration = Duration::from_secs(5);

type SocketSink = stream::SplitSink<WebSocketStream<TcpStream>, Message>;
type SocketSource = stream::SplitStream<WebSocketStream<TcpStream>>;

/// An open link with both ends authenticated. It sends frames of type `O` and receives type `I`.
pub struct LinkSocket<O, I> {
    socket: WebSocketStream<TcpStream>,
    outgoing: PhantomData<fn(O)>,
    incoming: PhantomData<fn() -> I>,
}

impl<O: Serialize, I: DeserializeOwned> LinkSocket<O, I> {
    pub(super) fn new(socket: WebSocketStream<TcpStream>) -> Self {
        Self {
            socket,
            outgoing: PhantomData,
            incoming: PhantomData,
        }
    }

    /// Starts the task that writes to the socket, and returns both halves.
    ///
    /// Must be called on a tokio runtime.
    pub fn split(self) -> (LinkSender<O>, LinkReceiver<I>) {
        let (sink, source) = self.socket.split();
        let (queue, messages) = queue::message_queue();
        let (abort, aborted) = watch::channel(false);
        let writer = tokio::spawn(run_writer(sink, messages, abort.clone()));

        let sender = LinkSender {
            queue,
            abort: abort.clone(),
            writer,
            outgoing: PhantomData,
        };
        let receiver = LinkReceiver {
            source: Some(source),
            abort,
            aborted,
            incoming: PhantomData,
        };
        (sender, receiver)
    }
}

/// Sending half of a link. Dropping it closes the link after the queued messages are written.
pub struct LinkSender<O> {
    queue: queue::QueueSender,
    abort: watch::Sender<bool>,
    writer: task::JoinHandle<()>,
    outgoing: PhantomData<fn(O)>,
}

impl<O: Serialize> LinkSender<O> {
    /// Queues frames for sending without waiting.
    ///
    /// All frames go into one message; a list that is too large for that is halved until the parts
    /// fit.
    ///
    /// # Errors
    ///
    /// Returns [`TransportError::QueueFull`] if the peer reads too slowly, [`TransportError::Codec`]
    /// if a single frame is too large, and [`TransportError::Closed`] if the link is closed. Any of
    /// these aborts the link.
    pub fn send(&self, frames: Vec<O>) -> Result<()> {
        let result = self.send_frames(&frames);
        if result.is_err() {
            self.abort();
        }
        result
    }

    /// Closes the link at once and discards the queued messages.
    pub fn abort(&self) {
        self.abort.send_replace(true);
    }

    /// Writes the queued messages, closes the link and waits until the peer has closed its end too.
    ///
    /// Aborts the link after a few seconds. The owner must keep reading the receiving half
    /// meanwhile: if a socket is closed with unread incoming bytes, what it has sent may be lost.
    pub async fn close(self) {
        let Self {
            queue,
            abort,
            writer,
            outgoing: _,
        } = self;
        drop(queue);

        let mut aborted = abort.subscribe();
        let closing = async {
            // The result is an error only if the writer task was cancelled or panicked.
            let _ = writer.await;
            let _ = aborted.wait_for(|aborted| *aborted).await;
        };
        if time::timeout(CLOSE_TIMEOUT, closing).await.is_err() {
            abort.send_replace(true);
        }
    }

    fn send_frames(&self, frames: &[O]) -> Result<()> {
        if frames.is_empty() {
            return Ok(());
        }
        match codec::encode(&frames) {
            Ok(message) => self.queue.push(message),
            Err(codec::CodecError::TooLarge(_)) if frames.len() > 1 => {
                let (first, second) = frames.split_at(frames.len() / 2);
                self.send_frames(first)?;
                self.send_frames(second)
            }
            Err(error) => Err(error.into()),
        }
    }
}

/// Receiving half of a link. Dropping it aborts the link.
pub struct LinkReceiver<I> {
    /// `None` after the end of the link, so that the socket closes when the other half is dropped.
    source: Option<SocketSource>,
    abort: watch::Sender<bool>,
    aborted: watch::Receiver<bool>,
    incoming: PhantomData<fn() -> I>,
}

impl<I: DeserializeOwned> LinkReceiver<I> {
    /// Waits for the next message; `None` if the link is closed. Cancel safe.
    ///
    /// After an error the caller must drop the link.
    pub async fn receive(&mut self) -> Option<Result<Vec<I>>> {
        let received = self.read().await;
        if !matches!(received, Some(Ok(_))) {
            self.source = None;
            self.abort.send_replace(true);
        }
        received
    }

    async fn read(&mut self) -> Option<Result<Vec<I>>> {
        let source = self.source.as_mut()?;
        loop {
            let message = tokio::select! {
                biased;
                _ = self.aborted.wait_for(|aborted| *aborted) => return None,
                message = source.next() => message?,
            };

            match message {
                Ok(Message::Binary(bytes)) => {
                    return Some(codec::decode(&bytes).map_err(TransportError::from));
                }
                // The next read replies to a close frame.
                Ok(Message::Close(_) | Message::Ping(_) | Message::Pong(_)) => {}
                Ok(Message::Text(_) | Message::Frame(_)) => {
                    return Some(Err(TransportError::UnexpectedMessage));
                }
                Err(error) => return Some(Err(error.into())),
            }
        }
    }
}

impl<I> Drop for LinkReceiver<I> {
    fn drop(&mut self) {
        self.abort.send_replace(true);
    }
}

async fn run_writer(
    mut sink: SocketSink,
    mut messages: queue::QueueReceiver,
    abort: watch::Sender<bool>,
) {
    let mut aborted = abort.subscribe();
    let is_flushed = tokio::select! {
        biased;
        _ = aborted.wait_for(|aborted| *aborted) => false,
        written = write_all(&mut sink, &mut messages) => written.is_ok(),
    };

    if !is_flushed {
        // Ends the receiving half too, so that both halves of the socket are dropped.
        abort.send_replace(true);
    }
}

async fn write_all(sink: &mut SocketSink, messages: &mut queue::QueueReceiver) -> Result<()> {
    while let Some(message) = messages.pop().await {
        sink.send(Message::Binary(message.into())).await?;
    }
    sink.close().await?;
    Ok(())
}
