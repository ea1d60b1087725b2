//! A model server that is one of the few that do not drop a request when its channel closes leaves as
//! planned.

use std::collections::BTreeMap;
use std::io;
use std::sync::Arc;
use std::sync::Mutex;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use crate::Verdict;
use crate::client;
use crate::client::Client;
use crate::client::Demand;
use crate::client::Framing;
use crate::client::Outcome;
use crate::deployment;
use crate::deployment::Deployment;
use crate::engine::Engine;
use crate::engine::EngineLog;
use crate::engine::OnClose;
use crate::server::Answer;

/// Model servers. The first one works on when a channel closes, and leaves.
const SERVERS: usize = 4;

/// Generations that are sent, and the time between them.
const GENERATIONS: usize = 12;
const INTERVAL: Duration = Duration::from_millis(100);

const DRAINING_AT: Duration = Duration::from_secs(4);
const RUN_TIME: Duration = Duration::from_secs(14);

/// Time for which the rule lets the server before work on.
const MAX_OVERLAP_S: f64 = 0.4;

pub fn run(deployment: &Arc<Deployment>, has_trouble: bool) -> io::Result<Verdict> {
    deployment.add_servers(
        deployment::APPLICATION,
        1,
        6,
        Answer::Plain(Duration::from_millis(20)),
    )?;
    let record = &deployment.record;
    let log = Arc::new(Mutex::new(EngineLog::default()));
    let mut engines = Vec::new();
    for number in 0..SERVERS {
        let on_close = match number {
            0 => OnClose::WorksOn,
            _ => OnClose::Drops,
        };
        let zone = deployment::ZONES[0];
        let engine = Engine::start(&format!("i-model-{number}"), zone, on_close, &log, record)?;
        let entry = (engine.key(), Some(engine.entry("ready")));
        deployment.store.write(&[entry]);
        engines.push(engine);
    }
    let relay = deployment.start_relay()?;

    let started_at = Instant::now();
    let demand = Demand {
        path: deployment::REPORTS,
        time_limit: Duration::from_secs(39),
        body_bytes: 3_000,
        framing: Framing::Length,
        sending_time: Duration::ZERO,
        extra_headers: "Model: m\r\nToken-Count: 400,400\r\nPrompt-Prefix: 5c1e07a2:200,e4402b7d:200\r\n",
        key: client::KEY,
    };
    let mut clients = Vec::new();
    for number in 0..GENERATIONS {
        let mut client = Client::new(format!("report{number}"), relay.frontend, record);
        clients.push(thread::spawn(move || client.request(&demand).2));
        thread::sleep(INTERVAL);
    }
    thread::sleep(DRAINING_AT.saturating_sub(started_at.elapsed()));
    if has_trouble {
        let leaving = &engines[0];
        let entry = (leaving.key(), Some(leaving.entry("draining")));
        deployment.store.write(&[entry]);
        record.line(
            "store",
            format!("{} reports that it is draining", leaving.id),
        );
    }
    let outcomes: Vec<_> = clients
        .into_iter()
        .map(|client| client.join().unwrap_or(Outcome::NotSent))
        .collect();
    thread::sleep(RUN_TIME.saturating_sub(started_at.elapsed()));

    let log = log.lock().unwrap();
    let (mut moved, mut doubled, mut longest_s) = (0, 0, 0.0_f64);
    for (id, work) in &log.work {
        // The first and the last event of each server that worked on the request.
        let mut spans: BTreeMap<&str, (f64, f64)> = BTreeMap::new();
        for (server, at_s) in work {
            let span = spans.entry(server).or_insert((*at_s, *at_s));
            span.1 = *at_s;
        }
        let mut spans: Vec<_> = spans.into_iter().collect();
        spans.sort_by(|first, second| first.1.0.total_cmp(&second.1.0));
        for pair in spans.windows(2) {
            let ((before, (_, last_s)), (next, (first_s, _))) = (pair[0], pair[1]);
            let overlap_s = last_s - first_s;
            moved += 1;
            if overlap_s > MAX_OVERLAP_S {
                doubled += 1;
                longest_s = longest_s.max(overlap_s);
                record.line(
                    "rig",
                    format!(
                        "{id} goes on at {next} while {before} works on it {overlap_s:.2} s later"
                    ),
                );
            }
        }
    }
    let served = outcomes
        .iter()
        .filter(|outcome| **outcome == Outcome::Answered(200));
    Ok(Verdict {
        is_broken: doubled > 0,
        text: format!(
            "TWICE {}: {doubled} of {moved} generations that went on at another server were still \
             worked on by the server before more than {MAX_OVERLAP_S} s later, at the longest \
             {longest_s:.2} s; {} of {GENERATIONS} callers got a complete answer",
            if doubled > 0 { "broken" } else { "held" },
            served.count(),
        ),
    })
}
