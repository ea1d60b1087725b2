//! No input whatever makes the intake panic.

use kingcupfall_core::ids;
use kingcupfall_gateway::intake;
use proptest::prelude;
use proptest::prelude::Strategy;
use proptest::test_runner;

use crate::support;

const CALL: ids::CallId = ids::CallId::new(1);

/// Cases of each property.
const CASES: u32 = 2_000;

#[test]
fn random_bodies_never_panic() {
    let fixture = support::IntakeFixture::new();
    let bodies = proptest::collection::vec(prelude::any::<u8>(), 0..2_048);

    run(&bodies, |body| read_all(&fixture, &body, "", ""));
}

#[test]
fn random_json_never_panics() {
    let fixture = support::IntakeFixture::new();

    run(&json_objects(), |body| {
        read_all(&fixture, body.as_bytes(), "", "");
    });
}

#[test]
fn random_headers_and_paths_never_panic() {
    let fixture = support::IntakeFixture::new();
    let texts = ("\\PC{0,64}", "[a-z0-9~.%/-]{0,128}");

    run(&texts, |(first, second)| {
        read_all(&fixture, b"{}", &first, &second);
        read_all(&fixture, b"{}", &second, &first);
    });
}

#[test]
fn changed_keys_never_pass() {
    let fixture = support::IntakeFixture::new();
    let key = fixture.key("bookings-1", "exaustao");
    let changes = (0..key.len(), "[0-9a-f~]");

    run(&changes, |(place, character)| {
        let mut changed = key.to_string();
        changed.replace_range(place..=place, &character);
        let head = intake::RequestHead {
            idempotency_key: Some(&changed),
            ..intake::RequestHead::default()
        };
        let target = intake::ServicePath {
            service: "bookings",
            path: "visits",
        };
        let caller = fixture.caller();
        let result =
            intake::read_service(&fixture.context(), &caller, &head, CALL, target, b"body");
        assert_eq!(result.is_ok(), changed == *key);
    });
}

/// Reads `body` at every endpoint, with the texts in each header and path.
fn read_all(fixture: &support::IntakeFixture, body: &[u8], first: &str, second: &str) {
    let context = fixture.context();
    let caller = fixture.caller();
    let head = intake::RequestHead {
        authorization: Some(first),
        idempotency_key: Some(second).filter(|text| !text.is_empty()),
        last_event_id: Some(first).filter(|text| !text.is_empty()),
        content_type: Some(second),
    };
    let target = intake::ServicePath {
        service: first,
        path: second,
    };

    let _ = intake::authenticate(fixture.document(), &head);
    let _ = intake::read_generation(&context, &caller, &head, CALL, body);
    let _ = intake::read_service(&context, &caller, &head, CALL, target, body);
    let _ = intake::read_key_request(&context, &caller, &head, CALL, body);
    let _ = intake::read_resume(&context, &caller, &head, CALL);
}

/// Bodies that are nearly right.
fn json_objects() -> impl Strategy<Value = String> {
    let name = prelude::prop_oneof![
        "\"(model|prompt|max_tokens|class|stream|service)\"",
        "\"[a-z]{0,8}\"",
    ];
    let value = prelude::prop_oneof![
        "\"\\PC{0,16}\"",
        "-?[0-9]{1,20}(\\.[0-9]{1,4})?(e[0-9]{1,4})?",
        prelude::Just(String::from("\"report\"")),
        prelude::Just(String::from("null")),
        prelude::Just(String::from("true")),
        prelude::Just(String::from("[{}]")),
    ];
    let fields = proptest::collection::vec((name, value), 0..8);

    fields.prop_map(|fields| {
        let fields: Vec<String> = fields
            .iter()
            .map(|(name, value)| format!("{name}:{value}"))
            .collect();
        format!("{{{}}}", fields.join(","))
    })
}

/// Runs a property with a fixed seed.
fn run<S: Strategy>(strategy: &S, property: impl Fn(S::Value)) {
    let config = test_runner::Config {
        cases: CASES,
        failure_persistence: None,
        ..test_runner::Config::default()
    };
    let generator = test_runner::TestRng::deterministic_rng(test_runner::RngAlgorithm::ChaCha);
    let mut runner = test_runner::TestRunner::new_with_rng(config, generator);

    let result = runner.run(strategy, |value| {
        property(value);
        Ok(())
    });
    result.unwrap_or_else(|error| panic!("{error}"));
}
