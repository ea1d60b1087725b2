//! One request's records out of the log files of relays.

use std::collections::BTreeSet;

use serde::Deserialize;

/// Events that say what became of a target; they are shown for the targets that a request used.
const TARGET_EVENTS: [&str; 3] = ["target_seen", "target_leaving", "target_gone"];

/// The fields of a record by which it is chosen.
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

/// A record with the line that it was read from.
struct TracedLine<'a> {
    record: TracedRecord,
    line: &'a str,
}

/// Returns the records of `request` from the texts of log files, and what its process learnt of
/// the targets that it used; those of one process in the order of their times.
///
/// Lines that are no record, or that have something before the record, are skipped or cut there:
/// what collects logs often adds a prefix.
pub fn trace(request: &str, texts: &[String]) -> String {
    let lines: Vec<_> = texts.iter().flat_map(|text| read(text)).collect();
    let own: Vec<_> = lines
        .iter()
        .filter(|line| line.record.request.as_deref() == Some(request))
        .collect();
    let nodes: BTreeSet<_> = own.iter().map(|line| &line.record.node).collect();
    let targets: BTreeSet<_> = own
        .iter()
        .flat_map(|line| [&line.record.target, &line.record.copy])
        .flatten()
        .collect();

    let mut chosen: Vec<_> = lines
        .iter()
        .filter(|line| {
            let is_own = line.record.request.as_deref() == Some(request);
            let is_target = TARGET_EVENTS.contains(&&*line.record.event)
                && nodes.contains(&line.record.node)
                && line
                    .record
                    .target
                    .as_ref()
                    .is_some_and(|target| targets.contains(target));
            is_own || is_target
        })
        .collect();
    chosen.sort_by(|first, second| {
        let nodes = first.record.node.cmp(&second.record.node);
        nodes.then(first.record.at_s.total_cmp(&second.record.at_s))
    });
    chosen
        .iter()
        .map(|line| format!("{}\n", line.line))
        .collect()
}

fn read(text: &str) -> impl Iterator<Item = TracedLine<'_>> {
    text.lines().filter_map(|line| {
        let line = &line[line.find('{')?..];
        let record = serde_json::from_str(line).ok()?;
        Some(TracedLine { record, line })
    })
}
