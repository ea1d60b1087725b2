//! Which waiting work an agent gives to its target, and which running streams it pauses.

mod cached;
mod concurrent;
mod engine_view;
pub mod forecast;
mod forecasting;
pub mod length;
mod naive;
pub mod pace;
mod queue;
mod running;
pub mod shares;

use std::time::Duration;

use kingcupfall_core::engine;
use kingcupfall_core::ids;
use kingcupfall_core::load;
use kingcupfall_core::measures;
use kingcupfall_core::time;
use kingcupfall_core::work;

pub use concurrent::ConcurrentScheduler;
pub use forecasting::ForecastScheduler;
pub use forecasting::ScheduleSettings;
pub use naive::NaiveScheduler;

/// What a scheduler knows of one piece of work when it is submitted.
#[derive(Debug, Clone)]
pub struct WorkTicket {
    /// Attempt that wants to run.
    pub attempt: ids::AttemptId,
    /// Whose call it is.
    pub tag: work::CallerTag,
    /// Model, for a generation; `None` for a service call.
    pub model: Option<ids::ModelName>,
    /// Estimated prompt tokens; zero for a service call.
    pub prompt_tokens: measures::TokenCount,
    /// Hash of the prompt's start; `None` for a service call.
    pub prefix: Option<work::PrefixHash>,
    /// Most tokens to generate.
    pub max_tokens: measures::TokenCount,
    /// Time on the agent's clock after which the work must not start.
    pub start_by: time::Timestamp,
    /// Whether it must run beside no other suspect.
    pub suspect: bool,
}

/// How a piece of work left the scheduler.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum WorkEnd {
    /// The target finished it.
    Finished,
    /// It was cancelled, by its caller or by an agent's rule.
    Cancelled,
    /// The target lost it.
    Lost,
}

/// An instruction of a scheduler to its agent.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ScheduleDecision {
    /// Give the work to the target.
    Admit {
        /// Attempt to start.
        attempt: ids::AttemptId,
        /// Most prompt tokens the engine may process in one step, where the engine allows it.
        prefill_chunk: Option<measures::TokenCount>,
    },
    /// Pause a running stream; its memory is freed.
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
        /// When the caller may try again.
        retry_after: Duration,
    },
}

/// Decides which work runs on one target. One scheduler belongs to one agent.
///
/// Every submitted attempt ends with exactly one `Refuse` decision or one call of `end`.
pub trait WorkScheduler {
    /// Takes new work into the queue.
    fn submit(&mut self, now: time::Timestamp, ticket: WorkTicket);

    /// Notes that `count` more tokens of `attempt` were generated.
    fn record_tokens(&mut self, now: time::Timestamp, attempt: ids::AttemptId, count: u64);

    /// Removes work that has ended, wherever it stood.
    fn end(&mut self, now: time::Timestamp, attempt: ids::AttemptId, end: WorkEnd);

    /// Takes a load report of the engine.
    fn observe_report(&mut self, now: time::Timestamp, report: &engine::EngineReport);

    /// Takes an event of the engine's prefix cache.
    fn observe_cache(&mut self, now: time::Timestamp, event: &engine::CacheEvent);

    /// Sets how many calls a plain service runs at a time; engines are not limited so.
    fn set_concurrency(&mut self, _calls: u32) {}

    /// Appends the decisions due now; the caller carries out each of them.
    fn decide(&mut self, now: time::Timestamp, decisions: &mut Vec<ScheduleDecision>);

    /// Returns the load that gateways are told.
    fn summarize(&self, now: time::Timestamp) -> load::LoadSummary;
}
