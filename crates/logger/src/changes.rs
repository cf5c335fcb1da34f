//! Many changes of one kind in few lines.
//!
//! A member hears of each change of each searcher, and so do all the others: told one by one,
//! a repartitioning of 1,350 searchers was a thousand lines a second at each of 295 members.
//! Here changes are counted by kind for a second and told in one line each, with the first
//! names. A member that is the first to hear of them tells all names, many to a line.
//! Invariant: whatever changes, the lines of a second are bounded, and what is kept for them.

use std::collections::{BTreeMap, VecDeque};
use std::fmt;
use std::time::{Duration, Instant};

/// How long changes are gathered after the last lines; the first after a quiet time is told at once.
const GATHERED: Duration = Duration::from_secs(1);

/// How many names a line holds where not all are told.
const FEW: usize = 3;

/// How many names a line holds where all are told: less than a kilobyte.
const PER_LINE: usize = 40;

/// The most lines at once: an operator can still read a second of them.
const MOST_LINES: usize = 15;

/// The most names of one kind that wait to be told: a fleet of 9,100 searchers that is listed.
const MOST_NAMES: usize = 16_384;

/// Changes of one kind.
#[derive(Debug, Default)]
struct Group {
    count: usize,
    names: VecDeque<String>,
}

/// The changes that are still to be told.
#[derive(Debug, Default)]
pub struct Changes {
    groups: BTreeMap<&'static str, Group>,
    told: Option<Instant>,
    oldest: Option<Instant>,
}

impl Changes {
    /// Notes a change of a kind.
    pub fn note(&mut self, now: Instant, kind: &'static str, name: impl fmt::Display) {
        let group = self.groups.entry(kind).or_default();
        group.count += 1;
        if group.names.len() < MOST_NAMES {
            group.names.push_back(name.to_string());
        }
        self.oldest.get_or_insert(now);
    }

    /// Tells whether there are lines to be written.
    pub fn is_due(&self, now: Instant) -> bool {
        self.oldest.is_some() && self.told.is_none_or(|told| now >= told + GATHERED)
    }

    /// Returns the lines that are due: what happened how often to whom, and since when.
    ///
    /// `all` tells every name, over as many seconds as it takes.
    pub fn take(&mut self, now: Instant, all: bool) -> Vec<String> {
        let Some(oldest) = self.oldest.filter(|_| self.is_due(now)) else {
            return Vec::new();
        };
        self.told = Some(now);
        let age = now.saturating_duration_since(oldest).as_millis();
        let mut lines = Vec::new();
        for (kind, group) in &mut self.groups {
            while group.count > 0 && lines.len() < MOST_LINES {
                lines.push(group.line(kind, age, all));
            }
        }
        self.groups.retain(|_, group| group.count > 0);
        if self.groups.is_empty() {
            self.oldest = None;
        }
        lines
    }
}

impl Group {
    /// Takes the next line: of some names where all are told, else of the whole group.
    fn line(&mut self, kind: &str, age: u128, all: bool) -> String {
        let named = self.names.len().min(if all { PER_LINE } else { FEW });
        let names: Vec<String> = self.names.drain(..named).collect();
        let whole = !all || self.names.is_empty();
        let count = if whole { self.count } else { named };
        if whole {
            self.names.clear();
        }
        self.count -= count;
        let (more, names) = (count - named, names.join(","));
        format!("kind={kind} count={count} names={names} more={more} since_ms={age}")
    }
}
