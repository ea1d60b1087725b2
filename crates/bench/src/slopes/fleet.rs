//! Costs of one process in fleets of growing size, in simulated time.

use std::time::Duration;
use std::time::Instant;

use kingcupfall_fleet::simulation;
use serde::Serialize;

/// Maximum processes of one zone in the measured fleets. A zone of a full-size fleet has 450.
const MAX_ZONE_PROCESSES: usize = 100;

/// Share of gateways among the processes of a zone, as in a full-size fleet.
const GATEWAY_SHARE: f64 = 0.206;

/// Time for all links to open and for the first section version to reach all processes.
const WARM_UP: Duration = Duration::from_secs(30);

/// Duration of the measurement without changes.
const IDLE_TIME: Duration = Duration::from_secs(20);

/// Duration of the measurement with changes.
const CHANGE_TIME: Duration = Duration::from_secs(20);

/// Interval between changes: 56,000 a day are one every 1.543 s.
const CHANGE_INTERVAL: Duration = Duration::from_millis(1_543);

/// Maximum time to wait until a change is active at all processes.
const ACTIVATION_TIMEOUT: Duration = Duration::from_secs(30);

/// Number of targets in the section that is changed, whose text is about 60 KB.
const SECTION_TARGETS: usize = 1_000;

const SECTION_NAME: &str = "targets";

/// Costs of the processes of one fleet, as written to the JSON output.
#[derive(Debug, Clone, Serialize)]
pub struct FleetCost {
    /// Number of processes in the fleet.
    pub processes: usize,
    /// Number of gateways among them.
    pub gateways: usize,
    /// Bytes per second that a gateway sends without changes, on average.
    pub rest_bytes_per_s: f64,
    /// Bytes per second that a gateway sends at 56,000 changes a day, on average.
    pub change_bytes_per_s: f64,
    /// Bytes per second of the gateway that sends most, at this rate of changes.
    pub change_bytes_per_s_worst: f64,
    /// Bytes per second that an agent sends at this rate of changes, on average.
    pub agent_bytes_per_s: f64,
    /// Bytes per second that a gateway receives at this rate of changes, on average.
    pub received_bytes_per_s: f64,
    /// Messages per second that a gateway sends at this rate of changes, on average.
    pub messages_per_s: f64,
    /// Processor time of a gateway at this rate of changes, in percent of a core.
    pub core_percent: f64,
    /// Median time until a change is active at all processes, in seconds.
    #[serde(rename = "force_s_median")]
    pub activation_s_median: f64,
    /// Maximum time until a change is active at all processes, in seconds.
    #[serde(rename = "force_s_worst")]
    pub activation_s_worst: f64,
    /// Calls per second at the configuration service at this rate of changes.
    pub service_calls_per_s: f64,
    /// Peak calls per second at the configuration service after all readers are killed at once.
    pub takeover_calls_peak: u32,
    /// Resident memory that the simulation needs per simulated process, in bytes.
    pub memory_bytes: u64,
    /// Wall-clock duration of the measurement, in seconds.
    pub elapsed_s: f64,
}

/// Measures the costs in a fleet of `processes` processes.
pub fn measure(processes: usize) -> FleetCost {
    let started_at = Instant::now();
    let initial_memory = resident_bytes();
    let mut fleet = start_fleet(processes);
    let memory = resident_bytes().saturating_sub(initial_memory) / processes as u64;

    fleet.reset_usage();
    fleet.run(IDLE_TIME);
    let idle = average_usage(&fleet, ProcessKind::Gateway, IDLE_TIME);

    fleet.reset_usage();
    let changes_start = fleet.now();
    let mut activation_times = publish_changes(&mut fleet);
    let elapsed = fleet.now().since(changes_start);
    let gateway = average_usage(&fleet, ProcessKind::Gateway, elapsed);
    let agent = average_usage(&fleet, ProcessKind::Agent, elapsed);
    let max_sent = max_sent_bytes_per_s(&fleet, elapsed);
    let calls = fleet.service.total_calls(changes_start) as f64 / elapsed.as_secs_f64();
    activation_times.sort();

    FleetCost {
        processes,
        gateways: process_count(&fleet, ProcessKind::Gateway),
        rest_bytes_per_s: idle.sent_bytes,
        change_bytes_per_s: gateway.sent_bytes,
        change_bytes_per_s_worst: max_sent,
        agent_bytes_per_s: agent.sent_bytes,
        received_bytes_per_s: gateway.received_bytes,
        messages_per_s: gateway.sent_messages,
        core_percent: gateway.core_percent,
        activation_s_median: activation_times[activation_times.len() / 2].as_secs_f64(),
        activation_s_worst: activation_times[activation_times.len() - 1].as_secs_f64(),
        service_calls_per_s: calls,
        takeover_calls_peak: measure_takeover_peak(&mut fleet),
        memory_bytes: memory,
        elapsed_s: started_at.elapsed().as_secs_f64(),
    }
}

