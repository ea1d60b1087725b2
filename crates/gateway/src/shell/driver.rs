//! The task that owns the reducer: feeds it commands and link events, and executes its effects.

use std::sync::Arc;
use std::time::Duration;

use kingcupfall_core::ids;
use kingcupfall_core::time;
use kingcupfall_document::acceptance;
use kingcupfall_link::frames;
use tokio::sync::mpsc;
use tokio::sync::watch;

use super::command;
use super::context;
use super::departures;
use super::document;
use super::fleet;
use super::links;
use super::meters;
use super::replies;
use crate::administration;
use crate::reducer;

/// Maximum number of queued messages handled in one turn, before its frames are sent.
const MAX_MESSAGES_PER_TURN: usize = 256;

/// Capacity of the channel of link events; links pause while it is full.
pub const MAX_PENDING_LINK_EVENTS: usize = 1_024;

/// The driver's ends of its channels.
pub struct DriverChannels {
    /// Commands from the servers and the gateway's handle.
    pub commands: mpsc::UnboundedReceiver<command::DriverCommand>,
    /// Events from the links.
    pub link_events: mpsc::Receiver<command::LinkEvent>,
    /// Publishes the active document to the servers.
    pub documents: watch::Sender<Arc<document::ActiveDocument>>,
}

/// Interval at which suspects are propagated, expired departures removed and stalled callers
/// disconnected.
const MAINTENANCE_INTERVAL: Duration = Duration::from_millis(500);

/// Owns the reducer, and runs it in one task.
pub struct ReducerDriver {
    reducer: reducer::GatewayReducer,
    context: context::ServerContext,
    channels: DriverChannels,
    links: links::LinkTable,
    replies: replies::ReplyTable,
    meters: meters::MeterTable,
    fleet: fleet::FleetClient,
    departures: departures::DepartureTable,
    next_maintenance: time::Timestamp,
    effects: Vec<reducer::GatewayEffect>,
    exited: bool,
}

impl ReducerDriver {
    /// Creates a driver; [`Self::run`] starts it.
    pub fn new(
        reducer: reducer::GatewayReducer,
        channels: DriverChannels,
        links: links::LinkTable,
        context: context::ServerContext,
    ) -> Self {
        Self {
            reducer,
            channels,
            links,
            replies: replies::ReplyTable::default(),
            meters: meters::MeterTable::new(context.metrics().calls().clone()),
            fleet: fleet::FleetClient::default(),
            departures: departures::DepartureTable::default(),
            next_maintenance: time::Timestamp::ZERO,
            effects: Vec::new(),
            context,
            exited: false,
        }
    }

    /// Runs until the reducer requests an exit, or all command senders have been dropped.
    pub async fn run(mut self) {
        let mut ticker = tokio::time::interval(reducer::TICK_INTERVAL);
        ticker.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);

