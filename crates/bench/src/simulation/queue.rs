//! Events in order of time, and in order of their making at equal times.

use std::cmp::Ordering;
use std::cmp::Reverse;
use std::collections::BinaryHeap;

use kingcupfall_core::time;

/// Queue of events that are due.
#[derive(Debug)]
pub struct EventQueue<T> {
    heap: BinaryHeap<Reverse<QueueEntry<T>>>,
    next_number: u64,
}

#[derive(Debug)]
struct QueueEntry<T> {
    at: time::Timestamp,
    number: u64,
    event: T,
}

impl<T> EventQueue<T> {
    /// Adds an event that is due at `at`.
    pub fn push(&mut self, at: time::Timestamp, event: T) {
        let number = self.next_number;
        self.next_number += 1;
        self.heap.push(Reverse(QueueEntry { at, number, event }));
    }

    /// Removes the event that is due first.
    pub fn pop(&mut self) -> Option<(time::Timestamp, T)> {
        let Reverse(entry) = self.heap.pop()?;
        Some((entry.at, entry.event))
    }
}

impl<T> Default for EventQueue<T> {
    fn default() -> Self {
        Self {
            heap: BinaryHeap::new(),
            next_number: 0,
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
        (self.at, self.number).cmp(&(other.at, other.number))
    }
}
