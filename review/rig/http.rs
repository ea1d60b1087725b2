//! Minimal HTTP/1.1 over blocking sockets, for the stand-ins of clients, servers and the store.

use std::io;
use std::io::BufRead;
use std::io::BufReader;
use std::io::Read;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::time::Duration;

/// First line and headers of a request or a response.
#[derive(Debug, Clone, Default)]
pub struct Head {
    pub start: String,
    headers: Vec<(String, String)>,
}

impl Head {
    /// Returns the value of a header; names are compared regardless of case.
    pub fn get(&self, name: &str) -> Option<&str> {
        let mut headers = self.headers.iter();
        headers
            .find(|(known, _)| known.eq_ignore_ascii_case(name))
            .map(|(_, value)| value.as_str())
    }

    /// Returns the status of a response; 0 for a malformed one.
    pub fn status(&self) -> u16 {
        let status = self.start.split(' ').nth(1);
        status.and_then(|text| text.parse().ok()).unwrap_or(0)
    }

    fn is_chunked(&self) -> bool {
        self.get("Transfer-Encoding")
            .is_some_and(|coding| coding.eq_ignore_ascii_case("chunked"))
    }

    fn content_length(&self) -> Option<usize> {
        self.get("Content-Length")?.trim().parse().ok()
    }
}

/// One connection.
pub struct Channel {
    reader: BufReader<TcpStream>,
}

impl Channel {
    pub fn new(stream: TcpStream) -> io::Result<Self> {
        stream.set_nodelay(true)?;
        Ok(Self {
            reader: BufReader::new(stream),
        })
    }

    /// Opens a connection, for which callers allow one second.
    pub fn connect(address: SocketAddr) -> io::Result<Self> {
        Self::new(TcpStream::connect_timeout(
            &address,
            Duration::from_secs(1),
        )?)
    }

    pub fn stream(&self) -> &TcpStream {
        self.reader.get_ref()
    }

    pub fn set_timeout(&self, timeout: Duration) -> io::Result<()> {
        self.stream().set_read_timeout(Some(timeout))
    }

    pub fn write(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.reader.get_mut().write_all(bytes)
    }

    fn line(&mut self) -> io::Result<String> {
        let mut line = String::new();
        if self.reader.read_line(&mut line)? == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        Ok(line.trim_end().to_string())
    }

    /// Reads a head; `None` if the connection ends before its first byte.
    pub fn read_head(&mut self) -> io::Result<Option<Head>> {
        if self.reader.fill_buf()?.is_empty() {
            return Ok(None);
        }
        let mut head = Head {
            start: self.line()?,
            ..Head::default()
        };
        loop {
            let line = self.line()?;
            if line.is_empty() {
                return Ok(Some(head));
            }
            if let Some((name, value)) = line.split_once(':') {
                let header = (name.to_string(), value.trim().to_string());
                head.headers.push(header);
            }
        }
    }

    /// Reads a body of which the head states the length, or that comes in chunks.
    pub fn read_body(&mut self, head: &Head) -> io::Result<Vec<u8>> {
        if head.is_chunked() {
            let mut body = Vec::new();
            while let Some(chunk) = self.read_chunk()? {
                body.extend_from_slice(&chunk);
            }
            return Ok(body);
        }
        let mut body = vec![0; head.content_length().unwrap_or(0)];
        self.reader.read_exact(&mut body)?;
        Ok(body)
    }

    /// Reads a chunk; `None` for the last one.
    pub fn read_chunk(&mut self) -> io::Result<Option<Vec<u8>>> {
        let line = self.line()?;
        let size = usize::from_str_radix(&line, 16)
            .map_err(|error| io::Error::new(io::ErrorKind::InvalidData, error))?;
        let mut chunk = vec![0; size + 2];
        self.reader.read_exact(&mut chunk)?;
        chunk.truncate(size);
        Ok((size > 0).then_some(chunk))
    }

    pub fn write_chunk(&mut self, bytes: &[u8]) -> io::Result<()> {
        let mut chunk = format!("{:x}\r\n", bytes.len()).into_bytes();
        chunk.extend_from_slice(bytes);
        chunk.extend_from_slice(b"\r\n");
        self.write(&chunk)
    }
}