        while !self.exited {
            tokio::select! {
                command = self.channels.commands.recv() => match command {
                    Some(command) => self.handle_command(command),
                    None => return,
                },
                Some(event) = self.channels.link_events.recv() => self.handle_link_event(event),
                _ = ticker.tick() => self.tick(),
            }
            self.handle_queued();
            self.finish_turn();
        }
    }

    /// Handles the messages that have queued up, so that their frames are sent in one batch.
    fn handle_queued(&mut self) {
        for _ in 0..MAX_MESSAGES_PER_TURN {
            if let Ok(command) = self.channels.commands.try_recv() {
                self.handle_command(command);
            } else if let Ok(event) = self.channels.link_events.try_recv() {
                self.handle_link_event(event);
            } else {
                return;
            }
        }
    }

    fn handle_command(&mut self, command: command::DriverCommand) {
        let now = self.context.now();
        match command {
            command::DriverCommand::OpenCall {
                call,
                event,
                channels,
            } => {
                self.replies.insert(now, call, channels);
                self.meters.start(now, &event);
                self.apply(now, event);
            }
            command::DriverCommand::CallerEvent(event) => self.handle_caller_event(now, event),
            command::DriverCommand::ActivateDocument(document) => {
                self.activate_document(now, document)
            }
            command::DriverCommand::MergeSuspects(records) => {
                self.apply(now, reducer::GatewayEvent::SuspectsReceived(records));
            }
            command::DriverCommand::AddDepartures(vms) => self.add_departures(now, vms),
            command::DriverCommand::JoinFleet(handle) => self.fleet.join(handle),
            command::DriverCommand::FleetFrame { link, bytes } => {
                self.links.push(link, frames::GatewayFrame::Fleet(bytes));
            }
            command::DriverCommand::Query { query, reply } => {
                let state = administration::execute_query(&self.reducer, now, &query);
                // An error means that the requester no longer waits.
                let _ = reply.send(state);
            }
            command::DriverCommand::Stop => {
                self.fleet.leave();
                self.apply(now, reducer::GatewayEvent::Stop);
            }
        }
    }

    fn handle_caller_event(&mut self, now: time::Timestamp, event: reducer::GatewayEvent) {
        if let reducer::GatewayEvent::TokensDelivered { call, next } = event {
            self.replies.record_consumed(now, call, next);
        }
        if let reducer::GatewayEvent::CallerDisconnected { call } = event {
            self.replies.remove(call);
            self.meters.abandon(call);
        }
        self.apply(now, event);
    }

    fn activate_document(
        &mut self,
        now: time::Timestamp,
        accepted: Arc<acceptance::DocumentAcceptance>,
    ) {
        let document = accepted.document();
        self.apply(now, document::target_event(document, self.departures.vms()));
        self.apply(now, document::limit_event(document));

        let document = self.context.document().activate(now, accepted);
        self.channels.documents.send_replace(Arc::new(document));
    }

    fn add_departures(&mut self, now: time::Timestamp, vms: Vec<ids::VmName>) {
        self.departures.add(now, vms);
        self.apply_targets(now);
    }

    fn apply_targets(&mut self, now: time::Timestamp) {
        let document = self.context.document();
        let event = document::target_event(document.document(), self.departures.vms());
        self.apply(now, event);
    }

    fn handle_link_event(&mut self, event: command::LinkEvent) {
        let now = self.context.now();
        match event {
            command::LinkEvent::Opened { link } => {
                self.apply(now, reducer::GatewayEvent::LinkOpened { link });
                self.fleet.open_link(link);
            }
            command::LinkEvent::Frames { link, frames } => {
                for frame in frames {
                    self.handle_frame(now, link, frame);
                }
            }
            command::LinkEvent::Closed { link } => {
                self.close_link(link);
                self.apply(now, reducer::GatewayEvent::LinkClosed { link });
            }
        }
    }

    fn handle_frame(&mut self, now: time::Timestamp, link: ids::LinkId, frame: frames::AgentFrame) {
        let frame = match frame {
            frames::AgentFrame::Fleet(bytes) => {
                self.fleet.handle_frame(link, bytes);
                // The reducer uses the frame only as proof that the link is alive.
                frames::AgentFrame::Fleet(Vec::new())
            }
            other => other,
        };
        self.apply(now, reducer::GatewayEvent::FrameReceived { link, frame });
    }

    fn close_link(&mut self, link: ids::LinkId) {
        self.links.close(link);
        self.fleet.close_link(link);
    }

    fn tick(&mut self) {
        let now = self.context.now();
        self.apply(now, reducer::GatewayEvent::Tick);
        if now >= self.next_maintenance {
            self.next_maintenance = now + MAINTENANCE_INTERVAL;
            self.run_maintenance(now);
        }
    }

    /// Does the work that isn't needed at every tick.
    fn run_maintenance(&mut self, now: time::Timestamp) {
        self.fleet.propagate_suspects(self.reducer.suspects(now));
        if self.departures.remove_expired(now) {
            self.apply_targets(now);
        }

        let write_timeout = self.context.limits().write_timeout;
        for call in self.replies.remove_stalled(now, write_timeout) {
            self.abandon_call(now, call);
        }
    }

    /// Abandons a call whose caller can't be reached.
    fn abandon_call(&mut self, now: time::Timestamp, call: ids::CallId) {
        self.meters.abandon(call);
        self.apply(now, reducer::GatewayEvent::CallerDisconnected { call });
    }

    /// Applies an event to the reducer and executes its effects.
    ///
    /// Frames are queued until the end of the turn.
    fn apply(&mut self, now: time::Timestamp, event: reducer::GatewayEvent) {
        let mut effects = std::mem::take(&mut self.effects);
        self.reducer.apply(now, event, &mut effects);

        let mut undeliverable = Vec::new();
        for effect in effects.drain(..) {
            self.execute(now, effect, &mut undeliverable);
        }
        self.effects = effects;
        for call in undeliverable {
            self.abandon_call(now, call);
        }
    }

    fn execute(
        &mut self,
        now: time::Timestamp,
        effect: reducer::GatewayEffect,
        undeliverable: &mut Vec<ids::CallId>,
    ) {
        match effect {
            reducer::GatewayEffect::Connect { link, address, .. } => {
                self.links.open(link, address);
            }
            reducer::GatewayEffect::CloseLink { link } => self.close_link(link),
            reducer::GatewayEffect::Send { link, frame } => self.links.push(link, frame),
            reducer::GatewayEffect::Reply { call, reply } => {
                self.meters.record(now, call, &reply);
                match self.replies.send(now, call, reply) {
                    replies::DeliveryStatus::Accepted => {}
                    replies::DeliveryStatus::Undeliverable => undeliverable.push(call),
                }
            }
            reducer::GatewayEffect::Exit => self.exited = true,
        }
    }

    /// Sends the frames that were queued during the turn.
    fn finish_turn(&mut self) {
        let now = self.context.now();
        for link in self.links.flush() {
            self.fleet.close_link(link);
            self.apply(now, reducer::GatewayEvent::LinkClosed { link });
        }
        if self.exited {
            // Sends frames that the events of closed links have queued.
            self.links.flush();
            self.fleet.stop();
        }
    }
}
