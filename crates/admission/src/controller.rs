//! Admission to one pool of searchers.
//!
//! A request is granted while fewer run than the limit allows, queued if it is expected to finish
//! within its target latency nevertheless, and otherwise refused. Invariant: after each event, no
//! request that can finish in time waits while fewer run than the limit allows.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use bergamot_policy::{ComeBack, Queue};

use crate::bookings::Bookings;
use crate::congestion::Congestion;
use crate::decision::{Changes, Coverage, Decision, Demand, Grant, Outcome, Shortage};
use crate::holding_time::HoldingTime;
use crate::limit::Limit;
use crate::pool::Pool;
use crate::queue::{WaitQueue, Waiting};
use crate::running::{Run, Running};
use crate::status::{Counts, Status};

/// The longest target and deadline that are taken from another member.
const LONGEST: Duration = Duration::from_hours(1);

/// Decides about the requests to one pool.
#[derive(Clone, Debug)]
pub(crate) struct Controller {
    policy: Queue,
    comeback: ComeBack,
    limit: Limit,
    holding: HoldingTime,
    congestion: Congestion,
    running: Running,
    queue: WaitQueue,
    bookings: Bookings,
    counts: BTreeMap<u32, Counts>,
    /// The slots that the latest request found.
    slots: usize,
}

impl Controller {
    /// Creates the controller of a pool without observations.
    pub(crate) fn new(policy: Queue, comeback: ComeBack, slots: usize) -> Self {
        Self {
            policy,
            comeback,
            limit: Limit::new(policy, slots),
            holding: HoldingTime::default(),
            congestion: Congestion::default(),
            running: Running::default(),
            queue: WaitQueue::new(policy.starvation),
            bookings: Bookings::default(),
            counts: BTreeMap::new(),
            slots,
        }
    }

    /// Decides about a request, which `grant` identifies.
    pub(crate) fn request(&mut self, now: Instant, grant: Grant, demand: Demand) -> Decision {
        self.slots = demand.slots;
        if self.queue.is_empty() {
            // While requests wait, a higher limit is used by the next event that can grant them.
            self.limit.set_slots(self.slots);
        }
        let waiting = Waiting {
            grant,
            priority: demand.priority,
            origin: demand.origin,
            since: now,
            target: demand.target.min(LONGEST),
            deadline: demand.deadline.min(LONGEST),
        };
        if self.queue.is_empty() && self.running.len() < self.limit.get() {
            self.start(now, waiting);
            return Decision::Granted(grant);
        }
        self.queue.insert(waiting.clone());
        let ahead = self.queue.ahead(grant, &self.running).unwrap_or(0);
        if waiting.meets_target(now, self.expected(&waiting, ahead)) {
            return Decision::Queued(grant);
        }
        self.queue.remove(grant);
        Decision::Refused(self.refuse(now, &waiting, ahead))
    }

    /// Records how a granted request ended, or that a waiting one is not needed any more.
    pub(crate) fn complete(&mut self, now: Instant, grant: Grant, outcome: Outcome) -> Changes {
        self.queue.remove(grant);
        if let Some(run) = self.running.remove(grant) {
            self.record(now, &run, outcome);
        }
        self.grant_waiting(now)
    }

    /// Ends leases, and refuses the waiting requests that can't finish in time any more; also
    /// returns the grants whose lease has ended.
    pub(crate) fn expire(&mut self, now: Instant) -> (Changes, Vec<Grant>) {
        self.bookings.expire(now);
        let ended = self.running.expire(now);
        self.lower_limit_if_overdue(now);
        let mut changes = self.grant_waiting(now);
        changes.refused.extend(self.refuse_late(now));
        (changes, ended)
    }

    /// Returns whether no request is running or waiting.
    pub(crate) fn is_idle(&self) -> bool {
        self.running.len() == 0 && self.queue.is_empty()
    }

    /// Returns the state of the controller, which decides about `pool`.
    pub(crate) fn status(&self, pool: Pool) -> Status {
        Status {
            pool,
            running: self.running.len(),
            waiting: self.queue.by_priority().into_iter().collect(),
            limit: self.limit.get(),
            holding: self.holding.mean(),
            bookings: self.bookings.len(),
            counts: self.counts().collect(),
        }
    }

    /// Returns the requests that were decided about by priority.
    pub(crate) fn counts(&self) -> impl Iterator<Item = (u32, Counts)> {
        self.counts.iter().map(|(priority, counts)| (*priority, *counts))
    }

