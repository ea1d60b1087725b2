//! Markdown tables of the results.

use std::fmt::Write;

use super::SlopeReport;

/// Formats the results as Markdown tables.
pub fn write(report: &SlopeReport) -> String {
    let mut text = String::new();
    // Writing to a string doesn't fail.
    let _ = write_fleet(&mut text, report);
    let _ = write_frames(&mut text, report);
    let _ = write_reducers(&mut text, report);
    text
}

fn write_fleet(text: &mut String, report: &SlopeReport) -> std::fmt::Result {
    writeln!(
        text,
        "| processes | gateways | B/s idle | B/s sent | worst | B/s received | agent B/s | \
         messages/s | core % | active after s, median | worst | service calls/s | take-over peak | \
         memory B | took s |"
    )?;
    writeln!(text, "|{}", " ---: |".repeat(15))?;
    for slope in &report.fleet {
        writeln!(
            text,
            "| {} | {} | {:.0} | {:.0} | {:.0} | {:.0} | {:.0} | {:.1} | {:.3} | {:.2} | {:.2} | \
             {:.1} | {} | {} | {:.1} |",
            slope.processes,
            slope.gateways,
            slope.rest_bytes_per_s,
            slope.change_bytes_per_s,
            slope.change_bytes_per_s_worst,
            slope.received_bytes_per_s,
            slope.agent_bytes_per_s,
            slope.messages_per_s,
            slope.core_percent,
            slope.activation_s_median,
            slope.activation_s_worst,
            slope.service_calls_per_s,
            slope.takeover_calls_peak,
            slope.memory_bytes,
            slope.elapsed_s,
        )?;
    }
    Ok(())
}

fn write_frames(text: &mut String, report: &SlopeReport) -> std::fmt::Result {
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

fn write_reducers(text: &mut String, report: &SlopeReport) -> std::fmt::Result {
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
