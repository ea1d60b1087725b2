//! Simulates a fleet of relays whose targets crash, for random causes or because of a prompt part,
//! and counts how many requests with the part reach targets and how many sound ones are refused.

use std::collections::BTreeMap;
use std::time::Duration;

use kingcupfall_core::ids;
use kingcupfall_core::time;
use kingcupfall_core::work;
use kingcupfall_policy::quarantine;
use kingcupfall_policy::quarantine::PromptPartPolicy;
use rand::Rng;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use yare::parameterized;

const RELAYS: usize = 6;
const TARGETS: usize = 40;

/// Mean time between two sound requests of the fleet, in milliseconds.
const SOUND_INTERVAL_MS: f64 = 25.0;

/// Mean time between two fatal requests.
const FATAL_INTERVAL_MS: f64 = 500.0;

/// Time at which the first fatal request is sent: relays have seen sound streams by then.
const FATAL_START_MS: u64 = 10_000;

const END_MS: u64 = 40_000;

/// Time for which a crashed target is down.
const DOWNTIME_MS: u64 = 4_000;

/// Time from the first event of a stream after which it is sound.
const FATAL_TIME_MS: u64 = 1_000;

/// Time from a crash until a probe has found it.
const PROBE_TIME_MS: u64 = 60;

/// Time after which a relay that is cut off gives an attempt up.
const SILENCE_MS: u64 = 900;

const TICK_MS: u64 = 50;

/// Number of shared second parts of sound prompts; all of them have the first part in common.
const SECOND_PARTS: u64 = 12;

const FIRST: u64 = 1;
const FATAL: u64 = 0xfa;

/// Requests with the part that may reach targets later than [`GRACE_MS`] after the fifth crash.
const MAX_LATE_REQUESTS: usize = 3;
const GRACE_MS: u64 = 3_000;

/// What happens besides sound requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Trouble {
    /// Requests whose prompts have one of these lists of parts crash their targets.
    FatalPart(&'static [&'static [u64]]),
    /// A random target crashes each second.
    RandomCrashes,
    /// Half of the targets crash within this time in milliseconds.
    ManyCrashes(u64),
    /// One relay is cut off from targets and peers for three seconds.
    RelayCutOff,
}

#[derive(Debug, Clone)]
struct Stream {
    relay: usize,
    target: usize,
    parts: Vec<work::PromptPartId>,
    sent_ms: u64,
    first_event_ms: Option<u64>,
}

#[derive(Debug, Clone)]
enum Event {
    SoundRequest,
    FatalRequest,
    Started(u64),
    ProvedSound(u64),
    Completed(u64),
    Crash(usize),
    CutOff(u64),
    LossFound(usize, ids::CrashId, quarantine::LostPrompt),
    Received(usize, quarantine::PromptCrash),
    Tick,
}

struct Fleet {
    random: ChaCha8Rng,
    trouble: Trouble,
    now_ms: u64,
    events: BTreeMap<(u64, u64), Event>,
    event_count: u64,
    relays: Vec<quarantine::CrashCorrelation>,
    /// Incarnation of each target, and when it is up.
    targets: Vec<(u64, u64)>,
    streams: BTreeMap<u64, Stream>,
    /// Times until which relays are cut off.
    cut_until_ms: [u64; RELAYS],
    fatal_crashes_ms: Vec<u64>,
    fatal_sent_ms: Vec<u64>,
    sound_refused: usize,
    sound_served: usize,
}

fn at(millis: u64) -> time::Timestamp {
    time::Timestamp::ZERO + Duration::from_millis(millis)
}

