//! The configuration document: its sections, their checks and their acceptance.

pub mod reader;
pub mod sections;
