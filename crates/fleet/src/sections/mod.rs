//! Sections of the document as versioned bytes, and their transfer between processes as patches or
//! parts.

mod name;
mod parts;
mod patch;
mod store;
mod stored;
mod transfer;

pub use name::ContentHash;
pub use name::SectionHead;
pub use name::SectionName;
pub use name::SectionSlot;
pub use name::SectionVerdict;
pub use name::VersionHead;
pub use parts::MAX_PART_BYTES;
pub use parts::PartHash;
pub use parts::SectionManifest;
pub use parts::SectionPart;
pub use patch::SectionPatch;
pub use store::MAX_VALUE_BYTES;
pub use store::SectionReply;
pub use store::SectionStore;
pub use store::SectionValue;
pub use transfer::SectionTransfer;
pub use transfer::TransferStep;
