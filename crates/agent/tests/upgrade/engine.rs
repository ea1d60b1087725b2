//! A fake engine that loads versions and checks fencing numbers, or does not.

use std::time::Duration;

use kingcupfall_agent::protocol;
use kingcupfall_agent::upgrade;
use kingcupfall_core::engine;
use kingcupfall_core::measures;
use kingcupfall_core::time;

use super::MODEL;

/// Time in which a version is loaded.
pub const LOAD_TIME: Duration = Duration::from_secs(20);

/// One engine.
#[derive(Debug, Clone)]
pub struct FakeEngine {
    pub mode: engine::FencingMode,
    pub is_alive: bool,
    pub fencing: u64,
    pub version: Option<Box<str>>,
    pub loading: Option<(Box<str>, time::Timestamp)>,
    /// Version that kills it when it is loaded.
    pub fatal_version: Option<Box<str>>,
    /// Versions that it was ordered to load.
    pub orders: Vec<Box<str>>,
    pub refused: u32,
}

impl FakeEngine {
    pub fn new(mode: engine::FencingMode) -> Self {
        Self {
            mode,
            is_alive: true,
            fencing: 0,
            version: Some("1".into()),
            loading: None,
            fatal_version: None,
            orders: Vec::new(),
            refused: 0,
        }
    }

    pub fn state(&self) -> Option<upgrade::EngineState> {
        let loaded = self.version.iter().map(|version| protocol::LoadedModel {
            model: MODEL.parse().unwrap(),
            version: version.clone(),
            adapters: Vec::new(),
        });

        self.is_alive.then(|| upgrade::EngineState {
            fencing: measures::FencingNumber::new(self.fencing),
            loaded: loaded.collect(),
        })
    }

    pub fn order(
        &mut self,
        now: time::Timestamp,
        fencing: measures::FencingNumber,
        order: &engine::EngineOrder,
    ) -> upgrade::OrderOutcome {
        if !self.is_alive {
            return upgrade::OrderOutcome::Failed;
        }
        let is_old = fencing.get() <= self.fencing;
        if self.mode == engine::FencingMode::Checked && is_old {
            self.refused += 1;
            return upgrade::OrderOutcome::Outdated;
        }

        self.fencing = self.fencing.max(fencing.get());
        if let engine::EngineOrder::LoadModel { version, .. } = order {
            self.orders.push(version.clone());
            self.loading = Some((version.clone(), now + LOAD_TIME));
        }
        upgrade::OrderOutcome::Taken
    }

    pub fn step(&mut self, now: time::Timestamp) {
        let Some((version, done_at)) = self.loading.clone() else {
            return;
        };
        if now < done_at {
            return;
        }

        self.loading = None;
        if self.fatal_version.as_ref() == Some(&version) {
            self.die();
        } else {
            self.version = Some(version);
        }
    }

    pub fn die(&mut self) {
        self.is_alive = false;
        self.loading = None;
    }

    /// Comes back with the version that it had, and without memory of fencing numbers.
    pub fn restart(&mut self) {
        self.is_alive = true;
        self.fencing = 0;
    }
}
