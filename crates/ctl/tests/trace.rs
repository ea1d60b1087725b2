//! One request's records out of log files.

use kingcupfall_ctl::trace;

const FIRST: &str = r#"prefix {"t":2.5,"node":"vm-1","event":"ended","request":"9c41","target":"i-1"}
{"t":1.5,"node":"vm-1","event":"placed","request":"9c41","target":"i-1","copy":"i-2"}
{"t":1.6,"node":"vm-1","event":"placed","request":"ffff","target":"i-1"}
{"t":2.0,"node":"vm-1","event":"target_leaving","target":"i-2"}
{"t":2.1,"node":"vm-1","event":"target_leaving","target":"i-3"}
no record at all
"#;

const SECOND: &str = r#"{"t":0.5,"node":"vm-2","event":"target_leaving","target":"i-1"}
"#;

#[test]
fn trace_shows_the_request_and_its_targets_in_order() {
    let shown = trace::trace("9c41", &[FIRST.to_owned(), SECOND.to_owned()]);
    let events: Vec<_> = shown
        .lines()
        .map(|line| {
            let record: serde_json::Value = serde_json::from_str(line).unwrap();
            record["event"].as_str().unwrap().to_owned()
        })
        .collect();
    assert_eq!(events, ["placed", "target_leaving", "ended"]);
}

#[test]
fn trace_unknown_request_shows_nothing() {
    assert_eq!(trace::trace("0000", &[FIRST.to_owned()]), "");
}
