//! The scheduler of an agent unless it is told otherwise.

use kingcupfall_policy::schedule;

use super::TargetAddress;

/// Makes the scheduler for a target.
///
/// A plain service has no memory to forecast; the document limits its calls at a time.
pub fn standard_scheduler(target: &TargetAddress) -> Box<dyn schedule::WorkScheduler> {
    match target {
        TargetAddress::Engine(_) => {
            let settings = schedule::ScheduleSettings::default();
            Box::new(schedule::ForecastScheduler::new(settings))
        }
        TargetAddress::Service { .. } => Box::new(schedule::ConcurrentScheduler::new()),
    }
}
