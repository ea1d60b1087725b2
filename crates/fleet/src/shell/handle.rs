//! Start of the fleet shell, and the handle through which the host uses it.

use std::net;
use std::sync::Arc;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;

use kingcupfall_core::ids;
use kingcupfall_core::time;
use kingcupfall_link::transport;
use kingcupfall_policy::quarantine;
use tokio::net::TcpListener;
use tokio::sync::mpsc;
use tokio::sync::oneshot;
use tokio::time::Instant;

use super::Result;
use super::ShellError;
use super::driver;
use super::host;
use super::peers;
use super::platform;
use crate::reducer;
use crate::validation;

/// Maximum number of queued events of links between gateways; further receives wait.
const MAX_QUEUED_PEER_EVENTS: usize = 1_024;

/// Maximum number of queued frames of the host. Further frames are dropped: the digest exchange
/// recovers lost updates.
const MAX_QUEUED_FRAMES: usize = 1_024;

/// Configuration with which the fleet shell starts.
pub struct FleetSetup {
    /// Identity of the process. A gateway listens on its address; port 0 selects a free port.
    pub identity: reducer::FleetIdentity,
    /// Key that authenticates the links between gateways.
    pub link_key: transport::LinkKey,
    /// Addresses of the platform's services; `None` for an agent, which does not call them.
    pub platform: Option<platform::PlatformAddresses>,
    /// Host that receives updates from the fleet.
    pub host: Box<dyn host::FleetHost>,
}

/// Handle to the fleet shell for its host. Clones share the same shell.
#[derive(Clone)]
pub struct FleetHandle {
    commands: mpsc::UnboundedSender<driver::DriverCommand>,
    queued_frames: Arc<AtomicUsize>,
    address: net::SocketAddr,
}

/// Starts the fleet shell on the current ntex system.
///
/// # Errors
///
/// Returns [`ShellError::Bind`] if a gateway cannot listen on its address, and
/// [`ShellError::Client`] if the HTTP client for the platform cannot be created.
pub async fn start(setup: FleetSetup) -> Result<FleetHandle> {
    let mut identity = setup.identity;
    let listener = match identity.role {
        reducer::FleetRole::Gateway => Some(bind(identity.address).await?),
        reducer::FleetRole::Agent => None,
    };
    if let Some((_, address)) = &listener {
        identity.address = *address;
    }
    let address = identity.address;
    let platform = match setup.platform {
        Some(addresses) => Some(platform::PlatformReader::new(addresses).await?),
        None => None,
    };

    let (command_sender, commands) = mpsc::unbounded_channel();
    let (peer_event_sender, peer_events) = mpsc::channel(MAX_QUEUED_PEER_EVENTS);
    let queued_frames = Arc::new(AtomicUsize::new(0));
    if let Some((listener, _)) = listener {
        let key = setup.link_key.clone();
        let sender = peer_event_sender.clone();
        ntex::rt::spawn(peers::run_listener(listener, key, sender));
    }

    let validator = validation::DocumentValidator::default();
    let driver = driver::FleetDriver {
        document: validator.state(),
        reducer: reducer::FleetReducer::new(identity, Box::new(validator), time::Timestamp::ZERO),
        origin: Instant::now(),
        key: setup.link_key,
        platform,
        host: setup.host,
        channels: driver::DriverChannels {
            commands,
            queued_frames: Arc::clone(&queued_frames),
            peer_events,
            peer_event_sender,
            command_sender: command_sender.clone(),
        },
        peers: peers::PeerTable::default(),
        is_document_updated: false,
        is_stopped: false,
    };
    ntex::rt::spawn(driver.run());

    Ok(FleetHandle {
        commands: command_sender,
        queued_frames,
        address,
    })
}

impl FleetHandle {
    /// Returns the address at which a gateway accepts links from other gateways. For an agent it is
    /// the address of its identity, on which nothing listens.
    pub const fn address(&self) -> net::SocketAddr {
        self.address
    }

    /// Notifies the fleet that a link between a gateway and an agent was opened.
    pub fn open_link(&self, link: ids::LinkId, kind: reducer::LinkKind) {
        self.send_event(reducer::FleetEvent::LinkOpened { link, kind });
    }

    /// Notifies the fleet that a link between a gateway and an agent was closed.
    pub fn close_link(&self, link: ids::LinkId) {
        self.send_event(reducer::FleetEvent::LinkClosed { link });
    }

    /// Passes a fleet frame received on a link between a gateway and an agent to the fleet. Drops
    /// the frame if too many are queued.
    pub fn handle_frame(&self, link: ids::LinkId, bytes: Vec<u8>) {
        if self.queued_frames.fetch_add(1, Ordering::Relaxed) >= MAX_QUEUED_FRAMES {
            self.queued_frames.fetch_sub(1, Ordering::Relaxed);
            return;
        }
        self.send_command(driver::DriverCommand::Frame { link, bytes });
    }

    /// Propagates suspects that this gateway found to the other gateways.
    pub fn propagate_suspects(&self, records: Vec<quarantine::SuspectRecord>) {
        self.send_event(reducer::FleetEvent::SuspectsFound(records));
    }

    /// Notifies the fleet that this process takes no new work.
    pub fn leave(&self) {
        self.send_event(reducer::FleetEvent::LeaveRequested);
    }

    /// Returns the status of the fleet as seen by this process; `None` if the shell has stopped.
    pub async fn status(&self) -> Option<reducer::FleetStatus> {
        let (sender, reply) = oneshot::channel();
        self.send_command(driver::DriverCommand::Status(sender));
        reply.await.ok()
    }

    /// Stops the fleet shell.
    pub fn stop(&self) {
        self.send_command(driver::DriverCommand::Stop);
    }

    fn send_event(&self, event: reducer::FleetEvent) {
        self.send_command(driver::DriverCommand::Event(event));
    }

    fn send_command(&self, command: driver::DriverCommand) {
        // Sending fails only if the driver has stopped.
        let _ = self.commands.send(command);
    }
}

async fn bind(address: net::SocketAddr) -> Result<(TcpListener, net::SocketAddr)> {
    let bound = async {
        let listener = TcpListener::bind(address).await?;
        let address = listener.local_addr()?;
        Ok((listener, address))
    };
    bound
        .await
        .map_err(|error| ShellError::Bind(address, error))
}
