//! The task that owns the reducer and executes its effects.

use std::cell::RefCell;
use std::rc::Rc;
use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;

use kingcupfall_core::ids;
use kingcupfall_core::time;
use kingcupfall_link::transport;
use tokio::sync::mpsc;
use tokio::sync::oneshot;
use tokio::time::Instant;
use tokio::time::MissedTickBehavior;

use super::host;
use super::peers;
use super::platform;
use crate::messages;
use crate::reducer;
use crate::validation;

/// Maximum number of queued commands and events that are handled in one turn after the first.
const MAX_INPUTS_PER_TURN: usize = 256;

/// First id of the links between gateways; the host numbers its own links from zero.
const FIRST_PEER_LINK_ID: u64 = 1 << 63;

/// Command to the driver, from the host or from a task of the shell.
pub(super) enum DriverCommand {
    /// An event for the reducer.
    Event(reducer::FleetEvent),
    /// A fleet frame was received on one of the host's links.
    Frame {
        /// Link on which the frame was received.
        link: ids::LinkId,
        /// Content of the frame.
        bytes: Vec<u8>,
    },
    /// Send the current status of the fleet to the requester.
    Status(oneshot::Sender<reducer::FleetStatus>),
    /// Stop the driver.
    Stop,
}

/// Event on a link between gateways.
pub(super) enum PeerEvent {
    /// A link was opened.
    Opened {
        /// The link.
        link: ids::LinkId,
        /// Peer at the other end.
        kind: reducer::LinkKind,
        /// Sending half of the link.
        sender: peers::PeerSender,
    },
    /// Messages were received.
    Messages {
        /// Link on which the messages were received.
        link: ids::LinkId,
        /// The messages, in the order received.
        messages: Vec<messages::FleetMessage>,
    },
    /// Bytes were received that are not valid messages.
    Malformed {
        /// Link on which the bytes were received.
        link: ids::LinkId,
    },
    /// A link was closed or lost.
    Closed {
        /// The link.
        link: ids::LinkId,
    },
    /// A link could not be opened.
    Failed {
        /// VM to which the connection failed.
        vm: ids::VmName,
    },
}

/// Returns an id for a link between gateways that is unique in this process.
pub(super) fn next_peer_link_id() -> ids::LinkId {
    static NEXT: AtomicU64 = AtomicU64::new(FIRST_PEER_LINK_ID);
    ids::LinkId::new(NEXT.fetch_add(1, Ordering::Relaxed))
}

/// Channels that the driver receives from, and the senders that it passes to its tasks.
pub(super) struct DriverChannels {
    /// Commands of the host, and results of calls to the platform.
    pub(super) commands: mpsc::UnboundedReceiver<DriverCommand>,
    /// Number of frames queued in `commands`.
    pub(super) queued_frames: Arc<AtomicUsize>,
    /// Events on links between gateways.
    pub(super) peer_events: mpsc::Receiver<PeerEvent>,
    /// Sender for the tasks that run these links.
    pub(super) peer_event_sender: peers::PeerEventSender,
    /// Sender for the tasks that call the platform.
    pub(super) command_sender: mpsc::UnboundedSender<DriverCommand>,
}

/// Owner of the reducer, which passes it events and executes its effects.
pub(super) struct FleetDriver {
    pub(super) reducer: reducer::FleetReducer,
    pub(super) document: Rc<RefCell<validation::DocumentState>>,
    /// Time zero of the timestamps that the reducer receives.
    pub(super) origin: Instant,
    pub(super) key: transport::LinkKey,
    pub(super) platform: Option<platform::PlatformReader>,
    pub(super) host: Box<dyn host::FleetHost>,
    pub(super) channels: DriverChannels,
    pub(super) peers: peers::PeerTable,
    /// Whether the document or its status changed in this turn.
    pub(super) is_document_updated: bool,
    pub(super) is_stopped: bool,
}

impl FleetDriver {
    /// Runs until a stop command arrives.
    pub(super) async fn run(mut self) {
        let mut ticks = tokio::time::interval(reducer::TICK_INTERVAL);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);

