//! Accepted and refused requests of each kind, case by case.

use kingcupfall_core::ids;
use kingcupfall_core::measures;
use kingcupfall_core::work;
use kingcupfall_gateway::intake;
use kingcupfall_gateway::reducer;

use crate::support;

const CALL: ids::CallId = ids::CallId::new(1);

#[yare::parameterized(
    listed_key = { Some("Bearer key-of-exaustao"), true },
    scheme_in_other_case = { Some("bEARER key-of-exaustao"), true },
    unlisted_key = { Some("Bearer key-of-nobody"), false },
    hex_digits_instead_of_key = { Some("Bearer 0000"), false },
    no_scheme = { Some("key-of-exaustao"), false },
    other_scheme = { Some("Basic key-of-exaustao"), false },
    empty_key = { Some("Bearer "), false },
    no_header = { None, false },
)]
fn authenticate_accepts_only_listed_keys(authorization: Option<&str>, is_listed: bool) {
    let fixture = support::IntakeFixture::new();
    let head = intake::RequestHead {
        authorization,
        ..intake::RequestHead::default()
    };

    let result = intake::authenticate(fixture.document(), &head);

    match result {
        Ok(caller) => {
            assert!(is_listed);
            assert_eq!(caller.organisation.as_str(), "exaustao");
            assert_eq!(caller.weight, measures::Weight::new(3));
        }
        Err(problem) => {
            assert!(!is_listed);
            assert_eq!((problem.status, problem.code), (401, "unauthorized"));
        }
    }
}

