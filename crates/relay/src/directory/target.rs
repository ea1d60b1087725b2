//! One target, as it registered in the platform's directory.

use std::fmt;
use std::net;
use std::time::Duration;

use kingcupfall_core::ids;
use serde::Deserialize;
use serde::Serialize;
use serde_with::DurationMilliSeconds;
use serde_with::serde_as;

/// Bits of a revision that hold its number within an era; the directory's counter stays far below.
const NUMBER_BITS: u32 = 48;

/// Revision of the platform's directory; it grows with each change.
///
/// When the directory returns from an older copy of itself, a new era begins and numbers are given
/// out again. Any revision of a later era is newer.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct DirectoryRevision(u64);

impl DirectoryRevision {
    /// Creates a revision of a directory that has always been in its first era.
    pub const fn new(number: u64) -> Self {
        Self::in_era(0, number)
    }

    /// Creates the revision with this number in an era.
    pub const fn in_era(era: u64, number: u64) -> Self {
        Self(era << NUMBER_BITS | number)
    }

    /// Returns the revision's era.
    pub const fn era(self) -> u64 {
        self.0 >> NUMBER_BITS
    }

    /// Returns the revision's number within its era.
    pub const fn get(self) -> u64 {
        self.0 & ((1 << NUMBER_BITS) - 1)
    }
}

impl fmt::Display for DirectoryRevision {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.era() {
            0 => self.0.fmt(formatter),
            era => write!(formatter, "{era}/{}", self.get()),
        }
    }
}

/// Identifies one incarnation of a target: a restart under the same name begins another one.
#[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct TargetKey {
    /// Name under which the target registered.
    #[serde(rename = "n")]
    pub name: ids::TargetName,
    /// Start of the incarnation, in Unix milliseconds on the target's clock; zero if unknown.
    #[serde(rename = "b")]
    pub started_ms: u64,
}

impl fmt::Display for TargetKey {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}@{}", self.name, self.started_ms)
    }
}

/// Whether a target accepts new work.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum TargetState {
    /// It accepts new work.
    Ready,
    /// It finishes its current work and then leaves.
    Draining,
}

/// Registration record of a target.
#[serde_as]
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct TargetRecord {
    /// Incarnation that registered the record.
    #[serde(rename = "k")]
    pub key: TargetKey,
    /// Service that the target belongs to.
    #[serde(rename = "s")]
    pub service: ids::ServiceName,
    /// Address at which the target accepts requests.
    #[serde(rename = "a")]
    pub address: net::SocketAddr,
    /// Availability zone of the target.
    #[serde(rename = "z")]
    pub zone: ids::ZoneName,
    /// Number of requests that the target runs concurrently.
    #[serde(rename = "c")]
    pub slots: u32,
    /// Whether the target accepts new work.
    #[serde(rename = "t")]
    pub state: TargetState,
    /// Directory revision at which the record was written.
    #[serde(rename = "r")]
    pub revision: DirectoryRevision,
    /// Time for which the target was still cold when the record was written.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "w", default)]
    pub cold_for: Duration,
}
