//! Tests of the forecasting scheduler.

mod admission;
mod fairness;
mod lengths;
mod support;
mod suspects;
