//! Callers on the two sides of the measurement: through the gateway, and directly at the engine.

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

/// Interval between calls while the gateway has no target yet.
const TARGET_POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Maximum calls made until the gateway has a target.
const MAX_TARGET_POLLS: usize = 200;

const PROMPT: &str = "kitchen 12, hood 3, duct 7";

/// Size of the load that each side generates.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct LoadSize {
    /// Number of concurrent streams.
    pub(super) streams: usize,
    /// Number of tokens in each stream.
    pub(super) tokens: u64,
}

/// Arrival of one token at a caller.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct TokenArrival {
    /// Attempt that the engine generated the token for.
    pub(super) stream: ids::AttemptId,
    /// Index of the token in its stream, from zero.
    pub(super) index: u64,
    /// When the caller read it from its connection.
    pub(super) at: Instant,
}

/// Runs callers of the gateway at `address` in a separate thread and returns their arrivals.
pub(super) async fn run_gateway_callers(
    address: net::SocketAddr,
    size: LoadSize,
) -> Result<Vec<TokenArrival>> {
    let spawning = system::SystemThread::spawn(move || async move {
        let caller = caller::CallerClient::new(address, system::EXAUSTAO_KEY).await;
        wait_for_target(&caller).await?;
        let readers = (0..size.streams).map(|_| read_gateway_stream(&caller, size.tokens));
        let arrivals = future::try_join_all(readers).await?;
        Ok::<_, LatencyError>((arrivals.concat(), ()))
    });
    let (thread, arrivals) = spawning.await?;
    thread.kill().await;
    Ok(arrivals)
}

/// Runs callers of the engine at `address` in a separate thread and returns their arrivals.
pub(super) async fn run_engine_callers(
    address: net::SocketAddr,
    size: LoadSize,
) -> Result<Vec<TokenArrival>> {
    let spawning = system::SystemThread::spawn(move || async move {
        let client = ntex::client::Client::builder()
            .connector::<()>(ntex::client::Connector::new().limit(size.streams + 1))
            .disable_timeout()
            .build(ntex::SharedCfg::default())
            .await
            .map_err(|error| stream_error(&error))?;
        let readers = (0..size.streams).map(|_| read_engine_stream(&client, address, size.tokens));
        let arrivals = future::try_join_all(readers).await?;
        Ok::<_, LatencyError>((arrivals.concat(), ()))
    });
    let (thread, arrivals) = spawning.await?;
    thread.kill().await;
    Ok(arrivals)
}

async fn wait_for_target(caller: &caller::CallerClient) -> Result<()> {
    let call = caller::GenerationCall {
        stream: false,
        ..generation_call(1)
    };
    for _ in 0..MAX_TARGET_POLLS {
        if caller.generate(&call).await.is_ok() {
            return Ok(());
        }
        tokio::time::sleep(TARGET_POLL_INTERVAL).await;
    }
    Err(LatencyError::Stream(
        "the gateway found no target in time".into(),
    ))
}

async fn read_gateway_stream(
    caller: &caller::CallerClient,
    tokens: u64,
) -> Result<Vec<TokenArrival>> {
    let mut stream = caller
        .stream(&generation_call(tokens))
        .await
        .map_err(|error| stream_error(&error))?;
    let mut arrivals = Vec::new();

    while let Some(item) = stream.next().await {
        let at = Instant::now();
        match item.map_err(|error| stream_error(&error))? {
            caller::StreamItem::Tokens { id, data } => {
                let stream = parse_attempt_id(&id)?;
                let count = data.tokens.len() as u64;
                let indexes = data.index..data.index + count;
                arrivals.extend(indexes.map(|index| TokenArrival { stream, index, at }));
            }
            caller::StreamItem::End(_) => return Ok(arrivals),
            caller::StreamItem::Problem(problem) => return Err(stream_error(&problem.code)),
        }
    }
    Err(stream_error(&"a stream closed before its end event"))
}

async fn read_engine_stream(
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
        .map_err(|error| stream_error(&error))?;
    let mut decoder = protocol::EventDecoder::default();
    let mut arrivals = Vec::new();

    while let Some(chunk) = response.next().await {
        let at = Instant::now();
        let chunk = chunk.map_err(|error| stream_error(&error))?;
        decoder.push(&chunk).map_err(|error| stream_error(&error))?;
        while let Some(event) = decoder.pop().map_err(|error| stream_error(&error))? {
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
    Err(stream_error(&"a stream closed before its end event"))
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

/// Returns the attempt id in the id of a server-sent event, which is a resume token.
fn parse_attempt_id(id: &str) -> Result<ids::AttemptId> {
    let token: kingcupfall_gateway::state::ResumeToken =
        id.parse().map_err(|error| stream_error(&error))?;
    Ok(token.attempt)
}

fn stream_error(reason: &dyn std::fmt::Display) -> LatencyError {
    LatencyError::Stream(reason.to_string().into())
}
