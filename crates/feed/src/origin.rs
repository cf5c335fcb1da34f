//! Selects the origin of the next query: the store, or a member that reads it.
//!
//! A reader queries the store first, and other readers while the store rejects its calls. A deputy
//! queries readers, and the store as soon as no reader can help, in case all readers of a region
//! are rejected. A follower queries readers, its own region's first, then deputies, then members
//! that report the latest updates, and the store last and rarely: the first follower that the store
//! serves passes the updates on to the others, which find it by what it reports. An origin that
//! failed is not retried until its backoff has elapsed. Invariants: a member that could not help is
//! queried again only while the store is not due, so members that all wait for each other do not
//! keep each other from the store; while the store is down, it
//! receives calls from readers and deputies, and [`FOLLOWER_CALLS_PER_S`] calls a second from all
//! followers together, however many there are.

use std::collections::{HashMap, HashSet};
use std::net::Ipv4Addr;
use std::time::{Duration, Instant};

/// Backoff after a member did not answer.
///
/// It covers several queries in a row. With a shorter one, two unreachable readers would be queried
/// alternately and the third never.
const SILENT_BACKOFF: Duration = Duration::from_secs(6);

/// Backoff after a member answered that it has no newer updates itself.
///
/// Such an answer costs only a round trip, and the store may serve the member again at any time.
const STALE_BACKOFF: Duration = Duration::from_millis(500);

/// Backoff after a member answered that it has never reached the store. It has usually just
/// started, together with the others, and gets its first update within a few tenths of a second.
const NEVER_SYNCED_BACKOFF: Duration = Duration::from_millis(100);

/// A reader's backoff after the first failed call to the store.
const MIN_STORE_BACKOFF: Duration = Duration::from_millis(200);

/// A reader's longest backoff from the store. Updates must be in force within 3 s, once the store
/// has been back for some seconds.
const MAX_STORE_BACKOFF: Duration = Duration::from_millis(1500);

/// A follower's shortest backoff from the store, as a multiple of a reader's longest: readers notice
/// first when the store is back.
const FOLLOWER_BACKOFF_FACTOR: f64 = 2.5;

/// The rate of calls to the store by all followers together while no member can help. One of them
/// finds a store that serves a third of the members within half a second, and an outage of 6 s
/// costs 60 calls. Without the limit, each of 295 members made two calls of its own.
const FOLLOWER_CALLS_PER_S: f64 = 10.0;

/// The number of members up to which followers do not share the call rate.
const UNTHROTTLED_MEMBERS: usize = 16;

/// After what time the selection is repeated at the latest while all origins back off: others may
/// help by then, or this member may hear from others again.
const RECONSIDER_INTERVAL: Duration = Duration::from_millis(200);

/// Where updates can be queried.
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
    /// It did not answer, or rejected the query.
    Silent,
    /// It answered that it has no newer updates itself.
    Stale,
    /// It answered that it has never reached the store.
    NeverSynced,
}

/// A member's role in reading the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReadRole {
    /// Reads the store.
    Reader,
    /// Reads the store while no reader can.
    Deputy,
    /// Queries other members.
    Follower,
}

/// Origin selection with a backoff for each origin.
#[derive(Clone, Debug, Default)]
pub struct Origins {
    retry_at: HashMap<Origin, Instant>,
    /// When a follower's call to the store was drawn, and the fraction of the interval until it.
    store_turn: Option<(Instant, f64)>,
    store_failures: u32,
    /// Whether the store was the last origin that helped.
    store_helped_last: bool,
    /// The members that could not help since one last did.
    failed_members: HashSet<Ipv4Addr>,
    /// The number of members.
    member_count: usize,
    /// Whether this member hears from no other.
    is_isolated: bool,
}

impl Origins {
    /// Sets the number of members.
    pub fn set_member_count(&mut self, members: usize) {
        self.member_count = members;
    }

    /// Sets whether this member hears from no other. Nobody could pass updates on to it meanwhile, so
    /// it does not share the rate of calls to the store. Once it hears from others again, what failed
    /// before says nothing about who can help.
    pub fn set_isolated(&mut self, is_isolated: bool) {
        if self.is_isolated && !is_isolated {
            self.retry_at.clear();
            self.failed_members.clear();
            self.store_turn = None;
            self.store_failures = 0;
        }
        self.is_isolated = is_isolated;
    }

