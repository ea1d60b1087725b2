//! Reading of TOML text into typed values, with every finding and its place.
//!
//! Reading never stops at the first finding: a value that cannot be read is left out and the rest
//! is read on. The document and the settings of the binaries share this module.

mod context;
mod source;
mod table;
mod ties;
mod values;

pub use context::ReadContext;
pub use source::SourceText;
pub use table::ListItem;
pub use table::TableReader;
pub use table::TableValue;
pub use table::join_path;
pub use ties::ValueReference;
pub use ties::find_missing;

use std::collections::BTreeMap;

use kingcupfall_core::findings;
use kingcupfall_core::measures;
use toml::de;

/// Longest text that is read; the configuration service holds no larger value.
pub const TEXT_LIMIT: measures::ByteSize = measures::ByteSize::new(1024 * 1024);

/// Path of findings that belong to the text as a whole.
pub const TEXT_PATH: &str = "text";

/// Places of tables by their dotted paths.
pub type PlaceMap = BTreeMap<Box<str>, findings::TextPosition>;

/// What was read of a text.
#[derive(Debug, Clone)]
pub struct ReadOutcome<T> {
    /// The value; `None` when a part without a default is missing or wrong.
    pub value: Option<T>,
    /// Everything that is wrong, in the order of its place.
    pub findings: findings::FindingList,
    /// Places of the tables that were seen, and of values that should be tables.
    pub places: PlaceMap,
    /// References to other values, which may be in other texts.
    pub references: Vec<ValueReference>,
    /// Whether the text has syntax errors, so that values may be missing that are in it.
    pub is_broken: bool,
}

/// Reads `text` as a `T`.
pub fn read_text<T: TableValue>(text: &str) -> ReadOutcome<T> {
    let source = SourceText::new(text);
    let mut context = ReadContext::new(&source);
    if text.len() as u64 > TEXT_LIMIT.get() {
        let message = format!(
            "the text has {} bytes, at most {TEXT_LIMIT} are read",
            text.len()
        );
        context.report(TEXT_PATH, None, message);
        return context.finish(None);
    }

    let (root, errors) = de::DeTable::parse_recoverable(text);
    for error in &errors {
        context.report_syntax(error);
    }

    let mut reader = TableReader::new(&mut context, "", root.get_ref(), 0);
    let value = T::read(&mut reader);
    reader.finish();
    context.finish(value)
}
