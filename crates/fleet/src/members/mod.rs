//! The gateways known to a gateway: all of its own zone and a few of each other zone.

mod record;
mod table;

pub use record::MemberRecord;
pub use record::MemberState;
pub use table::MemberTable;
pub use table::MergeOutcome;
pub use table::SeedRecord;
