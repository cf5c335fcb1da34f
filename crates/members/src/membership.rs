//! One member's part in the membership: what it knows, whom it probes, what it tells.
//!
//! A member that starts asks a seed for some members, compares its view with theirs, and
//! pushes the word that it is there. From then on it probes ([`Prober`]), passes news on
//! ([`Rumours`]) and compares views that differ ([`Sync`]). All of it travels in datagrams,
//! each of which may be lost. Time, events and random draws go in, messages come out.
//! Invariants: nobody but a member itself says that it is alive after it was doubted; a
//! member that is taken for alive is suspected, and may refute, before it counts as
//! unreachable, whatever others say of it. See `docs/design/0013-views-that-agree.md`.

mod sending;

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use bergamot_quarantine::Report;
use rand::RngExt;
use rand::rngs::StdRng;

use crate::message::{Datagram, Digest, Kind, Summary};
use crate::prober::{Prober, Timing};
use crate::record::{Endpoint, Record, State};
use crate::rumour::{Reach, Rumour, Rumours};
use crate::sync::{self, Sync};
use crate::view::{Listed, View};

/// How many others are asked to ping a silent member.
const HELPERS: usize = 3;

/// How many members hear at once of a new revision.
const FANOUT: usize = 4;

/// How soon a seed is asked again, at first, that isn't known to be alive: one that starts at
/// the same moment may be the only way to those that asked it.
const JOIN: Duration = Duration::from_millis(100);

/// How often such a seed is asked after a while: it may have been replaced, or be the only way
/// to the other part of a fleet that was split.
const LONGEST_JOIN: Duration = Duration::from_secs(2);

/// How long a member that hears of nobody waits until it takes itself for the only one: the
/// others of a fleet that loses its power are back within some seconds of each other, and a
/// seed that lives answers within two of these times.
const ALONE: Duration = Duration::from_secs(1);

/// How long a view may stay unsettled: a member whose datagrams get lost has to do with what it
/// knows in the end.
const UNSETTLED: Duration = Duration::from_secs(3);

/// How long the word of others counts on how many members there are: some probes.
const TOLD: Duration = Duration::from_secs(2);

/// The part of the fleet's size, as others tell it, that a settled view must hold.
const SETTLED: f64 = 0.9;

/// How long a member that can't be reached is remembered: splits last for minutes.
const FORGET: Duration = Duration::from_hours(1);

/// How many changes are kept for whoever asks for them.
const MOST_CHANGED: usize = 1024;

/// How many reports on requests are kept for whoever asks for them.
const MOST_REPORTS: usize = 1024;

/// A datagram and where it goes.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Outgoing {
    /// The receiver.
    pub to: Endpoint,
    /// The datagram.
    pub datagram: Datagram,
}

/// How a record was heard of.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Heard {
    /// As news, from the member itself or another one: it is pushed on.
    News(Reach),
    /// From a member that knew what was lacking here.
    Told,
}

/// One member's part in the membership.
#[derive(Debug)]
pub struct Membership {
    me: Record,
    rng: StdRng,
    view: View,
    prober: Prober,
    rumours: Rumours,
    sync: Sync,
    seeds: Vec<Endpoint>,
    next_seed: usize,
    join_at: Instant,
    join_again: Duration,
    leaving: Vec<Rumour>,
    /// What others said of requests since it was last asked for.
    reports: Vec<Report>,
    /// What changed since it was last asked for.
    changed: Vec<(Endpoint, State)>,
    started: Instant,
    /// Whether the view was once whole, as far as others could tell.
    settled: bool,
    heard: bool,
    /// The largest fleet that others told of lately, and when.
    told: Option<(Instant, u32)>,
    /// When members that take no work are forgotten.
    forget: BTreeMap<Endpoint, Instant>,
}

impl Membership {
    /// Starts a run. `seeds` may be down, and may name this member itself.
    pub fn new(
        now: Instant,
        timing: Timing,
        me: Record,
        seeds: Vec<Endpoint>,
        mut rng: StdRng,
    ) -> Self {
        let mut view = View::default();
        view.apply(&me);
        let mut rumours = Rumours::default();
        rumours.add(now, Rumour::Member(me.clone()), Reach::Everywhere);
        let next_seed = rng.random_range(0..seeds.len().max(1));
        Self {
            me,
            rng,
            view,
            prober: Prober::new(now, timing),
            rumours,
            sync: Sync::new(),
            seeds,
            next_seed,
            join_at: now,
            join_again: JOIN,
            leaving: Vec::new(),
            reports: Vec::new(),
            changed: Vec::new(),
            started: now,
            settled: false,
            heard: false,
            told: None,
            forget: BTreeMap::new(),
        }
    }

