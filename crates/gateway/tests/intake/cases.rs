//! Each kind of request that is taken or refused.

use kingcupfall_core::ids;
use kingcupfall_core::measures;
use kingcupfall_core::work;
use kingcupfall_gateway::intake;
use kingcupfall_gateway::reducer;

use crate::support;

const CALL: ids::CallId = ids::CallId::new(1);

#[yare::parameterized(
    right = { Some("Bearer key-of-exaustao"), true },
    other_case = { Some("bEARER key-of-exaustao"), true },
    wrong_key = { Some("Bearer key-of-nobody"), false },
    hash_in_place_of_key = { Some("Bearer 0000"), false },
    no_scheme = { Some("key-of-exaustao"), false },
    other_scheme = { Some("Basic key-of-exaustao"), false },
    empty_key = { Some("Bearer "), false },
    nothing = { None, false },
)]
fn caller_authenticated(authorization: Option<&str>, is_known: bool) {
    let fixture = support::IntakeFixture::new();
    let head = intake::RequestHead {
        authorization,
        ..intake::RequestHead::default()
    };

    let result = intake::authenticate(fixture.document(), &head);

    match result {
        Ok(caller) => {
            assert!(is_known);
            assert_eq!(caller.organisation.as_str(), "exaustao");
            assert_eq!(caller.weight, measures::Weight::new(3));
        }
        Err(problem) => {
            assert!(!is_known);
            assert_eq!((problem.status, problem.code), (401, "unauthorized"));
        }
    }
}

