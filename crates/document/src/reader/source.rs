//! Converts byte offsets of a text into lines and columns.

use kingcupfall_core::findings;

/// A text with an index of its line starts.
#[derive(Debug)]
pub struct SourceText<'text> {
    text: &'text str,
    /// Byte offsets at which lines start, in ascending order.
    line_starts: Vec<usize>,
}

impl<'text> SourceText<'text> {
    /// Indexes the lines of `text`.
    pub fn new(text: &'text str) -> Self {
        let after_breaks = text.match_indices('\n').map(|(index, _)| index + 1);
        let line_starts = std::iter::once(0).chain(after_breaks).collect();

        Self { text, line_starts }
    }

    /// Returns the line and column, both from one, of byte `offset`. Columns count characters; an
    /// offset inside a character or beyond the text is moved back.
    pub fn locate(&self, offset: usize) -> findings::TextPosition {
        let mut end = offset.min(self.text.len());
        while !self.text.is_char_boundary(end) {
            end -= 1;
        }

        let line = self.line_starts.partition_point(|start| *start <= end);
        let line_start = self.line_starts[line - 1];
        let column = self.text[line_start..end].chars().count() + 1;

        findings::TextPosition {
            line: u32::try_from(line).unwrap_or(u32::MAX),
            column: u32::try_from(column).unwrap_or(u32::MAX),
        }
    }
}
