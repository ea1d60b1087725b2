//! Cells: parts of a large fleet whose processes share targets and tell each other their load.
//!
//! A cell is named by the leading bits of a hash, so that processes agree on it without speaking.
//! Those that judge the size of the fleet differently have cells of which one contains the other.

use std::fmt;
use std::fmt::Display;

use xxhash_rust::xxh3;

/// Processes from which a cell is divided: its halves then still have enough to balance load, and
/// links to all of a cell stay fewer than forty on average.
const LEAST_PROCESSES: usize = 24;

/// Most bits that name a cell; 2^16 cells are far beyond any fleet.
const MOST_BITS: u32 = 16;

/// Place of a process or a target, from which its cell follows.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct CellPosition(u64);

impl fmt::Display for CellPosition {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{:016x}", self.0)
    }
}

impl CellPosition {
    /// Returns the place of what has this name.
    pub fn of(name: &impl Display) -> Self {
        Self(xxh3::xxh3_64(name.to_string().as_bytes()))
    }
}

/// Number of bits that name a cell. Zero bits make one cell of the whole fleet.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct CellDepth(u32);

impl CellDepth {
    /// Returns the depth for a number of processes.
    pub fn for_processes(processes: usize) -> Self {
        let mut bits = 0;
        while bits < MOST_BITS && processes >> (bits + 1) >= LEAST_PROCESSES {
            bits += 1;
        }
        Self(bits)
    }

    /// Says whether two places are in the same cell.
    pub const fn is_same(self, first: CellPosition, second: CellPosition) -> bool {
        match self.0 {
            0 => true,
            bits => (first.0 ^ second.0) >> (u64::BITS - bits) == 0,
        }
    }
}
