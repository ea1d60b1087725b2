//! Starting a gateway in this process, and holding it.

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

/// A gateway that runs in this process.
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
/// [`super::ShellError::Listen`] when one of its addresses is taken.
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
    /// Returns the address at which callers are served.
    pub fn caller_address(&self) -> net::SocketAddr {
        self.caller_address
    }

    /// Returns the address of the administration API and the metrics.
    pub fn administration_address(&self) -> net::SocketAddr {
        self.administration_address
    }

    /// Puts a document in force.
    pub fn set_document(&self, document: acceptance::DocumentAcceptance) {
        let document = Arc::new(document);
        self.context
            .send_command(command::DriverCommand::ActivateDocument(document));
    }

    /// Returns what takes in the fleet's news for this gateway.
    pub fn fleet_host(&self) -> Box<dyn fleet_shell::FleetHost> {
        Box::new(fleet::GatewayHost::new(self.context.clone()))
    }

    /// Makes the gateway a member of a fleet, which was started with [`Self::fleet_host`].
    pub fn join_fleet(&self, handle: fleet_shell::FleetHandle) {
        self.context.join_fleet(handle);
    }

    /// Takes suspects that other gateways know of.
    pub fn merge_suspects(&self, records: Vec<quarantine::SuspectRecord>) {
        self.context
            .send_command(command::DriverCommand::MergeSuspects(records));
    }

    /// Returns what the servers share, to ask about the gateway's state.
    pub fn context(&self) -> &context::ServerContext {
        &self.context
    }

    /// Asks the gateway to stop when its calls have ended.
    pub fn stop(&self) {
        self.context.stop();
    }

    /// Waits until the gateway has ended.
    pub async fn wait(&self) {
        let mut ended = self.ended.clone();
        // An error means that the task that tells it has ended too.
        let _ = ended.wait_for(|has_ended| *has_ended).await;
    }
}
