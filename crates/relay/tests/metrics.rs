//! Each metric is documented in docs/METRICS.md, and each documented metric exists.

use std::collections::BTreeSet;

/// Finds the names of metrics in a text.
fn names(text: &str) -> BTreeSet<&str> {
    let ends = |at: char| !(at.is_ascii_lowercase() || at == '_');
    text.match_indices("bergamot_relay_")
        .map(|(start, _)| &text[start..])
        .map(|rest| rest.split_once(ends).map_or(rest, |(name, _)| name))
        // The summary line strips this prefix.
        .filter(|name| *name != "bergamot_relay_")
        .collect()
}

#[test]
fn documented_metrics_match_the_code() {
    let code = names(include_str!("../src/meter.rs"));
    let page = names(include_str!("../../../docs/METRICS.md"));
    assert!(!code.is_empty());
    assert_eq!(code, page);
}
