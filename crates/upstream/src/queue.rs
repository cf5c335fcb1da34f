//! Requests that wait for a slot of a searcher, and the slots in use.

use std::sync::Arc;
use std::time::{Duration, Instant};

use bergamot_query::Reason;
use tokio::sync::oneshot;

use crate::client::{Client, SearcherError};

/// A slot that is in use until this is dropped.
pub(crate) struct Slot {
    pub(crate) client: Arc<Client>,
    /// The service time that the response shows, if any.
    pub(crate) took: Option<Duration>,
}

impl Drop for Slot {
    fn drop(&mut self) {
        release_slot(&self.client, self.took);
    }
}

/// Releases a slot and passes it to the first waiter whose request still exists.
fn release_slot(client: &Client, mut took: Option<Duration>) {
    loop {
        let next = client.slots().release(Instant::now(), took.take());
        let Some(waiter) = next else { return };
        if waiter.send(()).is_ok() {
            return;
        }
    }
}

/// A queued request. If it is dropped, it leaves the queue; if a slot was granted to it before, the
/// slot passes to the next waiter.
pub(crate) struct QueuedRequest<'a> {
    pub(crate) client: &'a Arc<Client>,
    pub(crate) receiver: Option<oneshot::Receiver<()>>,
}

impl QueuedRequest<'_> {
    pub(crate) async fn slot(mut self) -> Result<Slot, SearcherError> {
        let receiver = self.receiver.as_mut().expect("a waiter holds its receiver");
        let granted = receiver.await;
        self.receiver = None;
        match granted {
            Ok(()) => Ok(Slot { client: Arc::clone(self.client), took: None }),
            Err(_closed) => {
                Err(self.client.fault("wait for a slot", "deadline").with_reason(Reason::Deadline))
            }
        }
    }
}

impl Drop for QueuedRequest<'_> {
    fn drop(&mut self) {
        let Some(mut receiver) = self.receiver.take() else {
            return;
        };
        receiver.close();
        if receiver.try_recv().is_ok() {
            release_slot(self.client, None);
        } else {
            self.client.slots().retain(|waiter| !waiter.is_closed());
        }
    }
}
