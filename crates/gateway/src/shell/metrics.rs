//! Metrics of a gateway.

use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;

use kingcupfall_core::time;
use kingcupfall_document::sections;
use kingcupfall_fleet::reducer as fleet_reducer;
use kingcupfall_telemetry::calls;
use kingcupfall_telemetry::registry;
use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::metrics::counter;
use prometheus_client::metrics::family;
use prometheus_client::metrics::gauge;

use super::document;
use crate::administration;
use crate::reducer;

#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct SectionLabels {
    section: &'static str,
}

/// State of a target: `ready`, or the obstacle that keeps it from being chosen.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct StateLabels {
    state: &'static str,
}

type SecondsGauge = gauge::Gauge<f64, AtomicU64>;

/// Current values of the gauges, read when the metrics are scraped.
#[derive(Debug, Clone, Copy)]
pub struct GaugeValues<'a> {
    /// Time on the gateway's clock.
    pub now: time::Timestamp,
    /// Counters and gauges of the reducer.
    pub gauges: &'a administration::GaugeReport,
    /// Calls whose connections have not finished.
    pub open_calls: usize,
    /// The active document.
    pub document: &'a document::ActiveDocument,
    /// The gateway's view of its fleet; `None` if it is a member of none.
    pub fleet: Option<&'a fleet_reducer::FleetStatus>,
}

/// All metrics of a gateway, shared by its threads.
#[derive(Debug)]
pub struct GatewayMetrics {
    registry: registry::MetricRegistry,
    calls: calls::CallMetrics,
    counters: CounterMetrics,
    fleet: FleetMetrics,
    calls_in_progress: gauge::Gauge,
    open_connections: gauge::Gauge,
    targets: family::Family<StateLabels, gauge::Gauge>,
    section_version: family::Family<SectionLabels, gauge::Gauge>,
    section_age: family::Family<SectionLabels, SecondsGauge>,
}

impl Default for GatewayMetrics {
    fn default() -> Self {
        let mut registry = registry::MetricRegistry::default();
        let calls = calls::CallMetrics::register(&mut registry);
        let counters = CounterMetrics::register(&mut registry);
        let fleet = FleetMetrics::register(&mut registry);
        let mut metrics = Self {
            registry,
            calls,
            counters,
            fleet,
            calls_in_progress: gauge::Gauge::default(),
            open_connections: gauge::Gauge::default(),
            targets: family::Family::default(),
            section_version: family::Family::default(),
            section_age: family::Family::default(),
        };
        metrics.register_gauges();
        metrics
    }
}

impl GatewayMetrics {
    /// Returns the metrics of calls, which are updated while calls run.
    pub fn calls(&self) -> &calls::CallMetrics {
        &self.calls
    }

    /// Encodes all metrics as text, after setting the gauges to `values`.
    pub fn encode(&self, values: &GaugeValues<'_>) -> String {
        let gauges = values.gauges;
        self.counters.set(&gauges.counters);
        self.calls_in_progress.set(gauge_value(gauges.calls));
        self.open_connections.set(gauge_value(values.open_calls));
        self.set_targets(gauges);
        self.set_sections(values.now, values.document);
        if let Some(status) = values.fleet {
            self.fleet.set(status);
        }
        self.registry.encode()
    }

    fn register_gauges(&mut self) {
        let registry = &mut self.registry;
        registry.register(
            "calls_in_progress",
            "Calls that have not ended",
            self.calls_in_progress.clone(),
        );
        registry.register(
            "answers_in_progress",
            "Calls whose callers' connections have not taken the whole answer",
            self.open_connections.clone(),
        );
        registry.register(
            "targets",
            "Targets by state: ready, or why they can't be chosen",
            self.targets.clone(),
        );
        registry.register(
            "section_version",
            "Version in force of a section of the document",
            self.section_version.clone(),
        );
        registry.register(
            "section_age_seconds",
            "Time since the version in force entered into force here",
            self.section_age.clone(),
        );
    }

    fn set_targets(&self, gauges: &administration::GaugeReport) {
        for state in administration::TargetCondition::ALL {
            let count = gauges
                .targets
                .iter()
                .filter(|condition| **condition == state)
                .count();
            let labels = StateLabels {
                state: state.as_str(),
            };
            self.targets.get_or_create(&labels).set(gauge_value(count));
        }
    }

