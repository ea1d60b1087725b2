//! All servers of one of two zones are taken away at the same moment, without reporting `draining`
//! first.

use std::collections::BTreeMap;
use std::io;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use crate::Verdict;
use crate::client::Client;
use crate::client::Counter;
use crate::client::Outcome;
use crate::deployment;
use crate::deployment::Deployment;
use crate::server::Answer;

/// `drainTimeoutMs` of the settings.
const DRAIN_TIMEOUT: Duration = Duration::from_millis(2_000);

/// How much longer the servers serve before they exit: 2.4 s after the notice in all.
const LINGER: Duration = Duration::from_millis(400);

const REMOVAL_AT: Duration = Duration::from_secs(6);
const RUN_TIME: Duration = Duration::from_secs(14);

/// Servers of the application, and those of them in the zone that is reclaimed.
const SERVERS: usize = 4;
const REMOVED: usize = 2;

const CLIENTS: usize = 12;
const WORK: Duration = Duration::from_millis(150);

pub fn run(deployment: &Arc<Deployment>, has_trouble: bool) -> io::Result<Verdict> {
    let servers =
        deployment.add_servers(deployment::APPLICATION, SERVERS, 6, Answer::Plain(WORK))?;
    let relay = deployment.start_relay()?;
    let record = &deployment.record;
    let started_at = Instant::now();
    let is_over = Arc::new(AtomicBool::new(false));
    let answered = Arc::new(Counter::default());
    let mut clients = Vec::new();
    for number in 0..CLIENTS {
        let mut client = Client::new(format!("booking{number}"), relay.frontend, record);
        let (is_over, answered) = (Arc::clone(&is_over), Arc::clone(&answered));
        clients.push(thread::spawn(move || {
            let mut unanswered = Vec::new();
            while !is_over.load(Ordering::SeqCst) {
                let (id, _, outcome) = client.request(&deployment::booking());
                match outcome {
                    Outcome::Answered(200) => answered.add(),
                    outcome => unanswered.push((id, outcome)),
                }
            }
            unanswered
        }));
    }

    thread::sleep(REMOVAL_AT.saturating_sub(started_at.elapsed()));
    let removed_at_s = record.seconds();
    if has_trouble {
        let removals: Vec<_> = servers[SERVERS - REMOVED..]
            .iter()
            .map(|server| (server.key(), None))
            .collect();
        deployment.store.write(&removals);
        record.line(
            "store",
            format!("{REMOVED} of {SERVERS} entries are removed"),
        );
        thread::sleep(DRAIN_TIMEOUT + LINGER);
        for server in &servers[SERVERS - REMOVED..] {
            server.end();
        }
    }
    thread::sleep(RUN_TIME.saturating_sub(started_at.elapsed()));
    is_over.store(true, Ordering::SeqCst);
    let mut unanswered = BTreeMap::new();
    for client in clients {
        unanswered.extend(client.join().unwrap_or_default());
    }

    let bound_s = removed_at_s + DRAIN_TIMEOUT.as_secs_f64();
    let (mut late, mut latest_s, mut lost) = (0, 0.0_f64, 0);
    if has_trouble {
        for server in &servers[SERVERS - REMOVED..] {
            for (id, run) in server.runs.lock().unwrap().iter() {
                if run.at_s > bound_s {
                    late += 1;
                    latest_s = latest_s.max(run.at_s - removed_at_s);
                    if let Some(outcome) = unanswered.get(id) {
                        lost += 1;
                        record.line(
                            "rig",
                            format!("{id} reached it late and was lost: {outcome}"),
                        );
                    }
                }
            }
        }
    }
    Ok(Verdict {
        is_broken: late > 0,
        text: format!(
            "DRAIN {}: {late} requests reached servers later than {} ms after the store had removed \
             their entries, the latest after {latest_s:.3} s; {lost} of them were run and never \
             answered with success; {} bookings were answered 200",
            if late > 0 { "broken" } else { "held" },
            DRAIN_TIMEOUT.as_millis(),
            answered.get(),
        ),
    })
}
