//! Rendering of a relay's explanation of a request.

use std::fmt;

use kingcupfall_relay::dispatch;
use kingcupfall_relay::shell;

use crate::table;

/// Renders what would happen to a request, and the state of each target.
pub fn render_request(explanation: &shell::RequestExplanation) -> String {
    let mut text = format!(
        "route {} ({}), priority {}, {} prompt tokens, {} output tokens\n",
        explanation.route,
        explanation.kind,
        explanation.rank,
        explanation.prompt_tokens,
        explanation.output_tokens
    );
    if explanation.services.is_empty() {
        text.push_str("\nthe route has no service: refused (no_target)\n");
    }
    for service in &explanation.services {
        let placement = &service.placement;
        text.push_str(&format!(
            "\nservice {}, weight {}: {}\n\n{}",
            placement.service,
            service.weight,
            OutcomeText(&placement.outcome),
            render_targets(&placement.targets)
        ));
    }
    text
}

/// An outcome in words.
struct OutcomeText<'a>(&'a dispatch::PlacementOutcome);

impl fmt::Display for OutcomeText<'_> {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.0 {
            dispatch::PlacementOutcome::Placed { target } => {
                write!(formatter, "sent to {target}")
            }
            dispatch::PlacementOutcome::Waits {
                calls_ahead,
                expected_wait,
            } => write!(
                formatter,
                "waits, {calls_ahead} calls ahead, about {} ms",
                expected_wait.as_millis()
            ),
            dispatch::PlacementOutcome::Refused {
                reason,
                retry_after,
            } => write!(
                formatter,
                "refused ({reason}), retry after {} ms",
                retry_after.as_millis()
            ),
        }
    }
}

fn render_targets(targets: &[dispatch::TargetExplanation]) -> String {
    if targets.is_empty() {
        return "no known target\n".into();
    }
    let header = [
        "TARGET", "ZONE", "TAKES IT", "HEALTHY", "CALLS", "COPIES", "SLOTS", "MEMORY", "FORECAST",
        "WAITING", "SLOWNESS", "RISK", "COST",
    ];
    let mut table = table::TextTable::new(&header);
    for target in targets {
        let takes_it = match target.obstacle {
            Some(obstacle) => format!("no: {obstacle}"),
            None => "yes".into(),
        };
        table.push(vec![
            target.target.to_string(),
            target.zone.to_string(),
            takes_it,
            super::yes_or_no(target.is_healthy).into(),
            target.calls.to_string(),
            target.copies.to_string(),
            target.slots.to_string(),
            target.memory_used_tokens.to_string(),
            target.memory_forecast_tokens.to_string(),
            target.waiting_prompt_tokens.to_string(),
            format!("{:.2}", f64::from(target.speed_thousandths) / 1_000.0),
            format!("{:.1} %", f64::from(target.pause_risk_thousandths) / 10.0),
            format!("{} ms", target.cost.as_millis()),
        ]);
    }
    table.render()
}
