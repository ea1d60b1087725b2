//! The bounded queue between the owner of a link and the task that writes to its socket.

use std::sync::Arc;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;

use tokio::sync::mpsc;

use super::Result;
use super::TransportError;

/// Most messages that wait to be written.
pub const QUEUE_LIMIT_MESSAGES: usize = 1_024;

/// Most bytes that wait to be written.
pub const QUEUE_LIMIT_BYTES: usize = 8 * 1024 * 1024;

/// End of the queue that takes messages.
#[derive(Debug, Clone)]
pub(super) struct QueueInput {
    messages: mpsc::Sender<Vec<u8>>,
    waiting_bytes: Arc<AtomicUsize>,
}

/// End of the queue that gives messages.
#[derive(Debug)]
pub(super) struct QueueOutput {
    messages: mpsc::Receiver<Vec<u8>>,
    waiting_bytes: Arc<AtomicUsize>,
}

/// Makes an empty queue.
pub(super) fn open_queue() -> (QueueInput, QueueOutput) {
    let (sender, receiver) = mpsc::channel(QUEUE_LIMIT_MESSAGES);
    let waiting_bytes = Arc::new(AtomicUsize::new(0));

    let input = QueueInput {
        messages: sender,
        waiting_bytes: Arc::clone(&waiting_bytes),
    };
    let output = QueueOutput {
        messages: receiver,
        waiting_bytes,
    };
    (input, output)
}

impl QueueInput {
    /// Adds a message without waiting.
    pub(super) fn push(&self, message: Vec<u8>) -> Result<()> {
        let length = message.len();
        let before = self.waiting_bytes.fetch_add(length, Ordering::Relaxed);
        if before + length > QUEUE_LIMIT_BYTES {
            self.waiting_bytes.fetch_sub(length, Ordering::Relaxed);
            return Err(TransportError::QueueFull);
        }

        self.messages.try_send(message).map_err(|error| {
            self.waiting_bytes.fetch_sub(length, Ordering::Relaxed);
            match error {
                mpsc::error::TrySendError::Full(_) => TransportError::QueueFull,
                mpsc::error::TrySendError::Closed(_) => TransportError::Closed,
            }
        })
    }
}

impl QueueOutput {
    /// Waits for a message; `None` when the other end is gone and the queue is empty.
    pub(super) async fn pop(&mut self) -> Option<Vec<u8>> {
        let message = self.messages.recv().await?;
        self.waiting_bytes
            .fetch_sub(message.len(), Ordering::Relaxed);
        Some(message)
    }
}
