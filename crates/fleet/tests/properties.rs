//! Random histories of a fleet: no step lowers an active version, and the fleet converges once the
//! faults end.

use std::time::Duration;

use kingcupfall_core::measures;
use kingcupfall_fleet::reducer;
use kingcupfall_fleet::simulation;
use proptest::collection;
use proptest::prelude::Just;
use proptest::prelude::ProptestConfig;
use proptest::prelude::Strategy;
use proptest::prelude::any;
use proptest::prelude::prop;
use proptest::prop_oneof;
use proptest::proptest;
use proptest::test_runner::RngSeed;

const ZONES: usize = 3;
const GATEWAYS_PER_ZONE: usize = 4;
const READERS_PER_ZONE: usize = 3;
const SECTIONS: [&str; 3] = ["models", "targets", "limits"];

/// Maximum number of calls of one reader in one second: one per 200 ms, including both ends.
const CALLS_PER_READER: u32 = 6;

/// Time after the end of all faults within which the fleet converges.
const CONVERGENCE_TIME: Duration = Duration::from_secs(120);

/// One step of a history.
#[derive(Debug, Clone)]
enum HistoryStep {
    Publish {
        section: usize,
        lines: usize,
        is_invalid: bool,
    },
    Kill {
        process: prop::sample::Index,
        is_vm: bool,
    },
    Start {
        zone: usize,
        is_agent: bool,
    },
    Leave(prop::sample::Index),
    Pause {
        process: prop::sample::Index,
        seconds: u64,
    },
    Isolate(usize),
    EndPartition,
    Service {
        zone: usize,
        mode: StepMode,
    },
    Run(u64),
}

/// How the service responds to a zone. `Stale` holds the age of its state, in revisions.
#[derive(Debug, Clone, Copy)]
enum StepMode {
    Up,
    Down,
    Stale(u64),
}

fn any_step() -> impl Strategy<Value = HistoryStep> {
    prop_oneof![
        4 => (0..SECTIONS.len(), 1..600_usize, any::<bool>()).prop_map(
            |(section, lines, is_invalid)| HistoryStep::Publish { section, lines, is_invalid }
        ),
        2 => (any::<prop::sample::Index>(), any::<bool>())
            .prop_map(|(process, is_vm)| HistoryStep::Kill { process, is_vm }),
        2 => (0..ZONES, any::<bool>())
            .prop_map(|(zone, is_agent)| HistoryStep::Start { zone, is_agent }),
        1 => any::<prop::sample::Index>().prop_map(HistoryStep::Leave),
        2 => (any::<prop::sample::Index>(), 1..90_u64)
            .prop_map(|(process, seconds)| HistoryStep::Pause { process, seconds }),
        1 => (0..ZONES).prop_map(HistoryStep::Isolate),
        1 => Just(HistoryStep::EndPartition),
        2 => (0..ZONES, any_mode())
            .prop_map(|(zone, mode)| HistoryStep::Service { zone, mode }),
        6 => (100..20_000_u64).prop_map(HistoryStep::Run),
    ]
}

fn any_mode() -> impl Strategy<Value = StepMode> {
    prop_oneof![
        Just(StepMode::Up),
        Just(StepMode::Down),
        (0..6_u64).prop_map(StepMode::Stale),
    ]
}

/// A fleet and, of each section, the newest version; `None` if it is invalid.
///
/// The service serves only the newest version of a section. An older valid version that no live
/// process has is lost, so it is not expected to become active.
struct HistoryRun {
    fleet: simulation::FleetSimulation,
    accepted: [Option<measures::SectionVersion>; SECTIONS.len()],
}

impl HistoryRun {
    fn new(seed: u64, loss_rate: f64) -> Self {
        let plan = simulation::SimulationPlan {
            seed,
            zones: ZONES,
            gateways_per_zone: GATEWAYS_PER_ZONE,
            agents_per_zone: 2,
            loss_rate,
            duplication_rate: loss_rate,
            max_jitter: Duration::from_millis(5),
            ..simulation::SimulationPlan::default()
        };
        Self {
            fleet: simulation::FleetSimulation::new(plan),
            accepted: [None; SECTIONS.len()],
        }
    }

