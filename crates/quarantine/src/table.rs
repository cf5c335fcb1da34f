//! What a member remembers of requests under which searchers ended.
//!
//! Invariants: what is remembered is bounded in number and age; strikes are only ever added or
//! cleared, so that members who hear the same reports in any order agree; a trial counts against a
//! request only if no other request was tried at the same searcher when it ended.

use std::collections::{BTreeMap, HashMap};
use std::time::{Duration, Instant};

use bergamot_base::{Name, hash_pair};

use crate::fingerprint::Fingerprint;
use crate::report::{Report, Strike};

/// The most strikes that are kept of one request; those that don't count give way.
const MOST_STRIKES: usize = 8;

/// The most services that are kept of one request, so that a report fits a datagram.
const MOST_SERVICES: usize = 4;

/// The limits of a table.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Settings {
    /// How many strikes condemn: the first fan-out and two trials.
    pub strikes: usize,
    /// How long a request is remembered: whoever sends a harmful one does so again within a day.
    pub kept: Duration,
    /// How many requests are remembered: a few hundred bytes each.
    pub most: usize,
    /// How long one trial keeps others from starting, in case nothing is heard of it.
    pub trial: Duration,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            strikes: 3,
            kept: Duration::from_hours(24),
            most: 1024,
            trial: Duration::from_secs(1),
        }
    }
}

/// What is held of a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Standing {
    /// Nothing speaks against it.
    Trusted,
    /// Searchers have ended under it: it is tried at one searcher first, of one of these services.
    Suspect(Vec<Name>),
    /// It isn't sent to any searcher until the verdict is forgotten, after this time.
    Condemned(Duration),
}

/// What speaks against one request.
#[derive(Clone, Debug)]
struct Suspicion {
    strikes: BTreeMap<u64, Strike>,
    services: Vec<Name>,
    since: Instant,
    /// Until when a trial that was granted here keeps others from starting.
    trial: Option<Instant>,
}

impl Suspicion {
    fn new(since: Instant) -> Self {
        Self { strikes: BTreeMap::new(), services: Vec::new(), since, trial: None }
    }

    /// Returns the strikes that stand, those of trials or the others.
    fn open(&self, trial: bool) -> impl Iterator<Item = &Strike> {
        self.strikes.values().filter(move |strike| !strike.cleared && strike.trial == trial)
    }

    /// Counts the strikes of trials that `counts` and all others together as one.
    fn weight(&self, counts: impl Fn(&Strike) -> bool) -> usize {
        let trials = self.open(true).filter(|strike| counts(strike)).count();
        trials + usize::from(self.open(false).next().is_some())
    }

    fn is_grave(&self) -> bool {
        self.weight(|_| true) > 1
    }

    /// Tells whether a trial of the request is said to have ended a searcher.
    fn blames(&self, searcher: u64) -> bool {
        self.open(true).any(|strike| strike.searcher == searcher)
    }

    fn add_service(&mut self, service: &Name) {
        if self.services.len() < MOST_SERVICES && !self.services.contains(service) {
            self.services.push(Name::clone(service));
        }
    }

    /// Adds a strike, and tells whether that changed anything.
    fn add(&mut self, strike: Strike) -> bool {
        if let Some(known) = self.strikes.get_mut(&strike.id) {
            let changed = strike.cleared && !known.cleared || strike.trial && !known.trial;
            known.cleared |= strike.cleared;
            known.trial |= strike.trial;
            return changed;
        }
        self.strikes.insert(strike.id, strike);
        if self.strikes.len() <= MOST_STRIKES {
            return true;
        }
        // Trials that stand are worth more than what was cleared or counts once in all.
        let least = self.strikes.values().min_by_key(|s| (s.trial && !s.cleared, s.id));
        let least = least.map(|strike| strike.id);
        least.and_then(|id| self.strikes.remove(&id)).is_none_or(|removed| removed.id != strike.id)
    }

    fn report(&self, fingerprint: Fingerprint, now: Instant) -> Report {
        Report {
            fingerprint,
            strikes: self.strikes.values().copied().collect(),
            services: self.services.clone(),
            age: now.saturating_duration_since(self.since),
        }
    }
}

/// What a member remembers of requests under which searchers ended.
#[derive(Debug)]
pub struct Table {
    settings: Settings,
    suspicions: HashMap<Fingerprint, Suspicion>,
}

impl Table {
    /// Makes an empty table.
    pub fn new(settings: Settings) -> Self {
        Self { settings, suspicions: HashMap::new() }
    }

    /// Tells whether nothing speaks against any request.
    pub fn is_empty(&self) -> bool {
        self.suspicions.is_empty()
    }

    /// Returns what is held of a request.
    pub fn standing(&self, fingerprint: Fingerprint, now: Instant) -> Standing {
        let Some(known) = self.suspicions.get(&fingerprint) else {
            return Standing::Trusted;
        };
        let left = (known.since + self.settings.kept).saturating_duration_since(now);
        // One of the requests that were tried at a searcher when it ended did it, and it isn't
        // known which.
        let alone = |strike: &Strike| {
            let others = self.suspicions.iter().filter(|(other, _)| **other != fingerprint);
            !others.map(|(_, known)| known).any(|known| known.blames(strike.searcher))
        };
        if left.is_zero() || known.weight(|_| true) == 0 {
            Standing::Trusted
        } else if known.weight(alone) >= self.settings.strikes {
            Standing::Condemned(left)
        } else {
            Standing::Suspect(known.services.clone())
        }
    }

