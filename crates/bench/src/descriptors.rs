//! The descriptors that the clusters of one process share.
//!
//! Both ends of every connection are in this process, so a cluster at the size of the brief
//! takes some 4,000 descriptors once all of its connections are open. Tests start many clusters
//! at once; beyond the limit of the process every new connection fails, and none of them ever
//! becomes whole. Invariant: clusters that run at the same time may open all connections that
//! their searchers accept and stay below the limit, however slow the machine is.

use std::sync::{Arc, LazyLock};

use tokio::sync::{OwnedSemaphorePermit, Semaphore};

/// What the process needs besides: its binary, listeners, callers and standard streams.
const RESERVED: u64 = 500;

/// What is taken where the limit can't be read: the usual limit of a process.
const USUAL_LIMIT: u64 = 1024;

/// The descriptors of this process.
pub(crate) static DESCRIPTORS: LazyLock<Descriptors> = LazyLock::new(|| {
    let limit = rlimit::Resource::NOFILE.get_soft().unwrap_or_else(|error| {
        log::warn!("cluster: The limit of descriptors can't be read: {error}.");
        USUAL_LIMIT
    });
    Descriptors::new(limit)
});

/// A number of descriptors, of which clusters take a part each.
#[derive(Clone, Debug)]
pub struct Descriptors {
    free: Arc<Semaphore>,
    all: u32,
}

impl Descriptors {
    /// Shares out what a limit leaves.
    pub fn new(limit: u64) -> Self {
        let all = limit.saturating_sub(RESERVED).clamp(1, Semaphore::MAX_PERMITS as u64);
        let all = u32::try_from(all).unwrap_or(u32::MAX);
        Self { free: Arc::new(Semaphore::new(all as usize)), all }
    }

    /// Waits until so many are free, and keeps them until the permit is dropped.
    ///
    /// No cluster gets more than half, so that an experiment can run two side by side.
    pub async fn take(&self, wanted: usize) -> OwnedSemaphorePermit {
        let wanted = u32::try_from(wanted).unwrap_or(u32::MAX).min(self.all.div_ceil(2));
        let taken = Arc::clone(&self.free).acquire_many_owned(wanted).await;
        taken.expect("the semaphore is never closed")
    }

    /// Returns how many are free.
    pub fn free(&self) -> usize {
        self.free.available_permits()
    }
}
