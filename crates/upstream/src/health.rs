//! Health of one searcher, as observed by this process.
//!
//! Health and load endpoints can be outdated or misleading, so they are used only for
//! facts that a delay can't make wrong: the identity of the run and that it is shutting
//! down. Latency, failures and versions are taken from responses to real requests.
//!
//! Invariant: a run of a searcher that is leaving (shutting down) never becomes available
//! again. Requests are sent to its address again only after this process has received a
//! response from another run there.

use std::collections::BTreeSet;
use std::fmt;
use std::time::{Duration, Instant};

use bergamot_base::{Name, Version};

/// Number of consecutive failures after which a searcher is ejected.
const EJECTION_THRESHOLD: u32 = 3;

/// Number of failed writes after which a searcher is ejected for writes again. A search that fails
/// is repeated elsewhere, but a write is sent only once.
const REPEATED_WRITE_EJECTION_THRESHOLD: u32 = 1;

/// Duration of the first ejection. Each further one without a success in between doubles it.
const FIRST_EJECTION: Duration = Duration::from_millis(250);

/// Maximum number of times that the duration of an ejection is doubled.
const MAX_DOUBLINGS: u32 = 5;

/// How long a restarted searcher counts as cold after its new run was first seen.
const WARM_UP: Duration = Duration::from_secs(2);

/// Divisor of the moving average of the latency: a new sample has weight 1 / `SMOOTHING`.
const SMOOTHING: u32 = 8;

/// Failures in a row of requests of one kind, and the ejection that follows from them.
#[derive(Clone, Debug, Default)]
struct Streak {
    failures: u32,
    ejections: u32,
    ejected_until: Option<Instant>,
}

impl Streak {
    fn record_failure(&mut self, now: Instant, threshold: u32) {
        self.failures += 1;
        if self.failures >= threshold {
            let doublings = self.ejections.min(MAX_DOUBLINGS);
            self.ejected_until = Some(now + FIRST_EJECTION * 2_u32.pow(doublings));
            self.ejections += 1;
            self.failures = 0;
        }
    }

    fn is_ejected(&self, now: Instant) -> bool {
        self.ejected_until.is_some_and(|until| now < until)
    }
}

/// The observed health of one searcher.
#[derive(Clone, Debug)]
pub struct Health {
    mean: Duration,
    streak: Streak,
    /// Of writes, which may fail while searches are served, for example without space for them.
    write_streak: Streak,
    run: Option<Name>,
    first_seen: Option<Instant>,
    restarted: bool,
    leaving: bool,
    versions: BTreeSet<Version>,
}

impl Health {
    /// Creates the health of an unknown searcher with an initial estimate of its latency.
    pub fn new(initial_latency: Duration) -> Self {
        Self {
            mean: initial_latency,
            streak: Streak::default(),
            write_streak: Streak::default(),
            run: None,
            first_seen: None,
            restarted: false,
            leaving: false,
            versions: BTreeSet::new(),
        }
    }

    /// Records a successful request.
    pub fn record_success(&mut self, took: Duration) {
        self.streak = Streak::default();
        self.mean = (self.mean * (SMOOTHING - 1) + took) / SMOOTHING;
    }

    /// Records a failed request and ejects the searcher after several consecutive failures.
    pub fn record_failure(&mut self, now: Instant) {
        self.streak.record_failure(now, EJECTION_THRESHOLD);
    }

    /// Records whether a write was served. Ejects the searcher for writes after several consecutive
    /// failures, and after each one that follows such an ejection.
    pub fn record_write(&mut self, now: Instant, is_served: bool) {
        let streak = &mut self.write_streak;
        if is_served {
            *streak = Streak::default();
        } else if !streak.is_ejected(now) {
            // Writes that fail during an ejection were sent before it, or for want of another
            // searcher.
            let was_ejected = streak.ejections > 0;
            let threshold =
                if was_ejected { REPEATED_WRITE_EJECTION_THRESHOLD } else { EJECTION_THRESHOLD };
            streak.record_failure(now, threshold);
        }
    }

    /// Ejects the searcher for at least `pause`, for example after a failed connection attempt.
    pub fn eject_for(&mut self, now: Instant, pause: Duration) {
        let until = now + pause;
        let known = self.streak.ejected_until;
        self.streak.ejected_until = Some(known.map_or(until, |known| known.max(until)));
    }

    /// Records the run that sent a response and whether it reported that it is leaving.
    ///
    /// A new run at the same address resets the known versions and counts as cold.
    pub fn record_run(&mut self, now: Instant, run: &Name, leaving: bool) {
        if self.run.as_ref() != Some(run) {
            // The notice that a run is leaving may arrive before its first response.
            self.leaving &= self.run.is_none();
            self.restarted = self.run.is_some();
            self.run = Some(Name::clone(run));
            self.first_seen = Some(now);
            self.versions.clear();
        }
        self.leaving |= leaving;
    }

    /// Records the notice of a peer or of the platform that a run is leaving, and returns
    /// whether this was not known yet.
    ///
    /// A notice without a run refers to the run that was seen last.
    pub fn record_leaving_notice(&mut self, run: Option<&Name>) -> bool {
        let applies = run.is_none() || run == self.run.as_ref() || self.run.is_none();
        let is_new = applies && !self.leaving;
        self.leaving |= applies;
        if applies && self.run.is_none() {
            self.run = run.cloned();
        }
        is_new
    }

    /// Sets the versions that the searcher holds.
    pub fn set_versions(&mut self, versions: impl IntoIterator<Item = Version>) {
        self.versions = versions.into_iter().collect();
    }

    /// Returns the versions that the searcher last reported to hold.
    pub fn versions(&self) -> &BTreeSet<Version> {
        &self.versions
    }

    /// Returns whether the searcher is leaving.
    pub fn is_leaving(&self) -> bool {
        self.leaving
    }

    /// Returns whether the searcher is ejected at `now`.
    pub fn is_ejected(&self, now: Instant) -> bool {
        self.streak.is_ejected(now)
    }

    /// Returns whether the searcher is ejected for writes at `now`, alone or for all requests.
    pub fn is_ejected_for_writes(&self, now: Instant) -> bool {
        self.streak.is_ejected(now) || self.write_streak.is_ejected(now)
    }

    /// Returns whether the searcher restarted within the warm-up period.
    pub fn is_cold(&self, now: Instant) -> bool {
        let is_recent = |seen| now.saturating_duration_since(seen) < WARM_UP;
        self.restarted && self.first_seen.is_some_and(is_recent)
    }

    /// Returns the mean latency.
    pub fn mean(&self) -> Duration {
        self.mean
    }

    /// Returns the run that was seen last.
    pub fn run(&self) -> Option<&Name> {
        self.run.as_ref()
    }
}

impl fmt::Display for Health {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let run = self.run.as_deref().unwrap_or("unseen");
        let mean = self.mean.as_secs_f64() * 1e3;
        write!(f, "run {run} mean {mean:.1} ms failures {}", self.streak.failures)?;
        if self.leaving {
            f.write_str(" leaving")?;
        }
        if self.streak.ejected_until.is_some() {
            f.write_str(" ejected")?;
        }
        if self.write_streak.ejected_until.is_some() {
            f.write_str(" ejected for writes")?;
        }
        write!(f, " versions {:?}", self.versions)
    }
}
