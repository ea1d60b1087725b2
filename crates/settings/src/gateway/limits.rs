//! Section `limits` of a gateway's settings.

use std::ops::RangeInclusive;
use std::time::Duration;

use kingcupfall_core::measures;
use kingcupfall_document::reader;

use crate::units;

const DEFAULT_BODY_SIZE: units::SizeText = units::SizeText::from_bytes(1024 * 1024);
const BODY_SIZE_RANGE: RangeInclusive<units::SizeText> =
    units::SizeText::from_bytes(1024)..=units::SizeText::from_bytes(64 * 1024 * 1024);

const DEFAULT_CONNECTIONS: u32 = 10_000;
const CONNECTIONS_RANGE: RangeInclusive<u32> = 1..=1_000_000;

const DEFAULT_IDLE_TIMEOUT: units::DurationText = units::DurationText::from_millis(60_000);
const IDLE_TIMEOUT_RANGE: RangeInclusive<units::DurationText> =
    units::DurationText::from_millis(1_000)..=units::DurationText::from_millis(3_600_000);

/// Limits that protect a gateway from excessive use by callers.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct GatewayLimits {
    /// Maximum size of a request body.
    pub max_body_size: measures::ByteSize,
    /// Maximum number of callers' connections that are open at the same time.
    pub max_connections: u32,
    /// Time after which an idle connection of a caller is closed.
    pub idle_timeout: Duration,
}

impl Default for GatewayLimits {
    fn default() -> Self {
        Self {
            max_body_size: DEFAULT_BODY_SIZE.get(),
            max_connections: DEFAULT_CONNECTIONS,
            idle_timeout: DEFAULT_IDLE_TIMEOUT.get(),
        }
    }
}

impl reader::TableValue for GatewayLimits {
    fn read(reader: &mut reader::TableReader<'_, '_, '_>) -> Option<Self> {
        let max_body_size = reader.ranged("body", DEFAULT_BODY_SIZE, &BODY_SIZE_RANGE);
        let max_connections = reader.ranged("connections", DEFAULT_CONNECTIONS, &CONNECTIONS_RANGE);
        let idle_timeout = reader.ranged("idle", DEFAULT_IDLE_TIMEOUT, &IDLE_TIMEOUT_RANGE);

        Some(Self {
            max_body_size: max_body_size.get(),
            max_connections,
            idle_timeout: idle_timeout.get(),
        })
    }
}
