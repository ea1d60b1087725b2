//! State that all tasks of the process share. The tasks run on one thread.

use std::cell::Cell;
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::collections::HashMap;
use std::rc::Rc;
use std::rc::Weak;
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
use tokio::task::JoinHandle;
use tokio::time::Instant;

use super::RelaySettings;
use super::clients;
use super::directory_feed;
use super::limits;
use super::memory;
use super::prompt_parts;
use super::routes;
use super::stop;
use super::suspects;
use crate::directory;
use crate::dispatch;
use crate::membership;
use crate::protocol;
use crate::telemetry;

/// Updates that may be queued for a slow link. A link that misses some catches up with the next
/// heartbeat.
const MAX_QUEUED_UPDATES: usize = 256;

/// File descriptors that are reserved for peers, the platform, files, and what serves a call beside
/// its two connections.
const RESERVED_DESCRIPTORS: u32 = 1_000;

/// How far the process has come with stopping.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum StopPhase {
    /// The process serves callers.
    Serving,
    /// The process finishes open calls, and still accepts new calls other than streams.
    Leaving,
    /// Idle connections are closed.
    Closing,
    /// Callers can't open connections any more.
    Refusing,
}

/// Links that an update is sent on.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum UpdateScope {
    /// Links to peers of the same cell.
    Cell,
    /// All links.
    All,
}

/// An encoded message that is sent on many links.
#[derive(Debug, Clone)]
pub(super) struct PeerUpdate {
    pub(super) scope: UpdateScope,
    pub(super) bytes: Bytes,
}

/// Senders of messages to each linked peer, one for each link.
pub(super) type PeerMailboxes = BTreeMap<ids::VmName, Vec<mpsc::UnboundedSender<Bytes>>>;

/// Decodes routes that were received from a peer; returns `None` if they are invalid.
pub type RouteDecoder = Box<dyn Fn(&[u8]) -> Option<directory::RouteTable>>;

/// Parts that the shared state is made of.
pub struct RelaySetup {
    /// Settings of the process.
    pub settings: RelaySettings,
    /// Decides on the placement of calls.
    pub dispatcher: dispatch::Dispatcher,
    /// Headers, paths and bodies of the deployment's protocol.
    pub protocol: Box<dyn protocol::WireProtocol>,
    /// Decodes routes that were received from peers.
    pub decode_routes: RouteDecoder,
    /// Receives the decision records.
    pub log: telemetry::DecisionLog,
    /// Seed of all random choices.
    pub seed: u64,
}

/// State that the tasks of the process share.
pub struct RelayState {
    pub(super) settings: RefCell<RelaySettings>,
    pub(super) protocol: Box<dyn protocol::WireProtocol>,
    pub(super) decode_routes: RouteDecoder,
    /// Counters and histograms.
    pub metrics: telemetry::RelayMetrics,
    pub(super) targets: RefCell<directory::TargetTable>,
    pub(super) evacuations: RefCell<directory::EvacuationTable>,
    pub(super) stop_phase: watch::Sender<StopPhase>,
    /// Set once the process has been requested to stop.
    pub(super) stop_plan: Cell<Option<stop::StopPlan>>,
    /// Callers' connections from their acceptance on.
    pub(super) clients: Rc<clients::ClientTable>,
    /// The task that accepts callers' connections; it ends once it has closed its listener.
    pub(super) caller_server: Cell<Option<JoinHandle<()>>>,
    pub(super) open_calls: Cell<usize>,
    pub(super) peer_mailboxes: RefCell<PeerMailboxes>,
    pub(super) members: RefCell<membership::MemberTable>,
    pub(super) catch_up: RefCell<membership::CatchUpScheduler>,
    /// Updates that are sent on many links.
    pub(super) updates: broadcast::Sender<PeerUpdate>,
    pub(super) routes: RefCell<Option<routes::ActiveRoutes>>,
    pub(super) routes_activated_at: Cell<time::Timestamp>,
    pub(super) directory_responded_at: Cell<time::Timestamp>,
    pub(super) directory_feed: directory_feed::DirectoryFeed,
    /// Number of times that the platform's directory was seen to be back.
    directory_returns: watch::Sender<u64>,
    pub(super) limits_shared_at: Cell<time::Timestamp>,
    dispatcher: RefCell<dispatch::Dispatcher>,
    pub(super) retry_budgets: RefCell<BTreeMap<ids::ServiceName, dispatch::RetryBudget>>,
    inboxes: RefCell<HashMap<ids::CallId, mpsc::UnboundedSender<dispatch::DispatchEffect>>>,
    log: telemetry::DecisionLog,
    clock_origin: Instant,
    last_call_number: Cell<u64>,
    pub(super) memory: memory::MemoryAccounts,
    /// Reference to this state itself, for tasks that effects start.
    own: Weak<Self>,
    rng: RefCell<SmallRng>,
}

