//! A new configuration adds a tenant whose name has a capital letter.

use std::path::Path;
use std::sync::Arc;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use crate::Verdict;
use crate::plain;
use crate::record::Record;
use crate::relay;
use crate::relay::Relay;
use crate::servers::Ledger;
use crate::servers::Server;
use crate::store::Store;

const CONFIG_APPLY: Duration = Duration::from_millis(2_000);

fn config(version: u64, route: &str, tenant: &str) -> String {
    format!(
        r#"{{"version":{version},"routes":[{{"name":"r-book","host":"a.example","pathPrefix":"/book/","routeKind":"non_idempotent","timeoutMs":1500,"targetLatencyMs":300,"priority":1,"service":"booking","maxAttempts":1,"anonymous":false}}{route}],"services":[{{"name":"booking","healthPath":"/healthz","maxConnections":96,"protocol":"h1","tlsEnabled":false}}],"limits":{{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000}},"tenants":[{{"name":"huka270","apiKeys":["key-1"],"priority":1}}{tenant}]}}"#
    )
}

pub fn play(record: &Record, scratch: &Path, has_trouble: bool) -> Verdict {
    let store = Store::start();
    store.write("op/config", &config(7, "", ""), None);
    let ledger = Arc::<Ledger>::default();
    let servers = [0, 1, 2].map(|number| {
        Server::start(
            &format!("i-{number}"),
            "booking",
            false,
            true,
            &ledger,
            &store,
        )
    });
    let addresses = relay::free_addresses(3);
    let relays = [0, 1, 2].map(|index| Relay::start(scratch, &addresses, index, store.address));
    if !relays
        .iter()
        .all(|relay| relay.wait_until_ready(Duration::from_secs(10)))
    {
        record.write("the relays did not become ready");
        return Verdict::NotRun;
    }
    thread::sleep(Duration::from_secs(2));
    let (status, _) = plain::call(relays[0].callers, "first", "/book/1", "key-1");
    record.write(&format!("with version 7, a request gets {status}"));
    if status != 200 {
        return Verdict::NotRun;
    }

    let name = if has_trouble { "Acme" } else { "acme" };
    let route = r#",{"name":"r-new","host":"a.example","pathPrefix":"/new/","routeKind":"non_idempotent","timeoutMs":1500,"targetLatencyMs":300,"priority":1,"service":"booking","maxAttempts":1,"anonymous":false}"#;
    let tenant = format!(r#",{{"name":"{name}","apiKeys":["key-2"],"priority":1}}"#);
    store.write("op/config", &config(11, route, &tenant), None);
    let confirmed_at = Instant::now();
    record.write(&format!(
        "version 11 is confirmed: a new route, and tenant {name} with key-2"
    ));
    thread::sleep(CONFIG_APPLY + Duration::from_secs(1));
    let mut stale = 0;
    let mut number = 0;
    while confirmed_at.elapsed() < Duration::from_secs(10) {
        for relay in &relays {
            for (path, key) in [("/new/1", "key-1"), ("/book/1", "key-2")] {
                number += 1;
                let (status, body) = plain::call(relay.callers, &format!("a{number}"), path, key);
                record.write(&format!(
                    "{} s after it, {path} with {key} at {}: {status} {body:?}",
                    confirmed_at.elapsed().as_secs(),
                    relay.name
                ));
                stale += usize::from(matches!(status, 401 | 403 | 404));
            }
        }
        thread::sleep(Duration::from_secs(1));
    }
    for relay in &relays {
        for line in relay.log_lines("routes_rejected") {
            record.write(&format!("{}: {line}", relay.name));
        }
    }
    record.write(&format!(
        "{stale} of {number} requests were refused as only version 7 says; {} servers",
        servers.len()
    ));
    match stale {
        0 => Verdict::Held,
        _ => Verdict::Broken,
    }
}
