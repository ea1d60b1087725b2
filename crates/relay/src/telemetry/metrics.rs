//! Counters, gauges and histograms, exposed in the Prometheus text format.

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

use super::gauges;

/// Upper bounds of latency buckets in seconds, from one round trip to the maximum deadline.
const LATENCY_BUCKETS_S: [f64; 14] = [
    0.005, 0.01, 0.025, 0.05, 0.1, 0.18, 0.3, 0.6, 1.0, 1.8, 4.0, 10.0, 20.0, 40.0,
];

/// Upper bounds of the buckets of targets' factors, which are times relative to the usual time.
const FACTOR_BUCKETS: [f64; 8] = [0.35, 0.5, 0.7, 1.0, 1.4, 2.0, 4.0, 10.0];

/// Upper bounds of the buckets of risks from 0 to 1.
const RISK_BUCKETS: [f64; 5] = [0.0, 0.25, 0.5, 0.75, 1.0];

/// Maximum number of organisations, routes and services (each) with their own label value; further
/// ones share one, which bounds the number of time series.
const MAX_LABEL_VALUES: usize = 600;

/// Label value shared by all values beyond the limit.
const OTHER_LABEL: &str = "other";

/// Labels of a completed call.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct CallLabels {
    kind: &'static str,
    route: String,
    service: String,
    outcome: &'static str,
}

/// Label with the reason, outcome or kind of what is counted.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct ReasonLabels {
    reason: &'static str,
}

/// Label with the name of an organisation.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct OrganisationLabels {
    organisation: String,
}

/// Labels of calls by route and service.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct ClassLabels {
    route: String,
    service: String,
}

/// Kind, route and service by which metrics classify a call.
#[derive(Debug, Clone, Copy)]
pub struct CallClass<'a> {
    /// Label of the call's kind.
    pub kind: &'static str,
    /// Name of the call's route.
    pub route: &'a str,
    /// Service that runs the call.
    pub service: &'a str,
}

/// Values that have been used as labels of their own.
#[derive(Debug, Default)]
struct LabelSet(RefCell<BTreeSet<Box<str>>>);

impl LabelSet {
    /// Returns the value itself, or the shared label if the limit is reached and the value is new.
    fn label(&self, value: &str) -> String {
        let mut known = self.0.borrow_mut();
        if !known.contains(value) {
            if known.len() >= MAX_LABEL_VALUES {
                return OTHER_LABEL.to_owned();
            }
            known.insert(value.into());
        }
        value.to_owned()
    }
}

type LatencyFamily<L> = Family<L, Histogram, fn() -> Histogram>;