    /// Returns the report about this run.
    pub fn me(&self) -> &Record {
        &self.me
    }

    /// Returns what is known of all members.
    pub fn view(&self) -> &View {
        &self.view
    }

    /// Tells whether the view was whole once in this run, as far as others could tell.
    ///
    /// Before that, what follows from the number of members isn't decided by it.
    pub fn is_settled(&self, now: Instant) -> bool {
        let time = self.age(now);
        self.settled || time >= UNSETTLED || (!self.heard && time >= ALONE)
    }

    /// Returns how long ago this run started.
    pub(crate) fn age(&self, now: Instant) -> Duration {
        now.saturating_duration_since(self.started)
    }

    /// Returns how many members there are, as far as it is known or others tell.
    pub fn size(&self, now: Instant) -> usize {
        let told = self.told.filter(|(at, _)| now.saturating_duration_since(*at) < TOLD);
        self.view.count_working().max(told.map_or(0, |(_, told)| told as usize))
    }

    /// Takes other seeds.
    pub fn set_seeds(&mut self, now: Instant, seeds: Vec<Endpoint>) {
        self.seeds = seeds;
        self.join_at = now;
        self.join_again = JOIN;
    }

    /// Takes in the platform's list of instances.
    pub fn apply_list(&mut self, now: Instant, list: &[Listed]) {
        for record in self.view.apply_list(list) {
            self.rumours.add(now, Rumour::Member(record), Reach::Zone);
        }
    }

    /// Passes news on.
    pub fn spread(&mut self, now: Instant, rumour: Rumour) {
        self.rumours.add(now, rumour, Reach::Everywhere);
    }

    /// Takes in reports that a member told in an exchange of another kind.
    pub fn learn_all(&mut self, now: Instant, records: &[Record]) {
        for record in records {
            self.learn(now, record, Heard::Told);
        }
    }

    /// Changes the state of this run for good and returns the farewells to send.
    pub fn farewell(&mut self, now: Instant, state: State, digest: Digest) -> Vec<Outgoing> {
        self.me.state = self.me.state.max(state);
        self.say(now);
        let mut out = self.announce(digest);
        self.push(now, digest, &mut out);
        out
    }

    /// Returns datagrams that tell a few members at once what is in force.
    pub fn announce(&mut self, digest: Digest) -> Vec<Outgoing> {
        let targets = self.sample(FANOUT, |_| true);
        targets.into_iter().map(|to| self.probe_datagram(to, Kind::News, digest)).collect()
    }

    /// Returns how much news is still passed on.
    pub fn rumours(&self) -> usize {
        self.rumours.len()
    }

    /// Picks members to ask for what they have in force.
    pub fn peers(&mut self, count: usize) -> Vec<Endpoint> {
        self.sample(count, |_| true)
    }

    /// Returns the searchers that peers reported as leaving since the last call.
    pub fn take_leaving(&mut self) -> Vec<Rumour> {
        std::mem::take(&mut self.leaving)
    }

    /// Returns what peers said of requests under which searchers ended since the last call.
    pub fn take_reports(&mut self) -> Vec<Report> {
        std::mem::take(&mut self.reports)
    }

    /// Passes on, in the own zone, news that another member has told.
    pub fn pass_on(&mut self, now: Instant, rumour: Rumour) {
        self.rumours.add(now, rumour, Reach::Zone);
    }

    /// Returns the members whose state changed since the last call, the first of them if they
    /// are many.
    pub fn take_changed(&mut self) -> Vec<(Endpoint, State)> {
        std::mem::take(&mut self.changed)
    }

    /// Tells when [`Membership::tick`] has something to do.
    pub fn due(&self) -> Instant {
        let others = [self.rumours.push_due(), self.sync.due(self.settled), self.next_forgotten()];
        others.into_iter().flatten().fold(self.prober.due().min(self.join_at), Instant::min)
    }

