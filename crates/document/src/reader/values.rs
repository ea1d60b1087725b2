//! Reading of values that must have a certain form.

use std::collections::BTreeSet;
use std::fmt;
use std::net;
use std::ops::RangeInclusive;

use kingcupfall_core::ids;
use serde::de::DeserializeOwned;

use super::ListItem;
use super::TableReader;

impl TableReader<'_, '_, '_> {
    /// Reads a value that must be there and lie in `range`.
    pub fn required_ranged<T>(&mut self, key: &'static str, range: &RangeInclusive<T>) -> Option<T>
    where
        T: DeserializeOwned + PartialOrd + fmt::Display,
    {
        let value = self.required(key)?;
        self.check_range(key, &value, range);
        Some(value)
    }

    /// Reads a value that must lie in `range`, or is `default` when it is left out or wrong.
    pub fn ranged<T>(&mut self, key: &'static str, default: T, range: &RangeInclusive<T>) -> T
    where
        T: DeserializeOwned + PartialOrd + fmt::Display,
    {
        let value = self.or_default(key, default);
        self.check_range(key, &value, range);
        value
    }

    /// Reads a text that must be there and be a label: a short text without spaces.
    pub fn required_label(&mut self, key: &'static str) -> Option<Box<str>> {
        let label: Box<str> = self.required(key)?;
        if !is_label(&label) {
            self.report(key, label_message(&label));
        }
        Some(label)
    }

    /// Reads a list of labels that may be left out.
    pub fn label_list(&mut self, key: &'static str) -> Vec<Box<str>> {
        let items: Vec<ListItem<Box<str>>> = self.unique_list(key);
        for item in &items {
            if !is_label(&item.value) {
                self.report_item(item, label_message(&item.value));
            }
        }
        ListItem::into_values(items)
    }

    /// Reads a list that may be left out, and reports items that stand in it twice.
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

    /// Reports the value of `key` when another value has claimed the same `value` as `noun`.
    pub fn claim(&mut self, key: &'static str, noun: &'static str, value: &impl fmt::Display) {
        let path = self.path_of(key);
        let offset = self.offset_of(key);
        self.context()
            .claim(&path, offset, noun, value.to_string().into());
    }

    /// Reports an item when another value has claimed the same value as `noun`.
    pub fn claim_item<T: fmt::Display>(&mut self, item: &ListItem<T>, noun: &'static str) {
        let path = self.path_of_item(item);
        self.context()
            .claim(&path, item.offset, noun, item.value.to_string().into());
    }

    /// Reports the value of `key` when `subject` has been bound to another value before.
    pub fn bind(&mut self, key: &'static str, noun: &'static str, subject: &str, value: &str) {
        let path = self.path_of(key);
        let offset = self.offset_of(key);
        self.context().bind(&path, offset, noun, subject, value);
    }

    /// Notes that the value of `key` refers to the value at `referent`.
    pub fn refer(&mut self, key: &'static str, referent: Box<str>) {
        let path = self.path_of(key);
        let offset = self.offset_of(key);
        self.context().refer(&path, Some(offset), referent);
    }

    /// Notes that an item refers to the value at `referent`.
    pub fn refer_item<T>(&mut self, item: &ListItem<T>, referent: Box<str>) {
        let path = self.path_of_item(item);
        self.context().refer(&path, Some(item.offset), referent);
    }

    /// Reads an address that must be there: an IP number and a port other than zero.
    pub fn required_address(&mut self, key: &'static str) -> Option<net::SocketAddr> {
        let text: Box<str> = self.required(key)?;

        let Ok(address) = text.parse::<net::SocketAddr>() else {
            let message =
                format!("{text:?} is not an IP number with a port, such as 10.0.0.7:8080");
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

fn label_message(text: &str) -> Box<str> {
    let limit = ids::MAX_NAME_BYTES;
    format!("{text:?} is not a text of 1 to {limit} ASCII characters without spaces").into()
}
