//! Routes, services and organisations of one published version.

use std::collections::BTreeMap;
use std::fmt;
use std::rc::Rc;
use std::time::Duration;

use kingcupfall_core::ids;
use kingcupfall_core::measures;
use serde::Deserialize;
use serde::Serialize;

/// Version of the published routes; a higher number is newer.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct TableVersion(u64);

impl TableVersion {
    /// Makes a version from its number.
    pub const fn new(number: u64) -> Self {
        Self(number)
    }

    /// Returns the number.
    pub const fn get(self) -> u64 {
        self.0
    }
}

impl fmt::Display for TableVersion {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(formatter)
    }
}

/// What may be done with a request more than once.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum CallKind {
    /// It may run any number of times.
    Idempotent,
    /// It runs once at most.
    AtMostOnce,
    /// It runs once at most, and its answer is a stream of events.
    Stream,
}

impl CallKind {
    /// Returns the kind as metrics and logs name it.
    pub const fn label(self) -> &'static str {
        match self {
            Self::Idempotent => "idempotent",
            Self::AtMostOnce => "at_most_once",
            Self::Stream => "stream",
        }
    }
}

/// Share of a route's requests that go to one service.
#[derive(Debug, Clone, PartialEq)]
pub struct ServiceShare {
    /// The service.
    pub service: ids::ServiceName,
    /// Its weight among those of the route.
    pub weight: f64,
}

/// One route.
#[derive(Debug, Clone, PartialEq)]
pub struct RouteRule {
    /// Name of the route, the class of its requests in logs and metrics.
    pub name: Box<str>,
    /// Host that the route belongs to.
    pub host: Box<str>,
    /// Start of the paths that it takes.
    pub path_prefix: Box<str>,
    /// What may be repeated.
    pub kind: CallKind,
    /// Longest time for which a caller is kept waiting.
    pub timeout: Duration,
    /// Time within which an answer is on time.
    pub target_latency: Duration,
    /// Rank; zero is the most urgent.
    pub rank: u8,
    /// Services that the requests go to.
    pub services: Vec<ServiceShare>,
    /// Most targets at which one request may run.
    pub max_attempts: u32,
    /// Whether requests need no key.
    pub is_anonymous: bool,
}

/// What model engines of a service can do.
#[derive(Debug, Clone, PartialEq)]
pub struct EngineRule {
    /// Key-value memory of one engine.
    pub memory: measures::TokenCount,
    /// Tokens in one event of a stream.
    pub event_tokens: u64,
    /// Whether the memory of a running request can be moved to another engine.
    pub can_move: bool,
    /// Whether an engine can keep a copy of a request's memory up to date at another engine.
    pub can_copy: bool,
}

/// One service.
#[derive(Debug, Clone, PartialEq)]
pub struct ServiceRule {
    /// Its name.
    pub name: ids::ServiceName,
    /// Set for services of model engines.
    pub engine: Option<EngineRule>,
}

/// One organisation.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct OrganisationRule {
    /// Its name.
    pub name: ids::OrganisationName,
    /// Rank of its requests, which goes before that of their route.
    pub rank: Option<u8>,
}

/// What callers may send, and how long they may take.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CallerLimits {
    /// Largest header.
    pub header: measures::ByteSize,
    /// Largest body.
    pub body: measures::ByteSize,
    /// Longest time for the header.
    pub header_timeout: Duration,
    /// Longest time for which a connection stays open without a request.
    pub idle_timeout: Duration,
}

/// All routes of one version.
#[derive(Debug, Clone, PartialEq)]
pub struct RouteTable {
    version: TableVersion,
    routes: BTreeMap<Box<str>, Vec<Rc<RouteRule>>>,
    services: BTreeMap<ids::ServiceName, ServiceRule>,
    keys: Option<BTreeMap<Box<str>, Rc<OrganisationRule>>>,
    limits: CallerLimits,
}

impl RouteTable {
    /// Makes a table; `keys` is `None` when requests need no key at all.
    pub fn new(
        version: TableVersion,
        routes: Vec<RouteRule>,
        services: Vec<ServiceRule>,
        keys: Option<BTreeMap<Box<str>, Rc<OrganisationRule>>>,
        limits: CallerLimits,
    ) -> Self {
        let mut hosts: BTreeMap<Box<str>, Vec<Rc<RouteRule>>> = BTreeMap::new();
        for route in routes {
            let host = route.host.to_ascii_lowercase().into();
            hosts.entry(host).or_default().push(Rc::new(route));
        }
        for routes in hosts.values_mut() {
            routes.sort_by_key(|route| std::cmp::Reverse(route.path_prefix.len()));
        }
        let services = services
            .into_iter()
            .map(|service| (service.name.clone(), service))
            .collect();

        Self {
            version,
            routes: hosts,
            services,
            keys,
            limits,
        }
    }

    /// Returns the version.
    pub const fn version(&self) -> TableVersion {
        self.version
    }

    /// Returns what callers may send.
    pub const fn limits(&self) -> CallerLimits {
        self.limits
    }

    /// Returns the route with the longest prefix that begins `path`.
    pub fn route(&self, host: &str, path: &str) -> Option<&Rc<RouteRule>> {
        let host = host.to_ascii_lowercase();
        let name = host.split(':').next().unwrap_or_default();
        self.routes
            .get(name)?
            .iter()
            .find(|route| path.starts_with(&*route.path_prefix))
    }

    /// Returns the organisation that holds a key.
    pub fn organisation(&self, key: &str) -> Option<&Rc<OrganisationRule>> {
        self.keys.as_ref()?.get(key)
    }

    /// Says whether requests need keys.
    pub fn needs_keys(&self) -> bool {
        self.keys.is_some()
    }

    /// Returns a service.
    pub fn service(&self, name: &ids::ServiceName) -> Option<&ServiceRule> {
        self.services.get(name)
    }

    /// Returns the number of routes.
    pub fn len(&self) -> usize {
        self.routes.values().map(Vec::len).sum()
    }

    /// Says whether there are no routes.
    pub fn is_empty(&self) -> bool {
        self.routes.is_empty()
    }
}

impl RouteRule {
    /// Chooses a service by weight; `draw` is uniform in [0, 1).
    pub fn choose_service(&self, draw: f64) -> Option<&ids::ServiceName> {
        let total: f64 = self.services.iter().map(|share| share.weight).sum();
        let mut rest = draw * total;
        for share in &self.services {
            if rest < share.weight {
                return Some(&share.service);
            }
            rest -= share.weight;
        }
        self.services.last().map(|share| &share.service)
    }
}
