//! Stand-in of the platform's store: items in memory, lists and watches.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::io;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::Condvar;
use std::sync::Mutex;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use crate::http::Channel;

/// Time for which the store keeps its history: `historyRetentionS`.
const HISTORY_RETENTION: Duration = Duration::from_secs(20);

/// An item as written, or its removal.
#[derive(Debug, Clone)]
struct Item {
    key: String,
    data: Option<String>,
    revision: u64,
    written_at: Instant,
}

impl Item {
    fn json(&self) -> String {
        let Self { key, revision, .. } = self;
        match &self.data {
            Some(data) => format!(
                r#"{{"key":"{key}","data":"{}","revision":{revision},"createdRevision":{revision},"leaseId":0}}"#,
                base64(data.as_bytes())
            ),
            None => format!(r#"{{"key":"{key}","revision":{revision},"compacted":true}}"#),
        }
    }
}

#[derive(Debug, Default)]
struct Content {
    items: BTreeMap<String, Item>,
    history: Vec<Item>,
    /// Last revision that the history no longer has.
    discarded: u64,
    revision: u64,
    /// Whether the relay is cut off from the store.
    is_cut: bool,
}

pub struct Store {
    pub address: SocketAddr,
    content: Mutex<Content>,
    changed: Condvar,
}

impl Store {
    pub fn start() -> io::Result<Arc<Self>> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let store = Arc::new(Self {
            address: listener.local_addr()?,
            content: Mutex::new(Content {
                revision: 100,
                ..Content::default()
            }),
            changed: Condvar::new(),
        });
        let served = Arc::clone(&store);
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = Arc::clone(&served);
                // An error means that the client has left.
                thread::spawn(move || store.serve(stream));
            }
        });
        Ok(store)
    }

    /// Writes or removes items; all changes of one call are there at the same moment.
    pub fn write(&self, changes: &[(String, Option<String>)]) {
        let mut content = self.content.lock().unwrap();
        for (key, data) in changes {
            content.revision += 1;
            let item = Item {
                key: key.clone(),
                data: data.clone(),
                revision: content.revision,
                written_at: Instant::now(),
            };
            match data {
                Some(_) => content.items.insert(key.clone(), item.clone()),
                None => content.items.remove(key),
            };
            content.history.push(item);
        }
        self.changed.notify_all();
    }

    fn serve(&self, stream: TcpStream) -> io::Result<()> {
        let mut channel = Channel::new(stream)?;
        while let Some(head) = channel.read_head()? {
            let target = head.start.split(' ').nth(1).unwrap_or_default().to_string();
            let (path, query) = target.split_once('?').unwrap_or((&target, ""));
            let query = parse_query(query);
            let get = |name: &str| query.get(name).map_or("", String::as_str);
            let (status, body) = match path {
                "/kv-range" => ("200 OK", self.range(get("pathPrefix"), get("after"))),
                "/kv-watch" => {
                    let after = get("after").parse().unwrap_or(0);
                    let wait = Duration::from_millis(get("waitMs").parse().unwrap_or(0));
                    self.watch(get("pathPrefix"), after, wait)
                }
                _ => ("404 Not Found", String::new()),
            };
            // The store answers in 4 ms.
            thread::sleep(Duration::from_millis(4));
            if self.content.lock().unwrap().is_cut {
                return Ok(());
            }
            let length = body.len();
            channel.write(
                format!(
                    "HTTP/1.1 {status}\r\nContent-Type: application/json\r\nStore-Era: 1\r\n\
                     Content-Length: {length}\r\n\r\n{body}"
                )
                .as_bytes(),
            )?;
        }
        Ok(())
    }

    fn range(&self, prefix: &str, after: &str) -> String {
        let content = self.content.lock().unwrap();
        let items = content.items.values();
        let entries: Vec<_> = items
            .filter(|item| item.key.starts_with(prefix) && item.key.as_str() > after)
            .map(Item::json)
            .collect();
        let (entries, at) = (entries.join(","), content.revision);
        format!(r#"{{"entries":[{entries}],"hasMore":false,"at":{at}}}"#)
    }

    /// Closes the channels of the relay, and all that it opens, or serves it again.
    pub fn set_cut(&self, is_cut: bool) {
        self.content.lock().unwrap().is_cut = is_cut;
        self.changed.notify_all();
    }

    /// Waits for changes after a revision, and returns all of them as they were written.
    fn watch(&self, prefix: &str, after: u64, wait: Duration) -> (&'static str, String) {
        let ends_at = Instant::now() + wait;
        let mut content = self.content.lock().unwrap();
        loop {
            if content.is_cut {
                return ("200 OK", String::new());
            }
            let is_old = |item: &Item| item.written_at.elapsed() > HISTORY_RETENTION;
            let old = content.history.iter().take_while(|item| is_old(item));
            let old = old.count();
            let last = content.history.drain(..old).next_back();
            if let Some(last) = last {
                content.discarded = last.revision;
            }
            if after < content.discarded {
                return ("410 Gone", String::new());
            }
            let history = content.history.iter();
            let events: Vec<_> = history
                .filter(|item| item.revision > after && item.key.starts_with(prefix))
                .map(Item::json)
                .collect();
            let left = ends_at.saturating_duration_since(Instant::now());
            if !events.is_empty() || left.is_zero() {
                let (events, at) = (events.join(","), content.revision);
                return ("200 OK", format!(r#"{{"events":[{events}],"at":{at}}}"#));
            }
            content = self.changed.wait_timeout(content, left).unwrap().0;
        }
    }
}

fn parse_query(query: &str) -> HashMap<String, String> {
    let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
    pairs
        .map(|(name, value)| (name.to_string(), value.replace("%2F", "/")))
        .collect()
}

fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for group in bytes.chunks(3) {
        let number = group
            .iter()
            .chain([0, 0].iter())
            .take(3)
            .fold(0_u32, |number, byte| (number << 8) | u32::from(*byte));
        for place in 0..4 {
            if place <= group.len() {
                text.push(char::from(
                    DIGITS[(number >> (18 - 6 * place)) as usize & 63],
                ));
            } else {
                text.push('=');
            }
        }
    }
    text
}
