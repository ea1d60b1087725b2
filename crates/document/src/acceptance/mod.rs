//! Acceptance of section texts: selects the active version of each section.
//!
//! Texts may arrive late, repeatedly and in any order; processes that have received the same texts
//! have the same state. An active version is only replaced by a higher one, and a text with
//! findings is never activated.

mod digest;
mod hash;
mod record;
mod state;
mod status;
mod text;
mod validation;

pub use digest::DocumentDigest;
pub use digest::SectionDigest;
pub use digest::VersionSpan;
pub use hash::ContentHash;
pub use hash::HashError;
pub use state::DocumentAcceptance;
pub use state::OfferOutcome;
pub use status::SectionStatus;
pub use text::SectionText;
pub use text::TextId;