impl Fleet {
    fn run(trouble: Trouble, seed: u64) -> Self {
        let mut fleet = Self {
            random: ChaCha8Rng::seed_from_u64(seed),
            trouble,
            now_ms: 0,
            events: BTreeMap::new(),
            event_count: 0,
            relays: (0..RELAYS).map(|_| Default::default()).collect(),
            targets: vec![(0, 0); TARGETS],
            streams: BTreeMap::new(),
            cut_until_ms: [0; RELAYS],
            fatal_crashes_ms: Vec::new(),
            fatal_sent_ms: Vec::new(),
            sound_refused: 0,
            sound_served: 0,
        };
        fleet.schedule(0, Event::SoundRequest);
        fleet.schedule(0, Event::Tick);
        match trouble {
            Trouble::FatalPart(_) => fleet.schedule(FATAL_START_MS, Event::FatalRequest),
            Trouble::RandomCrashes => {
                for second in 10..35 {
                    let target = fleet.random.random_range(0..TARGETS);
                    fleet.schedule(second * 1_000, Event::Crash(target));
                }
            }
            Trouble::ManyCrashes(duration_ms) => {
                for target in 0..TARGETS / 2 {
                    let delay_ms = fleet.random.random_range(0..=duration_ms);
                    fleet.schedule(FATAL_START_MS + delay_ms, Event::Crash(target));
                }
            }
            Trouble::RelayCutOff => fleet.schedule(FATAL_START_MS, Event::CutOff(3_000)),
        }
        while let Some(((now_ms, _), event)) = fleet.events.pop_first()
            && now_ms < END_MS
        {
            fleet.now_ms = now_ms;
            fleet.handle(event);
        }
        fleet
    }

    fn schedule(&mut self, delay_ms: u64, event: Event) {
        self.event_count += 1;
        let key = (self.now_ms + delay_ms, self.event_count);
        self.events.insert(key, event);
    }

