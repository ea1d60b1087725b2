//! Dispatchers, demands and event helpers for the tests.

use std::rc::Rc;
use std::time::Duration;

use kingcupfall_core::ids;
use kingcupfall_core::measures;
use kingcupfall_core::time;
use kingcupfall_core::work;
use kingcupfall_policy::quarantine;
use kingcupfall_relay::directory;
use kingcupfall_relay::dispatch;
use kingcupfall_relay::membership;

/// Time at which the tests begin.
pub const START: time::Timestamp = time::Timestamp::from_micros(60_000_000);

/// Memory of an engine; holds six prompts of 3,000 tokens including their growth.
pub const MEMORY_TOKENS: u64 = 21_000;

/// Creates the dispatcher of a relay that knows these engines and no peers.
pub fn dispatcher(engines: &[&str]) -> dispatch::Dispatcher {
    dispatcher_for("relay", engines)
}

/// Creates the dispatcher of the relay with this name, which knows these engines and no peers.
pub fn dispatcher_for(relay: &str, engines: &[&str]) -> dispatch::Dispatcher {
    let mut dispatcher = dispatch::Dispatcher::new(dispatch::DispatchSettings {
        vm: relay.parse().unwrap(),
        zone: "a".parse().unwrap(),
        position: membership::CellPosition::of(&relay),
        quarantine: Box::new(quarantine::SuspectQuarantine::default()),
        prompt_parts: Box::new(quarantine::CrashCorrelation::default()),
    });
    let changes = engines
        .iter()
        .map(|name| directory::TargetChange::Usable(Rc::new(engine_record(name))));
    dispatcher.handle(
        START,
        dispatch::DispatchEvent::TargetsChanged(changes.collect()),
    );
    dispatcher
}

/// Returns the record of an engine.
pub fn engine_record(name: &str) -> directory::TargetRecord {
    directory::TargetRecord {
        key: directory::TargetKey {
            name: name.parse().unwrap(),
            started_ms: 1,
        },
        service: "report".parse().unwrap(),
        address: "127.0.0.1:9".parse().unwrap(),
        zone: "a".parse().unwrap(),
        slots: 24,
        state: directory::TargetState::Ready,
        revision: directory::DirectoryRevision::new(1),
        cold_for: Duration::ZERO,
    }
}

/// Returns the requirements of a stream with a long prompt.
pub fn stream_demand(output_tokens: u64) -> dispatch::CallDemand {
    stream_demand_with_memory(output_tokens, MEMORY_TOKENS)
}

/// Returns the requirements of a stream with a long prompt at engines with this much memory.
pub fn stream_demand_with_memory(output_tokens: u64, memory_tokens: u64) -> dispatch::CallDemand {
    dispatch::CallDemand {
        service: "report".parse().unwrap(),
        rank: 0,
        prompt_tokens: 3_000,
        output_tokens,
        engine: Some(Rc::new(directory::EngineCapabilities {
            memory: measures::TokenCount::new(memory_tokens),
            event_tokens: 4,
            can_migrate: true,
            can_copy: true,
        })),
        arrived_at: START,
        first_requested_at: START,
        target_latency: Duration::from_millis(1_800),
        deadline: START + Duration::from_secs(39),
        fingerprint: work::RequestFingerprint::new(7),
        prompt_parts: Rc::new([]),
        target_gap: None,
        allowed_zones: None,
        tried: Vec::new(),
    }
}

/// Returns the requirements of a call to a plain service.
pub fn plain_demand() -> dispatch::CallDemand {
    dispatch::CallDemand {
        prompt_tokens: 0,
        output_tokens: 0,
        engine: None,
        target_latency: Duration::from_millis(300),
        deadline: START + Duration::from_millis(800),
        ..stream_demand(0)
    }
}

/// Sends the arrival of a call to the dispatcher.
pub fn arrive(
    dispatcher: &mut dispatch::Dispatcher,
    call: u64,
    demand: dispatch::CallDemand,
) -> Vec<dispatch::DispatchEffect> {
    let arrival = dispatch::DispatchEvent::Arrived {
        call: ids::CallId::new(call),
        demand: Box::new(demand),
    };
    dispatcher.handle(START, arrival)
}

/// Returns the target of the first placement among the effects.
pub fn placed_target(effects: &[dispatch::DispatchEffect]) -> Option<String> {
    effects.iter().find_map(|effect| match effect {
        dispatch::DispatchEffect::Place { placement, .. } => {
            Some(placement.target.key.name.to_string())
        }
        _ => None,
    })
}

/// Returns the first refusal among the effects.
pub fn refusal(effects: &[dispatch::DispatchEffect]) -> Option<dispatch::CallRefusal> {
    effects.iter().find_map(|effect| match effect {
        dispatch::DispatchEffect::Refuse { refusal, .. } => Some(*refusal),
        _ => None,
    })
}

/// Sends the departure notice of a target to the dispatcher.
pub fn announce_departure(
    dispatcher: &mut dispatch::Dispatcher,
    name: &str,
) -> Vec<dispatch::DispatchEffect> {
    let change = directory::TargetChange::Leaving(engine_record(name).key);
    dispatcher.handle(START, dispatch::DispatchEvent::TargetsChanged(vec![change]))
}
