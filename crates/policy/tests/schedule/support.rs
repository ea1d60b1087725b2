//! Harness of a scheduler and a simulated engine that executes its decisions.

use std::time::Duration;

use kingcupfall_core::engine;
use kingcupfall_core::ids;
use kingcupfall_core::measures;
use kingcupfall_core::time;
use kingcupfall_core::work;
use kingcupfall_policy::schedule;
use kingcupfall_policy::schedule::WorkScheduler;

/// Time from a submission to its start deadline.
pub const START_WINDOW: Duration = Duration::from_secs(120);

/// Time of one step of the engine.
const STEP_TIME: Duration = Duration::from_millis(25);

/// One stream of the simulated engine.
struct EngineStream {
    attempt: ids::AttemptId,
    prompt: u64,
    generated: u64,
    output: u64,
    is_paused: bool,
}

/// Parameters of one piece of work to submit.
#[derive(Clone, Copy)]
pub struct WorkOptions<'a> {
    pub organisation: &'a str,
    pub class: &'a str,
    pub priority: u8,
    pub prompt: u64,
    pub output: u64,
    pub suspect: bool,
}

pub const DEFAULT_WORK: WorkOptions<'static> = WorkOptions {
    organisation: "exaustao",
    class: "report",
    priority: 2,
    prompt: 1_000,
    output: 200,
    suspect: false,
};

/// A scheduler and the simulated engine that it controls.
pub struct ScheduleHarness {
    pub now: time::Timestamp,
    pub scheduler: schedule::ForecastScheduler,
    pub admitted: Vec<u128>,
    pub refused: Vec<u128>,
    pub finished: Vec<u128>,
    pub memory_peak: u64,
    pub pauses: usize,
    outputs: Vec<u64>,
    prompts: Vec<u64>,
    streams: Vec<EngineStream>,
    memory_total: u64,
}

impl ScheduleHarness {
    pub fn new(memory_total: u64) -> Self {
        let settings = schedule::ScheduleSettings::default();
        let mut harness = Self {
            now: time::Timestamp::ZERO,
            scheduler: schedule::ForecastScheduler::new(settings),
            admitted: Vec::new(),
            refused: Vec::new(),
            finished: Vec::new(),
            memory_peak: 0,
            pauses: 0,
            outputs: Vec::new(),
            prompts: Vec::new(),
            streams: Vec::new(),
            memory_total,
        };
        harness.report();
        harness
    }

    /// Submits work and returns its number, which is also its attempt id.
    pub fn submit(&mut self, options: &WorkOptions<'_>) -> u128 {
        let number = self.outputs.len() as u128;
        self.outputs.push(options.output);
        self.prompts.push(options.prompt);
        self.scheduler
            .submit(self.now, submitted_work(self.now, number, options));
        self.decide();
        number
    }

    /// Runs the engine for `steps` steps.
    pub fn run(&mut self, steps: usize) {
        for _ in 0..steps {
            self.step();
        }
    }

    pub fn memory(&self) -> u64 {
        self.streams
            .iter()
            .filter(|stream| !stream.is_paused)
            .map(|stream| stream.prompt + stream.generated)
            .sum()
    }

    pub fn running(&self) -> usize {
        self.streams.len()
    }

    fn step(&mut self) {
        self.now = self.now + STEP_TIME;
        for index in 0..self.streams.len() {
            let stream = &mut self.streams[index];
            if !stream.is_paused {
                stream.generated += 1;
                let attempt = stream.attempt;
                self.scheduler.record_tokens(self.now, attempt, 1);
            }
        }
        self.finish_streams();
        self.memory_peak = self.memory_peak.max(self.memory());
        self.report();
        self.decide();
    }

    fn finish_streams(&mut self) {
        let (finished, others) = std::mem::take(&mut self.streams)
            .into_iter()
            .partition(|stream: &EngineStream| stream.generated >= stream.output);
        self.streams = others;
        for stream in finished {
            self.finished.push(stream.attempt.as_u128());
            let outcome = schedule::WorkOutcome::Finished;
            self.scheduler.end(self.now, stream.attempt, outcome);
        }
    }

    fn report(&mut self) {
        let report = engine::EngineReport {
            taken_at: self.now,
            memory_used: measures::TokenCount::new(self.memory()),
            memory_total: measures::TokenCount::new(self.memory_total),
            ..engine::EngineReport::default()
        };
        self.scheduler.observe_report(self.now, &report);
    }

    fn decide(&mut self) {
        let mut decisions = Vec::new();
        self.scheduler.decide(self.now, &mut decisions);
        for decision in decisions {
            match decision {
                schedule::ScheduleDecision::Admit { attempt, .. } => self.admit(attempt),
                schedule::ScheduleDecision::Pause { attempt } => {
                    self.pauses += 1;
                    self.set_paused(attempt, true);
                }
                schedule::ScheduleDecision::Resume { attempt } => self.set_paused(attempt, false),
                schedule::ScheduleDecision::Refuse { attempt, .. } => {
                    self.refused.push(attempt.as_u128());
                }
            }
        }
    }

    fn admit(&mut self, attempt: ids::AttemptId) {
        let number = attempt.as_u128();
        self.admitted.push(number);
        self.streams.push(EngineStream {
            attempt,
            prompt: self.prompts[number as usize],
            generated: 0,
            output: self.outputs[number as usize],
            is_paused: false,
        });
    }

    fn set_paused(&mut self, attempt: ids::AttemptId, is_paused: bool) {
        for stream in &mut self.streams {
            if stream.attempt == attempt {
                stream.is_paused = is_paused;
            }
        }
    }
}

fn submitted_work(
    now: time::Timestamp,
    number: u128,
    options: &WorkOptions<'_>,
) -> schedule::SubmittedWork {
    schedule::SubmittedWork {
        attempt: ids::AttemptId::from_u128(number),
        tag: work::CallerTag {
            organisation: options.organisation.parse().unwrap(),
            class: options.class.parse().unwrap(),
            priority: measures::Priority::new(options.priority),
            weight: measures::Weight::new(1),
        },
        model: Some("narrative".parse().unwrap()),
        prompt_tokens: measures::TokenCount::new(options.prompt),
        prefix: None,
        max_tokens: measures::TokenCount::new(16_384),
        start_by: now + START_WINDOW,
        suspect: options.suspect,
    }
}
