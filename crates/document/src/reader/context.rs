//! What one reading collects: findings and places.

use std::collections::BTreeSet;

use kingcupfall_core::findings;
use toml::de;

use super::PlaceMap;
use super::ReadOutcome;
use super::SourceText;
use super::TEXT_PATH;
use super::ValueReference;
use super::ties::ValueTies;

/// Most findings that one reading keeps; the rest is only counted.
const FINDING_LIMIT: usize = 1_000;

/// Findings and places of one reading.
#[derive(Debug)]
pub struct ReadContext<'source> {
    source: &'source SourceText<'source>,
    findings: Vec<findings::InputFinding>,
    /// Findings beyond [`FINDING_LIMIT`].
    omitted: usize,
    places: PlaceMap,
    references: Vec<ValueReference>,
    ties: ValueTies,
    /// Lines with a syntax error. What was recovered of them says nothing.
    broken_lines: BTreeSet<u32>,
}

impl<'source> ReadContext<'source> {
    /// Starts a reading of `source`.
    pub fn new(source: &'source SourceText<'source>) -> Self {
        Self {
            source,
            findings: Vec::new(),
            omitted: 0,
            places: PlaceMap::new(),
            references: Vec::new(),
            ties: ValueTies::default(),
            broken_lines: BTreeSet::new(),
        }
    }

    /// Adds a finding about `path` at the byte `offset`.
    pub fn report(&mut self, path: &str, offset: Option<usize>, message: impl Into<Box<str>>) {
        let position = offset.map(|offset| self.source.locate(offset));
        let is_recovered = position.is_some_and(|place| self.broken_lines.contains(&place.line));
        if is_recovered {
            return;
        }

        self.push(path, position, message.into());
    }

    /// Adds a finding about a key that is missing in the table at the byte `offset`.
    ///
    /// In a text with syntax errors the key may stand on a line that was not understood, so that
    /// nothing is said then.
    pub fn report_missing(&mut self, path: &str, offset: usize) {
        if self.broken_lines.is_empty() {
            self.report(path, Some(offset), "is missing");
        }
    }

    /// Adds a syntax error.
    pub fn report_syntax(&mut self, error: &de::Error) {
        let offset = error.span().map_or(0, |span| span.start);
        let position = self.source.locate(offset);
        let message = error.message().replace('\n', ", ");

        self.push(TEXT_PATH, Some(position), message.into());
        self.broken_lines.insert(position.line);
    }

    /// Notes that the table `path` stands at the byte `offset`.
    pub fn note_place(&mut self, path: &str, offset: usize) {
        let position = self.source.locate(offset);
        self.places.insert(path.into(), position);
    }

    /// Reports the value at `path` when another path has the same `value`.
    pub fn claim(&mut self, path: &str, offset: usize, noun: &'static str, value: Box<str>) {
        if let Some(owner) = self.ties.claim(noun, value, path) {
            let message = format!("is the same {noun} as {owner}");
            self.report(path, Some(offset), message);
        }
    }

    /// Reports the value at `path` when `subject` has been bound to another value.
    pub fn bind(
        &mut self,
        path: &str,
        offset: usize,
        noun: &'static str,
        subject: &str,
        value: &str,
    ) {
        if let Some(other) = self.ties.bind(noun, subject, value) {
            let message = format!("differs from {other}, which {noun} {subject} has elsewhere");
            self.report(path, Some(offset), message);
        }
    }

    /// Notes that the value at `path` refers to the one at `referent`; without an offset its place
    /// is that of the table at `path`.
    pub fn refer(&mut self, path: &str, offset: Option<usize>, referent: Box<str>) {
        let position = match offset {
            Some(offset) => Some(self.source.locate(offset)),
            None => self.places.get(path).copied(),
        };
        self.references.push(ValueReference {
            path: path.into(),
            position,
            referent,
        });
    }

    /// Ends the reading.
    pub fn finish<T>(mut self, value: Option<T>) -> ReadOutcome<T> {
        self.findings.sort_by_key(|finding| finding.position);

        let mut list = findings::FindingList::default();
        for finding in self.findings {
            list.push(finding);
        }
        if self.omitted > 0 {
            list.push(omission(self.omitted));
        }

        ReadOutcome {
            value,
            findings: list,
            places: self.places,
            references: self.references,
            is_broken: !self.broken_lines.is_empty(),
        }
    }

    fn push(&mut self, path: &str, position: Option<findings::TextPosition>, message: Box<str>) {
        if self.findings.len() >= FINDING_LIMIT {
            self.omitted += 1;
            return;
        }

        self.findings.push(findings::InputFinding {
            path: path.into(),
            position,
            message,
        });
    }
}

fn omission(omitted: usize) -> findings::InputFinding {
    findings::InputFinding {
        path: TEXT_PATH.into(),
        position: None,
        message: format!("{omitted} more findings are not listed").into(),
    }
}
