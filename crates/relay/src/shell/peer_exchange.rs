//! Messages that relays exchange on their links.

use std::rc::Rc;

use kingcupfall_link::codec;

use super::directory_events;
use super::evacuations;
use super::peer_links;
use super::peer_messages;
use super::state::RelayState;
use crate::directory;
use crate::dispatch;
use crate::membership;
use crate::telemetry;

/// Maximum number of relays that a heartbeat names.
const MAX_MEMBER_HINTS: usize = 24;

/// Maximum number of target incarnations that a heartbeat names as leaving: those of some ten
/// seconds.
const MAX_DEPARTURES: usize = 32;

/// Handles a message and returns the replies.
pub(super) fn handle_message(
    state: &RelayState,
    link_table: &peer_links::SharedLinkTable,
    link: &mut peer_links::LinkState,
    bytes: &[u8],
) -> Vec<peer_messages::PeerMessage> {
    let message = match codec::decode::<peer_messages::PeerMessage>(bytes) {
        Ok(message) => message,
        Err(error) => {
            log::warn!("can't decode a message from a peer, ignoring it: {error}");
            return Vec::new();
        }
    };
    match message {
        peer_messages::PeerMessage::Heartbeat(heartbeat) => {
            return handle_heartbeat(state, link_table, link, *heartbeat);
        }
        peer_messages::PeerMessage::UpdateRequest(known) => return updates_since(state, known),
        peer_messages::PeerMessage::Loads { vm, loads } => {
            state.submit(dispatch::DispatchEvent::PeerLoadsUpdated { peer: vm, loads });
        }
        peer_messages::PeerMessage::Reservation { vm, message } => {
            state.submit(dispatch::DispatchEvent::ReservationReceived { peer: vm, message });
        }
        peer_messages::PeerMessage::Departures(departures) => {
            let changes = state.targets.borrow_mut().apply_departures(&departures);
            directory_events::apply_target_changes(state, changes, directory_events::PEER_SOURCE);
        }
        peer_messages::PeerMessage::Evacuations(updates) => {
            evacuations::merge_from_peer(state, &updates);
        }
        peer_messages::PeerMessage::Suspects(records) => {
            state.submit(dispatch::DispatchEvent::SuspectsReported(records));
        }
        peer_messages::PeerMessage::Routes(text) => match (state.decode_routes)(&text) {
            Some(table) => {
                record_routes_received(state, link, &table, text.len());
                directory_events::handle_routes(
                    state,
                    Rc::new(table),
                    text.into(),
                    directory_events::PEER_SOURCE,
                );
            }
            None => log::warn!("can't decode routes from a peer, ignoring them"),
        },
        peer_messages::PeerMessage::Targets(delta) => {
            let now = state.now();
            let (revision, is_confirmed) = (delta.revision, delta.is_confirmed);
            if revision.era() > state.targets.borrow().revision().era() {
                state.record_directory_return();
            }
            let changes = state.targets.borrow_mut().apply_delta(now, delta);
            directory_events::apply_target_changes(state, changes, directory_events::PEER_SOURCE);
            if is_confirmed {
                state.record_feed(revision);
            }
        }
    }
    Vec::new()
}

fn handle_heartbeat(
    state: &RelayState,
    link_table: &peer_links::SharedLinkTable,
    link: &mut peer_links::LinkState,
    heartbeat: peer_messages::PeerHeartbeat,
) -> Vec<peer_messages::PeerMessage> {
    let now = state.now();
    let is_first_heartbeat = link.vm.is_none();
    if is_first_heartbeat {
        identify_peer(state, link_table, link, &heartbeat);
    }
    {
        let mut members = state.members.borrow_mut();
        members.record_received(heartbeat.address, now);
        for hint in heartbeat.members.iter().take(MAX_MEMBER_HINTS) {
            members.record_hint(now, *hint);
        }
        link.is_same_cell = members.is_same_cell(heartbeat.address);
    }
    evacuations::merge_from_peer(state, &heartbeat.evacuations);
    let changes = state
        .targets
        .borrow_mut()
        .apply_departures(&heartbeat.departures);
    directory_events::apply_target_changes(state, changes, directory_events::PEER_SOURCE);
    state.submit(dispatch::DispatchEvent::SuspectsReported(
        heartbeat.suspects,
    ));
    state.submit(dispatch::DispatchEvent::PromptCrashesReported(
        heartbeat.prompt_crashes,
    ));
    if !heartbeat.limits.is_empty() {
        state.submit(dispatch::DispatchEvent::LimitsReported(heartbeat.limits));
    }
    state.with_dispatcher(|dispatcher, now| {
        for record in &heartbeat.refused_requests {
            dispatcher.merge_refused_request(now, record);
        }
    });
    state.record_peer_usages(&heartbeat.vm, &heartbeat.budget_usages);
    // Only peers of the same cell share their load and decide on reservations.
    let peer = heartbeat.vm;
    if link.is_same_cell && !heartbeat.speeds.is_empty() {
        state.submit(dispatch::DispatchEvent::SpeedsReported {
            peer: peer.clone(),
            reports: heartbeat.speeds,
        });
    }
    state.submit(match link.is_same_cell {
        true => dispatch::DispatchEvent::PeerLoadsReplaced {
            peer,
            loads: heartbeat.loads,
        },
        false => dispatch::DispatchEvent::PeerLost { peer },
    });

    let mut replies: Vec<_> = request_updates(state, link, heartbeat.known)
        .into_iter()
        .collect();
    if is_first_heartbeat && link.is_same_cell {
        // The previous heartbeat contained no loads, as the peer's cell was not known yet.
        let heartbeat = build_heartbeat(state, link);
        replies.push(peer_messages::PeerMessage::Heartbeat(Box::new(heartbeat)));
    }
    replies
}

