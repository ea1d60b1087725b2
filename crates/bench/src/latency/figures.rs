//! Delays of tokens as figures.

use std::collections::BTreeMap;
use std::fmt::Write;
use std::time::Duration;
use std::time::Instant;

use hdrhistogram::Histogram;
use kingcupfall_core::ids;
use kingcupfall_standin::engine;
use serde::Serialize;

use super::LatencyError;
use super::Result;
use super::callers;

const SIGNIFICANT_DIGITS: u8 = 3;
const MICROS_PER_MILLI: f64 = 1_000.0;

/// Delay from the engine to the caller, in milliseconds.
#[derive(Debug, Clone, Copy, PartialEq, Serialize)]
pub struct DelayFigures {
    /// Half of the tokens took at most this long.
    pub median_ms: f64,
    /// 99 of 100 tokens took at most this long.
    pub p99_ms: f64,
}

/// Both sides, and what the system adds.
#[derive(Debug, Clone, Copy, PartialEq, Serialize)]
pub struct LatencyResult {
    /// Streams on each side at a time.
    pub streams: usize,
    /// Tokens on each side.
    pub tokens: u64,
    /// Callers of the engine itself.
    pub direct: DelayFigures,
    /// Callers of a gateway.
    pub through: DelayFigures,
    /// Difference of the two.
    pub added: DelayFigures,
}

impl LatencyResult {
    /// Writes the figures as a table.
    pub fn table(&self) -> String {
        let mut table = format!(
            "{} streams a side, {} tokens a side\n\n| delay of a token | median | p99 |\n| --- | --- | --- |\n",
            self.streams, self.tokens
        );
        let rows = [
            ("direct from the engine", &self.direct),
            ("through gateway and agent", &self.through),
            ("added", &self.added),
        ];
        for (name, figures) in rows {
            let row = writeln!(
                table,
                "| {name} | {:.3} ms | {:.3} ms |",
                figures.median_ms, figures.p99_ms
            );
            row.expect("writing to a string can't fail");
        }
        table
    }

    /// Writes the figures as JSON.
    pub fn json(&self) -> String {
        serde_json::to_string_pretty(self).expect("figures can be written as JSON")
    }
}

type EmissionTimes = BTreeMap<(ids::AttemptId, u64), Instant>;

/// Compares arrivals with the engine's times.
///
/// # Errors
///
/// [`LatencyError::Stream`] when a side has not each token once.
pub(super) fn compare(
    size: callers::LoadSize,
    emissions: &[engine::TokenEmission],
    direct: &[callers::TokenArrival],
    through: &[callers::TokenArrival],
) -> Result<LatencyResult> {
    let times: EmissionTimes = emissions
        .iter()
        .map(|emission| ((emission.stream, emission.index.get()), emission.at))
        .collect();
    let direct = delay_figures(size, &times, direct)?;
    let through = delay_figures(size, &times, through)?;

    Ok(LatencyResult {
        streams: size.streams,
        tokens: size.tokens * size.streams as u64,
        direct,
        through,
        added: DelayFigures {
            median_ms: through.median_ms - direct.median_ms,
            p99_ms: through.p99_ms - direct.p99_ms,
        },
    })
}

fn delay_figures(
    size: callers::LoadSize,
    times: &EmissionTimes,
    arrivals: &[callers::TokenArrival],
) -> Result<DelayFigures> {
    let expected = size.tokens * size.streams as u64;
    if arrivals.len() as u64 != expected {
        let reason = format!("{} tokens arrived, not {expected}", arrivals.len());
        return Err(LatencyError::Stream(reason.into()));
    }

    let mut histogram = Histogram::<u64>::new(SIGNIFICANT_DIGITS)
        .expect("the number of digits is in the library's range");
    for arrival in arrivals {
        let Some(emitted) = times.get(&(arrival.stream, arrival.index)) else {
            return Err(LatencyError::Stream("a token came from nowhere".into()));
        };
        let delay = arrival.at.saturating_duration_since(*emitted);
        histogram.saturating_record(micros(delay));
    }
    Ok(DelayFigures {
        median_ms: histogram.value_at_quantile(0.5) as f64 / MICROS_PER_MILLI,
        p99_ms: histogram.value_at_quantile(0.99) as f64 / MICROS_PER_MILLI,
    })
}

fn micros(duration: Duration) -> u64 {
    u64::try_from(duration.as_micros()).unwrap_or(u64::MAX)
}
