//! Fleets of growing size on simulated time.

use std::time::Duration;
use std::time::Instant;

use kingcupfall_fleet::simulation;
use serde::Serialize;

/// Processes of one zone; a fleet of the target size has 450.
const ZONE_SIZE: usize = 100;

/// Gateways among the processes of a zone, as many as in a fleet of the target size.
const GATEWAY_SHARE: f64 = 0.206;

/// Time for all links to open and the first version to spread.
const WARM_UP: Duration = Duration::from_secs(30);

/// Time without changes, in which the cost at rest is measured.
const REST_TIME: Duration = Duration::from_secs(20);

/// Time with changes.
const CHANGE_TIME: Duration = Duration::from_secs(20);

/// Time between two changes: 56,000 a day are one in 1.54 s.
const CHANGE_INTERVAL: Duration = Duration::from_millis(1_543);

/// Longest wait for a change to be in force everywhere.
const FORCE_LIMIT: Duration = Duration::from_secs(30);

/// Lines of the section that is changed; about 60 KB.
const SECTION_LINES: usize = 1_000;

const SECTION: &str = "targets";

/// Cost of the processes of one fleet.
#[derive(Debug, Clone, Serialize)]
pub struct FleetSlope {
    /// Processes.
    pub processes: usize,
    /// Gateways among them.
    pub gateways: usize,
    /// Bytes a second that a gateway sends without changes, on average.
    pub rest_bytes_per_s: f64,
    /// Bytes a second that a gateway sends with 56,000 changes a day, on average.
    pub change_bytes_per_s: f64,
    /// The same of the gateway that sends most.
    pub change_bytes_per_s_worst: f64,
    /// The same of an agent, on average.
    pub agent_bytes_per_s: f64,
    /// Bytes a second that a gateway receives with changes, on average.
    pub received_bytes_per_s: f64,
    /// Messages a second that a gateway sends with changes, on average.
    pub messages_per_s: f64,
    /// Share of a core that a gateway needs with changes, in percent.
    pub core_percent: f64,
    /// Median time until a change is in force everywhere, in seconds.
    pub force_s_median: f64,
    /// Longest such time.
    pub force_s_worst: f64,
    /// Calls a second at the configuration service with changes.
    pub service_calls_per_s: f64,
    /// Most calls in one second after all readers of all zones died.
    pub takeover_calls_peak: u32,
    /// Resident memory of the simulation for each process, in bytes.
    pub memory_bytes: u64,
    /// Time that the measurement took, in seconds.
    pub elapsed_s: f64,
}

/// Measures a fleet of `processes`.
pub fn measure(processes: usize) -> FleetSlope {
    let started = Instant::now();
    let memory_before = resident_bytes();
    let mut fleet = start_fleet(processes);
    let memory = resident_bytes().saturating_sub(memory_before) / processes as u64;

    fleet.reset_usage();
    fleet.run(REST_TIME);
    let rest = average(&fleet, Side::Gateway, REST_TIME);

    fleet.reset_usage();
    let changes_from = fleet.now();
    let mut times = make_changes(&mut fleet);
    let elapsed = fleet.now().since(changes_from);
    let gateway = average(&fleet, Side::Gateway, elapsed);
    let agent = average(&fleet, Side::Agent, elapsed);
    let worst = worst_bytes(&fleet, elapsed);
    let calls = fleet.service.total_calls(changes_from) as f64 / elapsed.as_secs_f64();
    times.sort();

    FleetSlope {
        processes,
        gateways: count(&fleet, Side::Gateway),
        rest_bytes_per_s: rest.sent_bytes,
        change_bytes_per_s: gateway.sent_bytes,
        change_bytes_per_s_worst: worst,
        agent_bytes_per_s: agent.sent_bytes,
        received_bytes_per_s: gateway.received_bytes,
        messages_per_s: gateway.sent_messages,
        core_percent: gateway.core_percent,
        force_s_median: times[times.len() / 2].as_secs_f64(),
        force_s_worst: times[times.len() - 1].as_secs_f64(),
        service_calls_per_s: calls,
        takeover_calls_peak: kill_readers(&mut fleet),
        memory_bytes: memory,
        elapsed_s: started.elapsed().as_secs_f64(),
    }
}

/// Part of the fleet.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Side {
    Gateway,
    Agent,
}

