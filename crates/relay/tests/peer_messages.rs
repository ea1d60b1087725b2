//! Messages between relays of different versions.

use kingcupfall_link::codec;
use kingcupfall_relay::directory;
use kingcupfall_relay::dispatch;
use kingcupfall_relay::membership;
use kingcupfall_relay::shell;

fn heartbeat() -> serde_json::Value {
    let heartbeat = shell::PeerHeartbeat {
        vm: "vm-1".parse().unwrap(),
        address: "10.0.0.1:9463".parse().unwrap(),
        members: Vec::new(),
        known: membership::KnownVersions {
            routes: directory::RouteTableVersion::default(),
            directory: directory::DirectoryRevision::new(1),
        },
        loads: Vec::new(),
        departures: Vec::new(),
        refused_requests: Vec::new(),
        budget_usages: Vec::new(),
        suspects: Vec::new(),
        prompt_crashes: Vec::new(),
        limits: Vec::new(),
        evacuations: Vec::new(),
        speeds: vec![dispatch::SpeedReport {
            target: directory::TargetKey {
                name: "engine-1".parse().unwrap(),
                started_ms: 1,
            },
            factor_thousandths: 550,
            samples: 12,
        }],
    };
    serde_json::to_value(heartbeat).unwrap()
}

/// A relay of an earlier version reports no crashes that may be due to prompts, and no limits,
/// evacuations or speeds. Without evacuations, a heartbeat does not have their field either.
#[test]
fn heartbeat_of_an_older_relay_decodes() {
    let mut encoded = heartbeat();
    let fields = encoded.as_object_mut().unwrap();
    assert!(!fields.contains_key("e"));
    fields.remove("x").unwrap();
    fields.remove("i").unwrap();
    fields.remove("f").unwrap();
    let decoded: shell::PeerHeartbeat = serde_json::from_value(encoded).unwrap();
    assert!(decoded.prompt_crashes.is_empty());
    assert!(decoded.limits.is_empty());
    assert!(decoded.evacuations.is_empty());
    assert!(decoded.speeds.is_empty());
}

/// Guards against a relay of an earlier version that rejects all heartbeats because of the speeds:
/// its heartbeat has the fields up to the limits.
#[test]
fn heartbeat_with_speeds_decodes_at_an_older_relay() {
    #[derive(serde::Deserialize)]
    struct OlderHeartbeat {
        #[serde(rename = "v")]
        vm: Box<str>,
        #[serde(rename = "i", default)]
        limits: Vec<dispatch::TargetLimit>,
    }
    let bytes = codec::encode(&heartbeat()).unwrap();
    let decoded: OlderHeartbeat = codec::decode(&bytes).unwrap();
    assert_eq!(&*decoded.vm, "vm-1");
    assert!(decoded.limits.is_empty());
}

#[test]
fn heartbeat_of_a_newer_relay_decodes() {
    let mut encoded = heartbeat();
    encoded["unknown"] = serde_json::json!([1]);
    let decoded = serde_json::from_value::<shell::PeerHeartbeat>(encoded);
    assert!(decoded.is_ok());
}

/// A relay of the previous version does not say whether the directory has confirmed a delta.
#[test]
fn targets_of_an_older_relay_decode_as_unconfirmed() {
    let delta = directory::TargetDelta {
        since: None,
        revision: directory::DirectoryRevision::new(1),
        written: Vec::new(),
        removed: Vec::new(),
        is_confirmed: true,
    };
    let mut encoded = serde_json::to_value(delta).unwrap();
    encoded.as_object_mut().unwrap().remove("f").unwrap();
    let decoded: directory::TargetDelta = serde_json::from_value(encoded).unwrap();
    assert!(!decoded.is_confirmed);
}
