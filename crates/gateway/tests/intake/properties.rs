//! Properties of request parsing under generated input: it never panics, and never accepts an
//! altered idempotency key.

use kingcupfall_core::ids;
use kingcupfall_gateway::intake;
use proptest::prelude;
use proptest::prelude::Strategy;
use proptest::test_runner;

use crate::support;

const CALL: ids::CallId = ids::CallId::new(1);

/// Generated cases per property.
const CASES: u32 = 2_000;

#[test]
fn random_bodies_never_panic() {
    let fixture = support::IntakeFixture::new();
    let bodies = proptest::collection::vec(prelude::any::<u8>(), 0..2_048);

    check_property(&bodies, |body| {
        parse_as_all_requests(&fixture, &body, "", "")
    });
}

#[test]
fn random_json_never_panics() {
    let fixture = support::IntakeFixture::new();

    check_property(&json_objects(), |body| {
        parse_as_all_requests(&fixture, body.as_bytes(), "", "");
    });
}

#[test]
fn random_headers_and_paths_never_panic() {
    let fixture = support::IntakeFixture::new();
    let texts = ("\\PC{0,64}", "[a-z0-9~.%/-]{0,128}");

    check_property(&texts, |(first, second)| {
        parse_as_all_requests(&fixture, b"{}", &first, &second);
        parse_as_all_requests(&fixture, b"{}", &second, &first);
    });
}

#[test]
fn altered_keys_refused() {
    let fixture = support::IntakeFixture::new();
    let key = fixture.signed_key("bookings-1", "exaustao");
    let alterations = (0..key.len(), "[0-9a-f~]");

    check_property(&alterations, |(position, character)| {
        let mut altered = key.to_string();
        altered.replace_range(position..=position, &character);
        let head = intake::RequestHead {
            idempotency_key: Some(&altered),
            ..intake::RequestHead::default()
        };
        let service_path = intake::ServicePath {
            service: "bookings",
            path: "visits",
        };
        let caller = fixture.caller();
        let result = intake::parse_service_call(
            &fixture.context(),
            &caller,
            &head,
            CALL,
            service_path,
            b"body",
        );
        assert_eq!(result.is_ok(), altered == *key);
    });
}

/// Parses `body` as a request to every endpoint, with `first` and `second` spread over the headers
/// and the path.
fn parse_as_all_requests(fixture: &support::IntakeFixture, body: &[u8], first: &str, second: &str) {
    let context = fixture.context();
    let caller = fixture.caller();
    let head = intake::RequestHead {
        authorization: Some(first),
        idempotency_key: Some(second).filter(|text| !text.is_empty()),
        last_event_id: Some(first).filter(|text| !text.is_empty()),
        content_type: Some(second),
    };
    let service_path = intake::ServicePath {
        service: first,
        path: second,
    };

    let _ = intake::authenticate(fixture.document(), &head);
    let _ = intake::parse_generation(&context, &caller, &head, CALL, body);
    let _ = intake::parse_service_call(&context, &caller, &head, CALL, service_path, body);
    let _ = intake::parse_key_request(&context, &caller, &head, CALL, body);
    let _ = intake::parse_resume(&context, &caller, &head, CALL);
}

/// Generates JSON objects that often have the fields of a request, with valid and invalid values.
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

/// Checks a property with a fixed seed, so that failures are reproducible.
fn check_property<S: Strategy>(strategy: &S, property: impl Fn(S::Value)) {
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
