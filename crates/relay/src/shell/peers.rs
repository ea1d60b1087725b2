//! Links to other processes of the same kind.
//!
//! Each link carries pulses both ways: what the sender has at each target, which processes and
//! leaving targets it knows, and how new its knowledge is. A process that falls behind, because
//! the platform's directory does not answer it, asks one of its peers for what it lacks.

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
use super::directory as shell_directory;
use super::messages;
use super::state;
use super::state::RelayState;
use crate::dispatch;
use crate::membership;
use crate::telemetry;

/// Shortest time between pulses on a link.
const PULSE_INTERVAL: Duration = Duration::from_millis(200);

/// Processes among which pulses go at the shortest interval.
const PULSE_PROCESSES: usize = 8;

/// Longest interval, in multiples of the shortest.
const MOST_PULSE_TIMES: usize = 4;

/// Silence after which a link is closed: three pulses at the longest interval.
const LINK_TIMEOUT: Duration = Duration::from_millis(2_400);

/// Time between attempts to link to known addresses.
const DIAL_INTERVAL: Duration = Duration::from_millis(700);

/// Links below which a process goes back to its seeds: one of them may be about to break.
const LEAST_LINKS: usize = 3;

/// Time after which a process asks a seed again even so: parts of a fleet that were cut off from
/// each other find back through it.
const SEED_INTERVAL: Duration = Duration::from_secs(30);

/// Time for which a link that is not needed is kept: several pulses, which name other processes.
const UNNEEDED_TIME: Duration = Duration::from_secs(5);

/// Most processes that a pulse names.
const MOST_HINTS: usize = 24;

/// Most lives of targets that a pulse names as leaving: those of some ten seconds.
const MOST_DEPARTURES: usize = 32;

/// Links of this process, by the address of the other end.
#[derive(Debug, Default)]
struct LinkBook {
    linked: BTreeMap<net::SocketAddr, usize>,
    dialled: BTreeSet<net::SocketAddr>,
    wanted: BTreeSet<net::SocketAddr>,
    seeds_due: time::Timestamp,
}

type SharedBook = Rc<std::cell::RefCell<LinkBook>>;

/// Which end opened a link.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum LinkOrigin {
    Own,
    Peer,
}

/// What is known of the other end of a link, and what it was told.
#[derive(Debug, Default)]
struct LinkProgress {
    vm: Option<ids::VmName>,
    address: Option<net::SocketAddr>,
    is_near: bool,
    departures_told: u64,
    refused_told: u64,
    unneeded_since: Option<time::Timestamp>,
    /// The way to this link for messages to the peer, until the peer has said who it is.
    mailbox: Option<mpsc::UnboundedSender<bytes::Bytes>>,
}

/// Takes links of peers, and opens links to those that are known.
pub(super) fn start(state: &Rc<RelayState>, listener: TcpListener) {
    let book = SharedBook::default();
    task::spawn_local(accept(Rc::clone(state), Rc::clone(&book), listener));
    task::spawn_local(dial(Rc::clone(state), book));
}

async fn accept(state: Rc<RelayState>, book: SharedBook, listener: TcpListener) {
    loop {
        let stream = match listener.accept().await {
            Ok((stream, _)) => stream,
            Err(error) => {
                log::warn!("a peer's connection can't be taken: {error}");
                tokio::time::sleep(DIAL_INTERVAL).await;
                continue;
            }
        };
        let state = Rc::clone(&state);
        let book = Rc::clone(&book);
        task::spawn_local(async move {
            let upgraded = async {
                client::watch(&stream)?;
                let socket = tokio_tungstenite::accept_async(stream).await;
                socket.map_err(std::io::Error::other)
            };
            match tokio::time::timeout(LINK_TIMEOUT, upgraded).await {
                Ok(Ok(socket)) => run_link(&state, &book, socket, LinkOrigin::Peer).await,
                Ok(Err(error)) => log::debug!("a peer's link was not opened: {error}"),
                Err(_) => log::debug!("a peer's link was not opened in time"),
            }
        });
    }
}

