//! Buffer for the tokens of one generation.

use kingcupfall_core::measures;

/// Tokens of one generation in order, from the first.
///
/// The texts are stored in one string with a `u32` end offset each, so that a token costs its bytes
/// and four more.
#[derive(Debug, Clone, Default)]
pub struct TokenBuffer {
    text: String,
    ends: Vec<u32>,
}

impl TokenBuffer {
    /// Appends the next token.
    pub fn push(&mut self, token: &str) {
        self.text.push_str(token);
        let end = u32::try_from(self.text.len()).expect("a generation has less than 4 GiB of text");
        self.ends.push(end);
    }

    /// Returns the index of the next token, which is the number of tokens so far.
    pub fn next(&self) -> measures::SequenceNumber {
        measures::SequenceNumber::new(self.ends.len() as u64)
    }

    /// Copies up to `max_tokens` tokens, starting at index `first`.
    pub fn copy(&self, first: measures::SequenceNumber, max_tokens: usize) -> Vec<Box<str>> {
        let start = usize::try_from(first.get()).unwrap_or(usize::MAX);
        let end = start.saturating_add(max_tokens).min(self.ends.len());

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
