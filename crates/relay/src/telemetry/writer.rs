//! Writes decision records to standard output without blocking the code that logs them.

use std::cell::Cell;
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::io;
use std::io::Write;
use std::result;
use std::sync::Arc;
use std::sync::atomic;
use std::sync::atomic::AtomicU64;
use std::sync::mpsc;
use std::thread;
use std::time::Duration;

use kingcupfall_core::time;
use kingcupfall_telemetry::logs;
use serde::Serialize;

use super::DecisionRecord;
use super::RecordKind;

/// Maximum number of lines that wait for a slow reader of standard output; about 2 MB.
const MAX_QUEUED_LINES: usize = 8_192;

/// Maximum lines per second of one kind that reports no failure: about 20 KB/s for each kind.
const MAX_KIND_LINES_PER_S: u32 = 120;

/// Maximum lines per second of one kind that reports failures.
const MAX_FAILURE_LINES_PER_S: u32 = 400;

/// Period over which lines are counted for the limits per second.
const COUNT_WINDOW: Duration = Duration::from_secs(1);

/// Result of starting the log writer.
pub type Result<T> = result::Result<T, io::Error>;

/// JSON form of a log line.
#[derive(Serialize)]
struct LogLine<'a> {
    #[serde(rename = "t")]
    at_s: f64,
    node: &'a str,
    #[serde(flatten)]
    record: &'a DecisionRecord,
}

/// Number of lines of one kind in the current window.
#[derive(Debug, Clone, Copy, Default)]
struct KindLineCount {
    written: u32,
    omitted: u64,
}

/// Queues decision records for writing. Lines beyond the limit of their kind, or for which the
/// queue has no space, are counted and not written.
pub struct DecisionLog {
    node: Box<str>,
    queue: Option<logs::LineQueue>,
    counts: RefCell<BTreeMap<RecordKind, KindLineCount>>,
    window_start: Cell<time::Timestamp>,
    /// Number of lines that the writer has taken from the queue and written.
    written_lines: Arc<AtomicU64>,
}

/// Starts the thread that writes to standard output, and returns the log that queues lines for it.
/// `node` names the process in each line.
///
/// # Errors
///
/// Returns the operating system's error if the thread can't be started.
pub fn start_log(node: &str) -> Result<DecisionLog> {
    let (sender, receiver) = mpsc::sync_channel::<Vec<u8>>(MAX_QUEUED_LINES);
    let log = DecisionLog::new(node, Some(logs::LineQueue::new(sender)));
    let written_lines = Arc::clone(&log.written_lines);
    thread::Builder::new()
        .name("log-writer".into())
        .stack_size(64 * 1024)
        .spawn(move || write_lines(&receiver, &written_lines))?;
    Ok(log)
}

impl DecisionLog {
    /// Creates a log that sends its lines to a queue, or discards them if `queue` is `None`.
    pub fn new(node: &str, queue: Option<logs::LineQueue>) -> Self {
        Self {
            node: node.into(),
            queue,
            counts: RefCell::new(BTreeMap::new()),
            window_start: Cell::new(time::Timestamp::ZERO),
            written_lines: Arc::default(),
        }
    }

    /// Returns the queue of lines, for messages that are no decision records.
    pub fn queue(&self) -> Option<logs::LineQueue> {
        self.queue.clone()
    }

    /// Queues a record, unless its kind has reached its limit in the current window. Never blocks.
    pub fn write(&self, now: time::Timestamp, record: &DecisionRecord) {
        if now.since(self.window_start.get()) >= COUNT_WINDOW {
            self.end_window(now);
        }
        let limit = match record.event.is_failure() {
            true => MAX_FAILURE_LINES_PER_S,
            false => MAX_KIND_LINES_PER_S,
        };
        {
            let mut counts = self.counts.borrow_mut();
            let count = counts.entry(record.event).or_default();
            if count.written >= limit {
                count.omitted += 1;
                return;
            }
            count.written += 1;
        }
        self.send(now, record);
    }

    /// Returns the number of lines that were dropped because the queue had no space.
    pub fn lost_lines(&self) -> u64 {
        self.queue.as_ref().map_or(0, logs::LineQueue::lost_count)
    }

    /// Returns whether all queued lines have been written.
    pub fn is_written(&self) -> bool {
        let queued_lines = self.queue.as_ref().map_or(0, logs::LineQueue::queued_count);
        self.written_lines.load(atomic::Ordering::Acquire) >= queued_lines
    }

    /// Starts a new window at `now`, and queues a record for each kind that had lines omitted.
    fn end_window(&self, now: time::Timestamp) {
        self.window_start.set(now);
        let counts = std::mem::take(&mut *self.counts.borrow_mut());
        for (kind, count) in counts {
            if count.omitted == 0 {
                continue;
            }
            let name = serde_json::to_string(&kind).unwrap_or_default();
            let record = DecisionRecord::new(RecordKind::Omitted)
                .outcome(name.trim_matches('"'))
                .count(count.omitted);
            self.send(now, &record);
        }
    }

    fn send(&self, now: time::Timestamp, record: &DecisionRecord) {
        let Some(queue) = &self.queue else {
            return;
        };
        let line = LogLine {
            at_s: now.as_secs_f64(),
            node: &self.node,
            record,
        };
        let Ok(mut bytes) = serde_json::to_vec(&line) else {
            // The types of a record always serialise; a line that doesn't is counted as lost.
            queue.record_lost();
            return;
        };
        bytes.push(b'\n');
        queue.send(bytes);
    }
}

/// Writes lines until the process ends, and all lines that are queued at once in one write.
fn write_lines(lines: &mpsc::Receiver<Vec<u8>>, written_lines: &AtomicU64) {
    let mut output = io::stdout();
    while let Ok(mut batch) = lines.recv() {
        let mut line_count = 1;
        while let Ok(line) = lines.try_recv() {
            batch.extend_from_slice(&line);
            line_count += 1;
        }
        if output.write_all(&batch).is_err() || output.flush().is_err() {
            // Standard output was closed; the metrics still count the lost lines.
            return;
        }
        written_lines.fetch_add(line_count, atomic::Ordering::Release);
    }
}
