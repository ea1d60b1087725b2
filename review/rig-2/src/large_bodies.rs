//! Callers who send large bodies in chunks at the same time use up the memory of a machine.

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

use crate::Outcome;
use crate::config;
use crate::engine;
use crate::http;
use crate::record::Record;
use crate::relay;
use crate::store;

/// Machines of the system. The rule counts from two on.
const MACHINES: usize = 2;

/// Ends of its processes from which on a machine counts.
const MAX_ENDS: usize = 3;

/// Bursts on each machine.
const BURSTS: usize = 3;

/// Callers who come at once to one machine: in the time that their bodies take, 1.7 times the usual
/// traffic of a machine.
const CALLERS: usize = 16;

/// Size of a body: the limit of the configuration.
const BODY_BYTES: usize = 4 * 1024 * 1024;

/// Size of one chunk, and the time between two of them: all callers of a machine together stay
/// below the rate of its link.
const CHUNK_BYTES: usize = 64 * 1024;
const CHUNK_INTERVAL: Duration = Duration::from_millis(10);

/// Memory of a machine's process, in MB as the settings state it, and in kB.
const MEMORY_MB: u64 = 110;
const MEMORY_KB: u64 = MEMORY_MB * 1_024;

/// Delay after which the platform starts a process again.
const RESTART_DELAY: Duration = Duration::from_millis(500);

/// Sends one request with a body in chunks, and notes how it ends.
fn call(record: &Record, address: SocketAddr, id: &str) {
    let mut is_sent = false;
    let response = send(address, id, &mut is_sent).unwrap_or_default();
    let end = match response.status() {
        0 => "no answer".to_owned(),
        status => status.to_string(),
    };
    record.note(format!(
        "caller of {id}: {end}; its request was sent {}",
        if is_sent { "to its end" } else { "in part" }
    ));
}

fn send(address: SocketAddr, id: &str, is_sent: &mut bool) -> io::Result<http::Message> {
    let mut stream = TcpStream::connect(address)?;
    stream.set_read_timeout(Some(Duration::from_secs(6)))?;
    stream.set_write_timeout(Some(Duration::from_secs(6)))?;
    let head = format!(
        "POST /order/2f HTTP/1.1\r\nHost: ficu95.example\r\nAttempt-Id: {id}\r\n\
        Deadline-Ms: 5000\r\nApi-Key: key-a\r\nTransfer-Encoding: chunked\r\n\r\n"
    );
    stream.write_all(head.as_bytes())?;
    let chunk = vec![b'x'; CHUNK_BYTES];
    for _ in 0..BODY_BYTES / CHUNK_BYTES {
        stream.write_all(format!("{CHUNK_BYTES:x}\r\n").as_bytes())?;
        stream.write_all(&chunk)?;
        stream.write_all(b"\r\n")?;
        thread::sleep(CHUNK_INTERVAL);
    }
    stream.write_all(b"0\r\n\r\n")?;
    *is_sent = true;
    Ok(http::read_response(&mut BufReader::new(stream)))
}

/// What the platform saw of one machine.
#[derive(Default)]
struct Machine {
    ends: usize,
    peak_kb: u64,
}

/// Watches a process as the platform does: ends it when it exceeds its memory, and starts it again.
fn watch(
    record: &Record,
    mut relay: relay::Relay,
    machine: &Mutex<Machine>,
    is_over: &AtomicBool,
) -> io::Result<()> {
    while !is_over.load(Ordering::Relaxed) {
        let resident_kb = relay.resident_kb();
        let has_ended = relay.has_ended();
        let is_exceeded = resident_kb.is_some_and(|kb| kb > MEMORY_KB);
        let mut seen = machine.lock().unwrap();
        seen.peak_kb = seen.peak_kb.max(resident_kb.unwrap_or_default());
        if is_exceeded || has_ended {
            seen.ends += 1;
            record.note(format!(
                "platform: {} uses {} kB of {MEMORY_KB} and is ended, for the {}. time",
                relay.name,
                resident_kb.unwrap_or_default(),
                seen.ends
            ));
            drop(seen);
            relay.kill();
            thread::sleep(RESTART_DELAY);
            relay.start()?;
        } else {
            drop(seen);
        }
        thread::sleep(Duration::from_millis(1));
    }
    Ok(())
}

pub fn run(record: &Record, folder: &Path, has_trouble: bool) -> io::Result<Outcome> {
    let store = store::Store::start()?;
    store.put("op/config", &config::text(7, "\"key-a\""));
    let servers = engine::Servers::new(record, &store);
    for id in ["d-one", "d-two", "d-three"] {
        let options = engine::ServerOptions {
            service: "desk",
            slots: 6,
            default_plan: engine::Plan {
                first_ms: 0,
                events: 0,
                event_ms: 60,
                is_lost: false,
            },
            finishes: false,
        };
        servers.start(id, options)?;
    }
    let deployment = relay::Deployment {
        memory_mb: MEMORY_MB,
        contact_ms: 3_000,
        drain_timeout_ms: 2_000,
        retry_allowance: 52,
    };
    let mut relays = relay::Relay::prepare(folder, MACHINES, store.address, deployment)?;
    for relay in &mut relays {
        relay.start()?;
    }
    thread::sleep(Duration::from_secs(1));
    let addresses: Vec<_> = relays.iter().map(|relay| relay.caller_address).collect();
    let machines: Vec<_> = relays
        .iter()
        .map(|_| Arc::new(Mutex::new(Machine::default())))
        .collect();
    let is_over = Arc::new(AtomicBool::new(false));
    let watchers: Vec<_> = relays
        .into_iter()
        .zip(&machines)
        .map(|(relay, machine)| {
            let (record, machine, is_over) = (record.clone(), machine.clone(), is_over.clone());
            thread::spawn(move || watch(&record, relay, &machine, &is_over))
        })
        .collect();

    for burst in 0..BURSTS {
        record.note(format!("burst {burst}: {CALLERS} callers for each machine"));
        let callers = addresses.iter().enumerate().flat_map(|(machine, address)| {
            let (record, address) = (record.clone(), *address);
            let call_one = move |caller: usize| {
                call(
                    &record,
                    address,
                    &format!("order-{burst}-{machine}-{caller}"),
                );
            };
            match has_trouble {
                // All at once.
                true => (0..CALLERS)
                    .map(|caller| {
                        let call_one = call_one.clone();
                        thread::spawn(move || call_one(caller))
                    })
                    .collect::<Vec<_>>(),
                // One after the other.
                false => vec![thread::spawn(move || (0..CALLERS).for_each(call_one))],
            }
        });
        let callers: Vec<_> = callers.collect();
        for caller in callers {
            let _ = caller.join();
        }
        thread::sleep(Duration::from_secs(3));
    }
    is_over.store(true, Ordering::Relaxed);
    for watcher in watchers {
        let watched = watcher.join();
        watched.map_err(|_| io::Error::other("a watcher panicked"))??;
    }
    let mut counted = 0;
    for (number, machine) in machines.iter().enumerate() {
        let machine = machine.lock().unwrap();
        record.note(format!(
            "machine {}: {} ends, at most {} kB",
            number + 1,
            machine.ends,
            machine.peak_kb
        ));
        counted += usize::from(machine.ends >= MAX_ENDS);
    }
    match counted >= MACHINES {
        true => Ok(Outcome::Broken),
        false => Ok(Outcome::Held),
    }
}