    fn set_sections(&self, now: time::Timestamp, document: &document::ActiveDocument) {
        for section in sections::SectionName::ALL {
            let labels = SectionLabels {
                section: section.as_str(),
            };
            let active_id = document.acceptance().active_id(section);
            let version = active_id.map_or(0, |id| id.version.get());
            let version = i64::try_from(version).unwrap_or(i64::MAX);
            self.section_version.get_or_create(&labels).set(version);

            let age = document.age(now, section).unwrap_or_default();
            self.section_age
                .get_or_create(&labels)
                .set(age.as_secs_f64());
        }
    }
}

/// Counters that are copied from the reducer.
#[derive(Debug)]
struct CounterMetrics {
    attempts: counter::Counter,
    retries: counter::Counter,
    reassignments: counter::Counter,
    unexpected_frames: counter::Counter,
    silent_links: counter::Counter,
    resumptions: counter::Counter,
}

impl CounterMetrics {
    fn register(registry: &mut registry::MetricRegistry) -> Self {
        let mut add = |name: &str, help: &str| {
            let counter = counter::Counter::default();
            registry.register(name, help, counter.clone());
            counter
        };
        Self {
            attempts: add("attempts", "Attempts sent to targets"),
            retries: add("retries", "Attempts after the first of their calls"),
            reassignments: add(
                "moves",
                "Waiting attempts that were moved to another target",
            ),
            unexpected_frames: add(
                "stray_frames",
                "Frames for attempts that are not known, or that came twice",
            ),
            silent_links: add("silent_links", "Links replaced because they were silent"),
            resumptions: add("stream_resumes", "Streams asked for again on another link"),
        }
    }

    fn set(&self, counters: &reducer::GatewayCounters) {
        let pairs = [
            (&self.attempts, counters.attempts),
            (&self.retries, counters.retries),
            (&self.reassignments, counters.reassignments),
            (&self.unexpected_frames, counters.unexpected_frames),
            (&self.silent_links, counters.silent_links),
            (&self.resumptions, counters.resumptions),
        ];
        for (counter, value) in pairs {
            counter.inner().store(value, Ordering::Relaxed);
        }
    }
}

/// Metrics of the gateway as a member of its fleet.
#[derive(Debug)]
struct FleetMetrics {
    lost_gateways: gauge::Gauge,
    active_links: gauge::Gauge,
    is_reader: gauge::Gauge,
    service_calls: counter::Counter,
    failed_readings: counter::Counter,
    stale_readings: counter::Counter,
}

impl FleetMetrics {
    fn register(registry: &mut registry::MetricRegistry) -> Self {
        let metrics = Self {
            lost_gateways: gauge::Gauge::default(),
            active_links: gauge::Gauge::default(),
            is_reader: gauge::Gauge::default(),
            service_calls: counter::Counter::default(),
            failed_readings: counter::Counter::default(),
            stale_readings: counter::Counter::default(),
        };

        let gauges = [
            (
                "fleet_lost_gateways",
                "Gateways that are suspect or dead",
                &metrics.lost_gateways,
            ),
            (
                "fleet_links",
                "Links on which the fleet's heartbeats travel",
                &metrics.active_links,
            ),
            (
                "fleet_reader",
                "1 while this gateway reads for its zone",
                &metrics.is_reader,
            ),
        ];
        for (name, help, gauge) in gauges {
            registry.register(name, help, gauge.clone());
        }
        let counters = [
            (
                "service_calls",
                "Calls at the configuration service",
                &metrics.service_calls,
            ),
            (
                "service_failures",
                "Calls at it that failed",
                &metrics.failed_readings,
            ),
            (
                "service_stale",
                "Answers of it that were older than one before",
                &metrics.stale_readings,
            ),
        ];
        for (name, help, counter) in counters {
            registry.register(name, help, counter.clone());
        }
        metrics
    }

    fn set(&self, status: &fleet_reducer::FleetStatus) {
        self.lost_gateways.set(gauge_value(status.lost.len()));
        self.active_links.set(gauge_value(status.active_links));
        self.is_reader.set(i64::from(status.is_reader));

        let counters = &status.counters;
        let pairs = [
            (&self.service_calls, counters.service_calls),
            (&self.failed_readings, counters.failed_readings),
            (&self.stale_readings, counters.stale_readings),
        ];
        for (counter, value) in pairs {
            counter.inner().store(value, Ordering::Relaxed);
        }
    }
}

/// Converts to the type of gauges, saturating at [`i64::MAX`].
fn gauge_value(count: usize) -> i64 {
    i64::try_from(count).unwrap_or(i64::MAX)
}
