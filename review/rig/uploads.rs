//! Many users come at once, each with a body of the size that the operator allows, sent in chunks.

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

/// `maxBodyBytes` of the configuration.
const BODY_BYTES: usize = 4_194_304;

/// Usual requests with such a body each second.
const USUAL_RATE: f64 = 8.0;

/// Factor of the burst, as in the site file.
const BURST_FACTOR: f64 = 1.7;

/// Start of the burst, and its length as in the site file.
const BURST_AT: Duration = Duration::from_secs(8);
const BURST_TIME: Duration = Duration::from_secs(3);

const RUN_TIME: Duration = Duration::from_secs(20);

/// Clients that book, one request after the other on a channel that they keep.
const BOOKING_CLIENTS: usize = 10;

/// Work of a booking.
const BOOKING_WORK: Duration = Duration::from_millis(300);

/// The rule allows three requests whose channel the machine closes without an answer.
const MAX_LOST: u64 = 3;

pub fn run(deployment: &Arc<Deployment>, has_trouble: bool) -> io::Result<Verdict> {
    let application =
        deployment.add_servers(deployment::APPLICATION, 3, 6, Answer::Plain(BOOKING_WORK))?;
    let events = Answer::Events(4, Duration::from_millis(100));
    deployment.add_servers(deployment::MODEL, 4, 24, events)?;
    let relay = deployment.start_relay()?;
    let record = &deployment.record;

    // `FRAMING=length` sends the same bodies with a length instead.
    let framing = match std::env::var("FRAMING").as_deref() {
        Ok("length") => Framing::Length,
        _ => Framing::Chunks,
    };
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

    let report = Demand {
        path: deployment::REPORTS,
        time_limit: Duration::from_secs(39),
        body_bytes: BODY_BYTES,
        framing,
        sending_time: Duration::from_secs(3),
        extra_headers: deployment::GENERATION,
        key: crate::client::KEY,
    };
    let served = Arc::new(Counter::default());
    let sent = Arc::new(Counter::default());
    let mut next_at = started_at;
    while started_at.elapsed() < RUN_TIME - Duration::from_secs(5) {
        thread::sleep(next_at.saturating_duration_since(Instant::now()));
        let elapsed = started_at.elapsed();
        let is_burst = has_trouble && (BURST_AT..BURST_AT + BURST_TIME).contains(&elapsed);
        let factor = if is_burst { BURST_FACTOR } else { 1.0 };
        next_at += Duration::from_secs_f64(1.0 / (USUAL_RATE * factor));
        sent.add();
        let mut client = Client::new(format!("report{}", sent.get()), relay.frontend, record);
        let served = Arc::clone(&served);
        thread::spawn(move || {
            if client.request(&report).2 == Outcome::Answered(200) {
                served.add();
            }
        });
    }
    thread::sleep(RUN_TIME.saturating_sub(started_at.elapsed()));
    is_over.store(true, Ordering::SeqCst);
    for client in clients {
        let _ = client.join();
    }

    let (lost, kills, peak_mb) = (lost.get(), relay.memory_kills(), relay.peak_mb());
    Ok(Verdict {
        is_broken: lost > MAX_LOST,
        text: format!(
            "LOST {}: {lost} bookings from kept channels were run by sound servers and their \
             channels closed without an answer (more than {MAX_LOST} break the rule); the relay was \
             ended {kills} times for its memory, {peak_mb} MB at the most; {} reports of {BODY_BYTES} \
             bytes sent, {} answered 200",
            if lost > MAX_LOST { "broken" } else { "held" },
            sent.get(),
            served.get(),
        ),
    })
}
