//! Writes records to standard output without holding up what they tell of.

use std::cell::Cell;
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::io;
use std::io::Write;
use std::result;
use std::sync::mpsc;
use std::thread;
use std::time::Duration;

use kingcupfall_core::time;
use serde::Serialize;

use super::DecisionRecord;
use super::RecordKind;

/// Lines that may wait for a slow reader of standard output; some 2 MB.
const QUEUE_LINES: usize = 8_192;

/// Lines of one kind in a second, for kinds that tell of no failure: about 20 KB/s each.
const KIND_LINES: u32 = 120;

/// Lines of one kind in a second, for kinds that tell of failures.
const FAILURE_LINES: u32 = 400;

/// Time over which lines are counted.
const COUNT_WINDOW: Duration = Duration::from_secs(1);

/// Result of starting the writer.
pub type Result<T> = result::Result<T, io::Error>;

/// A line as it is written.
#[derive(Serialize)]
struct LogLine<'a> {
    #[serde(rename = "t")]
    at_s: f64,
    node: &'a str,
    #[serde(flatten)]
    record: &'a DecisionRecord,
}

/// Lines of one kind in the current window.
#[derive(Debug, Clone, Copy, Default)]
struct KindCount {
    written: u32,
    omitted: u64,
}

/// Takes records. Lines beyond the budget of their kind are counted, not written, and so are lines
/// for which the queue has no room.
pub struct LogStream {
    node: Box<str>,
    lines: Option<mpsc::SyncSender<Vec<u8>>>,
    counts: RefCell<BTreeMap<RecordKind, KindCount>>,
    window_start: Cell<time::Timestamp>,
    lost: Cell<u64>,
}

/// Starts the thread that writes to standard output.
///
/// # Errors
///
/// The reason why no thread can be started.
pub fn start(node: &str) -> Result<LogStream> {
    let (sender, receiver) = mpsc::sync_channel::<Vec<u8>>(QUEUE_LINES);
    thread::Builder::new()
        .name("log-writer".into())
        .stack_size(64 * 1024)
        .spawn(move || write_lines(&receiver))?;
    Ok(LogStream::new(node, Some(sender)))
}

impl LogStream {
    /// Makes a stream that writes to a queue, or nowhere.
    pub fn new(node: &str, lines: Option<mpsc::SyncSender<Vec<u8>>>) -> Self {
        Self {
            node: node.into(),
            lines,
            counts: RefCell::new(BTreeMap::new()),
            window_start: Cell::new(time::Timestamp::ZERO),
            lost: Cell::new(0),
        }
    }

    /// Writes a record, if its kind has lines left.
    pub fn write(&self, now: time::Timestamp, record: &DecisionRecord) {
        if now.since(self.window_start.get()) >= COUNT_WINDOW {
            self.end_window(now);
        }
        let limit = match record.event.is_failure() {
            true => FAILURE_LINES,
            false => KIND_LINES,
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

    /// Returns the number of lines for which the queue had no room.
    pub fn lost(&self) -> u64 {
        self.lost.get()
    }

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
        let Some(lines) = &self.lines else {
            return;
        };
        let line = LogLine {
            at_s: now.as_secs_f64(),
            node: &self.node,
            record,
        };
        let Ok(mut bytes) = serde_json::to_vec(&line) else {
            // The record's types always serialise; a line that does not is counted as lost.
            self.lost.set(self.lost.get() + 1);
            return;
        };
        bytes.push(b'\n');
        if lines.try_send(bytes).is_err() {
            self.lost.set(self.lost.get() + 1);
        }
    }
}

/// Writes lines until the process ends; a burst goes out in one write.
fn write_lines(lines: &mpsc::Receiver<Vec<u8>>) {
    let mut output = io::stdout().lock();
    while let Ok(mut batch) = lines.recv() {
        while let Ok(line) = lines.try_recv() {
            batch.extend_from_slice(&line);
        }
        if output.write_all(&batch).is_err() || output.flush().is_err() {
            // Nobody reads any more; the counters on the metrics address still tell.
            return;
        }
    }
}
