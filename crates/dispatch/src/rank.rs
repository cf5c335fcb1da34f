//! The choice of the searcher of a service that is tried next.
//!
//! The searcher with the lowest expected latency is chosen. The expected latency is increased by a
//! small random amount, so that members with the same information don't all choose the same
//! searcher. Invariant: a candidate whose entry is missing from the registry is chosen only if there
//! is no other, since it may be shutting down.

use std::time::Duration;

use bergamot_policy::Spread;

/// How far a searcher is from this member.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Distance {
    /// In the same availability zone.
    Zone,
    /// In another availability zone of the same region.
    Region,
    /// In another region.
    Far,
}

impl Distance {
    /// Returns the distance between two locations, each a zone and its region.
    pub fn between(here: (&str, Option<&str>), there: (&str, Option<&str>)) -> Self {
        match (here, there) {
            _ if here.0 == there.0 => Self::Zone,
            ((_, Some(a)), (_, Some(b))) if a == b => Self::Region,
            _ => Self::Far,
        }
    }

    /// Returns the initial latency estimate of a searcher without observations: 10 ms of work plus
    /// the round-trip time, or if that is unknown, 3 ms between zones and 16 ms between regions.
    pub fn initial_latency(self, round_trip: Option<Duration>) -> Duration {
        Duration::from_millis(10) + self.round_trip(round_trip)
    }

    /// Returns the measured round-trip time, or if that is unknown, the assumed one.
    pub fn round_trip(self, measured: Option<Duration>) -> Duration {
        let assumed = Duration::from_millis(match self {
            Self::Zone => 0,
            Self::Region => 3,
            Self::Far => 16,
        });
        measured.unwrap_or(assumed)
    }
}

/// A searcher that a request could be sent to.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Candidate<T> {
    /// The searcher.
    pub searcher: T,
    /// Whether its entry is currently missing from the registry.
    pub missing: bool,
    /// The expected latency, in milliseconds.
    pub expected: f64,
}

/// Returns the best candidate; `draw` returns random numbers from 0 to 1.
pub fn best<T>(
    candidates: impl IntoIterator<Item = Candidate<T>>,
    policy: &Spread,
    mut draw: impl FnMut() -> f64,
) -> Option<T> {
    let jitter = if policy.on { policy.part } else { 0.0 };
    let with_jitter = candidates.into_iter().map(|candidate| {
        let expected = candidate.expected * (1.0 + jitter * draw());
        Candidate { expected, ..candidate }
    });
    let best = with_jitter
        .min_by(|a, b| a.missing.cmp(&b.missing).then_with(|| a.expected.total_cmp(&b.expected)));
    best.map(|candidate| candidate.searcher)
}
