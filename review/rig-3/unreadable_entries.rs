//! Another writer puts large entries that can't be read among those of the servers.

use std::collections::BTreeMap;
use std::io;
use std::io::BufReader;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::path::Path;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use crate::Verdict;
use crate::http;
use crate::record::Record;
use crate::relay;
use crate::relay::Relay;
use crate::servers::Ledger;
use crate::servers::Server;
use crate::store::Store;

const CONFIG: &str = r#"{"version":7,"routes":[{"name":"r-book","host":"a.example","pathPrefix":"/book/","routeKind":"non_idempotent","timeoutMs":1500,"targetLatencyMs":300,"priority":1,"service":"booking","maxAttempts":1,"anonymous":false}],"services":[{"name":"booking","healthPath":"/healthz","maxConnections":96,"protocol":"h1","tlsEnabled":false}],"limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000},"tenants":[{"name":"t1","apiKeys":["key-1"],"priority":1}]}"#;

const RELAYS: usize = 4;
const SERVERS: usize = 5;
const CALLERS_PER_RELAY: usize = 8;

/// More requests than this that end without an answer at one relay break the rule.
const MAX_LOST: usize = 3;

/// `memoryMb` of the settings, beyond which the platform kills a process, and starts it again a short
/// time later.
const MEMORY_BYTES: u64 = 110 * 1_024 * 1_024;
const MEMORY_CHECK_INTERVAL: Duration = Duration::from_millis(2);
const RESTART_DELAY: Duration = Duration::from_millis(500);

/// The entries of the other writer. Each is within `maxValueBytes`, 1,048,576.
const ENTRIES: usize = 90;
const ENTRY_BYTES: usize = 1_000_000;
const ENTRY_INTERVAL: Duration = Duration::from_millis(10);

const CALL_INTERVAL: Duration = Duration::from_millis(20);
/// Time between the first requests of two callers, so that they are not all answered at once.
const CALLER_OFFSET: Duration = Duration::from_millis(27);
const TIME_BEFORE: Duration = Duration::from_secs(3);
const TIME_AFTER: Duration = Duration::from_secs(15);

/// What became of the requests.
#[derive(Default)]
struct Outcomes {
    /// Number of answers by status.
    statuses: BTreeMap<u16, usize>,
    /// When the last request was served.
    served_at: Option<Instant>,
    /// Requests on kept channels that closed without an answer, with the number of their relay.
    closed: Vec<(usize, String)>,
}

/// What one relay went through.
#[derive(Default)]
struct Fate {
    peak_bytes: u64,
    kills: usize,
}

/// Returns bytes that are no JSON, as of a compressed file.
fn unreadable_text() -> String {
    let mut state: u64 = 0x9e37_79b9_7f4a_7c15;
    let bytes = (0..ENTRY_BYTES).map(|_| {
        state ^= state << 13;
        state ^= state >> 7;
        state ^= state << 17;
        char::from((state % 128) as u8)
    });
    bytes.collect()
}

/// One caller of a relay.
struct Caller<'a> {
    relay: usize,
    address: SocketAddr,
    number: usize,
    outcomes: &'a Mutex<Outcomes>,
    is_over: &'a AtomicBool,
}

impl Caller<'_> {
    /// Sends bookings on one channel as long as it lasts, and then on the next one.
    fn run(self) {
        let mut requests = 0;
        while !self.is_over.load(Ordering::SeqCst) {
            let _ = self.book_on_channel(&mut requests);
            thread::sleep(CALL_INTERVAL);
        }
    }

    fn book_on_channel(&self, requests: &mut usize) -> io::Result<()> {
        let mut stream = TcpStream::connect_timeout(&self.address, Duration::from_secs(1))?;
        stream.set_nodelay(true)?;
        stream.set_read_timeout(Some(Duration::from_millis(1_500)))?;
        let mut reader = BufReader::new(stream.try_clone()?);
        let mut is_kept = false;
        while !self.is_over.load(Ordering::SeqCst) {
            *requests += 1;
            let id = format!("r{}c{}-{requests}", self.relay + 1, self.number);
            let request = format!(
                "POST /book/1 HTTP/1.1\r\nHost: a.example\r\nAttempt-Id: {id}\r\nDeadline-Ms: 1500\r\nApi-Key: key-1\r\nContent-Length: 4\r\n\r\nbody"
            );
            stream.write_all(request.as_bytes())?;
            match http::read_response(&mut reader) {
                Ok(response) => {
                    let mut outcomes = self.outcomes.lock().unwrap();
                    *outcomes.statuses.entry(response.status).or_default() += 1;
                    if response.status == 200 {
                        outcomes.served_at = Some(Instant::now());
                    }
                }
                // The caller's time is over, but its channel is open.
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => return Err(error),
                Err(error) => {
                    if is_kept {
                        let closed = (self.relay, id);
                        self.outcomes.lock().unwrap().closed.push(closed);
                    }
                    return Err(error);
                }
            }
            is_kept = true;
            thread::sleep(CALL_INTERVAL);
        }
        Ok(())
    }
}