/// Averages of one process.
struct AverageUsage {
    sent_bytes: f64,
    received_bytes: f64,
    sent_messages: f64,
    core_percent: f64,
}

fn start_fleet(processes: usize) -> simulation::FleetSimulation {
    let zones = processes.div_ceil(ZONE_SIZE);
    let zone_size = processes / zones;
    let gateways = (zone_size as f64 * GATEWAY_SHARE).round().max(2.0) as usize;
    let plan = simulation::SimulationPlan {
        seed: 7,
        zones,
        gateways_per_zone: gateways,
        agents_per_zone: zone_size - gateways,
        inter_zone_delay: Duration::from_millis(60),
        ..simulation::SimulationPlan::default()
    };
    let mut fleet = simulation::FleetSimulation::new(plan);
    fleet.publish(SECTION, &section_text(0));
    fleet.run(WARM_UP);
    fleet
}

fn section_text(change: usize) -> Vec<u8> {
    let write_line = |line: usize| {
        let version = if line == SECTION_LINES / 2 { change } else { 0 };
        format!("[targets.engine-{line}]\nvm = \"vm-{line}\"\nversion = {version}\n")
    };
    let text: String = (0..SECTION_LINES).map(write_line).collect();
    text.into_bytes()
}

/// Makes changes one after the other, and returns how long each took to be in force everywhere.
fn make_changes(fleet: &mut simulation::FleetSimulation) -> Vec<Duration> {
    let count = CHANGE_TIME.as_millis() / CHANGE_INTERVAL.as_millis();
    let count = usize::try_from(count).unwrap_or(usize::MAX);
    let mut times = Vec::new();
    for change in 1..=count {
        let version = fleet.publish(SECTION, &section_text(change));
        let time = fleet.run_until(FORCE_LIMIT, |fleet| {
            fleet.is_active_everywhere(SECTION, version)
        });
        let time = time.unwrap_or(FORCE_LIMIT);
        fleet.run(CHANGE_INTERVAL.saturating_sub(time));
        times.push(time);
    }
    times
}

/// Kills all readers at once and returns the most calls in one second from then on.
fn kill_readers(fleet: &mut simulation::FleetSimulation) -> u32 {
    let start = fleet.now();
    for reader in fleet.readers() {
        fleet.kill(reader, simulation::FailureKind::Vm);
    }
    fleet.run(Duration::from_secs(15));
    fleet.service.peak_calls(start)
}

fn side_of(fleet: &simulation::FleetSimulation, side: Side) -> Vec<simulation::NodeIndex> {
    fleet
        .live()
        .into_iter()
        .filter(|index| fleet.is_gateway(*index) == (side == Side::Gateway))
        .collect()
}

fn count(fleet: &simulation::FleetSimulation, side: Side) -> usize {
    side_of(fleet, side).len()
}

fn average(fleet: &simulation::FleetSimulation, side: Side, duration: Duration) -> AverageUsage {
    let indexes = side_of(fleet, side);
    let share = 1.0 / (indexes.len().max(1) as f64 * duration.as_secs_f64());
    let sum = |value: &dyn Fn(simulation::NodeUsage) -> f64| {
        let values = indexes.iter().map(|index| value(fleet.usage(*index)));
        values.sum::<f64>() * share
    };

    AverageUsage {
        sent_bytes: sum(&|usage| usage.sent_bytes as f64),
        received_bytes: sum(&|usage| usage.received_bytes as f64),
        sent_messages: sum(&|usage| usage.sent_messages as f64),
        core_percent: sum(&|usage| usage.busy_time.as_secs_f64()) * 100.0,
    }
}

fn worst_bytes(fleet: &simulation::FleetSimulation, duration: Duration) -> f64 {
    let indexes = side_of(fleet, Side::Gateway).into_iter();
    let sent = indexes.map(|index| fleet.usage(index).sent_bytes);
    sent.max().unwrap_or(0) as f64 / duration.as_secs_f64()
}

/// Returns the resident memory of this process; zero where the system does not tell.
fn resident_bytes() -> u64 {
    const PAGE_BYTES: u64 = 4_096;
    let text = std::fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = text.split_whitespace().nth(1);
    let pages: u64 = pages.and_then(|pages| pages.parse().ok()).unwrap_or(0);
    pages * PAGE_BYTES
}
