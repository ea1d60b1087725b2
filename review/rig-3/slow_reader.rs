//! Callers stop reading their streams for some seconds and then read on.

use std::io;
use std::io::BufReader;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::os::fd::AsRawFd;
use std::path::Path;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use crate::Verdict;
use crate::http;
use crate::record::Record;
use crate::relay;
use crate::relay::Relay;
use crate::servers::Ledger;
use crate::servers::RunEnd;
use crate::servers::Server;
use crate::store::Store;
use crate::streams;

const SERVERS: usize = 4;
const CALLERS: usize = 8;

/// More channels than this that close without an answer break the rule.
const MAX_LOST: usize = 3;

/// Tokens of a long stream: 300 events; the site's mean is 233, the most 551.
const LONG_TOKENS: u64 = 300 * 4;
const SHORT_TOKENS: u64 = 2 * 4;

/// Mean size of an event in the site file, and the time between two at a busy server. Events may be
/// 180 ms apart.
const EVENT_BYTES: usize = 270;
const EVENT_GAP: Duration = Duration::from_millis(60);

/// Buffer that each caller's socket has for what it has not read.
const RECEIVE_BUFFER: i32 = 8 * 1024;

/// Events that a caller reads before it pauses, and the pause: less than half of `idleTimeoutMs`, and
/// less than the gap after which callers give a stream up (four times the objective).
const EVENTS_BEFORE_PAUSE: usize = 50;
const PAUSE: Duration = Duration::from_secs(7);

/// `configApplyMs`: requests sent up to so long after the SIGHUP count.
const CONFIG_APPLY: Duration = Duration::from_millis(2_000);
const TIME_LIMIT: Duration = Duration::from_secs(39);

const SOL_SOCKET: i32 = 1;
const SO_RCVBUF: i32 = 8;

unsafe extern "C" {
    fn setsockopt(socket: i32, level: i32, name: i32, value: *const i32, length: u32) -> i32;
}

/// What a caller saw of its second request.
struct Outcome {
    events: usize,
    is_complete: bool,
    sent_at: Instant,
    ended_at: Instant,
    error: String,
}

pub fn play(record: &Record, scratch: &Path, has_trouble: bool) -> Verdict {
    let store = Store::start();
    store.write("op/config", streams::CONFIG, None);
    let ledger = Ledger::new(EVENT_BYTES, EVENT_GAP);
    let servers = (0..SERVERS)
        .map(|number| Server::start(&format!("i-{number}"), "model", true, true, &ledger, &store));
    let servers: Vec<_> = servers.collect();
    let addresses = relay::free_addresses(1);
    let relay = Relay::start(scratch, &addresses, 0, store.address);
    if !relay.wait_until_ready(Duration::from_secs(10)) {
        record.write("the relay did not become ready");
        return Verdict::NotRun;
    }
    // The relay has been in touch for contactMs when the callers come.
    thread::sleep(Duration::from_secs(4));
    relay.hang_up();
    let hung_up_at = Instant::now();
    record.write("SIGHUP, with an unchanged settings file");
    thread::sleep(Duration::from_millis(200));

    let callers = (0..CALLERS).map(|number| {
        let address = relay.callers;
        thread::sleep(Duration::from_millis(60));
        thread::spawn(move || call(address, number, has_trouble))
    });
    let callers: Vec<_> = callers.collect();
    let mut lost = 0;
    for (number, caller) in callers.into_iter().enumerate() {
        let outcome = match caller.join() {
            Ok(Ok(outcome)) => outcome,
            Ok(Err(error)) => {
                record.write(&format!("caller {number} could not begin: {error}"));
                return Verdict::NotRun;
            }
            Err(_) => return Verdict::NotRun,
        };
        let Outcome {
            events,
            is_complete,
            sent_at,
            ended_at,
            error,
        } = outcome;
        record.write(&format!(
            "caller {number}: second request on its channel sent at {:.3} s, answer ended at {:.3} s after {events} events, complete: {is_complete} {error}",
            record.seconds(sent_at),
            record.seconds(ended_at)
        ));
        let is_counted = sent_at <= hung_up_at + CONFIG_APPLY && ended_at < sent_at + TIME_LIMIT;
        lost += usize::from(!is_complete && is_counted);
    }
    for run in ledger.runs() {
        let ended = match run.ended {
            Some((at, RunEnd::Dropped)) => {
                format!("its channel was closed at {:.3} s", record.seconds(at))
            }
            Some((at, end)) => format!("{end:?} at {:.3} s", record.seconds(at)),
            None => "still running".to_string(),
        };
        record.write(&format!(
            "{} ran at {} from {:.3} s, events to {}: {ended}",
            run.request,
            run.server,
            record.seconds(run.began),
            run.events.1
        ));
    }
    for line in relay.log_lines("caller_left") {
        record.write(&format!("{}: {line}", relay.name));
    }
    record.write(&format!(
        "{lost} of {CALLERS} kept channels ended without a complete answer; {} sound servers",
        servers.len()
    ));
    match lost > MAX_LOST {
        true => Verdict::Broken,
        false => Verdict::Held,
    }
}

/// Sends two requests on one channel, and stops reading the answer to the second one for a while.
fn call(address: SocketAddr, number: usize, has_pause: bool) -> io::Result<Outcome> {
    let mut writer = TcpStream::connect_timeout(&address, Duration::from_secs(1))?;
    let length = std::mem::size_of::<i32>() as u32;
    // SAFETY: the descriptor is that of an open socket, and the value outlives the call.
    let result = unsafe {
        setsockopt(
            writer.as_raw_fd(),
            SOL_SOCKET,
            SO_RCVBUF,
            &RECEIVE_BUFFER,
            length,
        )
    };
    if result != 0 {
        return Err(io::Error::last_os_error());
    }
    writer.set_read_timeout(Some(TIME_LIMIT))?;
    let mut reader = BufReader::with_capacity(1_024, writer.try_clone()?);

    let first = streams::request(&format!("first-{number}"), SHORT_TOKENS);
    writer.write_all(&first)?;
    let (status, _) = http::read_head(&mut reader)?;
    let (_, is_complete) = streams::read_events(&mut reader);
    if status != 200 || !is_complete {
        return Err(io::Error::other(format!("first answer {status}")));
    }

    let second = streams::request(&format!("second-{number}"), LONG_TOKENS);
    let sent_at = Instant::now();
    writer.write_all(&second)?;
    let (status, _) = http::read_head(&mut reader)?;
    if status != 200 {
        return Err(io::Error::other(format!("second answer {status}")));
    }
    let mut events = 0;
    let mut has_paused = false;
    loop {
        if has_pause && !has_paused && events >= EVENTS_BEFORE_PAUSE {
            has_paused = true;
            thread::sleep(PAUSE);
        }
        let (is_complete, error) = match http::next_chunk(&mut reader) {
            Ok(chunk) if chunk.is_empty() => (true, String::new()),
            Ok(chunk) => {
                events += String::from_utf8_lossy(&chunk).matches("\n\n").count();
                continue;
            }
            Err(error) => (false, error.to_string()),
        };
        return Ok(Outcome {
            events,
            is_complete,
            sent_at,
            ended_at: Instant::now(),
            error,
        });
    }
}
