//! Links to the other relays of the fleet.
//!
//! Both ends of a link send heartbeats: the sender's load at each target, the relays that it knows,
//! recent departures of targets, and the versions of its routes and targets. A relay that falls
//! behind, because the platform's directory does not respond, requests the missing updates from one
//! of its peers.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::net;
use std::rc::Rc;
use std::time::Duration;

use futures_util::SinkExt;
use futures_util::StreamExt;
use kingcupfall_core::ids;
use kingcupfall_core::time;
use kingcupfall_link::codec;
use rand::Rng;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::sync::mpsc;
use tokio::task;
use tokio_tungstenite::WebSocketStream;
use tokio_tungstenite::tungstenite;

use super::client;
use super::directory_events;
use super::peer_messages;
use super::state;
use super::state::RelayState;
use crate::dispatch;
use crate::membership;
use crate::telemetry;

/// Shortest interval between heartbeats on a link.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(200);

/// Relays per multiple of [`HEARTBEAT_INTERVAL`] between heartbeats.
const RELAYS_PER_INTERVAL_STEP: usize = 8;

/// Longest heartbeat interval, in multiples of [`HEARTBEAT_INTERVAL`].
const MAX_INTERVAL_STEPS: usize = 4;

/// Time without a message after which a link is closed: three heartbeats at the longest interval.
/// Also the time limit for opening a link and for sending.
const LINK_TIMEOUT: Duration = Duration::from_millis(2_400);

/// Interval between attempts to link to known addresses.
const DIAL_INTERVAL: Duration = Duration::from_millis(700);

/// Number of links below which a relay also dials its seeds: one of the links may be about to
/// break.
const MIN_LINKS: usize = 3;

/// Interval at which a relay dials its seeds even if it has enough links, so that parts of a fleet
/// that were cut off from each other reconnect.
const SEED_INTERVAL: Duration = Duration::from_secs(30);

/// Time for which an unused link is kept: several heartbeats, which name other relays.
const UNUSED_LINK_TIMEOUT: Duration = Duration::from_secs(5);

/// Maximum number of relays that a heartbeat names.
const MAX_MEMBER_HINTS: usize = 24;

/// Maximum number of target incarnations that a heartbeat names as leaving: those of some ten
/// seconds.
const MAX_DEPARTURES: usize = 32;

/// Links of this relay, by the address at which the peer accepts links.
#[derive(Debug, Default)]
struct LinkTable {
    link_counts: BTreeMap<net::SocketAddr, usize>,
    dialing: BTreeSet<net::SocketAddr>,
    desired: BTreeSet<net::SocketAddr>,
    next_seed_at: time::Timestamp,
}

type SharedLinkTable = Rc<std::cell::RefCell<LinkTable>>;

/// Which end opened a link.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum LinkDirection {
    Outbound,
    Inbound,
}

/// What is known of the peer on a link, and what was sent to it.
#[derive(Debug, Default)]
struct LinkState {
    vm: Option<ids::VmName>,
    address: Option<net::SocketAddr>,
    is_same_cell: bool,
    departures_sent: u64,
    refused_sent: u64,
    suspects_sent: u64,
    unused_since: Option<time::Timestamp>,
    /// Sender of messages to the peer on this link; moved to the shared state once the first
    /// heartbeat identifies the peer.
    mailbox: Option<mpsc::UnboundedSender<bytes::Bytes>>,
}

/// Accepts links from peers, and opens links to known addresses.
pub(super) fn start(state: &Rc<RelayState>, listener: TcpListener) {
    let link_table = SharedLinkTable::default();
    task::spawn_local(accept_links(
        Rc::clone(state),
        Rc::clone(&link_table),
        listener,
    ));
    task::spawn_local(dial_peers(Rc::clone(state), link_table));
}

