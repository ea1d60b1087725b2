//! Another writer puts an entry with missing fields under the id of a server.

use std::collections::BTreeMap;
use std::path::Path;
use std::sync::Arc;
use std::sync::Mutex;
use std::thread;
use std::time::Duration;

use crate::Verdict;
use crate::plain;
use crate::record::Record;
use crate::relay;
use crate::relay::Relay;
use crate::servers::LEASE;
use crate::servers::Ledger;
use crate::servers::Server;
use crate::store::Store;

const CONFIG: &str = r#"{"version":7,"routes":[{"name":"r-book","host":"a.example","pathPrefix":"/book/","routeKind":"non_idempotent","timeoutMs":1500,"targetLatencyMs":300,"priority":1,"service":"booking","maxAttempts":1,"anonymous":false},{"name":"r-look","host":"a.example","pathPrefix":"/look/","routeKind":"non_idempotent","timeoutMs":1500,"targetLatencyMs":300,"priority":1,"service":"lookup","maxAttempts":1,"anonymous":false}],"services":[{"name":"booking","healthPath":"/healthz","maxConnections":96,"protocol":"h1","tlsEnabled":false},{"name":"lookup","healthPath":"/healthz","maxConnections":96,"protocol":"h1","tlsEnabled":false}],"limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000},"tenants":[{"name":"t1","apiKeys":["key-1"],"priority":1}]}"#;

const SERVERS_PER_SERVICE: usize = 3;
const CALL_INTERVAL: Duration = Duration::from_millis(20);
const ROUNDS: usize = 4;
const ROUND: Duration = Duration::from_secs(3);

pub fn play(record: &Record, scratch: &Path, has_trouble: bool) -> Verdict {
    let store = Store::start();
    store.write("op/config", CONFIG, None);
    let ledger = Arc::<Ledger>::default();
    let mut servers = Vec::new();
    for service in ["booking", "lookup"] {
        for number in 0..SERVERS_PER_SERVICE {
            let id = format!("i-{service}-{number}");
            servers.push(Server::start(&id, service, false, true, &ledger, &store));
        }
    }
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

    let answers = Arc::<Mutex<BTreeMap<String, (u16, String)>>>::default();
    let mut callers = Vec::new();
    let mut number = 0;
    for round in 0..ROUNDS {
        if has_trouble {
            // Without `slotCount`, `version`, `callSeq` and `coldRemainingMs`, and with the service of
            // other servers.
            let server = &servers[round % SERVERS_PER_SERVICE];
            let entry = format!(
                "{{\"service\":\"lookup\",\"address\":\"{}\",\"zone\":\"z-a\",\"instanceState\":\"ready\",\"born\":{}}}",
                server.path.address, server.born
            );
            store.write(&server.key(), &entry, Some(LEASE));
            record.write(&format!("another writer: {} = {entry}", server.key()));
        }
        for _ in 0..ROUND.as_millis() / CALL_INTERVAL.as_millis() {
            for path in ["/look/1", "/book/1"] {
                number += 1;
                let address = relays[number % relays.len()].callers;
                let id = format!("{}{number}", &path[1..5]);
                let answers = Arc::clone(&answers);
                callers.push(thread::spawn(move || {
                    let answer = plain::call(address, &id, path, "key-1");
                    answers.lock().unwrap().insert(id, answer);
                }));
            }
            thread::sleep(CALL_INTERVAL);
        }
    }
    for caller in callers {
        let _ = caller.join();
    }

    let answers = answers.lock().unwrap();
    let mut statuses = BTreeMap::<u16, usize>::new();
    for (status, _) in answers.values() {
        *statuses.entry(*status).or_default() += 1;
    }
    record.write(&format!(
        "{} requests, answers by status: {statuses:?}",
        answers.len()
    ));
    let mut wrong = 0;
    for run in ledger.runs() {
        let service = match run.path.as_str() {
            "/look/1" => "lookup",
            _ => "booking",
        };
        let server = servers.iter().find(|server| server.id == run.server);
        let server = server.expect("a known server");
        if server.service != service {
            wrong += 1;
            let answer = answers.get(&run.request);
            let (status, body) = answer.cloned().unwrap_or_default();
            record.write(&format!(
                "ROUTE: {} for {} ran at {} of service {} at {:.3} s; its caller got {status}, {body:?}",
                run.request,
                run.path,
                run.server,
                server.service,
                record.seconds(run.began)
            ));
        }
    }
    record.write(&format!(
        "{wrong} requests ran at a service that no configuration allows"
    ));
    match wrong {
        0 if statuses.get(&200).copied().unwrap_or_default() == 0 => Verdict::NotRun,
        0 => Verdict::Held,
        _ => Verdict::Broken,
    }
}
