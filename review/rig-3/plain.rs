//! Callers of plain services, for the scenarios that have no streams.

use std::net::SocketAddr;
use std::time::Duration;

use crate::http;

/// Sends a request. Returns its status and the body of its response; the status is 0 without one.
pub fn call(address: SocketAddr, id: &str, path: &str, key: &str) -> (u16, String) {
    let headers = [
        ("Host", "a.example".to_string()),
        ("Attempt-Id", id.to_string()),
        ("Deadline-Ms", "1500".to_string()),
        ("Api-Key", key.to_string()),
    ];
    let timeout = Duration::from_millis(1_500);
    match http::exchange(address, "POST", path, &headers, b"body", timeout) {
        Ok(response) => {
            let body = String::from_utf8_lossy(&response.body).into_owned();
            (response.status, body)
        }
        Err(_) => (0, String::new()),
    }
}
