//! Calls that wait or have a target.

use std::rc::Rc;
use std::time::Duration;

use kingcupfall_core::ids;
use kingcupfall_core::time;
use kingcupfall_core::work;

use super::LoadCount;
use crate::directory;

/// Share of a stream's expected output that is reserved when it starts. Streams of a target end
/// at different times, so that their largest sizes do not meet.
const OUTPUT_SHARE: f64 = 0.25;

/// Output tokens beyond those generated for which room is kept, about two seconds of one stream.
const GROWTH_TOKENS: u64 = 200;

/// Fewest output tokens of a stream that counts as long: it takes a second or more.
const LONG_OUTPUT_TOKENS: u64 = 120;

/// Time that a call of a plain service takes, for waits.
const ASSUMED_CALL_TIME: Duration = Duration::from_millis(100);

/// Time to the first event of a stream, for waits.
const ASSUMED_FIRST_EVENT: Duration = Duration::from_millis(500);

/// Time of one output token on a crowded engine, for waits.
const ASSUMED_TOKEN_S: f64 = 0.01;

/// What a call needs.
#[derive(Debug, Clone)]
pub struct CallDemand {
    /// Service that is to answer.
    pub service: ids::ServiceName,
    /// Rank; zero is the most urgent.
    pub rank: u8,
    /// Tokens of the prompt; zero for a plain service.
    pub prompt_tokens: u64,
    /// Output tokens that are expected; zero for a plain service.
    pub output_tokens: u64,
    /// What the service's engines can do; `None` for a plain service.
    pub engine: Option<Rc<directory::EngineCapabilities>>,
    /// When the caller's request arrived.
    pub arrived: time::Timestamp,
    /// When the caller asked for the first time; before `arrived` if it was refused then.
    pub asked_at: time::Timestamp,
    /// Time from arrival within which an answer is on time.
    pub target_latency: Duration,
    /// When the caller's time or the route's is over.
    pub deadline: time::Timestamp,
    /// The same for all repetitions of the request.
    pub fingerprint: work::RequestFingerprint,
    /// Targets that are not tried again.
    pub tried: Vec<ids::TargetName>,
}

/// A call that has a target.
#[derive(Debug)]
pub(super) struct PlacedCall {
    pub(super) demand: Box<CallDemand>,
    pub(super) target: Rc<directory::TargetRecord>,
    pub(super) copy: Option<Rc<directory::TargetRecord>>,
    pub(super) placed_at: time::Timestamp,
    /// Load of all processes at the target when it was chosen.
    pub(super) present: LoadCount,
    pub(super) has_started: bool,
    pub(super) events: u64,
}

impl PlacedCall {
    /// Tokens in the target's memory.
    pub(super) fn used(&self) -> u64 {
        match &self.demand.engine {
            Some(engine) => self.demand.prompt_tokens + self.events * engine.event_tokens,
            None => 0,
        }
    }

    /// Time until the call gives its place back, if it is as long as expected.
    pub(super) fn time_left(&self, now: time::Timestamp) -> Duration {
        let passed = now.since(self.placed_at);
        let Some(engine) = &self.demand.engine else {
            return ASSUMED_CALL_TIME.saturating_sub(passed);
        };
        let done = self.events * engine.event_tokens;
        let left = self.demand.output_tokens.saturating_sub(done).max(1);
        let first = match self.has_started {
            true => Duration::ZERO,
            false => ASSUMED_FIRST_EVENT.saturating_sub(passed),
        };
        first + Duration::from_secs_f64(left as f64 * ASSUMED_TOKEN_S)
    }

    fn forecast(&self) -> u64 {
        match &self.demand.engine {
            Some(_) => forecast_tokens(&self.demand).max(self.used() + GROWTH_TOKENS),
            None => 0,
        }
    }

    /// Load at the target.
    pub(super) fn load(&self) -> LoadCount {
        let start = start_load(&self.demand);
        LoadCount {
            used: self.used(),
            forecast: self.forecast(),
            backlog: match self.has_started {
                true => 0,
                false => start.backlog,
            },
            ..start
        }
    }

    /// Load at the target that holds the copy.
    pub(super) fn copy_load(&self) -> LoadCount {
        LoadCount {
            calls: 0,
            copies: 1,
            used: self.used(),
            forecast: self.forecast(),
            ..LoadCount::default()
        }
    }
}

/// Memory to keep for a call that has not started.
pub(super) fn forecast_tokens(demand: &CallDemand) -> u64 {
    let output = (demand.output_tokens as f64 * OUTPUT_SHARE) as u64;
    match demand.engine {
        Some(_) => demand.prompt_tokens + output.max(GROWTH_TOKENS.min(demand.output_tokens)),
        None => 0,
    }
}

/// Load that a call adds to a target when it is sent there.
pub(super) fn start_load(demand: &CallDemand) -> LoadCount {
    LoadCount {
        calls: 1,
        copies: 0,
        used: demand.prompt_tokens,
        forecast: forecast_tokens(demand),
        backlog: demand.prompt_tokens,
        long_streams: u32::from(is_long(demand)),
        prompt_rate: 0,
    }
}

/// Says whether a stream is expected to be long.
pub(super) fn is_long(demand: &CallDemand) -> bool {
    demand.engine.is_some() && demand.output_tokens >= LONG_OUTPUT_TOKENS
}
