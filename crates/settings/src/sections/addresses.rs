//! Checks of addresses.

use std::net;

use kingcupfall_document::reader;

/// Reports each of `addresses`, given by key, that another one before it has too.
pub fn report_shared(
    reader: &mut reader::TableReader<'_, '_, '_>,
    addresses: &[(&'static str, Option<net::SocketAddr>)],
) {
    for (index, (key, address)) in addresses.iter().enumerate() {
        let earlier = &addresses[..index];
        let twin = earlier
            .iter()
            .find(|(_, other)| address.is_some() && other == address);
        if let Some((twin, _)) = twin {
            reader.report(key, format!("is the same address as {twin}"));
        }
    }
}

/// Reports the address under `key` when it is not on loopback.
pub fn check_loopback(
    reader: &mut reader::TableReader<'_, '_, '_>,
    key: &'static str,
    address: Option<net::SocketAddr>,
) {
    let is_loopback = address.is_none_or(|address| address.ip().is_loopback());
    reader.check(key, is_loopback, "must be a loopback address");
}
