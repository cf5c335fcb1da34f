//! The members that may use their shares of the bounds over the whole fleet.
//!
//! A member that is cut off from the others serves on, and uses its share where they can't see it.
//! Whoever divided a bound by the members that it hears from would use the shares of all that it
//! has lost. So a member that falls silent still counts, until it is known not to use its share: it
//! announced its planned stop and has had the time to end, or was silent for [`SILENT_RETENTION`].
//! A member that is heard counts at once. A process that starts has no share until it knows the
//! others; that there are members which it has never heard it learns from the number that others
//! state. Invariant: the shares of a fleet that doesn't grow while it is cut add up to at most one
//! bound, however its members are cut off from each other for less than [`SILENT_RETENTION`]. See
//! `docs/design/0022-shares-of-the-fleets-bounds.md`.

use std::collections::{BTreeMap, BTreeSet};
use std::net::Ipv4Addr;
use std::time::{Duration, Instant};

use bergamot_base::Incarnation;

use crate::share::Share;

/// How long a silent member counts: several times as long as regions lose each other. A fleet that
/// loses machines for good regains their shares after this time.
const SILENT_RETENTION: Duration = Duration::from_mins(15);

/// What is known of another member.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Presence {
    /// It is heard from, if through other members.
    Heard,
    /// It has announced its planned stop.
    Leaving,
    /// It is no longer heard from.
    Silent,
}

/// The members that serve callers, by two selections.
#[derive(Clone, Copy, Debug)]
pub struct Serving<'a> {
    /// Selected from the members that are heard.
    pub heard: &'a BTreeSet<Ipv4Addr>,
    /// Selected from all that count, as [`Spenders::counts`] says.
    pub counted: &'a BTreeSet<Ipv4Addr>,
}

/// The number of members, without leaving ones, by which another one divides the bounds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Statement {
    /// The member that states it.
    pub by: Ipv4Addr,
    /// Its incarnation.
    pub incarnation: Incarnation,
    /// The number of members.
    pub members: usize,
}

/// How long members may use their shares unseen.
#[derive(Clone, Copy, Debug)]
pub struct SpendingTimes {
    /// The window of the retry budget.
    pub window: Duration,
    /// The longest planned stop.
    pub stop: Duration,
}

/// A member that counts or has counted.
#[derive(Clone, Copy, Debug)]
struct Spender {
    /// Until when it counts, unless it is heard.
    until: Option<Instant>,
    is_leaving: bool,
    counts: bool,
}

/// The members that may use their shares, as far as one of them knows.
#[derive(Debug)]
pub struct Spenders {
    own: Ipv4Addr,
    started: Instant,
    times: SpendingTimes,
    is_leaving: bool,
    /// The other members that count, and those that are still known.
    others: BTreeMap<Ipv4Addr, Spender>,
    next_expiry: Option<Instant>,
    /// The largest number of members that another one stated, if it is more than count here.
    stated: Option<(Statement, Instant)>,
}

impl Spenders {
    /// Creates the state of a member whose process starts.
    pub fn new(now: Instant, own: Ipv4Addr, times: SpendingTimes) -> Self {
        Self {
            own,
            started: now,
            times,
            is_leaving: false,
            others: BTreeMap::new(),
            next_expiry: None,
            stated: None,
        }
    }

    /// Applies what is known of the members. Those that are left out have fallen silent.
    pub fn update(
        &mut self,
        now: Instant,
        members: impl IntoIterator<Item = (Ipv4Addr, Presence)>,
    ) {
        let former = std::mem::take(&mut self.others);
        for (ip, presence) in members {
            if ip == self.own {
                self.is_leaving = presence == Presence::Leaving;
            } else {
                self.others.insert(ip, self.spender(now, presence, former.get(&ip)));
            }
        }
        for (ip, known) in former.into_iter().filter(|(_, known)| known.counts) {
            let silent = self.spender(now, Presence::Silent, Some(&known));
            self.others.entry(ip).or_insert(silent);
        }
        self.end_counting(now);
    }

    fn spender(&self, now: Instant, presence: Presence, known: Option<&Spender>) -> Spender {
        let retention = match presence {
            Presence::Heard => return Spender { until: None, is_leaving: false, counts: true },
            Presence::Leaving => self.times.stop + self.times.window,
            Presence::Silent => SILENT_RETENTION,
        };
        let known_until = known.and_then(|known| known.until);
        Spender {
            until: Some(known_until.map_or(now + retention, |until| until.min(now + retention))),
            is_leaving: presence == Presence::Leaving
                || known.is_some_and(|known| known.is_leaving),
            counts: known.is_none_or(|known| known.counts),
        }
    }

