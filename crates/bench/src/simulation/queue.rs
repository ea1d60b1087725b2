//! Queue of events ordered by due time, and by insertion at equal times.

use std::cmp::Ordering;
use std::cmp::Reverse;
use std::collections::BinaryHeap;

use kingcupfall_core::time;

/// Priority queue of events.
#[derive(Debug)]
pub struct EventQueue<T> {
    heap: BinaryHeap<Reverse<QueueEntry<T>>>,
    next_sequence: u64,
}

#[derive(Debug)]
struct QueueEntry<T> {
    at: time::Timestamp,
    sequence: u64,
    event: T,
}

impl<T> EventQueue<T> {
    /// Adds an event that is due at `at`.
    pub fn push(&mut self, at: time::Timestamp, event: T) {
        let sequence = self.next_sequence;
        self.next_sequence += 1;
        self.heap.push(Reverse(QueueEntry {
            at,
            sequence,
            event,
        }));
    }

    /// Removes and returns the earliest event with its due time.
    pub fn pop(&mut self) -> Option<(time::Timestamp, T)> {
        let Reverse(entry) = self.heap.pop()?;
        Some((entry.at, entry.event))
    }
}

impl<T> Default for EventQueue<T> {
    fn default() -> Self {
        Self {
            heap: BinaryHeap::new(),
            next_sequence: 0,
        }
    }
}

impl<T> PartialEq for QueueEntry<T> {
    fn eq(&self, other: &Self) -> bool {
        self.cmp(other) == Ordering::Equal
    }
}

impl<T> Eq for QueueEntry<T> {}

impl<T> PartialOrd for QueueEntry<T> {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl<T> Ord for QueueEntry<T> {
    fn cmp(&self, other: &Self) -> Ordering {
        (self.at, self.sequence).cmp(&(other.at, other.sequence))
    }
}
