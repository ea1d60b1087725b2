//! A caller that writes raw HTTP/1.1 requests, and renders responses for snapshots.

use std::net;
use std::time::Duration;

use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;

/// Maximum wait for a response before a test fails.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(30);

/// Headers that differ from run to run, left out of snapshots.
const UNSTABLE_HEADERS: [&str; 1] = ["date:"];

/// A request before it is encoded.
#[derive(Debug, Clone)]
pub struct RequestText {
    method: &'static str,
    path: String,
    headers: Vec<(String, String)>,
    body: String,
}

impl RequestText {
    /// Creates a request with a bearer key.
    pub fn new(method: &'static str, path: &str, key: &str) -> Self {
        Self {
            method,
            path: path.into(),
            headers: vec![("authorization".into(), format!("Bearer {key}"))],
            body: String::new(),
        }
    }

    /// Adds a header.
    pub fn header(mut self, name: &str, value: &str) -> Self {
        self.headers.push((name.into(), value.into()));
        self
    }

    /// Sets the body.
    pub fn body(mut self, body: &str) -> Self {
        self.body = body.into();
        self
    }

    /// Encodes the request.
    pub fn bytes(&self) -> Vec<u8> {
        let mut text = format!("{} {} HTTP/1.1\r\nhost: test\r\n", self.method, self.path);
        for (name, value) in &self.headers {
            text.push_str(&format!("{name}: {value}\r\n"));
        }
        text.push_str(&format!("content-length: {}\r\n\r\n", self.body.len()));
        text.push_str(&self.body);
        text.into_bytes()
    }
}

/// An open connection.
pub struct Connection {
    stream: TcpStream,
    received: Vec<u8>,
}

impl Connection {
    /// Opens a connection to `address`.
    pub async fn open(address: net::SocketAddr) -> Self {
        Self {
            stream: TcpStream::connect(address).await.unwrap(),
            received: Vec::new(),
        }
    }

    /// Sends bytes; ignores errors, as the peer may close the connection before it has read all.
    pub async fn send(&mut self, bytes: &[u8]) {
        let _ = self.stream.write_all(bytes).await;
    }

    /// Drops the bytes received so far, before the next request on the connection.
    pub fn clear(&mut self) {
        self.received.clear();
    }

    /// Reads until the response contains `text`, or the connection ends.
    pub async fn read_until(&mut self, text: &str) -> ResponseText {
        self.read_while(|received| !String::from_utf8_lossy(received).contains(text))
            .await
    }

    /// Reads one complete response, or until the connection ends.
    pub async fn read_response(&mut self) -> ResponseText {
        self.read_while(|received| !is_complete(received)).await
    }

    async fn read_while(&mut self, is_incomplete: impl Fn(&[u8]) -> bool) -> ResponseText {
        let reading = async {
            let mut chunk = vec![0; 64 * 1024];
            while is_incomplete(&self.received) {
                match self.stream.read(&mut chunk).await {
                    Ok(0) | Err(_) => return,
                    Ok(count) => self.received.extend_from_slice(&chunk[..count]),
                }
            }
        };
        tokio::time::timeout(RESPONSE_TIMEOUT, reading)
            .await
            .expect("a response within RESPONSE_TIMEOUT");
        ResponseText::parse(&self.received)
    }
}

/// Sends one request on a new connection, and reads the response.
pub async fn exchange(address: net::SocketAddr, request: &RequestText) -> ResponseText {
    let mut connection = Connection::open(address).await;
    connection.send(&request.bytes()).await;
    connection.read_response().await
}

/// A response, decoded for assertions and snapshots.
#[derive(Debug, Clone)]
pub struct ResponseText {
    /// Status line and headers, without those that differ from run to run.
    pub head: String,
    /// The body, without the framing of chunks.
    pub body: String,
}

impl ResponseText {
    fn parse(bytes: &[u8]) -> Self {
        let text = String::from_utf8_lossy(bytes);
        let (head, body) = text.split_once("\r\n\r\n").unwrap_or((&text, ""));
        let is_chunked = head.contains("transfer-encoding: chunked");
        let mut lines: Vec<&str> = head
            .lines()
            .filter(|line| !UNSTABLE_HEADERS.iter().any(|name| line.starts_with(name)))
            .collect();
        // The server does not write headers in a fixed order.
        lines[1..].sort_unstable();

        Self {
            head: lines.join("\n"),
            body: match is_chunked {
                true => join_chunks(body),
                false => body.into(),
            },
        }
    }

    /// Returns the HTTP status.
    pub fn status(&self) -> &str {
        self.head.split(' ').nth(1).unwrap_or("")
    }

    /// Returns the value of a header.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.head
            .lines()
            .find_map(|line| line.strip_prefix(name)?.strip_prefix(": "))
    }

    /// Returns the JSON body.
    pub fn json(&self) -> serde_json::Value {
        serde_json::from_str(&self.body).unwrap_or_else(|_| panic!("no JSON: {self:?}"))
    }
}

fn join_chunks(mut body: &str) -> String {
    let mut joined = String::new();
    while let Some((length, rest)) = body.split_once("\r\n") {
        let length = usize::from_str_radix(length, 16).unwrap_or(0);
        let Some(chunk) = rest.get(..length) else {
            joined.push_str(rest);
            break;
        };
        joined.push_str(chunk);
        body = rest.get(length + 2..).unwrap_or("");
    }
    joined
}

fn is_complete(bytes: &[u8]) -> bool {
    let text = String::from_utf8_lossy(bytes);
    let Some((head, body)) = text.split_once("\r\n\r\n") else {
        return false;
    };
    if head.contains("transfer-encoding: chunked") {
        return body.ends_with("0\r\n\r\n");
    }
    let length = head
        .lines()
        .find_map(|line| line.strip_prefix("content-length: "))
        .and_then(|length| length.parse().ok())
        .unwrap_or(0);
    body.len() >= length
}
