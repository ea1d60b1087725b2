//! The gateways known to a gateway: all gateways of its own zone, and a few from each of the other
//! zones.

mod record;
mod table;

pub use record::MemberRecord;
pub use record::MemberState;
pub use table::MemberTable;
pub use table::MergeOutcome;
pub use table::SeedRecord;
