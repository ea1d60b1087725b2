//! State that all tasks of the process share. They run on one thread.

use std::cell::Cell;
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use kingcupfall_core::ids;
use kingcupfall_core::time;
use kingcupfall_link::codec;
use rand::Rng;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use tokio::sync::broadcast;
use tokio::sync::mpsc;
use tokio::sync::watch;
use tokio::time::Instant;

use super::RelaySettings;
use crate::directory;
use crate::dispatch;
use crate::membership;
use crate::protocol;
use crate::telemetry;

/// Share of the process's memory that the bodies of requests may take.
const BODY_MEMORY_SHARE: u64 = 3;

/// Messages that may wait for a slow link; one that falls behind waits for the next pulse.
const NEWS_LIMIT: usize = 256;

/// How far the process has come with stopping.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum StopPhase {
    /// It serves.
    Serving,
    /// It finishes what it has, and takes what still comes.
    Leaving,
    /// Idle connections are closed.
    Closing,
}

/// Links that a message goes to.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum NewsScope {
    /// Those to peers of the same cell.
    Cell,
    /// All.
    All,
}

/// A message that goes out on many links.
#[derive(Debug, Clone)]
pub(super) struct PeerNews {
    pub(super) scope: NewsScope,
    pub(super) bytes: Bytes,
}

/// Ways to each linked peer: one for each of its links.
pub(super) type PeerMailboxes = BTreeMap<ids::VmName, Vec<mpsc::UnboundedSender<Bytes>>>;

/// Decodes the text of routes that a peer hands over.
pub type RouteDecoder = Box<dyn Fn(&[u8]) -> Option<directory::RouteTable>>;

/// What the state is made of.
pub struct RelaySetup {
    /// Settings of the process.
    pub settings: RelaySettings,
    /// Decisions.
    pub dispatcher: dispatch::Dispatcher,
    /// Words of the deployment.
    pub protocol: Box<dyn protocol::WireProtocol>,
    /// Decodes routes from peers.
    pub decode_routes: RouteDecoder,
    /// Decision records.
    pub log: telemetry::DecisionLog,
    /// Start of this process, in Unix milliseconds; part of the ids of attempts, which peers compare.
    pub started_ms: u64,
    /// Seed of all random choices.
    pub seed: u64,
}

/// Routes in force, with the text they came from.
#[derive(Debug, Clone)]
pub(super) struct RoutesInForce {
    pub(super) table: Rc<directory::RouteTable>,
    pub(super) text: Bytes,
}

/// Shared state.
pub struct RelayState {
    pub(super) settings: RefCell<RelaySettings>,
    pub(super) protocol: Box<dyn protocol::WireProtocol>,
    pub(super) decode_routes: RouteDecoder,
    pub(super) started_ms: u64,
    /// Counters and histograms.
    pub metrics: telemetry::RelayMetrics,
    pub(super) targets: RefCell<directory::TargetTable>,
    pub(super) phase: watch::Sender<StopPhase>,
    pub(super) connections: Cell<usize>,
    pub(super) open_calls: Cell<usize>,
    pub(super) peers: RefCell<PeerMailboxes>,
    pub(super) members: RefCell<membership::MemberTable>,
    pub(super) catch_up: RefCell<membership::CatchUpScheduler>,
    /// Messages that go out on many links at once.
    pub(super) news: broadcast::Sender<PeerNews>,
    routes: RefCell<Option<RoutesInForce>>,
    routes_taken_at: Cell<time::Timestamp>,
    directory_heard_at: Cell<time::Timestamp>,
    dispatcher: RefCell<dispatch::Dispatcher>,
    budgets: RefCell<BTreeMap<ids::ServiceName, dispatch::RetryBudget>>,
    inboxes: RefCell<HashMap<ids::CallId, mpsc::UnboundedSender<dispatch::DispatchEffect>>>,
    log: telemetry::DecisionLog,
    origin: Instant,
    next_call: Cell<u64>,
    body_bytes: Cell<u64>,
    random: RefCell<SmallRng>,
}