/// All metrics of a process.
pub struct RelayMetrics {
    registry: Registry,
    calls: Family<CallLabels, Counter>,
    refusals: Family<ReasonLabels, Counter>,
    attempt_failures: Family<ReasonLabels, Counter>,
    yields: Counter,
    suspected_crashes: Counter,
    prompt_crashes: Counter,
    part_changes: Family<ReasonLabels, Counter>,
    resumptions: Family<ReasonLabels, Counter>,
    former_runs: Family<ReasonLabels, Counter>,
    directory_calls: Family<ReasonLabels, Counter>,
    directory_call_times: LatencyFamily<ReasonLabels>,
    organisation_call_times: LatencyFamily<OrganisationLabels>,
    class_call_times: LatencyFamily<ClassLabels>,
    wait_times: LatencyFamily<ClassLabels>,
    first_event_times: LatencyFamily<ClassLabels>,
    event_gaps: Histogram,
    migration_times: Histogram,
    placement_factors: Histogram,
    placement_risks: Histogram,
    lost_lines: Gauge,
    routes_version: Gauge,
    routes_age: Gauge,
    directory_age: Gauge,
    targets: Gauge,
    limited_targets: Gauge,
    evacuated_zones: Gauge,
    evacuated_streams: Gauge,
    cold_targets: Gauge,
    known_speeds: Gauge,
    peers: Gauge,
    waiting_calls: Gauge,
    placed_calls: Gauge,
    client_bytes: Gauge,
    response_bytes: Gauge,
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
    /// Creates and registers all metrics, with the value zero.
    pub fn new() -> Self {
        let mut metrics = Self {
            registry: Registry::with_prefix("kingcupfall_relay"),
            calls: Family::default(),
            refusals: Family::default(),
            attempt_failures: Family::default(),
            yields: Counter::default(),
            suspected_crashes: Counter::default(),
            prompt_crashes: Counter::default(),
            part_changes: Family::default(),
            resumptions: Family::default(),
            former_runs: Family::default(),
            directory_calls: Family::default(),
            directory_call_times: Family::new_with_constructor(latency_histogram),
            organisation_call_times: Family::new_with_constructor(latency_histogram),
            class_call_times: Family::new_with_constructor(latency_histogram),
            wait_times: Family::new_with_constructor(latency_histogram),
            first_event_times: Family::new_with_constructor(latency_histogram),
            event_gaps: latency_histogram(),
            migration_times: latency_histogram(),
            placement_factors: Histogram::new(FACTOR_BUCKETS),
            placement_risks: Histogram::new(RISK_BUCKETS),
            lost_lines: Gauge::default(),
            routes_version: Gauge::default(),
            routes_age: Gauge::default(),
            directory_age: Gauge::default(),
            targets: Gauge::default(),
            limited_targets: Gauge::default(),
            evacuated_zones: Gauge::default(),
            evacuated_streams: Gauge::default(),
            cold_targets: Gauge::default(),
            known_speeds: Gauge::default(),
            peers: Gauge::default(),
            waiting_calls: Gauge::default(),
            placed_calls: Gauge::default(),
            client_bytes: Gauge::default(),
            response_bytes: Gauge::default(),
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
            self.attempt_failures.clone(),
        );
        registry.register(
            "client_yields",
            "Connections of callers that were closed for others",
            self.yields.clone(),
        );
        registry.register(
            "suspected_crashes",
            "Requests that ran at a target when it crashed, one count for each target",
            self.suspected_crashes.clone(),
        );
        registry.register(
            "prompt_crashes",
            "Crashes of targets that prompts may be the cause of",
            self.prompt_crashes.clone(),
        );
        registry.register(
            "part_changes",
            "Changes of prompt parts, by new standing",
            self.part_changes.clone(),
        );
        registry.register(
            "stream_moves",
            "Streams brought to another target",
            self.resumptions.clone(),
        );
        registry.register(
            "former_runs",
            "Runs at targets that their stream has left, by how they ended",
            self.former_runs.clone(),
        );
        registry.register(
            "store_calls",
            "Calls at the platform's directory",
            self.directory_calls.clone(),
        );
        registry.register(
            "store_call_seconds",
            "Time of calls at the platform's directory, the wait of watches included",
            self.directory_call_times.clone(),
        );
        registry.register(
            "call_seconds",
            "Time from arrival to end, by organisation",
            self.organisation_call_times.clone(),
        );
        registry.register(
            "class_call_seconds",
            "Time from arrival to end, by route and service",
            self.class_call_times.clone(),
        );
        registry.register(
            "wait_seconds",
            "Time from arrival to a place",
            self.wait_times.clone(),
        );
        registry.register(
            "first_event_seconds",
            "Time to the first event",
            self.first_event_times.clone(),
        );
        registry.register(
            "event_pause_seconds",
            "Pause between events",
            self.event_gaps.clone(),
        );
        registry.register(
            "move_seconds",
            "Time of a memory move",
            self.migration_times.clone(),
        );
        registry.register(
            "placement_speed_factor",
            "Time that work takes at the target of a placed stream, relative to the usual time",
            self.placement_factors.clone(),
        );
        registry.register(
            "placement_pause_risk",
            "Risk that a pause of a placed stream is too long, from 0 to 1",
            self.placement_risks.clone(),
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
        registry.register(
            "limited_targets",
            "Targets that limit the requests they take",
            self.limited_targets.clone(),
        );
        registry.register(
            "evacuated_zones",
            "Availability zones that are evacuated",
            self.evacuated_zones.clone(),
        );
        registry.register(
            "evacuated_streams",
            "Streams of this relay that still run in evacuated zones",
            self.evacuated_streams.clone(),
        );
        registry.register(
            "cold_targets",
            "Targets whose requests are limited because they are cold",
            self.cold_targets.clone(),
        );
        registry.register(
            "known_speeds",
            "Targets whose speed has been observed recently",
            self.known_speeds.clone(),
        );
        registry.register("peers", "Peers that are linked", self.peers.clone());
        registry.register(
            "waiting_calls",
            "Calls that wait for a place",
            self.waiting_calls.clone(),
        );
        registry.register(
            "placed_calls",
            "Calls at targets",
            self.placed_calls.clone(),
        );
        registry.register(
            "client_bytes",
            "Memory that clients make the process hold",
            self.client_bytes.clone(),
        );
        registry.register(
            "response_bytes",
            "Memory reserved for targets' responses",
            self.response_bytes.clone(),
        );
    }

    /// Counts a call that ended, and records its duration by organisation, route and service.
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
        self.class_call_times
            .get_or_create(&self.class_labels(class))
            .observe(took.as_secs_f64());
        let organisation = self.organisations.label(organisation);
        self.organisation_call_times
            .get_or_create(&OrganisationLabels { organisation })
            .observe(took.as_secs_f64());
    }

