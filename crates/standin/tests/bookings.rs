//! Calls of a plain service that must be executed at most once, over real sockets.

mod common;

use std::time::Duration;

use kingcupfall_core::work;
use kingcupfall_standin::caller;
use kingcupfall_standin::system;
use ntex::client;
use serde::Deserialize;

use common::harness;

const BOOKING_PATH: &str = "book";
const BOOKING_BODY: &str = "{\"kitchen\":12,\"crew\":\"noite\"}";

/// Response to `POST /v1/idempotency-keys`.
#[derive(Deserialize)]
struct KeyResponse {
    idempotency_key: Box<str>,
}

#[ntex::test]
async fn booking_without_key_runs_once_and_returns_key() {
    let system = harness::start_system(0).await;
    let caller = harness::caller_client(&system).await;

    let response = send_booking(&caller, None, BOOKING_BODY).await.unwrap();

    assert_eq!(response.status().as_u16(), 200);
    assert!(response.header("idempotency-key").is_some());
    assert_eq!(
        system.services[0].runs(BOOKING_PATH, BOOKING_BODY.as_bytes()),
        1
    );
}

#[ntex::test]
async fn booking_repeated_with_key_runs_once() {
    let system = harness::start_system(0).await;
    let caller = harness::caller_client(&system).await;
    let key = issue_key(&caller).await;

    let first = send_booking(&caller, Some(&key), BOOKING_BODY)
        .await
        .unwrap();
    let first = first.body().await.unwrap();
    let other = caller.at_gateway(system.gateways[1].caller_address());
    wait_for_target(&other).await;
    for repeating_caller in [&caller, &other, &caller] {
        let response = send_booking(repeating_caller, Some(&key), BOOKING_BODY)
            .await
            .unwrap();
        assert_eq!(response.header("idempotency-replayed").unwrap(), "true");
        assert_eq!(response.body().await.unwrap(), first);
    }

    assert_eq!(
        system.services[0].runs(BOOKING_PATH, BOOKING_BODY.as_bytes()),
        1
    );
}

#[ntex::test]
async fn booking_repeated_while_first_runs_waits_for_it() {
    let system = harness::start_system(0).await;
    let caller = harness::caller_client(&system).await;
    let key = issue_key(&caller).await;
    let service = &system.services[0];
    service.hold_responses();

    let first = spawn_booking(&caller, &key);
    common::wait_until("the first booking runs", || service.total_runs() == 1).await;
    let second = spawn_booking(&caller, &key);
    // The repeated booking must not reach the service, however long it waits for the first one.
    tokio::time::sleep(Duration::from_millis(300)).await;
    assert_eq!(service.total_runs(), 1);
    service.release_responses();

    let first = common::with_timeout("the first response", first)
        .await
        .unwrap();
    let second = common::with_timeout("the second response", second)
        .await
        .unwrap();
    assert_eq!(first, second);
    assert_eq!(service.runs(BOOKING_PATH, BOOKING_BODY.as_bytes()), 1);
}

#[ntex::test]
async fn booking_key_with_changed_body_refused() {
    let system = harness::start_system(0).await;
    let caller = harness::caller_client(&system).await;
    let key = issue_key(&caller).await;
    send_booking(&caller, Some(&key), BOOKING_BODY)
        .await
        .unwrap();

    let refused = send_booking(&caller, Some(&key), "{\"kitchen\":13}").await;

    assert_eq!(problem_code(refused).as_ref(), "key_mismatch");
    assert_eq!(system.services[0].total_runs(), 1);
}

#[ntex::test]
async fn booking_key_of_other_organisation_refused() {
    let system = harness::start_system(0).await;
    let caller = harness::caller_client(&system).await;
    let key = issue_key(&caller).await;

    let address = system.gateways[0].caller_address();
    let other_organisation = caller::CallerClient::new(address, system::QURUM_KEY).await;
    let refused = send_booking(&other_organisation, Some(&key), BOOKING_BODY).await;

    assert!(matches!(refused, Err(caller::CallerError::Problem(_))));
    assert_eq!(system.services[0].total_runs(), 0);
}