impl RelayState {
    /// Makes the state of a process that knows no route and no target.
    pub fn new(setup: RelaySetup) -> Rc<Self> {
        let (phase, _) = watch::channel(StopPhase::Serving);
        let members = RefCell::new(membership::MemberTable::new(setup.settings.peers));
        Rc::new(Self {
            settings: RefCell::new(setup.settings),
            protocol: setup.protocol,
            decode_routes: setup.decode_routes,
            started_ms: setup.started_ms,
            metrics: telemetry::RelayMetrics::new(),
            targets: RefCell::new(directory::TargetTable::default()),
            phase,
            connections: Cell::new(0),
            open_calls: Cell::new(0),
            peers: RefCell::new(BTreeMap::new()),
            members,
            catch_up: RefCell::default(),
            news: broadcast::channel(NEWS_LIMIT).0,
            routes: RefCell::new(None),
            routes_taken_at: Cell::default(),
            directory_heard_at: Cell::default(),
            dispatcher: RefCell::new(setup.dispatcher),
            budgets: RefCell::new(BTreeMap::new()),
            inboxes: RefCell::new(HashMap::new()),
            log: setup.log,
            origin: Instant::now(),
            next_call: Cell::new(0),
            body_bytes: Cell::new(0),
            random: RefCell::new(SmallRng::seed_from_u64(setup.seed)),
        })
    }

    /// Returns the time on the process's clock.
    pub fn now(&self) -> time::Timestamp {
        let micros = self.origin.elapsed().as_micros();
        time::Timestamp::from_micros(u64::try_from(micros).unwrap_or(u64::MAX))
    }

    /// Returns the runtime's instant for a timestamp.
    pub(super) fn instant(&self, at: time::Timestamp) -> Instant {
        self.origin + at.since(time::Timestamp::ZERO)
    }

    /// Returns the number of processes that tell each other what they know, this one included.
    pub fn processes(&self) -> usize {
        self.members.borrow().process_count()
    }

    /// Returns how new the knowledge of this process is.
    pub fn known(&self) -> membership::KnownVersions {
        membership::KnownVersions {
            routes: self.routes_version(),
            directory: self.targets.borrow().revision(),
        }
    }

    /// Writes a record.
    pub fn record(&self, record: &telemetry::DecisionRecord) {
        self.log.write(self.now(), record);
    }

    /// Puts changed settings in force. Addresses stay as they were at the start.
    pub fn reload(&self, settings: RelaySettings) {
        *self.settings.borrow_mut() = settings;
    }

    /// Tells that the process is to stop.
    pub fn is_stopping(&self) -> bool {
        *self.phase.borrow() > StopPhase::Serving
    }

    /// Returns the routes in force.
    pub(super) fn routes(&self) -> Option<RoutesInForce> {
        self.routes.borrow().clone()
    }

    /// Returns the version of the routes in force.
    pub fn routes_version(&self) -> directory::RouteTableVersion {
        let routes = self.routes.borrow();
        routes
            .as_ref()
            .map_or_else(directory::RouteTableVersion::default, |routes| {
                routes.table.version()
            })
    }

    /// Puts routes in force unless newer ones are; says whether it did.
    pub(super) fn take_routes(&self, table: Rc<directory::RouteTable>, text: Bytes) -> bool {
        let mut routes = self.routes.borrow_mut();
        let is_newer = routes
            .as_ref()
            .is_none_or(|known| known.table.version() < table.version());
        if is_newer {
            *routes = Some(RoutesInForce { table, text });
            self.routes_taken_at.set(self.now());
        }
        is_newer
    }

    /// Notes a call at the platform's directory that was answered, and its time.
    pub fn note_directory_call(&self, kind: &'static str, took: Duration) {
        self.directory_heard_at.set(self.now());
        self.metrics.record_directory_call_time(kind, took);
    }

    /// Says whether callers can be served.
    pub fn is_ready(&self) -> bool {
        !self.is_stopping() && self.routes.borrow().is_some()
    }

    /// Returns a number that no call of this process had, and the place its notices come to.
    pub(super) fn open_call(
        &self,
    ) -> (
        ids::CallId,
        mpsc::UnboundedReceiver<dispatch::DispatchEffect>,
    ) {
        let number = self.next_call.get() + 1;
        self.next_call.set(number);
        self.open_calls.set(self.open_calls.get() + 1);
        let call = ids::CallId::new(number);
        let (sender, receiver) = mpsc::unbounded_channel();
        self.inboxes.borrow_mut().insert(call, sender);
        (call, receiver)
    }