#[yare::parameterized(
    listed = { r#"{"model":"report","prompt":"x","class":"report"}"#, "report", 5 },
    unlisted = { r#"{"model":"report","prompt":"x","class":"poem"}"#, "poem", 0 },
    unnamed = { r#"{"model":"report","prompt":"x"}"#, "default", 0 },
)]
fn class_gives_priority(body: &str, class: &str, priority: u8) {
    let request = read_generation(body).unwrap();

    assert_eq!(request.tag.class.as_str(), class);
    assert_eq!(request.tag.priority, measures::Priority::new(priority));
}

#[yare::parameterized(
    left_out = { r#"{"model":"report","prompt":"x"}"#, 200 },
    less = { r#"{"model":"report","prompt":"x","max_tokens":5}"#, 5 },
    most = { r#"{"model":"report","prompt":"x","max_tokens":200}"#, 200 },
)]
fn tokens_limited(body: &str, tokens: u64) {
    let request = read_generation(body).unwrap();

    let work::WorkRequest::Generation(generation) = request.work else {
        panic!("not a generation");
    };
    assert_eq!(generation.max_tokens, measures::TokenCount::new(tokens));
}

#[yare::parameterized(
    nothing = { "", 400, "invalid_request" },
    no_prompt = { r#"{"model":"report"}"#, 400, "invalid_request" },
    empty_prompt = { r#"{"model":"report","prompt":""}"#, 400, "invalid_request" },
    zero_tokens = { r#"{"model":"report","prompt":"x","max_tokens":0}"#, 400, "invalid_request" },
    fewer_than_no_tokens = {
        r#"{"model":"report","prompt":"x","max_tokens":-1}"#, 400, "invalid_request"
    },
    bad_class = { r#"{"model":"report","prompt":"x","class":"a b"}"#, 400, "invalid_request" },
    two_values = { r#"{"model":"report","prompt":"x"}{}"#, 400, "invalid_request" },
    unknown_model = { r#"{"model":"poems","prompt":"x"}"#, 404, "unknown_model" },
)]
fn generation_refused(body: &str, status: u16, code: &str) {
    let problem = read_generation(body).unwrap_err();

    assert_eq!((problem.status, problem.code), (status, code));
    assert_eq!(problem.outcome, work::CallOutcome::NotRun);
}

#[test]
fn findings_reported_together() {
    let body = r#"{"model":"Report!","prompt":"","max_tokens":0,"class":"a b"}"#;

    let problem = read_generation(body).unwrap_err();

    let paths: Vec<&str> = problem
        .findings
        .iter()
        .map(|finding| finding.path.as_ref())
        .collect();
    assert_eq!(paths, ["prompt", "class", "model", "max_tokens"]);
}

#[test]
fn fingerprint_same_for_repeated_prompt() {
    let first = read_generation(r#"{"model":"report","prompt":"x"}"#).unwrap();
    let spaced =
        read_generation(r#"{ "prompt": "x", "model": "report", "stream": true }"#).unwrap();
    let other = read_generation(r#"{"model":"report","prompt":"y"}"#).unwrap();

    assert_eq!(first.fingerprint, spaced.fingerprint);
    assert_ne!(first.fingerprint, other.fingerprint);
}

#[yare::parameterized(
    at_prefix = { "lookups", true },
    below_prefix = { "lookups/7", true },
    two_parts = { "crews/free/2", true },
    longer_word = { "lookupsx", false },
    other_path = { "visits", false },
    prefix_inside = { "visits/lookups", false },
)]
fn service_repeatable(path: &str, is_repeatable: bool) {
    let request = read_service("bookings", path, None).unwrap();

    assert_eq!(request.repeatable, is_repeatable);
}

#[yare::parameterized(
    parent = { "lookups/../visits" },
    current = { "lookups/./7" },
    escaped_parent = { "lookups/%2e%2e/visits" },
    empty_segment = { "lookups//7" },
    empty = { "" },
    query = { "lookups?then=visits" },
    backslash = { "lookups\\..\\visits" },
    control = { "lookups\u{7}" },
    long = { &"x".repeat(513) },
)]
fn service_path_refused(path: &str) {
    let problem = read_service("bookings", path, None).unwrap_err();

    assert_eq!((problem.status, problem.code), (400, "invalid_request"));
}

#[yare::parameterized(
    own = { "bookings-1", "exaustao", None },
    target_gone = { "bookings-9", "exaustao", None },
    other_organisation = { "bookings-1", "qurum", Some("invalid_key") },
    other_service = { "records-1", "exaustao", Some("key_mismatch") },
    engine = { "engine-1", "exaustao", Some("key_mismatch") },
)]
fn service_key_read(target: &str, organisation: &str, refused: Option<&str>) {
    let key = support::IntakeFixture::new().key(target, organisation);

    let result = read_service("bookings", "visits", Some(&key));

    match result {
        Ok(request) => {
            assert_eq!(refused, None);
            assert_eq!(request.key.unwrap().target.as_str(), target);
        }
        Err(problem) => assert_eq!(Some(problem.code), refused),
    }
}

#[yare::parameterized(
    text = { "not a key", work::CallOutcome::NotRun },
    forged = {
        "bookings-1~00000000000000000000000000000001~1~00000000000000000000000000000002~\
         00000000000000000000000000000000",
        work::CallOutcome::Unknown
    },
)]
fn service_bad_key_refused(key: &str, outcome: work::CallOutcome) {
    let problem = read_service("bookings", "visits", Some(key)).unwrap_err();

    assert_eq!((problem.code, problem.outcome), ("invalid_key", outcome));
}

#[test]
fn unknown_service_with_key_unknown() {
    let key = support::IntakeFixture::new().key("bookings-1", "exaustao");

    let problem = read_service("kitchens", "visits", Some(&key)).unwrap_err();

    assert_eq!(problem.code, "unknown_service");
    assert_eq!(problem.outcome, work::CallOutcome::Unknown);
}

#[yare::parameterized(
    right = {
        "engine-1~00000000000000000000000000000001~00000000000000000000000000000002~7", true
    },
    highest = {
        "engine-1~00000000000000000000000000000001~00000000000000000000000000000002~\
         18446744073709551615",
        true
    },
    too_high = {
        "engine-1~00000000000000000000000000000001~00000000000000000000000000000002~\
         18446744073709551616",
        false
    },
    no_sequence = { "engine-1~00000000000000000000000000000001", false },
    empty = { "", false },
)]
fn resume_id_read(id: &str, is_right: bool) {
    let fixture = support::IntakeFixture::new();
    let head = intake::RequestHead {
        last_event_id: Some(id),
        ..intake::RequestHead::default()
    };

    let result = intake::read_resume(&fixture.context(), &fixture.caller(), &head, CALL);

    assert_eq!(result.is_ok(), is_right);
    if let Err(problem) = result {
        assert_eq!(problem.outcome, work::CallOutcome::Unknown);
    }
}

fn read_generation(body: &str) -> intake::Result<reducer::CallRequest> {
    let fixture = support::IntakeFixture::new();
    let head = intake::RequestHead::default();
    let caller = fixture.caller();
    intake::read_generation(&fixture.context(), &caller, &head, CALL, body.as_bytes())
}

fn read_service(
    service: &str,
    path: &str,
    key: Option<&str>,
) -> intake::Result<reducer::CallRequest> {
    let fixture = support::IntakeFixture::new();
    let head = intake::RequestHead {
        idempotency_key: key,
        ..intake::RequestHead::default()
    };
    let target = intake::ServicePath { service, path };
    let caller = fixture.caller();
    intake::read_service(&fixture.context(), &caller, &head, CALL, target, b"body")
}
