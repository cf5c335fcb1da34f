//! The checker: decides from a history whether the promises held.
//!
//! It trusts no daemon. Snapshots are read off the stamps in the documents, coverage
//! off the number of documents, effects off the searchers' own ledgers. Each rule can
//! fail: `tests/histories/` holds a small history by hand that breaks it.

use std::collections::HashMap;
use std::fmt;

use bergamot_base::Name;
use bergamot_standin::Effect;

use crate::history::{Ending, History, Request};

/// The promises that a history can break, in the order of the brief.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Promise {
    /// Every answer reflects one snapshot.
    Snapshot,
    /// Every answer states truly what it covers.
    Coverage,
    /// Each caller receives the whole answer to their own request.
    OwnAnswer,
    /// What is said not to have run did not run.
    NotRun,
    /// A write takes effect at most once, and what is done has an effect.
    AtMostOnce,
    /// No request is lost.
    NoLoss,
}

impl fmt::Display for Promise {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Snapshot => "snapshot",
            Self::Coverage => "coverage",
            Self::OwnAnswer => "own_answer",
            Self::NotRun => "not_run",
            Self::AtMostOnce => "at_most_once",
            Self::NoLoss => "no_loss",
        })
    }
}

/// A promise that was broken, and where.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Violation {
    /// The promise.
    pub promise: Promise,
    /// The request or key, and what is wrong with it.
    pub detail: String,
}

impl fmt::Display for Violation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.promise, self.detail)
    }
}

/// Checks a history and returns every violation.
pub fn check(history: &History) -> Vec<Violation> {
    let mut violations = Vec::new();
    for (number, request) in history.requests.iter().enumerate() {
        let mut report = |promise, detail: String| {
            let detail = format!("request {number} ({}) {detail}", request.service);
            violations.push(Violation { promise, detail });
        };
        check_request(request, &mut report);
    }
    violations.extend(check_writes(history));
    violations
}

fn check_request(request: &Request, report: &mut impl FnMut(Promise, String)) {
    if request.ending == Ending::Lost {
        report(Promise::NoLoss, format!("got no final answer from {}", request.entry));
    }
    let Some(answer) = &request.answer else {
        return;
    };
    let stamp = format!("v{}e{}", answer.version, answer.epoch);
    for found in answer.stamps.iter().filter(|found| ***found != *stamp) {
        report(Promise::Snapshot, format!("names {stamp} and holds {found}"));
    }
    if answer.complete != (answer.missing.is_empty() && answer.answered == answer.asked) {
        report(Promise::Coverage, "says complete against its own counts".to_owned());
    }
    if answer.answered + answer.missing.len() != answer.asked {
        report(Promise::Coverage, "does not name every shard that is missing".to_owned());
    }
    if answer.complete && answer.hits < answer.expected {
        let (hits, expected) = (answer.hits, answer.expected);
        report(Promise::Coverage, format!("says complete with {hits} of {expected} hits"));
    }
    if (request.ending == Ending::Complete) != answer.complete {
        report(Promise::Coverage, "was taken for what it does not say".to_owned());
    }
    if answer.foreign || answer.hits > answer.expected {
        report(Promise::OwnAnswer, "holds documents that were not asked for".to_owned());
    }
}

/// Counts the effects of each write key and compares them with what callers were told.
fn check_writes(history: &History) -> Vec<Violation> {
    let mut effects = HashMap::<&Name, usize>::new();
    let writes = history.effects.values().flatten().filter_map(|effect| match effect {
        Effect::Write { key, .. } => Some(key),
        Effect::Search { .. } => None,
    });
    for key in writes {
        *effects.entry(key).or_default() += 1;
    }
    let mut told = HashMap::<&Name, Vec<Ending>>::new();
    for request in &history.requests {
        if let Some(key) = &request.key {
            told.entry(key).or_default().push(request.ending);
        }
    }
    let mut violations = Vec::new();
    for (key, count) in &effects {
        if *count > 1 {
            let detail = format!("key {key} took effect {count} times");
            violations.push(Violation { promise: Promise::AtMostOnce, detail });
        }
    }
    for (key, endings) in told {
        let count = effects.get(key).copied().unwrap_or(0);
        if endings.contains(&Ending::Complete) && count == 0 {
            let detail = format!("key {key} is said to be done and had no effect");
            violations.push(Violation { promise: Promise::AtMostOnce, detail });
        }
        // A key may be tried again after "not run": then the last answer counts.
        if endings.last() == Some(&Ending::NotRun) && count > 0 {
            let detail = format!("key {key} is said not to have run and took effect");
            violations.push(Violation { promise: Promise::NotRun, detail });
        }
    }
    violations.sort_by(|a, b| (a.promise, &a.detail).cmp(&(b.promise, &b.detail)));
    violations
}

/// Counts the violations of a promise.
pub fn count(violations: &[Violation], promise: Promise) -> usize {
    violations.iter().filter(|violation| violation.promise == promise).count()
}
