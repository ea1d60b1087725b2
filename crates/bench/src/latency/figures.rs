//! Delay figures of the two sides, and their difference.

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

/// Delay of a token from the engine to the caller, in milliseconds.
#[derive(Debug, Clone, Copy, PartialEq, Serialize)]
pub struct DelayFigures {
    /// Median of the tokens' delays.
    pub median_ms: f64,
    /// 99th percentile of the tokens' delays.
    pub p99_ms: f64,
}

/// Result of the latency measurement; the field names are those of the JSON output.
#[derive(Debug, Clone, Copy, PartialEq, Serialize)]
pub struct LatencyResult {
    /// Concurrent streams on each side.
    pub streams: usize,
    /// Total tokens on each side.
    pub tokens: u64,
    /// Delay of tokens to callers that are connected to the engine.
    pub direct: DelayFigures,
    /// Delay of tokens to callers that are connected to the gateway.
    pub through: DelayFigures,
    /// Delay that gateway and agent add: the difference of the two, for each figure.
    pub added: DelayFigures,
}

impl LatencyResult {
    /// Formats the figures as a Markdown table.
    pub fn table(&self) -> String {
        let mut table = format!(
            "{} streams per side, {} tokens per side\n\n| token delay | median | p99 |\n| --- | --- | --- |\n",
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

    /// Formats the figures as indented JSON.
    pub fn json(&self) -> String {
        serde_json::to_string_pretty(self).expect("figures can be written as JSON")
    }
}

/// Emission times by attempt and token index.
type EmissionTimes = BTreeMap<(ids::AttemptId, u64), Instant>;

/// Computes the delays from the engine's emission times and the callers' arrival times.
///
/// # Errors
///
/// Returns [`LatencyError::Stream`] if a side received a wrong number of tokens, or a token that
/// the engine did not emit.
pub(super) fn compare(
    size: callers::LoadSize,
    emissions: &[engine::TokenEmission],
    direct: &[callers::TokenArrival],
    through: &[callers::TokenArrival],
) -> Result<LatencyResult> {
    let emission_times: EmissionTimes = emissions
        .iter()
        .map(|emission| ((emission.stream, emission.index.get()), emission.at))
        .collect();
    let direct = delay_figures(size, &emission_times, direct)?;
    let through = delay_figures(size, &emission_times, through)?;

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
    emission_times: &EmissionTimes,
    arrivals: &[callers::TokenArrival],
) -> Result<DelayFigures> {
    let expected = size.tokens * size.streams as u64;
    if arrivals.len() as u64 != expected {
        let reason = format!("{} tokens arrived instead of {expected}", arrivals.len());
        return Err(LatencyError::Stream(reason.into()));
    }

    let mut histogram = Histogram::<u64>::new(SIGNIFICANT_DIGITS)
        .expect("the number of digits is in the library's range");
    for arrival in arrivals {
        let Some(emitted_at) = emission_times.get(&(arrival.stream, arrival.index)) else {
            return Err(LatencyError::Stream(
                "a token arrived that the engine did not emit".into(),
            ));
        };
        let delay = arrival.at.saturating_duration_since(*emitted_at);
        histogram.saturating_record(whole_micros(delay));
    }
    Ok(DelayFigures {
        median_ms: histogram.value_at_quantile(0.5) as f64 / MICROS_PER_MILLI,
        p99_ms: histogram.value_at_quantile(0.99) as f64 / MICROS_PER_MILLI,
    })
}

fn whole_micros(duration: Duration) -> u64 {
    u64::try_from(duration.as_micros()).unwrap_or(u64::MAX)
}
