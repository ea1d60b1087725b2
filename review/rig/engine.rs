//! Stand-in model servers that keep copies of running requests for each other.

use std::collections::HashMap;
use std::collections::HashSet;
use std::io;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::Mutex;
use std::thread;
use std::time::Duration;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use crate::deployment;
use crate::http::Channel;
use crate::http::Head;
use crate::record::Record;

/// Events of one generation, and the time between them. An event holds 4 tokens.
pub const EVENTS: u32 = 100;
const EVENT_INTERVAL: Duration = Duration::from_millis(80);

const SLOTS: usize = 24;

/// Whether a server drops a request when its channel closes. PROTOCOL.md: most do.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OnClose {
    Drops,
    WorksOn,
}

/// What all servers of a deployment know: copies by holder and handle, and what was worked on.
#[derive(Debug, Default)]
pub struct EngineLog {
    copies: HashSet<(SocketAddr, String)>,
    /// Runs that a final `/kv-move` has stopped, by server and request.
    stopped: HashSet<(String, String)>,
    /// For each request, the server and the time of each event that was made.
    pub work: HashMap<String, Vec<(String, f64)>>,
}

pub struct Engine {
    pub id: String,
    zone: &'static str,
    address: SocketAddr,
    born_ms: u128,
    on_close: OnClose,
    log: Arc<Mutex<EngineLog>>,
    record: Arc<Record>,
}

impl Engine {
    pub fn start(
        id: &str,
        zone: &'static str,
        on_close: OnClose,
        log: &Arc<Mutex<EngineLog>>,
        record: &Arc<Record>,
    ) -> io::Result<Arc<Self>> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let born = SystemTime::now().duration_since(UNIX_EPOCH);
        let engine = Arc::new(Self {
            id: id.to_string(),
            zone,
            address: listener.local_addr()?,
            born_ms: born.map_or(0, |time| time.as_millis()),
            on_close,
            log: Arc::clone(log),
            record: Arc::clone(record),
        });
        let served = Arc::clone(&engine);
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let engine = Arc::clone(&served);
                // An error means that the relay has closed the channel.
                thread::spawn(move || engine.serve(stream));
            }
        });
        Ok(engine)
    }

    /// Returns the key of this server's entry in the store.
    pub fn key(&self) -> String {
        format!("servers/{}", self.id)
    }

    /// Returns this server's entry in the store in a state, `ready` or `draining`.
    pub fn entry(&self, state: &str) -> String {
        let Self {
            zone,
            address,
            born_ms,
            ..
        } = self;
        let service = deployment::MODEL;
        format!(
            r#"{{"service":"{service}","address":"{address}","zone":"{zone}","version":"v1","slotCount":{SLOTS},"instanceState":"{state}","coldRemainingMs":0,"phase":"unified","modelList":[{{"name":"m","version":1,"adapters":[]}}],"callSeq":1,"born":{born_ms}}}"#
        )
    }

    fn serve(&self, stream: TcpStream) -> io::Result<()> {
        let mut channel = Channel::new(stream)?;
        while let Some(head) = channel.read_head()? {
            let body = channel.read_body(&head)?;
            if head.start.starts_with("POST /kv-move ") {
                self.copy(&mut channel, &String::from_utf8_lossy(&body))?;
            } else if head.start.starts_with("DELETE /kv-handle/") {
                channel.write(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")?;
            } else if head.get("Expect-Instance").is_some_and(|id| id != self.id) {
                channel.write(b"HTTP/1.1 421 Misdirected Request\r\nContent-Length: 0\r\n\r\n")?;
            } else {
                self.run(&mut channel, &head)?;
            }
        }
        Ok(())
    }

    /// Copies the memory of a running request to another server, and stops the run if the move is
    /// final.
    fn copy(&self, channel: &mut Channel, body: &str) -> io::Result<()> {
        let field = |name: &str| {
            let (_, rest) = body.split_once(&format!("\"{name}\":"))?;
            let end = rest.find([',', '}'])?;
            Some(rest[..end].trim_matches('"').to_string())
        };
        let request = field("instanceId").unwrap_or_default();
        let made = self.events_made(&request);
        let answer = match field("to").and_then(|to| to.parse().ok()) {
            Some(to) if made > 0 => {
                let mut log = self.log.lock().unwrap();
                log.copies.insert((to, format!("h-{request}")));
                if field("final").as_deref() == Some("true") {
                    log.stopped.insert((self.id.clone(), request.clone()));
                }
                let body = format!(r#"{{"kvHandle":"h-{request}","createdRevision":{made}}}"#);
                format!("200 OK\r\nContent-Length: {}\r\n\r\n{body}", body.len())
            }
            _ => "404 Not Found\r\nContent-Length: 0\r\n\r\n".to_string(),
        };
        self.record
            .line(&self.id, format!("is asked to move {request}: {body}"));
        channel.write(format!("HTTP/1.1 {answer}").as_bytes())
    }

    fn events_made(&self, request: &str) -> usize {
        let log = self.log.lock().unwrap();
        let work = log.work.get(request);
        work.map_or(0, |work| {
            work.iter().filter(|(server, _)| *server == self.id).count()
        })
    }

    fn run(&self, channel: &mut Channel, head: &Head) -> io::Result<()> {
        let id = head.get("Attempt-Id").unwrap_or_default().to_string();
        if let Some(source) = head.get("Kv-From") {
            let handle = source.split_once('/').map_or("", |(_, handle)| handle);
            let copy = (self.address, handle.to_string());
            if !self.log.lock().unwrap().copies.remove(&copy) {
                return channel.write(
                    b"HTTP/1.1 503 Service Unavailable\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n",
                );
            }
        }
        if let Some(holder) = head.get("Kv-Backup").and_then(|text| text.parse().ok()) {
            let mut log = self.log.lock().unwrap();
            log.copies.insert((holder, id.clone()));
        }
        let last_event = head.get("Last-Event-Id").and_then(|text| text.parse().ok());
        let first_event = last_event.unwrap_or(0) + 1;
        self.record
            .line(&self.id, format!("runs {id} from event {first_event}"));
        let head = format!(
            "HTTP/1.1 200 OK\r\nAttempt-Id: {id}\r\nServer-Seal: seal-{id}\r\n\
             Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
        );
        let mut sent = channel.write(head.as_bytes());
        for event in first_event..=EVENTS {
            thread::sleep(EVENT_INTERVAL);
            let mut log = self.log.lock().unwrap();
            if log.stopped.contains(&(self.id.clone(), id.clone())) {
                self.record
                    .line(&self.id, format!("has stopped {id} for its move"));
                return Err(io::ErrorKind::Interrupted.into());
            }
            let made = (self.id.clone(), self.record.seconds());
            log.work.entry(id.clone()).or_default().push(made);
            drop(log);
            if sent.is_ok() {
                let data = format!("id: {event}\ndata: {id}\n\n");
                sent = channel.write_chunk(data.as_bytes());
                if sent.is_err() {
                    self.record
                        .line(&self.id, format!("finds the channel of {id} closed"));
                }
            }
            if sent.is_err() && self.on_close == OnClose::Drops {
                return sent;
            }
        }
        self.record
            .line(&self.id, format!("has made the last event of {id}"));
        sent?;
        channel.write(b"0\r\n\r\n")
    }
}
