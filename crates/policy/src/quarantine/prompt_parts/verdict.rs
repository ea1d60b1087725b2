//! Decides which prompt parts explain the known crashes best.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;

use kingcupfall_core::time;
use kingcupfall_core::work;

/// Number of crashes that quarantine a part if no other part explains as many, or only parts of the
/// same prompts.
const MIN_CRASHES: usize = 3;

/// Number of crashes that quarantine one of several parts of different prompts that explain them
/// equally well, and a part of which streams were sound before.
const FORCED_CRASHES: usize = 5;

/// Number of crashes from which on a part is reported as suspected.
const SUSPECTED_CRASHES: usize = 2;

/// Time between the report of a part's first crash and its quarantine, in which relays find its
/// sound streams: 1 s from their first event, and as long again to wait for such a stream and to
/// hear of it.
const HEARING_TIME: Duration = Duration::from_secs(2);

/// A part of a prompt that was lost in a crash.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct Involvement<'a> {
    pub(super) part: work::PromptPartId,
    /// The prompt.
    pub(super) prompt: &'a [work::PromptPartId],
    pub(super) sent_at: time::Timestamp,
    pub(super) lost_at: time::Timestamp,
}

/// A crash with the parts that it may be due to, each once.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) struct CrashEvidence<'a> {
    pub(super) known_at: time::Timestamp,
    pub(super) involvements: Vec<Involvement<'a>>,
}

/// What counts against a part.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) struct PartCase {
    pub(super) crash_count: usize,
    /// Parts that explain the same crashes: only prompts that have all of them are refused.
    pub(super) companions: Vec<work::PromptPartId>,
    /// When so many of its crashes will have expired that it is no longer quarantined, counted from
    /// the loss that decides; `None` if it is not quarantined.
    pub(super) decisive_loss_at: Option<time::Timestamp>,
}

/// The parts that count as suspected or quarantined.
#[derive(Debug, Default)]
pub(super) struct Verdict {
    pub(super) cases: BTreeMap<work::PromptPartId, PartCase>,
    /// When the verdict may differ although nothing else has changed.
    pub(super) review_at: Option<time::Timestamp>,
}

/// A part that may explain some of the crashes.
#[derive(Debug)]
struct Candidate {
    part: work::PromptPartId,
    /// Losses that count, in order.
    losses: Vec<time::Timestamp>,
    /// When the first of them became known.
    known_at: time::Timestamp,
    /// Sum of the part's positions in the prompts.
    position: usize,
    /// Parts that all these prompts have, itself included.
    common: BTreeSet<work::PromptPartId>,
    record: PartRecord,
}

impl Candidate {
    fn add(&mut self, involvement: &Involvement<'_>, known_at: time::Timestamp) {
        let prompt = involvement.prompt;
        self.losses.push(involvement.lost_at);
        self.known_at = self.known_at.min(known_at);
        self.common.retain(|part| prompt.contains(part));
        let mut parts = prompt.iter();
        let position = parts.position(|part| *part == self.part);
        self.position += position.unwrap_or(0);
    }
}

/// What was known of a part before.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum PartRecord {
    /// Nothing.
    New,
    /// Streams with it were sound at some time.
    Sound,
    /// It is quarantined.
    Quarantined,
}

/// Decides which parts are suspected and which are quarantined. A crash that a quarantined part
/// explains does not count for other parts.
pub(super) fn decide(
    now: time::Timestamp,
    mut crashes: Vec<CrashEvidence<'_>>,
    record: impl Fn(work::PromptPartId) -> PartRecord,
) -> Verdict {
    let mut verdict = Verdict::default();
    loop {
        let candidates = find_candidates(&crashes, &record);
        let Some(best) = find_best(&candidates) else {
            verdict.add_suspects(&candidates);
            return verdict;
        };
        let decided_at = best.known_at + HEARING_TIME;
        if best.record != PartRecord::Quarantined && now < decided_at {
            verdict.review_at = Some(decided_at);
            verdict.add_suspects(&candidates);
            return verdict;
        }
        let explaining = explaining_parts(best, &candidates);
        crashes.retain(|crash| {
            let mut involvements = crash.involvements.iter();
            !involvements.any(|involvement| {
                let prompt = involvement.prompt;
                involvement.part == best.part && explaining.iter().all(|part| prompt.contains(part))
            })
        });
        let mut companions = explaining;
        companions.retain(|part| *part != best.part);
        let case = PartCase {
            crash_count: best.losses.len(),
            companions,
            decisive_loss_at: best.losses.iter().rev().nth(MIN_CRASHES - 1).copied(),
        };
        verdict.cases.insert(best.part, case);
    }
}

impl Verdict {
    fn add_suspects(&mut self, candidates: &[Candidate]) {
        for candidate in candidates {
            if candidate.losses.len() >= SUSPECTED_CRASHES && candidate.record == PartRecord::New {
                let case = PartCase {
                    crash_count: candidate.losses.len(),
                    companions: Vec::new(),
                    decisive_loss_at: None,
                };
                self.cases.insert(candidate.part, case);
            }
        }
    }
}