/// Kills a relay whenever it exceeds its memory, as the platform does, and starts it again. Returns the
/// running relay, as callers may still wait for its answers.
fn limit_memory(
    mut relay: Relay,
    start: impl Fn() -> Relay,
    record: &Record,
    is_over: &AtomicBool,
) -> (Relay, Fate) {
    let mut fate = Fate::default();
    while !is_over.load(Ordering::SeqCst) {
        let bytes = relay.resident_bytes();
        fate.peak_bytes = fate.peak_bytes.max(bytes);
        if bytes > MEMORY_BYTES {
            let name = relay.name.clone();
            drop(relay);
            fate.kills += 1;
            record.write(&format!("{name} has {bytes} bytes and is killed"));
            thread::sleep(RESTART_DELAY);
            relay = start();
        }
        thread::sleep(MEMORY_CHECK_INTERVAL);
    }
    (relay, fate)
}

pub fn play(record: &Record, scratch: &Path, has_trouble: bool) -> Verdict {
    let store = Store::start();
    store.write("op/config", CONFIG, None);
    let ledger = Arc::<Ledger>::default();
    for number in 0..SERVERS {
        let id = format!("i-{number}");
        Server::start(&id, "booking", false, true, &ledger, &store);
    }
    let addresses = relay::free_addresses(RELAYS as u8);
    let start = |index| Relay::start(scratch, &addresses, index, store.address);
    let relays: Vec<_> = (0..RELAYS).map(start).collect();
    let mut started = relays.iter();
    if !started.all(|relay| relay.wait_until_ready(Duration::from_secs(10))) {
        record.write("the relays did not become ready");
        return Verdict::NotRun;
    }
    thread::sleep(Duration::from_secs(2));

    let outcomes = Mutex::<Outcomes>::default();
    let is_over = AtomicBool::new(false);
    let (outcomes_seen, ending) = (&outcomes, &is_over);
    let fates = thread::scope(|scope| {
        let mut limits = Vec::new();
        for (index, relay) in relays.into_iter().enumerate() {
            let address = relay.callers;
            for number in 0..CALLERS_PER_RELAY {
                let caller = Caller {
                    relay: index,
                    address,
                    number,
                    outcomes: outcomes_seen,
                    is_over: ending,
                };
                scope.spawn(move || caller.run());
                thread::sleep(CALLER_OFFSET);
            }
            let start = move || start(index);
            limits.push(scope.spawn(move || limit_memory(relay, start, record, ending)));
        }
        thread::sleep(TIME_BEFORE);
        if has_trouble {
            let text = unreadable_text();
            let began = Instant::now();
            for number in 0..ENTRIES {
                store.write(&format!("servers/snapshot-{number:03}"), &text, None);
                thread::sleep(ENTRY_INTERVAL);
            }
            record.write(&format!(
                "another writer has put {ENTRIES} entries of {ENTRY_BYTES} bytes under servers/ in {} ms",
                began.elapsed().as_millis()
            ));
        }
        thread::sleep(TIME_AFTER);
        is_over.store(true, Ordering::SeqCst);
        let fates = limits.into_iter().map(thread::ScopedJoinHandle::join);
        fates.collect::<Result<Vec<_>, _>>().expect("no panic")
    });

    for (index, (_, fate)) in fates.iter().enumerate() {
        record.write(&format!(
            "relay {}: at most {} bytes, killed {} times",
            index + 1,
            fate.peak_bytes,
            fate.kills
        ));
    }
    let outcomes = outcomes.into_inner().unwrap();
    record.write(&format!(
        "answers by status: {:?}; the last 200 at {:.3} s",
        outcomes.statuses,
        outcomes.served_at.map_or(0.0, |at| record.seconds(at))
    ));
    let runs = ledger.runs();
    let mut lost = [0; RELAYS];
    for (index, id) in &outcomes.closed {
        if let Some(run) = runs.iter().find(|run| run.request == *id) {
            lost[*index] += 1;
            record.write(&format!(
                "LOST: {id} ran at {} at {:.3} s; its kept channel to relay {} closed without an answer",
                run.server,
                record.seconds(run.began),
                index + 1
            ));
        }
    }
    record.write(&format!(
        "requests of kept channels that were passed on and not answered, by relay: {lost:?}; {MAX_LOST} are allowed"
    ));
    match lost.iter().max() {
        Some(most) if *most > MAX_LOST => Verdict::Broken,
        _ if outcomes.statuses.contains_key(&200) => Verdict::Held,
        _ => Verdict::NotRun,
    }
}
