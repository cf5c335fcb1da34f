//! Whom to ask for news: the store, or a member that reads it.
//!
//! A reader asks the store first and other readers while the store turns it away. A deputy
//! asks readers, and the store as soon as no reader can help, so that one region's readers may
//! all be turned away. Everyone else asks readers, those of its own region first, then
//! deputies, then whoever says that it knows the newest, and the store last and rarely: the
//! first of them that the store serves tells the others, who find it by what it says.
//! Whoever failed is left alone for a while. Invariant: while the store itself is down, the
//! calls to it come from readers and deputies and, [`OTHERS_PER_S`] a second, from all the
//! others together, however many members there are.

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

/// How long a member is left alone that has never heard of the store itself: it has just
/// started, as all the others have, and hears of it within some tenths of a second.
const UNHEARD_PAUSE: Duration = Duration::from_millis(100);

/// How long a reader leaves the store alone after a first failure.
const STORE_PAUSE: Duration = Duration::from_millis(200);

/// How long a reader leaves the store alone after many failures: news must be in force
/// within 3 s, once the store has been back for some seconds.
const LONGEST_STORE_PAUSE: Duration = Duration::from_millis(1500);

/// How many times as long the others leave the store alone at the least: the readers will hear
/// of its return.
const OTHERS_FACTOR: f64 = 2.5;

/// How many calls a second the others make together while nobody helps them: one of them finds
/// a store that serves a third of the members within half a second, and an outage of 6 s costs
/// 60 calls, where each of 295 members made two of its own.
const OTHERS_PER_S: f64 = 10.0;

/// A fleet up to which the others need not wait for each other.
const FEW: usize = 16;

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
    /// It answered that it has never heard of the store itself.
    Unheard,
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
    /// How many members there are.
    fleet: usize,
}

impl Origins {
    /// Notes how many members there are.
    pub fn set_fleet(&mut self, members: usize) {
        self.fleet = members;
    }

    /// Chooses whom to ask, or says until when there is nobody.
    ///
    /// `readers` are the others that may know the newest, the preferred first.
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
        } else if self.store_failures == 0 {
            // The turn to ask the store that was drawn while nobody helped.
            self.paused.remove(&Origin::Store);
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
        if duty == Duty::Follower && origin != Origin::Store {
            let turn = now + self.turn().mul_f64(jitter);
            self.paused.entry(Origin::Store).or_insert(turn);
        }
        let pause = match (origin, failure) {
            (Origin::Member(_), Failure::Stale) => STALE_PAUSE,
            (Origin::Member(_), Failure::Unheard) => UNHEARD_PAUSE,
            (Origin::Member(_), Failure::Silent) => SILENT_PAUSE,
            (Origin::Store, _) => {
                let doubled = STORE_PAUSE * 2_u32.pow(self.store_failures.min(8));
                self.store_failures = self.store_failures.saturating_add(1);
                match duty {
                    Duty::Follower => self.turn().max(LONGEST_STORE_PAUSE.mul_f64(OTHERS_FACTOR)),
                    Duty::Reader | Duty::Deputy => doubled.min(LONGEST_STORE_PAUSE),
                }
            }
        };
        self.paused.insert(origin, now + pause.mul_f64(0.6 + 0.4 * jitter));
    }

    /// Returns how long it takes until each of the others has asked the store once.
    fn turn(&self) -> Duration {
        let others = self.fleet.saturating_sub(FEW);
        Duration::from_secs_f64(others as f64 / OTHERS_PER_S)
    }
}
