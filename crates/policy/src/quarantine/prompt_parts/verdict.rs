//! Decides which prompt parts explain the known crashes best.

use std::collections::BTreeMap;
use std::time::Duration;

use kingcupfall_core::time;
use kingcupfall_core::work;

/// Number of crashes that quarantine a part if no other part explains as many.
const MIN_CRASHES: usize = 3;

/// Number of crashes that quarantine one of several parts that explain them equally well, and a part
/// of which streams were sound before.
const FORCED_CRASHES: usize = 5;

/// Number of crashes from which on a part is reported as suspected.
const SUSPECTED_CRASHES: usize = 2;

/// Time between the report of a part's first crash and its quarantine, in which relays find its sound
/// streams: 1 s from their first event, and as long again to wait for such a stream and to hear of
/// it.
const HEARING_TIME: Duration = Duration::from_secs(2);

/// A part of a prompt that was lost in a crash.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct Involvement {
    pub(super) part: work::PromptPartId,
    /// Number of parts before it in the prompt.
    pub(super) position: usize,
    pub(super) sent_at: time::Timestamp,
    pub(super) lost_at: time::Timestamp,
}

/// A crash with the parts that it may be due to, each once.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) struct CrashEvidence {
    pub(super) known_at: time::Timestamp,
    pub(super) involvements: Vec<Involvement>,
}

/// What counts against a part.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct PartCase {
    pub(super) crash_count: usize,
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
    record: PartRecord,
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
    mut crashes: Vec<CrashEvidence>,
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
        let case = PartCase {
            crash_count: best.losses.len(),
            decisive_loss_at: best.losses.iter().rev().nth(MIN_CRASHES - 1).copied(),
        };
        verdict.cases.insert(best.part, case);
        crashes.retain(|crash| {
            let mut involvements = crash.involvements.iter();
            involvements.all(|involvement| involvement.part != best.part)
        });
    }
}

impl Verdict {
    fn add_suspects(&mut self, candidates: &[Candidate]) {
        for candidate in candidates {
            if candidate.losses.len() >= SUSPECTED_CRASHES && candidate.record == PartRecord::New {
                let case = PartCase {
                    crash_count: candidate.losses.len(),
                    decisive_loss_at: None,
                };
                self.cases.insert(candidate.part, case);
            }
        }
    }
}

/// Returns the part to quarantine next: one that is quarantined already, or the one that explains
/// most crashes. Of several, the last in their prompts, as refusing it refuses the fewest requests.
fn find_best(candidates: &[Candidate]) -> Option<&Candidate> {
    let known = leading(candidates, PartRecord::Quarantined);
    let new = leading(candidates, PartRecord::New);
    let sound = leading(candidates, PartRecord::Sound);
    let best = if has_crashes(&known, MIN_CRASHES) {
        known
    } else if has_crashes(&new, FORCED_CRASHES) || new.len() == 1 && has_crashes(&new, MIN_CRASHES)
    {
        new
    } else if has_crashes(&sound, FORCED_CRASHES) && !has_crashes(&new, MIN_CRASHES) {
        sound
    } else {
        Vec::new()
    };
    let best = best.into_iter();
    best.max_by_key(|candidate| (candidate.position, candidate.part))
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
    crashes: &[CrashEvidence],
    record: impl Fn(work::PromptPartId) -> PartRecord,
) -> Vec<Candidate> {
    let mut involvements: Vec<_> = crashes
        .iter()
        .flat_map(|crash| {
            let involvements = crash.involvements.iter();
            involvements.map(|involvement| (*involvement, crash.known_at))
        })
        .collect();
    involvements.sort_by_key(|(involvement, _)| (involvement.part, involvement.lost_at));

    let mut candidates: Vec<Candidate> = Vec::new();
    for (involvement, known_at) in involvements {
        match candidates.last_mut() {
            Some(candidate) if candidate.part == involvement.part => {
                let previous = candidate.losses.last();
                if previous.is_none_or(|lost_at| involvement.sent_at > *lost_at) {
                    candidate.losses.push(involvement.lost_at);
                    candidate.known_at = candidate.known_at.min(known_at);
                    candidate.position += involvement.position;
                }
            }
            Some(_) | None => candidates.push(Candidate {
                part: involvement.part,
                losses: vec![involvement.lost_at],
                known_at,
                position: involvement.position,
                record: record(involvement.part),
            }),
        }
    }
    candidates
}
