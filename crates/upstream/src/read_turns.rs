//! The turns in which large answers are read.
//!
//! A socket to a searcher that sends without end is always readable. If many are, each step of any
//! other task on the thread waits for a read of each of them, and a new connection takes several
//! steps. Invariant: beyond the first [`ORDINARY_BYTES`] of each answer, the reads take turns, and the
//! next turn begins after all tasks that were ready have run and the sockets were polled, as far
//! as the runtime polls them. See `docs/design/0020-answers-of-searchers.md`.

use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll, ready};

use tokio::sync::{AcquireError, OwnedSemaphorePermit, Semaphore};

/// The size up to which an answer is read without waiting for a turn, in bytes: the first reads of a
/// connection, whose buffer grows with them.
const ORDINARY_BYTES: usize = 16 << 10;

/// The turns of all connections of a process.
#[derive(Clone, Debug)]
pub struct ReadTurns(Arc<Semaphore>);

impl Default for ReadTurns {
    fn default() -> Self {
        Self(Arc::new(Semaphore::new(1)))
    }
}

/// The permission to read once. Dropping it gives the turn to the answer that has waited longest.
#[derive(Debug)]
pub(crate) struct Turn {
    _permit: OwnedSemaphorePermit,
}

impl Turn {
    /// Ends the turn after the tasks that are ready now have run.
    pub(crate) fn end_after_ready_tasks(self) {
        tokio::spawn(async move {
            tokio::task::yield_now().await;
            drop(self);
        });
    }
}

type Acquisition = Pin<Box<dyn Future<Output = Result<OwnedSemaphorePermit, AcquireError>> + Send>>;

/// The part of one connection in the turns.
pub(crate) struct Reader {
    turns: ReadTurns,
    /// The size of the answer so far, with everything else since its request was sent, in bytes.
    received: usize,
    /// The wait for a turn, if there is one.
    acquisition: Option<Acquisition>,
}

impl Reader {
    pub(crate) fn new(turns: ReadTurns) -> Self {
        Self { turns, received: 0, acquisition: None }
    }

    /// Records that a request is sent, whose answer comes next.
    pub(crate) fn begin_answer(&mut self, cx: &mut Context<'_>) {
        self.received = 0;
        // A turn that was granted and is not used would keep all others waiting. The task reads
        // without one now, and has asked for no other notification.
        if self.acquisition.take().is_some() {
            cx.waker().wake_by_ref();
        }
    }

    /// Records the size of a read.
    pub(crate) fn record(&mut self, bytes: usize) {
        self.received += bytes;
    }

    /// Waits for the next turn, if the answer is large.
    pub(crate) fn poll_turn(&mut self, cx: &mut Context<'_>) -> Poll<Option<Turn>> {
        if self.received < ORDINARY_BYTES {
            return Poll::Ready(None);
        }
        let semaphore = &self.turns.0;
        let acquisition = match &mut self.acquisition {
            Some(acquisition) => acquisition,
            None => match Arc::clone(semaphore).try_acquire_owned() {
                Ok(permit) => return Poll::Ready(Some(Turn { _permit: permit })),
                Err(_taken) => {
                    self.acquisition.insert(Box::pin(Arc::clone(semaphore).acquire_owned()))
                }
            },
        };
        let granted = ready!(acquisition.as_mut().poll(cx));
        self.acquisition = None;
        Poll::Ready(granted.ok().map(|permit| Turn { _permit: permit }))
    }
}
