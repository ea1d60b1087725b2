//! Streams are cut on their way from a server that answers before it has read a long body, and reads
//! on later.

use std::io;
use std::io::BufReader;
use std::io::Read;
use std::io::Write;
use std::net::TcpListener;
use std::net::TcpStream;
use std::path::Path;
use std::thread;
use std::time::Duration;

use crate::Outcome;
use crate::config;
use crate::http;
use crate::record::Record;
use crate::relay;
use crate::store;

/// Requests with a long body.
const REQUESTS: usize = 8;

/// Size of a long body: more than the windows of a connection on loopback addresses hold.
const BODY_BYTES: usize = 128 * 1024;

/// Time from the SIGHUP until the requests are sent, well within `configApplyMs`.
const REQUEST_DELAY: Duration = Duration::from_millis(200);

/// Time until the first event of an answer.
const FIRST_EVENT_DELAY: Duration = Duration::from_millis(500);

/// Events of an answer, and the time between two.
const EVENTS: usize = 60;
const EVENT_INTERVAL: Duration = Duration::from_millis(100);

/// Time after which the server reads the body of a request that it answers already.
const READ_DELAY: Duration = Duration::from_secs(4);

fn serve(record: &Record, stream: TcpStream, is_late: bool) -> Option<()> {
    let mut writer = stream.try_clone().ok()?;
    let mut reader = BufReader::with_capacity(1_024, stream);
    let request = http::read_head(&mut reader).ok()??;
    let id = request.header("attempt-id")?.to_owned();
    let length: u64 = request.header("content-length")?.parse().ok()?;
    let body_record = record.clone();
    let body_id = id.clone();
    let body = thread::spawn(move || {
        if is_late {
            thread::sleep(READ_DELAY);
        }
        let mut body = Vec::new();
        let read = reader.take(length).read_to_end(&mut body);
        body_record.note(format!(
            "server has read {} of {length} bytes of {body_id}: {read:?}",
            body.len()
        ));
    });
    let head = format!(
        "HTTP/1.1 200 OK\r\nAttempt-Id: {id}\r\nServer-Seal: seal-{id}\r\n\
        Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
    );
    record.note(format!("server answers {id}"));
    writer.write_all(head.as_bytes()).ok()?;
    thread::sleep(FIRST_EVENT_DELAY);
    for number in 1..=EVENTS {
        thread::sleep(EVENT_INTERVAL);
        let event = format!("id: {number}\ndata: piece {number}\n\n");
        let chunk = format!("{:x}\r\n{event}\r\n", event.len());
        if let Err(error) = writer.write_all(chunk.as_bytes()) {
            record.note(format!("server can't send event {number} of {id}: {error}"));
            return None;
        }
    }
    writer.write_all(b"0\r\n\r\n").ok()?;
    record.note(format!("server has sent all of {id}"));
    body.join().ok()
}

fn send(stream: &mut TcpStream, id: &str, bytes: usize) -> io::Result<()> {
    let head = format!(
        "POST /draft/3a HTTP/1.1\r\nHost: ficu95.example\r\nAttempt-Id: {id}\r\nModel: m\r\n\
        Token-Count: 1500,240\r\nDeadline-Ms: 39000\r\nApi-Key: key-a\r\nContent-Length: {bytes}\r\n\r\n"
    );
    stream.write_all(head.as_bytes())?;
    stream.write_all(&vec![b'x'; bytes])
}

pub fn run(record: &Record, folder: &Path, has_trouble: bool) -> io::Result<Outcome> {
    let store = store::Store::start()?;
    store.put("op/config", &config::text(7, "\"key-a\""));
    let listener = TcpListener::bind("127.0.0.1:0")?;
    let address = listener.local_addr()?;
    let server_record = record.clone();
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let record = server_record.clone();
            thread::spawn(move || serve(&record, stream, has_trouble));
        }
    });
    store.put(
        "servers/i-one",
        &format!(
            "{{\"service\":\"engines\",\"address\":\"{address}\",\"zone\":\"zone-a\",\
            \"version\":\"v1\",\"slotCount\":24,\"instanceState\":\"ready\",\
            \"coldRemainingMs\":0,\"callSeq\":1,\"born\":1700000000000}}"
        ),
    );
    let deployment = relay::Deployment {
        memory_mb: 512,
        contact_ms: 4_000,
        drain_timeout_ms: 3_000,
        retry_allowance: 88,
    };
    let mut relays = relay::Relay::prepare(folder, 1, store.address, deployment)?;
    relays[0].start()?;
    let caller_address = relays[0].caller_address;
    thread::sleep(Duration::from_millis(4_500));
    // From then on the machine is in touch.
    record.note("platform sends SIGHUP");
    relays[0].signal("HUP")?;
    thread::sleep(REQUEST_DELAY);
    let callers: Vec<_> = (0..REQUESTS)
        .map(|number| {
            let record = record.clone();
            thread::spawn(move || -> io::Result<bool> {
                let mut stream = TcpStream::connect(caller_address)?;
                stream.set_read_timeout(Some(Duration::from_secs(40)))?;
                let id = format!("long-{number}");
                send(&mut stream, &id, BODY_BYTES)?;
                record.note(format!("caller has sent all of {id}"));
                let response = http::read_response(&mut BufReader::new(stream));
                record.note(format!(
                    "caller of {id} gets {}, {} events, complete: {}",
                    response.status(),
                    response.text().matches("id: ").count(),
                    response.is_complete
                ));
                Ok(response.is_complete)
            })
        })
        .collect();
    let mut closed = 0;
    for caller in callers {
        let is_complete = caller
            .join()
            .map_err(|_| io::Error::other("a caller panicked"))??;
        closed += usize::from(!is_complete);
    }
    record.note(format!(
        "LOST: {closed} of {REQUESTS} channels ended without a complete answer"
    ));
    match closed {
        0 => Ok(Outcome::Held),
        _ => Ok(Outcome::Broken),
    }
}
