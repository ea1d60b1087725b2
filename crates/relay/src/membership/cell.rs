//! Cells: parts of a large fleet whose relays share targets and send each other their load.
//!
//! A cell is identified by the leading bits of a hash, so relays agree on it without exchanging
//! messages. Relays with different estimates of the fleet's size use different depths; of two such
//! cells that overlap, one contains the other.

use std::fmt;
use std::fmt::Display;

use xxhash_rust::xxh3;

/// Minimum average number of relays in a cell after a split: enough to balance load. The cells of a
/// split fleet average 24 to 47 relays, so a relay has fewer than forty links within its cell on
/// average over fleet sizes.
const MIN_CELL_RELAYS: usize = 24;

/// Maximum number of bits that identify a cell; 2^16 cells exceed any fleet.
const MAX_CELL_BITS: u32 = 16;

/// Hash of the name of a relay or a target, whose leading bits identify its cell.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct CellPosition(u64);

impl fmt::Display for CellPosition {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{:016x}", self.0)
    }
}

impl CellPosition {
    /// Returns the position of the relay or target with this name.
    pub fn of(name: &impl Display) -> Self {
        Self(xxh3::xxh3_64(name.to_string().as_bytes()))
    }
}

/// Number of bits that identify a cell. With zero bits, the whole fleet is one cell.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct CellDepth(u32);

impl CellDepth {
    /// Returns the depth for a number of relays.
    pub fn for_relays(relays: usize) -> Self {
        let mut bits = 0;
        while bits < MAX_CELL_BITS && relays >> (bits + 1) >= MIN_CELL_RELAYS {
            bits += 1;
        }
        Self(bits)
    }

    /// Returns the number of cells at this depth.
    pub const fn cell_count(self) -> usize {
        1 << self.0
    }

    /// Returns the index of the cell that a position is in.
    pub const fn cell_index(self, position: CellPosition) -> u64 {
        match self.0 {
            0 => 0,
            bits => position.0 >> (u64::BITS - bits),
        }
    }

    /// Returns true if both positions are in the same cell at this depth.
    pub const fn is_same_cell(self, first: CellPosition, second: CellPosition) -> bool {
        self.cell_index(first) == self.cell_index(second)
    }
}
