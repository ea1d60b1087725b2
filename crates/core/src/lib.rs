//! Ids, units, timestamps, keys and request types that all crates of the workspace share.

pub mod engine;
pub mod findings;
pub mod ids;
pub mod keys;
pub mod load;
pub mod measures;
pub mod time;
pub mod work;