async fn dial(state: Rc<RelayState>, book: SharedBook) {
    loop {
        for address in choose_addresses(&state, &book) {
            book.borrow_mut().dialled.insert(address);
            let state = Rc::clone(&state);
            let book = Rc::clone(&book);
            task::spawn_local(async move {
                match open(address).await {
                    Ok(socket) => run_link(&state, &book, socket, LinkOrigin::Own).await,
                    Err(error) => log::debug!("no link to {address}: {error}"),
                }
                book.borrow_mut().dialled.remove(&address);
            });
        }
        // Jitter keeps processes that start together from dialling together.
        let jitter = rand::rng().random_range(0.7..1.3);
        tokio::time::sleep(DIAL_INTERVAL.mul_f64(jitter)).await;
    }
}

/// Returns wanted addresses without a link.
fn choose_addresses(state: &RelayState, book: &SharedBook) -> Vec<net::SocketAddr> {
    let now = state.now();
    let (mut wanted, depth) = {
        let mut members = state.members.borrow_mut();
        members.remove_expired(now);
        (members.desired_links(), members.depth())
    };
    state.submit(dispatch::DispatchEvent::CellDepthChanged(depth));

    let mut book = book.borrow_mut();
    let settings = state.settings.borrow();
    if book.linked.len() < LEAST_LINKS || now >= book.seeds_due {
        book.seeds_due = now + SEED_INTERVAL;
        let seeds = settings.seeds.iter().copied();
        wanted.extend(seeds.filter(|seed| *seed != settings.peers));
    }
    book.wanted = wanted;
    let wanted = book.wanted.iter().copied();
    wanted
        .filter(|address| !book.dialled.contains(address) && !book.linked.contains_key(address))
        .collect()
}

async fn open(address: net::SocketAddr) -> std::io::Result<WebSocketStream<TcpStream>> {
    let stream = client::connect(address).await?;
    let url = format!("ws://{address}/");
    let upgrade = tokio_tungstenite::client_async(url, stream);
    match tokio::time::timeout(LINK_TIMEOUT, upgrade).await {
        Ok(Ok((socket, _))) => Ok(socket),
        Ok(Err(error)) => Err(std::io::Error::other(error)),
        Err(_) => Err(std::io::ErrorKind::TimedOut.into()),
    }
}

/// Sends and takes pulses until the link breaks, falls silent or is not needed any more.
async fn run_link(
    state: &Rc<RelayState>,
    book: &SharedBook,
    socket: WebSocketStream<TcpStream>,
    origin: LinkOrigin,
) {
    let (mut sink, mut stream) = socket.split();
    let (mailbox, mut addressed) = mpsc::unbounded_channel();
    let mut progress = LinkProgress {
        mailbox: Some(mailbox),
        ..LinkProgress::default()
    };
    let mut next_pulse = tokio::time::Instant::now();
    let mut heard_at = state.now();
    let mut news = state.news.subscribe();
    let cause = loop {
        let due = tokio::select! {
            news = news.recv() => match news {
                Ok(news) if news.scope == state::NewsScope::All || progress.is_near => {
                    vec![news.bytes]
                }
                // Where news were left out, the next pulse tells the whole state.
                Ok(_) | Err(_) => continue,
            },
            Some(bytes) = addressed.recv() => vec![bytes],
            message = stream.next() => match message {
                Some(Ok(tungstenite::Message::Binary(bytes))) => {
                    heard_at = state.now();
                    encode(&take(state, book, &mut progress, &bytes))
                }
                Some(Ok(_)) => continue,
                Some(Err(_)) | None => break "closed",
            },
            () = tokio::time::sleep_until(next_pulse) => {
                next_pulse = tokio::time::Instant::now() + pulse_interval(state);
                if state.now().since(heard_at) > LINK_TIMEOUT {
                    break "silent";
                }
                if origin == LinkOrigin::Own && is_unneeded(state, book, &mut progress) {
                    break "not needed";
                }
                let pulse = pulse(state, &mut progress);
                encode(&[messages::PeerMessage::Pulse(Box::new(pulse))])
            }
        };
        match tokio::time::timeout(LINK_TIMEOUT, send_all(&mut sink, due)).await {
            Ok(true) => {}
            Ok(false) | Err(_) => break "not sent",
        }
    };
    // Closes the mailbox, by which the loss of the last link is noticed.
    drop(addressed);
    lose(state, book, &progress, cause);
}

