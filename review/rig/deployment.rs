//! A small deployment: the store, servers of two services, and one relay.

use std::io;
use std::path::PathBuf;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;

use crate::client;
use crate::record::Record;
use crate::relay::Relay;
use crate::server::Answer;
use crate::server::Server;
use crate::store::Store;

/// Services as the operator names them.
pub const MODEL: &str = "huvo11a";
pub const APPLICATION: &str = "wuno96b";

/// Key of the configuration in the store.
pub const CONFIG_KEY: &str = "op/config";

/// Availability zones; the relay runs in the first one.
pub const ZONES: [&str; 2] = ["poa-a", "cwb-b"];

/// Paths of the routes.
pub const REPORTS: &str = "/lohu930/";
pub const BOOKINGS: &str = "/pule252/";

/// Headers of a small generation.
pub const GENERATION: &str =
    "Model: m\r\nToken-Count: 400,16\r\nPrompt-Prefix: 5c1e07a2:200,e4402b7d:200\r\n";

pub struct Deployment {
    pub record: Arc<Record>,
    pub store: Arc<Store>,
    folder: PathBuf,
    relay: Mutex<Option<Arc<Relay>>>,
}

impl Deployment {
    pub fn new(folder: PathBuf, record: Arc<Record>) -> io::Result<Arc<Self>> {
        let store = Store::start()?;
        store.write(&[(CONFIG_KEY.to_string(), Some(configuration(7, true, 0)))]);
        Ok(Arc::new(Self {
            record,
            store,
            folder,
            relay: Mutex::new(None),
        }))
    }

    /// Starts and registers servers of one service, the first half of them in the first zone.
    pub fn add_servers(
        &self,
        service: &'static str,
        count: usize,
        slots: usize,
        answer: Answer,
    ) -> io::Result<Vec<Arc<Server>>> {
        let start = |number| {
            let id = format!("i-{service}-{number}");
            let zone = ZONES[(number - 1) * ZONES.len() / count];
            Server::start(&id, service, zone, slots, answer, &self.record)
        };
        let servers = (1..=count).map(start).collect::<io::Result<Vec<_>>>()?;
        let entries: Vec<_> = servers
            .iter()
            .map(|server| (server.key(), Some(server.entry())))
            .collect();
        self.store.write(&entries);
        Ok(servers)
    }

    /// Starts the relay, and waits until it serves bookings.
    pub fn start_relay(&self) -> io::Result<Arc<Relay>> {
        let relay = Relay::start(self.store.address, &self.folder, &self.record)?;
        *self.relay.lock().unwrap() = Some(Arc::clone(&relay));
        let demand = booking();
        let mut client = client::Client::new("warm-up".to_string(), relay.frontend, &self.record);
        for _ in 0..100 {
            if client.request(&demand).2 == client::Outcome::Answered(200) {
                return Ok(relay);
            }
            std::thread::sleep(Duration::from_millis(50));
        }
        Err(io::ErrorKind::TimedOut.into())
    }

    /// Ends the process that this run started.
    pub fn end(&self) {
        if let Some(relay) = self.relay.lock().unwrap().take() {
            relay.end();
        }
    }
}

/// A booking as the sheet of limpa-sul describes it.
pub fn booking() -> client::Demand {
    client::Demand {
        path: BOOKINGS,
        time_limit: Duration::from_millis(1_500),
        body_bytes: 600,
        framing: client::Framing::Length,
        sending_time: Duration::ZERO,
        extra_headers: "",
        key: client::KEY,
    }
}

/// A configuration as `fleetbench wire` shows it, with the limits of the small sites and more routes
/// of the same form. `has_second_key` tells whether the tenant has [`client::SECOND_KEY`].
pub fn configuration(version: u64, has_second_key: bool, more_routes: usize) -> String {
    let host = client::HOST;
    let mut keys = format!(r#""{}""#, client::KEY);
    if has_second_key {
        keys += &format!(r#","{}""#, client::SECOND_KEY);
    }
    let more_routes: String = (0..more_routes)
        .map(|number| {
            format!(
                r#",
{{"name":"r-more{number}","host":"{host}","pathPrefix":"/more{number}/","routeKind":"non_idempotent","timeoutMs":800,"targetLatencyMs":300,"priority":2,"service":"{APPLICATION}","maxAttempts":1,"anonymous":false,"sessionAffinity":false,"streamResume":false}}"#
            )
        })
        .collect();
    format!(
        r#"{{"version":{version},"routes":[
{{"name":"r-reports","host":"{host}","pathPrefix":"{REPORTS}","routeKind":"streaming","timeoutMs":39000,"targetLatencyMs":1800,"priority":0,"service":"{MODEL}","maxAttempts":1,"anonymous":false,"sessionAffinity":true,"streamResume":false,"targetItlMs":180}},
{{"name":"r-bookings","host":"{host}","pathPrefix":"{BOOKINGS}","routeKind":"non_idempotent","timeoutMs":800,"targetLatencyMs":300,"priority":2,"service":"{APPLICATION}","maxAttempts":1,"anonymous":false}}{more_routes}],
"services":[
{{"name":"{MODEL}","healthPath":"/healthz","maxConnections":272,"protocol":"h1","tlsEnabled":false,"runtime":{{"slotCount":24,"kvCapacity":34371,"kvTokenBytes":163840,"linkMbps":24000.0,"migrations":true,"replicas":true,"stepSize":4,"most":12,"pinMs":4000.0,"holdMs":2000.0,"handleTtlS":5.0,"modelList":[{{"name":"m"}}]}}}},
{{"name":"{APPLICATION}","healthPath":"/healthz","maxConnections":96,"protocol":"h1","tlsEnabled":false}}],
"limits":{{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000}},
"tenants":[{{"name":"huka270","apiKeys":[{keys}],"priority":1}}]}}"#
    )
}