    fn interval(&mut self, mean_ms: f64) -> u64 {
        let fraction: f64 = self.random.random();
        (-mean_ms * (1.0 - fraction).ln()) as u64
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::SoundRequest => self.send_sound(),
            Event::FatalRequest => self.send_fatal(),
            Event::Started(stream) => self.start(stream),
            Event::ProvedSound(stream) => self.prove(stream),
            Event::Completed(stream) => {
                self.sound_served += usize::from(self.streams.remove(&stream).is_some());
            }
            Event::Crash(target) => self.crash(target),
            Event::CutOff(duration_ms) => self.cut_off(duration_ms),
            Event::LossFound(relay, crash, prompt) => {
                let now = at(self.now_ms);
                let record = self.relays[relay].record_crash(now, crash, &[prompt]);
                self.relays[relay].review(now);
                self.tell_peers(relay, record);
            }
            Event::Received(relay, record) => {
                let now = at(self.now_ms);
                let finding = self.relays[relay].merge(now, &record);
                self.relays[relay].review(now);
                self.tell_peers(relay, finding);
            }
            Event::Tick => {
                for relay in &mut self.relays {
                    relay.review(at(self.now_ms));
                }
                self.schedule(TICK_MS, Event::Tick);
            }
        }
    }

    fn tell_peers(
        &mut self,
        sender: usize,
        records: impl IntoIterator<Item = quarantine::PromptCrash>,
    ) {
        for record in records {
            for relay in (0..RELAYS).filter(|relay| *relay != sender) {
                let ends = [sender, relay].map(|end| self.cut_until_ms[end]);
                let held_ms = ends.map(|until_ms| until_ms.saturating_sub(self.now_ms));
                let mut record = record.clone();
                for prompt in &mut record.prompts {
                    // A relay sends the ages at the time of sending.
                    prompt.age_ms += held_ms[0].max(held_ms[1]);
                }
                let delay_ms = held_ms[0].max(held_ms[1]) + self.random.random_range(1..50);
                self.schedule(delay_ms, Event::Received(relay, record));
            }
        }
    }

    fn place(&mut self, values: &[u64]) -> Option<u64> {
        let relay = self.random.random_range(0..RELAYS);
        let parts: Vec<_> = values
            .iter()
            .copied()
            .map(work::PromptPartId::new)
            .collect();
        if self.relays[relay].quarantined_part(&parts).is_some() {
            return None;
        }
        let up = (0..TARGETS).filter(|target| self.targets[*target].1 <= self.now_ms);
        let up: Vec<_> = up.collect();
        let target = up[self.random.random_range(0..up.len())];
        let number = self.event_count;
        let stream = Stream {
            relay,
            target,
            parts,
            sent_ms: self.now_ms,
            first_event_ms: None,
        };
        if self.cut_until_ms[relay] > self.now_ms {
            self.lose(&stream, SILENCE_MS);
        } else {
            self.streams.insert(number, stream);
        }
        Some(number)
    }

    fn send_sound(&mut self) {
        let interval_ms = self.interval(SOUND_INTERVAL_MS);
        self.schedule(interval_ms, Event::SoundRequest);
        let second = 100 + self.random.random_range(0..SECOND_PARTS);
        match self.place(&[FIRST, second]) {
            Some(stream) => {
                let first_ms = self.random.random_range(20..300);
                let duration_ms = self.random.random_range(200..8_000);
                self.schedule(first_ms, Event::Started(stream));
                if duration_ms >= FATAL_TIME_MS {
                    self.schedule(first_ms + FATAL_TIME_MS, Event::ProvedSound(stream));
                }
                self.schedule(first_ms + duration_ms, Event::Completed(stream));
            }
            None => self.sound_refused += 1,
        }
    }

    fn send_fatal(&mut self) {
        let interval_ms = self.interval(FATAL_INTERVAL_MS);
        self.schedule(interval_ms, Event::FatalRequest);
        let Trouble::FatalPart(prompts) = self.trouble else {
            return;
        };
        let index = self.random.random_range(0..prompts.len());
        if let Some(number) = self.place(prompts[index]) {
            self.fatal_sent_ms.push(self.now_ms);
            let first_ms = self.random.random_range(20..300);
            let target = self.streams[&number].target;
            self.schedule(first_ms, Event::Started(number));
            let crash_ms = first_ms + self.random.random_range(75..100);
            self.schedule(crash_ms, Event::Crash(target));
        }
    }

    fn crash_id(&self, target: usize) -> ids::CrashId {
        let (incarnation, _) = self.targets[target];
        ids::CrashId::from_u128(u128::from(incarnation) * 1_000 + target as u128)
    }

    fn start(&mut self, number: u64) {
        let now_ms = self.now_ms;
        let Some(stream) = self.streams.get_mut(&number) else {
            return;
        };
        stream.first_event_ms = Some(now_ms);
        let (relay, target, sent_ms) = (stream.relay, stream.target, stream.sent_ms);
        let crash = self.crash_id(target);
        let record = self.relays[relay].record_response(at(now_ms), crash, at(sent_ms));
        self.tell_peers(relay, record);
    }

    fn prove(&mut self, number: u64) {
        let Some(stream) = self.streams.get(&number).cloned() else {
            return;
        };
        let now = at(self.now_ms);
        let began_at = at(stream.first_event_ms.unwrap_or(self.now_ms));
        let relay = &mut self.relays[stream.relay];
        let records = relay.record_sound_stream(now, &stream.parts, began_at);
        relay.review(now);
        self.tell_peers(stream.relay, records);
    }

    /// Reports the prompt of a stream to its relay as lost after `delay_ms`, if it had just begun.
    fn lose(&mut self, stream: &Stream, delay_ms: u64) {
        let now_ms = self.now_ms;
        let is_fresh = |first_ms: u64| now_ms - first_ms < FATAL_TIME_MS;
        if stream.first_event_ms.is_none_or(is_fresh) {
            let prompt = quarantine::LostPrompt {
                parts: stream.parts.as_slice().into(),
                sent_at: at(stream.sent_ms),
                lost_at: at(now_ms + delay_ms),
            };
            let crash = self.crash_id(stream.target);
            let found = Event::LossFound(stream.relay, crash, prompt);
            self.schedule(delay_ms + PROBE_TIME_MS, found);
        }
    }

    fn crash(&mut self, target: usize) {
        if self.targets[target].1 > self.now_ms {
            return;
        }
        let is_lost = |stream: &Stream| stream.target == target;
        let lost: Vec<_> = self
            .streams
            .extract_if(.., |_, stream| is_lost(stream))
            .collect();
        let fatal = work::PromptPartId::new(FATAL);
        if lost.iter().any(|(_, stream)| stream.parts.contains(&fatal)) {
            self.fatal_crashes_ms.push(self.now_ms);
        }
        for (_, stream) in &lost {
            self.lose(stream, 0);
        }
        let (incarnation, _) = self.targets[target];
        self.targets[target] = (incarnation + 1, self.now_ms + DOWNTIME_MS);
    }

    fn cut_off(&mut self, duration_ms: u64) {
        self.cut_until_ms[0] = self.now_ms + duration_ms;
        let lost = self.streams.extract_if(.., |_, stream| stream.relay == 0);
        for (_, stream) in lost.collect::<Vec<_>>() {
            self.lose(&stream, SILENCE_MS);
        }
    }

    /// Returns the number of fatal requests that were sent to targets too late after the fifth
    /// crash.
    fn late_requests(&self) -> usize {
        let fifth_ms = self.fatal_crashes_ms.get(4).copied().unwrap_or(u64::MAX);
        let limit_ms = fifth_ms.saturating_add(GRACE_MS);
        let sent = self.fatal_sent_ms.iter();
        sent.filter(|sent_ms| **sent_ms > limit_ms).count()
    }
}

