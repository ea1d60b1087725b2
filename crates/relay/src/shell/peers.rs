//! Links to other processes of the same kind.
//!
//! Each link carries pulses both ways: what the sender has at each target, which targets it knows
//! to leave, and how new its knowledge is. A peer that falls behind, because the platform's
//! directory does not answer it, is handed the routes and the targets.

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
use tokio::task;
use tokio_tungstenite::WebSocketStream;
use tokio_tungstenite::tungstenite;

use super::client;
use super::directory as shell_directory;
use super::messages;
use super::state::RelayState;
use crate::directory;
use crate::dispatch;
use crate::telemetry;

/// Shortest time between pulses on a link.
const PULSE_INTERVAL: Duration = Duration::from_millis(200);

/// Processes among which pulses go at the shortest interval.
const PULSE_PROCESSES: usize = 8;

/// Longest interval, in multiples of the shortest.
const MOST_PULSE_TIMES: usize = 4;

/// Silence after which a link is closed: three pulses at the longest interval.
const LINK_TIMEOUT: Duration = Duration::from_millis(2_400);

/// Time between attempts to link to a known address.
const DIAL_INTERVAL: Duration = Duration::from_millis(700);

/// Most links that a process opens; with more peers it hears of a sample of their load.
const MOST_DIALLED: usize = 40;

/// Most addresses that a pulse names.
const MOST_MEMBERS: usize = 24;

/// Most lives of targets that a pulse names as leaving: those of some ten seconds.
const MOST_DEPARTURES: usize = 32;

/// Time for which a peer may be behind before it is handed what it lacks; until then it most
/// likely reads the directory itself.
const CATCH_UP_AFTER: Duration = Duration::from_millis(400);

/// Pulses after which an address that nobody answers at is forgotten, unless it is a seed.
const FORGET_FAILURES: u32 = 20;

/// Addresses at which peers may be.
#[derive(Debug, Default)]
struct AddressBook {
    failures: BTreeMap<net::SocketAddr, u32>,
    linked: BTreeMap<net::SocketAddr, usize>,
    dialled: BTreeSet<net::SocketAddr>,
}

type SharedBook = Rc<std::cell::RefCell<AddressBook>>;

/// Since when the other end of a link is behind, and what it was handed.
#[derive(Debug, Default)]
struct LinkProgress {
    vm: Option<ids::VmName>,
    address: Option<net::SocketAddr>,
    routes_behind: Option<time::Timestamp>,
    targets_behind: Option<time::Timestamp>,
    routes_given: directory::TableVersion,
    targets_given: directory::DirectoryRevision,
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
                Ok(Ok(socket)) => run_link(&state, &book, socket).await,
                Ok(Err(error)) => log::debug!("a peer's link was not opened: {error}"),
                Err(_) => log::debug!("a peer's link was not opened in time"),
            }
        });
    }
}

async fn dial(state: Rc<RelayState>, book: SharedBook) {
    let own = state.settings.borrow().peers;
    loop {
        let seeds = state.settings.borrow().seeds.clone();
        for address in choose_addresses(&book, &seeds, own) {
            book.borrow_mut().dialled.insert(address);
            let state = Rc::clone(&state);
            let book = Rc::clone(&book);
            task::spawn_local(async move {
                match open(address).await {
                    Ok(socket) => {
                        book.borrow_mut().failures.insert(address, 0);
                        run_link(&state, &book, socket).await;
                    }
                    Err(error) => {
                        log::debug!("no link to {address}: {error}");
                        let mut book = book.borrow_mut();
                        *book.failures.entry(address).or_default() += 1;
                    }
                }
                book.borrow_mut().dialled.remove(&address);
            });
        }
        // Jitter keeps processes that start together from dialling together.
        let jitter = rand::rng().random_range(0.7..1.3);
        tokio::time::sleep(DIAL_INTERVAL.mul_f64(jitter)).await;
    }
}

