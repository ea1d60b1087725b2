//! Tests of parsing and validating callers' requests.

mod cases;
mod properties;
mod support;
