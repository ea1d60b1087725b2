//! Reads the keys of one TOML table.

use std::collections::BTreeMap;
use std::fmt;
use std::str::FromStr;

use serde::de::DeserializeOwned;
use toml::Spanned;
use toml::de;

use super::ReadContext;

/// A value that can be read from a TOML table.
pub trait TableValue: Sized {
    /// Reads the value and reports findings through `reader`; `None` if a part that it needs is
    /// missing or invalid.
    fn read(reader: &mut TableReader<'_, '_, '_>) -> Option<Self>;
}

/// An item of a list, with its position.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ListItem<T> {
    /// Key of the list in its table.
    pub key: &'static str,
    /// Index in the list, from zero.
    pub index: usize,
    /// Byte offset of the item in the text.
    pub offset: usize,
    /// The decoded item.
    pub value: T,
}

impl<T> ListItem<T> {
    /// Returns the values of `items` without their positions.
    pub fn into_values(items: Vec<Self>) -> Vec<T> {
        items.into_iter().map(|item| item.value).collect()
    }
}

/// Reads a table key by key.
///
/// [`TableReader::finish`] reports the keys that were not requested.
#[derive(Debug)]
pub struct TableReader<'context, 'source, 'tree> {
    context: &'context mut ReadContext<'source>,
    path: Box<str>,
    table: &'tree de::DeTable<'tree>,
    /// Byte offset of the table, for keys that it lacks.
    offset: usize,
    /// Keys that were requested or allowed.
    known_keys: Vec<&'static str>,
    /// Whether the keys are names of entries, so that none is unknown.
    accepts_any_key: bool,
}

impl<'context, 'source, 'tree> TableReader<'context, 'source, 'tree> {
    /// Creates a reader of `table`, which is at `path` and byte `offset`.
    pub fn new(
        context: &'context mut ReadContext<'source>,
        path: &str,
        table: &'tree de::DeTable<'tree>,
        offset: usize,
    ) -> Self {
        Self {
            context,
            path: path.into(),
            table,
            offset,
            known_keys: Vec::new(),
            accepts_any_key: false,
        }
    }

    /// Returns the dotted path of `key` in this table.
    pub fn path_of(&self, key: &str) -> Box<str> {
        join_path(&self.path, key)
    }

    /// Reads a value and reports it if it is missing.
    pub fn required<T: DeserializeOwned>(&mut self, key: &'static str) -> Option<T> {
        if self.lookup(key).is_none() {
            self.report_missing(key);
            return None;
        }
        self.optional(key)
    }

    /// Reads a value that may be left out; `None` also if it is invalid, which is reported.
    pub fn optional<T: DeserializeOwned>(&mut self, key: &'static str) -> Option<T> {
        let node = self.lookup(key)?;
        self.decode(node, |reader| reader.path_of(key))
    }

    /// Reads a value, or returns `default` if it is left out or invalid; only the latter is
    /// reported.
    pub fn or_default<T: DeserializeOwned>(&mut self, key: &'static str, default: T) -> T {
        self.optional(key).unwrap_or(default)
    }

    /// Reads the items of a list, which is empty if it is left out. Invalid items are reported one
    /// by one and skipped.
    pub fn list<T: DeserializeOwned>(&mut self, key: &'static str) -> Vec<ListItem<T>> {
        let Some(node) = self.lookup(key) else {
            return Vec::new();
        };
        let path = self.path_of(key);
        let Some(items) = node.get_ref().as_array() else {
            self.report_type(&path, node, "array");
            return Vec::new();
        };

        let mut values = Vec::new();
        for (index, item) in items.iter().enumerate() {
            let value = self.decode(item, |_| item_path(&path, index));
            values.extend(value.map(|value| ListItem {
                key,
                index,
                offset: item.span().start,
                value,
            }));
        }
        values
    }

    /// Reads a list and reports it if it is missing.
    pub fn required_list<T: DeserializeOwned>(
        &mut self,
        key: &'static str,
    ) -> Option<Vec<ListItem<T>>> {
        if self.lookup(key).is_none() {
            self.report_missing(key);
            return None;
        }
        Some(self.list(key))
    }

    /// Reads a table and reports it if it is missing.
    pub fn table<T: TableValue>(&mut self, key: &'static str) -> Option<T> {
        if self.lookup(key).is_none() {
            self.report_missing(key);
            return None;
        }
        self.optional_table(key)
    }

    /// Reads a table that may be left out; `None` also if it is invalid, which is reported.
    pub fn optional_table<T: TableValue>(&mut self, key: &'static str) -> Option<T> {
        let node = self.lookup(key)?;
        let path = self.path_of(key);
        self.read_table(&path, node)
    }

    /// Reads a table; one that is left out is read as an empty one.
    pub fn table_or_empty<T: TableValue>(&mut self, key: &'static str) -> Option<T> {
        if self.lookup(key).is_some() {
            return self.optional_table(key);
        }

        let empty = de::DeTable::new();
        let path = self.path_of(key);
        let mut reader = TableReader::new(self.context, &path, &empty, self.offset);
        T::read(&mut reader)
    }

    /// Reads all keys of this table as names of entries. Entries with an invalid name or value are
    /// reported and skipped.
    pub fn entries<K, V>(&mut self) -> BTreeMap<K, V>
    where
        K: FromStr + Ord,
        K::Err: fmt::Display,
        V: TableValue,
    {
        let table = self.table;
        let mut entries = BTreeMap::new();

        self.accepts_any_key = true;
        for (key, node) in table {
            let path = self.path_of(key.get_ref());
            let name = self.parse_name::<K>(&path, key);
            let value = self.read_table(&path, node);
            if let (Some(name), Some(value)) = (name, value) {
                entries.insert(name, value);
            }
        }
        entries
    }