    /// Forgets a call and gives its places back.
    pub(super) fn close_call(&self, call: ids::CallId) {
        self.inboxes.borrow_mut().remove(&call);
        self.open_calls.set(self.open_calls.get() - 1);
        self.submit(dispatch::DispatchEvent::CallEnded { call });
    }

    /// Lets the dispatcher take an event; each call finds what concerns it in its inbox.
    pub(super) fn submit(&self, event: dispatch::DispatchEvent) {
        for effect in self.decide(event) {
            self.deliver(effect);
        }
    }

    /// Lets the dispatcher take an event of a call, and returns what concerns that call.
    pub(super) fn ask(
        &self,
        call: ids::CallId,
        event: dispatch::DispatchEvent,
    ) -> Vec<dispatch::DispatchEffect> {
        let (own, others): (Vec<_>, Vec<_>) = self
            .decide(event)
            .into_iter()
            .partition(|effect| effect.call() == Some(call));
        for effect in others {
            self.deliver(effect);
        }
        own
    }

    fn decide(&self, event: dispatch::DispatchEvent) -> Vec<dispatch::DispatchEffect> {
        let now = self.now();
        let effects = self.dispatcher.borrow_mut().handle(now, event);
        self.tell_changes(now);
        effects
    }

    /// Runs a question at the dispatcher.
    pub(super) fn dispatcher<T>(
        &self,
        question: impl FnOnce(&mut dispatch::Dispatcher, time::Timestamp) -> T,
    ) -> T {
        let now = self.now();
        question(&mut self.dispatcher.borrow_mut(), now)
    }

    /// Counts a caller's request in the budget of repeated attempts.
    pub(super) fn count_request(&self, service: &ids::ServiceName) {
        let now = self.now();
        self.budget(service, |budget, bounds| budget.record_request(now, bounds));
    }

    /// Takes one repeated attempt from the budget, if there is one.
    pub(super) fn take_repeat(
        &self,
        service: &ids::ServiceName,
        kind: dispatch::RepeatKind,
    ) -> bool {
        let now = self.now();
        let processes = self.processes();
        self.budget(service, |budget, bounds| {
            budget.try_acquire(now, bounds, processes, kind)
        })
    }

    /// Says whether a repeated attempt is left in the budget.
    pub(super) fn has_repeat(
        &self,
        service: &ids::ServiceName,
        kind: dispatch::RepeatKind,
    ) -> bool {
        let now = self.now();
        let processes = self.processes();
        self.budget(service, |budget, bounds| {
            budget.has_available(now, bounds, processes, kind)
        })
    }

    /// Returns the requests and repeated attempts of this process, as peers are told.
    pub(super) fn repeat_counts(&self) -> Vec<(ids::ServiceName, dispatch::BudgetUsage)> {
        let now = self.now();
        let bounds = self.settings.borrow().retries;
        let mut budgets = self.budgets.borrow_mut();
        let counts = budgets.iter_mut();
        counts
            .map(|(service, budget)| (service.clone(), budget.usage(now, &bounds)))
            .collect()
    }

    /// Takes those of a peer.
    pub(super) fn take_repeat_counts(
        &self,
        peer: &ids::VmName,
        counts: &[(ids::ServiceName, dispatch::BudgetUsage)],
    ) {
        for (service, count) in counts {
            self.budget(service, |budget, _| budget.set_peer_usage(peer, *count));
        }
    }

    /// Forgets what a peer told that is gone.
    pub(super) fn forget_peer(&self, peer: &ids::VmName) {
        for budget in self.budgets.borrow_mut().values_mut() {
            budget.remove_peer(peer);
        }
        self.submit(dispatch::DispatchEvent::PeerLost { peer: peer.clone() });
    }

    fn budget<T>(
        &self,
        service: &ids::ServiceName,
        question: impl FnOnce(&mut dispatch::RetryBudget, &dispatch::RetryBounds) -> T,
    ) -> T {
        let bounds = self.settings.borrow().retries;
        let mut budgets = self.budgets.borrow_mut();
        question(budgets.entry(service.clone()).or_default(), &bounds)
    }

    /// Returns a number drawn uniformly from [0, 1).
    pub(super) fn draw(&self) -> f64 {
        self.random.borrow_mut().random()
    }

