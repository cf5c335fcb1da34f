//! A fleet whose members are cut off from each other, killed, started and stopped.
//!
//! Members of the same part hear each other at once; a member that is no longer heard falls silent
//! after [`DETECTION`]. All members serve.

use std::collections::{BTreeMap, BTreeSet};
use std::net::Ipv4Addr;
use std::time::{Duration, Instant};

use bergamot_dispatch::{
    AttemptPriority, Presence, RetryBudget, RetryBudgetLimits, Serving, Share, Spenders,
    SpendingTimes, Statement,
};
use bergamot_policy::Policy;

pub(crate) const LIMITS: RetryBudgetLimits =
    RetryBudgetLimits { ratio: 0.0, slack: 56.0, window: Duration::from_secs(10) };

/// How long a planned stop takes.
pub(crate) const STOP: Duration = Duration::from_millis(5_600);

/// The time after which a member that is not heard counts as unreachable.
const DETECTION: Duration = Duration::from_secs(2);

/// The time after which a member that hears nobody takes itself for the only one.
const SOLE: Duration = Duration::from_secs(1);

/// The time after which a member that hears others knows all of them.
const SETTLED: Duration = Duration::from_millis(300);

/// The part of the fleet that is not cut off.
const WHOLE: usize = 0;

struct Process {
    run: u64,
    started: Instant,
    leaving: bool,
    ends_at: Option<Instant>,
    spenders: Spenders,
    budget: RetryBudget,
    /// The run, presence and last sign of each other member.
    view: BTreeMap<usize, (u64, Presence, Instant)>,
    /// Whether this process knows the fleet: it was among the first, or counts all members that
    /// one counts that knows it.
    informed: bool,
    share: Share,
}

/// The fleet.
pub(crate) struct Fleet {
    pub(crate) now: Instant,
    /// Each address, and its process if one runs.
    processes: Vec<Option<Process>>,
    /// The part of each address.
    parts: Vec<usize>,
    /// Addresses that were stopped as planned.
    stopped: BTreeSet<usize>,
    runs: u64,
    next_part: usize,
    spent: Vec<Instant>,
    /// The shares of processes that have ended, and when.
    ended: Vec<(Instant, f64)>,
}

impl Fleet {
    /// Creates a fleet that has been running for a minute.
    pub(crate) fn new(size: usize) -> Self {
        let mut fleet = Self {
            now: Instant::now(),
            processes: Vec::new(),
            parts: Vec::new(),
            stopped: BTreeSet::new(),
            runs: 0,
            next_part: WHOLE + 1,
            spent: Vec::new(),
            ended: Vec::new(),
        };
        for address in 0..size {
            fleet.add_machine();
            fleet.processes[address].as_mut().expect("it has started").informed = true;
        }
        for _ in 0..120 {
            fleet.step(Duration::from_millis(500));
        }
        fleet
    }

    /// Adds a machine, and lets the members hear of it before anything else happens.
    pub(crate) fn join(&mut self) {
        self.add_machine();
        self.settle();
    }

    fn settle(&mut self) {
        for _ in 0..2 {
            self.step(SETTLED);
        }
    }

    fn add_machine(&mut self) {
        self.processes.push(None);
        self.parts.push(WHOLE);
        self.start_process(self.processes.len() - 1);
    }

    /// Returns whether a process runs that knows the fleet.
    pub(crate) fn is_known(&self) -> bool {
        self.processes.iter().flatten().any(|process| process.informed)
    }

    pub(crate) fn is_whole(&self) -> bool {
        self.parts.iter().all(|part| *part == WHOLE)
    }

    /// Cuts some members off from all others, together or each from each other.
    pub(crate) fn cut(&mut self, members: u16, together: bool) {
        for part in self.parts.clone().into_iter().collect::<BTreeSet<_>>() {
            self.next_part += 1;
            for address in 0..self.parts.len() {
                if self.parts[address] == part && members & (1 << address) != 0 {
                    self.parts[address] = self.next_part;
                    self.next_part += usize::from(!together);
                }
            }
            self.next_part += 1;
        }
    }

    /// Ends the cuts of some members. Processes that know nothing of the fleet stay apart until one
    /// that does can be reached.
    pub(crate) fn heal(&mut self, members: u16) {
        let healed: Vec<usize> =
            (0..self.parts.len()).filter(|address| members & (1 << address) != 0).collect();
        let informed = |address: &usize| {
            self.processes[*address].as_ref().is_some_and(|process| process.informed)
        };
        let in_whole = (0..self.parts.len()).filter(|address| self.parts[*address] == WHOLE);
        if healed.iter().any(informed) || in_whole.into_iter().any(|address| informed(&address)) {
            for address in healed {
                self.parts[address] = WHOLE;
            }
        }
    }

    pub(crate) fn heal_all(&mut self) {
        self.parts.fill(WHOLE);
    }

    pub(crate) fn kill(&mut self, address: usize) {
        if let Some(process) = self.processes[address].take() {
            self.ended.push((self.now, process.share.slack(1.0)));
        }
    }

    /// Begins a planned stop.
    pub(crate) fn stop(&mut self, address: usize) {
        let ends_at = self.now + STOP;
        if let Some(process) = &mut self.processes[address] {
            (process.leaving, process.ends_at) = (true, Some(ends_at));
            self.stopped.insert(address);
        }
    }

    /// Starts a process where none runs. Where nobody can tell it of the fleet, it starts alone. A
    /// machine that was stopped as planned joins as a new one.
    pub(crate) fn start(&mut self, address: usize) {
        let part = self.parts[address];
        let informed = self.processes.iter().zip(&self.parts).any(|(process, at)| {
            *at == part && process.as_ref().is_some_and(|process| process.informed)
        });
        let may_join = informed && self.is_whole();
        let was_stopped = self.stopped.contains(&address);
        if self.processes[address].is_some() || (was_stopped && !may_join) {
            return;
        }
        if !informed {
            self.next_part += 1;
            self.parts[address] = self.next_part;
        }
        self.start_process(address);
        if self.stopped.remove(&address) {
            self.settle();
        }
    }