async fn accept_links(state: Rc<RelayState>, link_table: SharedLinkTable, listener: TcpListener) {
    loop {
        let stream = match listener.accept().await {
            Ok((stream, _)) => stream,
            Err(error) => {
                log::warn!("can't accept a peer's connection, trying again: {error}");
                tokio::time::sleep(DIAL_INTERVAL).await;
                continue;
            }
        };
        let state = Rc::clone(&state);
        let link_table = Rc::clone(&link_table);
        task::spawn_local(async move {
            let upgraded = async {
                client::enable_loss_detection(&stream)?;
                let socket = tokio_tungstenite::accept_async(stream).await;
                socket.map_err(std::io::Error::other)
            };
            match tokio::time::timeout(LINK_TIMEOUT, upgraded).await {
                Ok(Ok(socket)) => {
                    run_link(&state, &link_table, socket, LinkDirection::Inbound).await
                }
                Ok(Err(error)) => log::debug!("can't open an inbound link, closing it: {error}"),
                Err(_) => log::debug!("can't open an inbound link, closing it: timed out"),
            }
        });
    }
}

async fn dial_peers(state: Rc<RelayState>, link_table: SharedLinkTable) {
    loop {
        for address in addresses_to_dial(&state, &link_table) {
            link_table.borrow_mut().dialing.insert(address);
            let state = Rc::clone(&state);
            let link_table = Rc::clone(&link_table);
            task::spawn_local(async move {
                match open_link(address).await {
                    Ok(socket) => {
                        run_link(&state, &link_table, socket, LinkDirection::Outbound).await
                    }
                    Err(error) => log::debug!("can't open a link to {address}: {error}"),
                }
                link_table.borrow_mut().dialing.remove(&address);
            });
        }
        // Jitter keeps relays that start together from dialling at the same time.
        let jitter = rand::rng().random_range(0.7..1.3);
        tokio::time::sleep(DIAL_INTERVAL.mul_f64(jitter)).await;
    }
}

/// Updates the desired links, and returns those addresses that are neither linked nor being
/// dialled.
fn addresses_to_dial(state: &RelayState, link_table: &SharedLinkTable) -> Vec<net::SocketAddr> {
    let now = state.now();
    let (mut desired, depth) = {
        let mut members = state.members.borrow_mut();
        members.remove_expired(now);
        (members.desired_links(), members.depth())
    };
    state.submit(dispatch::DispatchEvent::CellDepthChanged(depth));

    let mut link_table = link_table.borrow_mut();
    let settings = state.settings.borrow();
    if link_table.link_counts.len() < MIN_LINKS || now >= link_table.next_seed_at {
        link_table.next_seed_at = now + SEED_INTERVAL;
        let seeds = settings.seeds.iter().copied();
        desired.extend(seeds.filter(|seed| *seed != settings.peer_address));
    }
    link_table.desired = desired;
    let desired = link_table.desired.iter().copied();
    desired
        .filter(|address| {
            !link_table.dialing.contains(address) && !link_table.link_counts.contains_key(address)
        })
        .collect()
}

async fn open_link(address: net::SocketAddr) -> std::io::Result<WebSocketStream<TcpStream>> {
    let stream = client::connect(address).await?;
    let url = format!("ws://{address}/");
    let upgrade = tokio_tungstenite::client_async(url, stream);
    match tokio::time::timeout(LINK_TIMEOUT, upgrade).await {
        Ok(Ok((socket, _))) => Ok(socket),
        Ok(Err(error)) => Err(std::io::Error::other(error)),
        Err(_) => Err(std::io::ErrorKind::TimedOut.into()),
    }
}

