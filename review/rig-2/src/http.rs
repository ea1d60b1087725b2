//! The little HTTP/1.1 that the stand-ins need.

use std::io;
use std::io::BufRead;
use std::io::BufReader;
use std::io::Read;
use std::net::TcpStream;

/// Start line, headers and body of a request or a response.
#[derive(Debug, Default, Clone)]
pub struct Message {
    pub start: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
    /// Whether the body arrived to its end.
    pub is_complete: bool,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        let mut headers = self.headers.iter();
        let found = headers.find(|(key, _)| key.eq_ignore_ascii_case(name));
        found.map(|(_, value)| value.as_str())
    }

    /// Returns the method of a request.
    pub fn method(&self) -> &str {
        self.start.split(' ').next().unwrap_or_default()
    }

    /// Returns the path of a request, without its query.
    pub fn path(&self) -> &str {
        let target = self.start.split(' ').nth(1).unwrap_or_default();
        target.split('?').next().unwrap_or_default()
    }

    /// Returns a parameter of a request's query, decoded.
    pub fn query(&self, name: &str) -> Option<String> {
        let target = self.start.split(' ').nth(1)?;
        let (_, query) = target.split_once('?')?;
        let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
        pairs
            .find(|(key, _)| *key == name)
            .map(|(_, value)| decode_percent(value))
    }

    /// Returns the status of a response; zero if there is none.
    pub fn status(&self) -> u16 {
        let status = self.start.split(' ').nth(1).unwrap_or_default();
        status.parse().unwrap_or_default()
    }

    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }
}

fn decode_percent(text: &str) -> String {
    let mut bytes = Vec::new();
    let mut rest = text.as_bytes();
    while let Some((first, others)) = rest.split_first() {
        rest = others;
        let hex = others
            .get(..2)
            .and_then(|hex| std::str::from_utf8(hex).ok());
        match (first, hex.and_then(|hex| u8::from_str_radix(hex, 16).ok())) {
            (b'%', Some(byte)) => {
                bytes.push(byte);
                rest = &others[2..];
            }
            (b'+', _) => bytes.push(b' '),
            _ => bytes.push(*first),
        }
    }
    String::from_utf8_lossy(&bytes).into_owned()
}

/// Reads start line and headers; `None` at the end of the connection.
pub fn read_head(reader: &mut BufReader<TcpStream>) -> io::Result<Option<Message>> {
    let mut message = Message::default();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line)? == 0 {
            return Ok(None);
        }
        let line = line.trim_end();
        if message.start.is_empty() {
            message.start = line.to_owned();
        } else if line.is_empty() {
            return Ok(Some(message));
        } else if let Some((name, value)) = line.split_once(':') {
            let header = (name.trim().to_owned(), value.trim().to_owned());
            message.headers.push(header);
        }
    }
}

/// Reads a body in chunks. Returns whether its end arrived.
fn read_chunks(reader: &mut BufReader<TcpStream>, body: &mut Vec<u8>) -> io::Result<bool> {
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line)? == 0 {
            return Ok(false);
        }
        let Ok(size) = u64::from_str_radix(line.trim(), 16) else {
            return Ok(false);
        };
        let start = body.len() as u64;
        reader.by_ref().take(size).read_to_end(body)?;
        if body.len() as u64 - start < size {
            return Ok(false);
        }
        line.clear();
        if reader.read_line(&mut line)? == 0 {
            return Ok(false);
        }
        if size == 0 {
            return Ok(true);
        }
    }
}

/// Reads a request; `None` at the end of the connection.
pub fn read_request(reader: &mut BufReader<TcpStream>) -> io::Result<Option<Message>> {
    let Some(mut message) = read_head(reader)? else {
        return Ok(None);
    };
    let mut body = Vec::new();
    let is_chunked = message
        .header("transfer-encoding")
        .is_some_and(|value| value.eq_ignore_ascii_case("chunked"));
    message.is_complete = if is_chunked {
        read_chunks(reader, &mut body)?
    } else {
        let length = message.header("content-length");
        let length: u64 = length.and_then(|value| value.parse().ok()).unwrap_or(0);
        reader.by_ref().take(length).read_to_end(&mut body)?;
        body.len() as u64 == length
    };
    message.body = body;
    Ok(Some(message))
}

/// Reads a response as far as it arrives. An error of the connection ends it as incomplete.
pub fn read_response(reader: &mut BufReader<TcpStream>) -> Message {
    let Ok(Some(mut message)) = read_head(reader) else {
        return Message::default();
    };
    let mut body = Vec::new();
    let length = message.header("content-length");
    let length: Option<u64> = length.and_then(|value| value.parse().ok());
    let is_chunked = message.header("transfer-encoding").is_some();
    message.is_complete = if is_chunked {
        read_chunks(reader, &mut body).unwrap_or(false)
    } else if let Some(length) = length {
        let read = reader.by_ref().take(length).read_to_end(&mut body);
        read.is_ok() && body.len() as u64 == length
    } else {
        reader.read_to_end(&mut body).is_ok()
    };
    message.body = body;
    message
}
