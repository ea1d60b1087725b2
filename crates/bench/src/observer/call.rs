//! Observer of all calls of one run.

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

/// Time that callers give a request to be started.
pub const START_WINDOW: Duration = Duration::from_secs(120);

/// Time after which a target that began to leave must start nothing.
const LEAVE_GRACE: Duration = Duration::from_secs(5);

/// Longest gap that the histogram keeps, in microseconds.
const GAP_LIMIT_US: u64 = 1_000_000_000;

const MICROS_PER_MILLISECOND: f64 = 1_000.0;

/// One call: a request as it was sent to a gateway once.
#[derive(Debug, Clone)]
struct CallRecord {
    request: usize,
    /// Run that its tokens come from.
    run: Option<u64>,
    next_token: u64,
    starts: u64,
    told_not_run: bool,
    is_open: bool,
}

/// Counts what callers see and what engines start.
#[derive(Debug)]
pub struct RunObserver {
    requests: Vec<RequestRecord>,
    expected: Vec<scenario::OfferedRequest>,
    is_repeatable: Vec<bool>,
    calls: Vec<CallRecord>,
    open_calls: usize,
    /// Call of each run of an engine.
    runs: Vec<usize>,
    starts: BTreeMap<usize, u64>,
    gaps: Histogram<u64>,
    samples: Vec<LoadSample>,
    result: PolicyResult,
    arrivals_end: time::Timestamp,
    duration: Duration,
    tokens_in_time: u64,
}

impl RunObserver {
    /// Makes an observer of a run of `expected`.
    ///
    /// `warm_up` passes before the first request may arrive.
    pub fn new(
        scenario: &scenario::Scenario,
        expected: Vec<scenario::OfferedRequest>,
        warm_up: Duration,
    ) -> Self {
        let is_repeatable = scenario
            .classes
            .iter()
            .map(|class| class.repeatable)
            .collect();

        Self {
            requests: expected
                .iter()
                .map(|request| RequestRecord::new(request.at))
                .collect(),
            expected,
            is_repeatable,
            calls: Vec::new(),
            open_calls: 0,
            runs: Vec::new(),
            starts: BTreeMap::new(),
            gaps: Histogram::new_with_max(GAP_LIMIT_US, 3).expect("the bounds are valid"),
            samples: Vec::new(),
            result: PolicyResult::default(),
            arrivals_end: time::Timestamp::ZERO + warm_up + scenario.duration.get(),
            duration: scenario.duration.get(),
            tokens_in_time: 0,
        }
    }

    /// Returns what was drawn for a request.
    pub fn expected(&self, request: usize) -> &scenario::OfferedRequest {
        &self.expected[request]
    }

    /// Notes a new call of a request, and returns its number.
    pub fn open_call(&mut self, request: usize) -> usize {
        self.open_calls += 1;
        self.calls.push(CallRecord {
            request,
            run: None,
            next_token: 0,
            starts: 0,
            told_not_run: false,
            is_open: true,
        });
        self.calls.len() - 1
    }

    /// Returns the request of a call.
    pub fn call_request(&self, call: usize) -> usize {
        self.calls[call].request
    }

    /// Returns the number of calls made for a request.
    pub fn calls_of(&self, request: usize) -> usize {
        self.calls
            .iter()
            .filter(|call| call.request == request)
            .count()
    }

    /// Says whether calls are open.
    pub fn has_open_calls(&self) -> bool {
        self.open_calls > 0
    }

    /// Notes that an engine starts a call, and returns the number of the run.
    pub fn start_run(
        &mut self,
        now: time::Timestamp,
        call: usize,
        leaving_since: Option<time::Timestamp>,
    ) -> u64 {
        let record = &mut self.calls[call];
        record.starts += 1;
        let class = self.expected[record.request].class;
        let starts = self.starts.entry(record.request).or_default();
        *starts += 1;

        if !self.is_repeatable[class] && *starts > 1 {
            self.result.double_runs += 1;
        }
        if leaving_since.is_some_and(|since| now.since(since) > LEAVE_GRACE) {
            self.result.late_admissions += 1;
        }
        self.runs.push(call);
        self.runs.len() as u64 - 1
    }

    /// Returns the text of a token, by which callers tell runs and places apart.
    pub fn token_text(run: u64, index: u64) -> Box<str> {
        format!("{run}.{index}").into()
    }

