//! A model server is behind a partition for five seconds and goes on with its streams.

use std::path::Path;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use crate::Verdict;
use crate::record::Record;
use crate::relay;
use crate::relay::Relay;
use crate::servers::Ledger;
use crate::servers::Run;
use crate::servers::Server;
use crate::store::Store;
use crate::streams;

const SERVERS: usize = 5;
const LONG_STREAMS: usize = 8;

/// Tokens of a long stream: 551 events, the most in the site file.
const LONG_TOKENS: u64 = 551 * 4;
const SHORT_TOKENS: u64 = 4 * 4;
const EVENT_GAP: Duration = Duration::from_millis(40);

/// `for_s` of a partition that names none.
const CUT_TIME: Duration = Duration::from_secs(5);

const CONTACT: Duration = Duration::from_millis(3_000);
const MAX_OVERLAP: Duration = Duration::from_millis(400);

/// Overlap beyond what the rule allows from which on it counts as broken here.
const MARGIN: Duration = Duration::from_millis(300);

pub fn play(record: &Record, scratch: &Path, has_trouble: bool) -> Verdict {
    let store = Store::start();
    store.write("op/config", streams::CONFIG, None);
    let ledger = Ledger::new(0, EVENT_GAP);
    // Most servers drop a request when its channel closes; the first one does not.
    let servers = (0..SERVERS).map(|number| {
        Server::start(
            &format!("i-{number}"),
            "model",
            true,
            number > 0,
            &ledger,
            &store,
        )
    });
    let servers: Vec<_> = servers.collect();
    let addresses = relay::free_addresses(2);
    let relays = [0, 1].map(|index| Relay::start(scratch, &addresses, index, store.address));
    if !relays
        .iter()
        .all(|relay| relay.wait_until_ready(Duration::from_secs(10)))
    {
        record.write("the relays did not become ready");
        return Verdict::NotRun;
    }
    thread::sleep(Duration::from_secs(2));

    let callers = (0..LONG_STREAMS).map(|number| {
        let address = relays[0].callers;
        thread::sleep(Duration::from_millis(60));
        thread::spawn(move || streams::call(address, &format!("long-{number}"), LONG_TOKENS))
    });
    let callers: Vec<_> = callers.collect();
    thread::sleep(Duration::from_secs(2));
    let first = &servers[0];
    let at_first = |run: &Run| run.server == first.id;
    let count = ledger.runs().iter().filter(|run| at_first(run)).count();
    record.write(&format!("{count} long streams run at {}", first.id));
    if count == 0 {
        return Verdict::NotRun;
    }

    if has_trouble {
        record.write(&format!("{} is behind a partition", first.id));
        first.path.cut();
    }
    let mut was_listed = true;
    let cut_ends_at = Instant::now() + CUT_TIME;
    while Instant::now() < cut_ends_at {
        let is_listed = store.has(&first.key());
        if is_listed != was_listed {
            record.write(&format!("entry of {} in the store: {is_listed}", first.id));
        }
        was_listed = is_listed;
        thread::sleep(Duration::from_millis(20));
    }
    if has_trouble {
        first.path.heal();
        record.write(&format!("the partition of {} has ended", first.id));
    }
    let healed_at = Instant::now();

    // Short streams show whether the relay reaches the server.
    let mut short = 0;
    while healed_at.elapsed() < Duration::from_secs(9) {
        short += 1;
        let address = relays[0].callers;
        let name = format!("short-{short}");
        thread::spawn(move || streams::call(address, &name, SHORT_TOKENS));
        thread::sleep(Duration::from_millis(150));
    }
    for (number, caller) in callers.into_iter().enumerate() {
        let (status, events, is_complete) = caller.join().unwrap_or((0, 0, false));
        record.write(&format!(
            "caller of long-{number}: status {status}, {events} events, complete: {is_complete}"
        ));
    }
    for relay in &relays {
        for line in relay.log_lines("\"former_run\"") {
            record.write(&format!("{}: {line}", relay.name));
        }
    }
    judge(record, &ledger.runs(), &first.id, healed_at)
}

/// Checks that no request runs at two servers for longer than the rule allows, from the time on at
/// which the relay has been in touch with the server again.
fn judge(record: &Record, runs: &[Run], first: &str, healed_at: Instant) -> Verdict {
    let in_touch_at = healed_at + CONTACT;
    let now = Instant::now();
    let end = |run: &Run| run.ended.map_or(now, |(at, _)| at);
    for run in runs.iter().filter(|run| run.request.starts_with("long")) {
        let ended = match run.ended {
            Some((at, end)) => format!("{end:?} at {:.3} s", record.seconds(at)),
            None => "still running".to_string(),
        };
        record.write(&format!(
            "{} ran at {} from {:.3} s, events {} to {}: {ended}",
            run.request,
            run.server,
            record.seconds(run.began),
            run.events.0,
            run.events.1
        ));
    }
    let reached = runs.iter().filter(|run| {
        run.server == first && run.request.starts_with("short") && run.began >= in_touch_at
    });
    let reached = reached.count();
    record.write(&format!(
        "{reached} short streams reached {first} later than contactMs after the partition"
    ));
    let mut broken = 0;
    for earlier in runs {
        for later in runs {
            if earlier.request != later.request
                || earlier.server == later.server
                || later.began <= earlier.began
            {
                continue;
            }
            let counted_from = (later.began).max(in_touch_at) + MAX_OVERLAP;
            let ends_at = end(earlier).min(end(later));
            let overlap = ends_at.saturating_duration_since(counted_from);
            if overlap > MARGIN {
                broken += 1;
                record.write(&format!(
                    "TWICE: {} goes on at {} while {} still works on it for {:.3} s more than allowed",
                    earlier.request,
                    later.server,
                    earlier.server,
                    overlap.as_secs_f64()
                ));
            }
        }
    }
    match (broken, reached) {
        (0, _) => Verdict::Held,
        (_, 0) => {
            record.write("the relay did not reach the server again");
            Verdict::NotRun
        }
        _ => Verdict::Broken,
    }
}
