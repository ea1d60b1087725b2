//! Plot of the costs over the size of the fleet.

use std::path::Path;

use plotters::chart::ChartBuilder;
use plotters::coord::combinators::IntoLogRange;
use plotters::drawing::IntoDrawingArea;
use plotters::series::LineSeries;
use plotters::style;
use plotters::style::Color;

use super::FleetCost;
use super::Result;

/// Width and height of the plot, in pixels.
const PLOT_SIZE: (u32, u32) = (900, 540);

/// Line of the plot.
struct PlotLine {
    label: &'static str,
    color: style::RGBColor,
    value: fn(&FleetCost) -> f64,
}

const LINES: [PlotLine; 4] = [
    PlotLine {
        label: "bytes/s sent by a gateway",
        color: style::BLUE,
        value: |cost| cost.change_bytes_per_s,
    },
    PlotLine {
        label: "bytes/s sent by the busiest gateway",
        color: style::RED,
        value: |cost| cost.change_bytes_per_s_worst,
    },
    PlotLine {
        label: "time until active everywhere, ms",
        color: style::GREEN,
        value: |cost| cost.activation_s_worst * 1_000.0,
    },
    PlotLine {
        label: "service calls/s",
        color: style::MAGENTA,
        value: |cost| cost.service_calls_per_s,
    },
];

/// Draws the costs over the size of the fleet, on logarithmic axes.
///
/// # Errors
///
/// Returns an error if the file can't be written.
pub fn draw(path: &Path, costs: &[FleetCost]) -> Result<()> {
    let sizes = costs.iter().map(|cost| cost.processes as f64);
    let largest = sizes.fold(10.0, f64::max);
    let root = plotters::backend::SVGBackend::new(path, PLOT_SIZE).into_drawing_area();
    root.fill(&style::WHITE)?;
    let mut chart = ChartBuilder::on(&root)
        .caption("Cost of one process as the fleet grows", ("sans-serif", 20))
        .margin(12)
        .x_label_area_size(40)
        .y_label_area_size(70)
        .build_cartesian_2d(
            (10.0..largest * 1.1).log_scale(),
            (1.0..40_000.0).log_scale(),
        )?;
    chart.configure_mesh().x_desc("processes").draw()?;

    for line in &LINES {
        let points = costs
            .iter()
            .map(|cost| (cost.processes as f64, (line.value)(cost).max(1.0)));
        let color = line.color;
        chart
            .draw_series(LineSeries::new(points, color.stroke_width(2)))?
            .label(line.label)
            .legend(move |(x, y)| {
                plotters::element::PathElement::new(vec![(x, y), (x + 20, y)], color)
            });
    }
    chart
        .configure_series_labels()
        .background_style(style::WHITE)
        .border_style(style::BLACK)
        .draw()?;
    root.present()?;
    Ok(())
}
