//! Token texts that depend on the stream and the index of the token, so that tests detect tokens of
//! another stream or with another index.

use kingcupfall_core::ids;
use kingcupfall_core::measures;
use xxhash_rust::xxh3;

const WORDS: [&str; 32] = [
    "duct", "hood", "grease", "filter", "the", "of", "and", "panel", "fan", "deposit", "thick",
    "light", "clean", "at", "on", "weld", "harness", "bolt", "checked", "joint", "no", "wear",
    "bearing", "ride", "north", "shaft", "sealed", "replace", "within", "days", "safe", "remove",
];

/// Returns the text of the token at `index` of `stream`: a space and a word.
pub fn token_text(stream: ids::AttemptId, index: measures::SequenceNumber) -> Box<str> {
    let mut hasher = xxh3::Xxh3::new();
    hasher.update(&stream.as_u128().to_le_bytes());
    hasher.update(&index.get().to_le_bytes());
    let word = usize::try_from(hasher.digest() % WORDS.len() as u64).unwrap_or_default();

    format!(" {}", WORDS[word]).into()
}
