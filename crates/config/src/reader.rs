//! Reads JSON objects key by key and collects every fault.
//!
//! A derived deserializer stops at the first fault. Operators get the whole list
//! in one go, so the document is walked by hand.

use std::ops::RangeInclusive;

use bergamot_base::Name;
use serde_json::{Map, Value};

use crate::Flaw;

/// The longest name that is accepted, in bytes.
const LONGEST_NAME: usize = 64;

const NAME_RULE: &str = "1 to 64 of a-z, 0-9 and -";

/// A JSON object under inspection, with its path.
#[derive(Debug)]
pub(crate) struct Reader<'a> {
    place: String,
    object: &'a Map<String, Value>,
}

/// The faults found so far.
pub(crate) type Flaws = Vec<Flaw>;

impl<'a> Reader<'a> {
    /// Opens a value that must be an object with only the known keys.
    pub(crate) fn open(
        place: impl Into<String>,
        value: &'a Value,
        known: &[&str],
        flaws: &mut Flaws,
    ) -> Option<Self> {
        let place = place.into();
        let Some(object) = value.as_object() else {
            let place = if place.is_empty() { "document".to_owned() } else { place };
            flaws.push(Flaw::new(place, kind(value), "an object"));
            return None;
        };
        let reader = Self { place, object };
        for key in object.keys().filter(|key| !known.contains(&key.as_str())) {
            flaws.push(Flaw::new(reader.path(key), "an unknown key", known.join(", ")));
        }
        Some(reader)
    }

    /// Returns the path of a key.
    pub(crate) fn path(&self, key: &str) -> String {
        if self.place.is_empty() { key.to_owned() } else { format!("{}.{key}", self.place) }
    }

    /// Reads a whole number within a range, or its default where one is given.
    pub(crate) fn number(
        &self,
        key: &str,
        range: RangeInclusive<u64>,
        default: Option<u64>,
        flaws: &mut Flaws,
    ) -> u64 {
        let allowed = || format!("a whole number from {} to {}", range.start(), range.end());
        let found = match (self.object.get(key), default) {
            (None, Some(default)) => return default,
            (None, None) => "nothing".to_owned(),
            (Some(value), _) => match value.as_u64() {
                Some(number) if range.contains(&number) => return number,
                _ => kind(value),
            },
        };
        flaws.push(Flaw::new(self.path(key), found, allowed()));
        *range.start()
    }

    /// Reads a name.
    pub(crate) fn name(&self, key: &str, flaws: &mut Flaws) -> Name {
        let text = self.object.get(key).and_then(Value::as_str).unwrap_or_default();
        if !is_name(text) {
            let found = self.object.get(key).map_or("nothing".to_owned(), kind);
            flaws.push(Flaw::new(self.path(key), found, NAME_RULE));
        }
        Name::from(text)
    }

    /// Reads one of a few words.
    pub(crate) fn choice<T: Copy>(
        &self,
        key: &str,
        words: &[(&str, T)],
        flaws: &mut Flaws,
    ) -> Option<T> {
        let value = self.object.get(key);
        let text = value.and_then(Value::as_str).unwrap_or_default();
        let chosen = words.iter().find(|(word, _)| *word == text).map(|(_, chosen)| *chosen);
        if chosen.is_none() {
            let allowed: Vec<_> = words.iter().map(|(word, _)| *word).collect();
            let found = value.map_or("nothing".to_owned(), kind);
            flaws.push(Flaw::new(self.path(key), found, allowed.join(" or ")));
        }
        chosen
    }

    /// Reads text that another type parses.
    pub(crate) fn parsed<T: std::str::FromStr>(
        &self,
        key: &str,
        allowed: &str,
        flaws: &mut Flaws,
    ) -> Option<T> {
        let value = self.object.get(key);
        let parsed = value.and_then(Value::as_str).and_then(|text| text.parse().ok());
        if parsed.is_none() {
            let found = value.map_or("nothing".to_owned(), kind);
            flaws.push(Flaw::new(self.path(key), found, allowed));
        }
        parsed
    }

    /// Reads a list that must not be empty, with the path of each item.
    pub(crate) fn list(&self, key: &str, flaws: &mut Flaws) -> Vec<(String, &'a Value)> {
        let value = self.object.get(key);
        let items = value.and_then(Value::as_array).map(Vec::as_slice).unwrap_or_default();
        if items.is_empty() {
            let found = value.map_or("nothing".to_owned(), kind);
            flaws.push(Flaw::new(self.path(key), found, "a list with at least one item"));
        }
        let path = self.path(key);
        items.iter().enumerate().map(|(i, item)| (format!("{path}[{i}]"), item)).collect()
    }
}

fn is_name(text: &str) -> bool {
    let allowed = |byte: u8| byte.is_ascii_lowercase() || byte.is_ascii_digit() || byte == b'-';
    (1..=LONGEST_NAME).contains(&text.len()) && text.bytes().all(allowed)
}

/// Describes a value shortly, for the `found` part of a fault.
fn kind(value: &Value) -> String {
    match value {
        Value::Null => "null".to_owned(),
        Value::Array(items) => format!("a list of {}", items.len()),
        Value::Object(_) => "an object".to_owned(),
        other => other.to_string(),
    }
}
