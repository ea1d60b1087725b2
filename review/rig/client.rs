//! Stand-in clients.

use std::fmt;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use crate::http::Channel;
use crate::record::Record;

/// Host of all routes.
pub const HOST: &str = "ficu95.example";

/// Keys of the one tenant.
pub const KEY: &str = "xd9dnn2ctnfzs989anu6";
pub const SECOND_KEY: &str = "wsjnbanfqasnmgkcuyj8";

/// Size of the pieces in which a slow client sends a body.
const PIECE_BYTES: usize = 64 * 1024;

/// Gap after which a client abandons an answer: four times the objective of a report.
const PATIENCE: Duration = Duration::from_millis(7_200);

/// How a request ended for its client.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Outcome {
    /// A complete answer with this status.
    Answered(u16),
    /// The relay closed the channel without a complete answer.
    Closed,
    /// No complete answer within the client's time limit.
    TimedOut,
    /// No channel could be opened, or the request could not be sent to its end.
    NotSent,
}

impl fmt::Display for Outcome {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Answered(status) => write!(formatter, "answered {status}"),
            Self::Closed => formatter.write_str("channel closed without an answer"),
            Self::TimedOut => formatter.write_str("no answer in time"),
            Self::NotSent => formatter.write_str("not sent to its end"),
        }
    }
}

/// How a body is framed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Framing {
    Length,
    Chunks,
}

/// What a client asks for.
#[derive(Debug, Clone, Copy)]
pub struct Demand {
    pub path: &'static str,
    pub time_limit: Duration,
    pub body_bytes: usize,
    pub framing: Framing,
    /// Time over which the body is sent.
    pub sending_time: Duration,
    /// Headers of a generation.
    pub extra_headers: &'static str,
    pub key: &'static str,
}

/// Opens channels and sends requests with ids of their own.
pub struct Client {
    name: String,
    relay: SocketAddr,
    channel: Option<Channel>,
    /// Whether the present channel has carried an earlier request.
    is_kept: bool,
    last_number: u64,
    record: Arc<Record>,
}

impl Client {
    pub fn new(name: String, relay: SocketAddr, record: &Arc<Record>) -> Self {
        Self {
            name,
            relay,
            channel: None,
            is_kept: false,
            last_number: 0,
            record: Arc::clone(record),
        }
    }

    /// Sends a request, on the channel of the one before if that is open. Returns its id, whether the
    /// channel was a kept one, and how it ended.
    pub fn request(&mut self, demand: &Demand) -> (String, bool, Outcome) {
        self.last_number += 1;
        let id = format!("{}-{}", self.name, self.last_number);
        let is_kept = self.is_kept && self.channel.is_some();
        let ends_at = Instant::now() + demand.time_limit;
        self.record
            .line(&self.name, format!("sends {id} to {}", demand.path));
        let outcome = match self.send(&id, demand) {
            Ok(()) => self.receive(ends_at),
            Err(_) => Outcome::NotSent,
        };
        if !matches!(outcome, Outcome::Answered(_)) {
            self.channel = None;
        }
        self.is_kept = self.channel.is_some();
        self.record.line(&self.name, format!("{id}: {outcome}"));
        (id, is_kept, outcome)
    }

    fn send(&mut self, id: &str, demand: &Demand) -> io::Result<()> {
        let channel = match &mut self.channel {
            Some(channel) => channel,
            empty => empty.insert(Channel::connect(self.relay)?),
        };
        let Demand {
            path,
            body_bytes,
            extra_headers,
            key,
            ..
        } = demand;
        let framing = match demand.framing {
            Framing::Length => format!("Content-Length: {body_bytes}"),
            Framing::Chunks => "Transfer-Encoding: chunked".to_string(),
        };
        let limit_ms = demand.time_limit.as_millis();
        channel.write(
            format!(
                "POST {path}{id} HTTP/1.1\r\nHost: {HOST}\r\nAttempt-Id: {id}\r\nApi-Key: {key}\r\n\
                 Deadline-Ms: {limit_ms}\r\n{extra_headers}{framing}\r\n\r\n"
            )
            .as_bytes(),
        )?;
        let started_at = Instant::now();
        let piece = vec![b'p'; PIECE_BYTES];
        let mut sent = 0;
        while sent < *body_bytes {
            let share = sent as f64 / *body_bytes as f64;
            let due = started_at + demand.sending_time.mul_f64(share);
            thread::sleep(due.saturating_duration_since(Instant::now()));
            let size = PIECE_BYTES.min(body_bytes - sent);
            match demand.framing {
                Framing::Length => channel.write(&piece[..size])?,
                Framing::Chunks => channel.write_chunk(&piece[..size])?,
            }
            sent += size;
        }
        match demand.framing {
            Framing::Length => Ok(()),
            Framing::Chunks => channel.write(b"0\r\n\r\n"),
        }
    }

    fn receive(&mut self, ends_at: Instant) -> Outcome {
        let Some(channel) = &mut self.channel else {
            return Outcome::NotSent;
        };
        let left = ends_at.saturating_duration_since(Instant::now());
        let read = channel
            .set_timeout(left.clamp(Duration::from_millis(1), PATIENCE))
            .and_then(|()| channel.read_head())
            .and_then(|head| match head {
                Some(head) => {
                    channel.read_body(&head)?;
                    let closes = head
                        .get("Connection")
                        .is_some_and(|option| option.eq_ignore_ascii_case("close"));
                    Ok(Some((head.status(), closes)))
                }
                None => Ok(None),
            });
        match read {
            Ok(Some((status, closes))) => {
                if closes {
                    self.channel = None;
                }
                Outcome::Answered(status)
            }
            Ok(None) => Outcome::Closed,
            Err(error) => match error.kind() {
                io::ErrorKind::WouldBlock | io::ErrorKind::TimedOut => Outcome::TimedOut,
                _ => Outcome::Closed,
            },
        }
    }
}

/// Waits until the relay reports that it is ready.
pub fn wait_until_ready(ready: SocketAddr) -> io::Result<()> {
    let ends_at = Instant::now() + Duration::from_secs(10);
    while Instant::now() < ends_at {
        if is_ready(ready).unwrap_or(false) {
            return Ok(());
        }
        thread::sleep(Duration::from_millis(50));
    }
    Err(io::ErrorKind::TimedOut.into())
}

fn is_ready(ready: SocketAddr) -> io::Result<bool> {
    let mut channel = Channel::connect(ready)?;
    channel.set_timeout(Duration::from_secs(1))?;
    channel.write(b"GET /readyz HTTP/1.1\r\nHost: ready\r\n\r\n")?;
    Ok(channel
        .read_head()?
        .is_some_and(|head| head.status() == 200))
}

/// Counts outcomes by name.
#[derive(Debug, Default)]
pub struct Counter(AtomicU64);

impl Counter {
    pub fn add(&self) {
        self.0.fetch_add(1, Ordering::SeqCst);
    }

    pub fn get(&self) -> u64 {
        self.0.load(Ordering::SeqCst)
    }
}
