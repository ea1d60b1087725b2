//! An open link and its two halves.

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

/// Time in which [`LinkSender::close`] writes what still waits and the peer closes its end.
const CLOSE_TIMEOUT: Duration = Duration::from_secs(5);

type SocketSink = stream::SplitSink<WebSocketStream<TcpStream>, Message>;
type SocketSource = stream::SplitStream<WebSocketStream<TcpStream>>;

/// An open link whose ends have proven their key. `O` goes out, `I` comes in.
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
        let (input, output) = queue::open_queue();
        let (abort, aborted) = watch::channel(false);
        let writer = tokio::spawn(run_writer(sink, output, abort.clone()));

        let sender = LinkSender {
            queue: input,
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

/// Half that sends. Dropping it closes the link after what waits has been written.
pub struct LinkSender<O> {
    queue: queue::QueueInput,
    abort: watch::Sender<bool>,
    writer: task::JoinHandle<()>,
    outgoing: PhantomData<fn(O)>,
}

impl<O: Serialize> LinkSender<O> {
    /// Queues frames for sending, in as few messages as the size limit allows. Never waits.
    ///
    /// # Errors
    ///
    /// [`TransportError::QueueFull`] when the peer is too slow, [`TransportError::Codec`] when a
    /// single frame is too large, [`TransportError::Closed`]. After any of these the link is
    /// aborted.
    pub fn send(&self, frames: Vec<O>) -> Result<()> {
        let sent = self.send_slice(&frames);
        if sent.is_err() {
            self.abort();
        }
        sent
    }

    /// Closes the link at once and drops what waits.
    pub fn abort(&self) {
        self.abort.send_replace(true);
    }

    /// Writes what waits, closes the link and waits until the peer has closed its end too.
    ///
    /// Gives up after a few seconds. The receiving half must be read meanwhile: a socket that is
    /// closed before its incoming bytes are read may take back what it has sent.
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
            // An error means that the writer was aborted.
            let _ = writer.await;
            let _ = aborted.wait_for(|aborted| *aborted).await;
        };
        if time::timeout(CLOSE_TIMEOUT, closing).await.is_err() {
            abort.send_replace(true);
        }
    }

    fn send_slice(&self, frames: &[O]) -> Result<()> {
        if frames.is_empty() {
            return Ok(());
        }
        match codec::encode(&frames) {
            Ok(message) => self.queue.push(message),
            Err(codec::CodecError::TooLarge(_)) if frames.len() > 1 => {
                let (first, second) = frames.split_at(frames.len() / 2);
                self.send_slice(first)?;
                self.send_slice(second)
            }
            Err(error) => Err(error.into()),
        }
    }
}

/// Half that receives.
pub struct LinkReceiver<I> {
    /// Dropped at the end of the link, so that the socket is closed with the other half.
    source: Option<SocketSource>,
    abort: watch::Sender<bool>,
    aborted: watch::Receiver<bool>,
    incoming: PhantomData<fn() -> I>,
}

impl<I: DeserializeOwned> LinkReceiver<I> {
    /// Waits for the next message; `None` when the link is closed. Safe to cancel.
    ///
    /// After an error the link must be dropped.
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
                // After a close frame, the next read sends the answer to it.
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
    mut output: queue::QueueOutput,
    abort: watch::Sender<bool>,
) {
    let mut aborted = abort.subscribe();
    let is_flushed = tokio::select! {
        biased;
        _ = aborted.wait_for(|aborted| *aborted) => false,
        written = write_all(&mut sink, &mut output) => written.is_ok(),
    };

    if !is_flushed {
        // The receiving half stops too, so that both halves of the socket are dropped.
        abort.send_replace(true);
    }
}

async fn write_all(sink: &mut SocketSink, output: &mut queue::QueueOutput) -> Result<()> {
    while let Some(message) = output.pop().await {
        sink.send(Message::Binary(message.into())).await?;
    }
    sink.close().await?;
    Ok(())
}
