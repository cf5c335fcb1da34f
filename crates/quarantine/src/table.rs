//! A member's records of requests during which searchers crashed.
//!
//! Invariants: the records are bounded in number and age; strikes are only ever added or cleared,
//! so that members converge whatever the order in which they receive reports; the strike of a trial
//! counts only if no other request was on trial at the same searcher when it crashed.

use std::collections::{BTreeMap, HashMap};
use std::time::{Duration, Instant};

use bergamot_base::{Name, hash_pair};

use crate::fingerprint::Fingerprint;
use crate::report::{Report, Strike};

/// The most strikes that are kept per request; the least significant are evicted first.
const MAX_STRIKES: usize = 8;

/// The most services that are kept per request, so that a report fits into a datagram.
const MAX_SERVICES: usize = 4;

/// The limits of a table.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Settings {
    /// How many strikes condemn a request: the first fan-out and two trials.
    pub strike_limit: usize,
    /// How long a record is kept: a caller of a harmful request sends it again within a day.
    pub retention: Duration,
    /// How many records are kept, at a few hundred bytes each.
    pub max_records: usize,
    /// How long a granted trial blocks others if its result never arrives.
    pub trial_timeout: Duration,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            strike_limit: 3,
            retention: Duration::from_hours(24),
            max_records: 1024,
            trial_timeout: Duration::from_secs(1),
        }
    }
}

/// How a request is to be treated.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Standing {
    /// It has no strikes.
    Trusted,
    /// Searchers crashed while they ran it: it is first tried at a single searcher of one of these
    /// services.
    Suspect(Vec<Name>),
    /// It is not sent to any searcher until its record expires, after this time.
    Condemned(Duration),
}

/// The record of a request.
#[derive(Clone, Debug)]
struct Record {
    strikes: BTreeMap<u64, Strike>,
    services: Vec<Name>,
    since: Instant,
    /// Until when a trial that was granted here blocks others.
    trial_until: Option<Instant>,
}

impl Record {
    fn new(since: Instant) -> Self {
        Self { strikes: BTreeMap::new(), services: Vec::new(), since, trial_until: None }
    }

    /// Iterates over the uncleared strikes, either those of trials or those of fan-outs.
    fn uncleared(&self, trial: bool) -> impl Iterator<Item = &Strike> {
        self.strikes.values().filter(move |strike| !strike.cleared && strike.trial == trial)
    }

    /// Counts the uncleared strikes: each one of a trial for which `counts` holds, and those of
    /// fan-outs as one together.
    fn count_strikes(&self, counts: impl Fn(&Strike) -> bool) -> usize {
        let trials = self.uncleared(true).filter(|strike| counts(strike)).count();
        trials + usize::from(self.uncleared(false).next().is_some())
    }

    fn is_severe(&self) -> bool {
        self.count_strikes(|_| true) > 1
    }

    /// Returns whether a searcher crashed during a trial of the request.
    fn has_trial_strike(&self, searcher: u64) -> bool {
        self.uncleared(true).any(|strike| strike.searcher == searcher)
    }

    fn add_service(&mut self, service: &Name) {
        if self.services.len() < MAX_SERVICES && !self.services.contains(service) {
            self.services.push(Name::clone(service));
        }
    }

