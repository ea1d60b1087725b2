//! The operators' command line: reads the administration API of any gateway, and checks documents
//! without one. Nothing here changes anything.

pub mod client;
pub mod command;
pub mod run;
pub mod show;
mod table;
pub mod trace;
