//! Calls at the configuration service and the VM list.

use std::net;
use std::time::Duration;

use kingcupfall_core::ids;
use kingcupfall_core::measures;
use ntex::client;
use serde::Deserialize;
use serde::de::DeserializeOwned;
use tokio::time;

use super::Result;
use super::ShellError;
use crate::members;
use crate::reducer;
use crate::sections;

/// Largest answer that is read.
const ANSWER_LIMIT_BYTES: usize = 32 * 1024 * 1024;

/// Longest call but for a watch.
const CALL_TIMEOUT: Duration = Duration::from_secs(5);

/// Longest watch; the service ends it earlier.
const WATCH_TIMEOUT: Duration = Duration::from_secs(45);

/// Where the platform's services are.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PlatformAddresses {
    /// Configuration service.
    pub configuration_service: net::SocketAddr,
    /// VM list.
    pub vm_list: net::SocketAddr,
}

/// Reads the platform's services.
#[derive(Clone)]
pub(super) struct PlatformReader {
    client: client::Client,
    addresses: PlatformAddresses,
}

/// A section as the configuration service writes it.
#[derive(Debug, Deserialize)]
struct SectionAnswer {
    section: sections::SectionName,
    version: measures::SectionVersion,
    text: Box<str>,
}

/// Answer of `GET /v1/sections` and `GET /v1/watch`.
#[derive(Debug, Deserialize)]
struct ServiceAnswer {
    revision: reducer::ServiceRevision,
    sections: Vec<SectionAnswer>,
}

/// What a VM is for.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "snake_case")]
enum VmRole {
    Gateway,
    Target,
}

/// A VM as the list writes it.
#[derive(Debug, Deserialize)]
struct VmAnswer {
    name: ids::VmName,
    zone: ids::ZoneName,
    role: VmRole,
    address: net::SocketAddr,
    leaving: bool,
}

/// Answer of `GET /v1/vms`.
#[derive(Debug, Deserialize)]
struct ListAnswer {
    vms: Vec<VmAnswer>,
}

/// An answer with the size it had on the wire.
struct SizedAnswer<T> {
    answer: T,
    size: measures::ByteSize,
}

impl PlatformReader {
    pub(super) async fn new(addresses: PlatformAddresses) -> Result<Self> {
        let client = client::Client::builder()
            .connector::<()>(client::Connector::new())
            .disable_timeout()
            .disable_redirects()
            .build(ntex::SharedCfg::default())
            .await
            .map_err(|_| ShellError::Client)?;
        Ok(Self { client, addresses })
    }

    /// Reads all sections.
    pub(super) async fn read_sections(&self) -> reducer::FleetEvent {
        let address = self.addresses.configuration_service;
        let url = format!("http://{address}/v1/sections");
        self.read_service(&url, CALL_TIMEOUT).await
    }

    /// Waits for a change.
    pub(super) async fn watch_sections(
        &self,
        after: reducer::ServiceRevision,
    ) -> reducer::FleetEvent {
        let address = self.addresses.configuration_service;
        let url = format!("http://{address}/v1/watch?after={after}");
        self.read_service(&url, WATCH_TIMEOUT).await
    }

    /// Reads the VM list.
    pub(super) async fn read_vms(&self) -> reducer::FleetEvent {
        let url = format!("http://{}/v1/vms", self.addresses.vm_list);
        match self.get::<ListAnswer>(&url, CALL_TIMEOUT).await {
            Some(sized) => reducer::FleetEvent::VmListRead(listing(sized)),
            None => reducer::FleetEvent::VmListReadFailed,
        }
    }

    async fn read_service(&self, url: &str, timeout: Duration) -> reducer::FleetEvent {
        match self.get::<ServiceAnswer>(url, timeout).await {
            Some(sized) => reducer::FleetEvent::SectionsRead(reading(sized.answer)),
            None => reducer::FleetEvent::SectionReadFailed,
        }
    }

    async fn get<T: DeserializeOwned>(
        &self,
        url: &str,
        timeout: Duration,
    ) -> Option<SizedAnswer<T>> {
        match time::timeout(timeout, self.fetch(url)).await {
            Ok(Ok(answer)) => Some(answer),
            Ok(Err(reason)) => {
                log::warn!("{url}: {reason}");
                None
            }
            Err(_) => {
                log::warn!("{url}: no answer after {} s", timeout.as_secs());
                None
            }
        }
    }

    async fn fetch<T: DeserializeOwned>(
        &self,
        url: &str,
    ) -> std::result::Result<SizedAnswer<T>, Box<str>> {
        let call = self.client.get(url).timeout(ntex::time::Millis::ZERO);
        let response = call.send().await.map_err(|error| error.to_string())?;
        if !response.status().is_success() {
            return Err(format!("status {}", response.status()).into());
        }

        let body = response
            .body()
            .limit(ANSWER_LIMIT_BYTES)
            .timeout(ntex::time::Millis::ZERO)
            .await
            .map_err(|error| error.to_string())?;
        let answer = serde_json::from_slice(&body).map_err(|error| error.to_string())?;
        Ok(SizedAnswer {
            answer,
            size: measures::ByteSize::new(body.len() as u64),
        })
    }
}

fn reading(answer: ServiceAnswer) -> reducer::ServiceReading {
    let sections = answer.sections.into_iter().map(|section| {
        sections::SectionValue::new(section.section, section.version, section.text.as_bytes())
    });
    reducer::ServiceReading {
        revision: answer.revision,
        sections: sections.collect(),
    }
}

fn listing(sized: SizedAnswer<ListAnswer>) -> reducer::VmListing {
    let mut listing = reducer::VmListing {
        gateways: Vec::new(),
        leaving: Vec::new(),
        size: sized.size,
    };
    for vm in sized.answer.vms {
        if vm.leaving {
            listing.leaving.push(vm.name);
        } else if vm.role == VmRole::Gateway {
            listing.gateways.push(members::SeedRecord {
                vm: vm.name,
                zone: vm.zone,
                address: vm.address,
            });
        }
    }
    listing
}