    /// Adds a strike, and returns whether the record changed.
    fn add_strike(&mut self, strike: Strike) -> bool {
        if let Some(known) = self.strikes.get_mut(&strike.id) {
            let changed = strike.cleared && !known.cleared || strike.trial && !known.trial;
            known.cleared |= strike.cleared;
            known.trial |= strike.trial;
            return changed;
        }
        self.strikes.insert(strike.id, strike);
        if self.strikes.len() <= MAX_STRIKES {
            return true;
        }
        // Uncleared strikes of trials outrank cleared ones and those of fan-outs, which count only
        // once together.
        let evicted = self.strikes.values().min_by_key(|s| (s.trial && !s.cleared, s.id));
        let evicted = evicted.map(|strike| strike.id);
        evicted
            .and_then(|id| self.strikes.remove(&id))
            .is_none_or(|removed| removed.id != strike.id)
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

/// A member's records of requests during which searchers crashed.
#[derive(Debug)]
pub struct Table {
    settings: Settings,
    records: HashMap<Fingerprint, Record>,
}

impl Table {
    /// Creates an empty table.
    pub fn new(settings: Settings) -> Self {
        Self { settings, records: HashMap::new() }
    }

    /// Returns whether there are no records.
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    /// Returns the standing of a request.
    pub fn standing(&self, fingerprint: Fingerprint, now: Instant) -> Standing {
        let Some(record) = self.records.get(&fingerprint) else {
            return Standing::Trusted;
        };
        let left = (record.since + self.settings.retention).saturating_duration_since(now);
        // If several requests were on trial at a searcher when it crashed, it is not known which
        // one caused the crash.
        let unambiguous = |strike: &Strike| {
            let others = self.records.iter().filter(|(other, _)| **other != fingerprint);
            !others.map(|(_, record)| record).any(|record| record.has_trial_strike(strike.searcher))
        };
        if left.is_zero() || record.count_strikes(|_| true) == 0 {
            Standing::Trusted
        } else if record.count_strikes(unambiguous) >= self.settings.strike_limit {
            Standing::Condemned(left)
        } else {
            Standing::Suspect(record.services.clone())
        }
    }

    /// Records that a searcher of a service crashed while it ran a request, and returns whether the
    /// record changed.
    pub fn record_strike(
        &mut self,
        now: Instant,
        fingerprint: Fingerprint,
        strike: Strike,
        service: &Name,
    ) -> bool {
        self.make_room(now, fingerprint);
        let record = self.records.entry(fingerprint).or_insert_with(|| Record::new(now));
        record.add_service(service);
        let changed = record.add_strike(strike);
        if strike.trial {
            record.trial_until = None;
        }
        changed
    }

    /// Records that a request was answered, and returns whether the record changed.
    ///
    /// An answer clears the strikes only if it came from one of the services whose searchers
    /// crashed: a request may crash the searchers of one shard and not those of another.
    pub fn record_answer(&mut self, fingerprint: Fingerprint, services: &[Name]) -> bool {
        let Some(record) = self.records.get_mut(&fingerprint) else {
            return false;
        };
        if !record.services.iter().any(|service| services.contains(service)) {
            return false;
        }
        record.trial_until = None;
        let mut uncleared = record.strikes.values_mut().filter(|strike| !strike.cleared).peekable();
        let changed = uncleared.peek().is_some();
        uncleared.for_each(|strike| strike.cleared = true);
        changed
    }

    /// Grants a trial of a suspect, unless it is condemned or a trial is in flight.
    ///
    /// Among the members, only the owner of the request by rendezvous hashing grants its trials.
    pub fn grant_trial(&mut self, now: Instant, fingerprint: Fingerprint) -> bool {
        if matches!(self.standing(fingerprint, now), Standing::Condemned(_)) {
            return false;
        }
        // The member that asks has seen a strike whose report may not have arrived here yet.
        self.make_room(now, fingerprint);
        let record = self.records.entry(fingerprint).or_insert_with(|| Record::new(now));
        let granted = record.trial_until.is_none_or(|until| until <= now);
        if granted {
            record.trial_until = Some(now + self.settings.trial_timeout);
        }
        granted
    }

    /// Merges the report of another member, and returns whether the record changed.
    pub fn merge(&mut self, now: Instant, report: &Report) -> bool {
        let Some(since) = now.checked_sub(report.age) else {
            return false;
        };
        if report.age >= self.settings.retention || report.strikes.is_empty() {
            return false;
        }
        self.make_room(now, report.fingerprint);
        let record = self.records.entry(report.fingerprint).or_insert_with(|| Record::new(since));
        record.since = record.since.min(since);
        for service in &report.services {
            record.add_service(service);
        }
        let mut changed = false;
        for strike in report.strikes.iter().take(MAX_STRIKES) {
            if record.add_strike(*strike) {
                changed = true;
                if strike.trial || strike.cleared {
                    // The strike is the result of the trial.
                    record.trial_until = None;
                }
            }
        }
        changed
    }

    /// Returns the report about a request, if it has strikes.
    pub fn report(&self, fingerprint: Fingerprint, now: Instant) -> Option<Report> {
        let record = self.records.get(&fingerprint)?;
        (!record.strikes.is_empty()).then(|| record.report(fingerprint, now))
    }

    /// Returns the reports about all requests with strikes.
    pub fn reports(&self, now: Instant) -> Vec<Report> {
        let records = self.records.iter();
        let records = records.filter(|(_, record)| !record.strikes.is_empty());
        records.map(|(fingerprint, record)| record.report(*fingerprint, now)).collect()
    }

    /// Returns whether a request is severe: it has more than one strike since it was last answered,
    /// where all strikes of fan-outs count as one.
    pub fn is_severe(&self, fingerprint: Fingerprint) -> bool {
        self.records.get(&fingerprint).is_some_and(Record::is_severe)
    }

    /// Returns the reports about severe requests, see [`Table::is_severe`].
    pub fn severe_reports(&self, now: Instant) -> Vec<Report> {
        let severe = self.records.iter().filter(|(_, record)| record.is_severe());
        severe.map(|(fingerprint, record)| record.report(*fingerprint, now)).collect()
    }

    /// Returns a hash of the strikes of all severe requests, zero if there are none. Members with
    /// the same strikes have the same hash.
    ///
    /// Members whose hashes differ exchange reports. Requests that are not severe are left out:
    /// there are many of them when searchers crash for other reasons, and a member that misses one
    /// finds out by its own first attempt.
    pub fn hash(&self) -> u64 {
        let severe = self.records.iter().filter(|(_, record)| record.is_severe());
        let strikes = severe.flat_map(|(fingerprint, record)| {
            record.strikes.values().map(move |strike| (fingerprint, strike))
        });
        strikes.fold(0, |sum, (fingerprint, strike)| {
            let flags = u64::from(strike.trial) << 1 | u64::from(strike.cleared);
            sum ^ hash_pair(hash_pair(fingerprint.0, strike.id), flags)
        })
    }

    /// Removes records that are older than the retention time, and returns whether there were any.
    pub fn expire(&mut self, now: Instant) -> bool {
        let (retention, before) = (self.settings.retention, self.records.len());
        self.records.retain(|_, record| now.saturating_duration_since(record.since) < retention);
        self.records.len() < before
    }

    /// Makes room for one more record: evicts the one with the fewest uncleared strikes, and
    /// among equals the oldest.
    fn make_room(&mut self, now: Instant, fingerprint: Fingerprint) {
        if self.records.contains_key(&fingerprint) || self.records.len() < self.settings.max_records
        {
            return;
        }
        self.expire(now);
        let limit = self.settings.strike_limit;
        let rank = |record: &Record| (record.count_strikes(|_| true).min(limit), record.since);
        let evicted = self.records.iter().min_by_key(|(_, record)| rank(record));
        if let Some(evicted) = evicted.map(|(fingerprint, _)| *fingerprint)
            && self.records.len() >= self.settings.max_records
        {
            self.records.remove(&evicted);
        }
    }
}
