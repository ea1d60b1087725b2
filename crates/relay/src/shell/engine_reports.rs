//! Reads the reports of model engines while the directory is lost, as it then announces no
//! departures, and streams can't be migrated in time without notice.

use std::rc::Rc;
use std::time::Duration;

use tokio::task;
use tokio::time::MissedTickBehavior;

use super::client;
use super::directory_events;
use super::state::RelayState;
use crate::directory;

/// Interval at which the reports are read: several times within the notice of some 1.5 s that a
/// reclaimed engine gives.
const REPORT_INTERVAL: Duration = Duration::from_millis(300);

/// Time limit for reading one report.
const REPORT_TIMEOUT: Duration = Duration::from_millis(600);

/// Source that the decision log names for departures found in reports.
const REPORT_SOURCE: &str = "report";

/// Reads the reports of all engines whose arbiter this relay is, for as long as the directory is
/// lost. Peers are told of the departures.
pub(super) async fn poll_reports(state: Rc<RelayState>) {
    let mut interval = tokio::time::interval(REPORT_INTERVAL);
    interval.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        interval.tick().await;
        if !state.targets.borrow().is_directory_lost() {
            continue;
        }
        for target in arbitrated_engines(&state) {
            task::spawn_local(read_report(Rc::clone(&state), target));
        }
    }
}

fn arbitrated_engines(state: &RelayState) -> Vec<Rc<directory::TargetRecord>> {
    let Some(routes) = state.routes() else {
        return Vec::new();
    };
    let mut targets = state.with_dispatcher(|dispatcher, now| dispatcher.arbitrated_targets(now));
    targets.retain(|target| {
        let service = routes.table.service(&target.service);
        service.is_some_and(|service| service.engine.is_some())
    });
    targets
}

async fn read_report(state: Rc<RelayState>, target: Rc<directory::TargetRecord>) {
    let request = state.protocol.report_request(target.address);
    let (parts, body) = match client::exchange(
        target.address,
        request,
        REPORT_TIMEOUT,
        &state.memory.responses,
    )
    .await
    {
        Ok(response) => response,
        Err(error) => {
            return log::debug!("can't read the report of target {}: {error}", target.key);
        }
    };
    let Some(report) = state.protocol.read_report(parts.status, &body) else {
        return;
    };
    // The address may have been assigned to another target since.
    let known_start = target.key.started_ms;
    let is_other = |started_ms| known_start != 0 && started_ms != known_start;
    if !report.is_leaving || report.started_ms.is_some_and(is_other) {
        return;
    }
    let changes = state
        .targets
        .borrow_mut()
        .apply_announced_departure(&target.key);
    directory_events::apply_target_changes(&state, changes, REPORT_SOURCE);
}
