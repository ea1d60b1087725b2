//! Selection of one request's records from log files.

use kingcupfall_ctl::trace;

const FIRST_LOG: &str = r#"prefix {"t":2.5,"node":"vm-1","event":"ended","request":"9c41","target":"i-1"}
{"t":1.5,"node":"vm-1","event":"placed","request":"9c41","target":"i-1","copy":"i-2"}
{"t":1.6,"node":"vm-1","event":"placed","request":"ffff","target":"i-1"}
{"t":2.0,"node":"vm-1","event":"target_leaving","target":"i-2"}
{"t":2.1,"node":"vm-1","event":"target_leaving","target":"i-3"}
no record at all
"#;

const SECOND_LOG: &str = r#"{"t":0.5,"node":"vm-2","event":"target_leaving","target":"i-1"}
"#;

#[test]
fn trace_request_shows_request_and_its_targets_by_time() {
    let traced = trace::trace_request("9c41", &[FIRST_LOG.to_owned(), SECOND_LOG.to_owned()]);
    let events: Vec<_> = traced
        .lines()
        .map(|line| {
            let record: serde_json::Value = serde_json::from_str(line).unwrap();
            record["event"].as_str().unwrap().to_owned()
        })
        .collect();
    assert_eq!(events, ["placed", "target_leaving", "ended"]);
}

#[test]
fn trace_request_unknown_id_shows_nothing() {
    assert_eq!(trace::trace_request("0000", &[FIRST_LOG.to_owned()]), "");
}
