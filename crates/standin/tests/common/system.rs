//! Whole systems, and what callers read from them.

use std::time::Duration;

use kingcupfall_core::ids;
use kingcupfall_core::work;
use kingcupfall_standin::caller;
use kingcupfall_standin::engine;
use kingcupfall_standin::system;

use super::within;

/// Time of one step of the tests' engines.
const STEP: Duration = Duration::from_millis(2);

/// Prompt that kills an engine.
pub const FATAL_PROMPT: &str = "crash the engine";

/// Returns a quick engine that generates as many tokens as are asked for.
pub fn engine_config() -> engine::EngineConfig {
    let mut config = engine::EngineConfig::on_loopback(&system::MODEL.parse().unwrap());
    config.profile.step_base = STEP;
    config.crash_marker = Some(FATAL_PROMPT.into());
    config
}

/// Starts a system with `engines` quick engines.
pub async fn start(engines: usize) -> system::LocalSystem {
    let configs = (0..engines).map(|_| engine_config()).collect();
    let config = system::SystemConfig::with_engines(configs);
    system::LocalSystem::start(config).await.unwrap()
}

/// Returns a caller of the first gateway.
pub async fn caller(system: &system::LocalSystem) -> caller::CallerClient {
    let address = system.gateways[0].caller_address();
    caller::CallerClient::new(address, system::EXAUSTAO_KEY).await
}

/// Asks for a streamed report of `tokens` tokens.
pub fn report(tokens: u64) -> caller::GenerationCall {
    caller::GenerationCall {
        model: system::MODEL.into(),
        prompt: "kitchen 12, hood 3, duct 7".into(),
        max_tokens: tokens,
        class: "report".into(),
        stream: true,
    }
}

/// Streams, and asks again while no target is known yet.
pub async fn open_stream(
    caller: &caller::CallerClient,
    call: &caller::GenerationCall,
) -> caller::CallerStream {
    within("a stream", async {
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

/// What a caller has read of one stream.
#[derive(Default)]
pub struct StreamReading {
    pub text: String,
    /// Tokens read.
    pub count: u64,
    /// Id of the last event with tokens.
    pub last_id: Box<str>,
    /// How it ended; `None` while it goes on.
    pub end: Option<StreamEnd>,
}

/// How a stream ended.
#[derive(Debug, PartialEq, Eq)]
pub enum StreamEnd {
    Complete(u64),
    Problem(caller::ProblemBody),
    Broken,
}

impl StreamReading {
    /// Reads on until `count` tokens were read, or the stream ends.
    pub async fn read(&mut self, stream: &mut caller::CallerStream, count: u64) {
        while self.count < count && self.end.is_none() {
            self.take_next(stream).await;
        }
    }

    /// Reads on to the end.
    pub async fn read_to_end(&mut self, stream: &mut caller::CallerStream) {
        while self.end.is_none() {
            self.take_next(stream).await;
        }
    }

    /// Returns the generation of the last event.
    pub fn generation(&self) -> ids::AttemptId {
        self.last_id.split('~').nth(2).unwrap().parse().unwrap()
    }

    /// Checks that exactly `count` tokens of one generation were read, and its end.
    pub fn assert_complete(&self, count: u64) {
        assert_eq!(self.end, Some(StreamEnd::Complete(count)));
        assert_eq!(self.count, count);
        assert_eq!(self.text, super::expected_text(self.generation(), count));
    }

    async fn take_next(&mut self, stream: &mut caller::CallerStream) {
        match within("an event", stream.next()).await {
            Some(Ok(caller::StreamItem::Tokens { id, data })) => {
                assert_eq!(data.index, self.count, "tokens come in order, each once");
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
