//! Aggregation of changes into a bounded number of log lines.
//!
//! Every member is notified of every change of every searcher. With one line per change, a
//! repartitioning of 1,350 searchers caused a thousand lines a second at each of 295 members.
//! Changes are therefore counted by kind for a second and logged as one line per kind, with
//! the first few names. A member that is the first to learn of changes logs all names, many
//! per line. Invariant: the number of lines per second and the memory for pending names are
//! bounded regardless of the number of changes.

use std::collections::{BTreeMap, VecDeque};
use std::fmt;
use std::time::{Duration, Instant};

/// The minimum time between two batches of lines. A change that occurs later than this after the
/// last batch is logged at once.
const FLUSH_INTERVAL: Duration = Duration::from_secs(1);

/// The number of names per line when only the first names are logged.
const NAMES_PER_SUMMARY: usize = 3;

/// The number of names per line when all names are logged, which keeps a line below a kilobyte.
const NAMES_PER_LINE: usize = 40;

/// The maximum number of lines per batch, so that an operator can still read the log as it is
/// written.
const MAX_LINES_PER_BATCH: usize = 15;

/// The maximum number of pending names per kind, enough for the initial listing of a fleet of
/// 9,100 searchers.
const MAX_PENDING_NAMES: usize = 16_384;

/// The pending changes of one kind.
#[derive(Debug, Default)]
struct Group {
    count: usize,
    names: VecDeque<String>,
}

/// Aggregates changes by kind until they are logged.
#[derive(Debug, Default)]
pub struct ChangeAggregator {
    groups: BTreeMap<&'static str, Group>,
    last_flush: Option<Instant>,
    oldest: Option<Instant>,
}

impl ChangeAggregator {
    /// Records a change of the given kind.
    pub fn record(&mut self, now: Instant, kind: &'static str, name: impl fmt::Display) {
        let group = self.groups.entry(kind).or_default();
        group.count += 1;
        if group.names.len() < MAX_PENDING_NAMES {
            group.names.push_back(name.to_string());
        }
        self.oldest.get_or_insert(now);
    }

    /// Returns whether there are changes to be logged at `now`.
    pub fn is_due(&self, now: Instant) -> bool {
        self.oldest.is_some() && self.last_flush.is_none_or(|last| now >= last + FLUSH_INTERVAL)
    }

    /// Returns the lines that are due, with the count and names of each kind and the age of the
    /// oldest pending change.
    ///
    /// If `all` is set, every name is logged, spread over as many batches as necessary.
    pub fn take_lines(&mut self, now: Instant, all: bool) -> Vec<String> {
        let Some(oldest) = self.oldest.filter(|_| self.is_due(now)) else {
            return Vec::new();
        };
        self.last_flush = Some(now);
        let age = now.saturating_duration_since(oldest).as_millis();
        let mut lines = Vec::new();
        for (kind, group) in &mut self.groups {
            while group.count > 0 && lines.len() < MAX_LINES_PER_BATCH {
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
    /// Formats the next line and removes what it covers: a batch of names if `all` is set,
    /// otherwise the whole group.
    fn line(&mut self, kind: &str, age: u128, all: bool) -> String {
        let name_count = self.names.len().min(if all { NAMES_PER_LINE } else { NAMES_PER_SUMMARY });
        let names: Vec<String> = self.names.drain(..name_count).collect();
        let is_last = !all || self.names.is_empty();
        let count = if is_last { self.count } else { name_count };
        if is_last {
            self.names.clear();
        }
        self.count -= count;
        let (more, names) = (count - name_count, names.join(","));
        format!("kind={kind} count={count} names={names} more={more} since_ms={age}")
    }
}
