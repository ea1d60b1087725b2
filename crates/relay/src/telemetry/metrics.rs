//! Counters and histograms, as Prometheus text.

use std::cell::RefCell;
use std::collections::BTreeSet;
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

/// Most organisations, and most classes of calls, with labels of their own; others share one.
const LABEL_LIMIT: usize = 600;

/// Label of what is beyond the limit.
const OTHER_LABEL: &str = "other";

/// Labels of a call that ended.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct CallLabels {
    kind: &'static str,
    route: String,
    service: String,
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

/// Labels of a class of calls.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct ClassLabels {
    route: String,
    service: String,
}

/// Class of a call.
#[derive(Debug, Clone, Copy)]
pub struct CallClass<'a> {
    /// Name of its kind.
    pub kind: &'static str,
    /// Name of its route.
    pub route: &'a str,
    /// Service that it goes to.
    pub service: &'a str,
}

/// Values that have labels of their own.
#[derive(Debug, Default)]
struct LabelSet(RefCell<BTreeSet<Box<str>>>);

impl LabelSet {
    /// Returns the label of a value: its own, or the one that those beyond the limit share.
    fn label(&self, value: &str) -> String {
        let mut known = self.0.borrow_mut();
        if !known.contains(value) {
            if known.len() >= LABEL_LIMIT {
                return OTHER_LABEL.to_owned();
            }
            known.insert(value.into());
        }
        value.to_owned()
    }
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
    store_times: LatencyFamily<ReasonLabels>,
    durations: LatencyFamily<OrganisationLabels>,
    class_durations: LatencyFamily<ClassLabels>,
    waits: LatencyFamily<ClassLabels>,
    first_events: LatencyFamily<ClassLabels>,
    pauses: Histogram,
    move_times: Histogram,
    lost_lines: Gauge,
    routes_version: Gauge,
    routes_age: Gauge,
    directory_age: Gauge,
    targets: Gauge,
    peers: Gauge,
    waiting: Gauge,
    placed: Gauge,
    organisations: LabelSet,
    routes: LabelSet,
    services: LabelSet,
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
            store_times: Family::new_with_constructor(latency_histogram),
            durations: Family::new_with_constructor(latency_histogram),
            class_durations: Family::new_with_constructor(latency_histogram),
            waits: Family::new_with_constructor(latency_histogram),
            first_events: Family::new_with_constructor(latency_histogram),
            pauses: latency_histogram(),
            move_times: latency_histogram(),
            lost_lines: Gauge::default(),
            routes_version: Gauge::default(),
            routes_age: Gauge::default(),
            directory_age: Gauge::default(),
            targets: Gauge::default(),
            peers: Gauge::default(),
            waiting: Gauge::default(),
            placed: Gauge::default(),
            organisations: LabelSet::default(),
            routes: LabelSet::default(),
            services: LabelSet::default(),
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
            "store_call_seconds",
            "Time of calls at the platform's directory, the wait of watches included",
            self.store_times.clone(),
        );
        registry.register(
            "call_seconds",
            "Time from arrival to end, by organisation",
            self.durations.clone(),
        );
        registry.register(
            "class_call_seconds",
            "Time from arrival to end, by route and service",
            self.class_durations.clone(),
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
        registry.register(
            "routes_age_seconds",
            "Time since the version in force was taken",
            self.routes_age.clone(),
        );
        registry.register(
            "directory_age_seconds",
            "Time since the platform's directory last answered",
            self.directory_age.clone(),
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
        class: &CallClass<'_>,
        outcome: &'static str,
        organisation: &str,
        took: Duration,
    ) {
        let ClassLabels { route, service } = self.class_labels(class);
        let labels = CallLabels {
            kind: class.kind,
            route,
            service,
            outcome,
        };
        self.calls.get_or_create(&labels).inc();
        self.class_durations
            .get_or_create(&self.class_labels(class))
            .observe(took.as_secs_f64());
        let organisation = self.organisations.label(organisation);
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

    /// Takes the time of a call at the platform's directory.
    pub fn record_store_time(&self, reason: &'static str, took: Duration) {
        self.store_times
            .get_or_create(&ReasonLabels { reason })
            .observe(took.as_secs_f64());
    }

    /// Counts a call at the platform's directory.
    pub fn record_store_call(&self, reason: &'static str) {
        self.store_calls
            .get_or_create(&ReasonLabels { reason })
            .inc();
    }

    /// Takes the time that a call waited for a place.
    pub fn record_wait(&self, class: &CallClass<'_>, waited: Duration) {
        self.waits
            .get_or_create(&self.class_labels(class))
            .observe(waited.as_secs_f64());
    }

    /// Takes the time to a stream's first event.
    pub fn record_first_event(&self, class: &CallClass<'_>, took: Duration) {
        self.first_events
            .get_or_create(&self.class_labels(class))
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
        self.routes_age.set(signed(state.routes_age.as_secs()));
        self.directory_age
            .set(signed(state.directory_age.as_secs()));
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

    fn class_labels(&self, class: &CallClass<'_>) -> ClassLabels {
        ClassLabels {
            route: self.routes.label(class.route),
            service: self.services.label(class.service),
        }
    }
}

/// State that gauges show.
#[derive(Debug, Clone, Copy, Default)]
pub struct MetricsState {
    /// Log lines without room.
    pub lost_lines: u64,
    /// Version of the routes in force.
    pub routes_version: u64,
    /// Time since these routes were taken.
    pub routes_age: Duration,
    /// Time since the platform's directory last answered.
    pub directory_age: Duration,
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
