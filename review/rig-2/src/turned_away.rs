//! A leaving server turns the call away that stops a run there, and the run goes on beside the one
//! at the next server.

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

/// Streams that run when the server leaves.
const STREAMS: usize = 4;

/// Time for which both servers may work on a request.
const MAX_OVERLAP: Duration = Duration::from_millis(400);

fn request(id: &str) -> client::Request {
    client::Request {
        method: "POST",
        path: "/draft/3a".into(),
        id: id.into(),
        deadline_ms: 39_000,
        key: "key-a",
        headers: "Model: m\r\nToken-Count: 1500,932\r\nLength-Hint: 932\r\n\
            Prompt-Prefix: 91bd3f06:48,aa402b7d:1452\r\n"
            .into(),
        body: format!("draft {id}").into_bytes(),
    }
}

pub fn run(record: &Record, folder: &Path, has_trouble: bool) -> io::Result<Outcome> {
    let store = store::Store::start()?;
    store.put("op/config", &config::text(7, "\"key-a\""));
    let servers = engine::Servers::new(record, &store);
    let start = |id: &str| {
        let options = engine::ServerOptions {
            service: "engines",
            slots: 24,
            default_plan: engine::Plan {
                first_ms: 60,
                events: 120,
                event_ms: 50,
                is_lost: false,
            },
            finishes: true,
        };
        servers.start(id, options)
    };
    let engines = [start("i-one")?, start("i-two")?];
    let deployment = relay::Deployment {
        memory_mb: 512,
        contact_ms: 4_000,
        drain_timeout_ms: 3_000,
        retry_allowance: 88,
    };
    let mut relays = relay::Relay::prepare(folder, 1, store.address, deployment)?;
    relays[0].start()?;
    let address = relays[0].caller_address;
    // From then on the machine is in touch.
    thread::sleep(Duration::from_millis(deployment.contact_ms + 500));

    let callers: Vec<_> = (0..STREAMS)
        .map(|number| {
            let record = record.clone();
            thread::spawn(move || {
                let id = format!("draft-{number}");
                let response = client::call(address, &request(&id));
                let text = response.text();
                record.note(format!(
                    "caller of {id} gets {}, {} events, complete: {}",
                    response.status(),
                    text.matches("id: ").count(),
                    response.is_complete
                ));
            })
        })
        .collect();
    thread::sleep(Duration::from_millis(1_500));
    let leaving = engines.iter().find(|engine| {
        let runs = servers.runs_of("draft-0");
        runs.iter().any(|run| run.server == engine.id)
    });
    let leaving = leaving.ok_or_else(|| io::Error::other("no server runs the first stream"))?;
    // One call for each stream; the next ones are served.
    if has_trouble {
        let runs = servers.all_runs();
        let at_leaving = runs.iter().filter(|run| run.server == leaving.id);
        leaving.turn_away(at_leaving.count());
    }
    leaving.drain();
    for caller in callers {
        let _ = caller.join();
    }
    // The runs that go on for nobody end by themselves.
    thread::sleep(Duration::from_secs(4));

    let mut is_broken = false;
    let mut moved = 0;
    for number in 0..STREAMS {
        let id = format!("draft-{number}");
        let runs = servers.runs_of(&id);
        let first = runs.iter().find(|run| run.server == leaving.id);
        let next = runs.iter().find(|run| run.server != leaving.id);
        let (Some(first), Some(next)) = (first, next) else {
            continue;
        };
        moved += 1;
        let ended_at = first.ended_at.unwrap_or_else(Instant::now);
        let overlap = ended_at.saturating_duration_since(next.began_at);
        record.note(format!(
            "{id}: both {} and {} worked on it for {} ms",
            first.server,
            next.server,
            overlap.as_millis()
        ));
        if overlap > MAX_OVERLAP {
            record.note(format!("TWICE: {id} went on at {}", next.server));
            is_broken = true;
        }
    }
    match (moved, is_broken) {
        (0, _) => Err(io::Error::other("no stream went on at another server")),
        (_, true) => Ok(Outcome::Broken),
        (_, false) => Ok(Outcome::Held),
    }
}
