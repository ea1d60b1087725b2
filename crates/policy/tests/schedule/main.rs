//! Tests of the scheduler that forecasts memory.

mod admission;
mod fairness;
mod lengths;
mod support;
mod suspects;
