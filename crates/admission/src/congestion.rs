//! Whether the requests of a pool wait for each other.
//!
//! Searchers that are slow make requests late however few run at once. A limit helps only while
//! requests wait for slots. Invariant: a pool whose requests find free slots is not limited further.

/// The weight of a new sample in the share of requests that were queued.
const WEIGHT: f64 = 0.2;

/// The share of requests that were queued from which fewer should run at once.
const LIKELY: f64 = 0.5;

/// The share of recent requests that found no free slot at too many searchers.
#[derive(Clone, Debug, Default)]
pub(crate) struct Congestion {
    queued: f64,
}

impl Congestion {
    /// Records whether a request was queued.
    pub(crate) fn record(&mut self, queued: bool) {
        let sample = f64::from(u8::from(queued));
        self.queued += (sample - self.queued) * WEIGHT;
    }

    /// Returns whether requests are late because they wait for each other.
    pub(crate) fn is_likely(&self) -> bool {
        self.queued >= LIKELY
    }
}
