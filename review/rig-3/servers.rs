//! Servers as the pages describe them: model servers that stream, and plain ones.

use std::collections::BTreeMap;
use std::io::BufReader;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;
use std::time::Instant;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use crate::http;
use crate::path::ServerPath;
use crate::store::Store;

pub const HEARTBEAT: Duration = Duration::from_millis(1_200);
pub const LEASE: Duration = Duration::from_millis(3_600);

/// Time until the first event of a stream.
const FIRST_EVENT: Duration = Duration::from_millis(200);

/// Time that a plain request takes, as on the sheet.
const PLAIN_WORK: Duration = Duration::from_millis(60);

/// How a run at one server ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RunEnd {
    Completed,
    /// Its channel closed.
    Dropped,
    /// A final `kv-move` stopped it.
    Stopped,
}

/// One run of a request at one server.
#[derive(Debug, Clone)]
pub struct Run {
    pub request: String,
    pub path: String,
    pub server: String,
    pub began: Instant,
    pub ended: Option<(Instant, RunEnd)>,
    /// First and last event that this run made.
    pub events: (u64, u64),
}

/// What all servers have done, and the copies that they hold for each other.
#[derive(Default)]
pub struct Ledger {
    pub runs: Mutex<Vec<Run>>,
    /// Copies by the address in `Kv-From`, a slash and the handle, with the address of their holder.
    copies: Mutex<BTreeMap<String, SocketAddr>>,
    last_handle: AtomicU64,
    /// Least size of an event.
    event_bytes: usize,
    /// Time between two events of a stream.
    event_gap: Duration,
}

impl Ledger {
    /// Creates the ledger of servers whose events have at least this size, and this time between them.
    pub fn new(event_bytes: usize, event_gap: Duration) -> Arc<Self> {
        Arc::new(Self {
            event_bytes,
            event_gap,
            ..Self::default()
        })
    }

    pub fn runs(&self) -> Vec<Run> {
        self.runs.lock().unwrap().clone()
    }

    fn begin(&self, run: Run) -> usize {
        let mut runs = self.runs.lock().unwrap();
        runs.push(run);
        runs.len() - 1
    }

    fn is_open(&self, index: usize) -> bool {
        self.runs.lock().unwrap()[index].ended.is_none()
    }

    fn end(&self, index: usize, end: RunEnd) {
        let run = &mut self.runs.lock().unwrap()[index];
        if run.ended.is_none() {
            run.ended = Some((Instant::now(), end));
        }
    }
}

pub struct Server {
    pub id: String,
    pub service: String,
    pub born: u64,
    /// The path from the relays and to the store.
    pub path: Arc<ServerPath>,
    /// Whether a request ends when its channel closes, as at most servers.
    pub drops_on_close: bool,
    pub is_engine: bool,
    ledger: Arc<Ledger>,
    store: Arc<Store>,
    beats: AtomicU64,
}