const SEEDS: std::ops::Range<u64> = 0..20;

#[parameterized(
    after_the_shared_first_part = { &[&[FIRST, FATAL]] },
    after_two_shared_parts = { &[&[FIRST, 101, FATAL]] },
    between_shared_parts = { &[&[FIRST, FATAL, 101]] },
    before_a_shared_part = { &[&[FATAL, 101]] },
    alone = { &[&[FATAL]] },
    in_various_prompts = { &[&[FIRST, FATAL], &[FIRST, 102, FATAL], &[FATAL, 103], &[FIRST, FATAL, 104]] },
    rarely_without_the_first_part = { &[&[FIRST, FATAL], &[FIRST, FATAL], &[FIRST, FATAL], &[FATAL]] },
)]
fn fatal_part_is_refused_in_time_and_sound_requests_are_served(prompts: &'static [&'static [u64]]) {
    for seed in SEEDS {
        let fleet = Fleet::run(Trouble::FatalPart(prompts), seed);
        let late = fleet.late_requests();
        let sent = fleet.fatal_sent_ms.len();
        assert!(
            late <= MAX_LATE_REQUESTS,
            "seed {seed}: {late} late of {sent}"
        );
        assert!(fleet.fatal_crashes_ms.len() >= 3, "seed {seed}");
        assert!(fleet.sound_served > 1_000, "seed {seed}");
        assert_eq!(fleet.sound_refused, 0, "seed {seed}");
    }
}

#[parameterized(
    random_targets_one_after_the_other = { Trouble::RandomCrashes },
    half_of_the_targets_at_one_time = { Trouble::ManyCrashes(0) },
    half_of_the_targets_within_a_second = { Trouble::ManyCrashes(1_000) },
    half_of_the_targets_within_five_seconds = { Trouble::ManyCrashes(5_000) },
    one_relay_is_cut_off = { Trouble::RelayCutOff },
)]
fn other_crashes_quarantine_no_part(trouble: Trouble) {
    for seed in SEEDS {
        let fleet = Fleet::run(trouble, seed);
        assert!(fleet.sound_served > 1_000, "seed {seed}");
        assert_eq!(fleet.sound_refused, 0, "seed {seed}");
    }
}
