//! An attempt that goes on by itself, so that a race can lose interest in it.
//!
//! Invariant: an attempt whose race is dropped before the caller has an answer is cut at
//! once; one whose caller has an answer may end in peace for a while, so that its
//! connection can be used again.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

use tokio::sync::{mpsc, oneshot};

use crate::exchange::{Miss, exchange};
use crate::link::Link;
use crate::message::{Job, Passed};
use crate::relay::Relay;

/// How an attempt ended, with the searcher that was asked.
pub(crate) type Outcome = (Arc<Link>, Result<Passed, Miss>);

/// A running attempt.
#[derive(Debug)]
pub(crate) struct Attempt {
    pub(crate) link: Arc<Link>,
    job: Arc<Job>,
    grace: Duration,
    release: Option<oneshot::Sender<Duration>>,
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
        let (release, released) = oneshot::channel();
        let task = run(
            Arc::clone(relay),
            Arc::clone(&link),
            Arc::clone(job),
            (offer, end),
            released,
            results,
        );
        tokio::spawn(task);
        Self { link, job: Arc::clone(job), grace: relay.settings().grace, release: Some(release) }
    }
}

impl Drop for Attempt {
    fn drop(&mut self) {
        if self.job.answered.load(Ordering::Relaxed)
            && let Some(release) = self.release.take()
        {
            // The attempt may have ended by itself; then nobody listens any more.
            let _ended = release.send(self.grace);
        }
    }
}

async fn run(
    relay: Arc<Relay>,
    link: Arc<Link>,
    job: Arc<Job>,
    (offer, end): (Instant, Instant),
    released: oneshot::Receiver<Duration>,
    results: mpsc::UnboundedSender<Outcome>,
) {
    let exchange = exchange(&relay, &link, &job, offer, end);
    let mut exchange = std::pin::pin!(exchange);
    let outcome = tokio::select! {
        biased;
        outcome = &mut exchange => outcome,
        grace = released => {
            if let Ok(grace) = grace {
                // Its answer is of no use; only the connection is.
                let _outcome = tokio::time::timeout(grace, exchange).await;
            }
            return;
        }
    };
    // The race may have ended in the same moment.
    let _ended = results.send((Arc::clone(&link), outcome));
}
