//! What the document wants of one engine, and in which order targets follow.

use std::collections::BTreeMap;
use std::time::Duration;

use kingcupfall_core::engine;
use kingcupfall_core::ids;
use kingcupfall_document::sections;
use xxhash_rust::xxh3;

const SECONDS_PER_MINUTE: u64 = 60;

/// What the document wants of one model on one target.
#[derive(Debug, Clone, PartialEq)]
pub struct ModelPlan {
    /// Version to serve.
    pub version: Box<str>,
    /// Adapters to load.
    pub adapters: Vec<Box<str>>,
    /// Least share of the model's targets that serve during an upgrade.
    pub capacity_floor: f64,
    /// When targets may be upgraded.
    pub window: Option<sections::UpgradeWindow>,
    /// All targets of the model that are not leaving, by rank.
    pub ranking: Vec<ids::TargetName>,
    /// Rank of this target.
    pub rank: usize,
}

/// What the document wants of one target.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct UpgradePlan {
    /// Models by name; none for a service, and for a target that leaves or is not listed.
    pub models: BTreeMap<ids::ModelName, ModelPlan>,
    /// Whether the engine refuses orders with an old fencing number.
    pub fencing: engine::FencingMode,
}

impl UpgradePlan {
    /// Reads the plan of `target` out of the document.
    pub fn of_document(document: &sections::OperatorDocument, target: &ids::TargetName) -> Self {
        let entry = document.targets.get(target).filter(|entry| !entry.leaving);
        let Some(sections::TargetKind::Engine { models, fencing }) = entry.map(|entry| &entry.kind)
        else {
            return Self::default();
        };

        let plans = models.iter().filter_map(|model| {
            let entry = document.models.get(model)?;
            let ranking = rank_targets(document, model, &entry.version);
            let rank = ranking.iter().position(|ranked| ranked == target)?;
            Some((model.clone(), ModelPlan::new(entry, ranking, rank)))
        });
        Self {
            models: plans.collect(),
            fencing: *fencing,
        }
    }
}

impl ModelPlan {
    fn new(entry: &sections::ModelEntry, ranking: Vec<ids::TargetName>, rank: usize) -> Self {
        Self {
            version: entry.version.clone(),
            adapters: entry.adapters.clone(),
            capacity_floor: entry.capacity_floor,
            window: entry.upgrade_window,
            ranking,
            rank,
        }
    }

    /// Returns the model's other targets, by rank.
    pub fn others(&self) -> impl Iterator<Item = &ids::TargetName> {
        let own = self.rank;
        let ranked = self.ranking.iter().enumerate();
        ranked
            .filter(move |(rank, _)| *rank != own)
            .map(|(_, target)| target)
    }

    /// Returns how many targets must serve while this one does not.
    pub fn targets_needed(&self) -> usize {
        let share = self.capacity_floor * self.ranking.len() as f64;
        share.ceil() as usize
    }

    /// Returns how many targets may be upgraded at a time; at least one.
    pub fn parallel_upgrades(&self) -> usize {
        let loads = self.window.map_or(1, |window| window.parallel_loads) as usize;
        let spare = self.ranking.len().saturating_sub(self.targets_needed());
        loads.min(spare).max(1)
    }

    /// Returns the targets before this one in its time slot.
    pub fn slot_mates(&self) -> &[ids::TargetName] {
        let first = match self.rank {
            0 => 0,
            rank => rank - (rank - 1) % self.parallel_upgrades(),
        };
        &self.ranking[first..self.rank]
    }

    /// Returns the time from the start of `window` to this target's slot.
    ///
    /// The first rank has a slot alone, so that a bad version meets one target only.
    pub fn slot_start(&self, window: &sections::UpgradeWindow) -> Duration {
        let slots = self.slot_of(self.ranking.len() - 1) + 1;
        let seconds = u64::from(window.length_minutes) * SECONDS_PER_MINUTE;
        let elapsed = seconds * self.slot_of(self.rank) / slots;
        Duration::from_secs(elapsed)
    }

    fn slot_of(&self, rank: usize) -> u64 {
        let slot = match rank {
            0 => 0,
            rank => 1 + (rank - 1) / self.parallel_upgrades(),
        };
        slot as u64
    }
}

/// Orders the targets of `model` by a hash that all agents compute alike.
///
/// The version is part of the hash, so that not the same targets go first every night.
fn rank_targets(
    document: &sections::OperatorDocument,
    model: &ids::ModelName,
    version: &str,
) -> Vec<ids::TargetName> {
    let serves = |entry: &sections::TargetEntry| match &entry.kind {
        sections::TargetKind::Engine { models, .. } => models.contains(model) && !entry.leaving,
        sections::TargetKind::Service { .. } => false,
    };

    let mut ranked: Vec<(u64, &ids::TargetName)> = document
        .targets
        .iter()
        .filter(|(_, entry)| serves(entry))
        .map(|(target, _)| (rank_hash(model, version, target), target))
        .collect();
    ranked.sort();
    ranked
        .into_iter()
        .map(|(_, target)| target.clone())
        .collect()
}

fn rank_hash(model: &ids::ModelName, version: &str, target: &ids::TargetName) -> u64 {
    let mut hasher = xxh3::Xxh3::new();
    hasher.update(model.as_str().as_bytes());
    hasher.update(&[0]);
    hasher.update(version.as_bytes());
    hasher.update(&[0]);
    hasher.update(target.as_str().as_bytes());
    hasher.digest()
}
