//! Weighted fair shares of organisations.

use std::collections::BTreeMap;

use kingcupfall_core::ids;
use kingcupfall_core::measures;

/// Most organisations whose shares are kept; idle ones make room.
const ORGANISATION_LIMIT: usize = 1_024;

/// Virtual time of each organisation: the service it has had, divided by its weight.
///
/// The waiting organisation with the least virtual time is served next. One that comes back from a
/// pause starts at the virtual time of those that are served, so it neither owes nor is owed.
#[derive(Debug, Default)]
pub struct OrganisationShares {
    times: BTreeMap<ids::OrganisationName, f64>,
    /// Virtual time of the service given last.
    floor: f64,
}

impl OrganisationShares {
    /// Returns the virtual time of an organisation.
    pub fn virtual_time(&self, organisation: &ids::OrganisationName) -> f64 {
        let time = self.times.get(organisation).copied();
        time.unwrap_or(self.floor)
    }

    /// Lets an organisation that had nothing waiting come in.
    pub fn enter(&mut self, organisation: &ids::OrganisationName) {
        let time = self.virtual_time(organisation).max(self.floor);
        if self.times.len() >= ORGANISATION_LIMIT {
            let floor = self.floor;
            self.times.retain(|_, time| *time > floor);
        }
        self.times.insert(organisation.clone(), time);
    }

    /// Charges an organisation for a service.
    pub fn charge(
        &mut self,
        organisation: &ids::OrganisationName,
        service: f64,
        weight: measures::Weight,
    ) {
        let weight = f64::from(weight.get().max(1));
        let start = self.virtual_time(organisation);
        self.floor = self.floor.max(start);
        self.times
            .insert(organisation.clone(), start + service / weight);
    }
}
