//! The budget of file descriptors shared by the clusters of one process.
//!
//! Both ends of every connection are in this process, so a full-size cluster takes some 4,000
//! descriptors once all of its connections are open. Tests start many clusters at once; beyond
//! the limit of the process every new connection fails, and no cluster ever becomes fully
//! connected. Invariant: clusters that run concurrently can open all connections that their
//! searchers accept and stay below the limit, however slow the machine is.

use std::sync::{Arc, LazyLock};

use tokio::sync::{OwnedSemaphorePermit, Semaphore};

/// Descriptors for everything else: the binary, listeners, callers and standard streams.
const RESERVED: u64 = 500;

/// The assumed limit if it can't be read: the usual default of a process.
const DEFAULT_LIMIT: u64 = 1024;

/// The descriptor budget of this process.
pub(crate) static DESCRIPTORS: LazyLock<Descriptors> = LazyLock::new(|| {
    let limit = rlimit::Resource::NOFILE.get_soft().unwrap_or_else(|error| {
        log::warn!(
            "cluster: cannot read the limit of open files, assuming {DEFAULT_LIMIT}: {error}"
        );
        DEFAULT_LIMIT
    });
    Descriptors::new(limit)
});

/// A budget of descriptors.
#[derive(Clone, Debug)]
pub struct Descriptors {
    available: Arc<Semaphore>,
    total: u32,
}

impl Descriptors {
    /// Creates a budget from the limit of the process, less the reserve.
    pub fn new(limit: u64) -> Self {
        let total = limit.saturating_sub(RESERVED).clamp(1, Semaphore::MAX_PERMITS as u64);
        let total = u32::try_from(total).unwrap_or(u32::MAX);
        Self { available: Arc::new(Semaphore::new(total as usize)), total }
    }

    /// Waits until the descriptors are available and holds them until the permit is dropped.
    ///
    /// A request is capped at half the budget, so that an experiment can run two clusters
    /// side by side.
    pub async fn acquire(&self, wanted: usize) -> OwnedSemaphorePermit {
        let wanted = u32::try_from(wanted).unwrap_or(u32::MAX).min(self.total.div_ceil(2));
        let permit = Arc::clone(&self.available).acquire_many_owned(wanted).await;
        permit.expect("the semaphore is never closed")
    }

    /// Returns the number of available descriptors.
    pub fn available(&self) -> usize {
        self.available.available_permits()
    }
}
