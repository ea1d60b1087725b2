//! Stand-in servers: a plain application, and model servers that stream events.

use std::collections::HashMap;
use std::io;
use std::net::Shutdown;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use crate::http::Channel;
use crate::http::Head;
use crate::record::Record;

/// How a server answers.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Answer {
    /// One buffered answer after this much work.
    Plain(Duration),
    /// This many events, one each so often.
    Events(u32, Duration),
    /// Bytes that are no answer, without end, of which so many come every 10 ms.
    Endless(usize),
}

/// A request that a server began to run.
#[derive(Debug, Clone)]
pub struct Run {
    pub at_s: f64,
    /// Whether the server sent its whole answer.
    pub is_answered: bool,
}

pub struct Server {
    pub id: String,
    service: &'static str,
    zone: &'static str,
    address: SocketAddr,
    slots: usize,
    born_ms: u128,
    answer: Mutex<Answer>,
    running: AtomicUsize,
    pub runs: Mutex<HashMap<String, Run>>,
    pub endless_bytes: AtomicU64,
    has_ended: AtomicBool,
    channels: Mutex<Vec<TcpStream>>,
    record: Arc<Record>,
}

impl Server {
    pub fn start(
        id: &str,
        service: &'static str,
        zone: &'static str,
        slots: usize,
        answer: Answer,
        record: &Arc<Record>,
    ) -> io::Result<Arc<Self>> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let born = SystemTime::now().duration_since(UNIX_EPOCH);
        let server = Arc::new(Self {
            id: id.to_string(),
            service,
            zone,
            address: listener.local_addr()?,
            slots,
            born_ms: born.map_or(0, |time| time.as_millis()),
            answer: Mutex::new(answer),
            running: AtomicUsize::new(0),
            runs: Mutex::default(),
            endless_bytes: AtomicU64::new(0),
            has_ended: AtomicBool::new(false),
            channels: Mutex::default(),
            record: Arc::clone(record),
        });
        let served = Arc::clone(&server);
        thread::spawn(move || served.accept(&listener));
        Ok(server)
    }

    /// Returns the key of this server's entry in the store.
    pub fn key(&self) -> String {
        format!("servers/{}", self.id)
    }

    /// Returns this server's entry in the store.
    pub fn entry(&self) -> String {
        let Self {
            service,
            zone,
            address,
            slots,
            born_ms,
            ..
        } = self;
        format!(
            r#"{{"service":"{service}","address":"{address}","zone":"{zone}","version":"v1","slotCount":{slots},"instanceState":"ready","coldRemainingMs":0,"callSeq":1,"born":{born_ms}}}"#
        )
    }

    pub fn set_answer(&self, answer: Answer) {
        *self.answer.lock().unwrap() = answer;
    }

    /// Ends like a process that exits: its listener and all its connections close.
    pub fn end(&self) {
        self.has_ended.store(true, Ordering::SeqCst);
        // Wakes the listener, which then closes.
        let _ = TcpStream::connect(self.address);
        for channel in self.channels.lock().unwrap().drain(..) {
            let _ = channel.shutdown(Shutdown::Both);
        }
        self.record.line(&self.id, "has exited");
    }

    fn has_ended(&self) -> bool {
        self.has_ended.load(Ordering::SeqCst)
    }

    fn accept(self: &Arc<Self>, listener: &TcpListener) {
        for stream in listener.incoming().flatten() {
            if self.has_ended() {
                return;
            }
            if let Ok(channel) = stream.try_clone() {
                self.channels.lock().unwrap().push(channel);
            }
            let server = Arc::clone(self);
            // An error means that the relay has closed the channel.
            thread::spawn(move || server.serve(stream));
        }
    }

    fn serve(&self, stream: TcpStream) -> io::Result<()> {
        let mut channel = Channel::new(stream)?;
        while let Some(head) = channel.read_head()? {
            channel.read_body(&head)?;
            if head.start.contains(" /healthz ") || head.start.contains(" /report ") {
                channel.write(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")?;
                continue;
            }
            if head.get("Expect-Instance").is_some_and(|id| id != self.id) {
                channel.write(b"HTTP/1.1 421 Misdirected Request\r\nContent-Length: 0\r\n\r\n")?;
                continue;
            }
            let before = self.running.fetch_add(1, Ordering::SeqCst);
            let served = self.run(&mut channel, &head, before);
            self.running.fetch_sub(1, Ordering::SeqCst);
            served?;
        }
        Ok(())
    }

    fn run(&self, channel: &mut Channel, head: &Head, before: usize) -> io::Result<()> {
        let id = head.get("Attempt-Id").unwrap_or_default().to_string();
        if before >= self.slots * 2 {
            return channel.write(
                b"HTTP/1.1 503 Service Unavailable\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n",
            );
        }
        let run = Run {
            at_s: self.record.seconds(),
            is_answered: false,
        };
        self.runs.lock().unwrap().insert(id.clone(), run);
        self.record.line(&self.id, format!("runs {id}"));
        let answer = *self.answer.lock().unwrap();
        let seal = format!(
            "HTTP/1.1 200 OK\r\nAttempt-Id: {id}\r\nServer-Seal: seal-{id}\r\nServer-Load: {before},0,{}\r\n",
            self.slots
        );
        match answer {
            Answer::Plain(work) => {
                thread::sleep(work);
                let body = format!("answer to {id}");
                let length = body.len();
                channel
                    .write(format!("{seal}Content-Length: {length}\r\n\r\n{body}").as_bytes())?;
            }
            Answer::Events(count, gap) => {
                let kind = "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n";
                channel.write(format!("{seal}{kind}").as_bytes())?;
                for event in 1..=count {
                    thread::sleep(gap);
                    channel.write_chunk(format!("id: {event}\ndata: {id}\n\n").as_bytes())?;
                }
                channel.write(b"0\r\n\r\n")?;
            }
            Answer::Endless(bytes) => {
                channel.write(b"HTTP/1.1 200 OK\r\n\r\n")?;
                let filler = vec![b'x'; bytes];
                loop {
                    thread::sleep(Duration::from_millis(10));
                    channel.write(&filler)?;
                    self.endless_bytes.fetch_add(bytes as u64, Ordering::SeqCst);
                }
            }
        }
        if let Some(run) = self.runs.lock().unwrap().get_mut(&id) {
            run.is_answered = true;
        }
        self.record.line(&self.id, format!("has answered {id}"));
        Ok(())
    }
}
