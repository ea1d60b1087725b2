//! Reads TOML text into typed values and reports all findings with their positions.
//!
//! Reading does not stop at the first finding: a value that cannot be read is left out, and the
//! rest is still read. The document and the settings of the binaries share this module.

mod constraints;
mod context;
mod source;
mod table;
mod values;

pub use constraints::ValueReference;
pub use constraints::find_dangling_references;
pub use context::ReadContext;
pub use source::SourceText;
pub use table::ListItem;
pub use table::TableReader;
pub use table::TableValue;
pub use table::join_path;

use std::collections::BTreeMap;

use kingcupfall_core::findings;
use kingcupfall_core::measures;
use toml::de;

/// Size of the longest text that is read; the configuration service stores no larger value.
pub const MAX_TEXT_SIZE: measures::ByteSize = measures::ByteSize::new(1024 * 1024);

/// Path of findings about the text as a whole, such as syntax errors.
pub const TEXT_PATH: &str = "text";

/// Positions of tables by their dotted paths.
pub type PositionMap = BTreeMap<Box<str>, findings::TextPosition>;

/// Result of reading a text.
#[derive(Debug, Clone)]
pub struct ReadOutcome<T> {
    /// The value; `None` if a part without a default is missing or invalid.
    pub value: Option<T>,
    /// Everything wrong with the text, in the order of the text.
    pub findings: findings::FindingList,
    /// Positions of the tables that were read, and of values that should have been tables.
    pub positions: PositionMap,
    /// References to other values, which may be in other texts; they are not checked.
    pub references: Vec<ValueReference>,
    /// Whether the text has syntax errors, so that values in it may be missing from the result.
    pub has_syntax_errors: bool,
}

/// Reads `text` as a `T`. A text beyond [`MAX_TEXT_SIZE`] is reported and not parsed.
pub fn read_text<T: TableValue>(text: &str) -> ReadOutcome<T> {
    let source = SourceText::new(text);
    let mut context = ReadContext::new(&source);
    if text.len() as u64 > MAX_TEXT_SIZE.get() {
        let message = format!(
            "is {} bytes long, must have at most {MAX_TEXT_SIZE} bytes",
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
