//! Reading the `key=value` pairs of a log line.

/// Returns the value of a key, or nothing.
pub(crate) fn value<'a>(line: &'a str, key: &str) -> &'a str {
    let pairs = line.split(' ').filter_map(|word| word.split_once('='));
    let mut found = pairs.filter(|(name, _)| *name == key);
    found.next().map_or("", |(_, value)| value)
}
