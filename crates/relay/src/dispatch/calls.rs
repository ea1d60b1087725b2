//! Requirements of calls, and the load that placed calls put on targets.

use std::rc::Rc;
use std::time::Duration;

use kingcupfall_core::ids;
use kingcupfall_core::time;
use kingcupfall_core::work;

use super::LoadCount;
use super::crashes;
use super::speeds;
use crate::directory;

/// Share of a stream's expected output that is reserved when it starts. Streams at a target end at
/// different times, so they do not reach their maximum size together.
const RESERVED_OUTPUT_SHARE: f64 = 0.25;

/// Output tokens reserved beyond those already generated, about two seconds of one stream.
const GROWTH_RESERVE_TOKENS: u64 = 200;

/// Output tokens from which a stream counts as long: it takes a second or more.
const MIN_LONG_OUTPUT_TOKENS: u64 = 120;

/// Assumed duration of a call to a plain service when estimating waits.
const ASSUMED_CALL_TIME: Duration = Duration::from_millis(100);

/// Assumed time to the first event of a stream when estimating waits.
const ASSUMED_FIRST_EVENT_TIME: Duration = Duration::from_millis(500);

/// Assumed time per output token on a busy engine when estimating waits.
const ASSUMED_TOKEN_TIME_S: f64 = 0.01;

/// Requirements of a call, from which its target is chosen.
#[derive(Debug, Clone)]
pub struct CallDemand {
    /// Service that has to respond.
    pub service: ids::ServiceName,
    /// Priority rank; zero is the most urgent.
    pub rank: u8,
    /// Prompt tokens; zero for a plain service.
    pub prompt_tokens: u64,
    /// Expected output tokens; zero for a plain service.
    pub output_tokens: u64,
    /// Capabilities of the service's engines; `None` for a plain service.
    pub engine: Option<Rc<directory::EngineCapabilities>>,
    /// When the caller's request arrived at this relay.
    pub arrived_at: time::Timestamp,
    /// When the caller first sent the request; earlier than `arrived_at` if the request was refused
    /// before.
    pub first_requested_at: time::Timestamp,
    /// Time from arrival within which a response counts as on time.
    pub target_latency: Duration,
    /// When the caller's timeout or the route's expires, whichever is earlier.
    pub deadline: time::Timestamp,
    /// Identifies the request; the same for all its repetitions.
    pub fingerprint: work::RequestFingerprint,
    /// Parts of its prompt that other requests may share, in order; empty without a prompt.
    pub prompt_parts: Rc<[work::PromptPartId]>,
    /// Longest pause between two events with which a stream is still on time, if its route states
    /// one.
    pub target_gap: Option<Duration>,
    /// Availability zones whose targets may run the call; `None` if all may.
    pub allowed_zones: Option<Rc<[ids::ZoneName]>>,
    /// Targets that are not tried again.
    pub tried: Vec<ids::TargetName>,
}

impl CallDemand {
    /// Returns whether targets of a zone may run the call.
    pub fn allows_zone(&self, zone: &ids::ZoneName) -> bool {
        let allowed = self.allowed_zones.as_ref();
        allowed.is_none_or(|zones| zones.contains(zone))
    }
}

/// When an attempt was sent, its first event was received, and its target was last heard from.
#[derive(Debug, Clone, Copy)]
pub(super) struct AttemptTimes {
    sent_at: time::Timestamp,
    first_event_at: Option<time::Timestamp>,
    heard_at: time::Timestamp,
}

/// A call that was assigned a target.
#[derive(Debug, Clone)]
pub(super) struct PlacedCall {
    pub(super) demand: Box<CallDemand>,
    pub(super) target: Rc<directory::TargetRecord>,
    pub(super) copy_holder: Option<Rc<directory::TargetRecord>>,
    pub(super) placed_at: time::Timestamp,
    /// When the call was sent to the target.
    pub(super) sent_at: time::Timestamp,
    /// When the call was sent, or the last event of its stream was received.
    pub(super) heard_at: time::Timestamp,
    /// When the first event from the target was received.
    pub(super) first_event_at: Option<time::Timestamp>,
    /// Times at the target before a migration that may still fail.
    pub(super) previous_times: Option<AttemptTimes>,
    /// Whether the stream has been recorded as sound at the target.
    pub(super) is_sound: bool,
    /// Load of all relays at the target when it was chosen, without this call.
    pub(super) load_at_placement: LoadCount,
    pub(super) has_started: bool,
    pub(super) events: u64,
    /// Observation of the target's speed.
    pub(super) speed_window: speeds::SpeedWindow,
}

