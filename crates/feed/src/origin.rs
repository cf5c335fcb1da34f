//! Whom to ask for news: the store, or a member that reads it.
//!
//! A reader asks the store first and other readers while the store turns it away. A deputy
//! asks readers, and the store as soon as no reader can help, so that one region's readers may
//! all be turned away. Everyone else asks readers, those of its own region first, then
//! deputies, and the store last and rarely. Whoever failed is left alone for a while.
//! Invariant: while the store itself is down, the calls to it come from readers and deputies
//! and, rarely, from the others, however many members there are.

use std::collections::HashMap;
use std::net::Ipv4Addr;
use std::time::{Duration, Instant};

/// How long a member is left alone that did not answer.
///
/// Several questions in a row fit into it; shorter, two readers that are out of reach would be
/// asked in turns and the third never.
const SILENT_PAUSE: Duration = Duration::from_secs(6);

/// How long a member is left alone that answered that it knows nothing newer itself.
///
/// Such an answer takes a round trip, and the reader may be served again at any moment.
const STALE_PAUSE: Duration = Duration::from_millis(500);

/// How long a reader leaves the store alone after a first failure.
const STORE_PAUSE: Duration = Duration::from_millis(200);

/// How long a reader leaves the store alone after many failures: news must be in force
/// within 3 s, once the store has been back for some seconds.
const LONGEST_STORE_PAUSE: Duration = Duration::from_millis(1500);

/// How many times as long the others leave the store alone: there may be many of them, and
/// the readers will hear of its return.
const OTHERS_FACTOR: f64 = 2.5;

/// Who can be asked.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Origin {
    /// The store itself.
    Store,
    /// A member that reads the store.
    Member(Ipv4Addr),
}

/// Why an origin could not help.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Failure {
    /// It did not answer, or turned the question away.
    Silent,
    /// It answered that it knows nothing newer itself.
    Stale,
}

/// What a member does for the others' news.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Duty {
    /// It reads the store.
    Reader,
    /// It reads the store while no reader can.
    Deputy,
    /// It asks the others.
    Follower,
}

/// Who can be asked, and who is left alone.
#[derive(Clone, Debug, Default)]
pub struct Origins {
    paused: HashMap<Origin, Instant>,
    store_failures: u32,
}

impl Origins {
    /// Chooses whom to ask, or says until when there is nobody.
    ///
    /// `readers` are the others that read the store, the preferred first.
    pub fn pick(&self, now: Instant, duty: Duty, readers: &[Ipv4Addr]) -> Result<Origin, Instant> {
        let store = std::iter::once(Origin::Store);
        let members = readers.iter().map(|ip| Origin::Member(*ip));
        let order: Vec<Origin> = if duty == Duty::Reader {
            store.chain(members).collect()
        } else {
            members.chain(store).collect()
        };
        let until = |origin: &Origin| self.paused.get(origin).copied().unwrap_or(now);
        match order.iter().find(|origin| until(origin) <= now) {
            Some(origin) => Ok(*origin),
            None => Err(order.iter().map(until).min().unwrap_or(now)),
        }
    }

    /// Tells whether the store failed when it was last asked.
    pub fn doubts_store(&self) -> bool {
        self.store_failures > 0
    }

    /// Notes that an origin helped.
    pub fn succeed(&mut self, origin: Origin) {
        self.paused.remove(&origin);
        if origin == Origin::Store {
            self.store_failures = 0;
        }
    }

    /// Notes that an origin could not help; `jitter` from 0 to 1 spreads the next tries.
    pub fn fail(
        &mut self,
        (origin, failure): (Origin, Failure),
        now: Instant,
        duty: Duty,
        jitter: f64,
    ) {
        let pause = match origin {
            Origin::Member(_) if failure == Failure::Stale => STALE_PAUSE,
            Origin::Member(_) => SILENT_PAUSE,
            Origin::Store => {
                let doubled = STORE_PAUSE * 2_u32.pow(self.store_failures.min(8));
                self.store_failures = self.store_failures.saturating_add(1);
                match duty {
                    Duty::Follower => LONGEST_STORE_PAUSE.mul_f64(OTHERS_FACTOR),
                    Duty::Reader | Duty::Deputy => doubled.min(LONGEST_STORE_PAUSE),
                }
            }
        };
        self.paused.insert(origin, now + pause.mul_f64(0.6 + 0.4 * jitter));
    }
}
