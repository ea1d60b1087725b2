//! Observer of all calls in one run of a scenario.

use std::collections::BTreeMap;
use std::time::Duration;

use hdrhistogram::Histogram;
use kingcupfall_core::time;
use kingcupfall_core::work;
use kingcupfall_gateway::reducer as gateway;

use super::LoadSample;
use super::PolicyResult;
use super::RequestOutcome;
use super::RequestRecord;
use super::RunTraces;
use crate::scenario;

/// Time within which a call must start, from when its caller sends it.
pub const START_TIMEOUT: Duration = Duration::from_secs(120);

/// Time after a target begins to leave during which it may still start work.
const LEAVE_GRACE_PERIOD: Duration = Duration::from_secs(5);

/// Largest gap in the histogram, in microseconds; longer gaps are recorded as this one.
const MAX_GAP_US: u64 = 1_000_000_000;

const MICROS_PER_MILLISECOND: f64 = 1_000.0;

/// State of one call, which is one submission of a request to a gateway.
#[derive(Debug, Clone)]
struct CallRecord {
    request: usize,
    /// Generation that the first received token came from.
    generation: Option<u64>,
    next_token: u64,
    starts: u64,
    reported_not_run: bool,
    is_open: bool,
}

/// Records what callers receive and what engines start.
#[derive(Debug)]
pub struct RunObserver {
    requests: Vec<RequestRecord>,
    offered_requests: Vec<scenario::OfferedRequest>,
    is_class_repeatable: Vec<bool>,
    calls: Vec<CallRecord>,
    open_calls: usize,
    /// Call of each generation, by generation number.
    generation_calls: Vec<usize>,
    starts_by_request: BTreeMap<usize, u64>,
    token_gaps: Histogram<u64>,
    samples: Vec<LoadSample>,
    result: PolicyResult,
    arrivals_end: time::Timestamp,
    duration: Duration,
    tokens_during_arrivals: u64,
}

impl RunObserver {
    /// Creates an observer for a run of `offered_requests`.
    ///
    /// Their arrival times include `warm_up`, which passes before the arrivals begin.
    pub fn new(
        scenario: &scenario::Scenario,
        offered_requests: Vec<scenario::OfferedRequest>,
        warm_up: Duration,
    ) -> Self {
        let is_class_repeatable = scenario
            .classes
            .iter()
            .map(|class| class.repeatable)
            .collect();

        Self {
            requests: offered_requests
                .iter()
                .map(|request| RequestRecord::new(request.at))
                .collect(),
            offered_requests,
            is_class_repeatable,
            calls: Vec::new(),
            open_calls: 0,
            generation_calls: Vec::new(),
            starts_by_request: BTreeMap::new(),
            token_gaps: Histogram::new_with_max(MAX_GAP_US, 3).expect("the bounds are valid"),
            samples: Vec::new(),
            result: PolicyResult::default(),
            arrivals_end: time::Timestamp::ZERO + warm_up + scenario.duration.get(),
            duration: scenario.duration.get(),
            tokens_during_arrivals: 0,
        }
    }

    /// Returns a request as it was drawn from the scenario, by its index.
    pub fn offered_request(&self, request: usize) -> &scenario::OfferedRequest {
        &self.offered_requests[request]
    }

    /// Records a new call of a request and returns the call's number.
    pub fn open_call(&mut self, request: usize) -> usize {
        self.open_calls += 1;
        self.calls.push(CallRecord {
            request,
            generation: None,
            next_token: 0,
            starts: 0,
            reported_not_run: false,
            is_open: true,
        });
        self.calls.len() - 1
    }

    /// Returns the index of the request that a call belongs to.
    pub fn request_of_call(&self, call: usize) -> usize {
        self.calls[call].request
    }

    /// Returns the number of calls made for a request so far.
    pub fn call_count(&self, request: usize) -> usize {
        self.calls
            .iter()
            .filter(|call| call.request == request)
            .count()
    }

