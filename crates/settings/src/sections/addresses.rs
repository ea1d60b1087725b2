//! Checks of the addresses in settings.

use std::net;

use kingcupfall_document::reader;

/// Reports each of `addresses`, given with their keys, that equals an earlier one.
pub fn report_duplicate_addresses(
    reader: &mut reader::TableReader<'_, '_, '_>,
    addresses: &[(&'static str, Option<net::SocketAddr>)],
) {
    for (index, (key, address)) in addresses.iter().enumerate() {
        let earlier = &addresses[..index];
        let duplicate = earlier
            .iter()
            .find(|(_, other)| address.is_some() && other == address);
        if let Some((earlier_key, _)) = duplicate {
            reader.report(key, format!("is the same address as {earlier_key}"));
        }
    }
}

/// Reports the address of `key` if it is not a loopback address; a missing one is accepted.
pub fn check_loopback(
    reader: &mut reader::TableReader<'_, '_, '_>,
    key: &'static str,
    address: Option<net::SocketAddr>,
) {
    let is_loopback = address.is_none_or(|address| address.ip().is_loopback());
    reader.check(key, is_loopback, "must be a loopback address");
}