    /// Takes a reply to a call. Returns whether it ended the call without an answer.
    pub fn take_reply(
        &mut self,
        now: time::Timestamp,
        call: usize,
        reply: &gateway::CallReply,
    ) -> bool {
        if !self.calls[call].is_open {
            // Anything after the final answer reaches nobody, and would be a duplicate.
            self.result.duplicate_tokens += 1;
            return false;
        }

        match reply {
            gateway::CallReply::Tokens(reply) => {
                for text in &reply.tokens {
                    self.take_token(now, call, text, true);
                }
                false
            }
            gateway::CallReply::Buffered(reply) => {
                for text in &reply.tokens {
                    self.take_token(now, call, text, false);
                }
                self.complete(now, call);
                false
            }
            gateway::CallReply::Finished { .. } => {
                self.complete(now, call);
                false
            }
            gateway::CallReply::Problem(problem) => {
                self.fail(now, call, problem.outcome);
                true
            }
            gateway::CallReply::Service(_) | gateway::CallReply::Key(_) => false,
        }
    }

    /// Returns the number of tokens that a call has received.
    pub fn received(&self, call: usize) -> u64 {
        self.calls[call].next_token
    }

    /// Adds a sample of the engines' load.
    pub fn sample(&mut self, sample: LoadSample) {
        self.samples.push(sample);
    }

    /// Notes streams that agents paused.
    pub fn count_pause(&mut self) {
        self.result.pauses += 1;
    }

    /// Ends the run at `now` and returns its figures.
    pub fn finish(mut self, now: time::Timestamp, preemptions: u64) -> (PolicyResult, RunTraces) {
        for request in &mut self.requests {
            if request.outcome.is_none() {
                request.end(now, RequestOutcome::Unknown);
            }
        }

        self.count_outcomes();
        self.result.preemptions = preemptions;
        let stalls_s = self.measure_stalls();
        self.measure_tokens();
        let traces = RunTraces {
            stalls_s,
            gap_percentiles_ms: (0..=100)
                .map(|percent| self.gap_ms(percent.into()))
                .collect(),
            samples: self.samples,
        };
        (self.result, traces)
    }

    fn take_token(&mut self, now: time::Timestamp, call: usize, text: &str, is_stream: bool) {
        let Some((run, index)) = parse_token(text) else {
            self.result.mixed_generations += 1;
            return;
        };
        let is_own = self.runs.get(run as usize) == Some(&call);
        let record = &mut self.calls[call];
        let first_run = *record.run.get_or_insert(run);
        if !is_own || first_run != run {
            self.result.mixed_generations += 1;
        }
        if index < record.next_token {
            self.result.duplicate_tokens += 1;
            return;
        }

        self.result.lost_tokens += index - record.next_token;
        record.next_token = index + 1;
        if now <= self.arrivals_end {
            self.tokens_in_time += 1;
        }
        let gap = self.requests[record.request].record_token(now);
        if let Some(gap) = gap.filter(|_| is_stream) {
            self.gaps.saturating_record(gap.as_micros() as u64);
        }
    }

    fn complete(&mut self, now: time::Timestamp, call: usize) {
        let record = &mut self.calls[call];
        record.is_open = false;
        self.open_calls -= 1;
        let expected = self.expected[record.request].output_tokens;
        self.result.lost_tokens += expected.saturating_sub(record.next_token);
        self.requests[record.request].end(now, RequestOutcome::Completed);
    }

    fn fail(&mut self, now: time::Timestamp, call: usize, outcome: work::CallOutcome) {
        let record = &mut self.calls[call];
        record.is_open = false;
        self.open_calls -= 1;
        record.told_not_run = outcome == work::CallOutcome::NotRun;

        let has_run = self.starts.contains_key(&record.request);
        let outcome = match record.told_not_run && !has_run {
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
            .filter(|call| call.told_not_run && call.starts > 0)
            .count() as u64;
    }

    fn measure_stalls(&mut self) -> Vec<f64> {
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

    fn measure_tokens(&mut self) {
        let mut waits: Vec<f64> = self
            .requests
            .iter()
            .filter_map(|request| {
                request
                    .first_token
                    .map(|first| first.since(request.arrived))
            })
            .map(|wait| wait.as_secs_f64())
            .collect();
        waits.sort_by(f64::total_cmp);

        self.result.first_token_s_p95 = percentile(&waits, 0.95);
        self.result.gap_ms_p50 = self.gap_ms(50.0);
        self.result.gap_ms_p99 = self.gap_ms(99.0);
        self.result.tokens_per_s = self.tokens_in_time as f64 / self.duration.as_secs_f64();
    }

    fn gap_ms(&self, percent: f64) -> f64 {
        self.gaps.value_at_percentile(percent) as f64 / MICROS_PER_MILLISECOND
    }
}

/// Returns the value of which `share` of the ascending `values` are no greater.
fn percentile(values: &[f64], share: f64) -> f64 {
    let rank = (values.len() as f64 * share).ceil() as usize;
    let index = rank.saturating_sub(1);
    values.get(index).copied().unwrap_or(0.0)
}

fn parse_token(text: &str) -> Option<(u64, u64)> {
    let (run, index) = text.split_once('.')?;
    Some((run.parse().ok()?, index.parse().ok()?))
}
