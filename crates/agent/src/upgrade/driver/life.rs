//! The lives of an agent in one process: it serves, drains for an upgrade, and serves again.

use std::cell::Cell;
use std::cell::RefCell;
use std::net;
use std::rc::Rc;

use tokio::sync::Notify;

use super::UpgradeHandle;
use super::UpgradeHost;
use crate::shell;
use crate::upgrade;

/// The loopback port that excludes other agents of the target.
#[derive(Debug)]
pub struct FencePort {
    address: net::SocketAddr,
    listener: net::TcpListener,
}

impl FencePort {
    /// Takes the port; the kernel frees it only when the process is dead.
    ///
    /// # Errors
    ///
    /// [`shell::ShellError::Occupied`] when another agent of the target lives on this VM.
    pub fn hold(address: net::SocketAddr) -> shell::Result<Self> {
        let occupied = |error| shell::ShellError::Occupied(address, error);
        let listener = net::TcpListener::bind(address).map_err(occupied)?;
        let address = listener.local_addr().map_err(occupied)?;
        Ok(Self { address, listener })
    }

    /// Says whether the port is still held.
    pub fn is_held(&self) -> bool {
        let address = self.listener.local_addr().ok();
        let error = self.listener.take_error().ok().flatten();
        address == Some(self.address) && error.is_none()
    }
}

/// What the process does.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum LifePhase {
    Serving,
    Draining,
    Stopping,
}

/// The lives of an agent, one after the other, behind one fence.
pub struct AgentLife {
    fence: FencePort,
    phase: Cell<LifePhase>,
    handle: RefCell<Option<shell::AgentHandle>>,
    changed: Notify,
    announce: Box<dyn Fn(&upgrade::UpgradeNote)>,
}

impl AgentLife {
    /// Begins with a fence; notes for other agents go to `announce`.
    pub fn new(fence: FencePort, announce: Box<dyn Fn(&upgrade::UpgradeNote)>) -> Rc<Self> {
        Rc::new(Self {
            fence,
            phase: Cell::new(LifePhase::Serving),
            handle: RefCell::new(None),
            changed: Notify::new(),
            announce,
        })
    }

    /// Runs lives that `open` starts, until a stop was asked for and all work has ended.
    ///
    /// # Errors
    ///
    /// Those of `open`.
    pub async fn run<F>(&self, open: F, upgrade: Option<&UpgradeHandle>) -> shell::Result<()>
    where
        F: AsyncFn() -> shell::Result<(shell::AgentShell, shell::AgentHandle)>,
    {
        while self.phase.get() != LifePhase::Stopping {
            let (agent, handle) = open().await?;
            self.handle.replace(Some(handle));
            // A drain or a stop may have been asked for while the agent was opened.
            if self.phase.get() != LifePhase::Serving {
                self.stop_agent();
            }
            agent.run().await;
            self.handle.replace(None);

            // A process that stops orders nothing any more.
            let is_draining = self.phase.get() == LifePhase::Draining;
            if let Some(upgrade) = upgrade.filter(|_| is_draining) {
                upgrade.drained().await;
            }
            while self.phase.get() == LifePhase::Draining {
                self.changed.notified().await;
            }
        }
        Ok(())
    }

    /// Asks for the end of the process when all work has ended.
    pub fn stop(&self) {
        self.phase.set(LifePhase::Stopping);
        self.changed.notify_one();
        self.stop_agent();
    }

    /// Returns the handle of the agent that serves.
    pub fn handle(&self) -> Option<shell::AgentHandle> {
        self.handle.borrow().clone()
    }

    fn stop_agent(&self) {
        if let Some(handle) = self.handle() {
            ntex::rt::spawn(async move { handle.stop().await });
        }
    }
}

impl UpgradeHost for AgentLife {
    fn announce(&self, note: &upgrade::UpgradeNote) {
        (self.announce)(note);
    }

    fn drain(&self) {
        if self.phase.get() == LifePhase::Serving {
            self.phase.set(LifePhase::Draining);
            self.stop_agent();
        }
    }

    fn rejoin(&self) {
        if self.phase.get() == LifePhase::Draining {
            self.phase.set(LifePhase::Serving);
            self.changed.notify_one();
        }
    }

    fn is_fence_held(&self) -> bool {
        self.fence.is_held()
    }
}