/// Returns addresses to link to: seeds and members without a link.
fn choose_addresses(
    book: &SharedBook,
    seeds: &[net::SocketAddr],
    own: net::SocketAddr,
) -> Vec<net::SocketAddr> {
    let mut book = book.borrow_mut();
    for seed in seeds {
        book.failures.entry(*seed).or_default();
    }
    book.failures
        .retain(|address, failures| *failures < FORGET_FAILURES || seeds.contains(address));
    let free = MOST_DIALLED.saturating_sub(book.dialled.len());
    book.failures
        .keys()
        .filter(|address| {
            **address != own
                && !book.dialled.contains(*address)
                && !book.linked.contains_key(*address)
        })
        .take(free)
        .copied()
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

/// Sends and takes pulses until the link breaks or falls silent.
async fn run_link(state: &Rc<RelayState>, book: &SharedBook, socket: WebSocketStream<TcpStream>) {
    let (mut sink, mut stream) = socket.split();
    let mut progress = LinkProgress::default();
    let mut next_pulse = tokio::time::Instant::now();
    let mut heard_at = state.now();
    let mut news = state.news.subscribe();
    let cause = loop {
        tokio::select! {
            bytes = news.recv() => {
                // Where news were left out, the next pulse tells the whole state.
                let Ok(bytes) = bytes else {
                    continue;
                };
                let sent = sink.send(tungstenite::Message::Binary(bytes));
                match tokio::time::timeout(LINK_TIMEOUT, sent).await {
                    Ok(Ok(())) => {}
                    Ok(Err(_)) | Err(_) => break "not sent",
                }
            }
            message = stream.next() => match message {
                Some(Ok(tungstenite::Message::Binary(bytes))) => {
                    heard_at = state.now();
                    take(state, book, &mut progress, &bytes);
                }
                Some(Ok(_)) => {}
                Some(Err(_)) | None => break "closed",
            },
            () = tokio::time::sleep_until(next_pulse) => {
                next_pulse = tokio::time::Instant::now() + pulse_interval(state);
                if state.now().since(heard_at) > LINK_TIMEOUT {
                    break "silent";
                }
                let messages = due_messages(state, book, &mut progress);
                let sent = send_all(&mut sink, messages);
                match tokio::time::timeout(LINK_TIMEOUT, sent).await {
                    Ok(true) => {}
                    Ok(false) | Err(_) => break "not sent",
                }
            }
        }
    };
    lose(state, book, &progress, cause);
}

/// Returns the time between pulses: with more links each carries fewer, so that the bytes of all
/// stay bounded. Placements and departures are told at once anyway.
fn pulse_interval(state: &RelayState) -> Duration {
    let times = (state.processes() / PULSE_PROCESSES).clamp(1, MOST_PULSE_TIMES);
    PULSE_INTERVAL * u32::try_from(times).unwrap_or(1)
}

async fn send_all<S>(sink: &mut S, messages: Vec<Vec<u8>>) -> bool
where
    S: SinkExt<tungstenite::Message> + Unpin,
{
    for bytes in messages {
        let message = tungstenite::Message::Binary(bytes.into());
        if sink.send(message).await.is_err() {
            return false;
        }
    }
    true
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
    *links -= 1;
    if *links > 0 {
        return;
    }
    peers.remove(vm);
    drop(peers);
    let record = telemetry::DecisionRecord::new(telemetry::RecordKind::PeerLost)
        .target_text(vm.as_str())
        .outcome(cause);
    state.record(&record);
    state.submit(dispatch::DispatchEvent::PeerLost { peer: vm.clone() });
}

fn take(state: &RelayState, book: &SharedBook, progress: &mut LinkProgress, bytes: &[u8]) {
    let message = match codec::decode::<messages::PeerMessage>(bytes) {
        Ok(message) => message,
        Err(error) => {
            log::warn!("a peer sent what is no message: {error}");
            return;
        }
    };
    match message {
        messages::PeerMessage::Pulse(pulse) => take_pulse(state, book, progress, *pulse),
        messages::PeerMessage::Loads { vm, loads } => {
            state.submit(dispatch::DispatchEvent::PeerChanged { peer: vm, loads });
        }
        messages::PeerMessage::Departures(departures) => {
            let changes = state.targets.borrow_mut().depart(&departures);
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
        messages::PeerMessage::Targets { revision, targets } => {
            let changes = state
                .targets
                .borrow_mut()
                .list(state.now(), revision, targets);
            shell_directory::apply(state, changes, shell_directory::PEER_SOURCE);
        }
    }
}

fn take_pulse(
    state: &RelayState,
    book: &SharedBook,
    progress: &mut LinkProgress,
    pulse: messages::PeerPulse,
) {
    if progress.vm.is_none() {
        meet(state, book, progress, &pulse);
    }
    let now = state.now();
    let is_behind = pulse.routes < state.routes_version();
    progress.routes_behind = behind_since(progress.routes_behind, is_behind, now);
    let is_behind = pulse.directory < state.targets.borrow().revision();
    progress.targets_behind = behind_since(progress.targets_behind, is_behind, now);

    {
        let mut book = book.borrow_mut();
        for address in pulse.members.iter().take(MOST_MEMBERS) {
            book.failures.entry(*address).or_default();
        }
    }
    let changes = state.targets.borrow_mut().depart(&pulse.departures);
    shell_directory::apply(state, changes, shell_directory::PEER_SOURCE);
    state.dispatcher(|dispatcher, now| {
        for suspect in &pulse.suspects {
            dispatcher.merge_suspect(now, suspect);
        }
    });
    state.submit(dispatch::DispatchEvent::PeerLoads {
        peer: pulse.vm,
        loads: pulse.loads,
    });
}

fn meet(
    state: &RelayState,
    book: &SharedBook,
    progress: &mut LinkProgress,
    pulse: &messages::PeerPulse,
) {
    progress.vm = Some(pulse.vm.clone());
    progress.address = Some(pulse.address);
    let mut book = book.borrow_mut();
    *book.linked.entry(pulse.address).or_default() += 1;
    book.failures.insert(pulse.address, 0);
    let mut peers = state.peers.borrow_mut();
    let links = peers.entry(pulse.vm.clone()).or_default();
    *links += 1;
    if *links == 1 {
        let record = telemetry::DecisionRecord::new(telemetry::RecordKind::PeerSeen)
            .target_text(pulse.vm.as_str())
            .version(pulse.routes.get());
        state.record(&record);
    }
}

fn behind_since(
    since: Option<time::Timestamp>,
    is_behind: bool,
    now: time::Timestamp,
) -> Option<time::Timestamp> {
    match is_behind {
        true => Some(since.unwrap_or(now)),
        false => None,
    }
}

/// Returns the pulse, and what the other end has lacked for too long.
fn due_messages(
    state: &RelayState,
    book: &SharedBook,
    progress: &mut LinkProgress,
) -> Vec<Vec<u8>> {
    let mut messages = vec![messages::PeerMessage::Pulse(Box::new(pulse(state, book)))];
    let now = state.now();
    let is_due = |since: Option<time::Timestamp>| {
        since.is_some_and(|since| now.since(since) >= CATCH_UP_AFTER)
    };
    if is_due(progress.routes_behind)
        && let Some(routes) = state.routes()
        && routes.table.version() > progress.routes_given
    {
        progress.routes_given = routes.table.version();
        messages.push(messages::PeerMessage::Routes(routes.text.to_vec()));
    }
    let targets = state.targets.borrow();
    if is_due(progress.targets_behind) && targets.revision() > progress.targets_given {
        progress.targets_given = targets.revision();
        messages.push(messages::PeerMessage::Targets {
            revision: targets.revision(),
            targets: targets.records().map(|record| (**record).clone()).collect(),
        });
    }

    let encoded = messages.iter().map(codec::encode);
    encoded
        .filter_map(|bytes| match bytes {
            Ok(bytes) => Some(bytes),
            Err(error) => {
                log::error!("a message to a peer can't be written: {error}");
                None
            }
        })
        .collect()
}

fn pulse(state: &RelayState, book: &SharedBook) -> messages::PeerPulse {
    let settings = state.settings.borrow();
    let targets = state.targets.borrow();
    let departures = targets
        .departures()
        .take(MOST_DEPARTURES)
        .map(|(key, departure)| (key.clone(), departure))
        .collect();
    let (loads, suspects) =
        state.dispatcher(|dispatcher, now| (dispatcher.loads(now), dispatcher.suspects(now)));
    messages::PeerPulse {
        vm: settings.vm.clone(),
        address: settings.peers,
        members: book
            .borrow()
            .linked
            .keys()
            .take(MOST_MEMBERS)
            .copied()
            .collect(),
        routes: state.routes_version(),
        directory: targets.revision(),
        loads,
        departures,
        suspects,
    }
}
