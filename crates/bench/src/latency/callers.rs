//! The two sides of the measurement: callers of the system, and callers of the engine.

use std::net;
use std::time::Duration;
use std::time::Instant;

use futures_util::StreamExt;
use futures_util::future;
use kingcupfall_agent::protocol;
use kingcupfall_core::ids;
use kingcupfall_core::measures;
use kingcupfall_core::work;
use kingcupfall_standin::caller;
use kingcupfall_standin::system;

use super::LatencyError;
use super::Result;

/// Time between two tries while the gateway knows no target yet.
const START_PAUSE: Duration = Duration::from_millis(50);

/// Tries until the gateway must know a target.
const START_TRIES: usize = 200;

const PROMPT: &str = "kitchen 12, hood 3, duct 7";

/// How much each side streams.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct LoadSize {
    /// Streams at a time.
    pub(super) streams: usize,
    /// Tokens of each stream.
    pub(super) tokens: u64,
}

/// Arrival of one token at its caller.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct TokenArrival {
    /// Stream of the token.
    pub(super) stream: ids::AttemptId,
    /// Its place.
    pub(super) index: u64,
    /// When it was read.
    pub(super) at: Instant,
}

/// Streams through the gateway at `address`, in a thread of its own.
pub(super) async fn spawn_system_callers(
    address: net::SocketAddr,
    size: LoadSize,
) -> Result<Vec<TokenArrival>> {
    let running = system::SystemThread::spawn(move || async move {
        let caller = caller::CallerClient::new(address, system::EXAUSTAO_KEY).await;
        wait_for_target(&caller).await?;
        let reading = (0..size.streams).map(|_| read_through_system(&caller, size.tokens));
        let arrivals = future::try_join_all(reading).await?;
        Ok::<_, LatencyError>((arrivals.concat(), ()))
    });
    let (thread, arrivals) = running.await?;
    thread.kill().await;
    Ok(arrivals)
}

/// Streams from the engine at `address`, in a thread of its own.
pub(super) async fn spawn_engine_callers(
    address: net::SocketAddr,
    size: LoadSize,
) -> Result<Vec<TokenArrival>> {
    let running = system::SystemThread::spawn(move || async move {
        let client = ntex::client::Client::builder()
            .connector::<()>(ntex::client::Connector::new().limit(size.streams + 1))
            .disable_timeout()
            .build(ntex::SharedCfg::default())
            .await
            .map_err(|error| broken(&error))?;
        let reading = (0..size.streams).map(|_| read_from_engine(&client, address, size.tokens));
        let arrivals = future::try_join_all(reading).await?;
        Ok::<_, LatencyError>((arrivals.concat(), ()))
    });
    let (thread, arrivals) = running.await?;
    thread.kill().await;
    Ok(arrivals)
}

async fn wait_for_target(caller: &caller::CallerClient) -> Result<()> {
    let call = caller::GenerationCall {
        stream: false,
        ..generation_call(1)
    };
    for _ in 0..START_TRIES {
        if caller.generate(&call).await.is_ok() {
            return Ok(());
        }
        tokio::time::sleep(START_PAUSE).await;
    }
    Err(LatencyError::Stream("the gateway knows no target".into()))
}

async fn read_through_system(
    caller: &caller::CallerClient,
    tokens: u64,
) -> Result<Vec<TokenArrival>> {
    let mut stream = caller
        .stream(&generation_call(tokens))
        .await
        .map_err(|error| broken(&error))?;
    let mut arrivals = Vec::new();

    while let Some(item) = stream.next().await {
        let at = Instant::now();
        match item.map_err(|error| broken(&error))? {
            caller::StreamItem::Tokens { id, data } => {
                let stream = generation_of(&id)?;
                let count = data.tokens.len() as u64;
                let indexes = data.index..data.index + count;
                arrivals.extend(indexes.map(|index| TokenArrival { stream, index, at }));
            }
            caller::StreamItem::End(_) => return Ok(arrivals),
            caller::StreamItem::Problem(problem) => return Err(broken(&problem.code)),
        }
    }
    Err(broken(&"a stream ended without its end"))
}

async fn read_from_engine(
    client: &ntex::client::Client,
    address: net::SocketAddr,
    tokens: u64,
) -> Result<Vec<TokenArrival>> {
    let body = generate_body(tokens);
    let stream = body.stream;
    let mut response = client
        .post(format!("http://{address}/v1/generate"))
        .send_json(&body)
        .await
        .map_err(|error| broken(&error))?;
    let mut decoder = protocol::EventDecoder::default();
    let mut arrivals = Vec::new();

    while let Some(chunk) = response.next().await {
        let at = Instant::now();
        let chunk = chunk.map_err(|error| broken(&error))?;
        decoder.push(&chunk).map_err(|error| broken(&error))?;
        while let Some(event) = decoder.pop().map_err(|error| broken(&error))? {
            match event {
                protocol::StreamEvent::Token { index, .. } => arrivals.push(TokenArrival {
                    stream,
                    index: index.get(),
                    at,
                }),
                protocol::StreamEvent::End { .. } => return Ok(arrivals),
            }
        }
    }
    Err(broken(&"a stream ended without its end"))
}

fn generation_call(tokens: u64) -> caller::GenerationCall {
    caller::GenerationCall {
        model: system::MODEL.into(),
        prompt: PROMPT.into(),
        max_tokens: tokens,
        class: "report".into(),
        stream: true,
    }
}

fn generate_body(tokens: u64) -> protocol::GenerateBody {
    let model = system::MODEL.parse().expect("a valid name");

    protocol::GenerateBody {
        stream: ids::AttemptId::random(&mut rand::rng()),
        prefix: work::PrefixHash::of_prompt(&model, PROMPT),
        model,
        prompt: PROMPT.into(),
        prompt_tokens: measures::TokenCount::new(7),
        max_tokens: measures::TokenCount::new(tokens),
        priority: measures::Priority::new(4),
        prefill_chunk: None,
    }
}

/// Reads the generation from an event id.
fn generation_of(id: &str) -> Result<ids::AttemptId> {
    let token: kingcupfall_gateway::state::ResumeToken =
        id.parse().map_err(|error| broken(&error))?;
    Ok(token.attempt)
}

fn broken(reason: &dyn std::fmt::Display) -> LatencyError {
    LatencyError::Stream(reason.to_string().into())
}