    /// Returns whether any call has no final reply yet.
    pub fn has_open_calls(&self) -> bool {
        self.open_calls > 0
    }

    /// Records that an engine starts a call and returns the number of the generation.
    ///
    /// `leaving_since` is the time at which the target began to leave, if it is leaving.
    pub fn record_start(
        &mut self,
        now: time::Timestamp,
        call: usize,
        leaving_since: Option<time::Timestamp>,
    ) -> u64 {
        let record = &mut self.calls[call];
        record.starts += 1;
        let class = self.offered_requests[record.request].class;
        let starts = self.starts_by_request.entry(record.request).or_default();
        *starts += 1;

        if !self.is_class_repeatable[class] && *starts > 1 {
            self.result.double_runs += 1;
        }
        if leaving_since.is_some_and(|since| now.since(since) > LEAVE_GRACE_PERIOD) {
            self.result.late_admissions += 1;
        }
        self.generation_calls.push(call);
        self.generation_calls.len() as u64 - 1
    }

    /// Returns the text of a token, from which the observer reads the generation and the index.
    pub fn token_text(generation: u64, index: u64) -> Box<str> {
        format!("{generation}.{index}").into()
    }

    /// Handles a reply to a call and returns whether it ended the call with an error.
    pub fn handle_reply(
        &mut self,
        now: time::Timestamp,
        call: usize,
        reply: &gateway::CallReply,
    ) -> bool {
        if !self.calls[call].is_open {
            // No caller receives a reply after the final one; it counts as a duplicate.
            self.result.duplicate_tokens += 1;
            return false;
        }

        match reply {
            gateway::CallReply::Tokens(reply) => {
                for text in &reply.tokens {
                    self.record_token_text(now, call, text, true);
                }
                false
            }
            gateway::CallReply::Buffered(reply) => {
                for text in &reply.tokens {
                    self.record_token_text(now, call, text, false);
                }
                self.record_completion(now, call);
                false
            }
            gateway::CallReply::Finished { .. } => {
                self.record_completion(now, call);
                false
            }
            gateway::CallReply::Problem(problem) => {
                self.record_problem(now, call, problem.outcome);
                true
            }
            gateway::CallReply::Service(_) | gateway::CallReply::Key(_) => false,
        }
    }

    /// Returns the number of consecutive tokens that the caller of a call has received.
    pub fn received_tokens(&self, call: usize) -> u64 {
        self.calls[call].next_token
    }

    /// Records a sample of the engines' load.
    pub fn record_sample(&mut self, sample: LoadSample) {
        self.samples.push(sample);
    }

    /// Records that an agent paused a stream.
    pub fn record_pause(&mut self) {
        self.result.pauses += 1;
    }

    /// Ends the run at `now` and returns its figures. Requests still open count as unknown.
    pub fn finish(mut self, now: time::Timestamp, preemptions: u64) -> (PolicyResult, RunTraces) {
        for request in &mut self.requests {
            if request.outcome.is_none() {
                request.end(now, RequestOutcome::Unknown);
            }
        }

        self.count_outcomes();
        self.result.preemptions = preemptions;
        let stalls_s = self.compute_stalls();
        self.compute_token_figures();
        let traces = RunTraces {
            stalls_s,
            gap_percentiles_ms: (0..=100)
                .map(|percent| self.gap_percentile_ms(percent.into()))
                .collect(),
            samples: self.samples,
        };
        (self.result, traces)
    }

    fn record_token_text(
        &mut self,
        now: time::Timestamp,
        call: usize,
        text: &str,
        is_stream: bool,
    ) {
        let Some((generation, index)) = parse_token(text) else {
            self.result.mixed_generations += 1;
            return;
        };
        let belongs_to_call = self.generation_calls.get(generation as usize) == Some(&call);
        let record = &mut self.calls[call];
        let first_generation = *record.generation.get_or_insert(generation);
        if !belongs_to_call || first_generation != generation {
            self.result.mixed_generations += 1;
        }
        if index < record.next_token {
            self.result.duplicate_tokens += 1;
            return;
        }

        self.result.lost_tokens += index - record.next_token;
        record.next_token = index + 1;
        if now <= self.arrivals_end {
            self.tokens_during_arrivals += 1;
        }
        let gap = self.requests[record.request].record_token(now);
        if let Some(gap) = gap.filter(|_| is_stream) {
            self.token_gaps.saturating_record(gap.as_micros() as u64);
        }
    }

