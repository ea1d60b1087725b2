//! The routes that are active, and what arrives of newer ones.

use std::rc::Rc;

use bytes::Bytes;
use kingcupfall_core::ids;
use kingcupfall_core::measures;

use super::state::RelayState;
use crate::directory;

/// The active routes, with the text that they were decoded from.
#[derive(Debug, Clone)]
pub(super) struct ActiveRoutes {
    pub(super) table: Rc<directory::RouteTable>,
    pub(super) text: Bytes,
}

impl RelayState {
    /// Returns the active routes, or `None` before the first ones are known.
    pub(super) fn routes(&self) -> Option<ActiveRoutes> {
        self.routes.borrow().clone()
    }

    /// Returns whether any routes are known.
    pub fn has_routes(&self) -> bool {
        self.routes.borrow().is_some()
    }

    /// Returns the version of the active routes; the default version before the first ones are
    /// known.
    pub fn routes_version(&self) -> directory::RouteTableVersion {
        let routes = self.routes.borrow();
        routes
            .as_ref()
            .map_or_else(directory::RouteTableVersion::default, |routes| {
                routes.table.version()
            })
    }

    /// Returns the size of the active routes as they were published; zero before the first ones.
    pub(super) fn routes_size(&self) -> measures::ByteSize {
        let routes = self.routes.borrow();
        let size = routes.as_ref().map_or(0, |routes| routes.text.len());
        measures::ByteSize::new(size as u64)
    }

    /// Returns the availability zones whose targets may run an organisation's calls of a route;
    /// `None` if all may. Zones without a known region are not among them. Where the settings state
    /// no regions at all, there is nothing to compare with, and all zones are allowed.
    pub(super) fn allowed_zones(
        &self,
        route: &directory::RouteRule,
        organisation: Option<&directory::OrganisationRule>,
    ) -> Option<Rc<[ids::ZoneName]>> {
        let organisation_homes = organisation.and_then(|rule| rule.homes.as_ref());
        let homes: Vec<_> = [route.homes.as_ref(), organisation_homes]
            .into_iter()
            .flatten()
            .collect();
        if homes.is_empty() {
            return None;
        }
        let settings = self.settings.borrow();
        if settings.zones.is_empty() {
            log::debug!(
                "the settings have no regions, ignoring those of route {}",
                route.name
            );
            return None;
        }
        let allowed = settings
            .zones
            .iter()
            .filter(|(_, region)| homes.iter().all(|homes| homes.contains(region)));
        Some(allowed.map(|(zone, _)| zone.clone()).collect())
    }

    /// Records that a part of the routes arrived from the platform's directory.
    pub fn record_routes_read(&self) {
        self.catch_up.borrow_mut().record_routes_read(self.now());
    }

    /// Makes routes active unless the active ones are at least as new. Returns whether it did.
    pub(super) fn activate_routes(&self, table: Rc<directory::RouteTable>, text: Bytes) -> bool {
        let mut routes = self.routes.borrow_mut();
        let is_newer = routes
            .as_ref()
            .is_none_or(|known| known.table.version() < table.version());
        if is_newer {
            let services = table.service_names();
            self.targets.borrow_mut().set_routed_services(services);
            *routes = Some(ActiveRoutes { table, text });
            self.routes_activated_at.set(self.now());
        }
        is_newer
    }
}