/// Exchanges messages with a peer until the link breaks, times out or is unused.
async fn run_link(
    state: &Rc<RelayState>,
    link_table: &SharedLinkTable,
    socket: WebSocketStream<TcpStream>,
    direction: LinkDirection,
) {
    let (mut sink, mut stream) = socket.split();
    let (mailbox, mut direct_messages) = mpsc::unbounded_channel();
    let mut link = LinkState {
        mailbox: Some(mailbox),
        ..LinkState::default()
    };
    let mut next_heartbeat = tokio::time::Instant::now();
    let mut last_received_at = state.now();
    let mut updates = state.updates.subscribe();
    let cause = loop {
        let outgoing = tokio::select! {
            update = updates.recv() => match update {
                Ok(update) if update.scope == state::UpdateScope::All || link.is_same_cell => {
                    vec![update.bytes]
                }
                // Cell updates are not for peers of other cells. The next heartbeat makes up for
                // updates that were dropped because this link lagged behind.
                Ok(_) | Err(_) => continue,
            },
            Some(bytes) = direct_messages.recv() => vec![bytes],
            message = stream.next() => match message {
                Some(Ok(tungstenite::Message::Binary(bytes))) => {
                    last_received_at = state.now();
                    encode(&handle_message(state, link_table, &mut link, &bytes))
                }
                Some(Ok(_)) => continue,
                Some(Err(_)) | None => break "closed",
            },
            () = tokio::time::sleep_until(next_heartbeat) => {
                next_heartbeat = tokio::time::Instant::now() + heartbeat_interval(state);
                if state.now().since(last_received_at) > LINK_TIMEOUT {
                    break "silent";
                }
                if direction == LinkDirection::Outbound && is_unused(state, link_table, &mut link) {
                    break "not needed";
                }
                let heartbeat = build_heartbeat(state, &mut link);
                encode(&[peer_messages::PeerMessage::Heartbeat(Box::new(heartbeat))])
            }
        };
        match tokio::time::timeout(LINK_TIMEOUT, send_all(&mut sink, outgoing)).await {
            Ok(true) => {}
            Ok(false) | Err(_) => break "not sent",
        }
    };
    // Closes the mailbox, by which `close_link` recognises that this link is gone.
    drop(direct_messages);
    close_link(state, link_table, &link, cause);
}

/// Returns whether a link that this relay opened can be closed: there is another link to the same
/// relay, or that relay has not been among the desired ones for some time.
fn is_unused(state: &RelayState, link_table: &SharedLinkTable, link: &mut LinkState) -> bool {
    let Some(address) = link.address else {
        return false;
    };
    let link_table = link_table.borrow();
    let is_duplicate = link_table.link_counts.get(&address).is_some_and(|count| *count > 1)
        // Of two links that were opened at the same time, the one opened by the relay with the
        // lower address stays.
        && state.settings.borrow().peer_address > address;
    if is_duplicate {
        return true;
    }
    let now = state.now();
    link.unused_since = match link_table.desired.contains(&address) {
        true => None,
        false => Some(link.unused_since.unwrap_or(now)),
    };
    link.unused_since
        .is_some_and(|since| now.since(since) >= UNUSED_LINK_TIMEOUT)
}

/// Returns the interval between heartbeats. It grows with the number of relays so that the bytes on
/// all links stay bounded. Placements and departures are sent immediately in any case.
fn heartbeat_interval(state: &RelayState) -> Duration {
    let steps = (state.relay_count() / RELAYS_PER_INTERVAL_STEP).clamp(1, MAX_INTERVAL_STEPS);
    HEARTBEAT_INTERVAL * u32::try_from(steps).unwrap_or(1)
}

async fn send_all<S>(sink: &mut S, messages: Vec<bytes::Bytes>) -> bool
where
    S: SinkExt<tungstenite::Message> + Unpin,
{
    for bytes in messages {
        if sink
            .send(tungstenite::Message::Binary(bytes))
            .await
            .is_err()
        {
            return false;
        }
    }
    true
}

fn encode(messages: &[peer_messages::PeerMessage]) -> Vec<bytes::Bytes> {
    let encoded = messages.iter().map(codec::encode);
    encoded
        .filter_map(|bytes| match bytes {
            Ok(bytes) => Some(bytes.into()),
            Err(error) => {
                log::error!("can't encode a message to a peer, dropping it: {error}");
                None
            }
        })
        .collect()
}