    /// Does what is due.
    pub fn tick(&mut self, now: Instant, digest: Digest) -> Vec<Outgoing> {
        let mut out = Vec::new();
        self.join(now, digest, &mut out);
        self.ask_helpers(now, digest, &mut out);
        self.expire_suspects(now);
        self.forget(now);
        if self.prober.is_due(now) {
            if let Some(silent) = self.prober.end_period(now) {
                self.suspect(now, silent);
            }
            if let Some((number, to)) = self.prober.ping(now, &self.me, &self.view, &mut self.rng) {
                out.push(self.probe_datagram(to, Kind::Ping(number), digest));
            }
        }
        if self.rumours.push_due().is_some_and(|due| due <= now) {
            self.push(now, digest, &mut out);
        }
        if self.sync.due(self.settled).is_some_and(|due| due <= now)
            && let Some(peer) = self.sync.begin(now, self.view.changes(), self.settled)
        {
            let peer = if self.settled { peer } else { self.any_other().unwrap_or(peer) };
            let summary = Summary(*self.view.ranges());
            out.push(self.datagram(peer, Kind::Compare(Box::new(summary)), digest, Vec::new()));
        }
        out
    }

    /// Takes in a datagram and returns the answers to it.
    pub fn receive(&mut self, now: Instant, datagram: &Datagram, digest: Digest) -> Vec<Outgoing> {
        let from = datagram.from.endpoint;
        if from == self.me.endpoint {
            return Vec::new();
        }
        self.heard = true;
        let reach = Heard::News(Reach::Zone);
        self.learn(now, &datagram.from, reach);
        let how = if datagram.kind == Kind::Tell { Heard::Told } else { reach };
        let mut outdated = Vec::new();
        for rumour in &datagram.rumours {
            match rumour {
                Rumour::Member(record) => outdated.extend(self.learn(now, record, how)),
                Rumour::Leaving { .. } => self.leaving.push(rumour.clone()),
                Rumour::Suspicion(report) if self.reports.len() < MOST_REPORTS => {
                    self.reports.push(report.clone());
                }
                // Whoever asked for none of them so far asks for none at all.
                Rumour::Suspicion(_) => {}
            }
        }
        self.compare(now, from, &datagram.digest);
        let mut out = self.answer(datagram, digest);
        if !outdated.is_empty() {
            out.extend(self.tell(from, &outdated, digest));
        }
        out
    }

    /// Answers what a datagram asks for.
    fn answer(&mut self, datagram: &Datagram, digest: Digest) -> Vec<Outgoing> {
        let from = datagram.from.endpoint;
        match &datagram.kind {
            Kind::Ping(number) => vec![self.probe_datagram(from, Kind::Ack(*number), digest)],
            Kind::Ack(number) => {
                let passed = self.prober.acknowledged(*number);
                let pass =
                    |(origin, number)| self.probe_datagram(origin, Kind::Ack(number), digest);
                passed.map(pass).into_iter().collect()
            }
            Kind::Ask(number, target) => {
                let own = self.prober.relay(from, *number);
                vec![self.probe_datagram(*target, Kind::Ping(own), digest)]
            }
            Kind::News | Kind::Tell => Vec::new(),
            Kind::Join => {
                let some = sync::some(&self.view, &datagram.from, &mut self.rng);
                self.tell(from, &some, digest)
            }
            Kind::Compare(summary) => match sync::differing(&self.view, summary, &mut self.rng) {
                Some(prints) => {
                    vec![self.datagram(from, Kind::Differ(prints), digest, Vec::new())]
                }
                None => self.tell(from, &[], digest),
            },
            Kind::Differ(prints) => {
                let (told, wanted) = sync::lacking(&self.view, prints, &mut self.rng);
                let mut out = Vec::new();
                if !told.is_empty() {
                    out = self.tell(from, &told, digest);
                }
                if !wanted.prints.is_empty() {
                    out.push(self.datagram(from, Kind::Want(wanted), digest, Vec::new()));
                }
                out
            }
            Kind::Want(prints) => {
                let told = sync::wanted(&self.view, prints, &mut self.rng);
                self.tell(from, &told, digest)
            }
        }
    }

    /// Compares what a member takes for alive with what is here.
    fn compare(&mut self, now: Instant, peer: Endpoint, theirs: &Digest) {
        let same = theirs.view == self.view.hash();
        self.sync.see(now, peer, theirs.view, self.view.hash());
        let recent = |(at, _): &(Instant, u32)| now.saturating_duration_since(*at) < TOLD;
        let told = self.told.filter(recent).map_or(0, |(_, told)| told);
        if theirs.members >= told {
            self.told = Some((now, theirs.members));
        }
        let known = self.view.count_working() as f64;
        if same && known >= SETTLED * f64::from(told.max(theirs.members)) {
            self.settled = true;
        }
    }

