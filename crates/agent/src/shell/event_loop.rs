//! Event loop that owns the reducer.

use std::net;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::time::Duration;

use kingcupfall_core::ids;
use kingcupfall_document::sections;
use kingcupfall_fleet::reducer::LinkKind;
use kingcupfall_fleet::shell::FleetHandle;
use kingcupfall_link::frames;
use kingcupfall_link::transport;
use kingcupfall_policy::schedule;
use tokio::net::TcpListener;
use tokio::sync::mpsc;
use tokio::time;

use super::AgentConfig;
use super::HttpDriver;
use super::Result;
use super::ShellClock;
use super::ShellError;
use super::TargetAddress;
use super::TargetDriver;
use super::administration;
use super::fleet;
use super::http;
use super::links;
use super::metrics;
use super::probe;
use crate::reducer;

/// Capacity of the event channel; senders wait while it is full.
const EVENT_QUEUE_CAPACITY: usize = 1_024;

/// Maximum number of events handled before the links are flushed.
const MAX_BATCH_EVENTS: usize = 256;

/// Input of the event loop.
pub(super) enum ShellEvent {
    /// Event for the reducer.
    Reducer(reducer::AgentEvent),
    /// A gateway opened a link.
    LinkAccepted {
        /// New link.
        link: ids::LinkId,
        /// Sending half of the link.
        sender: transport::LinkSender<frames::AgentFrame>,
    },
    /// Frames arrived.
    Frames {
        /// Link on which they arrived.
        link: ids::LinkId,
        /// Frames in the order of arrival.
        frames: Vec<frames::GatewayFrame>,
    },
    /// The document sets the timeout and concurrency of the plain service.
    ServiceSettings(sections::ServiceEntry),
    /// The fleet shell sends a frame.
    FleetFrame {
        /// Link to send on.
        link: ids::LinkId,
        /// Encoded frame.
        bytes: Vec<u8>,
    },
    /// A link was closed or lost.
    LinkClosed {
        /// Link that ended.
        link: ids::LinkId,
    },
}

/// Sends an event to the reducer; the event is dropped if the agent has ended.
pub(super) async fn send_event(events: &mpsc::Sender<ShellEvent>, event: reducer::AgentEvent) {
    let _ = events.send(ShellEvent::Reducer(event)).await;
}

/// Handle for controlling a running agent.
#[derive(Clone)]
pub struct AgentHandle {
    events: mpsc::Sender<ShellEvent>,
    link_address: net::SocketAddr,
    administration_address: net::SocketAddr,
    counters: Arc<links::LinkCounters>,
    documents: fleet::DocumentWatch,
}

impl AgentHandle {
    /// Returns the address on which the agent accepts links.
    pub fn link_address(&self) -> net::SocketAddr {
        self.link_address
    }

    /// Returns the address on which the agent serves metrics and health.
    pub fn administration_address(&self) -> net::SocketAddr {
        self.administration_address
    }

    /// Returns the counters of the link listener.
    pub fn link_counters(&self) -> &links::LinkCounters {
        &self.counters
    }

    /// Returns a watch on the active document.
    pub fn documents(&self) -> fleet::DocumentWatch {
        self.documents.clone()
    }

    /// Marks the target as leaving.
    pub async fn leave(&self) {
        send_event(&self.events, reducer::AgentEvent::Leave).await;
    }

    /// Requests that the agent exit when all its work has ended.
    pub async fn stop(&self) {
        send_event(&self.events, reducer::AgentEvent::Stop).await;
    }
}

/// Agent with its sockets and tasks.
pub struct AgentShell {
    reducer: reducer::AgentReducer,
    clock: ShellClock,
    driver: Box<dyn TargetDriver>,
    links: links::LinkTable,
    incoming: mpsc::Receiver<ShellEvent>,
    effects: Vec<reducer::AgentEffect>,
    metrics: metrics::AgentMetrics,
    fleet: FleetHandle,
    ready: Arc<AtomicBool>,
    _administration: administration::AdministrationServer,
    _tasks: TaskGroup,
    /// Held until the process exits, when the kernel frees the port.
    _instance_lock: Option<net::TcpListener>,
}

