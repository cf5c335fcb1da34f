//! The attempts for one request at the searchers of one service.
//!
//! Invariant: an attempt is aborted as soon as nobody waits for it, which also cancels the work at
//! the searcher. Letting it finish would save the connection, but under load the losing attempts
//! are those with the longest queues, where a free slot is worth more than a connection.

use std::future::poll_fn;
use std::sync::Arc;
use std::task::Poll;
use std::time::Instant;

use futures::future::BoxFuture;

use crate::exchange::{AttemptError, exchange};
use crate::link::SearcherLink;
use crate::message::{Job, SearcherResponse};
use crate::relay::Relay;

/// The searcher that was asked, and how the attempt ended.
pub(crate) type AttemptResult = (Arc<SearcherLink>, Result<SearcherResponse, AttemptError>);

/// Limits of an attempt, fixed before it starts.
#[derive(Clone, Copy, Debug)]
pub(crate) struct AttemptLimits {
    /// The time by which a connection must be available.
    pub(crate) connect_by: Instant,
    /// The time after which the response is no longer useful.
    pub(crate) deadline: Instant,
    /// Whether an earlier attempt got bytes that could not be read as the response. All searchers of
    /// a service may be in the same trouble, so this one is made on a new connection.
    pub(crate) is_after_fault: bool,
    /// Whether no other searcher is running the request, so that a crash of this one can only be
    /// caused by it.
    pub(crate) trial: bool,
}

/// Makes one attempt.
pub(crate) async fn attempt(
    relay: &Arc<Relay>,
    link: Arc<SearcherLink>,
    job: &Arc<Job>,
    limits: AttemptLimits,
) -> AttemptResult {
    let mut outcome = exchange(relay, &link, job, limits).await;
    if let Err(error) = &mut outcome
        && error.connection_lost
    {
        error.searcher_ended = relay.check_searcher_ended(&link, job, limits.trial).await;
    }
    (link, outcome)
}

/// The running attempts, of which there are two or three at most.
#[derive(Default)]
pub(crate) struct Attempts<'a>(Vec<BoxFuture<'a, AttemptResult>>);

impl<'a> Attempts<'a> {
    /// Starts an attempt.
    pub(crate) fn start(
        &mut self,
        relay: &'a Arc<Relay>,
        link: Arc<SearcherLink>,
        job: &'a Arc<Job>,
        limits: AttemptLimits,
    ) {
        self.0.push(Box::pin(attempt(relay, link, job, limits)));
    }

    /// Returns whether none is running.
    pub(crate) fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    /// Waits for the next attempt to end; never returns if none is running.
    pub(crate) async fn next(&mut self) -> AttemptResult {
        poll_fn(|context| {
            for index in 0..self.0.len() {
                if let Poll::Ready(result) = self.0[index].as_mut().poll(context) {
                    drop(self.0.swap_remove(index));
                    return Poll::Ready(result);
                }
            }
            Poll::Pending
        })
        .await
    }
}
