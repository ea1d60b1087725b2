//! The relay is cut off from the store for some seconds, in which a large configuration changes several
//! times and a key is taken away.

use std::io;
use std::sync::Arc;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use crate::Verdict;
use crate::client;
use crate::client::Client;
use crate::client::Demand;
use crate::deployment;
use crate::deployment::Deployment;
use crate::server::Answer;

/// Time for which the relay is cut off from the store: `core_cut`, `reset`.
const CUT_AT: Duration = Duration::from_secs(6);
const CUT_TIME: Duration = Duration::from_millis(5_500);

/// Changes of the configuration and the time between them: `config_storm` for 4 s.
const STORM_AT: Duration = Duration::from_millis(6_700);
const CHANGES: u64 = 13;
const CHANGE_INTERVAL: Duration = Duration::from_millis(330);

/// Routes that the configuration has grown by, so that it has just under `maxValueBytes`.
const MORE_ROUTES: usize = 4_050;
const MAX_VALUE_BYTES: usize = 1_048_576;

/// `contactMs` and `configApplyMs`.
const CONTACT_TIME: Duration = Duration::from_millis(3_000);
const APPLY_TIME: Duration = Duration::from_millis(2_000);

const RUN_TIME: Duration = Duration::from_secs(40);
const REQUEST_INTERVAL: Duration = Duration::from_millis(100);

pub fn run(deployment: &Arc<Deployment>, has_trouble: bool) -> io::Result<Verdict> {
    let work = Duration::from_millis(20);
    let servers = deployment.add_servers(deployment::APPLICATION, 3, 6, Answer::Plain(work))?;
    let relay = deployment.start_relay()?;
    let record = &deployment.record;
    let started_at = Instant::now();
    let mut version = 8;
    let write = |version: u64, has_second_key: bool| {
        let text = deployment::configuration(version, has_second_key, MORE_ROUTES);
        let size = text.len();
        assert!(
            size <= MAX_VALUE_BYTES,
            "the configuration has {size} bytes"
        );
        let item = (deployment::CONFIG_KEY.to_string(), Some(text));
        deployment.store.write(&[item]);
        record.line(
            "operator",
            format!("version {version} of {size} bytes is confirmed, second key: {has_second_key}"),
        );
    };
    write(version, true);

    // One client uses the key that stays, the other one that is taken away.
    let mut clients = Vec::new();
    for key in [client::KEY, client::SECOND_KEY] {
        let name = format!("key-{}", &key[..4]);
        let mut client = Client::new(name, relay.frontend, record);
        let demand = Demand {
            key,
            ..deployment::booking()
        };
        let record = Arc::clone(record);
        clients.push(thread::spawn(move || {
            let mut requests = Vec::new();
            while started_at.elapsed() < RUN_TIME {
                let sent_at_s = record.seconds();
                let (id, _, outcome) = client.request(&demand);
                requests.push((id, sent_at_s, outcome));
                thread::sleep(REQUEST_INTERVAL);
            }
            requests
        }));
    }

    let sleep_until = |at: Duration| thread::sleep(at.saturating_sub(started_at.elapsed()));
    sleep_until(CUT_AT);
    if has_trouble {
        deployment.store.set_cut(true);
        record.line("store", "is cut off from the relay");
    }
    for change in 0..CHANGES {
        sleep_until(STORM_AT + CHANGE_INTERVAL * u32::try_from(change).unwrap_or(0));
        version += 1;
        write(version, change + 1 < CHANGES);
    }
    let revoked_at_s = record.seconds();
    sleep_until(CUT_AT + CUT_TIME);
    if has_trouble {
        deployment.store.set_cut(false);
        record.line("store", "is reached by the relay again");
    }
    let in_touch_at_s = match has_trouble {
        true => record.seconds() + CONTACT_TIME.as_secs_f64(),
        false => 0.0,
    };
    let bound_s = in_touch_at_s.max(revoked_at_s + APPLY_TIME.as_secs_f64());
    record.line(
        "rig",
        format!("from {bound_s:.3} on no request with the second key may run"),
    );

    let mut outcomes = Vec::new();
    for client in clients {
        let requests = client.join().unwrap_or_default();
        outcomes.push(requests);
    }
    let has_run = |id: &str| {
        servers
            .iter()
            .any(|server| server.runs.lock().unwrap().contains_key(id))
    };
    let late: Vec<_> = outcomes[1]
        .iter()
        .filter(|(id, sent_at_s, _)| *sent_at_s > bound_s && has_run(id))
        .collect();
    let latest_s = late
        .last()
        .map_or(0.0, |(_, sent_at_s, _)| sent_at_s - revoked_at_s);
    let served = |requests: &[(String, f64, client::Outcome)]| {
        let is_served = |outcome: &client::Outcome| *outcome == client::Outcome::Answered(200);
        requests
            .iter()
            .filter(|(_, _, outcome)| is_served(outcome))
            .count()
    };
    Ok(Verdict {
        is_broken: !late.is_empty(),
        text: format!(
            "CONFIG {}: {} requests with a key that had been taken away were run, though the relay \
             had been in touch for {} ms; the latest was sent {latest_s:.1} s after the confirmation. \
             {} requests with the other key were served, the relay used {} MB at the most and was \
             ended {} times for its memory",
            if late.is_empty() { "held" } else { "broken" },
            late.len(),
            CONTACT_TIME.as_millis(),
            served(&outcomes[0]),
            relay.peak_mb(),
            relay.memory_kills(),
        ),
    })
}
