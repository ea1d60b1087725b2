//! State shared by the threads of the HTTP servers.

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

/// Permit for one call in progress; dropping it frees the slot.
pub type CallSlot = OwnedSemaphorePermit;

/// Shared state of the HTTP servers; cheap to clone.
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

    /// Returns the active document, as it is now.
    pub fn document(&self) -> Arc<document::ActiveDocument> {
        Arc::clone(&self.documents.borrow())
    }

    /// Returns the key that signs idempotency keys.
    pub fn signing_key(&self) -> &keys::SigningKey {
        &self.signing_key
    }

    /// Returns the metrics, which all threads update.
    pub fn metrics(&self) -> &metrics::GatewayMetrics {
        &self.metrics
    }

    /// Returns the limits on callers, fixed at the start of the gateway.
    pub fn limits(&self) -> &setup::ShellLimits {
        &self.limits
    }

    /// Returns the time on the gateway's clock.
    pub fn now(&self) -> time::Timestamp {
        self.clock.now()
    }

    /// Returns a slot for one more call in progress; `None` when the gateway is at its limit.
    pub fn try_acquire_slot(&self) -> Option<CallSlot> {
        Arc::clone(&self.slots).try_acquire_owned().ok()
    }

    /// Returns the number of calls whose connections have not finished.
    pub fn open_calls(&self) -> usize {
        self.limits.concurrent_calls - self.slots.available_permits()
    }

    /// Returns a new call id, which is unique in this process.
    pub fn next_call_id(&self) -> ids::CallId {
        ids::CallId::new(self.next_call_id.fetch_add(1, Ordering::Relaxed))
    }

    /// Opens `call` in the reducer by `event`, and returns its caller's side.
    pub fn open_call(
        &self,
        slot: CallSlot,
        call: ids::CallId,
        event: reducer::GatewayEvent,
    ) -> session::CallSession {
        session::CallSession::open(self.commands.clone(), slot, call, event)
    }

    /// Queries the reducer's state; `None` once the driver has ended.
    pub async fn query_state(
        &self,
        query: administration::StateQuery,
    ) -> Option<administration::StateReply> {
        let (sender, reply) = oneshot::channel();
        let command = command::DriverCommand::Query {
            query,
            reply: sender,
        };

        self.commands.send(command).ok()?;
        reply.await.ok()
    }

    /// Returns the gateway's view of its fleet; `None` when it has joined none, or its fleet task has
    /// stopped.
    pub async fn fleet_status(&self) -> Option<fleet_reducer::FleetStatus> {
        self.fleet.get()?.status().await
    }

    /// Makes the gateway a member of a fleet; does nothing if it is one already.
    pub(super) fn join_fleet(&self, handle: fleet_shell::FleetHandle) {
        if self.fleet.set(handle.clone()).is_ok() {
            self.send_command(command::DriverCommand::JoinFleet(handle));
        }
    }

    /// Returns true once the gateway was requested to stop.
    pub fn is_stopping(&self) -> bool {
        self.stopping.load(Ordering::Acquire)
    }

    /// Records that the gateway was requested to stop, and notifies the reducer.
    pub(super) fn stop(&self) {
        self.stopping.store(true, Ordering::Release);
        // An error means that the driver has ended already.
        let _ = self.commands.send(command::DriverCommand::Stop);
    }

    /// Sends a command that has no reply.
    pub(super) fn send_command(&self, command: command::DriverCommand) {
        // An error means that the driver has ended.
        let _ = self.commands.send(command);
    }

    /// Returns the context in which a request that arrives now is parsed.
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
