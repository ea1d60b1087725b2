//! Which processes there are, which of them this one is linked to, and what it has to catch up on.
//!
//! No process knows all: each hears of others through its links, and forgets those that nobody
//! hears of any more. Decisions are here, without input or output.

mod book;
mod cell;
mod lag;

pub use book::MemberBook;
pub use book::MemberHint;
pub use cell::CellDepth;
pub use cell::CellPosition;
pub use lag::CatchUp;
pub use lag::KnownState;
