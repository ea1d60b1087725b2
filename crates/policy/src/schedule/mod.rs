//! Scheduling of work on one target: admission, pauses, resumption and refusal.

mod admitted;
mod cached_prefixes;
mod concurrent;
mod engine_memory;
pub mod forecast;
mod forecast_scheduler;
mod immediate;
pub mod length;
mod queue;
pub mod shares;
pub mod step_time;

use std::time::Duration;

use kingcupfall_core::engine;
use kingcupfall_core::ids;
use kingcupfall_core::load;
use kingcupfall_core::measures;
use kingcupfall_core::time;
use kingcupfall_core::work;

pub use concurrent::ConcurrentScheduler;
pub use forecast_scheduler::ForecastScheduler;
pub use forecast_scheduler::ScheduleSettings;
pub use immediate::ImmediateScheduler;

/// One piece of work as submitted to a scheduler.
#[derive(Debug, Clone)]
pub struct SubmittedWork {
    /// Attempt that the work belongs to.
    pub attempt: ids::AttemptId,
    /// Organisation, class, priority and weight of the call.
    pub tag: work::CallerTag,
    /// Model, for a generation; `None` for a service call.
    pub model: Option<ids::ModelName>,
    /// Estimated prompt tokens; zero for a service call.
    pub prompt_tokens: measures::TokenCount,
    /// Hash of the prompt's start; `None` for a service call.
    pub prefix: Option<work::PrefixHash>,
    /// Maximum number of tokens to generate.
    pub max_tokens: measures::TokenCount,
    /// Time on the agent's clock after which the work must not start.
    pub start_by: time::Timestamp,
    /// Whether the work is suspected of crashing targets; a target runs one suspect at a time.
    pub suspect: bool,
}

/// How a piece of work ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum WorkOutcome {
    /// The target finished it.
    Finished,
    /// The caller or the agent cancelled it.
    Cancelled,
    /// The target failed while it had the work.
    Lost,
}

/// Instruction of a scheduler to its agent.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ScheduleDecision {
    /// Start waiting work on the target.
    Admit {
        /// Attempt to start.
        attempt: ids::AttemptId,
        /// Maximum number of prompt tokens that the engine processes in one step, where the
        /// engine supports it; `None` for no limit.
        prefill_chunk: Option<measures::TokenCount>,
    },
    /// Pause a running stream and free its memory.
    Pause {
        /// Attempt to pause.
        attempt: ids::AttemptId,
    },
    /// Resume a paused stream.
    Resume {
        /// Attempt to resume.
        attempt: ids::AttemptId,
    },
    /// Refuse waiting work; it has not run.
    Refuse {
        /// Attempt to refuse.
        attempt: ids::AttemptId,
        /// Time after which the caller may try again.
        retry_after: Duration,
    },
}

/// Decides which work runs on the target of one agent.
///
/// Every submitted attempt ends with exactly one `Refuse` decision or one call of `end`.
pub trait WorkScheduler {
    /// Adds new work to the queue; [`decide`](Self::decide) admits or refuses it later.
    fn submit(&mut self, now: time::Timestamp, submitted: SubmittedWork);

    /// Records that `count` more tokens of `attempt` were generated.
    fn record_tokens(&mut self, now: time::Timestamp, attempt: ids::AttemptId, count: u64);

    /// Removes work that has ended, whether it was waiting, running or paused.
    fn end(&mut self, now: time::Timestamp, attempt: ids::AttemptId, outcome: WorkOutcome);

    /// Handles a load report of the engine.
    fn observe_report(&mut self, now: time::Timestamp, report: &engine::EngineReport);

    /// Handles an event of the engine's prefix cache.
    fn observe_cache(&mut self, now: time::Timestamp, event: &engine::CacheEvent);

    /// Sets the limit of concurrent calls of a plain service; schedulers of engines ignore it.
    fn set_concurrency(&mut self, _calls: u32) {}

    /// Appends the decisions due now; the caller must execute each of them.
    fn decide(&mut self, now: time::Timestamp, decisions: &mut Vec<ScheduleDecision>);

    /// Returns the load to report to gateways.
    fn summarize(&self, now: time::Timestamp) -> load::LoadSummary;
}
