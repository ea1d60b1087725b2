//! Random histories of a fleet: no version goes back at any step, and all settles in the end.

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

/// Calls that one reader makes in a second, with one at each end of it.
const CALLS_PER_READER: u32 = 6;

/// Time after which a fleet without faults has the same versions everywhere.
const SETTLE_TIME: Duration = Duration::from_secs(120);

/// One step of a history.
#[derive(Debug, Clone)]
enum HistoryStep {
    Publish {
        section: usize,
        lines: usize,
        is_bad: bool,
    },
    Kill {
        victim: prop::sample::Index,
        is_vm: bool,
    },
    Start {
        zone: usize,
        is_agent: bool,
    },
    Leave(prop::sample::Index),
    Pause {
        victim: prop::sample::Index,
        seconds: u64,
    },
    Cut(usize),
    Heal,
    Service {
        zone: usize,
        mode: StepMode,
    },
    Run(u64),
}

/// How the service answers a zone.
#[derive(Debug, Clone, Copy)]
enum StepMode {
    Up,
    Down,
    Stale(u64),
}

fn any_step() -> impl Strategy<Value = HistoryStep> {
    prop_oneof![
        4 => (0..SECTIONS.len(), 1..600_usize, any::<bool>()).prop_map(
            |(section, lines, is_bad)| HistoryStep::Publish { section, lines, is_bad }
        ),
        2 => (any::<prop::sample::Index>(), any::<bool>())
            .prop_map(|(victim, is_vm)| HistoryStep::Kill { victim, is_vm }),
        2 => (0..ZONES, any::<bool>())
            .prop_map(|(zone, is_agent)| HistoryStep::Start { zone, is_agent }),
        1 => any::<prop::sample::Index>().prop_map(HistoryStep::Leave),
        2 => (any::<prop::sample::Index>(), 1..90_u64)
            .prop_map(|(victim, seconds)| HistoryStep::Pause { victim, seconds }),
        1 => (0..ZONES).prop_map(HistoryStep::Cut),
        1 => Just(HistoryStep::Heal),
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

/// A fleet and, of each section, the newest version when it is good.
///
/// The service holds the newest version only: an older good one that no live process has is lost.
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

    fn take(&mut self, step: HistoryStep) {
        match step {
            HistoryStep::Publish {
                section,
                lines,
                is_bad,
            } => self.publish(section, lines, is_bad),
            HistoryStep::Kill { victim, is_vm } => {
                let loss = match is_vm {
                    true => simulation::FailureKind::Vm,
                    false => simulation::FailureKind::Process,
                };
                if let Some(victim) = self.spare(victim) {
                    self.fleet.kill(victim, loss);
                }
            }
            HistoryStep::Start { zone, is_agent } => {
                let role = match is_agent {
                    true => reducer::FleetRole::Agent,
                    false => reducer::FleetRole::Gateway,
                };
                self.fleet.start(zone, role);
            }
            HistoryStep::Leave(victim) => {
                if let Some(victim) = self.spare(victim) {
                    self.fleet.leave(victim);
                }
            }
            HistoryStep::Pause { victim, seconds } => {
                let victim = *victim.get(&self.fleet.live());
                self.fleet.pause(victim, Duration::from_secs(seconds));
            }
            HistoryStep::Cut(zone) => self.fleet.isolate_zones(&[zone]),
            HistoryStep::Heal => self.fleet.isolate_zones(&[]),
            HistoryStep::Service { zone, mode } => self.set_service(zone, mode),
            HistoryStep::Run(millis) => self.fleet.run(Duration::from_millis(millis)),
        }
        assert_eq!(self.fleet.violations(), &[] as &[Box<str>]);
    }

    fn publish(&mut self, section: usize, lines: usize, is_bad: bool) {
        let start = if is_bad { "bad" } else { "good" };
        let write_line = |line| format!("entry-{line} = \"{lines} of them\"\n");
        let text: String = (0..lines).map(write_line).collect();
        let version = self
            .fleet
            .publish(SECTIONS[section], format!("{start}\n{text}").as_bytes());
        self.accepted[section] = (!is_bad).then_some(version);
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

    /// Returns a live process, unless too few would be left.
    fn spare(&self, victim: prop::sample::Index) -> Option<simulation::NodeIndex> {
        let live = self.fleet.live();
        (live.len() > ZONES * GATEWAYS_PER_ZONE / 2).then(|| *victim.get(&live))
    }

    /// Returns the versions in force at all live processes.
    fn versions(&self, section: usize) -> Vec<Option<u64>> {
        let live = self.fleet.live().into_iter();
        live.map(|index| self.fleet.active_version(index, SECTIONS[section]))
            .collect()
    }

    /// Ends all faults and checks that everything settles.
    fn settle(mut self) {
        let sections = 0..SECTIONS.len();
        let known: Vec<Option<u64>> = sections
            .map(|section| self.versions(section).into_iter().max().flatten())
            .collect();
        self.fleet.isolate_zones(&[]);
        self.fleet
            .set_service_mode_everywhere(simulation::ServiceMode::Up);
        self.fleet.run(SETTLE_TIME);
        assert_eq!(self.fleet.violations(), &[] as &[Box<str>]);

        let start = self.fleet.now();
        self.fleet.run(Duration::from_secs(10));
        for (section, known) in known.into_iter().enumerate() {
            let newest = self.accepted[section].map(|version| version.get());
            let settled = self.versions(section);
            let least = newest.max(known);
            assert!(
                settled.iter().all(|version| *version == settled[0]),
                "{settled:?}"
            );
            assert!(settled[0] >= least, "{settled:?} is below {least:?}");
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
    fn history_with_faults_settles(
        seed in any::<u64>(),
        steps in collection::vec(any_step(), 1..40),
    ) {
        let mut run = HistoryRun::new(seed, 0.0);
        for step in steps {
            run.take(step);
        }
        run.settle();
    }
}

proptest! {
    #![proptest_config(fixed_config(25, 12))]

    #[test]
    fn history_with_loss_settles(
        seed in any::<u64>(),
        steps in collection::vec(any_step(), 1..30),
    ) {
        let mut run = HistoryRun::new(seed, 0.02);
        for step in steps {
            run.take(step);
        }
        run.settle();
    }
}
