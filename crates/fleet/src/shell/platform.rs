//! HTTP calls to the configuration service and the VM list.

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

/// Maximum size of a response body, in bytes.
const MAX_RESPONSE_BYTES: usize = 32 * 1024 * 1024;

/// Timeout of a call, except a watch.
const CALL_TIMEOUT: Duration = Duration::from_secs(5);

/// Timeout of a watch. The service normally ends a watch earlier.
const WATCH_TIMEOUT: Duration = Duration::from_secs(45);

/// Addresses of the platform's services.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PlatformAddresses {
    /// Address of the configuration service.
    pub configuration_service: net::SocketAddr,
    /// Address of the VM list.
    pub vm_list: net::SocketAddr,
}

/// Client of the platform's services.
#[derive(Clone)]
pub(super) struct PlatformReader {
    client: client::Client,
    addresses: PlatformAddresses,
}

/// A section in a response of the configuration service.
#[derive(Debug, Deserialize)]
struct SectionEntry {
    section: sections::SectionName,
    version: measures::SectionVersion,
    text: Box<str>,
}

/// Response to `GET /v1/sections` and `GET /v1/watch`.
#[derive(Debug, Deserialize)]
struct ConfigurationResponse {
    revision: reducer::ServiceRevision,
    sections: Vec<SectionEntry>,
}

/// Purpose of a VM.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "snake_case")]
enum VmRole {
    Gateway,
    Target,
}

/// A VM in a response of the VM list.
#[derive(Debug, Deserialize)]
struct VmEntry {
    name: ids::VmName,
    zone: ids::ZoneName,
    role: VmRole,
    address: net::SocketAddr,
    leaving: bool,
}

/// Response to `GET /v1/vms`.
#[derive(Debug, Deserialize)]
struct VmListResponse {
    vms: Vec<VmEntry>,
}

/// Decoded content of a response, and the size of its body.
struct SizedResponse<T> {
    content: T,
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
        self.read_configuration(&url, CALL_TIMEOUT).await
    }

    /// Waits until the service has a revision later than `after` or ends the watch, and reads the
    /// changed sections.
    pub(super) async fn watch_sections(
        &self,
        after: reducer::ServiceRevision,
    ) -> reducer::FleetEvent {
        let address = self.addresses.configuration_service;
        let url = format!("http://{address}/v1/watch?after={after}");
        self.read_configuration(&url, WATCH_TIMEOUT).await
    }

    /// Reads the VM list.
    pub(super) async fn read_vm_list(&self) -> reducer::FleetEvent {
        let url = format!("http://{}/v1/vms", self.addresses.vm_list);
        match self.get::<VmListResponse>(&url, CALL_TIMEOUT).await {
            Some(sized) => reducer::FleetEvent::VmListRead(vm_listing(sized)),
            None => reducer::FleetEvent::VmListReadFailed,
        }
    }

    async fn read_configuration(&self, url: &str, timeout: Duration) -> reducer::FleetEvent {
        match self.get::<ConfigurationResponse>(url, timeout).await {
            Some(sized) => reducer::FleetEvent::SectionsRead(service_reading(sized.content)),
            None => reducer::FleetEvent::SectionReadFailed,
        }
    }

    async fn get<T: DeserializeOwned>(
        &self,
        url: &str,
        timeout: Duration,
    ) -> Option<SizedResponse<T>> {
        match time::timeout(timeout, self.fetch(url)).await {
            Ok(Ok(response)) => Some(response),
            Ok(Err(error)) => {
                log::warn!("GET {url} failed: {error}");
                None
            }
            Err(_) => {
                log::warn!("GET {url} timed out after {} s", timeout.as_secs());
                None
            }
        }
    }

    async fn fetch<T: DeserializeOwned>(
        &self,
        url: &str,
    ) -> std::result::Result<SizedResponse<T>, Box<str>> {
        let call = self.client.get(url).timeout(ntex::time::Millis::ZERO);
        let response = call.send().await.map_err(|error| error.to_string())?;
        if !response.status().is_success() {
            return Err(format!("unexpected status {}", response.status()).into());
        }

        let body = response
            .body()
            .limit(MAX_RESPONSE_BYTES)
            .timeout(ntex::time::Millis::ZERO)
            .await
            .map_err(|error| error.to_string())?;
        let content = serde_json::from_slice(&body).map_err(|error| error.to_string())?;
        Ok(SizedResponse {
            content,
            size: measures::ByteSize::new(body.len() as u64),
        })
    }
}

fn service_reading(response: ConfigurationResponse) -> reducer::ServiceReading {
    let sections = response.sections.into_iter().map(|section| {
        sections::SectionValue::new(section.section, section.version, section.text.as_bytes())
    });
    reducer::ServiceReading {
        revision: response.revision,
        sections: sections.collect(),
    }
}

fn vm_listing(sized: SizedResponse<VmListResponse>) -> reducer::VmListing {
    let mut listing = reducer::VmListing {
        gateways: Vec::new(),
        leaving: Vec::new(),
        size: sized.size,
    };
    for vm in sized.content.vms {
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
