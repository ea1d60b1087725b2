//! Section `drain`: how long a planned stop may take.

use std::time::Duration;

use kingcupfall_document::reader;

use crate::units;

/// Time limit of planned stops.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct DrainSettings {
    /// Time after which a planned stop ends the work that still runs; `None` waits without limit.
    pub deadline: Option<Duration>,
}

impl reader::TableValue for DrainSettings {
    fn read(reader: &mut reader::TableReader<'_, '_, '_>) -> Option<Self> {
        let deadline: Option<units::DurationText> = reader.optional("deadline");
        let is_positive = deadline.is_none_or(|deadline| !deadline.get().is_zero());
        reader.check("deadline", is_positive, "must be more than zero");

        Some(Self {
            deadline: deadline.map(units::DurationText::get),
        })
    }
}