#[ntex::test]
async fn booking_service_killed_while_running_is_unknown() {
    let system = harness::start_system(0).await;
    let caller = harness::caller_client(&system).await;
    let key = issue_key(&caller).await;
    let service = &system.services[0];
    service.hold_responses();
    let booking = {
        let caller = caller.clone();
        let key = key.clone();
        ntex::rt::spawn(async move { send_booking(&caller, Some(&key), BOOKING_BODY).await.err() })
    };
    common::wait_until("the booking runs", || service.total_runs() == 1).await;

    service.kill().await;

    let error = common::with_timeout("a response", booking).await.unwrap();
    let Some(caller::CallerError::Problem(problem)) = error else {
        panic!("a lost booking must end with a problem, not {error:?}");
    };
    assert_eq!(problem.outcome, work::CallOutcome::Unknown);
    assert_eq!(service.total_runs(), 1);
}

#[ntex::test]
async fn booking_key_of_previous_agent_refused() {
    let mut system = harness::start_system(0).await;
    let caller = harness::caller_client(&system).await;
    let key = issue_key(&caller).await;
    send_booking(&caller, Some(&key), BOOKING_BODY)
        .await
        .unwrap();

    // The new agent of the target is another incarnation and does not know the records of the
    // previous one.
    system.restart_agent(0).await.unwrap();
    wait_for_target(&caller).await;
    let refused = send_booking(&caller, Some(&key), BOOKING_BODY).await;

    let Err(caller::CallerError::Problem(problem)) = refused else {
        panic!("a key of the previous agent must be refused");
    };
    assert_eq!(problem.outcome, work::CallOutcome::Unknown);
    assert_eq!(problem.code.as_ref(), "key_expired");
    assert_eq!(
        system.services[0].runs(BOOKING_PATH, BOOKING_BODY.as_bytes()),
        1
    );
}

/// Sends a booking, with or without an idempotency key.
async fn send_booking(
    caller: &caller::CallerClient,
    key: Option<&str>,
    body: &'static str,
) -> caller::Result<client::ClientResponse> {
    wait_for_target(caller).await;
    let request = caller
        .post("v1/services/bookings/book")
        .content_type("application/json");
    let request = match key {
        Some(key) => request.set_header("idempotency-key", key),
        None => request,
    };
    let response = common::with_timeout("a response", request.send_body(body)).await;
    caller::check_response(response.unwrap()).await
}

fn spawn_booking(
    caller: &caller::CallerClient,
    key: &str,
) -> ntex::rt::JoinHandle<ntex::util::Bytes> {
    let caller = caller.clone();
    let key: Box<str> = key.into();
    ntex::rt::spawn(async move {
        let response = send_booking(&caller, Some(&key), BOOKING_BODY)
            .await
            .unwrap();
        response.body().await.unwrap()
    })
}

/// Waits until the gateway has a target for the service, which it needs to issue a key.
async fn wait_for_target(caller: &caller::CallerClient) {
    common::with_timeout("an idempotency key", async {
        while request_key(caller).await.is_err() {
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
    })
    .await;
}

async fn issue_key(caller: &caller::CallerClient) -> Box<str> {
    wait_for_target(caller).await;
    request_key(caller).await.unwrap()
}

async fn request_key(caller: &caller::CallerClient) -> caller::Result<Box<str>> {
    let request = caller.post("v1/idempotency-keys");
    let sending = request.send_body("{\"service\":\"bookings\"}");
    let response = common::with_timeout("a response", sending).await.unwrap();
    let response: KeyResponse = caller::check_response(response)
        .await?
        .json()
        .await
        .unwrap();
    Ok(response.idempotency_key)
}

fn problem_code(result: caller::Result<client::ClientResponse>) -> Box<str> {
    match result.err() {
        Some(caller::CallerError::Problem(problem)) => problem.code,
        other => panic!("expected a problem, not {other:?}"),
    }
}
