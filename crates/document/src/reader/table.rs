//! Reading of one table.

use std::collections::BTreeMap;
use std::fmt;
use std::str::FromStr;

use serde::de::DeserializeOwned;
use toml::Spanned;
use toml::de;

use super::ReadContext;

/// A value that is read from a table.
pub trait TableValue: Sized {
    /// Reads the value; reports what is wrong and returns `None` when it cannot be made.
    fn read(reader: &mut TableReader<'_, '_, '_>) -> Option<Self>;
}

/// An item of a list.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ListItem<T> {
    /// Key of the list.
    pub key: &'static str,
    /// Place in the list, from zero.
    pub index: usize,
    /// Byte offset in the text.
    pub offset: usize,
    /// The item.
    pub value: T,
}

impl<T> ListItem<T> {
    /// Takes the values out of `items`.
    pub fn into_values(items: Vec<Self>) -> Vec<T> {
        items.into_iter().map(|item| item.value).collect()
    }
}

/// A table that is being read, key by key.
///
/// Keys that nobody asked for are reported by [`TableReader::finish`].
#[derive(Debug)]
pub struct TableReader<'context, 'source, 'tree> {
    context: &'context mut ReadContext<'source>,
    path: Box<str>,
    table: &'tree de::DeTable<'tree>,
    /// Byte offset of the table, for keys that it lacks.
    offset: usize,
    /// Keys that were asked for.
    known: Vec<&'static str>,
    /// Whether every key is the name of an entry.
    has_entries: bool,
}

impl<'context, 'source, 'tree> TableReader<'context, 'source, 'tree> {
    /// Starts to read `table`, which stands under `path` at the byte `offset`.
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
            known: Vec::new(),
            has_entries: false,
        }
    }

    /// Returns the dotted path of `key` in this table.
    pub fn path_of(&self, key: &str) -> Box<str> {
        join_path(&self.path, key)
    }

    /// Reads a value that must be there.
    pub fn required<T: DeserializeOwned>(&mut self, key: &'static str) -> Option<T> {
        if self.find(key).is_none() {
            self.report_missing(key);
            return None;
        }
        self.optional(key)
    }

    /// Reads a value that may be left out; `None` also when it is wrong.
    pub fn optional<T: DeserializeOwned>(&mut self, key: &'static str) -> Option<T> {
        let node = self.find(key)?;
        self.decode(node, |reader| reader.path_of(key))
    }

    /// Reads a value that stands for `default` when it is left out or wrong.
    pub fn or_default<T: DeserializeOwned>(&mut self, key: &'static str, default: T) -> T {
        self.optional(key).unwrap_or(default)
    }

    /// Reads the items of a list, which is empty when it is left out; wrong items are reported one
    /// by one and left out.
    pub fn list<T: DeserializeOwned>(&mut self, key: &'static str) -> Vec<ListItem<T>> {
        let Some(node) = self.find(key) else {
            return Vec::new();
        };
        let path = self.path_of(key);
        let Some(items) = node.get_ref().as_array() else {
            self.report_kind(&path, node, "array");
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

    /// Reads a list that must be there.
    pub fn required_list<T: DeserializeOwned>(
        &mut self,
        key: &'static str,
    ) -> Option<Vec<ListItem<T>>> {
        if self.find(key).is_none() {
            self.report_missing(key);
            return None;
        }
        Some(self.list(key))
    }

    /// Reads a table that must be there.
    pub fn table<T: TableValue>(&mut self, key: &'static str) -> Option<T> {
        if self.find(key).is_none() {
            self.report_missing(key);
            return None;
        }
        self.optional_table(key)
    }

    /// Reads a table that may be left out; `None` also when it is wrong.
    pub fn optional_table<T: TableValue>(&mut self, key: &'static str) -> Option<T> {
        let node = self.find(key)?;
        let path = self.path_of(key);
        self.read_table(&path, node)
    }

    /// Reads a table as if it were there but empty when it is left out.
    pub fn table_or_empty<T: TableValue>(&mut self, key: &'static str) -> Option<T> {
        if self.find(key).is_some() {
            return self.optional_table(key);
        }

        let empty = de::DeTable::new();
        let path = self.path_of(key);
        let mut reader = TableReader::new(self.context, &path, &empty, self.offset);
        T::read(&mut reader)
    }

    /// Reads the whole table as values by name. Values that are wrong are left out.
    pub fn entries<K, V>(&mut self) -> BTreeMap<K, V>
    where
        K: FromStr + Ord,
        K::Err: fmt::Display,
        V: TableValue,
    {
        let table = self.table;
        let mut entries = BTreeMap::new();

        self.has_entries = true;
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

    /// Returns the keys of the table under `key`, which are none when there is no table.
    pub fn entry_names(&self, key: &str) -> Vec<Box<str>> {
        let table = self
            .table
            .get(key)
            .and_then(|node| node.get_ref().as_table());
        let keys = table.into_iter().flat_map(|table| table.keys());
        keys.map(|key| key.get_ref().as_ref().into()).collect()
    }

    /// Reports `key` when it is missing or an empty list.
    pub fn check_filled(&mut self, key: &'static str) {
        match self.find(key).and_then(|node| node.get_ref().as_array()) {
            Some(items) => self.check(key, !items.is_empty(), "must not be empty"),
            None if self.find(key).is_none() => self.report_missing(key),
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

    /// Returns the byte offset of the value of `key`, or of the table when it lacks the key.
    pub fn offset_of(&self, key: &str) -> usize {
        let node = self.table.get(key);
        node.map_or(self.offset, |node| node.span().start)
    }

    /// Returns what the whole reading collects.
    pub fn context(&mut self) -> &mut ReadContext<'source> {
        self.context
    }

    /// Takes `keys` for known, whatever they hold.
    pub fn ignore(&mut self, keys: &[&'static str]) {
        self.known.extend(keys);
    }

    /// Reports the keys that nobody asked for.
    pub fn finish(self) {
        if self.has_entries {
            return;
        }

        for (key, _) in self.table {
            if !self.known.contains(&key.get_ref().as_ref()) {
                let path = join_path(&self.path, key.get_ref());
                self.context
                    .report(&path, Some(key.span().start), "is not a known key");
            }
        }
    }

    fn find(&mut self, key: &'static str) -> Option<&'tree Spanned<de::DeValue<'tree>>> {
        if !self.known.contains(&key) {
            self.known.push(key);
        }
        self.table.get(key)
    }

    fn report_missing(&mut self, key: &str) {
        let path = self.path_of(key);
        self.context.report_missing(&path, self.offset);
    }

    fn report_kind(&mut self, path: &str, node: &Spanned<de::DeValue<'_>>, expected: &str) {
        let found = node.get_ref().type_str();
        let message = format!("is {found}, expected {expected}");
        self.context.report(path, Some(node.span().start), message);
    }

    /// Decodes `node`; `path_of` gives its path for a finding.
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
        self.context.note_place(path, offset);

        let Some(table) = node.get_ref().as_table() else {
            self.report_kind(path, node, "table");
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

/// Returns the dotted path of an item of the list at `path`.
fn item_path(path: &str, index: usize) -> Box<str> {
    format!("{path}[{index}]").into()
}

/// Appends `key` to a dotted path, in quotes where TOML would need them.
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
