//! Stand-in of a caller.

use std::io::BufReader;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::time::Duration;

use crate::http;

/// A request as a caller sends it.
#[derive(Clone)]
pub struct Request {
    pub method: &'static str,
    pub path: String,
    pub id: String,
    pub deadline_ms: u64,
    pub key: &'static str,
    /// Header lines, each with its line end.
    pub headers: String,
    pub body: Vec<u8>,
}

impl Request {
    pub fn head(&self) -> String {
        format!(
            "{} {} HTTP/1.1\r\nHost: ficu95.example\r\nAttempt-Id: {}\r\nDeadline-Ms: {}\r\n\
            Api-Key: {}\r\n{}Content-Length: {}\r\n\r\n",
            self.method,
            self.path,
            self.id,
            self.deadline_ms,
            self.key,
            self.headers,
            self.body.len()
        )
    }
}

/// Sends a request on a new connection, and returns the response. It is empty if the connection
/// ended without one, or if none came by the deadline.
pub fn call(address: SocketAddr, request: &Request) -> http::Message {
    let Ok(mut stream) = TcpStream::connect(address) else {
        return http::Message::default();
    };
    let patience = Duration::from_millis(request.deadline_ms + 1_000);
    let _ = stream.set_nodelay(true);
    let _ = stream.set_read_timeout(Some(patience));
    let _ = stream.set_write_timeout(Some(patience));
    let sent = stream
        .write_all(request.head().as_bytes())
        .and_then(|()| stream.write_all(&request.body));
    let _ = sent;
    http::read_response(&mut BufReader::new(stream))
}
