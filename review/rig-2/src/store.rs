//! Stand-in of the platform's metadata store: keys that can be listed and watched.

use std::collections::BTreeMap;
use std::io;
use std::io::BufReader;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::Condvar;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use crate::http;

/// A written value.
#[derive(Clone)]
struct Change {
    revision: u64,
    key: String,
    value: String,
}

#[derive(Default, Clone)]
struct Contents {
    /// Number of returns from a copy.
    returns: u64,
    revision: u64,
    items: BTreeMap<String, (u64, String)>,
    history: Vec<Change>,
}

/// A copy of the store's contents.
pub struct Copy(Contents);

/// The store, with its address.
#[derive(Clone)]
pub struct Store {
    pub address: SocketAddr,
    contents: Arc<(Mutex<Contents>, Condvar)>,
    is_silent: Arc<AtomicBool>,
    /// Number of watches of the configuration that wait.
    waiting: Arc<AtomicUsize>,
}

impl Store {
    pub fn start() -> io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let store = Self {
            address: listener.local_addr()?,
            contents: Arc::default(),
            is_silent: Arc::default(),
            waiting: Arc::default(),
        };
        let served = store.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = served.clone();
                thread::spawn(move || store.serve(stream));
            }
        });
        Ok(store)
    }

    /// Writes a value; the return is the confirmation.
    pub fn put(&self, key: &str, value: &str) {
        let (contents, changed) = &*self.contents;
        let mut contents = contents.lock().unwrap();
        contents.revision += 1;
        let revision = contents.revision;
        let item = (revision, value.to_owned());
        contents.items.insert(key.into(), item);
        contents.history.push(Change {
            revision,
            key: key.into(),
            value: value.to_owned(),
        });
        changed.notify_all();
    }

    /// Returns how many watches of the configuration wait.
    pub fn waiting_watches(&self) -> usize {
        self.waiting.load(Ordering::Relaxed)
    }

    /// Returns a copy of the contents.
    pub fn copy(&self) -> Copy {
        Copy(self.contents.0.lock().unwrap().clone())
    }

    /// Comes back from a copy. What was written since is gone, and calls that wait since before are
    /// never answered. Returns how many revisions are lost.
    pub fn restore(&self, copy: Copy) -> u64 {
        let mut contents = self.contents.0.lock().unwrap();
        let lost = contents.revision - copy.0.revision;
        let returns = contents.returns + 1;
        *contents = Contents { returns, ..copy.0 };
        lost
    }

    /// Sets whether the store is down: calls that reach it then are never answered, and their
    /// channels return nothing further. Watches that wait since before go on after its return.
    pub fn set_silent(&self, is_silent: bool) {
        self.is_silent.store(is_silent, Ordering::Relaxed);
    }

    fn serve(&self, stream: TcpStream) -> Option<()> {
        stream.set_nodelay(true).ok()?;
        let mut writer = stream.try_clone().ok()?;
        let mut reader = BufReader::new(stream);
        loop {
            let request = http::read_request(&mut reader).ok()??;
            if self.is_silent.load(Ordering::Relaxed) {
                while http::read_request(&mut reader).ok()?.is_some() {}
                return None;
            }
            let began = self.contents.0.lock().unwrap().returns;
            let body = match request.path() {
                "/kv-range" => Some(self.list(&request)),
                "/kv-watch" => self.count_watch(&request),
                _ => Some(String::new()),
            };
            let returns = self.contents.0.lock().unwrap().returns;
            if returns != began {
                while http::read_request(&mut reader).ok()?.is_some() {}
                return None;
            }
            let (status, body) = match body {
                Some(body) if body.is_empty() => ("404 Not Found", body),
                Some(body) => ("200 OK", body),
                None => ("410 Gone", String::new()),
            };
            let response = format!(
                "HTTP/1.1 {status}\r\nStore-Era: {}\r\nContent-Type: application/json\r\n\
                Content-Length: {}\r\n\r\n{body}",
                returns + 1,
                body.len()
            );
            writer.write_all(response.as_bytes()).ok()?;
        }
    }

    fn list(&self, request: &http::Message) -> String {
        let prefix = request.query("pathPrefix").unwrap_or_default();
        let contents = self.contents.0.lock().unwrap();
        let items = contents.items.iter();
        let entries: Vec<_> = items
            .filter(|(key, _)| key.starts_with(&prefix))
            .map(|(key, (revision, value))| item(key, *revision, value))
            .collect();
        format!(
            "{{\"entries\":[{}],\"hasMore\":false,\"at\":{}}}",
            entries.join(","),
            contents.revision
        )
    }

    fn count_watch(&self, request: &http::Message) -> Option<String> {
        let prefix = request.query("pathPrefix").unwrap_or_default();
        let count = usize::from(prefix.starts_with("op/"));
        self.waiting.fetch_add(count, Ordering::Relaxed);
        let changes = self.watch(request);
        self.waiting.fetch_sub(count, Ordering::Relaxed);
        changes
    }

    /// Returns the changes after a revision; `None` if the store does not have that one.
    fn watch(&self, request: &http::Message) -> Option<String> {
        let number = |name: &str| -> u64 {
            let text = request.query(name).unwrap_or_default();
            text.parse().unwrap_or_default()
        };
        let prefix = request.query("pathPrefix").unwrap_or_default();
        let after = number("after");
        let until = Instant::now() + Duration::from_millis(number("waitMs"));
        let (contents, changed) = &*self.contents;
        let mut contents = contents.lock().unwrap();
        if after > contents.revision {
            return None;
        }
        loop {
            let changes = contents.history.iter();
            let events: Vec<_> = changes
                .filter(|change| change.revision > after && change.key.starts_with(&prefix))
                .map(|change| item(&change.key, change.revision, &change.value))
                .collect();
            let left = until.saturating_duration_since(Instant::now());
            let is_silent = self.is_silent.load(Ordering::Relaxed);
            if !is_silent && (!events.is_empty() || left.is_zero()) {
                let at = contents.revision;
                let events = events.join(",");
                return Some(format!("{{\"events\":[{events}],\"at\":{at}}}"));
            }
            let pause = left.clamp(Duration::from_millis(10), Duration::from_millis(100));
            contents = changed.wait_timeout(contents, pause).unwrap().0;
        }
    }
}

fn item(key: &str, revision: u64, value: &str) -> String {
    format!(
        "{{\"key\":\"{key}\",\"data\":\"{}\",\"revision\":{revision},\
        \"createdRevision\":{revision},\"leaseId\":0}}",
        base64(value.as_bytes())
    )
}

fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for chunk in bytes.chunks(3) {
        let mut group = [0_u8; 3];
        group[..chunk.len()].copy_from_slice(chunk);
        let bits = u32::from_be_bytes([0, group[0], group[1], group[2]]);
        for digit in 0..4 {
            let index = (bits >> (18 - 6 * digit)) & 63;
            match digit <= chunk.len() {
                true => text.push(char::from(DIGITS[index as usize])),
                false => text.push('='),
            }
        }
    }
    text
}