impl AgentShell {
    /// Binds the agent's ports and starts its tasks. Must be called within an ntex system.
    ///
    /// # Errors
    ///
    /// [`ShellError::Occupied`] if another agent of the target runs on this VM,
    /// [`ShellError::Bind`] if the link or administration address can't be bound, and
    /// [`ShellError::Client`] if an HTTP client can't be created.
    pub async fn open(
        config: AgentConfig,
        incarnation: ids::Incarnation,
        scheduler: Box<dyn schedule::WorkScheduler>,
    ) -> Result<(Self, AgentHandle)> {
        let instance_lock = acquire_instance_lock(config.instance_lock)?;
        let listener = TcpListener::bind(config.link_address)
            .await
            .map_err(|error| ShellError::Bind(config.link_address, error))?;
        let link_address = listener
            .local_addr()
            .map_err(|error| ShellError::Bind(config.link_address, error))?;
        let client = http::build_client().await?;
        let clock = ShellClock::start();
        let (events, incoming) = mpsc::channel(EVENT_QUEUE_CAPACITY);
        let counters = Arc::new(links::LinkCounters::default());
        let (metrics, metric_source) = metrics::AgentMetrics::new();
        let ready = Arc::new(AtomicBool::new(false));
        let state = administration::AdministrationState {
            metrics: metric_source,
            ready: Arc::clone(&ready),
        };
        let administration =
            administration::AdministrationServer::start(config.administration_address, state)?;

        let membership = fleet::start(&config, events.clone()).await?;
        let link_listener = links::LinkListener {
            listener,
            key: config.link_key,
            events: events.clone(),
            counters: Arc::clone(&counters),
        };
        let target_probe = probe::TargetProbe {
            client: client.clone(),
            target_address: config.target_address.clone(),
            clock,
            events: events.clone(),
        };
        let driver = HttpDriver::new(
            client,
            config.target_address.address(),
            service_timeout(&config.target_address),
            events.clone(),
        );
        let identity = reducer::AgentIdentity {
            target: config.target,
            incarnation,
            zone: config.zone,
        };

        let handle = AgentHandle {
            events,
            link_address,
            administration_address: administration.address(),
            counters,
            documents: membership.documents,
        };
        let shell = Self {
            reducer: reducer::AgentReducer::new(identity, scheduler),
            clock,
            driver: Box::new(driver),
            links: links::LinkTable::default(),
            incoming,
            effects: Vec::new(),
            metrics,
            fleet: membership.handle,
            ready,
            _administration: administration,
            _tasks: TaskGroup(vec![
                ntex::rt::spawn(link_listener.run()),
                ntex::rt::spawn(target_probe.run()),
            ]),
            _instance_lock: instance_lock,
        };
        Ok((shell, handle))
    }

    /// Runs until a stop was requested and all work has ended.
    pub async fn run(mut self) {
        let mut ticks = time::interval(reducer::TICK_INTERVAL);
        ticks.set_missed_tick_behavior(time::MissedTickBehavior::Delay);
        let mut events = Vec::with_capacity(MAX_BATCH_EVENTS);

        loop {
            tokio::select! {
                _ = ticks.tick() => self.tick(),
                _ = self.incoming.recv_many(&mut events, MAX_BATCH_EVENTS) => {
                    for event in events.drain(..) {
                        self.handle(event);
                    }
                }
            }
            self.flush_links();

            if self.reducer.departure() == reducer::DeparturePhase::Exited {
                break;
            }
        }
        self.close().await;
    }

    fn tick(&mut self) {
        self.apply(reducer::AgentEvent::Tick);

        let load = self.reducer.load(self.clock.now());
        self.metrics.observe_load(&load);
        let is_serving = self.reducer.departure() == reducer::DeparturePhase::Serving;
        let is_ready = is_serving && self.reducer.is_target_up();
        self.ready.store(is_ready, Ordering::Relaxed);
    }