/// Records which peer is at the other end of a link, and registers the link's mailbox.
fn identify_peer(
    state: &RelayState,
    link_table: &peer_links::SharedLinkTable,
    link: &mut peer_links::LinkState,
    heartbeat: &peer_messages::PeerHeartbeat,
) {
    link.vm = Some(heartbeat.vm.clone());
    link.address = Some(heartbeat.address);
    link.stranger = None;
    *link_table
        .borrow_mut()
        .link_counts
        .entry(heartbeat.address)
        .or_default() += 1;
    let mut peer_mailboxes = state.peer_mailboxes.borrow_mut();
    let mailboxes = peer_mailboxes.entry(heartbeat.vm.clone()).or_default();
    mailboxes.extend(link.mailbox.take());
    if mailboxes.len() == 1 {
        let record = telemetry::DecisionRecord::new(telemetry::RecordKind::PeerLinked)
            .target_text(heartbeat.vm.as_str())
            .version(heartbeat.known.routes.get());
        state.record(&record);
    }
}

/// Returns a request for what a peer has and this relay lacks, if it is time for one.
fn request_updates(
    state: &RelayState,
    link: &peer_links::LinkState,
    peer: membership::KnownVersions,
) -> Option<peer_messages::PeerMessage> {
    let now = state.now();
    let own = state.known_versions();
    let mut catch_up = state.catch_up.borrow_mut();
    let known = catch_up.known_or_arriving(now, own, peer);
    if !catch_up.should_request(now, known, peer) {
        return None;
    }
    if known.routes < peer.routes {
        catch_up.record_routes_requested(now, own.routes, state.routes_size());
        let record = telemetry::DecisionRecord::new(telemetry::RecordKind::RoutesRequested)
            .target_text(peer_name(link))
            .version(peer.routes.get());
        state.record(&record);
    }
    Some(peer_messages::PeerMessage::UpdateRequest(known))
}

fn record_routes_received(
    state: &RelayState,
    link: &peer_links::LinkState,
    table: &directory::RouteTable,
    text_len: usize,
) {
    let record = telemetry::DecisionRecord::new(telemetry::RecordKind::RoutesReceived)
        .target_text(peer_name(link))
        .version(table.version().get())
        .count(text_len as u64);
    state.record(&record);
}

/// Returns the VM of the peer on a link; nothing before its first heartbeat.
fn peer_name(link: &peer_links::LinkState) -> &str {
    link.vm.as_ref().map_or("", |vm| vm.as_str())
}

/// Returns the routes and targets that are newer than the versions a peer knows.
fn updates_since(
    state: &RelayState,
    known: membership::KnownVersions,
) -> Vec<peer_messages::PeerMessage> {
    let mut messages = Vec::new();
    if let Some(routes) = state.routes()
        && routes.table.version() > known.routes
    {
        messages.push(peer_messages::PeerMessage::Routes(routes.text.to_vec()));
    }
    let targets = state.targets.borrow();
    if targets.revision() > known.directory {
        let delta = targets.delta_since(known.directory);
        messages.push(peer_messages::PeerMessage::Targets(delta));
    }
    messages
}

pub(super) fn build_heartbeat(
    state: &RelayState,
    link: &mut peer_links::LinkState,
) -> peer_messages::PeerHeartbeat {
    let now = state.now();
    let settings = state.settings.borrow();
    let targets = state.targets.borrow();
    let departures = targets.departures_after(link.departures_sent);
    let departures = departures.take(MAX_DEPARTURES).collect();
    link.departures_sent = targets.departure_count();
    let loads = match link.is_same_cell {
        true => state.with_dispatcher(|dispatcher, now| dispatcher.loads(now)),
        false => Vec::new(),
    };
    let speeds = match link.is_same_cell {
        true => state.with_dispatcher(|dispatcher, now| dispatcher.speed_reports(now)),
        false => Vec::new(),
    };
    let (refused_requests, refused_sent) = state.with_dispatcher(|dispatcher, now| {
        dispatcher.refused_requests_after(now, link.refused_sent)
    });
    link.refused_sent = refused_sent;
    let (suspects, suspects_sent) =
        state.with_dispatcher(|dispatcher, now| dispatcher.suspects_after(now, link.suspects_sent));
    link.suspects_sent = suspects_sent;
    let (prompt_crashes, prompt_crashes_sent) = state.with_dispatcher(|dispatcher, now| {
        dispatcher.prompt_crashes_after(now, link.prompt_crashes_sent)
    });
    link.prompt_crashes_sent = prompt_crashes_sent;
    peer_messages::PeerHeartbeat {
        vm: settings.vm.clone(),
        address: settings.peer_address,
        members: state
            .members
            .borrow()
            .sample_hints(now, &mut rand::rng(), MAX_MEMBER_HINTS),
        known: state.known_versions(),
        loads,
        departures,
        refused_requests,
        budget_usages: state.budget_usages(),
        suspects,
        prompt_crashes,
        limits: state.with_dispatcher(|dispatcher, now| dispatcher.reported_limits(now)),
        evacuations: state.evacuations.borrow().entries(),
        speeds,
    }
}
