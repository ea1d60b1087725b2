//! Stand-in of a model server, and of the plain servers of an application.

use std::collections::HashMap;
use std::collections::HashSet;
use std::io;
use std::io::BufReader;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::Mutex;
use std::thread;
use std::time::Duration;
use std::time::Instant;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use crate::http;
use crate::record::Record;
use crate::store::Store;

/// Interval at which a server writes its entry.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(1_200);

/// How a server runs one request.
#[derive(Debug, Clone, Copy)]
pub struct Plan {
    /// Time until the run begins.
    pub first_ms: u64,
    /// Events of a stream; zero for a plain response.
    pub events: u64,
    /// Time that each event takes, or the whole plain response.
    pub event_ms: u64,
    /// Whether the server runs the request and its answer is lost: the channel closes instead.
    pub is_lost: bool,
}

/// A run of a request, as its server sees it.
#[derive(Debug, Clone)]
pub struct Run {
    pub request: String,
    pub server: String,
    pub began_at: Instant,
    pub ended_at: Option<Instant>,
    pub is_complete: bool,
}

/// What all servers of a case share.
#[derive(Clone)]
pub struct Servers {
    record: Record,
    store: Store,
    plans: Arc<Mutex<HashMap<String, Plan>>>,
    runs: Arc<Mutex<Vec<Run>>>,
    /// Copies of memory: address of the holder and id of the request.
    copies: Arc<Mutex<HashSet<(String, String)>>>,
}

/// One server.
#[derive(Clone)]
pub struct Server {
    pub id: String,
    pub address: SocketAddr,
    service: String,
    slots: usize,
    default_plan: Plan,
    /// Whether it goes on with a run whose channel has closed, as some servers do.
    finishes: bool,
    /// Number of calls that move memory which it still turns away, as a server in need does.
    turned_away: Arc<Mutex<usize>>,
    state: Arc<Mutex<&'static str>>,
    stopped: Arc<Mutex<HashSet<String>>>,
    running: Arc<Mutex<usize>>,
    born: u128,
    servers: Servers,
}

/// Options of a server.
pub struct ServerOptions {
    pub service: &'static str,
    pub slots: usize,
    pub default_plan: Plan,
    pub finishes: bool,
}

impl Servers {
    pub fn new(record: &Record, store: &Store) -> Self {
        Self {
            record: record.clone(),
            store: store.clone(),
            plans: Arc::default(),
            runs: Arc::default(),
            copies: Arc::default(),
        }
    }

    /// Sets how the request with this id runs, wherever it does.
    pub fn plan(&self, request: &str, plan: Plan) {
        self.plans.lock().unwrap().insert(request.into(), plan);
    }

    pub fn runs_of(&self, request: &str) -> Vec<Run> {
        let runs = self.runs.lock().unwrap();
        let of_request = runs.iter().filter(|run| run.request == request);
        of_request.cloned().collect()
    }

    pub fn all_runs(&self) -> Vec<Run> {
        self.runs.lock().unwrap().clone()
    }

    /// Starts a server, which registers itself.
    pub fn start(&self, id: &str, options: ServerOptions) -> io::Result<Server> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH);
        let server = Server {
            id: id.to_owned(),
            address: listener.local_addr()?,
            service: options.service.to_owned(),
            slots: options.slots,
            default_plan: options.default_plan,
            finishes: options.finishes,
            turned_away: Arc::default(),
            state: Arc::new(Mutex::new("ready")),
            stopped: Arc::default(),
            running: Arc::default(),
            born: since_epoch.unwrap_or_default().as_millis(),
            servers: self.clone(),
        };
        let served = server.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let server = served.clone();
                thread::spawn(move || server.serve(stream));
            }
        });
        let registered = server.clone();
        thread::spawn(move || {
            for sequence in 0_u64.. {
                registered.register(sequence);
                thread::sleep(HEARTBEAT_INTERVAL);
            }
        });
        Ok(server)
    }
}

impl Server {
    fn register(&self, sequence: u64) {
        let entry = format!(
            "{{\"service\":\"{}\",\"address\":\"{}\",\"zone\":\"zone-a\",\"version\":\"v1\",\
            \"slotCount\":{},\"instanceState\":\"{}\",\"coldRemainingMs\":0,\"callSeq\":{sequence},\
            \"born\":{}}}",
            self.service,
            self.address,
            self.slots,
            self.state.lock().unwrap(),
            self.born
        );
        self.servers
            .store
            .put(&format!("servers/{}", self.id), &entry);
    }

