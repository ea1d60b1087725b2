//! After a disturbance of the store, all machines serve a key that was taken away for seconds.
//!
//! A store that is silent for a moment loses the watches of the configuration that all machines send
//! then. One that comes back from a copy has given out again the revisions from which they watch.

use std::io;
use std::path::Path;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use crate::Outcome;
use crate::client;
use crate::config;
use crate::engine;
use crate::record::Record;
use crate::relay;
use crate::store;

/// Machines of the system.
const MACHINES: usize = 12;

/// Time in which the machines find each other.
const SETTLING_TIME: Duration = Duration::from_secs(12);

/// Time for which the store is silent.
const SILENCE: Duration = Duration::from_millis(1_500);

/// The same before it comes back from a copy.
const DRILL_SILENCE: Duration = Duration::from_millis(1_000);

/// Longest time from a change of the configuration until the store is silent. It is silent as soon as
/// all machines have read the change, while they wait before their next watch.
const MAX_SILENCE_DELAY: Duration = Duration::from_millis(100);

/// Time from that change to a drill, in which all machines have sent their next watch.
const DRILL_DELAY: Duration = Duration::from_millis(2_500);

/// Age of the copy at that change.
const COPY_DELAY: Duration = Duration::from_millis(300);

/// Bounds of the deployment.
const CONTACT: Duration = Duration::from_millis(4_000);
const CONFIG_APPLY: Duration = Duration::from_millis(3_000);

/// Time for which requests with the key are sent after the bounds have passed.
const TEST_TIME: Duration = Duration::from_secs(8);

fn request(id: &str, key: &'static str) -> client::Request {
    client::Request {
        method: "GET",
        path: "/status/2f".into(),
        id: id.into(),
        deadline_ms: 1_500,
        key,
        headers: String::new(),
        body: Vec::new(),
    }
}

/// What happens to the store between two changes of the configuration.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Disturbance {
    Silence,
    Drill,
}

pub fn run_silence(record: &Record, folder: &Path, has_trouble: bool) -> io::Result<Outcome> {
    run(record, folder, has_trouble, Disturbance::Silence)
}

pub fn run_drill(record: &Record, folder: &Path, has_trouble: bool) -> io::Result<Outcome> {
    run(record, folder, has_trouble, Disturbance::Drill)
}

/// Changes the configuration, and then again without a key, with a disturbance in between.
fn disturb(record: &Record, store: &store::Store, disturbance: Option<Disturbance>) {
    let is_drill = disturbance == Some(Disturbance::Drill);
    let first = config::text(9, "\"key-a\",\"key-b\"");
    let copy = store.copy();
    if is_drill {
        record.note("the store keeps a copy of itself");
        thread::sleep(COPY_DELAY);
    }
    store.put("op/config", &first);
    record.note("operator writes version 9, which the store confirms");
    let changed_at = Instant::now();
    if is_drill {
        thread::sleep(DRILL_DELAY);
    }
    while !is_drill && store.waiting_watches() > 0 && changed_at.elapsed() < MAX_SILENCE_DELAY {
        thread::sleep(Duration::from_millis(1));
    }
    if disturbance.is_some() {
        record.note("the store is silent");
        store.set_silent(true);
    }
    thread::sleep(if is_drill { DRILL_SILENCE } else { SILENCE });
    if is_drill {
        let lost = store.restore(copy);
        record.note(format!(
            "the store comes back from the copy, {lost} revisions are lost"
        ));
    }
    if disturbance.is_some() {
        store.set_silent(false);
        record.note("the store answers again");
    }
    if is_drill {
        store.put("op/config", &first);
        record.note("operator writes version 9 again");
    }
}

fn run(
    record: &Record,
    folder: &Path,
    has_trouble: bool,
    disturbance: Disturbance,
) -> io::Result<Outcome> {
    let store = store::Store::start()?;
    store.put("op/config", &config::text(7, "\"key-a\",\"key-b\""));
    let servers = engine::Servers::new(record, &store);
    for number in 0..9 {
        let options = engine::ServerOptions {
            service: "desk",
            slots: 6,
            default_plan: engine::Plan {
                first_ms: 0,
                events: 0,
                event_ms: 5,
                is_lost: false,
            },
            finishes: false,
        };
        servers.start(&format!("d-{number}"), options)?;
        // Servers write their entries at different times.
        thread::sleep(Duration::from_millis(130));
    }
    let deployment = relay::Deployment {
        memory_mb: 512,
        contact_ms: 4_000,
        drain_timeout_ms: 3_000,
        retry_allowance: 88,
    };
    let mut relays = relay::Relay::prepare(folder, MACHINES, store.address, deployment)?;
    for relay in &mut relays {
        relay.start()?;
    }
    thread::sleep(SETTLING_TIME);
    for relay in &relays {
        let id = format!("before-{}", relay.name);
        let status = client::call(relay.caller_address, &request(&id, "key-a")).status();
        if status != 200 {
            return Err(io::Error::other(format!("{} answers {status}", relay.name)));
        }
    }

    disturb(record, &store, has_trouble.then_some(disturbance));
    let stable_at = Instant::now() + CONTACT;
    if disturbance == Disturbance::Silence {
        thread::sleep(Duration::from_millis(100));
    }
    store.put("op/config", &config::text(12, "\"key-b\""));
    record.note("operator writes version 12 without key-a, which the store confirms");
    let bound = stable_at.max(Instant::now() + CONFIG_APPLY);
    thread::sleep(bound.saturating_duration_since(Instant::now()));
    record.note("all machines are in touch, and version 12 has to be in force");

    let mut served = 0;
    let mut last = [None; MACHINES];
    let started_at = Instant::now();
    for round in 0.. {
        if started_at.elapsed() > TEST_TIME {
            break;
        }
        for (number, relay) in relays.iter().enumerate() {
            let id = format!("after-{round}-{}", relay.name);
            let response = client::call(relay.caller_address, &request(&id, "key-a"));
            let runs = servers.runs_of(&id);
            if !runs.is_empty() {
                served += 1;
                last[number] = Some(started_at.elapsed());
                record.note(format!(
                    "CONFIG: {} passed {id} on with key-a, {} ran it, the answer is {}",
                    relay.name,
                    runs[0].server,
                    response.status()
                ));
            }
        }
        thread::sleep(Duration::from_millis(100));
    }
    for (relay, last) in relays.iter().zip(last) {
        let line = last.map_or("served no request with key-a".into(), |last: Duration| {
            format!(
                "served requests with key-a until {} ms after the bound",
                last.as_millis()
            )
        });
        record.note(format!("{} {line}", relay.name));
    }
    record.note(format!("{served} requests with key-a ran"));
    match served {
        0 => Ok(Outcome::Held),
        _ => Ok(Outcome::Broken),
    }
}
