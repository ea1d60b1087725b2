//! Readers of values with a restricted form: ranges, labels, unique items and addresses.

use std::collections::BTreeSet;
use std::fmt;
use std::net;
use std::ops::RangeInclusive;

use kingcupfall_core::ids;
use serde::de::DeserializeOwned;

use super::ListItem;
use super::TableReader;

impl TableReader<'_, '_, '_> {
    /// Reads a value and reports it if it is missing or outside `range`. A value outside `range` is
    /// still returned.
    pub fn required_ranged<T>(&mut self, key: &'static str, range: &RangeInclusive<T>) -> Option<T>
    where
        T: DeserializeOwned + PartialOrd + fmt::Display,
    {
        let value = self.required(key)?;
        self.check_range(key, &value, range);
        Some(value)
    }

    /// Reads a value, or returns `default` if it is left out or cannot be decoded. A value outside
    /// `range` is reported and still returned.
    pub fn ranged<T>(&mut self, key: &'static str, default: T, range: &RangeInclusive<T>) -> T
    where
        T: DeserializeOwned + PartialOrd + fmt::Display,
    {
        let value = self.or_default(key, default);
        self.check_range(key, &value, range);
        value
    }

    /// Reads a label (a short ASCII text without spaces) and reports it if it is missing or
    /// invalid. An invalid label is still returned.
    pub fn required_label(&mut self, key: &'static str) -> Option<Box<str>> {
        let label: Box<str> = self.required(key)?;
        if !is_label(&label) {
            self.report(key, invalid_label_message(&label));
        }
        Some(label)
    }

    /// Reads a list of labels, which is empty if it is left out, and reports invalid labels.
    pub fn label_list(&mut self, key: &'static str) -> Vec<Box<str>> {
        let items: Vec<ListItem<Box<str>>> = self.unique_list(key);
        for item in &items {
            if !is_label(&item.value) {
                self.report_item(item, invalid_label_message(&item.value));
            }
        }
        ListItem::into_values(items)
    }

    /// Reads a list, which is empty if it is left out, and reports repeated items.
    pub fn unique_list<T>(&mut self, key: &'static str) -> Vec<ListItem<T>>
    where
        T: DeserializeOwned + Ord + fmt::Display,
    {
        let items = self.list(key);
        let mut seen = BTreeSet::new();

        for item in &items {
            if !seen.insert(&item.value) {
                self.report_item(item, format!("lists {} more than once", item.value));
            }
        }
        items
    }

    /// Reports `key` if another key has the same `value` of this `kind`.
    pub fn check_unique(
        &mut self,
        key: &'static str,
        kind: &'static str,
        value: &impl fmt::Display,
    ) {
        let path = self.path_of(key);
        let offset = self.offset_of(key);
        self.context()
            .check_unique(&path, offset, kind, value.to_string().into());
    }

    /// Reports an item if another item or key has the same value of this `kind`.
    pub fn check_unique_item<T: fmt::Display>(&mut self, item: &ListItem<T>, kind: &'static str) {
        let path = self.path_of_item(item);
        self.context()
            .check_unique(&path, item.offset, kind, item.value.to_string().into());
    }

    /// Reports `key` if `subject` has a different value elsewhere in the text.
    pub fn check_consistent(
        &mut self,
        key: &'static str,
        subject_kind: &'static str,
        subject: &str,
        value: &str,
    ) {
        let path = self.path_of(key);
        let offset = self.offset_of(key);
        self.context()
            .check_consistent(&path, offset, subject_kind, subject, value);
    }

    /// Records that the value of `key` refers to the one at `referenced_path`.
    pub fn add_reference(&mut self, key: &'static str, referenced_path: Box<str>) {
        let path = self.path_of(key);
        let offset = self.offset_of(key);
        self.context()
            .add_reference(&path, Some(offset), referenced_path);
    }

    /// Records that an item refers to the value at `referenced_path`.
    pub fn add_item_reference<T>(&mut self, item: &ListItem<T>, referenced_path: Box<str>) {
        let path = self.path_of_item(item);
        self.context()
            .add_reference(&path, Some(item.offset), referenced_path);
    }

    /// Reads an address and reports it if it is missing or is not an IP address with a port other
    /// than zero.
    pub fn required_address(&mut self, key: &'static str) -> Option<net::SocketAddr> {
        let text: Box<str> = self.required(key)?;

        let Ok(address) = text.parse::<net::SocketAddr>() else {
            let message =
                format!("{text:?} is not an IP address with a port, such as 10.0.0.7:8080");
            self.report(key, message);
            return None;
        };
        self.check(key, address.port() != 0, "must not have port 0");
        Some(address)
    }

    fn check_range<T>(&mut self, key: &'static str, value: &T, range: &RangeInclusive<T>)
    where
        T: PartialOrd + fmt::Display,
    {
        if !range.contains(value) {
            let (start, end) = (range.start(), range.end());
            self.report(key, format!("is {value}, must be from {start} to {end}"));
        }
    }
}

fn is_label(text: &str) -> bool {
    let is_short = (1..=ids::MAX_NAME_BYTES).contains(&text.len());
    is_short && text.bytes().all(|byte| byte.is_ascii_graphic())
}

fn invalid_label_message(text: &str) -> Box<str> {
    let limit = ids::MAX_NAME_BYTES;
    format!("{text:?} is not a text of 1 to {limit} ASCII characters without spaces").into()
}