impl RelayState {
    /// Creates the state of a relay that knows no routes and no targets yet.
    pub fn new(setup: RelaySetup) -> Rc<Self> {
        let (stop_phase, _) = watch::channel(StopPhase::Serving);
        let mut members = membership::MemberTable::new(setup.settings.peer_address);
        members.add_seeds(&setup.settings.seeds);
        let mut targets = directory::TargetTable::default();
        targets.set_departure_time(setup.settings.departure_time);
        targets.set_max_records(memory::max_target_records(setup.settings.memory_limit));
        let memory = memory::MemoryAccounts::new(setup.settings.memory_limit);
        Rc::new_cyclic(|own| Self {
            settings: RefCell::new(setup.settings),
            protocol: setup.protocol,
            decode_routes: setup.decode_routes,
            metrics: telemetry::RelayMetrics::new(),
            targets: RefCell::new(targets),
            evacuations: RefCell::default(),
            stop_phase,
            stop_plan: Cell::new(None),
            clients: Rc::default(),
            caller_server: Cell::new(None),
            open_calls: Cell::new(0),
            peer_mailboxes: RefCell::new(BTreeMap::new()),
            members: RefCell::new(members),
            catch_up: RefCell::default(),
            updates: broadcast::channel(MAX_QUEUED_UPDATES).0,
            routes: RefCell::new(None),
            routes_activated_at: Cell::default(),
            directory_responded_at: Cell::default(),
            directory_feed: directory_feed::DirectoryFeed::default(),
            directory_returns: watch::channel(0).0,
            limits_shared_at: Cell::default(),
            dispatcher: RefCell::new(setup.dispatcher),
            retry_budgets: RefCell::new(BTreeMap::new()),
            inboxes: RefCell::new(HashMap::new()),
            log: setup.log,
            clock_origin: Instant::now(),
            last_call_number: Cell::new(0),
            memory,
            own: Weak::clone(own),
            rng: RefCell::new(SmallRng::seed_from_u64(setup.seed)),
        })
    }

    /// Returns the time on the process's clock, which starts when this state is created.
    pub fn now(&self) -> time::Timestamp {
        let micros = self.clock_origin.elapsed().as_micros();
        time::Timestamp::from_micros(u64::try_from(micros).unwrap_or(u64::MAX))
    }

    /// Converts a timestamp of this process into an instant of the runtime.
    pub(super) fn instant(&self, at: time::Timestamp) -> Instant {
        self.clock_origin + at.since(time::Timestamp::ZERO)
    }

    /// Returns the number of known relays, this one included.
    pub fn relay_count(&self) -> usize {
        self.members.borrow().relay_count()
    }

    /// Returns the versions of the routes and targets that this relay knows.
    pub fn known_versions(&self) -> membership::KnownVersions {
        membership::KnownVersions {
            routes: self.routes_version(),
            directory: self.targets.borrow().revision(),
        }
    }

    /// Writes a decision record to the log.
    pub fn record(&self, record: &telemetry::DecisionRecord) {
        self.log.write(self.now(), record);
    }

    /// Returns whether all decision records have been written to standard output.
    pub(super) fn is_log_written(&self) -> bool {
        self.log.is_written()
    }

    /// Replaces the settings. Addresses stay bound as they were at the start.
    pub fn replace_settings(&self, settings: RelaySettings) {
        {
            let mut targets = self.targets.borrow_mut();
            targets.set_departure_time(settings.departure_time);
            targets.set_max_records(memory::max_target_records(settings.memory_limit));
        }
        self.memory.set_limits(settings.memory_limit);
        *self.settings.borrow_mut() = settings;
    }

    /// Returns how many descriptors are left for further connections of callers and for calls, each
    /// of which needs one to a target. Negative if more are in use.
    pub(super) fn free_descriptors(&self) -> i64 {
        let limit = self.settings.borrow().descriptor_limit;
        let limit = limit.saturating_sub(RESERVED_DESCRIPTORS).max(2);
        let used = self.clients.lasting() + self.open_calls.get();
        i64::from(limit) - used as i64
    }

    /// Lets callers yield if they make the process hold more than its limit.
    pub(super) fn enforce_client_memory(&self) {
        let account = memory::AccountKind::Clients;
        self.clients.enforce(account, self.memory.clients.excess());
    }

