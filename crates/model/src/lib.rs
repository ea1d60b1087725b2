//! Simulated model engine: continuous batching with limited key-value memory.
//!
//! The stand-in engine and the bench both use [`EngineModel`]. It does no I/O and reads no clock; a
//! seeded random number generator determines which cache events are lost.

mod cache;
mod engine;
mod profile;
mod stream;

pub use cache::PrefixCache;
pub use engine::EngineModel;
pub use engine::EngineOutput;
pub use profile::EngineProfile;
pub use stream::SharedPrefix;
pub use stream::StreamRequest;
