//! Problems found in an input, collected with their positions and reported together.

use std::fmt;

use serde::Deserialize;
use serde::Serialize;

/// Line and column in a text, both counted from one.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct TextPosition {
    /// Line, counted from one.
    pub line: u32,
    /// Column in characters, counted from one.
    pub column: u32,
}

impl TextPosition {
    /// Returns the position of the character that holds the byte at `offset`.
    ///
    /// For an offset past the end of `text`, returns the position of the end.
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

/// A problem in an input, and its position.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct InputFinding {
    /// Dotted path of the value, such as `models.report.window`.
    pub path: Box<str>,
    /// Position in the text; `None` if it is unknown.
    pub position: Option<TextPosition>,
    /// Description of the problem: a sentence without a full stop.
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
    /// Appends a finding.
    pub fn push(&mut self, finding: InputFinding) {
        self.findings.push(finding);
    }

    /// Appends all findings of another list.
    pub fn append(&mut self, mut other: Self) {
        self.findings.append(&mut other.findings);
    }

    /// Returns true if no problem was found.
    pub fn is_empty(&self) -> bool {
        self.findings.is_empty()
    }

    /// Returns the findings in the order in which they were added.
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