    /// Does the same for a stream that stalls, before requests find no memory.
    pub(super) fn enforce_stalled_memory(&self) {
        let account = memory::AccountKind::Clients;
        let excess = self.memory.clients.excess_of_stalls();
        self.clients.enforce(account, excess);
    }

    /// Returns whether the process has been requested to stop.
    pub fn is_stopping(&self) -> bool {
        *self.stop_phase.borrow() > StopPhase::Serving
    }

    /// Records that the platform's directory responded to a call, and how long that took.
    pub fn record_directory_response(&self, kind: &'static str, took: Duration) {
        self.directory_responded_at.set(self.now());
        self.metrics.record_directory_call_time(kind, took);
    }

    /// Records that the platform's directory was away, or has returned from an older copy, and is
    /// back.
    pub fn record_directory_return(&self) {
        self.directory_returns.send_modify(|count| *count += 1);
    }

    /// Returns a receiver that changes with each later return of the platform's directory.
    pub fn directory_returns(&self) -> watch::Receiver<u64> {
        self.directory_returns.subscribe()
    }

    /// Returns whether the process can serve callers: it has routes and is not stopping.
    pub fn is_ready(&self) -> bool {
        !self.is_stopping() && self.routes.borrow().is_some()
    }

    /// Opens a call. Returns its new number and the receiver of effects that concern it.
    pub(super) fn open_call(
        &self,
    ) -> (
        ids::CallId,
        mpsc::UnboundedReceiver<dispatch::DispatchEffect>,
    ) {
        let number = self.last_call_number.get() + 1;
        self.last_call_number.set(number);
        self.open_calls.set(self.open_calls.get() + 1);
        let call = ids::CallId::new(number);
        let (sender, receiver) = mpsc::unbounded_channel();
        self.inboxes.borrow_mut().insert(call, sender);
        (call, receiver)
    }

    /// Closes a call and releases what it holds at targets.
    pub(super) fn close_call(&self, call: ids::CallId) {
        self.inboxes.borrow_mut().remove(&call);
        self.open_calls.set(self.open_calls.get() - 1);
        self.submit(dispatch::DispatchEvent::CallEnded { call });
    }

    /// Passes an event to the dispatcher, and delivers the resulting effects to the calls that they
    /// concern.
    pub(super) fn submit(&self, event: dispatch::DispatchEvent) {
        for effect in self.handle_event(event) {
            self.deliver(effect);
        }
    }

    /// Passes an event of a call to the dispatcher, and returns the effects that concern this call.
    pub(super) fn submit_for_call(
        &self,
        call: ids::CallId,
        event: dispatch::DispatchEvent,
    ) -> Vec<dispatch::DispatchEffect> {
        let (own, others): (Vec<_>, Vec<_>) = self
            .handle_event(event)
            .into_iter()
            .partition(|effect| effect.call() == Some(call));
        for effect in others {
            self.deliver(effect);
        }
        own
    }

    fn handle_event(&self, event: dispatch::DispatchEvent) -> Vec<dispatch::DispatchEffect> {
        let now = self.now();
        let effects = self.dispatcher.borrow_mut().handle(now, event);
        self.broadcast_load_changes(now);
        effects
    }

    /// Runs an operation on the dispatcher.
    pub(super) fn with_dispatcher<T>(
        &self,
        operation: impl FnOnce(&mut dispatch::Dispatcher, time::Timestamp) -> T,
    ) -> T {
        let now = self.now();
        operation(&mut self.dispatcher.borrow_mut(), now)
    }

    /// Removes what is known of a lost peer.
    pub(super) fn remove_peer(&self, peer: &ids::VmName) {
        for budget in self.retry_budgets.borrow_mut().values_mut() {
            budget.remove_peer(peer);
        }
        self.submit(dispatch::DispatchEvent::PeerLost { peer: peer.clone() });
    }

    /// Returns a number drawn uniformly from [0, 1).
    pub(super) fn random_fraction(&self) -> f64 {
        self.rng.borrow_mut().random()
    }

    /// Returns the current metrics in text format.
    pub(super) fn metrics_text(&self) -> String {
        let (waiting_calls, placed_calls) = self.dispatcher.borrow().call_counts();
        let now = self.now();
        self.metrics.set_gauges(&telemetry::GaugeValues {
            lost_lines: self.log.lost_lines(),
            routes_version: self.routes_version().get(),
            routes_age: now.since(self.routes_activated_at.get()),
            directory_age: now.since(self.directory_responded_at.get()),
            known_speeds: self.dispatcher.borrow().known_speed_count(),
            limited_targets: self.dispatcher.borrow().limited_target_count(),
            evacuated_zones: self.dispatcher.borrow().evacuated_zone_count(),
            evacuated_streams: self.dispatcher.borrow().evacuated_stream_count(),
            cold_targets: self.dispatcher.borrow().cold_target_count(),
            targets: self.targets.borrow().records().count(),
            peers: self.peer_mailboxes.borrow().len(),
            waiting_calls,
            placed_calls,
            client_bytes: self.memory.clients.reserved(),
            response_bytes: self.memory.responses.reserved(),
        });
        self.metrics.encode().unwrap_or_else(|error| {
            log::error!("can't encode metrics, serving none: {error}");
            String::new()
        })
    }

