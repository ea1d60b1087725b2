//! The platform's store: items with revisions, lists and watches. Leases expire as the pages say.

use std::collections::BTreeMap;
use std::io::BufReader;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::Condvar;
use std::sync::Mutex;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use crate::http;

/// Largest page of a list.
const MAX_PAGE_ITEMS: usize = 500;
const MAX_PAGE_BYTES: usize = 1_000_000;

struct Item {
    /// In base64.
    data: Arc<str>,
    revision: u64,
    created: u64,
    expires_at: Option<Instant>,
}

struct Change {
    revision: u64,
    key: String,
    /// Data in base64 and creation; `None` if the item was removed.
    written: Option<(Arc<str>, u64)>,
}

#[derive(Default)]
struct Contents {
    items: BTreeMap<String, Item>,
    changes: Vec<Change>,
    revision: u64,
}

pub struct Store {
    pub address: SocketAddr,
    contents: Mutex<Contents>,
    changed: Condvar,
}

impl Store {
    pub fn start() -> Arc<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let store = Arc::new(Self {
            address: listener.local_addr().expect("a bound address"),
            contents: Mutex::default(),
            changed: Condvar::new(),
        });
        let server = Arc::clone(&store);
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = Arc::clone(&server);
                thread::spawn(move || store.serve(stream));
            }
        });
        let sweeper = Arc::clone(&store);
        thread::spawn(move || {
            loop {
                thread::sleep(Duration::from_millis(20));
                sweeper.remove_expired();
            }
        });
        store
    }

    /// Writes an item, which expires after `lease` unless it is written again.
    pub fn write(&self, key: &str, data: &str, lease: Option<Duration>) -> u64 {
        let data: Arc<str> = encode_base64(data.as_bytes()).into();
        let mut contents = self.contents.lock().unwrap();
        contents.revision += 1;
        let revision = contents.revision;
        let known = contents.items.get(key);
        let created = known.map_or(revision, |item| item.created);
        contents.changes.push(Change {
            revision,
            key: key.to_string(),
            written: Some((Arc::clone(&data), created)),
        });
        let item = Item {
            data,
            revision,
            created,
            expires_at: lease.map(|lease| Instant::now() + lease),
        };
        contents.items.insert(key.to_string(), item);
        self.changed.notify_all();
        revision
    }

    pub fn has(&self, key: &str) -> bool {
        self.contents.lock().unwrap().items.contains_key(key)
    }

    fn remove_expired(&self) {
        let now = Instant::now();
        let mut contents = self.contents.lock().unwrap();
        let expired = |item: &Item| item.expires_at.is_some_and(|at| at <= now);
        let items = contents.items.iter();
        let keys = items.filter(|(_, item)| expired(item));
        let keys: Vec<_> = keys.map(|(key, _)| key.clone()).collect();
        for key in keys {
            contents.items.remove(&key);
            contents.revision += 1;
            let revision = contents.revision;
            contents.changes.push(Change {
                revision,
                key,
                written: None,
            });
            self.changed.notify_all();
        }
    }

    fn serve(&self, stream: TcpStream) {
        let Ok(mut writer) = stream.try_clone() else {
            return;
        };
        let mut reader = BufReader::new(stream);
        while let Ok(Some(request)) = http::read_request(&mut reader) {
            let body = match request.path() {
                "/kv-range" => self.range(&request),
                "/kv-watch" => self.watch(&request),
                _ => String::new(),
            };
            let status = if body.is_empty() { 404 } else { 200 };
            let headers = [("Content-Type", "application/json")];
            if http::respond(&mut writer, status, &headers, body.as_bytes()).is_err() {
                return;
            }
        }
    }

    /// Returns a page of at most 500 items or 1 MB.
    fn range(&self, request: &http::Request) -> String {
        let prefix = request.parameter("pathPrefix").unwrap_or_default();
        let after = request.parameter("after").unwrap_or_default();
        let contents = self.contents.lock().unwrap();
        let at = contents.revision;
        let items = contents.items.iter();
        let mut matching = items.filter(|(key, _)| key.starts_with(&prefix) && **key > after);
        let mut entries = Vec::new();
        let mut bytes = 0;
        let mut has_more = false;
        for (key, item) in &mut matching {
            if entries.len() >= MAX_PAGE_ITEMS
                || bytes > 0 && bytes + item.data.len() > MAX_PAGE_BYTES
            {
                has_more = true;
                break;
            }
            bytes += item.data.len();
            entries.push((
                key.clone(),
                item.revision,
                Some((Arc::clone(&item.data), item.created)),
            ));
        }
        drop(contents);
        let entries = format_items(&entries);
        format!("{{\"entries\":[{entries}],\"hasMore\":{has_more},\"at\":{at}}}")
    }

    fn watch(&self, request: &http::Request) -> String {
        let prefix = request.parameter("pathPrefix").unwrap_or_default();
        let number = |name| request.parameter(name).and_then(|text| text.parse().ok());
        let after: u64 = number("after").unwrap_or_default();
        let wait = Duration::from_millis(number("waitMs").unwrap_or_default());
        let ends_at = Instant::now() + wait;
        let mut contents = self.contents.lock().unwrap();
        loop {
            let changes = contents.changes.iter();
            let events = changes
                .filter(|change| change.revision > after && change.key.starts_with(&prefix))
                .map(|change| (change.key.clone(), change.revision, change.written.clone()));
            let events: Vec<_> = events.collect();
            let now = Instant::now();
            if !events.is_empty() || now >= ends_at {
                let at = contents.revision;
                drop(contents);
                return format!("{{\"events\":[{}],\"at\":{at}}}", format_items(&events));
            }
            let (next, _) = self.changed.wait_timeout(contents, ends_at - now).unwrap();
            contents = next;
        }
    }
}

/// An item's key, its revision, and its data and creation unless it was removed.
type ListedItem = (String, u64, Option<(Arc<str>, u64)>);

fn format_items(items: &[ListedItem]) -> String {
    let mut text = String::new();
    for (key, revision, written) in items {
        if !text.is_empty() {
            text.push(',');
        }
        text += &format!("{{\"key\":\"{key}\",\"revision\":{revision},");
        match written {
            Some((data, created)) => {
                text += &format!("\"createdRevision\":{created},\"leaseId\":0,\"data\":\"");
                text += data;
                text += "\"}";
            }
            None => text += "\"compacted\":true}",
        }
    }
    text
}

fn encode_base64(data: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for group in data.chunks(3) {
        let byte = |index: usize| u32::from(group.get(index).copied().unwrap_or(0));
        let bits = byte(0) << 16 | byte(1) << 8 | byte(2);
        for digit in 0..4 {
            let value = bits >> (18 - 6 * digit) & 63;
            text.push(match digit <= group.len() {
                true => DIGITS[value as usize] as char,
                false => '=',
            });
        }
    }
    text
}