    fn record_completion(&mut self, now: time::Timestamp, call: usize) {
        let record = &mut self.calls[call];
        record.is_open = false;
        self.open_calls -= 1;
        let expected = self.offered_requests[record.request].output_tokens;
        self.result.lost_tokens += expected.saturating_sub(record.next_token);
        self.requests[record.request].end(now, RequestOutcome::Completed);
    }

    fn record_problem(&mut self, now: time::Timestamp, call: usize, outcome: work::CallOutcome) {
        let record = &mut self.calls[call];
        record.is_open = false;
        self.open_calls -= 1;
        record.reported_not_run = outcome == work::CallOutcome::NotRun;

        let has_started = self.starts_by_request.contains_key(&record.request);
        let outcome = match record.reported_not_run && !has_started {
            true => RequestOutcome::NotRun,
            false => RequestOutcome::Unknown,
        };
        let request = &mut self.requests[record.request];
        if request.outcome.is_none() {
            request.end(now, outcome);
        }
    }

    fn count_outcomes(&mut self) {
        self.result.requests = self.requests.len() as u64;
        for request in &self.requests {
            match request.outcome {
                Some(RequestOutcome::Completed) => self.result.completed += 1,
                Some(RequestOutcome::NotRun) => self.result.not_run += 1,
                Some(RequestOutcome::Unknown) | None => self.result.unknown += 1,
            }
        }
        self.result.false_not_run = self
            .calls
            .iter()
            .filter(|call| call.reported_not_run && call.starts > 0)
            .count() as u64;
    }

    fn compute_stalls(&mut self) -> Vec<f64> {
        let mut stalls: Vec<f64> = self
            .requests
            .iter()
            .map(|request| request.stall.as_secs_f64())
            .collect();
        stalls.sort_by(f64::total_cmp);

        let count = stalls.len().max(1) as f64;
        self.result.stall_s_mean = stalls.iter().sum::<f64>() / count;
        self.result.stall_s_p99 = percentile(&stalls, 0.99);
        stalls
    }

    fn compute_token_figures(&mut self) {
        let mut first_token_delays: Vec<f64> = self
            .requests
            .iter()
            .filter_map(|request| {
                request
                    .first_token_at
                    .map(|first| first.since(request.arrived_at))
            })
            .map(|delay| delay.as_secs_f64())
            .collect();
        first_token_delays.sort_by(f64::total_cmp);

        self.result.first_token_s_p95 = percentile(&first_token_delays, 0.95);
        self.result.gap_ms_p50 = self.gap_percentile_ms(50.0);
        self.result.gap_ms_p99 = self.gap_percentile_ms(99.0);
        self.result.tokens_per_s = self.tokens_during_arrivals as f64 / self.duration.as_secs_f64();
    }

    fn gap_percentile_ms(&self, percent: f64) -> f64 {
        self.token_gaps.value_at_percentile(percent) as f64 / MICROS_PER_MILLISECOND
    }
}

/// Returns the smallest of the ascending `values` that is no less than a `share` of them, or zero
/// if there are none.
fn percentile(values: &[f64], share: f64) -> f64 {
    let rank = (values.len() as f64 * share).ceil() as usize;
    let index = rank.saturating_sub(1);
    values.get(index).copied().unwrap_or(0.0)
}

fn parse_token(text: &str) -> Option<(u64, u64)> {
    let (generation, index) = text.split_once('.')?;
    Some((generation.parse().ok()?, index.parse().ok()?))
}