/// Kind of a process in the fleet.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum ProcessKind {
    Gateway,
    Agent,
}

/// Average usage of one process, per second.
struct AverageUsage {
    sent_bytes: f64,
    received_bytes: f64,
    sent_messages: f64,
    core_percent: f64,
}

fn start_fleet(processes: usize) -> simulation::FleetSimulation {
    let zones = processes.div_ceil(MAX_ZONE_PROCESSES);
    let zone_processes = processes / zones;
    let gateways = (zone_processes as f64 * GATEWAY_SHARE).round().max(2.0) as usize;
    let plan = simulation::SimulationPlan {
        seed: 7,
        zones,
        gateways_per_zone: gateways,
        agents_per_zone: zone_processes - gateways,
        inter_zone_delay: Duration::from_millis(60),
        ..simulation::SimulationPlan::default()
    };
    let mut fleet = simulation::FleetSimulation::new(plan);
    fleet.publish(SECTION_NAME, &section_text(0));
    fleet.run(WARM_UP);
    fleet
}

fn section_text(change: usize) -> Vec<u8> {
    let format_target = |number: usize| {
        let version = if number == SECTION_TARGETS / 2 {
            change
        } else {
            0
        };
        format!("[targets.engine-{number}]\nvm = \"vm-{number}\"\nversion = {version}\n")
    };
    let text: String = (0..SECTION_TARGETS).map(format_target).collect();
    text.into_bytes()
}

/// Publishes changes one after the other, and returns for each how long it took until it was active
/// at all processes.
fn publish_changes(fleet: &mut simulation::FleetSimulation) -> Vec<Duration> {
    let count = CHANGE_TIME.as_millis() / CHANGE_INTERVAL.as_millis();
    let count = usize::try_from(count).unwrap_or(usize::MAX);
    let mut activation_times = Vec::new();
    for change in 1..=count {
        let version = fleet.publish(SECTION_NAME, &section_text(change));
        let time = fleet.run_until(ACTIVATION_TIMEOUT, |fleet| {
            fleet.is_active_everywhere(SECTION_NAME, version)
        });
        let time = time.unwrap_or(ACTIVATION_TIMEOUT);
        fleet.run(CHANGE_INTERVAL.saturating_sub(time));
        activation_times.push(time);
    }
    activation_times
}

/// Kills all readers at once and returns the peak calls per second at the configuration service.
fn measure_takeover_peak(fleet: &mut simulation::FleetSimulation) -> u32 {
    let start = fleet.now();
    for reader in fleet.readers() {
        fleet.kill(reader, simulation::FailureKind::Vm);
    }
    fleet.run(Duration::from_secs(15));
    fleet.service.peak_calls(start)
}

fn processes_of_kind(
    fleet: &simulation::FleetSimulation,
    kind: ProcessKind,
) -> Vec<simulation::NodeIndex> {
    fleet
        .live()
        .into_iter()
        .filter(|index| fleet.is_gateway(*index) == (kind == ProcessKind::Gateway))
        .collect()
}

fn process_count(fleet: &simulation::FleetSimulation, kind: ProcessKind) -> usize {
    processes_of_kind(fleet, kind).len()
}

fn average_usage(
    fleet: &simulation::FleetSimulation,
    kind: ProcessKind,
    duration: Duration,
) -> AverageUsage {
    let indexes = processes_of_kind(fleet, kind);
    let scale = 1.0 / (indexes.len().max(1) as f64 * duration.as_secs_f64());
    let sum = |value: &dyn Fn(simulation::NodeUsage) -> f64| {
        let values = indexes.iter().map(|index| value(fleet.usage(*index)));
        values.sum::<f64>() * scale
    };

    AverageUsage {
        sent_bytes: sum(&|usage| usage.sent_bytes as f64),
        received_bytes: sum(&|usage| usage.received_bytes as f64),
        sent_messages: sum(&|usage| usage.sent_messages as f64),
        core_percent: sum(&|usage| usage.busy_time.as_secs_f64()) * 100.0,
    }
}

fn max_sent_bytes_per_s(fleet: &simulation::FleetSimulation, duration: Duration) -> f64 {
    let indexes = processes_of_kind(fleet, ProcessKind::Gateway).into_iter();
    let sent = indexes.map(|index| fleet.usage(index).sent_bytes);
    sent.max().unwrap_or(0) as f64 / duration.as_secs_f64()
}

/// Returns the resident memory of this process, or zero if the operating system doesn't report it.
fn resident_bytes() -> u64 {
    const PAGE_BYTES: u64 = 4_096;
    let text = std::fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = text.split_whitespace().nth(1);
    let pages: u64 = pages.and_then(|pages| pages.parse().ok()).unwrap_or(0);
    pages * PAGE_BYTES
}
