//! A queue of log lines whose writer never blocks the code that logs them.

use std::fmt;
use std::sync::Arc;
use std::sync::atomic;
use std::sync::atomic::AtomicU64;
use std::sync::mpsc;

use log4rs::encode::Encode;
use log4rs::encode::json;
use log4rs::encode::writer::simple;

/// Queues lines for the thread that writes them. A line for which the queue has no space is counted
/// and dropped.
#[derive(Clone)]
pub struct LineQueue {
    lines: mpsc::SyncSender<Vec<u8>>,
    queued: Arc<AtomicU64>,
    lost: Arc<AtomicU64>,
}

impl LineQueue {
    /// Creates a queue that sends its lines to `lines`.
    pub fn new(lines: mpsc::SyncSender<Vec<u8>>) -> Self {
        Self {
            lines,
            queued: Arc::default(),
            lost: Arc::default(),
        }
    }

    /// Queues a line, which ends with a line feed. Never blocks.
    pub fn send(&self, line: Vec<u8>) {
        match self.lines.try_send(line) {
            Ok(()) => self.queued.fetch_add(1, atomic::Ordering::Release),
            Err(_) => self.lost.fetch_add(1, atomic::Ordering::Release),
        };
    }

    /// Counts a line that could not be encoded as lost.
    pub fn record_lost(&self) {
        self.lost.fetch_add(1, atomic::Ordering::Release);
    }

    /// Returns the number of lines that were queued.
    pub fn queued_count(&self) -> u64 {
        self.queued.load(atomic::Ordering::Acquire)
    }

    /// Returns the number of lines that were dropped.
    pub fn lost_count(&self) -> u64 {
        self.lost.load(atomic::Ordering::Acquire)
    }
}

impl fmt::Debug for LineQueue {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.debug_struct("LineQueue").finish_non_exhaustive()
    }
}

/// Appender that encodes log messages as JSON lines and queues them.
#[derive(Debug)]
pub(super) struct QueueAppender {
    queue: LineQueue,
    encoder: json::JsonEncoder,
}

impl QueueAppender {
    pub(super) fn new(queue: LineQueue) -> Self {
        Self {
            queue,
            encoder: json::JsonEncoder::new(),
        }
    }
}

impl log::Log for QueueAppender {
    fn enabled(&self, _metadata: &log::Metadata<'_>) -> bool {
        true
    }

    fn log(&self, record: &log::Record<'_>) {
        let mut writer = simple::SimpleWriter(Vec::new());
        match self.encoder.encode(&mut writer, record) {
            Ok(()) => self.queue.send(writer.0),
            Err(_) => self.queue.record_lost(),
        }
    }

    fn flush(&self) {}
}
