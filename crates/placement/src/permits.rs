//! Permits to send requests to searchers that are warming up.
//!
//! A cold searcher tolerates only a few requests a second from all members together, and no member
//! knows what the others send. A cold searcher therefore receives nothing as long as another one
//! can take its work, and otherwise only requests with a permit. The permits of all searchers are
//! issued by the members that the settings of all members name as seeds: unlike a choice by
//! membership, that one does not depend on what a member knows of the others.
//!
//! Invariant: in any second, all members together send a searcher no more requests with a permit
//! than its limit, whatever they know of each other, while the settings of members name up to two
//! different sets of seeds. A permit allows one request for a short time; an issuer that starts
//! issues none until those of its former run have expired.

use std::collections::{HashMap, VecDeque};
use std::time::{Duration, Instant};

use bergamot_registry::Incarnation;

/// The time over which the requests to a cold searcher are limited.
const WINDOW: Duration = Duration::from_secs(1);

/// How long a permit can be used after it was requested: several round trips between regions, and a
/// new connection.
pub const PERMIT_VALIDITY: Duration = Duration::from_millis(250);

/// How many different sets of seeds may be in use while the settings of members change.
const SETS_OF_SEEDS: usize = 2;

/// How long a member that becomes a seed waits for the members that it replaces to learn of that:
/// members reload their settings every two seconds.
const SEED_CHANGE_DELAY: Duration = Duration::from_secs(6);

/// How many requests all members together may send to a cold searcher.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ColdBound {
    /// The factor by which the declared rate may be exceeded within a second.
    pub overage: f64,
    /// The number of requests by which it may be exceeded in addition.
    pub slack: f64,
}

impl Default for ColdBound {
    /// Returns the bound of a platform that states none: the declared rate.
    fn default() -> Self {
        Self { overage: 1.0, slack: 0.0 }
    }
}

impl ColdBound {
    /// Returns how many requests a searcher that tolerates `per_s` may receive in any second.
    pub fn requests(&self, per_s: f64) -> f64 {
        per_s * self.overage + self.slack
    }
}

/// A request for permits.
#[derive(Clone, Debug, PartialEq)]
pub struct Application {
    /// The searchers, each with the number of requests that it may receive in any second.
    pub searchers: Vec<(Incarnation, f64)>,
    /// How many of them the request needs; with fewer, it could not be answered.
    pub needed: usize,
}

/// The permits that one member has issued.
#[derive(Clone, Debug, Default)]
pub struct Issuer {
    /// Whether it is known if this member issues permits.
    is_initialized: bool,
    /// How many members issue permits, and from when on this one does, if it is one of them.
    active: Option<(usize, Instant)>,
    /// When permits for each searcher were issued, the oldest first.
    issued: HashMap<Incarnation, VecDeque<Instant>>,
}

impl Issuer {
    /// Sets how many members issue permits, or `None` if this one does not.
    pub fn set_issuers(&mut self, issuers: Option<usize>, now: Instant) {
        let delay = if self.is_initialized { SEED_CHANGE_DELAY } else { Duration::ZERO };
        self.is_initialized = true;
        let begin =
            self.active.map_or_else(|| now + WINDOW + PERMIT_VALIDITY + delay, |(_, begin)| begin);
        self.active = issuers.map(|issuers| (issuers.max(1), begin));
    }

    /// Issues permits for the searchers of an application that have any left, or none at all if
    /// those do not suffice for the request.
    pub fn issue(&mut self, application: &Application, now: Instant) -> Vec<bool> {
        let none = vec![false; application.searchers.len()];
        let Some((issuers, begin)) = self.active else { return none };
        if now < begin {
            return none;
        }
        self.forget_expired(now);
        let share = |requests: f64| (requests / (issuers * SETS_OF_SEEDS) as f64) as usize;
        let has_left = |(searcher, requests): &(Incarnation, f64)| {
            self.issued.get(searcher).map_or(0, VecDeque::len) < share(*requests)
        };
        let granted: Vec<bool> = application.searchers.iter().map(has_left).collect();
        if granted.iter().filter(|granted| **granted).count() < application.needed.max(1) {
            return none;
        }
        for ((searcher, _), _) in
            application.searchers.iter().zip(&granted).filter(|(_, granted)| **granted)
        {
            self.issued.entry(searcher.clone()).or_default().push_back(now);
        }
        granted
    }

    /// Drops permits that no longer count.
    fn forget_expired(&mut self, now: Instant) {
        let counts = |issued: &Instant| now < *issued + WINDOW + PERMIT_VALIDITY;
        self.issued.retain(|_, issued| {
            issued.retain(counts);
            !issued.is_empty()
        });
    }
}

/// The permits that one request holds.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Permits {
    searchers: Vec<Incarnation>,
    until: Option<Instant>,
}

impl Permits {
    /// Returns permits that were requested at a time.
    pub fn new(searchers: Vec<Incarnation>, requested_at: Instant) -> Self {
        Self { searchers, until: Some(requested_at + PERMIT_VALIDITY) }
    }

    /// Returns whether the request may be sent to a cold searcher now.
    pub fn allow(&self, searcher: &Incarnation, now: Instant) -> bool {
        self.until.is_some_and(|until| now < until) && self.searchers.contains(searcher)
    }
}
