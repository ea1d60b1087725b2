//! The task that owns the reducer.

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

/// Notices taken in one turn.
const TURN_LIMIT: usize = 256;

/// Number from which links between gateways are counted; the host counts its own from zero.
const FIRST_PEER_LINK: u64 = 1 << 63;

/// Something that the host tells the fleet.
pub(super) enum HostCommand {
    /// An event for the reducer.
    Event(reducer::FleetEvent),
    /// A fleet frame came in on one of the host's links.
    Frame {
        /// The link.
        link: ids::LinkId,
        /// Its bytes.
        bytes: Vec<u8>,
    },
    /// The administration API asks for the view of the fleet.
    Status(oneshot::Sender<reducer::FleetStatus>),
    /// The process ends.
    Stop,
}

/// Something that happened on a link between gateways.
pub(super) enum PeerNotice {
    /// A link is open.
    Opened {
        /// The link.
        link: ids::LinkId,
        /// Its other end.
        kind: reducer::LinkKind,
        /// Its sending half.
        sender: peers::PeerSender,
    },
    /// Messages came in.
    Messages {
        /// The link.
        link: ids::LinkId,
        /// The messages, in order.
        messages: Vec<messages::FleetMessage>,
    },
    /// Bytes came in that are no messages.
    Junk {
        /// The link.
        link: ids::LinkId,
    },
    /// A link was closed or lost.
    Closed {
        /// The link.
        link: ids::LinkId,
    },
    /// A link could not be opened.
    Failed {
        /// VM that was to be connected to.
        vm: ids::VmName,
    },
}

/// Returns a number for a link between gateways, unique in this process.
pub(super) fn next_peer_link() -> ids::LinkId {
    static NEXT: AtomicU64 = AtomicU64::new(FIRST_PEER_LINK);
    ids::LinkId::new(NEXT.fetch_add(1, Ordering::Relaxed))
}

/// Channels that the driver reads, and those that it hands to its tasks.
pub(super) struct DriverChannels {
    /// What the host tells.
    pub(super) commands: mpsc::UnboundedReceiver<HostCommand>,
    /// Frames of the host that wait in `commands`.
    pub(super) waiting_frames: Arc<AtomicUsize>,
    /// What happens on links between gateways.
    pub(super) notices: mpsc::Receiver<PeerNotice>,
    /// For tasks that run such links.
    pub(super) notice_sender: peers::PeerNotices,
    /// For calls at the platform.
    pub(super) command_sender: mpsc::UnboundedSender<HostCommand>,
}

/// Owner of the reducer.
pub(super) struct FleetDriver {
    pub(super) reducer: reducer::FleetReducer,
    pub(super) document: Rc<RefCell<validation::DocumentState>>,
    pub(super) origin: Instant,
    pub(super) key: transport::LinkKey,
    pub(super) platform: Option<platform::PlatformReader>,
    pub(super) host: Box<dyn host::FleetHost>,
    pub(super) channels: DriverChannels,
    pub(super) peers: peers::PeerTable,
    pub(super) has_news: bool,
    pub(super) has_ended: bool,
}

impl FleetDriver {
    /// Runs until the host ends it.
    pub(super) async fn run(mut self) {
        let mut ticks = tokio::time::interval(reducer::TICK_INTERVAL);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);

