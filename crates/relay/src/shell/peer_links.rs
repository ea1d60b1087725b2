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
use tokio::sync::mpsc;
use tokio::task;
use tokio_tungstenite::WebSocketStream;
use tokio_tungstenite::tungstenite;

use super::bounded_tasks;
use super::client;
use super::limited_socket;
use super::peer_exchange;
use super::peer_messages;
use super::state;
use super::state::RelayState;
use crate::dispatch;
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

/// Links that other ends have opened and that have not shown yet which peer is there. Relays show it
/// with their first message, so that these are few.
const MAX_STRANGERS: usize = 128;

/// Bytes that may arrive on such a link. A first heartbeat may be longer, if memory is left for it.
const MAX_STRANGER_BYTES: usize = 16 * 1024;
const MAX_STRANGER_FRAME_BYTES: u64 = 512 * 1024;

/// Bytes that a link reads at a time.
const READ_BUFFER_BYTES: usize = 16 * 1024;

/// Links of this relay, by the address at which the peer accepts links.
#[derive(Debug, Default)]
pub(super) struct LinkTable {
    pub(super) link_counts: BTreeMap<net::SocketAddr, usize>,
    dialing: BTreeSet<net::SocketAddr>,
    desired: BTreeSet<net::SocketAddr>,
    next_seed_at: time::Timestamp,
}

/// A link, whose other end may be limited.
type PeerSocket = WebSocketStream<limited_socket::LimitedSocket>;

pub(super) type SharedLinkTable = Rc<std::cell::RefCell<LinkTable>>;

/// What is known of the peer on a link, and what was sent to it.
#[derive(Debug, Default)]
pub(super) struct LinkState {
    pub(super) vm: Option<ids::VmName>,
    pub(super) address: Option<net::SocketAddr>,
    pub(super) is_same_cell: bool,
    pub(super) departures_sent: u64,
    pub(super) refused_sent: u64,
    pub(super) suspects_sent: u64,
    pub(super) prompt_crashes_sent: u64,
    unused_since: Option<time::Timestamp>,
    /// Limits of a link whose peer is not known yet.
    pub(super) stranger: Option<StrangerLimits>,
    /// Sender of messages to the peer on this link; moved to the shared state once the first
    /// heartbeat identifies the peer.
    pub(super) mailbox: Option<mpsc::UnboundedSender<bytes::Bytes>>,
}

/// Limits of a link that another end has opened, until its first heartbeat identifies it.
#[derive(Debug)]
pub(super) struct StrangerLimits {
    bytes: limited_socket::ByteLimit,
    _place: bounded_tasks::TaskPlace,
}

impl Drop for StrangerLimits {
    fn drop(&mut self) {
        self.bytes.lift();
    }
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
    let strangers = bounded_tasks::BoundedTasks::new(MAX_STRANGERS);
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
        strangers.spawn(|place| async move {
            let reservation = state.memory.clients.reserve_nothing();
            let bytes =
                limited_socket::ByteLimit::with_reservation(MAX_STRANGER_BYTES, reservation);
            let limits = StrangerLimits {
                bytes: bytes.clone(),
                _place: place,
            };
            let upgraded = async {
                client::enable_loss_detection(&stream)?;
                let stream = limited_socket::LimitedSocket::new(stream, bytes);
                let socket =
                    tokio_tungstenite::accept_async_with_config(stream, Some(link_config())).await;
                socket.map_err(std::io::Error::other)
            };
            match tokio::time::timeout(LINK_TIMEOUT, upgraded).await {
                Ok(Ok(socket)) => {
                    limits.bytes.limit_frames(MAX_STRANGER_FRAME_BYTES);
                    run_link(&state, &link_table, socket, Some(limits)).await;
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
                    Ok(socket) => run_link(&state, &link_table, socket, None).await,
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

async fn open_link(address: net::SocketAddr) -> std::io::Result<PeerSocket> {
    let stream = client::connect(address).await?;
    let limit = limited_socket::ByteLimit::unlimited();
    let stream = limited_socket::LimitedSocket::new(stream, limit);
    let url = format!("ws://{address}/");
    let upgrade = tokio_tungstenite::client_async_with_config(url, stream, Some(link_config()));
    match tokio::time::timeout(LINK_TIMEOUT, upgrade).await {
        Ok(Ok((socket, _))) => Ok(socket),
        Ok(Err(error)) => Err(std::io::Error::other(error)),
        Err(_) => Err(std::io::ErrorKind::TimedOut.into()),
    }
}

/// Returns the configuration of a link. Each link has a buffer of this size, also when it is idle.
fn link_config() -> tungstenite::protocol::WebSocketConfig {
    tungstenite::protocol::WebSocketConfig::default().read_buffer_size(READ_BUFFER_BYTES)
}

/// Exchanges messages with a peer until the link breaks, times out or is unused. Links that the other
/// end has opened have the limits of a stranger at first.
async fn run_link(
    state: &Rc<RelayState>,
    link_table: &SharedLinkTable,
    socket: PeerSocket,
    stranger: Option<StrangerLimits>,
) {
    let is_outbound = stranger.is_none();
    let (mut sink, mut stream) = socket.split();
    let (mailbox, mut direct_messages) = mpsc::unbounded_channel();
    let mut link = LinkState {
        mailbox: Some(mailbox),
        stranger,
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
                    encode(&peer_exchange::handle_message(state, link_table, &mut link, &bytes))
                }
                Some(Ok(_)) => continue,
                Some(Err(_)) | None => break "closed",
            },
            () = tokio::time::sleep_until(next_heartbeat) => {
                next_heartbeat = tokio::time::Instant::now() + heartbeat_interval(state);
                if state.now().since(last_received_at) > LINK_TIMEOUT {
                    break "silent";
                }
                if is_outbound && is_unused(state, link_table, &mut link) {
                    break "not needed";
                }
                let heartbeat = peer_exchange::build_heartbeat(state, &mut link);
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