    /// Returns the keys of the table under `key`; none if there is no such table.
    pub fn entry_names(&self, key: &str) -> Vec<Box<str>> {
        let table = self
            .table
            .get(key)
            .and_then(|node| node.get_ref().as_table());
        let keys = table.into_iter().flat_map(|table| table.keys());
        keys.map(|key| key.get_ref().as_ref().into()).collect()
    }

    /// Reports `key` if it is missing or an empty list.
    pub fn check_non_empty(&mut self, key: &'static str) {
        match self.lookup(key).and_then(|node| node.get_ref().as_array()) {
            Some(items) => self.check(key, !items.is_empty(), "must not be empty"),
            None if self.lookup(key).is_none() => self.report_missing(key),
            None => {}
        }
    }

    /// Reports `message` about `key` unless `is_valid`.
    pub fn check(&mut self, key: &'static str, is_valid: bool, message: impl Into<Box<str>>) {
        if !is_valid {
            self.report(key, message);
        }
    }

    /// Reports `message` about `key`.
    pub fn report(&mut self, key: &'static str, message: impl Into<Box<str>>) {
        let path = self.path_of(key);
        let offset = self.offset_of(key);
        self.context.report(&path, Some(offset), message);
    }

    /// Reports `message` about an item of a list.
    pub fn report_item<T>(&mut self, item: &ListItem<T>, message: impl Into<Box<str>>) {
        let path = self.path_of_item(item);
        self.context.report(&path, Some(item.offset), message);
    }

    /// Returns the dotted path of an item of a list.
    pub fn path_of_item<T>(&self, item: &ListItem<T>) -> Box<str> {
        item_path(&self.path_of(item.key), item.index)
    }

    /// Returns the byte offset of the value of `key`, or of the table if it lacks the key.
    pub fn offset_of(&self, key: &str) -> usize {
        let node = self.table.get(key);
        node.map_or(self.offset, |node| node.span().start)
    }

    /// Returns the state that is shared by all tables of the text.
    pub fn context(&mut self) -> &mut ReadContext<'source> {
        self.context
    }

    /// Allows `keys` without reading them, so that they are not reported as unknown.
    pub fn allow_keys(&mut self, keys: &[&'static str]) {
        self.known_keys.extend(keys);
    }

    /// Reports the keys that were neither requested nor allowed.
    pub fn finish(self) {
        if self.accepts_any_key {
            return;
        }

        for (key, _) in self.table {
            if !self.known_keys.contains(&key.get_ref().as_ref()) {
                let path = join_path(&self.path, key.get_ref());
                self.context
                    .report(&path, Some(key.span().start), "is not a known key");
            }
        }
    }

    /// Returns the value of `key` and marks the key as known.
    fn lookup(&mut self, key: &'static str) -> Option<&'tree Spanned<de::DeValue<'tree>>> {
        if !self.known_keys.contains(&key) {
            self.known_keys.push(key);
        }
        self.table.get(key)
    }

    fn report_missing(&mut self, key: &str) {
        let path = self.path_of(key);
        self.context.report_missing(&path, self.offset);
    }

    fn report_type(&mut self, path: &str, node: &Spanned<de::DeValue<'_>>, expected: &str) {
        let found = node.get_ref().type_str();
        let message = format!("is {found}, expected {expected}");
        self.context.report(path, Some(node.span().start), message);
    }

    /// Decodes `node`; calls `path_of` for its path only if there is a finding.
    fn decode<T: DeserializeOwned>(
        &mut self,
        node: &Spanned<de::DeValue<'tree>>,
        path_of: impl FnOnce(&Self) -> Box<str>,
    ) -> Option<T> {
        match T::deserialize(de::ValueDeserializer::from(node.clone())) {
            Ok(value) => Some(value),
            Err(error) => {
                let path = path_of(self);
                let message = error.message().replace('\n', ", ");
                self.context.report(&path, Some(node.span().start), message);
                None
            }
        }
    }

    fn read_table<T: TableValue>(
        &mut self,
        path: &str,
        node: &'tree Spanned<de::DeValue<'tree>>,
    ) -> Option<T> {
        let offset = node.span().start;
        self.context.record_position(path, offset);

        let Some(table) = node.get_ref().as_table() else {
            self.report_type(path, node, "table");
            return None;
        };
        let mut reader = TableReader::new(self.context, path, table, offset);
        let value = T::read(&mut reader);
        reader.finish();
        value
    }

    fn parse_name<K>(&mut self, path: &str, key: &Spanned<de::DeString<'_>>) -> Option<K>
    where
        K: FromStr,
        K::Err: fmt::Display,
    {
        match key.get_ref().parse() {
            Ok(name) => Some(name),
            Err(error) => {
                let error: K::Err = error;
                self.context
                    .report(path, Some(key.span().start), error.to_string());
                None
            }
        }
    }
}

impl<K, V> TableValue for BTreeMap<K, V>
where
    K: FromStr + Ord,
    K::Err: fmt::Display,
    V: TableValue,
{
    fn read(reader: &mut TableReader<'_, '_, '_>) -> Option<Self> {
        Some(reader.entries())
    }
}

fn item_path(path: &str, index: usize) -> Box<str> {
    format!("{path}[{index}]").into()
}

/// Appends `key` to a dotted path, in quotes where TOML requires them.
pub fn join_path(path: &str, key: &str) -> Box<str> {
    let is_bare = |character: char| character.is_ascii_alphanumeric() || "_-".contains(character);
    let is_quoted = key.is_empty() || !key.chars().all(is_bare);
    let key = if is_quoted {
        format!("{key:?}")
    } else {
        key.into()
    };

    if path.is_empty() {
        key.into()
    } else {
        format!("{path}.{key}").into()
    }
}
