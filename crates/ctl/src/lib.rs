//! Command-line tool for operators. Reads the administration API of a gateway, asks relays where
//! a request would go, checks documents offline and searches the log files of relays; no command
//! changes any state.

pub mod client;
pub mod command;
pub mod render;
pub mod run;
mod table;
pub mod trace;
