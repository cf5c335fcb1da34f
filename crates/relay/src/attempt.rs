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
use crate::suspects::inquire;

/// How an attempt ended, with the searcher that was asked.
pub(crate) type Outcome = (Arc<Link>, Result<Passed, Miss>);

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
        (offer, end): (Instant, Instant),
        results: mpsc::UnboundedSender<Outcome>,
    ) -> Self {
        let (relay, job, asked) = (Arc::clone(relay), Arc::clone(job), Arc::clone(&link));
        let task = tokio::spawn(async move {
            let outcome = exchange(&relay, &asked, &job, offer, end).await;
            if outcome.as_ref().is_err_and(|miss| miss.cut) {
                inquire(&asked, &job);
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
