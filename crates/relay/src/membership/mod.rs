//! The known relays of the fleet, the links to open, and when to request missing updates.
//!
//! No relay keeps a complete list. Each learns of others over its links, and removes those from
//! which no relay has received a message for some time. The decisions here do no input or output.

mod catch_up;
mod cell;
mod known_fleet;
mod table;

pub use catch_up::CatchUpScheduler;
pub use catch_up::KnownVersions;
pub use cell::CellDepth;
pub use cell::CellPosition;
pub use known_fleet::SharingRank;
pub use table::MemberHint;
pub use table::MemberTable;