/// Says whether a link that this process opened can go: another one leads to the same process, or
/// that process is not wanted any more.
fn is_unneeded(state: &RelayState, book: &SharedBook, progress: &mut LinkProgress) -> bool {
    let Some(address) = progress.address else {
        return false;
    };
    let book = book.borrow();
    let is_double = book.linked.get(&address).is_some_and(|links| *links > 1)
        // Of two links that were opened at once, the one from the lower address stays.
        && state.settings.borrow().peers > address;
    if is_double {
        return true;
    }
    let now = state.now();
    progress.unneeded_since = match book.wanted.contains(&address) {
        true => None,
        false => Some(progress.unneeded_since.unwrap_or(now)),
    };
    progress
        .unneeded_since
        .is_some_and(|since| now.since(since) >= UNNEEDED_TIME)
}

/// Returns the time between pulses: with more links each carries fewer, so that the bytes of all
/// stay bounded. Placements and departures are told at once anyway.
fn pulse_interval(state: &RelayState) -> Duration {
    let times = (state.processes() / PULSE_PROCESSES).clamp(1, MOST_PULSE_TIMES);
    PULSE_INTERVAL * u32::try_from(times).unwrap_or(1)
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

fn encode(messages: &[messages::PeerMessage]) -> Vec<bytes::Bytes> {
    let encoded = messages.iter().map(codec::encode);
    encoded
        .filter_map(|bytes| match bytes {
            Ok(bytes) => Some(bytes.into()),
            Err(error) => {
                log::error!("a message to a peer can't be written: {error}");
                None
            }
        })
        .collect()
}

fn lose(state: &RelayState, book: &SharedBook, progress: &LinkProgress, cause: &str) {
    if let Some(address) = progress.address {
        let mut book = book.borrow_mut();
        if let Some(links) = book.linked.get_mut(&address) {
            *links -= 1;
            if *links == 0 {
                book.linked.remove(&address);
            }
        }
    }
    let Some(vm) = &progress.vm else {
        return;
    };
    let mut peers = state.peers.borrow_mut();
    let Some(links) = peers.get_mut(vm) else {
        return;
    };
    links.retain(|link| !link.is_closed());
    if !links.is_empty() {
        return;
    }
    peers.remove(vm);
    drop(peers);
    let record = telemetry::DecisionRecord::new(telemetry::RecordKind::PeerLost)
        .target_text(vm.as_str())
        .outcome(cause);
    state.record(&record);
    state.forget_peer(vm);
}

/// Takes a message; returns what is to be sent back.
fn take(
    state: &RelayState,
    book: &SharedBook,
    progress: &mut LinkProgress,
    bytes: &[u8],
) -> Vec<messages::PeerMessage> {
    let message = match codec::decode::<messages::PeerMessage>(bytes) {
        Ok(message) => message,
        Err(error) => {
            log::warn!("a peer sent what is no message: {error}");
            return Vec::new();
        }
    };
    match message {
        messages::PeerMessage::Pulse(pulse) => {
            return take_pulse(state, book, progress, *pulse);
        }
        messages::PeerMessage::Wanted(known) => return newer_than(state, known),
        messages::PeerMessage::Loads { vm, loads } => {
            state.submit(dispatch::DispatchEvent::PeerLoadsUpdated { peer: vm, loads });
        }
        messages::PeerMessage::Claim { vm, message } => {
            state.submit(dispatch::DispatchEvent::ReservationReceived { peer: vm, message });
        }
        messages::PeerMessage::Departures(departures) => {
            let changes = state.targets.borrow_mut().apply_departures(&departures);
            shell_directory::apply(state, changes, shell_directory::PEER_SOURCE);
        }
        messages::PeerMessage::Routes(text) => match (state.decode_routes)(&text) {
            Some(table) => {
                shell_directory::take_routes(
                    state,
                    Rc::new(table),
                    text.into(),
                    shell_directory::PEER_SOURCE,
                );
            }
            None => log::warn!("a peer sent routes that can't be read"),
        },
        messages::PeerMessage::Targets(difference) => {
            let now = state.now();
            let changes = state.targets.borrow_mut().apply_delta(now, difference);
            shell_directory::apply(state, changes, shell_directory::PEER_SOURCE);
        }
    }
    Vec::new()
}

fn take_pulse(
    state: &RelayState,
    book: &SharedBook,
    progress: &mut LinkProgress,
    pulse: messages::PeerPulse,
) -> Vec<messages::PeerMessage> {
    let now = state.now();
    let is_first = progress.vm.is_none();
    if is_first {
        meet(state, book, progress, &pulse);
    }
    {
        let mut members = state.members.borrow_mut();
        members.record_received(pulse.address, now);
        for hint in pulse.members.iter().take(MOST_HINTS) {
            members.record_hint(now, *hint);
        }
        progress.is_near = members.is_same_cell(pulse.address);
    }
    let changes = state
        .targets
        .borrow_mut()
        .apply_departures(&pulse.departures);
    shell_directory::apply(state, changes, shell_directory::PEER_SOURCE);
    state.dispatcher(|dispatcher, now| {
        for suspect in &pulse.suspects {
            dispatcher.merge_suspect(now, suspect);
        }
        for record in &pulse.refused {
            dispatcher.merge_refused_request(now, record);
        }
    });
    state.take_repeat_counts(&pulse.vm, &pulse.repeats);
    // Only peers of the cell tell their load, and decide on claims.
    let peer = pulse.vm;
    state.submit(match progress.is_near {
        true => dispatch::DispatchEvent::PeerLoadsReplaced {
            peer,
            loads: pulse.loads,
        },
        false => dispatch::DispatchEvent::PeerLost { peer },
    });

    let own = state.known();
    let mut replies = Vec::new();
    if state
        .catch_up
        .borrow_mut()
        .should_request(now, own, pulse.known)
    {
        replies.push(messages::PeerMessage::Wanted(own));
    }
    if is_first && progress.is_near {
        // The pulse before told no loads, as it was not known to whom.
        let pulse = self::pulse(state, progress);
        replies.push(messages::PeerMessage::Pulse(Box::new(pulse)));
    }
    replies
}

fn meet(
    state: &RelayState,
    book: &SharedBook,
    progress: &mut LinkProgress,
    pulse: &messages::PeerPulse,
) {
    progress.vm = Some(pulse.vm.clone());
    progress.address = Some(pulse.address);
    *book.borrow_mut().linked.entry(pulse.address).or_default() += 1;
    let mut peers = state.peers.borrow_mut();
    let links = peers.entry(pulse.vm.clone()).or_default();
    links.extend(progress.mailbox.take());
    if links.len() == 1 {
        let record = telemetry::DecisionRecord::new(telemetry::RecordKind::PeerLinked)
            .target_text(pulse.vm.as_str())
            .version(pulse.known.routes.get());
        state.record(&record);
    }
}

/// Returns what this process knows and a peer that knows `known` lacks.
fn newer_than(state: &RelayState, known: membership::KnownVersions) -> Vec<messages::PeerMessage> {
    let mut messages = Vec::new();
    if let Some(routes) = state.routes()
        && routes.table.version() > known.routes
    {
        messages.push(messages::PeerMessage::Routes(routes.text.to_vec()));
    }
    let targets = state.targets.borrow();
    if targets.revision() > known.directory {
        let difference = targets.delta_since(known.directory);
        messages.push(messages::PeerMessage::Targets(difference));
    }
    messages
}

fn pulse(state: &RelayState, progress: &mut LinkProgress) -> messages::PeerPulse {
    let now = state.now();
    let settings = state.settings.borrow();
    let targets = state.targets.borrow();
    let departures = targets.departures_after(progress.departures_told);
    let departures = departures.take(MOST_DEPARTURES).collect();
    progress.departures_told = targets.departure_count();
    let loads = match progress.is_near {
        true => state.dispatcher(|dispatcher, now| dispatcher.loads(now)),
        false => Vec::new(),
    };
    let (refused, refused_told) = state.dispatcher(|dispatcher, now| {
        dispatcher.refused_requests_after(now, progress.refused_told)
    });
    progress.refused_told = refused_told;
    messages::PeerPulse {
        vm: settings.vm.clone(),
        address: settings.peers,
        members: state
            .members
            .borrow()
            .sample_hints(now, &mut rand::rng(), MOST_HINTS),
        known: state.known(),
        loads,
        departures,
        refused,
        repeats: state.repeat_counts(),
        suspects: state.dispatcher(|dispatcher, now| dispatcher.suspects(now)),
    }
}