        while !self.is_stopped {
            tokio::select! {
                command = self.channels.commands.recv() => match command {
                    Some(command) => self.handle_command(command),
                    None => return,
                },
                Some(event) = self.channels.peer_events.recv() => self.handle_peer_event(event),
                _ = ticks.tick() => self.apply(reducer::FleetEvent::Tick),
            }
            self.handle_queued();
            self.finish_turn();
        }
    }

    /// Handles the other inputs that are already queued, so that the resulting messages to a peer
    /// are sent together.
    fn handle_queued(&mut self) {
        for _ in 0..MAX_INPUTS_PER_TURN {
            if let Ok(command) = self.channels.commands.try_recv() {
                self.handle_command(command);
            } else if let Ok(event) = self.channels.peer_events.try_recv() {
                self.handle_peer_event(event);
            } else {
                return;
            }
        }
    }

    fn handle_command(&mut self, command: DriverCommand) {
        match command {
            DriverCommand::Event(event) => self.apply(event),
            DriverCommand::Frame { link, bytes } => {
                self.channels.queued_frames.fetch_sub(1, Ordering::Relaxed);
                self.apply(match messages::decode(&bytes) {
                    Ok(message) => reducer::FleetEvent::MessageReceived { link, message },
                    Err(_) => reducer::FleetEvent::MalformedReceived { link },
                });
            }
            DriverCommand::Status(reply) => {
                // Sending fails only if the requester no longer waits.
                let _ = reply.send(self.reducer.status());
            }
            DriverCommand::Stop => self.is_stopped = true,
        }
    }

    fn handle_peer_event(&mut self, event: PeerEvent) {
        match event {
            PeerEvent::Opened { link, kind, sender } => {
                self.peers.insert(link, sender);
                self.apply(reducer::FleetEvent::LinkOpened { link, kind });
            }
            PeerEvent::Messages { link, messages } => {
                for message in messages {
                    self.apply(match messages::check(&message) {
                        Ok(()) => reducer::FleetEvent::MessageReceived { link, message },
                        Err(_) => reducer::FleetEvent::MalformedReceived { link },
                    });
                }
            }
            PeerEvent::Malformed { link } => {
                self.apply(reducer::FleetEvent::MalformedReceived { link })
            }
            PeerEvent::Closed { link } => {
                self.peers.remove(link);
                self.apply(reducer::FleetEvent::LinkClosed { link });
            }
            PeerEvent::Failed { vm } => self.apply(reducer::FleetEvent::ConnectFailed { vm }),
        }
    }

    fn apply(&mut self, event: reducer::FleetEvent) {
        let now = time::Timestamp::ZERO + self.origin.elapsed();
        let mut effects = Vec::new();
        self.reducer.apply(now, event, &mut effects);
        for effect in effects {
            self.execute(effect);
        }
    }

    fn execute(&mut self, effect: reducer::FleetEffect) {
        match effect {
            reducer::FleetEffect::Connect { vm, address } => {
                let key = self.key.clone();
                let sender = self.channels.peer_event_sender.clone();
                ntex::rt::spawn(peers::run_connection(vm, address, key, sender));
            }
            reducer::FleetEffect::CloseLink { link } => self.peers.remove(link),
            reducer::FleetEffect::Send { link, message } => self.send(link, message),
            reducer::FleetEffect::ReadSections => {
                self.call_platform(async |reader| reader.read_sections().await);
            }
            reducer::FleetEffect::WatchSections { after } => {
                self.call_platform(async move |reader| reader.watch_sections(after).await);
            }
            reducer::FleetEffect::ReadVmList => {
                self.call_platform(async |reader| reader.read_vm_list().await)
            }
            reducer::FleetEffect::ActivateSection(value) => {
                log::info!(
                    "accepted section {} version {}",
                    value.section,
                    value.head.version
                );
                self.is_document_updated = true;
            }
            reducer::FleetEffect::ReportRejected(value) => {
                log::warn!(
                    "rejected section {} version {}; it replaces no accepted version",
                    value.section,
                    value.head.version
                );
                self.is_document_updated = true;
            }
            reducer::FleetEffect::ForwardSuspects(records) => self.host.handle_suspects(records),
            reducer::FleetEffect::ForwardDepartures(vms) => self.host.handle_departures(vms),
        }
    }

    fn send(&mut self, link: ids::LinkId, message: messages::FleetMessage) {
        if link.get() >= FIRST_PEER_LINK_ID {
            self.peers.push(link, message);
            return;
        }
        match messages::encode(&message) {
            Ok(bytes) => self.host.send(link, bytes),
            Err(error) => log::error!("dropped a fleet message to link {link}: {error}"),
        }
    }

    /// Calls the platform in a task of its own, and passes the result to the reducer. Does nothing
    /// in a process without a platform.
    fn call_platform<F>(&self, call: F)
    where
        F: AsyncFnOnce(&platform::PlatformReader) -> reducer::FleetEvent + 'static,
    {
        let Some(reader) = self.platform.clone() else {
            return;
        };
        let commands = self.channels.command_sender.clone();
        ntex::rt::spawn(async move {
            let event = call(&reader).await;
            // Sending fails only if the driver has stopped.
            let _ = commands.send(DriverCommand::Event(event));
        });
    }

    /// Sends the messages of the turn, handles the links on which this failed, and passes an updated
    /// document to the host.
    fn finish_turn(&mut self) {
        loop {
            let failed_links = self.peers.flush();
            if failed_links.is_empty() {
                break;
            }
            for link in failed_links {
                self.apply(reducer::FleetEvent::LinkClosed { link });
            }
        }

        if std::mem::take(&mut self.is_document_updated) {
            let state = self.document.borrow();
            self.host.handle_document(host::DocumentNotice {
                document: Arc::new(state.acceptance().document().clone()),
                acceptance: Arc::new(state.acceptance().clone()),
                statuses: state.statuses().clone(),
            });
        }
    }
}
