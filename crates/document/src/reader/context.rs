//! State of reading one text: its findings, positions and references.

use std::collections::BTreeSet;

use kingcupfall_core::findings;
use toml::de;

use super::PositionMap;
use super::ReadOutcome;
use super::SourceText;
use super::TEXT_PATH;
use super::ValueReference;
use super::constraints::ValueConstraints;

/// Findings that are kept for one text; further ones are only counted.
const MAX_FINDINGS: usize = 1_000;

/// Collects the findings, positions and references of one text while it is read.
#[derive(Debug)]
pub struct ReadContext<'source> {
    source: &'source SourceText<'source>,
    findings: Vec<findings::InputFinding>,
    /// Number of findings beyond [`MAX_FINDINGS`].
    omitted: usize,
    positions: PositionMap,
    references: Vec<ValueReference>,
    constraints: ValueConstraints,
    /// Lines with a syntax error. Values that the parser recovered from them are not reliable, so
    /// findings about them are dropped.
    syntax_error_lines: BTreeSet<u32>,
}

impl<'source> ReadContext<'source> {
    /// Creates the state for reading `source`.
    pub fn new(source: &'source SourceText<'source>) -> Self {
        Self {
            source,
            findings: Vec::new(),
            omitted: 0,
            positions: PositionMap::new(),
            references: Vec::new(),
            constraints: ValueConstraints::default(),
            syntax_error_lines: BTreeSet::new(),
        }
    }

    /// Adds a finding about `path` at byte `offset`, unless its line has a syntax error.
    pub fn report(&mut self, path: &str, offset: Option<usize>, message: impl Into<Box<str>>) {
        let position = offset.map(|offset| self.source.locate(offset));
        let is_recovered =
            position.is_some_and(|position| self.syntax_error_lines.contains(&position.line));
        if is_recovered {
            return;
        }

        self.push(path, position, message.into());
    }

    /// Adds a finding about a key that is missing in the table at byte `offset`.
    ///
    /// Does nothing in a text with syntax errors, since the key may be on a line that could not be
    /// parsed.
    pub fn report_missing(&mut self, path: &str, offset: usize) {
        if self.syntax_error_lines.is_empty() {
            self.report(path, Some(offset), "is missing");
        }
    }

    /// Adds a finding for a syntax error; later findings on its line are dropped.
    pub fn report_syntax(&mut self, error: &de::Error) {
        let offset = error.span().map_or(0, |span| span.start);
        let position = self.source.locate(offset);
        let message = error.message().replace('\n', ", ");

        self.push(TEXT_PATH, Some(position), message.into());
        self.syntax_error_lines.insert(position.line);
    }

    /// Records that the table `path` is at byte `offset`.
    pub fn record_position(&mut self, path: &str, offset: usize) {
        let position = self.source.locate(offset);
        self.positions.insert(path.into(), position);
    }

    /// Reports the value at `path` if another path has the same `value` of this `kind`.
    pub fn check_unique(&mut self, path: &str, offset: usize, kind: &'static str, value: Box<str>) {
        if let Some(first_path) = self.constraints.register_unique(kind, value, path) {
            let message = format!("is the same {kind} as {first_path}");
            self.report(path, Some(offset), message);
        }
    }

    /// Reports the value at `path` if `subject` has a different value elsewhere in the text.
    pub fn check_consistent(
        &mut self,
        path: &str,
        offset: usize,
        subject_kind: &'static str,
        subject: &str,
        value: &str,
    ) {
        if let Some(bound_value) = self
            .constraints
            .register_binding(subject_kind, subject, value)
        {
            let message = format!(
                "differs from {bound_value}, which {subject_kind} {subject} has in another entry"
            );
            self.report(path, Some(offset), message);
        }
    }

    /// Records that the value at `path` refers to the one at `referenced_path`. Without an offset,
    /// the position is that of the table at `path`.
    pub fn add_reference(&mut self, path: &str, offset: Option<usize>, referenced_path: Box<str>) {
        let position = match offset {
            Some(offset) => Some(self.source.locate(offset)),
            None => self.positions.get(path).copied(),
        };
        self.references.push(ValueReference {
            path: path.into(),
            position,
            referenced_path,
        });
    }

    /// Returns the collected findings, positions and references together with the read `value`.
    pub fn finish<T>(mut self, value: Option<T>) -> ReadOutcome<T> {
        self.findings.sort_by_key(|finding| finding.position);

        let mut list = findings::FindingList::default();
        for finding in self.findings {
            list.push(finding);
        }
        if self.omitted > 0 {
            list.push(omitted_finding(self.omitted));
        }

        ReadOutcome {
            value,
            findings: list,
            positions: self.positions,
            references: self.references,
            has_syntax_errors: !self.syntax_error_lines.is_empty(),
        }
    }

    fn push(&mut self, path: &str, position: Option<findings::TextPosition>, message: Box<str>) {
        if self.findings.len() >= MAX_FINDINGS {
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

fn omitted_finding(omitted: usize) -> findings::InputFinding {
    findings::InputFinding {
        path: TEXT_PATH.into(),
        position: None,
        message: format!("{omitted} more findings are not listed").into(),
    }
}