impl PlacedCall {
    /// Returns the attempt to run the call at its target.
    pub(super) fn attempt(&self) -> crashes::TargetAttempt {
        crashes::TargetAttempt {
            target: Rc::clone(&self.target),
            fingerprint: self.demand.fingerprint,
            prompt_parts: Rc::clone(&self.demand.prompt_parts),
            sent_at: self.sent_at,
            first_event_at: self.first_event_at,
            heard_at: self.heard_at,
        }
    }

    /// Starts the times of an attempt at another target, and keeps those of the present one.
    pub(super) fn start_times(&mut self, now: time::Timestamp) {
        self.previous_times = Some(AttemptTimes {
            sent_at: self.sent_at,
            first_event_at: self.first_event_at,
            heard_at: self.heard_at,
        });
        self.sent_at = now;
        self.first_event_at = None;
        self.heard_at = now;
        self.speed_window = speeds::SpeedWindow::default();
    }

    /// Restores the times of the attempt before a migration that failed.
    pub(super) fn restore_times(&mut self) {
        if let Some(times) = self.previous_times.take() {
            self.sent_at = times.sent_at;
            self.first_event_at = times.first_event_at;
            self.heard_at = times.heard_at;
            self.speed_window = speeds::SpeedWindow::default();
        }
    }

    /// Returns the tokens held in the target's memory.
    pub(super) fn used_tokens(&self) -> u64 {
        match &self.demand.engine {
            Some(engine) => self.demand.prompt_tokens + self.events * engine.event_tokens,
            None => 0,
        }
    }

    /// Returns the time until the call frees its slot, assuming the expected output length.
    pub(super) fn expected_time_left(&self, now: time::Timestamp) -> Duration {
        let elapsed = now.since(self.placed_at);
        let Some(engine) = &self.demand.engine else {
            return ASSUMED_CALL_TIME.saturating_sub(elapsed);
        };
        let generated_tokens = self.events * engine.event_tokens;
        let remaining_tokens = self
            .demand
            .output_tokens
            .saturating_sub(generated_tokens)
            .max(1);
        let first_event_time = match self.has_started {
            true => Duration::ZERO,
            false => ASSUMED_FIRST_EVENT_TIME.saturating_sub(elapsed),
        };
        first_event_time + Duration::from_secs_f64(remaining_tokens as f64 * ASSUMED_TOKEN_TIME_S)
    }

    fn forecast_tokens(&self) -> u64 {
        match &self.demand.engine {
            Some(_) => initial_forecast_tokens(&self.demand)
                .max(self.used_tokens() + GROWTH_RESERVE_TOKENS),
            None => 0,
        }
    }

    /// Returns the load at the target that runs the call.
    pub(super) fn load(&self) -> LoadCount {
        let initial = initial_load(&self.demand);
        LoadCount {
            used_tokens: self.used_tokens(),
            forecast_tokens: self.forecast_tokens(),
            backlog_tokens: match self.has_started {
                true => 0,
                false => initial.backlog_tokens,
            },
            ..initial
        }
    }

    /// Returns the load at the copy holder.
    pub(super) fn copy_load(&self) -> LoadCount {
        LoadCount {
            calls: 0,
            copies: 1,
            used_tokens: self.used_tokens(),
            forecast_tokens: self.forecast_tokens(),
            ..LoadCount::default()
        }
    }
}

/// Returns the tokens of memory to reserve for a call that has not started.
pub(super) fn initial_forecast_tokens(demand: &CallDemand) -> u64 {
    let output = (demand.output_tokens as f64 * RESERVED_OUTPUT_SHARE) as u64;
    match demand.engine {
        Some(_) => {
            demand.prompt_tokens + output.max(GROWTH_RESERVE_TOKENS.min(demand.output_tokens))
        }
        None => 0,
    }
}

/// Returns the load that a call adds to a target when it is sent there.
pub(super) fn initial_load(demand: &CallDemand) -> LoadCount {
    LoadCount {
        calls: 1,
        copies: 0,
        used_tokens: demand.prompt_tokens,
        forecast_tokens: initial_forecast_tokens(demand),
        backlog_tokens: demand.prompt_tokens,
        long_streams: u32::from(is_long_stream(demand)),
        prompt_tokens_per_s: 0,
    }
}

/// Returns whether a stream is expected to be long.
pub(super) fn is_long_stream(demand: &CallDemand) -> bool {
    demand.engine.is_some() && demand.output_tokens >= MIN_LONG_OUTPUT_TOKENS
}