    /// Sends changed loads to the peers of the cell immediately.
    fn broadcast_load_changes(&self, now: time::Timestamp) {
        let loads = self.dispatcher.borrow_mut().take_changed_loads(now);
        if !loads.is_empty() {
            let message = super::PeerMessage::Loads {
                vm: self.settings.borrow().vm.clone(),
                loads,
            };
            self.broadcast(UpdateScope::Cell, &message);
        }
    }

    /// Sends a message on all links in `scope`.
    pub(super) fn broadcast(&self, scope: UpdateScope, message: &super::PeerMessage) {
        if self.updates.receiver_count() == 0 {
            return;
        }
        match codec::encode(message) {
            // An error means that there is no link to send on.
            Ok(bytes) => {
                let bytes = bytes.into();
                drop(self.updates.send(PeerUpdate { scope, bytes }));
            }
            Err(error) => log::error!("can't encode a message to peers, dropping it: {error}"),
        }
    }

    fn deliver(&self, effect: dispatch::DispatchEffect) {
        let effect = match effect {
            dispatch::DispatchEffect::Send { peer, message } => {
                return self.send_to_peer(&peer, message);
            }
            dispatch::DispatchEffect::HealthChanged {
                target,
                is_healthy,
                failures_per_thousand,
            } => return self.record_target_health(&target, is_healthy, failures_per_thousand),
            dispatch::DispatchEffect::LimitChanged {
                target,
                limit,
                source,
            } => return limits::record_change(self, &target, limit, source),
            dispatch::DispatchEffect::ColdChanged(changes) => {
                return limits::record_cold_changes(self, &changes);
            }
            dispatch::DispatchEffect::Probe { target, delay } => {
                if let Some(state) = self.own.upgrade() {
                    suspects::probe_later(state, target, delay);
                }
                return;
            }
            dispatch::DispatchEffect::SuspectsChanged { records, source } => {
                return suspects::handle_change(self, records, &source);
            }
            dispatch::DispatchEffect::PromptsLost { target, prompts } => {
                return prompt_parts::record_lost_prompts(self, &target, &prompts);
            }
            // Peers learn of these with the next heartbeat.
            dispatch::DispatchEffect::PromptCrashesChanged(_) => return,
            dispatch::DispatchEffect::PartsChanged { changes, source } => {
                return prompt_parts::record_changes(self, &changes, &source);
            }
            effect => effect,
        };
        let inboxes = self.inboxes.borrow();
        if let Some(inbox) = effect.call().and_then(|call| inboxes.get(&call)) {
            // A call that has just ended releases what it holds by itself.
            let _ = inbox.send(effect);
        }
    }

    fn record_target_health(
        &self,
        target: &ids::TargetName,
        is_healthy: bool,
        failures_per_thousand: u64,
    ) {
        let kind = match is_healthy {
            true => telemetry::RecordKind::TargetHealthy,
            false => telemetry::RecordKind::TargetUnhealthy,
        };
        let record = telemetry::DecisionRecord::new(kind)
            .target(target)
            .count(failures_per_thousand);
        self.record(&record);
    }

    /// Returns whether a call waits for a target with free capacity.
    pub(super) fn is_waiting(&self, call: ids::CallId) -> bool {
        self.dispatcher.borrow().is_waiting(call)
    }

    /// Sends a reservation message to one peer. A message that is lost with its link has the same
    /// effect as a missing reply.
    fn send_to_peer(&self, peer: &ids::VmName, message: dispatch::ReservationMessage) {
        let vm = self.settings.borrow().vm.clone();
        let message = super::PeerMessage::Reservation { vm, message };
        match codec::encode(&message) {
            Ok(bytes) => {
                let bytes = Bytes::from(bytes);
                let peer_mailboxes = self.peer_mailboxes.borrow();
                let mut mailboxes = peer_mailboxes.get(peer).into_iter().flatten();
                mailboxes.find(|mailbox| mailbox.send(bytes.clone()).is_ok());
            }
            Err(error) => {
                log::error!("can't encode a message to peer {peer}, dropping it: {error}")
            }
        }
    }
}
