//! Measures the size and processor time of frames on the links between gateways and agents.

use std::time::Duration;
use std::time::Instant;

use kingcupfall_core::ids;
use kingcupfall_core::load;
use kingcupfall_core::measures;
use kingcupfall_core::time;
use kingcupfall_core::work;
use kingcupfall_link::codec;
use kingcupfall_link::frames;
use serde::Serialize;
use serde::de::DeserializeOwned;

/// Number of times that each frame is encoded and decoded.
const ROUNDS: u32 = 20_000;

/// Tokens in the measured batch: those of one stream from one turn of the agent.
const BATCH_TOKENS: usize = 4;

/// Cached prefixes in the larger of the measured heartbeats.
const CACHED_PREFIXES: u64 = 16;

/// Size and processor time of one kind of frame.
#[derive(Debug, Clone, Serialize)]
pub struct FrameCost {
    /// Name of the frame in the table and the JSON output.
    pub frame: &'static str,
    /// Encoded size in bytes.
    pub bytes: usize,
    /// Mean time to encode it, in microseconds.
    pub encode_us: f64,
    /// Mean time to decode it, in microseconds.
    pub decode_us: f64,
}

/// Measures the usual frames.
pub fn measure() -> Vec<FrameCost> {
    vec![
        measure_frame("tokens, one", &token_batch(1)),
        measure_frame("tokens, batch of 4", &token_batch(BATCH_TOKENS)),
        measure_frame("pulse", &agent_heartbeat(0)),
        measure_frame(
            "pulse with 16 new prefixes",
            &agent_heartbeat(CACHED_PREFIXES),
        ),
        measure_frame("heartbeat", &frames::GatewayFrame::Heartbeat),
        measure_frame("start, prompt of 3,200 bytes", &start_order()),
    ]
}

fn measure_frame<T: Serialize + DeserializeOwned>(frame: &'static str, value: &T) -> FrameCost {
    let bytes = codec::encode(value).expect("a frame within the limit");
    let started_at = Instant::now();
    for _ in 0..ROUNDS {
        std::hint::black_box(codec::encode(value).expect("a frame within the limit"));
    }
    let encode_time = started_at.elapsed();

    let started_at = Instant::now();
    for _ in 0..ROUNDS {
        std::hint::black_box(codec::decode::<T>(&bytes).expect("a frame encoded above"));
    }
    let decode_time = started_at.elapsed();

    FrameCost {
        frame,
        bytes: bytes.len(),
        encode_us: micros_per_round(encode_time),
        decode_us: micros_per_round(decode_time),
    }
}

fn micros_per_round(total: Duration) -> f64 {
    total.as_secs_f64() * 1e6 / f64::from(ROUNDS)
}

fn token_batch(count: usize) -> frames::AgentFrame {
    frames::AgentFrame::Tokens(frames::TokenBatch {
        attempt: ids::AttemptId::from_u128(u128::MAX / 3),
        first: measures::SequenceNumber::new(1_000),
        tokens: vec![" deposit".into(); count],
    })
}

fn agent_heartbeat(prefixes: u64) -> frames::AgentFrame {
    let cached = |number| load::CachedPrefix {
        prefix: work::PrefixHash::new(u64::MAX - number),
        tokens: measures::TokenCount::new(400),
    };
    let load = load::LoadSummary {
        running: 60,
        queued: 20,
        memory_total: measures::TokenCount::new(600_000),
        memory_used: measures::TokenCount::new(500_000),
        ..load::LoadSummary::default()
    };
    frames::AgentFrame::Heartbeat(Box::new(frames::AgentHeartbeat {
        now: time::Timestamp::from_micros(86_400_000_000),
        leaving: false,
        target_up: true,
        load,
        cached: (prefixes > 0).then(|| (0..prefixes).map(cached).collect()),
    }))
}

fn start_order() -> frames::GatewayFrame {
    const PROMPT_BYTES: usize = 3_200;
    let model: ids::ModelName = "report".parse().expect("a valid name");
    let prompt = "a".repeat(PROMPT_BYTES);
    frames::GatewayFrame::Start(Box::new(frames::StartOrder {
        attempt: ids::AttemptId::from_u128(u128::MAX / 3),
        tag: work::CallerTag {
            organisation: "exaustao".parse().expect("a valid name"),
            class: "report".parse().expect("a valid name"),
            priority: measures::Priority::new(2),
            weight: measures::Weight::new(1),
        },
        fingerprint: work::RequestFingerprint::new(u64::MAX / 3),
        request: work::WorkRequest::Generation(work::GenerationRequest {
            prefix: work::PrefixHash::of_prompt(&model, &prompt),
            prompt_tokens: work::estimate_tokens(&prompt),
            model,
            prompt: prompt.into(),
            max_tokens: measures::TokenCount::new(4_000),
        }),
        start_by: time::Timestamp::from_micros(86_400_000_000),
        key: None,
        stream: true,
        suspect: false,
    }))
}
