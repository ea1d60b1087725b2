//! Reading callers' requests.

mod cases;
mod properties;
mod support;
