//! Plots that compare all policy sets, as SVG text.

use std::error;
use std::result;

use plotters::prelude::*;

use super::PolicyRun;
use crate::observer;

/// Result of drawing a plot.
pub type Result<T> = result::Result<T, Box<dyn error::Error>>;

/// Width and height of a plot, in pixels.
const PLOT_SIZE: (u32, u32) = (760, 300);
const MARGIN: u32 = 12;
const LABEL_AREA: u32 = 48;
const CAPTION_FONT: (&str, u32) = ("sans-serif", 18);

/// Curve of one policy set.
struct PlotCurve {
    name: Box<str>,
    points: Vec<(f64, f64)>,
}

/// Draws the stall of a request in seconds, from its 90th to its 100th percentile.
pub fn draw_stalls(runs: &[PolicyRun]) -> Result<String> {
    let curves = policy_curves(runs, |traces| {
        let count = traces.stalls_s.len().max(1) as f64;
        let percentile = |index: usize| 100.0 * (index + 1) as f64 / count;
        let stalls = traces.stalls_s.iter().enumerate();
        stalls
            .map(|(index, stall)| (percentile(index), *stall))
            .collect()
    });
    draw_chart("Stall of a request", "percentile", "seconds", 90.0, &curves)
}

/// Draws the gap between tokens in milliseconds, by percentile.
pub fn draw_gaps(runs: &[PolicyRun]) -> Result<String> {
    let curves = policy_curves(runs, |traces| {
        // The 100th percentile is left out: a single fault would dominate the scale.
        let gaps = traces.gap_percentiles_ms.iter().enumerate().take(100);
        gaps.map(|(percent, gap)| (percent as f64, *gap)).collect()
    });
    draw_chart(
        "Gap between tokens",
        "percentile",
        "milliseconds",
        0.0,
        &curves,
    )
}

/// Draws the memory use of all engines over time, in percent.
pub fn draw_memory(runs: &[PolicyRun]) -> Result<String> {
    let curves = sample_curves(runs, |sample| 100.0 * sample.memory);
    draw_chart("Memory of all engines", "seconds", "percent", 0.0, &curves)
}

/// Draws the number of calls that wait to run over time.
pub fn draw_queue(runs: &[PolicyRun]) -> Result<String> {
    let curves = sample_curves(runs, |sample| sample.waiting as f64);
    draw_chart("Calls waiting to run", "seconds", "calls", 0.0, &curves)
}

fn sample_curves(
    runs: &[PolicyRun],
    value: impl Fn(&observer::LoadSample) -> f64,
) -> Vec<PlotCurve> {
    policy_curves(runs, |traces| {
        let samples = traces.samples.iter();
        samples.map(|sample| (sample.at_s, value(sample))).collect()
    })
}

fn policy_curves(
    runs: &[PolicyRun],
    points: impl Fn(&observer::RunTraces) -> Vec<(f64, f64)>,
) -> Vec<PlotCurve> {
    runs.iter()
        .map(|run| PlotCurve {
            name: run.name.clone(),
            points: points(&run.traces),
        })
        .collect()
}

fn draw_chart(
    caption: &str,
    x_label: &str,
    y_label: &str,
    x_start: f64,
    curves: &[PlotCurve],
) -> Result<String> {
    let all = || curves.iter().flat_map(|curve| curve.points.iter());
    let x_end = all().map(|(x, _)| *x).fold(x_start + 1.0, f64::max);
    let y_end = all().map(|(_, y)| *y).fold(1.0, f64::max);

    let mut text = String::new();
    {
        let area = SVGBackend::with_string(&mut text, PLOT_SIZE).into_drawing_area();
        area.fill(&WHITE)?;
        let mut chart = ChartBuilder::on(&area)
            .caption(caption, CAPTION_FONT)
            .margin(MARGIN)
            .x_label_area_size(LABEL_AREA)
            .y_label_area_size(LABEL_AREA)
            .build_cartesian_2d(x_start..x_end, 0.0..y_end)?;
        chart
            .configure_mesh()
            .x_desc(x_label)
            .y_desc(y_label)
            .draw()?;

        for (index, curve) in curves.iter().enumerate() {
            let colour = Palette99::pick(index);
            let points = curve.points.iter().copied().filter(|(x, _)| *x >= x_start);
            chart
                .draw_series(LineSeries::new(points, &colour))?
                .label(curve.name.as_ref())
                .legend(move |(x, y)| {
                    PathElement::new([(x, y), (x + 16, y)], Palette99::pick(index))
                });
        }
        chart
            .configure_series_labels()
            .background_style(WHITE)
            .border_style(BLACK)
            .position(SeriesLabelPosition::UpperLeft)
            .draw()?;
        area.present()?;
    }
    Ok(text)
}
