//! Selects the log lines that explain one request, from the logs of any number of instances.
//!
//! The selection starts with the lines that contain the request's identifier. Those lines name
//! searchers and members, whose last state changes before the end of the request are added.
//! Invariant: the result is sorted by timestamp and contains no line twice.

use std::collections::BTreeSet;

use crate::log_line::field;

/// How many state changes of one searcher or member are included.
const MAX_CHANGES_PER_NAME: usize = 3;

/// The events that report a change in an instance's view of a searcher or a member.
const STATE_CHANGE_EVENTS: [&str; 3] = ["searchers_changed", "searcher_gone", "view_changed"];

/// Returns the log lines that explain the outcome of a request.
pub fn explain_request(log: &str, request: &str) -> Vec<String> {
    let request_field = format!("request=\"{request}\"");
    let lines: Vec<&str> = log.lines().collect();
    let own: Vec<usize> =
        (0..lines.len()).filter(|at| lines[*at].contains(&request_field)).collect();
    let Some(end) = own.iter().map(|at| timestamp(lines[*at])).max() else {
        return Vec::new();
    };
    let names: BTreeSet<&str> = own.iter().flat_map(|at| names(lines[*at])).collect();
    let mut selected: BTreeSet<usize> = own.into_iter().collect();
    for name in names {
        let is_relevant = |at: &usize| {
            let line = lines[*at];
            STATE_CHANGE_EVENTS.contains(&field(line, "event"))
                && contains_name(line, name)
                && timestamp(line) <= end
        };
        let mut changes: Vec<usize> = (0..lines.len()).filter(is_relevant).collect();
        changes.sort_by_key(|at| std::cmp::Reverse(timestamp(lines[*at])));
        // Several instances log the same change; only the latest of these lines is kept.
        let mut seen = BTreeSet::new();
        changes.retain(|at| seen.insert(lines[*at].split_once("event=").map(|(_, rest)| rest)));
        selected.extend(changes.into_iter().take(MAX_CHANGES_PER_NAME));
    }
    let mut selected: Vec<&str> = selected.into_iter().map(|at| lines[at]).collect();
    selected.sort_by_key(|line| timestamp(line));
    selected.into_iter().map(str::to_owned).collect()
}

/// Returns the searchers and members that a line names.
fn names(line: &str) -> Vec<&str> {
    let several = field(line, "searchers").split(',');
    let single = [field(line, "searcher"), field(line, "member")];
    several.chain(single).filter(|name| !name.is_empty()).collect()
}

/// Returns whether a line contains the complete name. A substring search is not enough, since
/// one address may be a prefix of another.
fn contains_name(line: &str, name: &str) -> bool {
    let is_name_char = |c: char| c.is_ascii_alphanumeric() || c == '-' || c == '.';
    line.split(|c| !is_name_char(c)).any(|word| word == name)
}

fn timestamp(line: &str) -> &str {
    field(line, "ts")
}
