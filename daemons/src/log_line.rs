//! Access to the `key=value` fields of a log line.

/// Returns the value of a field, or an empty string if the line does not have the field.
pub(crate) fn field<'a>(line: &'a str, key: &str) -> &'a str {
    let pairs = line.split(' ').filter_map(|word| word.split_once('='));
    let mut found = pairs.filter(|(name, _)| *name == key);
    found.next().map_or("", |(_, value)| value)
}