/// Returns the part to quarantine next: one that is quarantined already, or the one that explains
/// most crashes. Of several parts of the same prompts it is the last one, and the prompts that have
/// all of them are refused, so that requests with only some of them show which are sound.
fn find_best(candidates: &[Candidate]) -> Option<&Candidate> {
    let known = leading(candidates, PartRecord::Quarantined);
    let new = leading(candidates, PartRecord::New);
    let sound = leading(candidates, PartRecord::Sound);
    let best = if has_crashes(&known, MIN_CRASHES) && !is_surpassed(&known, &new) {
        known
    } else if has_crashes(&new, MIN_CRASHES) {
        let narrowest = narrowest(new, candidates);
        match is_one_explanation(&narrowest, candidates) || has_crashes(&narrowest, FORCED_CRASHES)
        {
            true => narrowest,
            false => Vec::new(),
        }
    } else if has_crashes(&sound, FORCED_CRASHES) {
        sound
    } else {
        Vec::new()
    };
    let best = best.into_iter();
    best.max_by_key(|candidate| (candidate.position, candidate.part))
}

/// Returns the parts of all prompts that a candidate explains which explain them as well, itself
/// included.
fn explaining_parts(candidate: &Candidate, candidates: &[Candidate]) -> Vec<work::PromptPartId> {
    let explains_as_many = |other: &&Candidate| {
        candidate.common.contains(&other.part)
            && other.losses.len() >= candidate.losses.len()
            && (other.record != PartRecord::Sound || other.part == candidate.part)
    };
    let explaining = candidates.iter().filter(explains_as_many);
    explaining.map(|candidate| candidate.part).collect()
}

/// Returns whether a part that all prompts of a quarantined one have explains further crashes.
fn is_surpassed(quarantined: &[&Candidate], new: &[&Candidate]) -> bool {
    quarantined.iter().any(|candidate| {
        new.iter().any(|other| {
            candidate.common.contains(&other.part) && other.losses.len() > candidate.losses.len()
        })
    })
}

/// Returns those candidates whose quarantine refuses the prompts with the most parts in common.
fn narrowest<'a>(tied: Vec<&'a Candidate>, candidates: &[Candidate]) -> Vec<&'a Candidate> {
    let width = |candidate: &Candidate| explaining_parts(candidate, candidates).len();
    let max_width = tied.iter().map(|candidate| width(candidate)).max();
    let tied = tied.into_iter();
    tied.filter(|candidate| Some(width(candidate)) == max_width)
        .collect()
}

/// Returns whether the quarantine of each of these candidates refuses the same prompts.
fn is_one_explanation(tied: &[&Candidate], candidates: &[Candidate]) -> bool {
    let explanations: BTreeSet<_> = tied
        .iter()
        .map(|candidate| explaining_parts(candidate, candidates))
        .collect();
    explanations.len() == 1
}

/// Returns the candidates with this record that explain most crashes.
fn leading(candidates: &[Candidate], record: PartRecord) -> Vec<&Candidate> {
    let matching = || {
        candidates
            .iter()
            .filter(|candidate| candidate.record == record)
    };
    let crash_count = matching().map(|candidate| candidate.losses.len()).max();
    matching()
        .filter(|candidate| Some(candidate.losses.len()) == crash_count)
        .collect()
}

fn has_crashes(candidates: &[&Candidate], min_crashes: usize) -> bool {
    candidates
        .first()
        .is_some_and(|candidate| candidate.losses.len() >= min_crashes)
}

/// Counts for each part the crashes that it may explain. Several targets that end at one time, or a
/// relay that is cut off from them, count once: a request counts if it was sent after the previous
/// one that counts was lost.
fn find_candidates(
    crashes: &[CrashEvidence<'_>],
    record: impl Fn(work::PromptPartId) -> PartRecord,
) -> Vec<Candidate> {
    let mut involvements: Vec<_> = crashes
        .iter()
        .flat_map(|crash| {
            let involvements = crash.involvements.iter();
            involvements.map(|involvement| (involvement, crash.known_at))
        })
        .collect();
    involvements.sort_by_key(|(involvement, _)| (involvement.part, involvement.lost_at));

    let mut candidates: Vec<Candidate> = Vec::new();
    for (involvement, known_at) in involvements {
        if candidates.last().map(|candidate| candidate.part) != Some(involvement.part) {
            candidates.push(Candidate {
                part: involvement.part,
                losses: Vec::new(),
                known_at,
                position: 0,
                common: involvement.prompt.iter().copied().collect(),
                record: record(involvement.part),
            });
        }
        if let Some(candidate) = candidates.last_mut() {
            let previous = candidate.losses.last();
            if previous.is_none_or(|lost_at| involvement.sent_at > *lost_at) {
                candidate.add(involvement, known_at);
            }
        }
    }
    candidates
}
