//! Default scheduler of an agent.

use kingcupfall_policy::schedule;

use super::TargetAddress;

/// Creates the scheduler for a target.
///
/// A plain service has no memory to forecast; the document limits its concurrent calls.
pub fn default_scheduler(address: &TargetAddress) -> Box<dyn schedule::WorkScheduler> {
    match address {
        TargetAddress::Engine(_) => {
            let settings = schedule::ScheduleSettings::default();
            Box::new(schedule::ForecastScheduler::new(settings))
        }
        TargetAddress::Service { .. } => Box::new(schedule::ConcurrentScheduler::new()),
    }
}