    fn start_process(&mut self, address: usize) {
        self.runs += 1;
        let times = SpendingTimes { window: LIMITS.window, stop: STOP };
        self.processes[address] = Some(Process {
            run: self.runs,
            started: self.now,
            leaving: false,
            ends_at: None,
            spenders: Spenders::new(self.now, ip(address), times),
            budget: RetryBudget::new(self.now),
            view: BTreeMap::new(),
            informed: false,
            share: Share::Unknown,
        });
    }

    /// Lets time pass; then every member spends what it may.
    pub(crate) fn step(&mut self, gap: Duration) {
        self.now += gap;
        for address in 0..self.processes.len() {
            let ends_at = self.processes[address].as_ref().and_then(|process| process.ends_at);
            if ends_at.is_some_and(|ends_at| ends_at <= self.now) {
                self.kill(address);
            }
        }
        self.exchange();
        for address in 0..self.processes.len() {
            self.update(address);
        }
        let (now, policy) = (self.now, Policy::default());
        for process in self.processes.iter_mut().flatten() {
            let priority = AttemptPriority::Required;
            while process.budget.try_spend(now, &LIMITS, &policy, process.share, priority) {
                self.spent.push(now);
            }
        }
    }

    /// Members of the same part hear each other, and tell each other of members and departures.
    fn exchange(&mut self) {
        let now = self.now;
        for address in 0..self.processes.len() {
            let Some(mut process) = self.processes[address].take() else { continue };
            for (other, peer) in self.processes.iter().enumerate() {
                let Some(peer) = peer.as_ref().filter(|_| self.parts[other] == self.parts[address])
                else {
                    continue;
                };
                let presence = if peer.leaving { Presence::Leaving } else { Presence::Heard };
                process.view.insert(other, (peer.run, presence, now));
                let is_complete = (0..self.parts.len())
                    .map(ip)
                    .all(|ip| process.spenders.counts(ip) || !peer.spenders.counts(ip));
                process.informed |= peer.informed && is_complete;
                let heard = peer.view.values().filter(|known| known.1 == Presence::Heard).count()
                    + usize::from(!peer.leaving);
                let members = heard.max(peer.spenders.statement(now));
                let (by, incarnation) = (ip(other), peer.run);
                process.spenders.record_statement(now, Statement { by, incarnation, members });
                for (third, known) in &peer.view {
                    let is_news = process.view.get(third).is_none_or(|own| {
                        own.0 < known.0 || (own.0 == known.0 && known.1 == Presence::Leaving)
                    });
                    if *third != address && known.1 != Presence::Silent && is_news {
                        process.view.insert(*third, *known);
                    }
                }
            }
            self.processes[address] = Some(process);
        }
    }

    fn update(&mut self, address: usize) {
        let now = self.now;
        let size = self.processes.len();
        let Some(process) = &mut self.processes[address] else { return };
        for known in process.view.values_mut() {
            if known.1 == Presence::Heard && now - known.2 >= DETECTION {
                known.1 = Presence::Silent;
            }
        }
        let own = if process.leaving { Presence::Leaving } else { Presence::Heard };
        let others = process.view.iter().map(|(other, known)| (ip(*other), known.1));
        process.spenders.update(now, others.chain([(ip(address), own)]));
        process.spenders.expire(now);
        let counted = (0..size).map(ip).filter(|ip| process.spenders.counts(*ip)).collect();
        let is_heard = |known: &(u64, Presence, Instant)| known.1 == Presence::Heard;
        let others = process.view.iter().filter(|(_, known)| is_heard(known));
        let mut heard: BTreeSet<Ipv4Addr> = others.map(|(other, _)| ip(*other)).collect();
        if !process.leaving {
            heard.insert(ip(address));
        }
        let age = now - process.started;
        let is_settled = age >= if process.view.is_empty() { SOLE } else { SETTLED };
        let serving = Serving { heard: &heard, counted: &counted };
        process.share = process.spenders.share(now, serving, is_settled, true);
    }

    /// Returns the shares of the members that run.
    pub(crate) fn shares(&self) -> Vec<Share> {
        self.processes.iter().flatten().map(|process| process.share).collect()
    }

    /// Returns the sum of the parts of the slack that the members may spend.
    pub(crate) fn slack(&self) -> f64 {
        self.shares().into_iter().map(|share| share.slack(1.0)).sum()
    }

    /// Returns the attempts of all members in the last window.
    pub(crate) fn spent(&self) -> f64 {
        self.spent.iter().filter(|at| self.now - **at < LIMITS.window).count() as f64
    }

    /// Returns the bound on them. A process forgets what the one before it has spent, and the
    /// others have spent a larger share before one joins: those that started or ended in the last
    /// window add theirs.
    pub(crate) fn bound(&self) -> f64 {
        let is_recent = |at: Instant| self.now - at <= LIMITS.window;
        let started = self.processes.iter().flatten().filter(|process| is_recent(process.started));
        let started: f64 = started.map(|process| process.share.slack(1.0)).sum();
        let ended: f64 = self.ended.iter().filter(|(at, _)| is_recent(*at)).map(|(_, s)| s).sum();
        LIMITS.slack * (1.0 + started + ended)
    }

    pub(crate) fn size(&self) -> usize {
        self.processes.len()
    }
}

fn ip(address: usize) -> Ipv4Addr {
    Ipv4Addr::new(10, 0, 0, u8::try_from(address).expect("few members"))
}
