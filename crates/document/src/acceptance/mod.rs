//! Acceptance of section texts: which version of each section is in force.
//!
//! Texts may arrive in any order, late, and more than once; any two processes that have seen the
//! same texts hold the same state. A version in force is only ever replaced by a higher one, and a
//! text with findings replaces nothing.

mod digest;
mod hash;
mod record;
mod state;
mod status;
mod text;
mod trial;

pub use digest::DocumentDigest;
pub use digest::SectionDigest;
pub use digest::VersionSpan;
pub use hash::ContentHash;
pub use hash::HashError;
pub use state::DocumentAcceptance;
pub use state::OfferOutcome;
pub use status::SectionStatus;
pub use text::SectionMark;
pub use text::SectionText;
