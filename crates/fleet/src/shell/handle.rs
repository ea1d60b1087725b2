//! Starting the fleet's shell in this process, and holding it.

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

/// Notices of links between gateways that may wait before the links are held back.
const NOTICE_LIMIT: usize = 1_024;

/// Frames of the host that may wait; later ones are dropped, and digests make up for them.
const FRAME_LIMIT: usize = 1_024;

/// What the fleet's shell is started with.
pub struct FleetSetup {
    /// Who the process is. A gateway listens at its address; port 0 takes a free one.
    pub identity: reducer::FleetIdentity,
    /// Key of the links between gateways.
    pub link_key: transport::LinkKey,
    /// The platform's services; an agent needs none.
    pub platform: Option<platform::PlatformAddresses>,
    /// Takes what the fleet has for its host.
    pub host: Box<dyn host::FleetHost>,
}

/// The fleet's shell as its host uses it; cheap to clone.
#[derive(Clone)]
pub struct FleetHandle {
    commands: mpsc::UnboundedSender<driver::HostCommand>,
    waiting_frames: Arc<AtomicUsize>,
    address: net::SocketAddr,
}

/// Starts the fleet's shell on the current ntex system.
///
/// # Errors
///
/// [`ShellError::Bind`] when a gateway's address is taken.
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
    let (notice_sender, notices) = mpsc::channel(NOTICE_LIMIT);
    let waiting_frames = Arc::new(AtomicUsize::new(0));
    if let Some((listener, _)) = listener {
        let key = setup.link_key.clone();
        let notices = notice_sender.clone();
        ntex::rt::spawn(peers::run_listener(listener, key, notices));
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
            waiting_frames: Arc::clone(&waiting_frames),
            notices,
            notice_sender,
            command_sender: command_sender.clone(),
        },
        peers: peers::PeerTable::default(),
        has_news: false,
        has_ended: false,
    };
    ntex::rt::spawn(driver.run());

    Ok(FleetHandle {
        commands: command_sender,
        waiting_frames,
        address,
    })
}

impl FleetHandle {
    /// Returns the address at which a gateway takes links of other gateways.
    pub const fn address(&self) -> net::SocketAddr {
        self.address
    }

    /// Tells that a link between a gateway and an agent is open.
    pub fn open_link(&self, link: ids::LinkId, kind: reducer::LinkKind) {
        self.event(reducer::FleetEvent::LinkOpened { link, kind });
    }

    /// Tells that such a link is closed.
    pub fn close_link(&self, link: ids::LinkId) {
        self.event(reducer::FleetEvent::LinkClosed { link });
    }

    /// Hands over a fleet frame that came in on such a link.
    pub fn take_frame(&self, link: ids::LinkId, bytes: Vec<u8>) {
        if self.waiting_frames.fetch_add(1, Ordering::Relaxed) >= FRAME_LIMIT {
            self.waiting_frames.fetch_sub(1, Ordering::Relaxed);
            return;
        }
        self.command(driver::HostCommand::Frame { link, bytes });
    }

    /// Spreads suspects that this gateway found.
    pub fn spread_suspects(&self, records: Vec<quarantine::SuspectRecord>) {
        self.event(reducer::FleetEvent::SuspectsFound(records));
    }

    /// Tells the fleet that this process leaves.
    pub fn leave(&self) {
        self.event(reducer::FleetEvent::LeaveRequested);
    }

    /// Returns this process's view of the fleet; `None` when the process ends.
    pub async fn status(&self) -> Option<reducer::FleetStatus> {
        let (sender, answer) = oneshot::channel();
        self.command(driver::HostCommand::Status(sender));
        answer.await.ok()
    }

    /// Ends the fleet's shell.
    pub fn stop(&self) {
        self.command(driver::HostCommand::Stop);
    }

    fn event(&self, event: reducer::FleetEvent) {
        self.command(driver::HostCommand::Event(event));
    }

    fn command(&self, command: driver::HostCommand) {
        // An error means that the process ends.
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
