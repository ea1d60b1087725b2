//! Section `limits` of a gateway.

use std::ops::RangeInclusive;
use std::time::Duration;

use kingcupfall_core::measures;
use kingcupfall_document::reader;

use crate::units;

const BODY_DEFAULT: units::SizeText = units::SizeText::from_bytes(1024 * 1024);
const BODY_RANGE: RangeInclusive<units::SizeText> =
    units::SizeText::from_bytes(1024)..=units::SizeText::from_bytes(64 * 1024 * 1024);

const CONNECTIONS_DEFAULT: u32 = 10_000;
const CONNECTIONS_RANGE: RangeInclusive<u32> = 1..=1_000_000;

const IDLE_DEFAULT: units::DurationText = units::DurationText::from_millis(60_000);
const IDLE_RANGE: RangeInclusive<units::DurationText> =
    units::DurationText::from_millis(1_000)..=units::DurationText::from_millis(3_600_000);

/// Limits that protect a gateway from its callers.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct GatewayLimits {
    /// Largest body of a request.
    pub body: measures::ByteSize,
    /// Most connections of callers at a time.
    pub connections: u32,
    /// Longest time that a caller's connection may be idle.
    pub idle: Duration,
}

impl Default for GatewayLimits {
    fn default() -> Self {
        Self {
            body: BODY_DEFAULT.get(),
            connections: CONNECTIONS_DEFAULT,
            idle: IDLE_DEFAULT.get(),
        }
    }
}

impl reader::TableValue for GatewayLimits {
    fn read(reader: &mut reader::TableReader<'_, '_, '_>) -> Option<Self> {
        let body = reader.ranged("body", BODY_DEFAULT, &BODY_RANGE);
        let connections = reader.ranged("connections", CONNECTIONS_DEFAULT, &CONNECTIONS_RANGE);
        let idle = reader.ranged("idle", IDLE_DEFAULT, &IDLE_RANGE);

        Some(Self {
            body: body.get(),
            connections,
            idle: idle.get(),
        })
    }
}
