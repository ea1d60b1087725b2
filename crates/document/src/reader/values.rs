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
    pub fn required_ranged<T>(&mut self, key: &str, range: &RangeInclusive<T>) -> Option<T>
    where
        T: DeserializeOwned + PartialOrd + fmt::Display,
    {
        let value = self.required(key)?;
        self.check_range(key, &value, range);
        Some(value)
    }

    /// Reads a value that must lie in `range`, or is `default` when it is left out or wrong.
    pub fn ranged<T>(&mut self, key: &str, default: T, range: &RangeInclusive<T>) -> T
    where
        T: DeserializeOwned + PartialOrd + fmt::Display,
    {
        let value = self.or_default(key, default);
        self.check_range(key, &value, range);
        value
    }

    /// Reads a text that must be there and be a label: a short text without spaces.
    pub fn required_label(&mut self, key: &str) -> Option<Box<str>> {
        let label: Box<str> = self.required(key)?;
        self.check(key, is_label(&label), label_message(&label));
        Some(label)
    }

    /// Reads a list of labels that may be left out.
    pub fn label_list(&mut self, key: &str) -> Vec<Box<str>> {
        let items: Vec<ListItem<Box<str>>> = self.unique_list(key);
        for item in &items {
            if !is_label(&item.value) {
                self.context()
                    .report_value(&item.path, label_message(&item.value));
            }
        }
        ListItem::into_values(items)
    }

    /// Reads a list that may be left out, and reports items that stand in it twice.
    pub fn unique_list<T>(&mut self, key: &str) -> Vec<ListItem<T>>
    where
        T: DeserializeOwned + Ord + fmt::Display,
    {
        let items = self.list(key);
        let mut seen = BTreeSet::new();

        for item in &items {
            if !seen.insert(&item.value) {
                let message = format!("lists {} more than once", item.value);
                self.context().report_value(&item.path, message);
            }
        }
        items
    }

    /// Reports the value of `key` when another value has claimed it as `noun`.
    pub fn claim(&mut self, key: &str, noun: &'static str, value: &impl fmt::Display) {
        let path = self.path_of(key);
        self.context().claim(&path, noun, value.to_string().into());
    }

    /// Reads an address that must be there: an IP number and a port other than zero.
    pub fn required_address(&mut self, key: &str) -> Option<net::SocketAddr> {
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

    fn check_range<T>(&mut self, key: &str, value: &T, range: &RangeInclusive<T>)
    where
        T: PartialOrd + fmt::Display,
    {
        let (start, end) = (range.start(), range.end());
        let message = format!("is {value}, must be from {start} to {end}");
        self.check(key, range.contains(value), message);
    }
}

fn is_label(text: &str) -> bool {
    let is_short = (1..=ids::NAME_LIMIT_BYTES).contains(&text.len());
    is_short && text.bytes().all(|byte| byte.is_ascii_graphic())
}

fn label_message(text: &str) -> Box<str> {
    let limit = ids::NAME_LIMIT_BYTES;
    format!("{text:?} is not a text of 1 to {limit} ASCII characters without spaces").into()
}