#[yare::parameterized(
    class_in_document = { r#"{"model":"report","prompt":"x","class":"report"}"#, "report", 5 },
    class_not_in_document = { r#"{"model":"report","prompt":"x","class":"poem"}"#, "poem", 0 },
    no_class = { r#"{"model":"report","prompt":"x"}"#, "default", 0 },
)]
fn generation_has_priority_of_its_class(body: &str, class: &str, priority: u8) {
    let request = parse_generation(body).unwrap();

    assert_eq!(request.tag.class.as_str(), class);
    assert_eq!(request.tag.priority, measures::Priority::new(priority));
}

#[yare::parameterized(
    omitted = { r#"{"model":"report","prompt":"x"}"#, 200 },
    below_limit = { r#"{"model":"report","prompt":"x","max_tokens":5}"#, 5 },
    at_limit = { r#"{"model":"report","prompt":"x","max_tokens":200}"#, 200 },
)]
fn max_tokens_as_requested_or_model_limit(body: &str, max_tokens: u64) {
    let request = parse_generation(body).unwrap();

    let work::WorkRequest::Generation(generation) = request.work else {
        panic!("not a generation");
    };
    assert_eq!(generation.max_tokens, measures::TokenCount::new(max_tokens));
}

#[yare::parameterized(
    empty_body = { "", 400, "invalid_request" },
    missing_prompt = { r#"{"model":"report"}"#, 400, "invalid_request" },
    empty_prompt = { r#"{"model":"report","prompt":""}"#, 400, "invalid_request" },
    zero_tokens = { r#"{"model":"report","prompt":"x","max_tokens":0}"#, 400, "invalid_request" },
    negative_tokens = {
        r#"{"model":"report","prompt":"x","max_tokens":-1}"#, 400, "invalid_request"
    },
    invalid_class = { r#"{"model":"report","prompt":"x","class":"a b"}"#, 400, "invalid_request" },
    second_json_value = { r#"{"model":"report","prompt":"x"}{}"#, 400, "invalid_request" },
    unknown_model = { r#"{"model":"poems","prompt":"x"}"#, 404, "unknown_model" },
)]
fn invalid_generation_refused(body: &str, status: u16, code: &str) {
    let problem = parse_generation(body).unwrap_err();

    assert_eq!((problem.status, problem.code), (status, code));
    assert_eq!(problem.outcome, work::CallOutcome::NotRun);
}

#[test]
fn generation_errors_reported_together() {
    let body = r#"{"model":"Report!","prompt":"","max_tokens":0,"class":"a b"}"#;

    let problem = parse_generation(body).unwrap_err();

    let paths: Vec<&str> = problem
        .findings
        .iter()
        .map(|finding| finding.path.as_ref())
        .collect();
    assert_eq!(paths, ["prompt", "class", "model", "max_tokens"]);
}

#[test]
fn fingerprint_depends_on_prompt_not_on_json_layout() {
    let first = parse_generation(r#"{"model":"report","prompt":"x"}"#).unwrap();
    let reformatted =
        parse_generation(r#"{ "prompt": "x", "model": "report", "stream": true }"#).unwrap();
    let other = parse_generation(r#"{"model":"report","prompt":"y"}"#).unwrap();

    assert_eq!(first.fingerprint, reformatted.fingerprint);
    assert_ne!(first.fingerprint, other.fingerprint);
}

#[yare::parameterized(
    listed_path = { "lookups", true },
    below_listed_path = { "lookups/7", true },
    below_two_segment_path = { "crews/free/2", true },
    longer_segment = { "lookupsx", false },
    unlisted_path = { "visits", false },
    listed_path_not_at_start = { "visits/lookups", false },
)]
fn service_call_repeatable_at_and_below_listed_paths(path: &str, is_repeatable: bool) {
    let request = parse_service_call("bookings", path, None).unwrap();

    assert_eq!(request.repeatable, is_repeatable);
}

#[yare::parameterized(
    parent_segment = { "lookups/../visits" },
    current_segment = { "lookups/./7" },
    escaped_parent_segment = { "lookups/%2e%2e/visits" },
    empty_segment = { "lookups//7" },
    empty_path = { "" },
    query = { "lookups?then=visits" },
    backslash = { "lookups\\..\\visits" },
    control_character = { "lookups\u{7}" },
    one_byte_too_long = { &"x".repeat(513) },
)]
fn invalid_service_path_refused(path: &str) {
    let problem = parse_service_call("bookings", path, None).unwrap_err();

    assert_eq!((problem.status, problem.code), (400, "invalid_request"));
}

#[yare::parameterized(
    own_organisation_and_service = { "bookings-1", "exaustao", None },
    target_not_in_document = { "bookings-9", "exaustao", None },
    other_organisation = { "bookings-1", "qurum", Some("invalid_key") },
    other_service = { "records-1", "exaustao", Some("key_mismatch") },
    engine_instead_of_service = { "engine-1", "exaustao", Some("key_mismatch") },
)]
fn service_key_accepted_for_own_organisation_and_service(
    target: &str,
    organisation: &str,
    refusal_code: Option<&str>,
) {
    let key = support::IntakeFixture::new().signed_key(target, organisation);

    let result = parse_service_call("bookings", "visits", Some(&key));

    match result {
        Ok(request) => {
            assert_eq!(refusal_code, None);
            assert_eq!(request.key.unwrap().target.as_str(), target);
        }
        Err(problem) => assert_eq!(Some(problem.code), refusal_code),
    }
}

#[yare::parameterized(
    malformed = { "not a key", work::CallOutcome::NotRun },
    forged = {
        "bookings-1~00000000000000000000000000000001~1~00000000000000000000000000000002~\
         00000000000000000000000000000000",
        work::CallOutcome::Unknown
    },
)]
fn malformed_or_forged_key_refused(key: &str, outcome: work::CallOutcome) {
    let problem = parse_service_call("bookings", "visits", Some(key)).unwrap_err();

    assert_eq!((problem.code, problem.outcome), ("invalid_key", outcome));
}

#[test]
fn unknown_service_with_key_has_unknown_outcome() {
    let key = support::IntakeFixture::new().signed_key("bookings-1", "exaustao");

    let problem = parse_service_call("kitchens", "visits", Some(&key)).unwrap_err();

    assert_eq!(problem.code, "unknown_service");
    assert_eq!(problem.outcome, work::CallOutcome::Unknown);
}

#[yare::parameterized(
    valid = {
        "engine-1~00000000000000000000000000000001~00000000000000000000000000000002~7", true
    },
    highest_sequence = {
        "engine-1~00000000000000000000000000000001~00000000000000000000000000000002~\
         18446744073709551615",
        true
    },
    sequence_overflow = {
        "engine-1~00000000000000000000000000000001~00000000000000000000000000000002~\
         18446744073709551616",
        false
    },
    no_sequence = { "engine-1~00000000000000000000000000000001", false },
    empty = { "", false },
)]
fn resume_accepts_only_valid_event_ids(event_id: &str, is_valid: bool) {
    let fixture = support::IntakeFixture::new();
    let head = intake::RequestHead {
        last_event_id: Some(event_id),
        ..intake::RequestHead::default()
    };

    let result = intake::parse_resume(&fixture.context(), &fixture.caller(), &head, CALL);

    assert_eq!(result.is_ok(), is_valid);
    if let Err(problem) = result {
        assert_eq!(problem.outcome, work::CallOutcome::Unknown);
    }
}

fn parse_generation(body: &str) -> intake::Result<reducer::CallRequest> {
    let fixture = support::IntakeFixture::new();
    let head = intake::RequestHead::default();
    let caller = fixture.caller();
    intake::parse_generation(&fixture.context(), &caller, &head, CALL, body.as_bytes())
}

fn parse_service_call(
    service: &str,
    path: &str,
    key: Option<&str>,
) -> intake::Result<reducer::CallRequest> {
    let fixture = support::IntakeFixture::new();
    let head = intake::RequestHead {
        idempotency_key: key,
        ..intake::RequestHead::default()
    };
    let service_path = intake::ServicePath { service, path };
    let caller = fixture.caller();
    intake::parse_service_call(
        &fixture.context(),
        &caller,
        &head,
        CALL,
        service_path,
        b"body",
    )
}