        while !self.has_ended {
            tokio::select! {
                command = self.channels.commands.recv() => match command {
                    Some(command) => self.take_command(command),
                    None => return,
                },
                Some(notice) = self.channels.notices.recv() => self.take_notice(notice),
                _ = ticks.tick() => self.apply(reducer::FleetEvent::Tick),
            }
            self.take_waiting();
            self.finish_turn();
        }
    }

    /// Takes what has come in meanwhile, so that it is answered together.
    fn take_waiting(&mut self) {
        for _ in 0..TURN_LIMIT {
            if let Ok(command) = self.channels.commands.try_recv() {
                self.take_command(command);
            } else if let Ok(notice) = self.channels.notices.try_recv() {
                self.take_notice(notice);
            } else {
                return;
            }
        }
    }

    fn take_command(&mut self, command: HostCommand) {
        match command {
            HostCommand::Event(event) => self.apply(event),
            HostCommand::Frame { link, bytes } => {
                self.channels.waiting_frames.fetch_sub(1, Ordering::Relaxed);
                self.apply(match messages::decode(&bytes) {
                    Ok(message) => reducer::FleetEvent::MessageReceived { link, message },
                    Err(_) => reducer::FleetEvent::MalformedReceived { link },
                });
            }
            HostCommand::Status(answer) => {
                // An error means that the asker has gone.
                let _ = answer.send(self.reducer.status());
            }
            HostCommand::Stop => self.has_ended = true,
        }
    }

    fn take_notice(&mut self, notice: PeerNotice) {
        match notice {
            PeerNotice::Opened { link, kind, sender } => {
                self.peers.insert(link, sender);
                self.apply(reducer::FleetEvent::LinkOpened { link, kind });
            }
            PeerNotice::Messages { link, messages } => {
                for message in messages {
                    self.apply(match messages::check(&message) {
                        Ok(()) => reducer::FleetEvent::MessageReceived { link, message },
                        Err(_) => reducer::FleetEvent::MalformedReceived { link },
                    });
                }
            }
            PeerNotice::Junk { link } => {
                self.apply(reducer::FleetEvent::MalformedReceived { link })
            }
            PeerNotice::Closed { link } => {
                self.peers.remove(link);
                self.apply(reducer::FleetEvent::LinkClosed { link });
            }
            PeerNotice::Failed { vm } => self.apply(reducer::FleetEvent::ConnectFailed { vm }),
        }
    }

    fn apply(&mut self, event: reducer::FleetEvent) {
        let now = time::Timestamp::ZERO + self.origin.elapsed();
        let mut effects = Vec::new();
        self.reducer.apply(now, event, &mut effects);
        for effect in effects {
            self.carry_out(effect);
        }
    }

    fn carry_out(&mut self, effect: reducer::FleetEffect) {
        match effect {
            reducer::FleetEffect::Connect { vm, address } => {
                let key = self.key.clone();
                let notices = self.channels.notice_sender.clone();
                ntex::rt::spawn(peers::run_connection(vm, address, key, notices));
            }
            reducer::FleetEffect::CloseLink { link } => self.peers.remove(link),
            reducer::FleetEffect::Send { link, message } => self.send(link, message),
            reducer::FleetEffect::ReadSections => {
                self.call(async |reader| reader.read_sections().await);
            }
            reducer::FleetEffect::WatchSections { after } => {
                self.call(async move |reader| reader.watch_sections(after).await);
            }
            reducer::FleetEffect::ReadVmList => self.call(async |reader| reader.read_vms().await),
            reducer::FleetEffect::ActivateSection(value) => {
                log::info!("{} {} is in force", value.section, value.head.version);
                self.has_news = true;
            }
            reducer::FleetEffect::ReportRejected(value) => {
                log::warn!("{} {} has findings", value.section, value.head.version);
                self.has_news = true;
            }
            reducer::FleetEffect::ForwardSuspects(records) => self.host.take_suspects(records),
            reducer::FleetEffect::ForwardDepartures(vms) => self.host.take_departures(vms),
        }
    }

    fn send(&mut self, link: ids::LinkId, message: messages::FleetMessage) {
        if link.get() >= FIRST_PEER_LINK {
            self.peers.push(link, message);
            return;
        }
        match messages::encode(&message) {
            Ok(bytes) => self.host.send(link, bytes),
            Err(error) => log::error!("a message to link {link} was not sent: {error}"),
        }
    }

    /// Calls the platform and hands the answer to the reducer.
    fn call<F>(&self, call: F)
    where
        F: AsyncFnOnce(&platform::PlatformReader) -> reducer::FleetEvent + 'static,
    {
        let Some(reader) = self.platform.clone() else {
            return;
        };
        let commands = self.channels.command_sender.clone();
        ntex::rt::spawn(async move {
            let event = call(&reader).await;
            // An error means that the process ends.
            let _ = commands.send(HostCommand::Event(event));
        });
    }

    fn finish_turn(&mut self) {
        loop {
            let broken = self.peers.flush();
            if broken.is_empty() {
                break;
            }
            for link in broken {
                self.apply(reducer::FleetEvent::LinkClosed { link });
            }
        }

        if std::mem::take(&mut self.has_news) {
            let state = self.document.borrow();
            self.host.take_document(host::DocumentNotice {
                document: Arc::new(state.acceptance().document().clone()),
                acceptance: Arc::new(state.acceptance().clone()),
                standings: state.statuses().clone(),
            });
        }
    }
}