/// Removes a link, and also the peer if this was its last link.
fn close_link(state: &RelayState, link_table: &SharedLinkTable, link: &LinkState, cause: &str) {
    if let Some(address) = link.address {
        let mut link_table = link_table.borrow_mut();
        if let Some(count) = link_table.link_counts.get_mut(&address) {
            *count -= 1;
            if *count == 0 {
                link_table.link_counts.remove(&address);
            }
        }
    }
    let Some(vm) = &link.vm else {
        return;
    };
    let mut peer_mailboxes = state.peer_mailboxes.borrow_mut();
    let Some(mailboxes) = peer_mailboxes.get_mut(vm) else {
        return;
    };
    mailboxes.retain(|mailbox| !mailbox.is_closed());
    if !mailboxes.is_empty() {
        return;
    }
    peer_mailboxes.remove(vm);
    drop(peer_mailboxes);
    let record = telemetry::DecisionRecord::new(telemetry::RecordKind::PeerLost)
        .target_text(vm.as_str())
        .outcome(cause);
    state.record(&record);
    state.remove_peer(vm);
}

/// Handles a message and returns the replies.
fn handle_message(
    state: &RelayState,
    link_table: &SharedLinkTable,
    link: &mut LinkState,
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
        peer_messages::PeerMessage::Suspects(records) => {
            state.submit(dispatch::DispatchEvent::SuspectsReported(records));
        }
        peer_messages::PeerMessage::Routes(text) => match (state.decode_routes)(&text) {
            Some(table) => {
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
            let changes = state.targets.borrow_mut().apply_delta(now, delta);
            directory_events::apply_target_changes(state, changes, directory_events::PEER_SOURCE);
        }
    }
    Vec::new()
}

fn handle_heartbeat(
    state: &RelayState,
    link_table: &SharedLinkTable,
    link: &mut LinkState,
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
    let changes = state
        .targets
        .borrow_mut()
        .apply_departures(&heartbeat.departures);
    directory_events::apply_target_changes(state, changes, directory_events::PEER_SOURCE);
    state.submit(dispatch::DispatchEvent::SuspectsReported(
        heartbeat.suspects,
    ));
    state.with_dispatcher(|dispatcher, now| {
        for record in &heartbeat.refused_requests {
            dispatcher.merge_refused_request(now, record);
        }
    });
    state.record_peer_usages(&heartbeat.vm, &heartbeat.budget_usages);
    // Only peers of the same cell share their load and decide on reservations.
    let peer = heartbeat.vm;
    state.submit(match link.is_same_cell {
        true => dispatch::DispatchEvent::PeerLoadsReplaced {
            peer,
            loads: heartbeat.loads,
        },
        false => dispatch::DispatchEvent::PeerLost { peer },
    });

    let own = state.known_versions();
    let mut replies = Vec::new();
    if state
        .catch_up
        .borrow_mut()
        .should_request(now, own, heartbeat.known)
    {
        replies.push(peer_messages::PeerMessage::UpdateRequest(own));
    }
    if is_first_heartbeat && link.is_same_cell {
        // The previous heartbeat contained no loads, as the peer's cell was not known yet.
        let heartbeat = self::build_heartbeat(state, link);
        replies.push(peer_messages::PeerMessage::Heartbeat(Box::new(heartbeat)));
    }
    replies
}

/// Records which peer is at the other end of a link, and registers the link's mailbox.
fn identify_peer(
    state: &RelayState,
    link_table: &SharedLinkTable,
    link: &mut LinkState,
    heartbeat: &peer_messages::PeerHeartbeat,
) {
    link.vm = Some(heartbeat.vm.clone());
    link.address = Some(heartbeat.address);
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

fn build_heartbeat(state: &RelayState, link: &mut LinkState) -> peer_messages::PeerHeartbeat {
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
    let (refused_requests, refused_sent) = state.with_dispatcher(|dispatcher, now| {
        dispatcher.refused_requests_after(now, link.refused_sent)
    });
    link.refused_sent = refused_sent;
    let (suspects, suspects_sent) =
        state.with_dispatcher(|dispatcher, now| dispatcher.suspects_after(now, link.suspects_sent));
    link.suspects_sent = suspects_sent;
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
    }
}