    /// Reports that the server leaves; it serves on.
    pub fn drain(&self) {
        *self.state.lock().unwrap() = "draining";
        self.servers
            .record
            .note(format!("server {} says draining", self.id));
        self.register(u64::MAX / 2);
    }

    /// Turns the next calls away that move memory.
    pub fn turn_away(&self, calls: usize) {
        *self.turned_away.lock().unwrap() = calls;
    }

    fn serve(&self, stream: TcpStream) -> Option<()> {
        stream.set_nodelay(true).ok()?;
        let mut writer = stream.try_clone().ok()?;
        let mut reader = BufReader::new(stream);
        loop {
            let request = http::read_request(&mut reader).ok()??;
            if !request.is_complete {
                return None;
            }
            match (request.method(), request.path()) {
                ("GET", "/report") => self.report(&mut writer)?,
                ("POST", "/kv-move") => self.move_memory(&request, &mut writer)?,
                ("DELETE", path) if path.starts_with("/kv-handle/") => {
                    respond(
                        &mut writer,
                        "200 OK",
                        "Content-Type: application/json\r\n",
                        "{}",
                    )?;
                }
                _ => self.run(&request, &mut writer)?,
            }
        }
    }

    fn report(&self, writer: &mut TcpStream) -> Option<()> {
        let body = format!(
            "{{\"phase\":\"unified\",\"busy\":false,\"waiting\":0,\"inFlight\":{},\
            \"instanceState\":\"{}\",\"born\":{}}}",
            self.running.lock().unwrap(),
            self.state.lock().unwrap(),
            self.born
        );
        respond(
            writer,
            "200 OK",
            "Content-Type: application/json\r\n",
            &body,
        )
    }

    /// Stops a run whose memory is moved for good. No other move finds room.
    fn move_memory(&self, request: &http::Message, writer: &mut TcpStream) -> Option<()> {
        let text = request.text();
        let id = text.split("\"instanceId\":\"").nth(1);
        let id = id
            .and_then(|rest| rest.split('"').next())
            .unwrap_or_default();
        let is_final = text.contains("\"final\":true");
        let runs = self.servers.runs_of(id);
        let is_running = |run: &Run| run.server == self.id && run.ended_at.is_none();
        let record = &self.servers.record;
        if self.takes_turn_away() {
            record.note(format!(
                "server {} turns away kv-move of {id} (503, Not-Executed)",
                self.id
            ));
            return respond(writer, "503 Service Unavailable", "Not-Executed: 1\r\n", "");
        }
        if !runs.iter().any(is_running) {
            record.note(format!("server {} answers kv-move of {id}: 404", self.id));
            return respond(writer, "404 Not Found", "", "");
        }
        if !is_final {
            record.note(format!(
                "server {} answers kv-move of {id}: 503, no room",
                self.id
            ));
            return respond(writer, "503 Service Unavailable", "", "{}");
        }
        self.stopped.lock().unwrap().insert(id.to_owned());
        record.note(format!(
            "server {} answers kv-move of {id}: stopped",
            self.id
        ));
        let body = format!("{{\"kvHandle\":\"h-{id}\",\"createdRevision\":1}}");
        respond(
            writer,
            "200 OK",
            "Content-Type: application/json\r\n",
            &body,
        )
    }

    /// Returns whether a call is to be turned away.
    fn takes_turn_away(&self) -> bool {
        let mut turned_away = self.turned_away.lock().unwrap();
        let is_left = *turned_away > 0;
        *turned_away = turned_away.saturating_sub(1);
        is_left
    }