    fn end_counting(&mut self, now: Instant) {
        for known in self.others.values_mut() {
            known.counts &= known.until.is_none_or(|until| now < until);
        }
        self.next_expiry = self.counting().filter_map(|known| known.until).min();
    }

    /// Returns the other members that count.
    fn counting(&self) -> impl Iterator<Item = &Spender> {
        self.others.values().filter(|known| known.counts)
    }

    /// Stops counting the members whose time is over. Returns whether there were any.
    pub fn expire(&mut self, now: Instant) -> bool {
        if self.next_expiry.is_none_or(|at| now < at) {
            return false;
        }
        self.end_counting(now);
        true
    }

    /// Returns whether a member counts.
    pub fn counts(&self, ip: Ipv4Addr) -> bool {
        ip == self.own || self.others.get(&ip).is_some_and(|known| known.counts)
    }

    /// Returns the number of members that count, including this one.
    pub fn count(&self) -> usize {
        1 + self.counting().count()
    }

    /// Applies the statement of another member, which may count members that this one has never
    /// heard. The larger one goes first until the process that made it states that there are none:
    /// once that one is silent, nobody else may know them.
    pub fn record_statement(&mut self, now: Instant, statement: Statement) {
        if self.others.get(&statement.by).is_some_and(|known| known.is_leaving) {
            return;
        }
        let origin = |statement: &Statement| (statement.by, statement.incarnation);
        let known = self.stated(now).filter(|known| origin(known) != origin(&statement));
        let largest = known.map_or(0, |known| known.members).max(self.staying());
        if statement.members > largest {
            self.stated = Some((statement, now));
        } else if known.is_none() {
            self.stated = None;
        }
    }

    /// Returns the number of members to state to the others. The statement of a member that is
    /// heard is left out, so that members don't confirm each other's statements.
    pub fn statement(&self, now: Instant) -> usize {
        let stated = self.stated(now).filter(|stated| !self.is_heard(stated.by));
        stated.map_or(0, |stated| stated.members).max(self.staying())
    }

    /// Returns the number of members that count and have not announced their planned stop. Members
    /// count leaving ones for different times, so that these aren't stated.
    fn staying(&self) -> usize {
        let others = self.counting().filter(|known| !known.is_leaving).count();
        usize::from(!self.is_leaving) + others
    }

    fn stated(&self, now: Instant) -> Option<Statement> {
        let is_valid = |at: Instant| now.saturating_duration_since(at) < SILENT_RETENTION;
        self.stated.filter(|(_, at)| is_valid(*at)).map(|(stated, _)| stated)
    }

    fn is_heard(&self, ip: Ipv4Addr) -> bool {
        self.others.get(&ip).is_some_and(|known| known.until.is_none())
    }

    /// Returns the share of this member.
    ///
    /// `is_settled` says whether this member knows the others, as far as it can tell, and
    /// `has_seeds` whether its settings name others.
    pub fn share(
        &self,
        now: Instant,
        serving: Serving<'_>,
        is_settled: bool,
        has_seeds: bool,
    ) -> Share {
        let is_alone = self.count() == 1;
        let age = now.saturating_duration_since(self.started);
        if is_alone && (!has_seeds || age >= SILENT_RETENTION) {
            return Share::OneOf(1);
        }
        if is_alone || !is_settled {
            return Share::Unknown;
        }
        Share::OneOf(self.members(now, serving))
    }

    /// Returns by how many members the bounds are divided.
    ///
    /// The serving members that are silent keep their shares; those that are heard, among them
    /// the ones that were selected in place of silent ones, divide the others. Members that only
    /// others know count as if as many of them served.
    fn members(&self, now: Instant, serving: Serving<'_>) -> usize {
        let stated = self.stated(now).map_or(0, |stated| stated.members);
        let fleet = self.count() + stated.saturating_sub(self.staying());
        let heard = serving.counted.intersection(serving.heard).count();
        if heard == 0 || !serving.heard.contains(&self.own) {
            return fleet;
        }
        (serving.heard.len() * serving.counted.len()).div_ceil(heard) * fleet / self.count()
    }
}
