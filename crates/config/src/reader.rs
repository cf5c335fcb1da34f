//! Reads JSON objects key by key and collects every error.
//!
//! A derived deserializer stops at the first error. The document is traversed by hand so
//! that operators see all errors at once.

use std::ops::RangeInclusive;

use bergamot_base::Name;
use serde_json::{Map, Value};

use crate::Violation;

/// The maximum length of a name in bytes.
const MAX_NAME_BYTES: usize = 64;

const NAME_SYNTAX: &str = "1 to 64 of a-z, 0-9 and -";

/// Reads the values of a JSON object and reports errors by their path.
#[derive(Debug)]
pub(crate) struct ObjectReader<'a> {
    path: String,
    object: &'a Map<String, Value>,
}

/// The errors found so far.
pub(crate) type Violations = Vec<Violation>;

impl<'a> ObjectReader<'a> {
    /// Checks that a value is an object, and reports every key that is not in `known`.
    pub(crate) fn open(
        path: impl Into<String>,
        value: &'a Value,
        known: &[&str],
        violations: &mut Violations,
    ) -> Option<Self> {
        let path = path.into();
        let Some(object) = value.as_object() else {
            let path = if path.is_empty() { "document".to_owned() } else { path };
            violations.push(Violation::new(path, describe(value), "an object"));
            return None;
        };
        let reader = Self { path, object };
        for key in object.keys().filter(|key| !known.contains(&key.as_str())) {
            violations.push(Violation::new(reader.path(key), "an unknown key", known.join(", ")));
        }
        Some(reader)
    }

    /// Returns the full path of a key, such as `workspaces[0].name`.
    pub(crate) fn path(&self, key: &str) -> String {
        if self.path.is_empty() { key.to_owned() } else { format!("{}.{key}", self.path) }
    }

    /// Reads an integer within a range; an absent key yields the default, if there is one.
    pub(crate) fn number(
        &self,
        key: &str,
        range: RangeInclusive<u64>,
        default: Option<u64>,
        violations: &mut Violations,
    ) -> u64 {
        let allowed = || format!("an integer from {} to {}", range.start(), range.end());
        let found = match (self.object.get(key), default) {
            (None, Some(default)) => return default,
            (None, None) => "nothing".to_owned(),
            (Some(value), _) => match value.as_u64() {
                Some(number) if range.contains(&number) => return number,
                _ => describe(value),
            },
        };
        violations.push(Violation::new(self.path(key), found, allowed()));
        *range.start()
    }

    /// Reads a name that conforms to [`NAME_SYNTAX`].
    pub(crate) fn name(&self, key: &str, violations: &mut Violations) -> Name {
        let text = self.object.get(key).and_then(Value::as_str).unwrap_or_default();
        if !is_name(text) {
            let found = self.object.get(key).map_or("nothing".to_owned(), describe);
            violations.push(Violation::new(self.path(key), found, NAME_SYNTAX));
        }
        Name::from(text)
    }

    /// Reads one of a fixed set of words.
    pub(crate) fn choice<T: Copy>(
        &self,
        key: &str,
        words: &[(&str, T)],
        violations: &mut Violations,
    ) -> Option<T> {
        let value = self.object.get(key);
        let text = value.and_then(Value::as_str).unwrap_or_default();
        let choice = words.iter().find(|(word, _)| *word == text).map(|(_, choice)| *choice);
        if choice.is_none() {
            let allowed: Vec<_> = words.iter().map(|(word, _)| *word).collect();
            let found = value.map_or("nothing".to_owned(), describe);
            violations.push(Violation::new(self.path(key), found, allowed.join(" or ")));
        }
        choice
    }

    /// Reads a string and parses it as a `T`.
    pub(crate) fn parsed<T: std::str::FromStr>(
        &self,
        key: &str,
        allowed: &str,
        violations: &mut Violations,
    ) -> Option<T> {
        let value = self.object.get(key);
        let parsed = value.and_then(Value::as_str).and_then(|text| text.parse().ok());
        if parsed.is_none() {
            let found = value.map_or("nothing".to_owned(), describe);
            violations.push(Violation::new(self.path(key), found, allowed));
        }
        parsed
    }

    /// Reads a non-empty list and pairs each item with its path.
    pub(crate) fn list(&self, key: &str, violations: &mut Violations) -> Vec<(String, &'a Value)> {
        let value = self.object.get(key);
        let items = value.and_then(Value::as_array).map(Vec::as_slice).unwrap_or_default();
        if items.is_empty() {
            let found = value.map_or("nothing".to_owned(), describe);
            violations.push(Violation::new(self.path(key), found, "a list with at least one item"));
        }
        let path = self.path(key);
        items.iter().enumerate().map(|(i, item)| (format!("{path}[{i}]"), item)).collect()
    }
}

fn is_name(text: &str) -> bool {
    let allowed = |byte: u8| byte.is_ascii_lowercase() || byte.is_ascii_digit() || byte == b'-';
    (1..=MAX_NAME_BYTES).contains(&text.len()) && text.bytes().all(allowed)
}

/// Summarizes a value for the `found` part of an error.
fn describe(value: &Value) -> String {
    match value {
        Value::Null => "null".to_owned(),
        Value::Array(items) => format!("a list of {}", items.len()),
        Value::Object(_) => "an object".to_owned(),
        other => other.to_string(),
    }
}
