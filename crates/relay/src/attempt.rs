//! A single attempt, run as its own task so that a race can abandon it.
//!
//! Invariant: an attempt is aborted as soon as nobody waits for it, which also cancels the work at
//! the searcher. Letting it finish would save the connection, but under load the losing attempts
//! are those with the longest queues, where a free slot is worth more than a connection.

use std::sync::Arc;
use std::time::Instant;

use tokio::sync::mpsc;
use tokio::task::JoinHandle;

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
    /// Whether no other searcher is running the request, so that a crash of this one can only be
    /// caused by it.
    pub(crate) trial: bool,
}

#[derive(Debug)]
pub(crate) struct Attempt {
    pub(crate) link: Arc<SearcherLink>,
    task: JoinHandle<()>,
}

impl Attempt {
    /// Starts an attempt that sends its result to `results`.
    pub(crate) fn start(
        relay: &Arc<Relay>,
        link: Arc<SearcherLink>,
        job: &Arc<Job>,
        limits: AttemptLimits,
        results: mpsc::UnboundedSender<AttemptResult>,
    ) -> Self {
        let (relay, job, target) = (Arc::clone(relay), Arc::clone(job), Arc::clone(&link));
        let task = tokio::spawn(async move {
            let mut outcome =
                exchange(&relay, &target, &job, limits.connect_by, limits.deadline).await;
            if let Err(error) = &mut outcome
                && error.connection_lost
            {
                error.searcher_ended =
                    relay.check_searcher_ended(&target, &job, limits.trial).await;
            }
            // The race may have finished in the meantime.
            let _ended = results.send((target, outcome));
        });
        Self { link, task }
    }
}

impl Drop for Attempt {
    fn drop(&mut self) {
        self.task.abort();
    }
}
