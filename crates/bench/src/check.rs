//! Checks the invariants of the system against a history.
//!
//! The checker does not rely on what daemons report: it determines snapshots from the stamps in
//! the documents, coverage from the number of documents, and effects from the records of
//! the searchers. `tests/filetests/` has a handwritten history that violates each rule.

use std::collections::HashMap;
use std::fmt;

use bergamot_base::Name;
use bergamot_standin::Effect;

use crate::history::{Ending, History, Request};

/// The invariants that a history can violate, in the order of the requirements.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Invariant {
    /// Every answer reflects one snapshot.
    Snapshot,
    /// Every answer states its coverage correctly.
    Coverage,
    /// Each caller receives the complete answer to its own request, and nothing else.
    OwnAnswer,
    /// A write reported as not executed had no effect.
    NotRun,
    /// A write takes effect at most once, and a write reported as done took effect.
    AtMostOnce,
    /// Every request gets a final answer.
    NoLoss,
}

impl fmt::Display for Invariant {
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

/// A violated invariant.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Violation {
    /// The invariant.
    pub invariant: Invariant,
    /// The request or idempotency key, and how it violates the invariant.
    pub detail: String,
}

impl fmt::Display for Violation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.invariant, self.detail)
    }
}

/// Checks a history and returns every violation.
pub fn check(history: &History) -> Vec<Violation> {
    let mut violations = Vec::new();
    for (number, request) in history.requests.iter().enumerate() {
        let mut report = |invariant, detail: String| {
            let detail = format!("request {number} ({}) {detail}", request.service);
            violations.push(Violation { invariant, detail });
        };
        check_request(request, &mut report);
    }
    violations.extend(check_writes(history));
    violations
}

fn check_request(request: &Request, report: &mut impl FnMut(Invariant, String)) {
    if request.ending == Ending::Lost {
        report(Invariant::NoLoss, format!("got no final answer from {}", request.entry));
    }
    let Some(answer) = &request.answer else {
        return;
    };
    let stamp = format!("v{}e{}", answer.version, answer.epoch);
    for found in answer.stamps.iter().filter(|found| ***found != *stamp) {
        report(Invariant::Snapshot, format!("states {stamp} but contains hits of {found}"));
    }
    if answer.complete != (answer.missing.is_empty() && answer.answered == answer.asked) {
        let marked = if answer.complete { "complete" } else { "partial" };
        let (answered, asked, missing) = (answer.answered, answer.asked, answer.missing.len());
        let detail = format!(
            "is marked {marked} with {answered} of {asked} shards answered and {missing} listed as missing"
        );
        report(Invariant::Coverage, detail);
    }
    if answer.answered + answer.missing.len() != answer.asked {
        report(Invariant::Coverage, "does not list every missing shard".to_owned());
    }
    if answer.complete && answer.hits < answer.expected {
        let (hits, expected) = (answer.hits, answer.expected);
        report(Invariant::Coverage, format!("is marked complete with {hits} of {expected} hits"));
    }
    if (request.ending == Ending::Complete) != answer.complete {
        let marked = if answer.complete { "complete" } else { "partial" };
        let detail = format!("is marked {marked} but was recorded as {:?}", request.ending);
        report(Invariant::Coverage, detail);
    }
    if answer.foreign || answer.hits > answer.expected {
        report(
            Invariant::OwnAnswer,
            "contains documents that were not requested, or duplicates".to_owned(),
        );
    }
}

/// Compares the number of effects of each idempotency key with the reported outcomes.
fn check_writes(history: &History) -> Vec<Violation> {
    let mut effects = HashMap::<&Name, usize>::new();
    let writes = history.effects.values().flatten().filter_map(|effect| match effect {
        Effect::Write { key, .. } => Some(key),
        Effect::Search { .. } => None,
    });
    for key in writes {
        *effects.entry(key).or_default() += 1;
    }
    let mut reported = HashMap::<&Name, Vec<Ending>>::new();
    for request in &history.requests {
        if let Some(key) = &request.key {
            reported.entry(key).or_default().push(request.ending);
        }
    }
    let mut violations = Vec::new();
    for (key, count) in &effects {
        if *count > 1 {
            let detail = format!("key {key} took effect {count} times");
            violations.push(Violation { invariant: Invariant::AtMostOnce, detail });
        }
    }
    for (key, endings) in reported {
        let count = effects.get(key).copied().unwrap_or(0);
        if endings.contains(&Ending::Complete) && count == 0 {
            let detail = format!("key {key} was reported as done but had no effect");
            violations.push(Violation { invariant: Invariant::AtMostOnce, detail });
        }
        // A key may be retried after "not run", so only the last outcome counts.
        if endings.last() == Some(&Ending::NotRun) && count > 0 {
            let detail = format!("key {key} was reported as not executed but took effect");
            violations.push(Violation { invariant: Invariant::NotRun, detail });
        }
    }
    violations.sort_by(|a, b| (a.invariant, &a.detail).cmp(&(b.invariant, &b.detail)));
    violations
}

/// Counts the violations of an invariant.
pub fn count(violations: &[Violation], invariant: Invariant) -> usize {
    violations.iter().filter(|violation| violation.invariant == invariant).count()
}
