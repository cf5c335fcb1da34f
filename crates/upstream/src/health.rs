//! What a home knows of one searcher from its own exchanges with it.
//!
//! Health and load endpoints lag or mislead, so they only count for what they can't
//! get wrong by lagging: the identity of the run and that it is leaving. Latency,
//! failures and versions come from answers to real work.
//!
//! Invariant: leaving is final for a run of a searcher. Only another run at the same
//! address, seen by ourselves, takes work again.

use std::collections::BTreeSet;
use std::fmt;
use std::time::{Duration, Instant};

use bergamot_base::{Name, Version};

/// Consecutive failures after which a searcher is ejected for a while.
const FAILURES: u32 = 3;

/// The first ejection; each further one in a row doubles it.
const FIRST_EJECTION: Duration = Duration::from_millis(250);

/// How many times an ejection doubles.
const MOST_DOUBLINGS: u32 = 5;

/// How long a run counts as cold after it was first seen.
const WARM_UP: Duration = Duration::from_secs(2);

/// The weight of a new sample in the mean latency, as a divisor.
const SMOOTHING: u32 = 8;

/// What is known of one searcher.
#[derive(Clone, Debug)]
pub struct Health {
    mean: Duration,
    failures: u32,
    ejections: u32,
    ejected_until: Option<Instant>,
    run: Option<Name>,
    first_seen: Option<Instant>,
    restarted: bool,
    leaving: bool,
    versions: BTreeSet<Version>,
}

impl Health {
    /// Starts with a guess of the latency, made from the distance.
    pub fn new(guess: Duration) -> Self {
        Self {
            mean: guess,
            failures: 0,
            ejections: 0,
            ejected_until: None,
            run: None,
            first_seen: None,
            restarted: false,
            leaving: false,
            versions: BTreeSet::new(),
        }
    }

    /// Records an answer to real work.
    pub fn answered(&mut self, took: Duration) {
        self.failures = 0;
        self.ejections = 0;
        self.ejected_until = None;
        self.mean = (self.mean * (SMOOTHING - 1) + took) / SMOOTHING;
    }

    /// Records a failure and ejects the searcher after several in a row.
    pub fn failed(&mut self, now: Instant) {
        self.failures += 1;
        if self.failures >= FAILURES {
            let doublings = self.ejections.min(MOST_DOUBLINGS);
            self.ejected_until = Some(now + FIRST_EJECTION * 2_u32.pow(doublings));
            self.ejections += 1;
            self.failures = 0;
        }
    }

    /// Ejects the searcher for a while, as when it can't be dialled.
    pub fn rest(&mut self, now: Instant, pause: Duration) {
        let until = now + pause;
        self.ejected_until = Some(self.ejected_until.map_or(until, |known| known.max(until)));
    }

    /// Records which run answers and whether it says that it is leaving.
    ///
    /// Another run at the same address starts afresh, and cold.
    pub fn seen(&mut self, now: Instant, run: &Name, leaving: bool) {
        if self.run.as_ref() != Some(run) {
            // The word that a run is leaving may come before the run was ever seen.
            self.leaving &= self.run.is_none();
            self.restarted = self.run.is_some();
            self.run = Some(Name::clone(run));
            self.first_seen = Some(now);
            self.versions.clear();
        }
        self.leaving |= leaving;
    }

    /// Records that a peer or the platform says that a run is leaving.
    ///
    /// Without a run, the one seen last is meant.
    pub fn told_leaving(&mut self, run: Option<&Name>) -> bool {
        let ours = run.is_none() || run == self.run.as_ref() || self.run.is_none();
        let news = ours && !self.leaving;
        self.leaving |= ours;
        if ours && self.run.is_none() {
            self.run = run.cloned();
        }
        news
    }

    /// Records which versions the searcher holds.
    pub fn holds(&mut self, versions: impl IntoIterator<Item = Version>) {
        self.versions = versions.into_iter().collect();
    }

    /// Returns the versions that the searcher holds, as it said last.
    pub fn versions(&self) -> &BTreeSet<Version> {
        &self.versions
    }

    /// Tells whether the searcher is leaving.
    pub fn is_leaving(&self) -> bool {
        self.leaving
    }

    /// Tells whether the searcher is ejected at `now`.
    pub fn is_ejected(&self, now: Instant) -> bool {
        self.ejected_until.is_some_and(|until| now < until)
    }

    /// Tells whether the searcher restarted a short while ago.
    pub fn is_cold(&self, now: Instant) -> bool {
        let young = |seen| now.saturating_duration_since(seen) < WARM_UP;
        self.restarted && self.first_seen.is_some_and(young)
    }

    /// Returns the mean latency.
    pub fn mean(&self) -> Duration {
        self.mean
    }

    /// Returns the run that answered last.
    pub fn run(&self) -> Option<&Name> {
        self.run.as_ref()
    }
}

impl fmt::Display for Health {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let run = self.run.as_deref().unwrap_or("unseen");
        let mean = self.mean.as_secs_f64() * 1e3;
        write!(f, "run {run} mean {mean:.1} ms failures {}", self.failures)?;
        if self.leaving {
            f.write_str(" leaving")?;
        }
        if self.ejected_until.is_some() {
            f.write_str(" ejected")?;
        }
        write!(f, " versions {:?}", self.versions)
    }
}
