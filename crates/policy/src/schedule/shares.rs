//! Weighted fair shares of organisations.

use std::collections::BTreeMap;

use kingcupfall_core::ids;
use kingcupfall_core::measures;

/// Number of organisations at which those at or behind the system's virtual time are dropped, as
/// they would start again at that time anyway.
const MAX_ORGANISATIONS: usize = 1_024;

/// Weighted fair queueing by virtual time: the cost charged to an organisation over its weight.
///
/// The waiting organisation with the least virtual time is served next. An organisation that was
/// idle starts again at no less than the system's virtual time, so that it gains no credit while
/// idle.
#[derive(Debug, Default)]
pub struct OrganisationShares {
    virtual_times: BTreeMap<ids::OrganisationName, f64>,
    /// Greatest virtual time at which an organisation has been served.
    system_virtual_time: f64,
}

impl OrganisationShares {
    /// Returns the virtual time of an organisation; the system's for an unknown one.
    pub fn virtual_time(&self, organisation: &ids::OrganisationName) -> f64 {
        let virtual_time = self.virtual_times.get(organisation).copied();
        virtual_time.unwrap_or(self.system_virtual_time)
    }

    /// Adds or updates an organisation whose queue was empty.
    pub fn activate(&mut self, organisation: &ids::OrganisationName) {
        let virtual_time = self
            .virtual_time(organisation)
            .max(self.system_virtual_time);
        if self.virtual_times.len() >= MAX_ORGANISATIONS {
            let system_virtual_time = self.system_virtual_time;
            self.virtual_times
                .retain(|_, time| *time > system_virtual_time);
        }
        self.virtual_times
            .insert(organisation.clone(), virtual_time);
    }

    /// Charges an organisation for admitted work of `cost` token seconds.
    pub fn charge(
        &mut self,
        organisation: &ids::OrganisationName,
        cost: f64,
        weight: measures::Weight,
    ) {
        let weight = f64::from(weight.get().max(1));
        let start = self.virtual_time(organisation);
        self.system_virtual_time = self.system_virtual_time.max(start);
        self.virtual_times
            .insert(organisation.clone(), start + cost / weight);
    }
}
