//! Counters and histograms, as Prometheus text.

use std::fmt;
use std::time::Duration;

use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::encoding::text;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::metrics::histogram::Histogram;
use prometheus_client::registry::Registry;

/// Upper bounds of latency buckets in seconds, from one round trip to the longest deadline.
const LATENCY_BUCKETS_S: [f64; 14] = [
    0.005, 0.01, 0.025, 0.05, 0.1, 0.18, 0.3, 0.6, 1.0, 1.8, 4.0, 10.0, 20.0, 40.0,
];

/// Most organisations and routes with labels of their own; others share one.
const LABEL_LIMIT: usize = 600;

/// Label of what is beyond the limit.
const OTHER_LABEL: &str = "other";

/// Labels of a call that ended.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct CallLabels {
    kind: &'static str,
    outcome: &'static str,
}

/// Label of a cause.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct ReasonLabels {
    reason: &'static str,
}

/// Label of an organisation.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct OrganisationLabels {
    organisation: String,
}

/// Label of a kind of call.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct KindLabels {
    kind: &'static str,
}

type LatencyFamily<L> = Family<L, Histogram, fn() -> Histogram>;

/// Everything that a process counts.
pub struct RelayMetrics {
    registry: Registry,
    calls: Family<CallLabels, Counter>,
    refusals: Family<ReasonLabels, Counter>,
    failures: Family<ReasonLabels, Counter>,
    moves: Family<ReasonLabels, Counter>,
    store_calls: Family<ReasonLabels, Counter>,
    durations: LatencyFamily<OrganisationLabels>,
    waits: LatencyFamily<KindLabels>,
    first_events: LatencyFamily<KindLabels>,
    pauses: Histogram,
    move_times: Histogram,
    lost_lines: Gauge,
    routes_version: Gauge,
    targets: Gauge,
    peers: Gauge,
    waiting: Gauge,
    placed: Gauge,
    organisations: std::cell::RefCell<std::collections::BTreeSet<Box<str>>>,
}

impl Default for RelayMetrics {
    fn default() -> Self {
        Self::new()
    }
}

impl RelayMetrics {
    /// Makes metrics that all stand at zero.
    pub fn new() -> Self {
        let mut metrics = Self {
            registry: Registry::with_prefix("kingcupfall_relay"),
            calls: Family::default(),
            refusals: Family::default(),
            failures: Family::default(),
            moves: Family::default(),
            store_calls: Family::default(),
            durations: Family::new_with_constructor(latency_histogram),
            waits: Family::new_with_constructor(latency_histogram),
            first_events: Family::new_with_constructor(latency_histogram),
            pauses: latency_histogram(),
            move_times: latency_histogram(),
            lost_lines: Gauge::default(),
            routes_version: Gauge::default(),
            targets: Gauge::default(),
            peers: Gauge::default(),
            waiting: Gauge::default(),
            placed: Gauge::default(),
            organisations: std::cell::RefCell::default(),
        };
        metrics.register();
        metrics
    }

    fn register(&mut self) {
        let registry = &mut self.registry;
        registry.register("calls", "Calls that ended", self.calls.clone());
        registry.register(
            "refusals",
            "Calls refused, by reason",
            self.refusals.clone(),
        );
        registry.register(
            "attempt_failures",
            "Attempts at targets that failed",
            self.failures.clone(),
        );
        registry.register(
            "stream_moves",
            "Streams brought to another target",
            self.moves.clone(),
        );
        registry.register(
            "store_calls",
            "Calls at the platform's directory",
            self.store_calls.clone(),
        );
        registry.register(
            "call_seconds",
            "Time from arrival to end",
            self.durations.clone(),
        );
        registry.register(
            "wait_seconds",
            "Time from arrival to a place",
            self.waits.clone(),
        );
        registry.register(
            "first_event_seconds",
            "Time to the first event",
            self.first_events.clone(),
        );
        registry.register(
            "event_pause_seconds",
            "Pause between events",
            self.pauses.clone(),
        );
        registry.register(
            "move_seconds",
            "Time of a memory move",
            self.move_times.clone(),
        );
        registry.register(
            "lost_log_lines",
            "Log lines without room",
            self.lost_lines.clone(),
        );
        registry.register(
            "routes_version",
            "Version in force",
            self.routes_version.clone(),
        );
        registry.register("targets", "Targets that may be used", self.targets.clone());
        registry.register("peers", "Peers that are linked", self.peers.clone());
        registry.register(
            "waiting_calls",
            "Calls that wait for a place",
            self.waiting.clone(),
        );
        registry.register("placed_calls", "Calls at targets", self.placed.clone());
    }

