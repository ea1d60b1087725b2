//! The tokens of one generation, kept until they are delivered.

use kingcupfall_core::measures;

/// Tokens of one generation in order, from the first.
///
/// Texts stand back to back in one string, so that a token costs its bytes and four more.
#[derive(Debug, Clone, Default)]
pub struct TokenBuffer {
    text: String,
    ends: Vec<u32>,
}

impl TokenBuffer {
    /// Appends the token that comes next.
    pub fn push(&mut self, token: &str) {
        self.text.push_str(token);
        let end = u32::try_from(self.text.len()).expect("a generation has less than 4 GiB of text");
        self.ends.push(end);
    }

    /// Returns the place of the token that comes next.
    pub fn next(&self) -> measures::SequenceNumber {
        measures::SequenceNumber::new(self.ends.len() as u64)
    }

    /// Copies at most `most` tokens from the place `first` on.
    pub fn copy(&self, first: measures::SequenceNumber, most: usize) -> Vec<Box<str>> {
        let start = usize::try_from(first.get()).unwrap_or(usize::MAX);
        let end = start.saturating_add(most).min(self.ends.len());

        (start..end).map(|index| self.token(index).into()).collect()
    }

    fn token(&self, index: usize) -> &str {
        let end = self.ends[index] as usize;
        let start = match index {
            0 => 0,
            _ => self.ends[index - 1] as usize,
        };
        &self.text[start..end]
    }
}
