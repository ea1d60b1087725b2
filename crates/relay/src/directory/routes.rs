//! Routes, services and organisations of one published version.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::fmt;
use std::rc::Rc;
use std::time::Duration;

use kingcupfall_core::ids;
use kingcupfall_core::measures;
use serde::Deserialize;
use serde::Serialize;

/// Version of a published route table; a higher number is newer.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct RouteTableVersion(u64);

impl RouteTableVersion {
    /// Creates a version from its number.
    pub const fn new(number: u64) -> Self {
        Self(number)
    }

    /// Returns the version's number.
    pub const fn get(self) -> u64 {
        self.0
    }
}

impl fmt::Display for RouteTableVersion {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(formatter)
    }
}

/// Whether a route's requests may be run more than once, and how their responses arrive.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum CallKind {
    /// A request may be run any number of times.
    Idempotent,
    /// A request runs at most once.
    AtMostOnce,
    /// A request runs at most once, and its response is a stream of events.
    Stream,
}

impl CallKind {
    /// Returns the label of this kind in metrics and logs.
    pub const fn label(self) -> &'static str {
        match self {
            Self::Idempotent => "idempotent",
            Self::AtMostOnce => "at_most_once",
            Self::Stream => "stream",
        }
    }
}

/// Share of a route's requests that one service receives.
#[derive(Debug, Clone, PartialEq)]
pub struct ServiceShare {
    /// Name of the service.
    pub service: ids::ServiceName,
    /// Weight of the service, relative to the others of the route.
    pub weight: f64,
}

/// Which requests a route matches, and how they are served.
#[derive(Debug, Clone, PartialEq)]
pub struct RouteRule {
    /// Name of the route, by which logs and metrics classify its requests.
    pub name: Box<str>,
    /// Host name that a request must be addressed to, compared regardless of case.
    pub host: Box<str>,
    /// Prefix of the paths that the route matches.
    pub path_prefix: Box<str>,
    /// Whether requests may be run more than once.
    pub kind: CallKind,
    /// Maximum time for which a caller waits for its response.
    pub timeout: Duration,
    /// Time within which a response counts as on time.
    pub target_latency: Duration,
    /// Priority of the requests; zero is the most urgent.
    pub rank: u8,
    /// Services among which the requests are distributed.
    pub services: Vec<ServiceShare>,
    /// Maximum number of targets at which one request may run.
    pub max_attempts: u32,
    /// Whether a stream may be resumed at any target after the last event that its caller has.
    /// Always false for other kinds.
    pub can_resume: bool,
    /// Whether requests are accepted without a key.
    pub is_anonymous: bool,
    /// Longest pause between two events of a stream with which its response is still on time;
    /// `None` if the route states none.
    pub target_gap: Option<Duration>,
    /// Regions whose targets may run the requests; `None` if all may.
    pub homes: Option<Rc<[ids::RegionName]>>,
}

/// Capacity and features of the model engines of a service.
#[derive(Debug, Clone, PartialEq)]
pub struct EngineCapabilities {
    /// Capacity of one engine's key-value memory.
    pub memory: measures::TokenCount,
    /// Number of tokens in one event of a stream.
    pub event_tokens: u64,
    /// Whether the memory of a running request can be migrated to another engine.
    pub can_migrate: bool,
    /// Whether an engine can maintain a copy of a request's memory at another engine.
    pub can_copy: bool,
}

/// How long the targets of a service are cold after their start, and what they tolerate meanwhile.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ColdRule {
    /// Time for which a target is cold after its start.
    pub time: Duration,
    /// Requests that a cold target tolerates from all relays together.
    pub rate: measures::RequestRate,
}

/// A service that routes can refer to.
#[derive(Debug, Clone, PartialEq)]
pub struct ServiceRule {
    /// Name of the service.
    pub name: ids::ServiceName,
    /// Capabilities of its model engines; `None` for a service without model engines.
    pub engine: Option<EngineCapabilities>,
    /// Limit on the requests to its cold targets; `None` if they have none.
    pub cold: Option<ColdRule>,
}

/// An organisation whose keys callers may use.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct OrganisationRule {
    /// Name of the organisation.
    pub name: ids::OrganisationName,
    /// Priority of its requests, which overrides that of their route; `None` keeps the route's.
    pub rank: Option<u8>,
    /// Regions whose targets may run its requests; `None` if all may.
    pub homes: Option<Rc<[ids::RegionName]>>,
}

/// Size and time limits for callers' connections.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CallerLimits {
    /// Maximum size of a request's header.
    pub header: measures::ByteSize,
    /// Maximum size of a request's body.
    pub body: measures::ByteSize,
    /// Maximum time until the header has been received.
    pub header_timeout: Duration,
    /// Maximum time for which a connection stays open without a request.
    pub idle_timeout: Duration,
}

