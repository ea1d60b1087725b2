//! Tests of the quarantine of prompt parts that crash targets.

mod fixtures;
mod fleet;
mod records;
mod verdicts;
