//! Reading of one table.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
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
    /// Dotted path of the item.
    pub path: Box<str>,
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
    known: BTreeSet<Box<str>>,
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
            known: BTreeSet::new(),
        }
    }

    /// Returns the dotted path of `key` in this table.
    pub fn path_of(&self, key: &str) -> Box<str> {
        join_path(&self.path, key)
    }

    /// Reads a value that must be there.
    pub fn required<T: DeserializeOwned>(&mut self, key: &str) -> Option<T> {
        if self.find(key).is_none() {
            self.report_missing(key);
            return None;
        }
        self.optional(key)
    }

    /// Reads a value that may be left out; `None` also when it is wrong.
    pub fn optional<T: DeserializeOwned>(&mut self, key: &str) -> Option<T> {
        let node = self.find(key)?;
        let path = self.path_of(key);
        self.decode(&path, node)
    }

    /// Reads a value that stands for `default` when it is left out or wrong.
    pub fn or_default<T: DeserializeOwned>(&mut self, key: &str, default: T) -> T {
        self.optional(key).unwrap_or(default)
    }

    /// Reads the items of a list, which is empty when it is left out; wrong items are reported one
    /// by one and left out.
    pub fn list<T: DeserializeOwned>(&mut self, key: &str) -> Vec<ListItem<T>> {
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
            let path: Box<str> = format!("{path}[{index}]").into();
            if let Some(value) = self.decode(&path, item) {
                values.push(ListItem { path, value });
            }
        }
        values
    }

    /// Reads a list that must be there.
    pub fn required_list<T: DeserializeOwned>(&mut self, key: &str) -> Option<Vec<ListItem<T>>> {
        if self.find(key).is_none() {
            self.report_missing(key);
            return None;
        }
        Some(self.list(key))
    }

    /// Reads a table that must be there.
    pub fn table<T: TableValue>(&mut self, key: &str) -> Option<T> {
        if self.find(key).is_none() {
            self.report_missing(key);
            return None;
        }
        self.optional_table(key)
    }

    /// Reads a table that may be left out; `None` also when it is wrong.
    pub fn optional_table<T: TableValue>(&mut self, key: &str) -> Option<T> {
        let node = self.find(key)?;
        let path = self.path_of(key);
        self.read_table(&path, node)
    }

    /// Reads a table as if it were there but empty when it is left out.
    pub fn table_or_empty<T: TableValue>(&mut self, key: &str) -> Option<T> {
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

        for (key, node) in table {
            self.known.insert(key.get_ref().as_ref().into());
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
    pub fn check_filled(&mut self, key: &str) {
        match self.find(key).and_then(|node| node.get_ref().as_array()) {
            Some(items) => self.check(key, !items.is_empty(), "must not be empty"),
            None if self.find(key).is_none() => self.report_missing(key),
            None => {}
        }
    }

    /// Reports `message` about `key` unless `is_valid`.
    pub fn check(&mut self, key: &str, is_valid: bool, message: impl Into<Box<str>>) {
        if !is_valid {
            self.report(key, message);
        }
    }

    /// Reports `message` about `key`.
    pub fn report(&mut self, key: &str, message: impl Into<Box<str>>) {
        let path = self.path_of(key);
        let offset = self.find(key).map_or(self.offset, |node| node.span().start);
        self.context.report(&path, Some(offset), message);
    }

    /// Returns what the whole reading collects.
    pub fn context(&mut self) -> &mut ReadContext<'source> {
        self.context
    }

    /// Returns the dotted path of the table.
    pub fn path(&self) -> &str {
        &self.path
    }

    /// Takes `keys` for known, whatever they hold.
    pub fn ignore(&mut self, keys: &[&str]) {
        self.known.extend(keys.iter().map(|key| Box::from(*key)));
    }

    /// Reports the keys that nobody asked for.
    pub fn finish(self) {
        for (key, _) in self.table {
            if !self.known.contains(key.get_ref().as_ref()) {
                let path = join_path(&self.path, key.get_ref());
                self.context
                    .report(&path, Some(key.span().start), "is not a known key");
            }
        }
    }

    fn find(&mut self, key: &str) -> Option<&'tree Spanned<de::DeValue<'tree>>> {
        if !self.known.contains(key) {
            self.known.insert(key.into());
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

    fn decode<T: DeserializeOwned>(
        &mut self,
        path: &str,
        node: &Spanned<de::DeValue<'tree>>,
    ) -> Option<T> {
        let offset = node.span().start;
        self.context.note_place(path, offset);

        match T::deserialize(de::ValueDeserializer::from(node.clone())) {
            Ok(value) => Some(value),
            Err(error) => {
                let message = error.message().replace('\n', ", ");
                self.context.report(path, Some(offset), message);
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
