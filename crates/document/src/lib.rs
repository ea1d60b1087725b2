//! The operators' configuration document: reading and checking its sections, and deciding which
//! published version of each section is active.

pub mod acceptance;
pub mod check;
pub mod reader;
pub mod sections;
