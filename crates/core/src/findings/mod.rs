//! Findings: everything wrong with an input, collected with its place and reported together.

use std::fmt;

use serde::Deserialize;
use serde::Serialize;

/// Line and column in a text, both from one.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct TextPosition {
    /// Line, from one.
    pub line: u32,
    /// Column in characters, from one.
    pub column: u32,
}

impl TextPosition {
    /// Finds the position of the byte `offset` in `text`.
    pub fn locate(text: &str, offset: usize) -> Self {
        let mut end = offset.min(text.len());
        while !text.is_char_boundary(end) {
            end -= 1;
        }
        let before = &text[..end];
        let line_start = before.rfind('\n').map_or(0, |index| index + 1);

        let line = before.matches('\n').count() + 1;
        let column = before[line_start..].chars().count() + 1;

        Self {
            line: u32::try_from(line).unwrap_or(u32::MAX),
            column: u32::try_from(column).unwrap_or(u32::MAX),
        }
    }
}

/// One thing that is wrong, and where.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct InputFinding {
    /// Dotted path of the value, such as `models.report.window`.
    pub path: Box<str>,
    /// Place in the text, when it is known.
    pub position: Option<TextPosition>,
    /// What is wrong, as a sentence without a full stop.
    pub message: Box<str>,
}

impl fmt::Display for InputFinding {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}: {}", self.path, self.message)?;

        match self.position {
            Some(position) => write!(
                formatter,
                " (line {}, column {})",
                position.line, position.column
            ),
            None => Ok(()),
        }
    }
}

/// All findings of one input.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(transparent)]
pub struct FindingList {
    findings: Vec<InputFinding>,
}

impl FindingList {
    /// Adds a finding.
    pub fn push(&mut self, finding: InputFinding) {
        self.findings.push(finding);
    }

    /// Adds all findings of another list.
    pub fn append(&mut self, mut other: Self) {
        self.findings.append(&mut other.findings);
    }

    /// Says whether nothing is wrong.
    pub fn is_empty(&self) -> bool {
        self.findings.is_empty()
    }

    /// Returns the findings in the order they were made.
    pub fn iter(&self) -> impl Iterator<Item = &InputFinding> {
        self.findings.iter()
    }

    /// Returns the number of findings.
    pub fn len(&self) -> usize {
        self.findings.len()
    }
}

impl fmt::Display for FindingList {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        for finding in &self.findings {
            writeln!(formatter, "{finding}")?;
        }
        Ok(())
    }
}
