//! Summary of the failures of one request, logged when it ends.
//!
//! A gathered request asks hundreds of searchers. With one line for each failed attempt and each
//! shard left out, a single member wrote 130 lines a second while searchers crashed. Invariant: a
//! request adds at most three lines regardless of its number of shards; each gives the counts by
//! type and the first few cases in detail.

use std::collections::BTreeMap;
use std::fmt::Write as _;
use std::sync::{Mutex, MutexGuard, PoisonError};

use bergamot_base::Name;
use bergamot_dispatch::Ending;
use bergamot_placement::WithheldCounts;
use bergamot_registry::{Incarnation, Upstream};
use hyper::StatusCode;
use hyper::header::HeaderValue;

use crate::race::TriedSearcher;

/// The number of cases of each group that are logged in detail.
const MAX_EXAMPLES: usize = 3;

/// One group of failures: the count of each variant, and details of the first cases.
#[derive(Debug, Default)]
struct FailureGroup {
    variants: BTreeMap<String, usize>,
    first: Vec<String>,
    searchers: Vec<String>,
}

impl FailureGroup {
    fn note(&mut self, variant: String, details: impl FnOnce() -> String) -> bool {
        *self.variants.entry(variant).or_default() += 1;
        let is_first = self.first.len() < MAX_EXAMPLES;
        if is_first {
            self.first.push(details());
        }
        is_first
    }

    /// Returns the fields of the log line, or `None` if nothing was recorded.
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

/// The failures of one request.
#[derive(Debug, Default)]
pub(crate) struct FailureLog {
    responses: Mutex<FailureGroup>,
    failed: Mutex<FailureGroup>,
    left_out: Mutex<FailureGroup>,
}

impl FailureLog {
    /// Records a complete response other than a signed 200, and what it was taken for.
    pub(crate) fn record_response(&self, upstream: &Upstream, status: StatusCode, verdict: &str) {
        let (searcher, mut responses) = (&upstream.incarnation, lock(&self.responses));
        let variant = format!("{} {verdict}", status.as_u16());
        if responses.note(variant, || format!("{} {searcher}", upstream.service)) {
            responses.searchers.push(searcher.to_string());
        }
    }

    /// Records a failed attempt.
    pub(crate) fn record_attempt(
        &self,
        service: &Name,
        searcher: &Incarnation,
        ending: Ending,
        cause: &str,
    ) {
        let mut failed = lock(&self.failed);
        let details = || format!("{service} {searcher} {ending:?}: {}", cause.replace('"', "'"));
        if failed.note(format!("{ending:?}"), details) {
            failed.searchers.push(searcher.to_string());
        }
    }

    /// Records a shard missing from the response, the searchers asked for it, and whether the limit
    /// on additional attempts prevented asking another.
    pub(crate) fn record_left_out(&self, service: &Name, tried: &[TriedSearcher], denied: bool) {
        let mut left_out = lock(&self.left_out);
        let names: Vec<String> = tried.iter().map(ToString::to_string).collect();
        let details = || format!("{service} {}", names.join("/"));
        if left_out.note(describe(tried, denied), details) {
            left_out.searchers.extend(names.into_iter().filter(|name| !name.is_empty()));
        }
    }

    /// Records a shard or service for which no searcher was asked, because all were withheld.
    pub(crate) fn record_withheld(&self, service: &Name, withheld: &WithheldCounts) {
        lock(&self.left_out).note(format!("withheld: {withheld}"), || service.to_string());
    }

    /// Records a shard that was not queried, since it was expected to answer too late.
    pub(crate) fn record_too_slow(&self, service: &Name, expected_ms: f64) {
        let details = || format!("{service} expected_ms {expected_ms:.0}");
        lock(&self.left_out).note("not queried, too slow".to_owned(), details);
    }

    /// Logs the summary of a request.
    pub(crate) fn log(&self, request: &HeaderValue) {
        for (event, group) in [
            ("responses_not_ok", &self.responses),
            ("attempts_failed", &self.failed),
            ("shards_left_out", &self.left_out),
        ] {
            if let Some(line) = lock(group).line() {
                log::info!("relay: event={event} request={request:?} {line}");
            }
        }
    }
}

/// Describes the attempts for a shard that was left out.
fn describe(tried: &[TriedSearcher], denied: bool) -> String {
    let members = tried.iter().filter(|tried| matches!(tried, TriedSearcher::Unidentified)).count();
    let mut text = format!("{} searchers", tried.len() - members);
    if members > 0 {
        // Writing to a string can't fail.
        let _ = write!(text, ", {members} through a silent member");
    }
    if denied {
        text.push_str(", another was denied");
    }
    text
}

fn lock(group: &Mutex<FailureGroup>) -> MutexGuard<'_, FailureGroup> {
    group.lock().unwrap_or_else(PoisonError::into_inner)
}