    fn run(&self, request: &http::Message, writer: &mut TcpStream) -> Option<()> {
        let record = &self.servers.record;
        let Some(id) = request.header("attempt-id").map(str::to_owned) else {
            return respond(writer, "400 Bad Request", "Not-Executed: 1\r\n", "");
        };
        let expected = request.header("expect-instance");
        if expected.is_some_and(|expected| expected != self.id) {
            let instance = format!("Instance-Id: {}\r\n", self.id);
            return respond(writer, "421 Misdirected Request", &instance, "");
        }
        let identity = format!("Attempt-Id: {id}\r\nServer-Seal: seal-{id}-{}\r\n", self.id);
        let refusal = format!("Attempt-Id: {id}\r\nNot-Executed: 1\r\n");
        let mut first_event = 1;
        if request.header("kv-from").is_some() {
            let copy = (self.address.to_string(), id.clone());
            if !self.servers.copies.lock().unwrap().contains(&copy) {
                record.note(format!("server {} has no copy of {id}: 503", self.id));
                return respond(writer, "503 Service Unavailable", &refusal, "");
            }
        }
        if let Some(last) = request.header("last-event-id") {
            first_event = last.parse::<u64>().unwrap_or(0) + 1;
        }
        {
            let mut running = self.running.lock().unwrap();
            if *running >= self.slots {
                drop(running);
                record.note(format!("server {} is full, turns {id} away", self.id));
                return respond(writer, "503 Service Unavailable", &refusal, "");
            }
            *running += 1;
        }
        let plans = self.servers.plans.lock().unwrap();
        let plan = plans.get(&id).copied().unwrap_or(self.default_plan);
        drop(plans);
        thread::sleep(Duration::from_millis(plan.first_ms));
        let number = {
            let mut runs = self.servers.runs.lock().unwrap();
            runs.push(Run {
                request: id.clone(),
                server: self.id.clone(),
                began_at: Instant::now(),
                ended_at: None,
                is_complete: false,
            });
            runs.len() - 1
        };
        record.note(format!(
            "server {} runs {id} from event {first_event}",
            self.id
        ));
        if let Some(holder) = request.header("kv-backup") {
            let copy = (holder.to_owned(), id.clone());
            self.servers.copies.lock().unwrap().insert(copy);
        }
        let is_complete = match plan.events {
            0 => self.run_plain(plan, &identity, writer),
            _ => self.run_stream(&id, plan, first_event, &identity, writer),
        };
        {
            let mut runs = self.servers.runs.lock().unwrap();
            runs[number].ended_at = Some(Instant::now());
            runs[number].is_complete = is_complete;
        }
        *self.running.lock().unwrap() -= 1;
        record.note(format!(
            "server {} ends {id}{}",
            self.id,
            match (plan.is_lost, is_complete) {
                (true, _) => ", its answer is lost",
                (false, true) => ", complete",
                (false, false) => ", not complete",
            }
        ));
        match plan.is_lost || !is_complete {
            true => None,
            false => Some(()),
        }
    }

    fn run_plain(&self, plan: Plan, identity: &str, writer: &mut TcpStream) -> bool {
        thread::sleep(Duration::from_millis(plan.event_ms));
        !plan.is_lost && respond(writer, "200 OK", identity, "the server's bytes").is_some()
    }

    fn run_stream(
        &self,
        id: &str,
        plan: Plan,
        first_event: u64,
        identity: &str,
        writer: &mut TcpStream,
    ) -> bool {
        let head = format!(
            "HTTP/1.1 200 OK\r\n{identity}Content-Type: text/event-stream\r\n\
            Transfer-Encoding: chunked\r\n\r\n"
        );
        let mut is_open = !plan.is_lost && writer.write_all(head.as_bytes()).is_ok();
        for number in first_event..=plan.events {
            thread::sleep(Duration::from_millis(plan.event_ms));
            if self.stopped.lock().unwrap().contains(id) {
                return false;
            }
            let event = format!("id: {number}\ndata: piece {number}\n\n");
            let chunk = format!("{:x}\r\n{event}\r\n", event.len());
            is_open = is_open && !is_closed(writer) && writer.write_all(chunk.as_bytes()).is_ok();
            if !is_open && !plan.is_lost && !self.finishes {
                return false;
            }
        }
        is_open && writer.write_all(b"0\r\n\r\n").is_ok()
    }
}

/// Returns whether the other end has closed the channel.
fn is_closed(stream: &TcpStream) -> bool {
    let _ = stream.set_nonblocking(true);
    let peeked = stream.peek(&mut [0]);
    let _ = stream.set_nonblocking(false);
    match peeked {
        Ok(count) => count == 0,
        Err(error) => error.kind() != io::ErrorKind::WouldBlock,
    }
}

fn respond(writer: &mut TcpStream, status: &str, headers: &str, body: &str) -> Option<()> {
    let response = format!(
        "HTTP/1.1 {status}\r\n{headers}Content-Length: {}\r\n\r\n{body}",
        body.len()
    );
    writer.write_all(response.as_bytes()).ok()
}
