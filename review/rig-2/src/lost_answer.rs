//! A stream whose answer is lost is refused as not run when the other servers are full.

use std::io;
use std::path::Path;
use std::thread;
use std::time::Duration;

use crate::Outcome;
use crate::client;
use crate::config;
use crate::engine;
use crate::record::Record;
use crate::relay;
use crate::store;

/// Slots of each of the two engines.
const SLOTS: usize = 4;

/// Requests before the disruption: each engine loses the answer of one in twenty at most.
const WARM_UP_REQUESTS: usize = 60;

/// Statuses by which the system promises that a request has not run and never will.
const PROMISES: [u16; 4] = [408, 421, 429, 503];

fn tone_request(id: &str) -> client::Request {
    client::Request {
        method: "POST",
        path: "/tone/2f".into(),
        id: id.into(),
        deadline_ms: 6_000,
        key: "key-a",
        headers: "Model: m\r\nToken-Count: 2200,12\r\nLength-Hint: 12\r\n\
            Prompt-Prefix: 5c1e07a2:210,e4402b7d:1990\r\n"
            .into(),
        body: format!("tone check {id}").into_bytes(),
    }
}

fn draft_request(id: &str) -> client::Request {
    client::Request {
        path: "/draft/3a".into(),
        deadline_ms: 39_000,
        headers: "Model: m\r\nToken-Count: 1500,932\r\nLength-Hint: 932\r\n\
            Prompt-Prefix: 91bd3f06:48,aa402b7d:1452\r\n"
            .into(),
        body: format!("draft {id}").into_bytes(),
        ..tone_request(id)
    }
}

pub fn run(record: &Record, folder: &Path, has_trouble: bool) -> io::Result<Outcome> {
    let store = store::Store::start()?;
    store.put("op/config", &config::text(7, "\"key-a\""));
    let servers = engine::Servers::new(record, &store);
    for id in ["i-one", "i-two"] {
        let options = engine::ServerOptions {
            service: "engines",
            slots: SLOTS,
            default_plan: engine::Plan {
                first_ms: 60,
                events: 3,
                event_ms: 40,
                is_lost: false,
            },
            finishes: false,
        };
        servers.start(id, options)?;
    }
    let deployment = relay::Deployment {
        memory_mb: 512,
        contact_ms: 4_000,
        drain_timeout_ms: 3_000,
        retry_allowance: 88,
    };
    let mut relays = relay::Relay::prepare(folder, 1, store.address, deployment)?;
    relays[0].start()?;
    let address = relays[0].caller_address;
    // Two servers have registered before the process starts, which is ready with its routes.
    thread::sleep(Duration::from_millis(1_000));

    for number in 0..WARM_UP_REQUESTS {
        let response = client::call(address, &tone_request(&format!("warm-{number}")));
        if response.status() != 200 {
            return Err(io::Error::other("a request before the disruption failed"));
        }
    }
    record.note(format!("{WARM_UP_REQUESTS} requests were served"));

    // Long streams fill both engines; one of them ends early.
    let mut drafts = Vec::new();
    for number in 0..4 * SLOTS {
        let id = format!("draft-{number}");
        let events = if number == 0 { 45 } else { 400 };
        let plan = engine::Plan {
            first_ms: 60,
            events,
            event_ms: 50,
            is_lost: false,
        };
        servers.plan(&id, plan);
        let record = record.clone();
        drafts.push(thread::spawn(move || {
            let response = client::call(address, &draft_request(&id));
            record.note(format!("caller of {id} gets {}", response.status()));
        }));
        thread::sleep(Duration::from_millis(60));
    }
    // A more urgent request waits, and gets the place of the first draft when that ends.
    let victim = "the-victim";
    let plan = engine::Plan {
        first_ms: 60,
        events: 3,
        event_ms: 40,
        is_lost: has_trouble,
    };
    servers.plan(victim, plan);
    record.note(format!("caller sends {victim}"));
    let caller = thread::spawn(move || client::call(address, &tone_request(victim)));
    let response = caller
        .join()
        .map_err(|_| io::Error::other("the caller panicked"))?;
    record.note(format!(
        "caller of {victim} gets {} {:?}, Retry-After {:?}",
        response.status(),
        response.text(),
        response.header("retry-after")
    ));
    let runs = servers.runs_of(victim);
    if runs.is_empty() && has_trouble {
        return Err(io::Error::other("the request did not reach a server"));
    }
    match PROMISES.contains(&response.status()) && !runs.is_empty() {
        true => {
            record.note(format!(
                "REFUSED: {victim} was answered {} and had run on {}",
                response.status(),
                runs[0].server
            ));
            Ok(Outcome::Broken)
        }
        false => Ok(Outcome::Held),
    }
}