    /// Counts a call that ended.
    pub fn record_call(
        &self,
        kind: &'static str,
        outcome: &'static str,
        organisation: &str,
        took: Duration,
    ) {
        self.calls
            .get_or_create(&CallLabels { kind, outcome })
            .inc();
        let organisation = self.organisation_label(organisation);
        self.durations
            .get_or_create(&OrganisationLabels { organisation })
            .observe(took.as_secs_f64());
    }

    /// Counts a refusal.
    pub fn record_refusal(&self, reason: &'static str) {
        self.refusals.get_or_create(&ReasonLabels { reason }).inc();
    }

    /// Counts a failed attempt.
    pub fn record_failure(&self, reason: &'static str) {
        self.failures.get_or_create(&ReasonLabels { reason }).inc();
    }

    /// Counts an attempt to bring a stream to another target.
    pub fn record_move(&self, reason: &'static str) {
        self.moves.get_or_create(&ReasonLabels { reason }).inc();
    }

    /// Counts a call at the platform's directory.
    pub fn record_store_call(&self, reason: &'static str) {
        self.store_calls
            .get_or_create(&ReasonLabels { reason })
            .inc();
    }

    /// Takes the time that a call waited for a place.
    pub fn record_wait(&self, kind: &'static str, waited: Duration) {
        self.waits
            .get_or_create(&KindLabels { kind })
            .observe(waited.as_secs_f64());
    }

    /// Takes the time to a stream's first event.
    pub fn record_first_event(&self, kind: &'static str, took: Duration) {
        self.first_events
            .get_or_create(&KindLabels { kind })
            .observe(took.as_secs_f64());
    }

    /// Takes the time for which the memory of a stream was on its way.
    pub fn record_move_time(&self, took: Duration) {
        self.move_times.observe(took.as_secs_f64());
    }

    /// Takes the time between two events of a stream.
    pub fn record_pause(&self, pause: Duration) {
        self.pauses.observe(pause.as_secs_f64());
    }

    /// Sets the state of the process.
    pub fn set_state(&self, state: &MetricsState) {
        self.lost_lines.set(signed(state.lost_lines));
        self.routes_version.set(signed(state.routes_version));
        self.targets.set(signed(state.targets as u64));
        self.peers.set(signed(state.peers as u64));
        self.waiting.set(signed(state.waiting as u64));
        self.placed.set(signed(state.placed as u64));
    }

    /// Returns all metrics as text.
    ///
    /// # Errors
    ///
    /// An error of the formatter, which writes to memory and does not fail.
    pub fn encode(&self) -> Result<String, fmt::Error> {
        let mut output = String::new();
        text::encode(&mut output, &self.registry)?;
        Ok(output)
    }

    fn organisation_label(&self, organisation: &str) -> String {
        let mut known = self.organisations.borrow_mut();
        if known.contains(organisation) {
            return organisation.to_owned();
        }
        if known.len() >= LABEL_LIMIT {
            return OTHER_LABEL.to_owned();
        }
        known.insert(organisation.into());
        organisation.to_owned()
    }
}

/// State that gauges show.
#[derive(Debug, Clone, Copy, Default)]
pub struct MetricsState {
    /// Log lines without room.
    pub lost_lines: u64,
    /// Version of the routes in force.
    pub routes_version: u64,
    /// Targets that may be used.
    pub targets: usize,
    /// Linked peers.
    pub peers: usize,
    /// Calls that wait.
    pub waiting: usize,
    /// Calls at targets.
    pub placed: usize,
}

fn latency_histogram() -> Histogram {
    Histogram::new(LATENCY_BUCKETS_S)
}

fn signed(value: u64) -> i64 {
    i64::try_from(value).unwrap_or(i64::MAX)
}
