//! One target as it registered itself.

use std::fmt;
use std::net;

use kingcupfall_core::ids;
use serde::Deserialize;
use serde::Serialize;

/// Number of the directory's state; it grows with each change.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct DirectoryRevision(u64);

impl DirectoryRevision {
    /// Makes a revision from its number.
    pub const fn new(number: u64) -> Self {
        Self(number)
    }

    /// Returns the number.
    pub const fn get(self) -> u64 {
        self.0
    }
}

impl fmt::Display for DirectoryRevision {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(formatter)
    }
}

/// One life of a target: a restart under the same name is another life.
#[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct TargetKey {
    /// Name under which the target registered.
    #[serde(rename = "n")]
    pub name: ids::TargetName,
    /// Start of this life, in Unix milliseconds on the target's clock; zero when it is not told.
    #[serde(rename = "b")]
    pub started_ms: u64,
}

impl fmt::Display for TargetKey {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}@{}", self.name, self.started_ms)
    }
}

/// Whether a target takes new work.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum TargetState {
    /// It takes work.
    Ready,
    /// It finishes what it has and leaves.
    Draining,
}

/// What a target registered about itself.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct TargetRecord {
    /// The life that the record is about.
    #[serde(rename = "k")]
    pub key: TargetKey,
    /// Service that it belongs to.
    #[serde(rename = "s")]
    pub service: ids::ServiceName,
    /// Where it takes requests.
    #[serde(rename = "a")]
    pub address: net::SocketAddr,
    /// Its availability zone.
    #[serde(rename = "z")]
    pub zone: ids::ZoneName,
    /// Requests that it works on at a time.
    #[serde(rename = "c")]
    pub slots: u32,
    /// Whether it takes new work.
    #[serde(rename = "t")]
    pub state: TargetState,
    /// State of the directory in which the record was written.
    #[serde(rename = "r")]
    pub revision: DirectoryRevision,
}
