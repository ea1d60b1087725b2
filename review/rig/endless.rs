//! Servers in trouble send bytes that are no answer, without end.

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
use crate::client::Demand;
use crate::client::Framing;
use crate::client::Outcome;
use crate::deployment;
use crate::deployment::Deployment;
use crate::server::Answer;

const TROUBLE_AT: Duration = Duration::from_secs(12);
const RUN_TIME: Duration = Duration::from_secs(32);

/// Model servers, and how many of them are in trouble: a share of 0.42. The site files go up to 0.6
/// for `garble`.
const SERVERS: usize = 12;
const IN_TROUBLE: usize = 5;

/// Bytes that a server in trouble sends on a channel every 10 ms: 1.2 MB a second.
const ENDLESS_BYTES: usize = 12_000;

/// Generations a second.
const RATE: f64 = 12.0;

const BOOKING_CLIENTS: usize = 10;
const BOOKING_WORK: Duration = Duration::from_millis(300);
const MAX_LOST: u64 = 3;

pub fn run(deployment: &Arc<Deployment>, has_trouble: bool) -> io::Result<Verdict> {
    let application =
        deployment.add_servers(deployment::APPLICATION, 3, 6, Answer::Plain(BOOKING_WORK))?;
    let events = Answer::Events(90, Duration::from_millis(100));
    let models = deployment.add_servers(deployment::MODEL, SERVERS, 24, events)?;
    let relay = deployment.start_relay()?;
    let record = &deployment.record;
    let started_at = Instant::now();
    let is_over = Arc::new(AtomicBool::new(false));
    let lost = Arc::new(Counter::default());
    let mut clients = Vec::new();
    for number in 0..BOOKING_CLIENTS {
        let mut client = Client::new(format!("booking{number}"), relay.frontend, record);
        let (is_over, lost) = (Arc::clone(&is_over), Arc::clone(&lost));
        let application = application.clone();
        clients.push(thread::spawn(move || {
            while !is_over.load(Ordering::SeqCst) {
                let (id, is_kept, outcome) = client.request(&deployment::booking());
                let has_run = application
                    .iter()
                    .any(|server| server.runs.lock().unwrap().contains_key(&id));
                if is_kept && has_run && outcome == Outcome::Closed {
                    lost.add();
                }
                if outcome == Outcome::NotSent {
                    thread::sleep(Duration::from_millis(100));
                }
            }
        }));
    }

    let generation = Demand {
        path: deployment::REPORTS,
        time_limit: Duration::from_secs(39),
        body_bytes: 3_000,
        framing: Framing::Length,
        sending_time: Duration::ZERO,
        extra_headers: deployment::GENERATION,
        key: crate::client::KEY,
    };
    let (sent, served) = (Arc::new(Counter::default()), Arc::new(Counter::default()));
    let mut next_at = started_at;
    let mut is_troubled = false;
    while started_at.elapsed() < RUN_TIME - Duration::from_secs(4) {
        thread::sleep(next_at.saturating_duration_since(Instant::now()));
        if has_trouble && !is_troubled && started_at.elapsed() >= TROUBLE_AT {
            is_troubled = true;
            for server in &models[..IN_TROUBLE] {
                server.set_answer(Answer::Endless(ENDLESS_BYTES));
            }
            record.line("rig", "servers in trouble answer without end from here on");
        }
        next_at += Duration::from_secs_f64(1.0 / RATE);
        sent.add();
        let mut client = Client::new(format!("report{}", sent.get()), relay.frontend, record);
        let served = Arc::clone(&served);
        thread::spawn(move || {
            if client.request(&generation).2 == Outcome::Answered(200) {
                served.add();
            }
        });
    }
    thread::sleep(RUN_TIME.saturating_sub(started_at.elapsed()));
    is_over.store(true, Ordering::SeqCst);
    for client in clients {
        let _ = client.join();
    }
    let endless_mb: u64 = models
        .iter()
        .map(|server| server.endless_bytes.load(Ordering::SeqCst) / 1_000_000)
        .sum();
    let (lost, kills, peak_mb) = (lost.get(), relay.memory_kills(), relay.peak_mb());
    Ok(Verdict {
        is_broken: lost > MAX_LOST,
        text: format!(
            "LOST {}: {lost} bookings from kept channels were run by sound servers and their \
             channels closed without an answer (more than {MAX_LOST} break the rule); the relay was \
             ended {kills} times for its memory, {peak_mb} MB at the most; servers in trouble sent \
             {endless_mb} MB; {} generations sent, {} answered 200",
            if lost > MAX_LOST { "broken" } else { "held" },
            sent.get(),
            served.get(),
        ),
    })
}
