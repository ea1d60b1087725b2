//! Ids, sizes, rates, time and findings shared by every crate of the workspace.

pub mod engine;
pub mod findings;
pub mod ids;
pub mod keys;
pub mod load;
pub mod measures;
pub mod time;
pub mod work;
