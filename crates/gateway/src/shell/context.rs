//! What the servers' threads share.

use std::sync::Arc;
use std::sync::OnceLock;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;

use kingcupfall_core::ids;
use kingcupfall_core::keys;
use kingcupfall_core::time;
use kingcupfall_document::sections;
use kingcupfall_fleet::reducer as fleet_reducer;
use kingcupfall_fleet::shell as fleet_shell;
use tokio::sync::OwnedSemaphorePermit;
use tokio::sync::Semaphore;
use tokio::sync::oneshot;
use tokio::sync::watch;

use super::clock;
use super::command;
use super::document;
use super::metrics;
use super::session;
use super::setup;
use crate::administration;
use crate::intake;
use crate::reducer;

/// Right to have one call in progress.
pub type CallSlot = OwnedSemaphorePermit;

/// Everything that the threads of the HTTP servers need; cheap to clone.
#[derive(Clone)]
pub struct ServerContext {
    commands: command::CommandSender,
    documents: watch::Receiver<Arc<document::ActiveDocument>>,
    slots: Arc<Semaphore>,
    next_call_id: Arc<AtomicU64>,
    stopping: Arc<AtomicBool>,
    clock: clock::ShellClock,
    signing_key: keys::SigningKey,
    limits: setup::ShellLimits,
    metrics: Arc<metrics::GatewayMetrics>,
    fleet: Arc<OnceLock<fleet_shell::FleetHandle>>,
}

impl ServerContext {
    /// Makes the context of a gateway's servers.
    pub(super) fn new(
        commands: command::CommandSender,
        documents: watch::Receiver<Arc<document::ActiveDocument>>,
        clock: clock::ShellClock,
        signing_key: keys::SigningKey,
        limits: setup::ShellLimits,
    ) -> Self {
        Self {
            commands,
            documents,
            slots: Arc::new(Semaphore::new(limits.concurrent_calls)),
            next_call_id: Arc::new(AtomicU64::new(0)),
            stopping: Arc::new(AtomicBool::new(false)),
            clock,
            signing_key,
            limits,
            metrics: Arc::default(),
            fleet: Arc::default(),
        }
    }

    /// Returns the document in force.
    pub fn document(&self) -> Arc<document::ActiveDocument> {
        Arc::clone(&self.documents.borrow())
    }

    /// Returns the key that signs idempotency keys.
    pub fn signing_key(&self) -> &keys::SigningKey {
        &self.signing_key
    }

    /// Returns the metrics.
    pub fn metrics(&self) -> &metrics::GatewayMetrics {
        &self.metrics
    }

    /// Returns the limits on callers.
    pub fn limits(&self) -> &setup::ShellLimits {
        &self.limits
    }

    /// Returns the time on the gateway's clock.
    pub fn now(&self) -> time::Timestamp {
        self.clock.now()
    }

    /// Takes the right to have a call in progress, when there is one left.
    pub fn try_acquire_slot(&self) -> Option<CallSlot> {
        Arc::clone(&self.slots).try_acquire_owned().ok()
    }

    /// Returns the number of calls whose connections have not finished.
    pub fn open_calls(&self) -> usize {
        self.limits.concurrent_calls - self.slots.available_permits()
    }

    /// Returns an id for a new call.
    pub fn next_call_id(&self) -> ids::CallId {
        ids::CallId::new(self.next_call_id.fetch_add(1, Ordering::Relaxed))
    }

    /// Opens the call `call` that `event` makes.
    pub fn open_call(
        &self,
        slot: CallSlot,
        call: ids::CallId,
        event: reducer::GatewayEvent,
    ) -> session::CallSession {
        session::CallSession::open(self.commands.clone(), slot, call, event)
    }

    /// Asks about the reducer's state; `None` when the process ends.
    pub async fn query_state(
        &self,
        query: administration::StateQuery,
    ) -> Option<administration::StateAnswer> {
        let (sender, reply) = oneshot::channel();
        let command = command::DriverCommand::Query {
            query,
            reply: sender,
        };

        self.commands.send(command).ok()?;
        reply.await.ok()
    }

    /// Returns the gateway's view of its fleet; `None` when it has joined none, or ends.
    pub async fn fleet_status(&self) -> Option<fleet_reducer::FleetStatus> {
        self.fleet.get()?.status().await
    }

    /// Makes the gateway a member of a fleet; a second fleet is not joined.
    pub(super) fn join_fleet(&self, handle: fleet_shell::FleetHandle) {
        if self.fleet.set(handle.clone()).is_ok() {
            self.send_command(command::DriverCommand::JoinFleet(handle));
        }
    }

    /// Says whether the gateway was asked to stop.
    pub fn is_stopping(&self) -> bool {
        self.stopping.load(Ordering::Acquire)
    }

    /// Notes that the gateway was asked to stop, and tells the reducer.
    pub(super) fn stop(&self) {
        self.stopping.store(true, Ordering::Release);
        // An error means that the process ends already.
        let _ = self.commands.send(command::DriverCommand::Stop);
    }

    /// Sends a command that no caller waits for.
    pub(super) fn send_command(&self, command: command::DriverCommand) {
        // An error means that the process ends.
        let _ = self.commands.send(command);
    }

    /// Returns what requests that come now are read against.
    pub fn intake_context<'a>(
        &'a self,
        document: &'a sections::OperatorDocument,
    ) -> intake::IntakeContext<'a> {
        intake::IntakeContext {
            document,
            signing_key: &self.signing_key,
            start_deadline: self.clock.now() + self.limits.start_timeout,
        }
    }
}