    fn record(&mut self, now: Instant, run: &Run, outcome: Outcome) {
        let elapsed = now.saturating_duration_since(run.since);
        let took = match outcome {
            Outcome::Covered(Coverage { took, is_congested }) => {
                self.limit.record_answer(now);
                self.congestion.record(is_congested);
                took.min(elapsed)
            }
            Outcome::Ended => elapsed,
        };
        let is_usual = took < self.holding.expected(run.target, &self.policy);
        if outcome == Outcome::Ended && is_usual {
            // Its caller left or an attempt failed, which says nothing about the searchers.
            return;
        }
        self.holding.record(now, took, self.limit.get());
        self.adjust_limit(now, run, took);
    }

    /// Adjusts the limit after a request held its grant for `took`.
    fn adjust_limit(&mut self, now: Instant, run: &Run, took: Duration) {
        let upper = self.holding.upper(run.target, &self.policy);
        let is_early = upper <= run.target.mul_f64(self.policy.early);
        let running = self.running.len() + 1;
        if is_early || upper <= run.target && self.holding.is_best(&self.policy) {
            self.limit.raise(running);
        } else if self.congestion.is_likely() {
            self.limit.lower(now, took, run.target, running);
        }
    }

    /// Lowers the limit if searchers have become so slow that answers are late before the first one
    /// arrives.
    fn lower_limit_if_overdue(&mut self, now: Instant) {
        if let Some(run) = self.running.overdue(now).filter(|_| self.congestion.is_likely()) {
            let age = now.saturating_duration_since(run.since);
            self.limit.lower(now, age, run.target, self.running.len());
        }
    }

    /// Grants waiting requests up to the limit, and refuses those that can't finish in time.
    fn grant_waiting(&mut self, now: Instant) -> Changes {
        self.limit.set_slots(self.slots);
        let (mut granted, mut late) = (Vec::new(), Vec::new());
        while self.running.len() < self.limit.get() {
            let can_finish = |waiting: &Waiting| {
                let upper = self.holding.upper(waiting.target, &self.policy);
                waiting.meets_target(now, upper)
            };
            let Some(waiting) = self.queue.pop(&self.running, can_finish, &mut late) else {
                break;
            };
            granted.push(waiting.grant);
            self.start(now, waiting);
        }
        let refused = late.iter().map(|one| (one.grant, self.refuse(now, one, 0))).collect();
        Changes { granted, refused }
    }

    /// Refuses the waiting requests that can't finish in time.
    fn refuse_late(&mut self, now: Instant) -> Vec<(Grant, Shortage)> {
        let mut queue = std::mem::replace(&mut self.queue, WaitQueue::new(self.policy.starvation));
        let late = queue.remove_late(&self.running, |waiting, ahead| {
            !waiting.meets_target(now, self.expected(waiting, ahead))
        });
        self.queue = queue;
        let refused = late.into_iter();
        refused.map(|(one, ahead)| (one.grant, self.refuse(now, &one, ahead))).collect()
    }

    fn start(&mut self, now: Instant, waiting: Waiting) {
        self.counts.entry(waiting.priority).or_default().granted += 1;
        let lease = waiting.since + waiting.deadline + self.policy.lease;
        let run = Run { origin: waiting.origin, since: now, target: waiting.target, lease };
        self.running.insert(waiting.grant, run);
    }

    fn refuse(&mut self, now: Instant, waiting: &Waiting, ahead: usize) -> Shortage {
        self.counts.entry(waiting.priority).or_default().refused += 1;
        let deadline = (waiting.since + waiting.deadline).saturating_duration_since(now);
        let interval = self.interval(waiting);
        Shortage {
            expected: self.expected(waiting, ahead),
            retry_after: self.bookings.book(now, interval, deadline, &self.comeback),
            ahead,
            limit: self.limit.get(),
        }
    }

    /// Returns the expected time until a request finishes that has `ahead` grants before its own.
    fn expected(&self, waiting: &Waiting, ahead: usize) -> Duration {
        let holding = self.holding.upper(waiting.target, &self.policy);
        self.interval(waiting).mul_f64(ahead as f64 + 1.0) + holding
    }

    /// Returns the mean time between two grants while the limit is reached.
    fn interval(&self, waiting: &Waiting) -> Duration {
        let holding = self.holding.expected(waiting.target, &self.policy);
        holding.div_f64(self.limit.get() as f64)
    }
}