    /// Notes that a searcher of a service ended under a request, and tells whether that is news.
    pub fn accuse(
        &mut self,
        now: Instant,
        fingerprint: Fingerprint,
        strike: Strike,
        service: &Name,
    ) -> bool {
        self.make_room(now, fingerprint);
        let known = self.suspicions.entry(fingerprint).or_insert_with(|| Suspicion::new(now));
        known.add_service(service);
        let news = known.add(strike);
        if strike.trial {
            known.trial = None;
        }
        news
    }

    /// Notes that a request was answered, and tells whether that is news.
    ///
    /// An answer speaks for the request only if it is one of a service whose searchers have ended
    /// under it: it may harm one shard and not another.
    pub fn acquit(&mut self, fingerprint: Fingerprint, services: &[Name]) -> bool {
        let Some(known) = self.suspicions.get_mut(&fingerprint) else {
            return false;
        };
        if !known.services.iter().any(|service| services.contains(service)) {
            return false;
        }
        known.trial = None;
        let mut open = known.strikes.values_mut().filter(|strike| !strike.cleared).peekable();
        let news = open.peek().is_some();
        open.for_each(|strike| strike.cleared = true);
        news
    }

    /// Grants a trial of a suspect, unless one is under way.
    ///
    /// Only the member to which a request falls among all grants trials of it.
    pub fn grant(&mut self, now: Instant, fingerprint: Fingerprint) -> bool {
        if matches!(self.standing(fingerprint, now), Standing::Condemned(_)) {
            return false;
        }
        // Whoever asks knows of a strike that may be on its way here.
        self.make_room(now, fingerprint);
        let known = self.suspicions.entry(fingerprint).or_insert_with(|| Suspicion::new(now));
        let is_free = known.trial.is_none_or(|until| until <= now);
        if is_free {
            known.trial = Some(now + self.settings.trial);
        }
        is_free
    }

    /// Takes in what another member reports, and tells whether that is news.
    pub fn merge(&mut self, now: Instant, report: &Report) -> bool {
        let Some(since) = now.checked_sub(report.age) else {
            return false;
        };
        if report.age >= self.settings.kept || report.strikes.is_empty() {
            return false;
        }
        self.make_room(now, report.fingerprint);
        let known =
            self.suspicions.entry(report.fingerprint).or_insert_with(|| Suspicion::new(since));
        known.since = known.since.min(since);
        for service in &report.services {
            known.add_service(service);
        }
        let mut news = false;
        for strike in report.strikes.iter().take(MOST_STRIKES) {
            if known.add(*strike) {
                news = true;
                if strike.trial || strike.cleared {
                    // It tells how the trial ended.
                    known.trial = None;
                }
            }
        }
        news
    }

    /// Reports one request.
    pub fn report(&self, fingerprint: Fingerprint, now: Instant) -> Option<Report> {
        let known = self.suspicions.get(&fingerprint)?;
        (!known.strikes.is_empty()).then(|| known.report(fingerprint, now))
    }

    /// Reports all requests that anything speaks against.
    pub fn reports(&self, now: Instant) -> Vec<Report> {
        let known = self.suspicions.iter();
        let known = known.filter(|(_, known)| !known.strikes.is_empty());
        known.map(|(fingerprint, known)| known.report(*fingerprint, now)).collect()
    }

    /// Tells whether a request has done harm more than once since it was last answered.
    pub fn is_grave(&self, fingerprint: Fingerprint) -> bool {
        self.suspicions.get(&fingerprint).is_some_and(Suspicion::is_grave)
    }

    /// Reports the requests that have done harm more than once since they were last answered.
    pub fn grave(&self, now: Instant) -> Vec<Report> {
        let grave = self.suspicions.iter().filter(|(_, known)| known.is_grave());
        grave.map(|(fingerprint, known)| known.report(*fingerprint, now)).collect()
    }

    /// Returns a hash of the strikes of all requests that have done harm more than once, the same
    /// at members who know the same; zero for none.
    ///
    /// Members whose hashes differ tell each other. First suspicions aren't part of it: they are
    /// many where searchers crash by themselves, and whoever misses one finds out by itself.
    pub fn hash(&self) -> u64 {
        let grave = self.suspicions.iter().filter(|(_, known)| known.is_grave());
        let strikes = grave.flat_map(|(fingerprint, known)| {
            known.strikes.values().map(move |strike| (fingerprint, strike))
        });
        strikes.fold(0, |sum, (fingerprint, strike)| {
            let flags = u64::from(strike.trial) << 1 | u64::from(strike.cleared);
            sum ^ hash_pair(hash_pair(fingerprint.0, strike.id), flags)
        })
    }

    /// Forgets what is too old, and tells whether there was any.
    pub fn expire(&mut self, now: Instant) -> bool {
        let (kept, before) = (self.settings.kept, self.suspicions.len());
        self.suspicions.retain(|_, known| now.saturating_duration_since(known.since) < kept);
        self.suspicions.len() < before
    }

    /// Makes room for one more request: those that were cleared give way first, then the oldest.
    fn make_room(&mut self, now: Instant, fingerprint: Fingerprint) {
        if self.suspicions.contains_key(&fingerprint) || self.suspicions.len() < self.settings.most
        {
            return;
        }
        self.expire(now);
        let strikes = self.settings.strikes;
        let rank = |known: &Suspicion| (known.weight(|_| true).min(strikes), known.since);
        let least = self.suspicions.iter().min_by_key(|(_, known)| rank(known));
        if let Some(least) = least.map(|(fingerprint, _)| *fingerprint)
            && self.suspicions.len() >= self.settings.most
        {
            self.suspicions.remove(&least);
        }
    }
}