    /// Reserves memory for a body, if there is any left.
    pub(super) fn reserve_body(self: &Rc<Self>, bytes: u64) -> Option<BodyReservation> {
        let limit = self.settings.borrow().memory.get() / BODY_MEMORY_SHARE;
        let taken = self.body_bytes.get() + bytes;
        if taken > limit {
            return None;
        }
        self.body_bytes.set(taken);
        Some(BodyReservation {
            state: Rc::clone(self),
            bytes,
        })
    }

    /// Returns the text of the metrics address.
    pub(super) fn metrics_text(&self) -> String {
        let (waiting, placed) = self.dispatcher.borrow().call_counts();
        let now = self.now();
        self.metrics.set_gauges(&telemetry::GaugeValues {
            lost_lines: self.log.lost_lines(),
            routes_version: self.routes_version().get(),
            routes_age: now.since(self.routes_taken_at.get()),
            directory_age: now.since(self.directory_heard_at.get()),
            targets: self.targets.borrow().records().count(),
            peers: self.peers.borrow().len(),
            waiting,
            placed,
        });
        self.metrics.encode().unwrap_or_else(|error| {
            log::error!("metrics can't be written: {error}");
            String::new()
        })
    }

    /// Tells peers at once of changed loads.
    fn tell_changes(&self, now: time::Timestamp) {
        let loads = self.dispatcher.borrow_mut().take_changed_loads(now);
        if !loads.is_empty() {
            let message = super::PeerMessage::Loads {
                vm: self.settings.borrow().vm.clone(),
                loads,
            };
            self.tell_peers(NewsScope::Cell, &message);
        }
    }

    /// Sends a message on links to peers.
    pub(super) fn tell_peers(&self, scope: NewsScope, message: &super::PeerMessage) {
        if self.news.receiver_count() == 0 {
            return;
        }
        match codec::encode(message) {
            // Without a link there is nobody to tell.
            Ok(bytes) => {
                let bytes = bytes.into();
                drop(self.news.send(PeerNews { scope, bytes }));
            }
            Err(error) => log::error!("a message to peers can't be written: {error}"),
        }
    }

    fn deliver(&self, effect: dispatch::DispatchEffect) {
        let effect = match effect {
            dispatch::DispatchEffect::Send { peer, message } => return self.tell(&peer, message),
            dispatch::DispatchEffect::HealthChanged {
                target,
                is_healthy,
                failures_per_thousand,
            } => return self.record_trust(&target, is_healthy, failures_per_thousand),
            effect => effect,
        };
        let inboxes = self.inboxes.borrow();
        if let Some(inbox) = effect.call().and_then(|call| inboxes.get(&call)) {
            // A call that has just ended gives its places back itself.
            let _ = inbox.send(effect);
        }
    }

    fn record_trust(&self, target: &ids::TargetName, is_healthy: bool, failures_per_thousand: u64) {
        let kind = match is_healthy {
            true => telemetry::RecordKind::TargetHealthy,
            false => telemetry::RecordKind::TargetUnhealthy,
        };
        let record = telemetry::DecisionRecord::new(kind)
            .target(target)
            .count(failures_per_thousand);
        self.record(&record);
    }

    /// Says whether a call waits for a target with room.
    pub(super) fn is_waiting(&self, call: ids::CallId) -> bool {
        self.dispatcher.borrow().is_waiting(call)
    }

    /// Sends a message to one peer. A claim that is lost with a link is as one without an answer.
    fn tell(&self, peer: &ids::VmName, message: dispatch::ReservationMessage) {
        let vm = self.settings.borrow().vm.clone();
        let message = super::PeerMessage::Claim { vm, message };
        match codec::encode(&message) {
            Ok(bytes) => {
                let bytes = Bytes::from(bytes);
                let peers = self.peers.borrow();
                let mut links = peers.get(peer).into_iter().flatten();
                links.find(|link| link.send(bytes.clone()).is_ok());
            }
            Err(error) => log::error!("a message to {peer} can't be written: {error}"),
        }
    }
}

/// Memory that a body takes until it is dropped.
pub(super) struct BodyReservation {
    state: Rc<RelayState>,
    bytes: u64,
}

impl Drop for BodyReservation {
    fn drop(&mut self) {
        let taken = self.state.body_bytes.get();
        self.state.body_bytes.set(taken.saturating_sub(self.bytes));
    }
}
