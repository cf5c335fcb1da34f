//! What went wrong for one request, told in two lines at its end.
//!
//! A gathered request asks hundreds of searchers. Told one by one, its failed attempts and the
//! shards that its answer leaves out were 130 lines a second at one member while searchers
//! crashed. Invariant: a request adds at most two lines, however many shards it has; each names
//! how much of what happened, and to whom first.

use std::collections::BTreeMap;
use std::fmt::Write as _;
use std::sync::{Mutex, MutexGuard, PoisonError};

use bergamot_base::Name;
use bergamot_dispatch::Ending;
use bergamot_registry::Incarnation;
use hyper::header::HeaderValue;

use crate::race::Tried;

/// How many of each kind are told in full.
const FEW: usize = 3;

/// Things of one kind: how often each variant happened, and the first of them in full.
#[derive(Debug, Default)]
struct Kind {
    variants: BTreeMap<String, usize>,
    first: Vec<String>,
    searchers: Vec<String>,
}

impl Kind {
    fn note(&mut self, variant: String, full: impl FnOnce() -> String) -> bool {
        *self.variants.entry(variant).or_default() += 1;
        let is_first = self.first.len() < FEW;
        if is_first {
            self.first.push(full());
        }
        is_first
    }

    /// Returns the rest of a line, or nothing if nothing happened.
    fn line(&self) -> Option<String> {
        let count: usize = self.variants.values().sum();
        let variants = self.variants.iter().map(|(variant, count)| format!("{variant}={count}"));
        let variants = variants.collect::<Vec<_>>().join("; ");
        let (first, searchers) = (self.first.join("; "), self.searchers.join(","));
        (count > 0).then(|| {
            format!("count={count} how=\"{variants}\" first=\"{first}\" searchers={searchers}")
        })
    }
}

/// What went wrong for one request.
#[derive(Debug, Default)]
pub(crate) struct Trouble {
    failed: Mutex<Kind>,
    left_out: Mutex<Kind>,
}

impl Trouble {
    /// Notes an attempt that failed.
    pub(crate) fn fail(&self, service: &Name, searcher: &Incarnation, ending: Ending, cause: &str) {
        let mut failed = lock(&self.failed);
        let full = || format!("{service} {searcher} {ending:?}: {}", cause.replace('"', "'"));
        if failed.note(format!("{ending:?}"), full) {
            failed.searchers.push(searcher.to_string());
        }
    }

    /// Notes a shard that the answer leaves out, whom it waited for, and whether the bound on
    /// additional attempts kept it from asking another.
    pub(crate) fn leave_out(&self, service: &Name, tried: &[Tried], denied: bool) {
        let mut left_out = lock(&self.left_out);
        let names: Vec<String> = tried.iter().map(ToString::to_string).collect();
        let full = || format!("{service} {}", names.join("/"));
        if left_out.note(describe(tried, denied), full) {
            left_out.searchers.extend(names.into_iter().filter(|name| !name.is_empty()));
        }
    }

    /// Writes the lines of a request.
    pub(crate) fn log(&self, request: &HeaderValue) {
        for (event, kind) in
            [("attempts_failed", &self.failed), ("shards_left_out", &self.left_out)]
        {
            if let Some(line) = lock(kind).line() {
                log::info!("relay: event={event} request={request:?} {line}");
            }
        }
    }
}

/// Describes what was tried for a shard that was left out.
fn describe(tried: &[Tried], denied: bool) -> String {
    let members = tried.iter().filter(|tried| matches!(tried, Tried::Unnamed)).count();
    let mut text = format!("{} searchers", tried.len() - members);
    if members > 0 {
        // Writing into a string can't fail.
        let _ = write!(text, ", {members} through a silent member");
    }
    if denied {
        text.push_str(", another was denied");
    }
    text
}

fn lock(kind: &Mutex<Kind>) -> MutexGuard<'_, Kind> {
    kind.lock().unwrap_or_else(PoisonError::into_inner)
}
