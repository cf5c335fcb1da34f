//! Whether the requests of a pool wait for each other.
//!
//! Searchers that are slow make requests late however few run at once. A limit helps only while
//! requests wait for slots. Invariant: a pool whose requests find free slots is not limited further.

/// The weight of a new sample in the share of congested requests: about five of them decide, so that
/// the limit follows within a fraction of a second.
const WEIGHT: f64 = 0.2;

/// The share of congested requests from which fewer should run at once.
const LIKELY: f64 = 0.5;

/// The share of recent requests that met too many busy searchers.
#[derive(Clone, Debug, Default)]
pub(crate) struct Congestion {
    share: f64,
}

impl Congestion {
    /// Records whether a request met too many busy searchers ([`crate::Coverage::is_congested`]).
    pub(crate) fn record(&mut self, is_congested: bool) {
        let sample = f64::from(u8::from(is_congested));
        self.share += (sample - self.share) * WEIGHT;
    }

    /// Returns whether requests are late because they wait for each other.
    pub(crate) fn is_likely(&self) -> bool {
        self.share >= LIKELY
    }
}