    /// Takes in one report; refutes it where it is a false one about this run.
    ///
    /// Returns what is known here of a member that the report takes for alive and that isn't.
    fn learn(&mut self, now: Instant, record: &Record, how: Heard) -> Option<Record> {
        if record.endpoint == self.me.endpoint {
            self.refute(now, record);
            return None;
        }
        let known = self.view.get(record.endpoint);
        let record = match known {
            Some(known) if condemns(record, known) => {
                // It may refute: whoever says so may have been cut off from it.
                &Record { state: State::Suspect, ..record.clone() }
            }
            _ => record,
        };
        if !self.view.apply(record) {
            let known = self.view.get(record.endpoint)?;
            let is_outdated = record.state.takes_work() && !known.state.takes_work();
            return is_outdated.then(|| known.clone());
        }
        self.note(now, record);
        if let Heard::News(reach) = how {
            self.rumours.add(now, Rumour::Member(record.clone()), reach);
        }
        None
    }

    /// Keeps the times up to date that hang on a member's state.
    fn note(&mut self, now: Instant, record: &Record) {
        self.prober.note(now, record);
        if self.changed.len() < MOST_CHANGED {
            self.changed.push((record.endpoint, record.state));
        }
        if record.state.takes_work() {
            self.forget.remove(&record.endpoint);
        } else {
            self.forget.insert(record.endpoint, now + FORGET);
        }
    }

    fn refute(&mut self, now: Instant, record: &Record) {
        if !record.overrides(&self.me) {
            return;
        }
        if record.incarnation == self.me.incarnation {
            self.me.counter = record.counter + 1;
        } else {
            // A predecessor whose clock was ahead numbered itself after us; nobody would
            // believe this run until it has a later number.
            self.me.incarnation = record.incarnation + 1;
        }
        self.say(now);
    }

    /// Tells everybody the news about this run.
    fn say(&mut self, now: Instant) {
        self.view.apply(&self.me);
        self.rumours.add(now, Rumour::Member(self.me.clone()), Reach::Everywhere);
    }

    /// Asks a seed that isn't known to be alive.
    fn join(&mut self, now: Instant, digest: Digest, out: &mut Vec<Outgoing>) {
        if now < self.join_at {
            return;
        }
        self.join_at = now + self.join_again;
        let alone = self.view.count_working() <= 1;
        self.join_again = if alone { JOIN } else { LONGEST_JOIN.min(self.join_again * 2) };
        let is_known = |seed: &Endpoint| {
            *seed == self.me.endpoint
                || self.view.get(*seed).is_some_and(|known| known.state.takes_work())
        };
        let unknown = (0..self.seeds.len())
            .map(|turn| (self.next_seed + turn) % self.seeds.len())
            .find(|seed| !is_known(&self.seeds[*seed]));
        if let Some(seed) = unknown {
            self.next_seed = seed + 1;
            let to = self.seeds[seed];
            out.push(self.datagram(to, Kind::Join, digest, Vec::new()));
        }
    }

    fn ask_helpers(&mut self, now: Instant, digest: Digest, out: &mut Vec<Outgoing>) {
        let Some((number, target)) = self.prober.unanswered(now) else {
            return;
        };
        let helpers = self.sample(HELPERS, |record| record.endpoint != target);
        for helper in helpers {
            out.push(self.probe_datagram(helper, Kind::Ask(number, target), digest));
        }
    }

    fn suspect(&mut self, now: Instant, target: Endpoint) {
        let Some(known) = self.view.get(target).filter(|known| known.state == State::Alive) else {
            return;
        };
        let suspicion = Record { state: State::Suspect, ..known.clone() };
        self.learn(now, &suspicion, Heard::News(Reach::Everywhere));
    }

    /// Counts suspects as unreachable that did not refute in time. Nobody needs to be told: who
    /// heard of the suspicion does the same.
    fn expire_suspects(&mut self, now: Instant) {
        for endpoint in self.prober.expired(now) {
            let Some(known) = self.view.get(endpoint) else {
                continue;
            };
            if known.state == State::Suspect {
                let unreachable = Record { state: State::Unreachable, ..known.clone() };
                self.view.apply(&unreachable);
                self.note(now, &unreachable);
            }
        }
    }

    fn next_forgotten(&self) -> Option<Instant> {
        self.forget.values().min().copied()
    }

    fn forget(&mut self, now: Instant) {
        let over = |until: &Instant| now >= *until;
        for (endpoint, _) in self.forget.extract_if(.., |_, until| over(until)) {
            self.view.forget(endpoint);
        }
    }
}

/// Tells whether a report counts a run as unreachable that is taken for alive or suspect here.
fn condemns(report: &Record, known: &Record) -> bool {
    report.state == State::Unreachable
        && known.state.takes_work()
        && known.incarnation == report.incarnation
}
