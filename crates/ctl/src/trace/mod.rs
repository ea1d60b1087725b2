//! Selection of one request's records from the log files of relays.

use std::collections::BTreeSet;

use serde::Deserialize;

/// Events that report a change of a target; they are shown for the targets that the request used.
const TARGET_EVENTS: [&str; 3] = ["target_seen", "target_leaving", "target_gone"];

/// Fields of a log record that decide whether it is selected, and its order.
#[derive(Debug, Deserialize)]
struct TracedRecord {
    #[serde(rename = "t")]
    at_s: f64,
    #[serde(default)]
    node: Box<str>,
    event: Box<str>,
    request: Option<Box<str>>,
    target: Option<Box<str>>,
    copy: Option<Box<str>>,
}

/// A record, and the part of the line that it was parsed from.
struct TracedLine<'a> {
    record: TracedRecord,
    line: &'a str,
}

/// Returns the records of `request` in the log files `texts`, together with the changes of the
/// targets it used as recorded by the same processes. The lines are grouped by process and
/// ordered by time within each.
///
/// Lines without a record are skipped. Text before a record is removed, because log collectors
/// often add a prefix.
pub fn trace_request(request: &str, texts: &[String]) -> String {
    let lines: Vec<_> = texts.iter().flat_map(|text| parse_lines(text)).collect();
    let request_lines: Vec<_> = lines
        .iter()
        .filter(|line| line.record.request.as_deref() == Some(request))
        .collect();
    let nodes: BTreeSet<_> = request_lines.iter().map(|line| &line.record.node).collect();
    let targets: BTreeSet<_> = request_lines
        .iter()
        .flat_map(|line| [&line.record.target, &line.record.copy])
        .flatten()
        .collect();

    let mut selected: Vec<_> = lines
        .iter()
        .filter(|line| {
            let is_of_request = line.record.request.as_deref() == Some(request);
            let is_target_event = TARGET_EVENTS.contains(&&*line.record.event)
                && nodes.contains(&line.record.node)
                && line
                    .record
                    .target
                    .as_ref()
                    .is_some_and(|target| targets.contains(target));
            is_of_request || is_target_event
        })
        .collect();
    selected.sort_by(|first, second| {
        let node_order = first.record.node.cmp(&second.record.node);
        node_order.then(first.record.at_s.total_cmp(&second.record.at_s))
    });
    selected
        .iter()
        .map(|line| format!("{}\n", line.line))
        .collect()
}

fn parse_lines(text: &str) -> impl Iterator<Item = TracedLine<'_>> {
    text.lines().filter_map(|line| {
        let line = &line[line.find('{')?..];
        let record = serde_json::from_str(line).ok()?;
        Some(TracedLine { record, line })
    })
}