    fn apply(&mut self, step: HistoryStep) {
        match step {
            HistoryStep::Publish {
                section,
                lines,
                is_invalid,
            } => self.publish(section, lines, is_invalid),
            HistoryStep::Kill { process, is_vm } => {
                let failure = match is_vm {
                    true => simulation::FailureKind::Vm,
                    false => simulation::FailureKind::Process,
                };
                if let Some(process) = self.pick_expendable(process) {
                    self.fleet.kill(process, failure);
                }
            }
            HistoryStep::Start { zone, is_agent } => {
                let role = match is_agent {
                    true => reducer::FleetRole::Agent,
                    false => reducer::FleetRole::Gateway,
                };
                self.fleet.start(zone, role);
            }
            HistoryStep::Leave(process) => {
                if let Some(process) = self.pick_expendable(process) {
                    self.fleet.leave(process);
                }
            }
            HistoryStep::Pause { process, seconds } => {
                let process = *process.get(&self.fleet.live());
                self.fleet.pause(process, Duration::from_secs(seconds));
            }
            HistoryStep::Isolate(zone) => self.fleet.isolate_zones(&[zone]),
            HistoryStep::EndPartition => self.fleet.isolate_zones(&[]),
            HistoryStep::Service { zone, mode } => self.set_service(zone, mode),
            HistoryStep::Run(millis) => self.fleet.run(Duration::from_millis(millis)),
        }
        assert_eq!(self.fleet.violations(), &[] as &[Box<str>]);
    }

    fn publish(&mut self, section: usize, lines: usize, is_invalid: bool) {
        let prefix = if is_invalid { "bad" } else { "good" };
        let write_line = |line| format!("entry-{line} = \"{lines} of them\"\n");
        let text: String = (0..lines).map(write_line).collect();
        let version = self
            .fleet
            .publish(SECTIONS[section], format!("{prefix}\n{text}").as_bytes());
        self.accepted[section] = (!is_invalid).then_some(version);
    }

    fn set_service(&mut self, zone: usize, mode: StepMode) {
        let newest = self.fleet.service.revision().get();
        let mode = match mode {
            StepMode::Up => simulation::ServiceMode::Up,
            StepMode::Down => simulation::ServiceMode::Down,
            StepMode::Stale(age) => {
                let revision = reducer::ServiceRevision::new(newest.saturating_sub(age));
                simulation::ServiceMode::Stale(revision)
            }
        };
        self.fleet.set_service_mode(zone, mode);
    }

    /// Picks a live process to end. Returns `None` if no more processes are live than half of the
    /// initial number of gateways.
    fn pick_expendable(&self, choice: prop::sample::Index) -> Option<simulation::NodeIndex> {
        let live = self.fleet.live();
        (live.len() > ZONES * GATEWAYS_PER_ZONE / 2).then(|| *choice.get(&live))
    }

    /// Returns the active versions of a section at all live processes.
    fn versions(&self, section: usize) -> Vec<Option<u64>> {
        let live = self.fleet.live().into_iter();
        live.map(|index| self.fleet.active_version(index, SECTIONS[section]))
            .collect()
    }

    /// Ends all faults, and checks that the fleet converges and that calls to the service stay
    /// bounded.
    fn assert_convergence(mut self) {
        let sections = 0..SECTIONS.len();
        let known: Vec<Option<u64>> = sections
            .map(|section| self.versions(section).into_iter().max().flatten())
            .collect();
        self.fleet.isolate_zones(&[]);
        self.fleet
            .set_service_mode_everywhere(simulation::ServiceMode::Up);
        self.fleet.run(CONVERGENCE_TIME);
        assert_eq!(self.fleet.violations(), &[] as &[Box<str>]);

        let start = self.fleet.now();
        self.fleet.run(Duration::from_secs(10));
        for (section, known) in known.into_iter().enumerate() {
            let newest = self.accepted[section].map(|version| version.get());
            let versions = self.versions(section);
            let minimum = newest.max(known);
            assert!(
                versions.iter().all(|version| *version == versions[0]),
                "{versions:?}"
            );
            assert!(
                versions[0] >= minimum,
                "{versions:?} is lower than {minimum:?}"
            );
        }
        let readers = self.fleet.readers().len();
        assert!(readers <= ZONES * READERS_PER_ZONE);
        let bound = u32::try_from(readers).unwrap() * CALLS_PER_READER;
        assert!(self.fleet.service.peak_calls(start) <= bound);
    }
}

fn fixed_config(cases: u32, seed: u64) -> ProptestConfig {
    ProptestConfig {
        cases,
        rng_seed: RngSeed::Fixed(seed),
        failure_persistence: None,
        ..ProptestConfig::default()
    }
}

proptest! {
    #![proptest_config(fixed_config(60, 11))]

    #[test]
    fn history_with_faults_converges(
        seed in any::<u64>(),
        steps in collection::vec(any_step(), 1..40),
    ) {
        let mut run = HistoryRun::new(seed, 0.0);
        for step in steps {
            run.apply(step);
        }
        run.assert_convergence();
    }
}

proptest! {
    #![proptest_config(fixed_config(25, 12))]

    #[test]
    fn history_with_loss_converges(
        seed in any::<u64>(),
        steps in collection::vec(any_step(), 1..30),
    ) {
        let mut run = HistoryRun::new(seed, 0.02);
        for step in steps {
            run.apply(step);
        }
        run.assert_convergence();
    }
}
