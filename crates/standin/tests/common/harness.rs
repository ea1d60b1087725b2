//! Complete systems, and readers of their streams.

use std::time::Duration;

use kingcupfall_core::ids;
use kingcupfall_core::work;
use kingcupfall_standin::caller;
use kingcupfall_standin::engine;
use kingcupfall_standin::system;

use super::with_timeout;

/// Duration of one step of an engine without streams.
const STEP_TIME: Duration = Duration::from_millis(2);

/// Prompt that crashes an engine.
pub const CRASH_PROMPT: &str = "crash the engine";

/// Returns a fast engine that generates the requested number of tokens.
pub fn engine_config() -> engine::EngineConfig {
    let mut config = engine::EngineConfig::on_loopback(&system::MODEL.parse().unwrap());
    config.profile.step_base = STEP_TIME;
    config.crash_marker = Some(CRASH_PROMPT.into());
    config
}

/// Starts a system with `engines` fast engines.
pub async fn start_system(engines: usize) -> system::LocalSystem {
    let configs = (0..engines).map(|_| engine_config()).collect();
    let config = system::SystemConfig::with_engines(configs);
    system::LocalSystem::start(config).await.unwrap()
}

/// Returns a client of the first gateway.
pub async fn caller_client(system: &system::LocalSystem) -> caller::CallerClient {
    let address = system.gateways[0].caller_address();
    caller::CallerClient::new(address, system::EXAUSTAO_KEY).await
}

/// Returns the call for a streamed report of `tokens` tokens.
pub fn report_call(tokens: u64) -> caller::GenerationCall {
    caller::GenerationCall {
        model: system::MODEL.into(),
        prompt: "kitchen 12, hood 3, duct 7".into(),
        max_tokens: tokens,
        class: "report".into(),
        stream: true,
    }
}

/// Opens a stream, and retries while the gateway has no target yet.
pub async fn open_stream(
    caller: &caller::CallerClient,
    call: &caller::GenerationCall,
) -> caller::CallerStream {
    with_timeout("a stream", async {
        loop {
            match caller.stream(call).await {
                Ok(stream) => return stream,
                Err(caller::CallerError::Problem(problem))
                    if problem.code.as_ref() == "no_target" =>
                {
                    tokio::time::sleep(Duration::from_millis(50)).await;
                }
                Err(error) => panic!("{error}"),
            }
        }
    })
    .await
}

/// Tokens that a caller has read from one stream.
#[derive(Default)]
pub struct StreamReading {
    pub text: String,
    /// Number of tokens read.
    pub count: u64,
    /// Id of the last event with tokens.
    pub last_id: Box<str>,
    /// How the stream ended; `None` while it runs.
    pub end: Option<StreamEnd>,
}

/// How a stream ended.
#[derive(Debug, PartialEq, Eq)]
pub enum StreamEnd {
    /// Ended by an `end` event with this number of tokens.
    Complete(u64),
    Problem(caller::ProblemBody),
    /// The connection closed without an `end` or `problem` event.
    Broken,
}

impl StreamReading {
    /// Reads until a total of `count` tokens were read, or the stream ends.
    pub async fn read_tokens(&mut self, stream: &mut caller::CallerStream, count: u64) {
        while self.count < count && self.end.is_none() {
            self.read_next(stream).await;
        }
    }

    /// Reads until the stream ends.
    pub async fn read_to_end(&mut self, stream: &mut caller::CallerStream) {
        while self.end.is_none() {
            self.read_next(stream).await;
        }
    }

    /// Returns the generation id in the id of the last event with tokens.
    pub fn generation(&self) -> ids::AttemptId {
        self.last_id.split('~').nth(2).unwrap().parse().unwrap()
    }

    /// Asserts that exactly `count` tokens of one generation were read, followed by its end.
    pub fn assert_complete(&self, count: u64) {
        assert_eq!(self.end, Some(StreamEnd::Complete(count)));
        assert_eq!(self.count, count);
        assert_eq!(self.text, super::expected_text(self.generation(), count));
    }

    async fn read_next(&mut self, stream: &mut caller::CallerStream) {
        match with_timeout("an event", stream.next()).await {
            Some(Ok(caller::StreamItem::Tokens { id, data })) => {
                assert_eq!(data.index, self.count, "tokens arrive in order, each once");
                self.count += data.tokens.len() as u64;
                self.text.push_str(&data.tokens.concat());
                self.last_id = id;
            }
            Some(Ok(caller::StreamItem::End(end))) => {
                assert_eq!(end.outcome, work::CallOutcome::Completed);
                self.end = Some(StreamEnd::Complete(end.total));
            }
            Some(Ok(caller::StreamItem::Problem(problem))) => {
                self.end = Some(StreamEnd::Problem(problem));
            }
            Some(Err(_)) | None => self.end = Some(StreamEnd::Broken),
        }
    }
}
