//! An attempt that goes on by itself, so that a race can lose interest in it.
//!
//! Invariant: an attempt that nobody waits for any more is cut at once, and with it the
//! searcher's work. Letting it end would save its connection, but under load the attempts
//! that lose are those at the longest queues: there a slot is dearer than a connection.

use std::sync::Arc;
use std::time::Instant;

use tokio::sync::mpsc;
use tokio::task::JoinHandle;

use crate::exchange::{Miss, exchange};
use crate::link::Link;
use crate::message::{Job, Passed};
use crate::relay::Relay;

/// How an attempt ended, with the searcher that was asked.
pub(crate) type Outcome = (Arc<Link>, Result<Passed, Miss>);

/// What is decided of an attempt before it starts.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Terms {
    /// By when a connection must have been found.
    pub(crate) offer: Instant,
    /// When the answer is of no use any more.
    pub(crate) end: Instant,
    /// Whether the request is with no other searcher, so that it alone can have ended this one.
    pub(crate) trial: bool,
}

/// A running attempt.
#[derive(Debug)]
pub(crate) struct Attempt {
    pub(crate) link: Arc<Link>,
    task: JoinHandle<()>,
}

impl Attempt {
    /// Starts an attempt, whose outcome goes to `results`.
    pub(crate) fn start(
        relay: &Arc<Relay>,
        link: Arc<Link>,
        job: &Arc<Job>,
        terms: Terms,
        results: mpsc::UnboundedSender<Outcome>,
    ) -> Self {
        let (relay, job, asked) = (Arc::clone(relay), Arc::clone(job), Arc::clone(&link));
        let task = tokio::spawn(async move {
            let mut outcome = exchange(&relay, &asked, &job, terms.offer, terms.end).await;
            if let Err(miss) = &mut outcome
                && miss.cut
            {
                miss.ended = relay.inquire(&asked, &job, terms.trial).await;
            }
            // The race may have ended in the same moment.
            let _ended = results.send((asked, outcome));
        });
        Self { link, task }
    }
}

impl Drop for Attempt {
    fn drop(&mut self) {
        self.task.abort();
    }
}