impl Server {
    pub fn start(
        id: &str,
        service: &str,
        is_engine: bool,
        drops_on_close: bool,
        ledger: &Arc<Ledger>,
        store: &Arc<Store>,
    ) -> Arc<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let address = listener.local_addr().expect("a bound address");
        let born = SystemTime::now().duration_since(UNIX_EPOCH);
        let server = Arc::new(Self {
            id: id.to_string(),
            service: service.to_string(),
            born: born.map_or(1, |time| time.as_millis() as u64),
            path: ServerPath::start(address),
            drops_on_close,
            is_engine,
            ledger: Arc::clone(ledger),
            store: Arc::clone(store),
            beats: AtomicU64::new(0),
        });
        let acceptor = Arc::clone(&server);
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let server = Arc::clone(&acceptor);
                thread::spawn(move || server.serve(stream));
            }
        });
        let beating = Arc::clone(&server);
        thread::spawn(move || beating.register());
        server
    }

    pub fn key(&self) -> String {
        format!("servers/{}", self.id)
    }

    /// Returns the server's entry in the store.
    pub fn entry(&self) -> String {
        let Self { service, born, .. } = self;
        let slots = if self.is_engine { 24 } else { 6 };
        let beats = self.beats.load(Ordering::SeqCst);
        format!(
            "{{\"service\":\"{service}\",\"address\":\"{}\",\"zone\":\"z-a\",\"version\":\"v1\",\"slotCount\":{slots},\"instanceState\":\"ready\",\"coldRemainingMs\":0,\"callSeq\":{beats},\"born\":{born}}}",
            self.path.address
        )
    }

    /// Writes the entry at each heartbeat that reaches the store.
    fn register(&self) {
        loop {
            self.beats.fetch_add(1, Ordering::SeqCst);
            if !self.path.is_cut() {
                self.store.write(&self.key(), &self.entry(), Some(LEASE));
            }
            thread::sleep(HEARTBEAT);
        }
    }

    fn serve(&self, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let Ok(mut writer) = stream.try_clone() else {
            return;
        };
        let mut reader = BufReader::new(stream);
        while let Ok(Some(request)) = http::read_request(&mut reader) {
            let is_open = match (request.method.as_str(), request.path()) {
                ("POST", "/kv-move") => self.move_memory(&request, &mut writer),
                ("DELETE", path) if path.starts_with("/kv-handle/") => {
                    let handle = path.trim_start_matches("/kv-handle/");
                    let mut copies = self.ledger.copies.lock().unwrap();
                    copies.retain(|name, _| !name.ends_with(&format!("/{handle}")));
                    http::respond(&mut writer, 200, &[], b"{}").is_ok()
                }
                ("GET", "/report") => {
                    let body = format!(
                        "{{\"phase\":\"unified\",\"instanceState\":\"ready\",\"born\":{}}}",
                        self.born
                    );
                    let headers = [("Content-Type", "application/json")];
                    http::respond(&mut writer, 200, &headers, body.as_bytes()).is_ok()
                }
                ("GET", "/healthz") => {
                    let headers = [("Instance-Id", self.id.as_str())];
                    http::respond(&mut writer, 200, &headers, b"").is_ok()
                }
                _ => self.run(&request, &mut writer),
            };
            if !is_open {
                return;
            }
        }
    }

    /// Runs a request. Returns whether the connection is still open.
    fn run(&self, request: &http::Request, writer: &mut TcpStream) -> bool {
        let attempt = request.header("attempt-id").unwrap_or_default().to_string();
        let expected = request.header("expect-instance");
        if expected.is_some_and(|expected| expected != self.id) {
            let headers = [("Attempt-Id", attempt.as_str())];
            return http::respond(writer, 421, &headers, b"").is_ok();
        }
        if let Some(copy) = request.header("kv-from") {
            let holder = self.ledger.copies.lock().unwrap().remove(copy);
            if holder != Some(self.path.address) {
                let headers = [("Attempt-Id", attempt.as_str()), ("Not-Executed", "1")];
                return http::respond(writer, 503, &headers, b"").is_ok();
            }
        }
        let first = request
            .header("last-event-id")
            .and_then(|text| text.parse::<u64>().ok())
            .map_or(1, |last| last + 1);
        let index = self.ledger.begin(Run {
            request: attempt.clone(),
            path: request.path().to_string(),
            server: self.id.clone(),
            began: Instant::now(),
            ended: None,
            events: (first, first.saturating_sub(1)),
        });
        match self.is_engine {
            true => self.stream(request, writer, index, &attempt, first),
            false => {
                thread::sleep(PLAIN_WORK);
                let seal = format!("seal-{}", self.id);
                let body = format!("{} of {}", self.service, self.id);
                let headers = [
                    ("Attempt-Id", attempt.as_str()),
                    ("Server-Seal", seal.as_str()),
                    ("Server-Load", "1,0,6"),
                ];
                let written = http::respond(writer, 200, &headers, body.as_bytes());
                self.ledger.end(index, RunEnd::Completed);
                written.is_ok()
            }
        }
    }

    /// Streams the events of a request: as many as its `Token-Count` allows, four tokens each.
    fn stream(
        &self,
        request: &http::Request,
        writer: &mut TcpStream,
        index: usize,
        attempt: &str,
        first: u64,
    ) -> bool {
        let tokens = request.header("token-count").unwrap_or_default();
        let tokens = tokens.split(',').nth(1);
        let last = tokens.and_then(|text| text.trim().parse::<u64>().ok());
        let last = last.unwrap_or(4) / 4;
        let deadline = request.header("deadline-ms");
        let deadline = deadline.and_then(|text| text.parse().ok());
        let deadline = Instant::now() + Duration::from_millis(deadline.unwrap_or(60_000));
        let holder = request.header("kv-backup").map(str::to_string);
        let head = format!(
            "HTTP/1.1 200 OK\r\nAttempt-Id: {attempt}\r\nServer-Seal: seal-{}\r\nServer-Load: 1,0,24\r\nWeight-Versions: 1\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n",
            self.id
        );
        let mut is_open = writer.write_all(head.as_bytes()).is_ok();
        if first == 1 {
            thread::sleep(FIRST_EVENT);
        }
        for event in first..=last {
            if !self.ledger.is_open(index) {
                return false;
            }
            if Instant::now() >= deadline || !is_open && self.drops_on_close {
                self.ledger.end(index, RunEnd::Dropped);
                return false;
            }
            self.ledger.runs.lock().unwrap()[index].events.1 = event;
            if is_open {
                let text = format!("event {event} of {attempt}");
                let width = self.ledger.event_bytes;
                let data = format!("id: {event}\ndata: {text:width$}\n\n");
                let chunk = format!("{:x}\r\n{data}\r\n", data.len());
                is_open = writer.write_all(chunk.as_bytes()).is_ok();
            }
            if let (Some(holder), false) = (&holder, self.path.is_cut())
                && let Ok(address) = holder.parse()
            {
                let name = format!("{holder}/{attempt}");
                self.ledger.copies.lock().unwrap().insert(name, address);
            }
            thread::sleep(self.ledger.event_gap);
        }
        if !self.ledger.is_open(index) {
            return false;
        }
        if let Some(holder) = holder {
            let name = format!("{holder}/{attempt}");
            self.ledger.copies.lock().unwrap().remove(&name);
        }
        self.ledger.end(index, RunEnd::Completed);
        is_open && writer.write_all(b"0\r\n\r\n").is_ok()
    }

    /// Copies the memory of a run, and stops it first if the copy is final.
    fn move_memory(&self, request: &http::Request, writer: &mut TcpStream) -> bool {
        let body = String::from_utf8_lossy(&request.body).into_owned();
        let field = |name: &str| {
            let (_, rest) = body.split_once(&format!("\"{name}\":\""))?;
            rest.split('"').next().map(str::to_string)
        };
        let attempt = field("instanceId").unwrap_or_default();
        let destination = field("to").and_then(|text| text.parse::<SocketAddr>().ok());
        let is_final = body.contains("\"final\":true");
        let runs = self.ledger.runs();
        let mut own = runs.iter().enumerate().rev();
        let run = own.find(|(_, run)| {
            run.request == attempt && run.server == self.id && run.ended.is_none()
        });
        let (Some((index, run)), Some(destination)) = (run, destination) else {
            return http::respond(writer, 404, &[], b"{}").is_ok();
        };
        if is_final {
            self.ledger.end(index, RunEnd::Stopped);
        }
        let number = self.ledger.last_handle.fetch_add(1, Ordering::SeqCst);
        let handle = format!("m{number}");
        let name = format!("{}/{handle}", self.path.address);
        let mut copies = self.ledger.copies.lock().unwrap();
        copies.insert(name, destination);
        drop(copies);
        let body = format!(
            "{{\"kvHandle\":\"{handle}\",\"createdRevision\":{}}}",
            run.events.1
        );
        let headers = [("Content-Type", "application/json")];
        http::respond(writer, 200, &headers, body.as_bytes()).is_ok()
    }
}
