//! The story of one request, from the log lines of any number of instances.
//!
//! The lines that name the request come first in the search; they name searchers and members,
//! whose last changes of state before the request's end belong to the story too. Invariant:
//! the result is in the order of the lines' times, and holds no line twice.

use std::collections::BTreeSet;

use crate::line::value;

/// How many changes of state of one searcher or member are told.
const CHANGES_EACH: usize = 3;

/// The events that change what an instance believes of a searcher or a member.
const CHANGES: [&str; 3] = ["searchers_changed", "searcher_gone", "view_changed"];

/// Returns the lines that tell what became of a request.
pub fn story(log: &str, request: &str) -> Vec<String> {
    let named = format!("request=\"{request}\"");
    let lines: Vec<&str> = log.lines().collect();
    let own: Vec<usize> = (0..lines.len()).filter(|at| lines[*at].contains(&named)).collect();
    let Some(end) = own.iter().map(|at| time(lines[*at])).max() else {
        return Vec::new();
    };
    let names: BTreeSet<&str> = own.iter().flat_map(|at| names(lines[*at])).collect();
    let mut chosen: BTreeSet<usize> = own.into_iter().collect();
    for name in names {
        let tells = |at: &usize| {
            let line = lines[*at];
            CHANGES.contains(&value(line, "event")) && mentions(line, name) && time(line) <= end
        };
        let mut changes: Vec<usize> = (0..lines.len()).filter(tells).collect();
        changes.sort_by_key(|at| std::cmp::Reverse(time(lines[*at])));
        // Instances tell of the same change one after the other; the last of them is enough.
        let mut told = BTreeSet::new();
        changes.retain(|at| told.insert(lines[*at].split_once("event=").map(|(_, rest)| rest)));
        chosen.extend(changes.into_iter().take(CHANGES_EACH));
    }
    let mut chosen: Vec<&str> = chosen.into_iter().map(|at| lines[at]).collect();
    chosen.sort_by_key(|line| time(line));
    chosen.into_iter().map(str::to_owned).collect()
}

/// Returns the searchers and members that a line names.
fn names(line: &str) -> Vec<&str> {
    let several = value(line, "searchers").split(',');
    let single = [value(line, "searcher"), value(line, "member")];
    several.chain(single).filter(|name| !name.is_empty()).collect()
}

/// Tells whether a line holds a name as a whole: an address may begin like another one.
fn mentions(line: &str, name: &str) -> bool {
    let part_of_name = |at: char| at.is_ascii_alphanumeric() || at == '-' || at == '.';
    line.split(|at| !part_of_name(at)).any(|word| word == name)
}

fn time(line: &str) -> &str {
    value(line, "ts")
}