    /// Counts a refused call.
    pub fn record_refusal(&self, reason: &'static str) {
        self.refusals.get_or_create(&ReasonLabels { reason }).inc();
    }

    /// Counts a connection that was closed for others.
    pub fn record_yield(&self) {
        self.yields.inc();
    }

    /// Counts a failed attempt at a target.
    pub fn record_attempt_failure(&self, reason: &'static str) {
        self.attempt_failures
            .get_or_create(&ReasonLabels { reason })
            .inc();
    }

    /// Counts requests that are suspected of having crashed a target.
    pub fn record_suspected_crashes(&self, count: u64) {
        self.suspected_crashes.inc_by(count);
    }

    /// Counts a crash that prompts may be the cause of.
    pub fn record_prompt_crash(&self) {
        self.prompt_crashes.inc();
    }

    /// Counts a prompt part whose standing changed; `reason` is the new standing.
    pub fn record_part_change(&self, reason: &'static str) {
        self.part_changes
            .get_or_create(&ReasonLabels { reason })
            .inc();
    }

    /// Counts an attempt to resume a stream at another target; `reason` is its outcome.
    pub fn record_resumption(&self, reason: &'static str) {
        self.resumptions
            .get_or_create(&ReasonLabels { reason })
            .inc();
    }

    /// Counts a run at a target that its stream has left; `reason` is how it ended.
    pub fn record_former_run(&self, reason: &'static str) {
        self.former_runs
            .get_or_create(&ReasonLabels { reason })
            .inc();
    }

    /// Records the duration of a call to the platform's directory; `reason` is the kind of call.
    pub fn record_directory_call_time(&self, reason: &'static str, took: Duration) {
        self.directory_call_times
            .get_or_create(&ReasonLabels { reason })
            .observe(took.as_secs_f64());
    }

    /// Counts a call to the platform's directory when it is sent; `reason` is the kind of call.
    pub fn record_directory_call(&self, reason: &'static str) {
        self.directory_calls
            .get_or_create(&ReasonLabels { reason })
            .inc();
    }

    /// Records the time from a call's arrival until a target was chosen for it.
    pub fn record_wait(&self, class: &CallClass<'_>, waited: Duration) {
        self.wait_times
            .get_or_create(&self.class_labels(class))
            .observe(waited.as_secs_f64());
    }

    /// Records the time from a call's arrival to the first event of its stream.
    pub fn record_first_event(&self, class: &CallClass<'_>, took: Duration) {
        self.first_event_times
            .get_or_create(&self.class_labels(class))
            .observe(took.as_secs_f64());
    }

    /// Records the time that the migration of a stream's memory took.
    pub fn record_migration_time(&self, took: Duration) {
        self.migration_times.observe(took.as_secs_f64());
    }

    /// Records the speed of a placed stream's target and the risk of a pause that is too long, in
    /// thousandths.
    pub fn record_placement_forecast(&self, factor_thousandths: u32, risk_thousandths: u32) {
        let observe = |histogram: &Histogram, thousandths: u32| {
            histogram.observe(f64::from(thousandths) / 1_000.0);
        };
        observe(&self.placement_factors, factor_thousandths);
        observe(&self.placement_risks, risk_thousandths);
    }

    /// Records the time between two events of a stream.
    pub fn record_event_gap(&self, gap: Duration) {
        self.event_gaps.observe(gap.as_secs_f64());
    }

    /// Sets all gauges.
    pub fn set_gauges(&self, values: &gauges::GaugeValues) {
        self.lost_lines.set(signed(values.lost_lines));
        self.routes_version.set(signed(values.routes_version));
        self.routes_age.set(signed(values.routes_age.as_secs()));
        self.directory_age
            .set(signed(values.directory_age.as_secs()));
        self.targets.set(signed(values.targets as u64));
        self.limited_targets
            .set(signed(values.limited_targets as u64));
        self.evacuated_zones
            .set(signed(values.evacuated_zones as u64));
        self.evacuated_streams
            .set(signed(values.evacuated_streams as u64));
        self.cold_targets.set(signed(values.cold_targets as u64));
        self.known_speeds.set(signed(values.known_speeds as u64));
        self.peers.set(signed(values.peers as u64));
        self.waiting_calls.set(signed(values.waiting_calls as u64));
        self.placed_calls.set(signed(values.placed_calls as u64));
        self.client_bytes.set(signed(values.client_bytes));
        self.response_bytes.set(signed(values.response_bytes));
    }

    /// Returns all metrics in the text format.
    ///
    /// # Errors
    ///
    /// Returns an error of the formatter; writing to a string does not fail.
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

fn latency_histogram() -> Histogram {
    Histogram::new(LATENCY_BUCKETS_S)
}

fn signed(value: u64) -> i64 {
    i64::try_from(value).unwrap_or(i64::MAX)
}