    fn handle(&mut self, event: ShellEvent) {
        match event {
            ShellEvent::Reducer(event) => self.apply(event),
            ShellEvent::ServiceSettings(entry) => {
                self.driver.set_service_timeout(entry.timeout);
                let calls = entry.concurrent_calls;
                self.apply(reducer::AgentEvent::ServiceConcurrency { calls });
            }
            ShellEvent::LinkAccepted { link, sender } => {
                self.links.insert(link, sender);
                self.fleet.open_link(link, LinkKind::Feed);
                self.apply(reducer::AgentEvent::LinkOpened { link });
            }
            ShellEvent::Frames { link, frames } => {
                for frame in frames {
                    self.handle_frame(link, frame);
                }
            }
            ShellEvent::FleetFrame { link, bytes } => {
                self.links.push(link, frames::AgentFrame::Fleet(bytes));
            }
            ShellEvent::LinkClosed { link } => {
                self.drop_link(link);
                self.apply(reducer::AgentEvent::LinkClosed { link });
            }
        }
    }

    fn handle_frame(&mut self, link: ids::LinkId, frame: frames::GatewayFrame) {
        if let frames::GatewayFrame::Fleet(bytes) = &frame {
            self.fleet.handle_frame(link, bytes.clone());
        }
        // The reducer also handles fleet frames: every frame shows that the gateway is alive.
        self.apply(reducer::AgentEvent::FrameReceived { link, frame });
    }

    fn drop_link(&mut self, link: ids::LinkId) {
        self.links.remove(link);
        self.fleet.close_link(link);
    }

    fn apply(&mut self, event: reducer::AgentEvent) {
        let now = self.clock.now();
        let mut effects = std::mem::take(&mut self.effects);
        self.metrics.observe_event(&event);
        self.reducer.apply(now, event, &mut effects);

        for effect in effects.drain(..) {
            self.metrics.observe_effect(now, &effect, &self.reducer);
            self.execute(effect);
        }
        self.effects = effects;
    }

    fn execute(&mut self, effect: reducer::AgentEffect) {
        match effect {
            reducer::AgentEffect::Send { link, frame } => self.links.push(link, frame),
            reducer::AgentEffect::CloseLink { link } => self.drop_link(link),
            reducer::AgentEffect::Generate(command) => self.driver.generate(*command),
            reducer::AgentEffect::Pause { attempt } => self.driver.pause(attempt),
            reducer::AgentEffect::Resume { attempt } => self.driver.resume(attempt),
            reducer::AgentEffect::Cancel { attempt } => self.driver.cancel(attempt),
            reducer::AgentEffect::CallService { attempt, request } => {
                self.driver.call_service(attempt, *request);
            }
            // The loop ends when the reducer's phase is `Exited`.
            reducer::AgentEffect::Exit => {}
        }
    }

    fn flush_links(&mut self) {
        loop {
            let broken = self.links.flush();
            if broken.is_empty() {
                return;
            }
            for link in broken {
                self.fleet.close_link(link);
                self.apply(reducer::AgentEvent::LinkClosed { link });
            }
        }
    }

    async fn close(mut self) {
        self.fleet.stop();
        let discarding = async {
            // Discards events so that link tasks can read until their peers close the links too.
            while self.incoming.recv().await.is_some() {}
        };
        tokio::select! {
            () = self.links.close() => {}
            () = discarding => {}
        }
    }
}

/// Tasks that are cancelled when the group is dropped.
struct TaskGroup(Vec<ntex::rt::JoinHandle<()>>);

impl Drop for TaskGroup {
    fn drop(&mut self) {
        for task in self.0.drain(..) {
            task.cancel();
        }
    }
}

fn acquire_instance_lock(address: Option<net::SocketAddr>) -> Result<Option<net::TcpListener>> {
    match address {
        Some(address) => net::TcpListener::bind(address)
            .map(Some)
            .map_err(|error| ShellError::Occupied(address, error)),
        None => Ok(None),
    }
}

fn service_timeout(address: &TargetAddress) -> Duration {
    match address {
        // Engines are not called as services.
        TargetAddress::Engine(_) => Duration::ZERO,
        TargetAddress::Service { timeout, .. } => *timeout,
    }
}
