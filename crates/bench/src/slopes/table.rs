//! Markdown tables of the results.

use std::fmt::Write;

use super::CostReport;

/// Formats the results as Markdown tables.
pub fn render(report: &CostReport) -> String {
    let mut text = String::new();
    // Writing to a string doesn't fail.
    let _ = write_fleet(&mut text, report);
    let _ = write_frames(&mut text, report);
    let _ = write_reducers(&mut text, report);
    text
}

fn write_fleet(text: &mut String, report: &CostReport) -> std::fmt::Result {
    writeln!(
        text,
        "| processes | gateways | B/s idle | B/s sent | worst | B/s received | agent B/s | \
         messages/s | core % | active after s, median | worst | service calls/s | take-over peak | \
         memory B | took s |"
    )?;
    writeln!(text, "|{}", " ---: |".repeat(15))?;
    for cost in &report.fleet {
        writeln!(
            text,
            "| {} | {} | {:.0} | {:.0} | {:.0} | {:.0} | {:.0} | {:.1} | {:.3} | {:.2} | {:.2} | \
             {:.1} | {} | {} | {:.1} |",
            cost.processes,
            cost.gateways,
            cost.rest_bytes_per_s,
            cost.change_bytes_per_s,
            cost.change_bytes_per_s_worst,
            cost.received_bytes_per_s,
            cost.agent_bytes_per_s,
            cost.messages_per_s,
            cost.core_percent,
            cost.activation_s_median,
            cost.activation_s_worst,
            cost.service_calls_per_s,
            cost.takeover_calls_peak,
            cost.memory_bytes,
            cost.elapsed_s,
        )?;
    }
    Ok(())
}

fn write_frames(text: &mut String, report: &CostReport) -> std::fmt::Result {
    writeln!(text, "\n| frame | bytes | encode us | decode us |")?;
    writeln!(text, "| --- | ---: | ---: | ---: |")?;
    for cost in &report.frames {
        writeln!(
            text,
            "| {} | {} | {:.2} | {:.2} |",
            cost.frame, cost.bytes, cost.encode_us, cost.decode_us
        )?;
    }
    Ok(())
}

fn write_reducers(text: &mut String, report: &CostReport) -> std::fmt::Result {
    writeln!(text, "\n| event | gateway us | agent us |")?;
    writeln!(text, "| --- | ---: | ---: |")?;
    for cost in &report.reducers {
        writeln!(
            text,
            "| {} | {:.2} | {:.2} |",
            cost.event, cost.gateway_us, cost.agent_us
        )?;
    }
    Ok(())
}
