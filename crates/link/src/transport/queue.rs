//! Bounded queue between the owner of a link and the task that writes to its socket.

use std::sync::Arc;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;

use tokio::sync::mpsc;

use super::Result;
use super::TransportError;

/// Maximum number of messages in the queue.
pub const MAX_QUEUED_MESSAGES: usize = 1_024;

/// Maximum total size of the messages in the queue, in bytes.
pub const MAX_QUEUED_BYTES: usize = 8 * 1024 * 1024;

/// Sending half of the queue.
#[derive(Debug, Clone)]
pub(super) struct QueueSender {
    messages: mpsc::Sender<Vec<u8>>,
    queued_bytes: Arc<AtomicUsize>,
}

/// Receiving half of the queue.
#[derive(Debug)]
pub(super) struct QueueReceiver {
    messages: mpsc::Receiver<Vec<u8>>,
    queued_bytes: Arc<AtomicUsize>,
}

/// Creates an empty queue.
pub(super) fn message_queue() -> (QueueSender, QueueReceiver) {
    let (input, output) = mpsc::channel(MAX_QUEUED_MESSAGES);
    let queued_bytes = Arc::new(AtomicUsize::new(0));

    let sender = QueueSender {
        messages: input,
        queued_bytes: Arc::clone(&queued_bytes),
    };
    let receiver = QueueReceiver {
        messages: output,
        queued_bytes,
    };
    (sender, receiver)
}

impl QueueSender {
    /// Adds a message without waiting; fails if the queue is full or the other half was dropped.
    pub(super) fn push(&self, message: Vec<u8>) -> Result<()> {
        let length = message.len();
        let before = self.queued_bytes.fetch_add(length, Ordering::Relaxed);
        if before + length > MAX_QUEUED_BYTES {
            self.queued_bytes.fetch_sub(length, Ordering::Relaxed);
            return Err(TransportError::QueueFull);
        }

        self.messages.try_send(message).map_err(|error| {
            self.queued_bytes.fetch_sub(length, Ordering::Relaxed);
            match error {
                mpsc::error::TrySendError::Full(_) => TransportError::QueueFull,
                mpsc::error::TrySendError::Closed(_) => TransportError::Closed,
            }
        })
    }
}

impl QueueReceiver {
    /// Waits for the next message; `None` if the other half was dropped and the queue is empty.
    pub(super) async fn pop(&mut self) -> Option<Vec<u8>> {
        let message = self.messages.recv().await?;
        self.queued_bytes
            .fetch_sub(message.len(), Ordering::Relaxed);
        Some(message)
    }
}
