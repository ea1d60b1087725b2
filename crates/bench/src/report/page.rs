//! HTML page with a table of figures and plots.

use std::fs;
use std::path::Path;

use super::PolicyRun;
use super::plots;

/// File name of the page.
const PAGE_NAME: &str = "index.html";

/// Writes the page of a scenario into `folder`, which is created if it is missing.
///
/// # Errors
///
/// Returns an error if a plot can't be drawn, or the folder or file can't be written.
pub fn write_page(folder: &Path, scenario: &str, runs: &[PolicyRun]) -> plots::Result<()> {
    let plots = [
        plots::draw_stalls(runs)?,
        plots::draw_gaps(runs)?,
        plots::draw_memory(runs)?,
        plots::draw_queue(runs)?,
    ];
    let rows: String = runs.iter().map(figure_row).collect();
    let page = format!(
        "<!DOCTYPE html>\n<html lang=\"en\">\n<meta charset=\"utf-8\">\n\
         <title>{scenario}</title>\n<h1>{scenario}</h1>\n<table border=\"1\">\n\
         <tr><th>policy<th>requests<th>completed<th>not run<th>unknown<th>stall mean s\
         <th>stall p99 s<th>gap p50 ms<th>gap p99 ms<th>first token p95 s<th>preemptions\
         <th>pauses<th>tokens/s</tr>\n{rows}</table>\n{}\n</html>\n",
        plots.join("\n")
    );

    fs::create_dir_all(folder)?;
    fs::write(folder.join(PAGE_NAME), page)?;
    Ok(())
}

fn figure_row(run: &PolicyRun) -> String {
    let result = &run.result;
    format!(
        "<tr><td>{}<td>{}<td>{}<td>{}<td>{}<td>{:.3}<td>{:.2}<td>{:.1}<td>{:.1}<td>{:.2}\
         <td>{}<td>{}<td>{:.0}</tr>\n",
        run.name,
        result.requests,
        result.completed,
        result.not_run,
        result.unknown,
        result.stall_s_mean,
        result.stall_s_p99,
        result.gap_ms_p50,
        result.gap_ms_p99,
        result.first_token_s_p95,
        result.preemptions,
        result.pauses,
        result.tokens_per_s,
    )
}