    /// Selects the origin of the next query, or returns when to select again.
    ///
    /// `readers` are the other members that may have the latest updates, in order of preference.
    pub fn choose(
        &self,
        now: Instant,
        role: ReadRole,
        readers: &[Ipv4Addr],
    ) -> Result<Origin, Instant> {
        let store = self.may_call_store(role, readers).then_some(Origin::Store);
        let (failed, others): (Vec<Ipv4Addr>, Vec<Ipv4Addr>) =
            readers.iter().partition(|ip| self.failed_members.contains(ip));
        let members = |ips: Vec<Ipv4Addr>| ips.into_iter().map(Origin::Member);
        let (failed, others) = (members(failed), members(others));
        let order: Vec<Origin> = if role == ReadRole::Reader {
            store.into_iter().chain(others).chain(failed).collect()
        } else {
            others.chain(store).chain(failed).collect()
        };
        let until = |origin: &Origin| self.due_at(*origin).unwrap_or(now);
        if let Some(origin) = order.iter().find(|origin| until(origin) <= now) {
            return Ok(*origin);
        }
        let first = order.iter().map(until).min().unwrap_or(now);
        Err(first.min(now + RECONSIDER_INTERVAL))
    }

    /// Returns whether the store is among the origins. A follower calls it only at the time that is
    /// drawn when a member could not help, and for as long as the store is the origin that helps.
    fn may_call_store(&self, role: ReadRole, readers: &[Ipv4Addr]) -> bool {
        role != ReadRole::Follower
            || readers.is_empty()
            || self.store_helped_last
            || self.due_at(Origin::Store).is_some()
    }

    /// Returns when an origin may be queried, if that is not at any time.
    fn due_at(&self, origin: Origin) -> Option<Instant> {
        let turn = self.store_turn.filter(|_| origin == Origin::Store);
        let turn = turn.map(|(drawn, part)| drawn + self.follower_interval().mul_f64(part));
        turn.max(self.retry_at.get(&origin).copied())
    }

    /// Returns whether the last call to the store failed.
    pub fn store_failed_last(&self) -> bool {
        self.store_failures > 0
    }

    /// Records a successful query.
    pub fn record_success(&mut self, origin: Origin) {
        self.retry_at.remove(&origin);
        self.failed_members.clear();
        self.store_helped_last = origin == Origin::Store;
        // Drops the store call that was scheduled while no member could help.
        self.store_turn = None;
        if origin == Origin::Store {
            self.store_failures = 0;
        }
    }

    /// Records a failed query. `jitter`, from 0 to 1, spreads the retries.
    pub fn record_failure(
        &mut self,
        (origin, failure): (Origin, Failure),
        now: Instant,
        role: ReadRole,
        jitter: f64,
    ) {
        if let Origin::Member(ip) = origin {
            self.failed_members.insert(ip);
            if role == ReadRole::Follower && !self.retry_at.contains_key(&Origin::Store) {
                self.store_turn.get_or_insert((now, jitter));
            }
        } else {
            self.store_turn = None;
        }
        let backoff = match (origin, failure) {
            (Origin::Member(_), Failure::Stale) => STALE_BACKOFF,
            (Origin::Member(_), Failure::NeverSynced) => NEVER_SYNCED_BACKOFF,
            (Origin::Member(_), Failure::Silent) => SILENT_BACKOFF,
            (Origin::Store, _) => {
                let doubled = MIN_STORE_BACKOFF * 2_u32.pow(self.store_failures.min(8));
                self.store_failures = self.store_failures.saturating_add(1);
                match role {
                    ReadRole::Follower => self
                        .follower_interval()
                        .max(MAX_STORE_BACKOFF.mul_f64(FOLLOWER_BACKOFF_FACTOR)),
                    ReadRole::Reader | ReadRole::Deputy => doubled.min(MAX_STORE_BACKOFF),
                }
            }
        };
        self.retry_at.insert(origin, now + backoff.mul_f64(0.6 + 0.4 * jitter));
    }

    /// Returns the interval in which each follower may call the store once.
    fn follower_interval(&self) -> Duration {
        let members = if self.is_isolated { 1 } else { self.member_count };
        let others = members.saturating_sub(UNTHROTTLED_MEMBERS);
        Duration::from_secs_f64(others as f64 / FOLLOWER_CALLS_PER_S)
    }
}
