//! Questions and orders to an engine over HTTP.

use std::net;
use std::time::Duration;

use kingcupfall_core::engine;
use kingcupfall_core::measures;
use ntex::client;
use ntex::http;
use tokio::time;

use crate::protocol;
use crate::upgrade;

/// Time in which an engine says what it has loaded.
const ASK_TIMEOUT: Duration = Duration::from_secs(2);

/// Time in which an engine answers an order.
const ORDER_TIMEOUT: Duration = Duration::from_secs(50);

/// An engine, as its agent orders it.
#[derive(Clone)]
pub(super) struct EngineClient {
    pub(super) client: client::Client,
    pub(super) address: net::SocketAddr,
}

impl EngineClient {
    /// Asks for the engine's state; `None` when it does not answer.
    pub(super) async fn ask(&self) -> Option<upgrade::EngineState> {
        let url = format!("http://{}/v1/health", self.address);
        let asking = async {
            let response = self.client.get(url).send().await.ok()?;
            response.json::<protocol::HealthBody>().await.ok()
        };

        let body = time::timeout(ASK_TIMEOUT, asking).await.ok().flatten()?;
        Some(upgrade::EngineState {
            fencing: body.fencing,
            loaded: body.models,
        })
    }

    /// Gives an order.
    pub(super) async fn order(
        &self,
        fencing: measures::FencingNumber,
        order: engine::EngineOrder,
    ) -> upgrade::OrderOutcome {
        let url = format!("http://{}/v1/orders", self.address);
        let body = protocol::OrderBody { fencing, order };
        let sending = self.client.post(url).send_json(&body);

        match time::timeout(ORDER_TIMEOUT, sending).await {
            Ok(Ok(response)) => read_outcome(&response),
            Ok(Err(_)) | Err(_) => upgrade::OrderOutcome::Failed,
        }
    }
}

fn read_outcome(response: &client::ClientResponse) -> upgrade::OrderOutcome {
    let status = response.status();
    if status.is_success() {
        return upgrade::OrderOutcome::Taken;
    }
    if status == http::StatusCode::CONFLICT {
        return upgrade::OrderOutcome::Outdated;
    }

    match read_retry_after(response) {
        Some(retry_after) => upgrade::OrderOutcome::Busy { retry_after },
        None => upgrade::OrderOutcome::Failed,
    }
}

fn read_retry_after(response: &client::ClientResponse) -> Option<Duration> {
    let value = response.headers().get(http::header::RETRY_AFTER)?;
    let seconds: u64 = value.to_str().ok()?.parse().ok()?;
    Some(Duration::from_secs(seconds))
}
