//! Sections of the document as versioned bytes, and what carries their changes.

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
pub use parts::PART_LIMIT_BYTES;
pub use parts::PartHash;
pub use parts::SectionManifest;
pub use parts::SectionPart;
pub use patch::SectionPatch;
pub use store::SectionAnswer;
pub use store::SectionStore;
pub use store::SectionValue;
pub use store::VALUE_LIMIT_BYTES;
pub use transfer::SectionTransfer;
pub use transfer::TransferStep;
