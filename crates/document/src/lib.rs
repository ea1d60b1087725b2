//! The configuration document: its sections, their checks and their acceptance.

pub mod acceptance;
pub mod check;
pub mod reader;
pub mod sections;
