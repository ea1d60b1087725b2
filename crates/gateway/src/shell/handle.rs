//! Starting a gateway in this process, and controlling it.

use std::net;
use std::sync::Arc;

use kingcupfall_document::acceptance;
use kingcupfall_fleet::shell as fleet_shell;
use kingcupfall_policy::quarantine;
use tokio::sync::mpsc;
use tokio::sync::watch;

use super::Result;
use super::clock;
use super::command;
use super::context;
use super::driver;
use super::fleet;
use super::links;
use super::server;
use super::setup;
use crate::reducer;

/// Controls a gateway that runs in this process.
pub struct GatewayHandle {
    context: context::ServerContext,
    caller_address: net::SocketAddr,
    administration_address: net::SocketAddr,
    ended: watch::Receiver<bool>,
}

/// Starts a gateway on the current ntex system.
///
/// # Errors
///
/// [`super::ShellError::Bind`] if one of its addresses can't be bound.
pub fn start(setup: setup::GatewaySetup) -> Result<GatewayHandle> {
    let callers = server::listen(setup.caller_address)?;
    let administration = server::listen(setup.administration_address)?;
    let caller_address = server::local_address(&callers, setup.caller_address)?;
    let administration_address =
        server::local_address(&administration, setup.administration_address)?;

    let clock = clock::ShellClock::start();
    let (command_sender, commands) = mpsc::unbounded_channel();
    let (link_event_sender, link_events) = mpsc::channel(driver::MAX_PENDING_LINK_EVENTS);
    let (document_sender, documents) = watch::channel(Arc::default());
    let context = context::ServerContext::new(
        command_sender,
        documents,
        clock,
        setup.signing_key,
        setup.limits,
    );

    let driver = driver::ReducerDriver::new(
        reducer::GatewayReducer::new(setup.identity, setup.policies),
        driver::DriverChannels {
            commands,
            link_events,
            documents: document_sender,
        },
        links::LinkTable::new(setup.connector, link_event_sender),
        context.clone(),
    );
    let servers = server::GatewayServers {
        callers: server::run_callers(callers, &context),
        administration: server::run_administration(
            administration,
            &context,
            setup.administration_key,
        ),
    };
    let ended = server::run_until_stopped(driver, servers, context.clone());

    Ok(GatewayHandle {
        context,
        caller_address,
        administration_address,
        ended,
    })
}

impl GatewayHandle {
    /// Returns the address of the callers' API, with the port that was assigned.
    pub fn caller_address(&self) -> net::SocketAddr {
        self.caller_address
    }

    /// Returns the address of the administration API and the metrics, with the port that was
    /// assigned.
    pub fn administration_address(&self) -> net::SocketAddr {
        self.administration_address
    }

    /// Makes a document active, in place of the previous one.
    pub fn set_document(&self, document: acceptance::DocumentAcceptance) {
        let document = Arc::new(document);
        self.context
            .send_command(command::DriverCommand::ActivateDocument(document));
    }

    /// Returns the host through which the fleet delivers its updates to this gateway.
    pub fn fleet_host(&self) -> Box<dyn fleet_shell::FleetHost> {
        Box::new(fleet::GatewayHost::new(self.context.clone()))
    }

    /// Makes the gateway a member of a fleet, which must have been started with
    /// [`Self::fleet_host`].
    pub fn join_fleet(&self, handle: fleet_shell::FleetHandle) {
        self.context.join_fleet(handle);
    }

    /// Merges suspects that other gateways reported.
    pub fn merge_suspects(&self, records: Vec<quarantine::SuspectRecord>) {
        self.context
            .send_command(command::DriverCommand::MergeSuspects(records));
    }

    /// Returns the state that the servers share, through which the gateway's state can be queried.
    pub fn context(&self) -> &context::ServerContext {
        &self.context
    }

    /// Requests the gateway to refuse new calls, and to stop when its calls have ended.
    pub fn stop(&self) {
        self.context.stop();
    }

    /// Waits until the gateway and its servers have stopped.
    pub async fn wait(&self) {
        let mut ended = self.ended.clone();
        // An error means that the task that sends the signal has ended as well.
        let _ = ended.wait_for(|has_ended| *has_ended).await;
    }
}