/// Routes, services, organisations and limits of one published version.
#[derive(Debug, Clone, PartialEq)]
pub struct RouteTable {
    version: RouteTableVersion,
    /// Routes by lower-case host name, those with the longest path prefix first.
    routes: BTreeMap<Box<str>, Vec<Rc<RouteRule>>>,
    services: BTreeMap<ids::ServiceName, ServiceRule>,
    /// Organisations by key; `None` if requests need no key.
    keys: Option<BTreeMap<Box<str>, Rc<OrganisationRule>>>,
    limits: CallerLimits,
}

impl RouteTable {
    /// Creates a table; `keys` is `None` if requests need no key at all.
    pub fn new(
        version: RouteTableVersion,
        routes: Vec<RouteRule>,
        services: Vec<ServiceRule>,
        keys: Option<BTreeMap<Box<str>, Rc<OrganisationRule>>>,
        limits: CallerLimits,
    ) -> Self {
        let mut routes_by_host: BTreeMap<Box<str>, Vec<Rc<RouteRule>>> = BTreeMap::new();
        for route in routes {
            let host = route.host.to_ascii_lowercase().into();
            routes_by_host.entry(host).or_default().push(Rc::new(route));
        }
        for routes in routes_by_host.values_mut() {
            routes.sort_by_key(|route| std::cmp::Reverse(route.path_prefix.len()));
        }
        let services = services
            .into_iter()
            .map(|service| (service.name.clone(), service))
            .collect();

        Self {
            version,
            routes: routes_by_host,
            services,
            keys,
            limits,
        }
    }

    /// Returns the version under which the table was published.
    pub const fn version(&self) -> RouteTableVersion {
        self.version
    }

    /// Returns the limits for callers' connections.
    pub const fn limits(&self) -> CallerLimits {
        self.limits
    }

    /// Returns the host's route with the longest path prefix that matches `path`. Ignores letter
    /// case and a port in `host`.
    pub fn route(&self, host: &str, path: &str) -> Option<&Rc<RouteRule>> {
        let host = host.to_ascii_lowercase();
        let host_name = host.split(':').next().unwrap_or_default();
        self.routes
            .get(host_name)?
            .iter()
            .find(|route| path.starts_with(&*route.path_prefix))
    }

    /// Returns the organisation that owns a key.
    pub fn organisation(&self, key: &str) -> Option<&Rc<OrganisationRule>> {
        self.keys.as_ref()?.get(key)
    }

    /// Returns the organisation with this name, if it has a key.
    pub fn organisation_named(
        &self,
        name: &ids::OrganisationName,
    ) -> Option<&Rc<OrganisationRule>> {
        let mut organisations = self.keys.iter().flat_map(BTreeMap::values);
        organisations.find(|organisation| organisation.name == *name)
    }

    /// Returns true if requests need a key, unless their route is anonymous.
    pub fn needs_keys(&self) -> bool {
        self.keys.is_some()
    }

    /// Returns the service with this name, if the table has it.
    pub fn service(&self, name: &ids::ServiceName) -> Option<&ServiceRule> {
        self.services.get(name)
    }

    /// Returns the services that are declared, and those that routes name.
    pub fn service_names(&self) -> BTreeSet<ids::ServiceName> {
        let routes = self.routes.values().flatten();
        let routed = routes.flat_map(|route| &route.services);
        let routed = routed.map(|share| &share.service);
        routed.chain(self.services.keys()).cloned().collect()
    }

    /// Returns the limits on the requests to cold targets, by service.
    pub fn cold_rules(&self) -> BTreeMap<ids::ServiceName, ColdRule> {
        let rules = self.services.values().filter_map(|service| {
            let rule = service.cold?;
            Some((service.name.clone(), rule))
        });
        rules.collect()
    }

    /// Returns the number of routes of all hosts.
    pub fn len(&self) -> usize {
        self.routes.values().map(Vec::len).sum()
    }

    /// Returns true if there are no routes.
    pub fn is_empty(&self) -> bool {
        self.routes.is_empty()
    }
}

impl RouteRule {
    /// Returns whether a request may run again after it may have run at a target.
    pub fn is_repeatable(&self) -> bool {
        match self.kind {
            CallKind::Idempotent => true,
            CallKind::AtMostOnce => false,
            CallKind::Stream => self.can_resume,
        }
    }

    /// Chooses a service by weight, given a `draw` that is uniform in [0, 1). Returns `None` if the
    /// route has no services.
    pub fn choose_service(&self, draw: f64) -> Option<&ids::ServiceName> {
        let total: f64 = self.services.iter().map(|share| share.weight).sum();
        let mut remaining = draw * total;
        for share in &self.services {
            if remaining < share.weight {
                return Some(&share.service);
            }
            remaining -= share.weight;
        }
        self.services.last().map(|share| &share.service)
    }
}
