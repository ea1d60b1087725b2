//! Requests for streams, and their configuration.

use std::io::BufReader;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::time::Duration;

use crate::http;

pub const CONFIG: &str = r#"{"version":7,"routes":[{"name":"r-long","host":"a.example","pathPrefix":"/long/","routeKind":"streaming","timeoutMs":39000,"targetLatencyMs":1800,"priority":0,"service":"model","maxAttempts":1,"anonymous":false,"sessionAffinity":true,"streamResume":false,"targetItlMs":180}],"services":[{"name":"model","healthPath":"/healthz","maxConnections":272,"protocol":"h1","tlsEnabled":false,"runtime":{"slotCount":24,"kvCapacity":34371,"kvTokenBytes":163840,"linkMbps":24000.0,"migrations":true,"replicas":true,"stepSize":4,"most":12,"pinMs":4000.0,"holdMs":2000.0,"handleTtlS":5.0,"modelList":[{"name":"m"}]}}],"limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000},"tenants":[{"name":"t1","apiKeys":["key-1"],"priority":1}]}"#;

/// Returns a request for a stream of at most so many tokens.
pub fn request(id: &str, tokens: u64) -> Vec<u8> {
    let body = format!("prompt of {id}");
    let part = hash(id);
    let length = body.len();
    format!(
        "POST /long/1 HTTP/1.1\r\nHost: a.example\r\nAttempt-Id: {id}\r\nModel: m\r\nToken-Count: 1000,{tokens}\r\nLength-Hint: {tokens}\r\nPrompt-Prefix: 5c1e07a2:79,{part:x}:921\r\nDeadline-Ms: 39000\r\nApi-Key: key-1\r\nContent-Length: {length}\r\n\r\n{body}"
    )
    .into_bytes()
}

/// Sends a request for a stream on a channel of its own. Returns its status, the number of its events
/// and whether it ended as complete.
pub fn call(address: SocketAddr, id: &str, tokens: u64) -> (u16, usize, bool) {
    let Ok(mut stream) = TcpStream::connect_timeout(&address, Duration::from_secs(1)) else {
        return (0, 0, false);
    };
    let _ = stream.set_read_timeout(Some(Duration::from_secs(39)));
    if stream.write_all(&request(id, tokens)).is_err() {
        return (0, 0, false);
    }
    let mut reader = BufReader::new(stream);
    match http::read_head(&mut reader) {
        Ok((200, _)) => {
            let (events, is_complete) = read_events(&mut reader);
            (200, events, is_complete)
        }
        Ok((status, _)) => (status, 0, false),
        Err(_) => (0, 0, false),
    }
}

/// Reads a stream to its end. Returns the number of its events and whether it ended as complete.
pub fn read_events(reader: &mut BufReader<TcpStream>) -> (usize, bool) {
    let mut events = 0;
    loop {
        match http::next_chunk(reader) {
            Ok(chunk) if chunk.is_empty() => return (events, true),
            Ok(chunk) => events += String::from_utf8_lossy(&chunk).matches("\n\n").count(),
            Err(_) => return (events, false),
        }
    }
}

fn hash(text: &str) -> u32 {
    let bytes = text.bytes();
    bytes.fold(0x811c_9dc5, |hash, byte| {
        (hash ^ u32::from(byte)).wrapping_mul(0x0100_0193)
    })
}
