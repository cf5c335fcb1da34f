//! Properties of the order of grants, for any schedule of events.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use bergamot_admission::{Changes, Coordinator, Coverage, Decision, Demand, Grant, Outcome, Pool};
use proptest::prelude::*;

const MS: Duration = Duration::from_millis(1);

#[derive(Clone, Copy, Debug)]
enum Event {
    /// A request with a priority, an origin, a target in milliseconds, and the slots.
    Request(u32, usize, u32, usize),
    /// One of the running requests ends, with or without an answer.
    Complete(usize, bool),
    /// The caller of one of the waiting requests leaves.
    Leave(usize),
    Expire,
    Wait(u32),
}

fn events() -> impl Strategy<Value = Vec<Event>> {
    let request = (0..3_u32, 0..3_usize, 20..400_u32, 1..3_usize);
    let event = prop_oneof![
        6 => request.prop_map(|(a, b, c, d)| Event::Request(a, b, c, d)),
        4 => (any::<usize>(), any::<bool>()).prop_map(|(a, b)| Event::Complete(a, b)),
        1 => any::<usize>().prop_map(Event::Leave),
        1 => Just(Event::Expire),
        3 => (1..40_u32).prop_map(Event::Wait),
    ];
    prop::collection::vec(event, 0..400)
}

/// The requests as their members see them.
struct Callers {
    coordinator: Coordinator,
    now: Instant,
    /// The priority and the latest time of an answer of each waiting request.
    waiting: BTreeMap<Grant, (u32, Instant)>,
    /// When each running request was granted.
    running: Vec<(Grant, Instant)>,
    /// The grants to the most urgent priority since the last other one.
    urgent_grants: usize,
}

impl Callers {
    fn handle(&mut self, event: Event) -> Result<(), TestCaseError> {
        let changes = match event {
            Event::Request(priority, origin, target, slots) => {
                let (target, origin) = (target * MS, ["a", "b", "c"][origin].into());
                let demand = Demand { priority, origin, target, deadline: target * 4, slots };
                return self.request(demand);
            }
            Event::Complete(which, covered) if !self.running.is_empty() => {
                let (grant, since) = self.running.swap_remove(which % self.running.len());
                let answer =
                    Outcome::Covered(Coverage { took: self.now - since, is_congested: true });
                let outcome = if covered { answer } else { Outcome::Ended };
                self.coordinator.complete(self.now, grant, outcome)
            }
            Event::Leave(which) if !self.waiting.is_empty() => {
                let grant = self.waiting.keys().nth(which % self.waiting.len()).copied();
                self.waiting.retain(|other, _| Some(*other) != grant);
                grant.map_or_else(Changes::default, |grant| {
                    self.coordinator.complete(self.now, grant, Outcome::Ended)
                })
            }
            Event::Complete(..) | Event::Leave(_) => return Ok(()),
            Event::Expire => self.coordinator.expire(self.now),
            Event::Wait(ms) => {
                self.now += ms * MS;
                // The members of requests that run for this long have gone away.
                self.running.retain(|(_, since)| self.now - *since < 1000 * MS);
                return Ok(());
            }
        };
        self.apply(&changes)?;
        self.check_limit()
    }

    fn request(&mut self, demand: Demand) -> Result<(), TestCaseError> {
        let waiting = (demand.priority, self.now + demand.target);
        match self.coordinator.request(self.now, Pool::from_id(1), demand) {
            Decision::Granted(grant) => {
                prop_assert!(self.waiting.is_empty(), "a new request overtakes waiting ones");
                self.running.push((grant, self.now));
            }
            Decision::Queued(grant) => drop(self.waiting.insert(grant, waiting)),
            Decision::Refused(_) => (),
        }
        self.check_limit()
    }

    /// Applies changes, in which refused requests are those that could not finish in time.
    fn apply(&mut self, changes: &Changes) -> Result<(), TestCaseError> {
        let refused: Vec<_> = changes.refused.iter().map(|(grant, _)| *grant).collect();
        for grant in &changes.granted {
            let could_finish = self.waiting.iter().filter(|(other, _)| !refused.contains(other));
            let most_urgent = could_finish.map(|(_, (priority, _))| *priority).min();
            let least_urgent = self.waiting.values().map(|(priority, _)| *priority).max();
            let waiting = self.waiting.remove(grant);
            let (priority, by) = waiting.ok_or_else(|| TestCaseError::fail("not waiting"))?;
            prop_assert!(self.now <= by, "granted after its target");
            if Some(priority) > most_urgent {
                prop_assert!(self.urgent_grants >= 4, "more than one grant in five");
                self.urgent_grants = 0;
            } else if least_urgent > most_urgent {
                self.urgent_grants += 1;
            }
            self.running.push((*grant, self.now));
        }
        for grant in refused {
            prop_assert!(self.waiting.remove(&grant).is_some(), "refused without waiting");
        }
        Ok(())
    }

    /// Checks that no request waits while fewer run than the limit allows.
    fn check_limit(&self) -> Result<(), TestCaseError> {
        for pool in self.coordinator.status() {
            let waiting: usize = pool.waiting.iter().map(|(_, count)| count).sum();
            prop_assert_eq!(waiting, self.waiting.len());
            prop_assert!(waiting == 0 || pool.running >= pool.limit, "{:?}", pool);
        }
        Ok(())
    }
}

proptest! {
    /// Guards against grants to less urgent requests before more urgent ones, except for one in
    /// five, against requests that wait while the limit isn't reached, and against lost grants.
    #[test]
    fn grants_follow_the_order_of_urgency_and_use_the_limit(events in events()) {
        let (waiting, running, now) = (BTreeMap::new(), Vec::new(), Instant::now());
        let coordinator = Coordinator::default();
        let mut callers = Callers { coordinator, now, waiting, running, urgent_grants: 0 };
        for event in events {
            callers.handle(event)?;
        }
        for _ in 0..2 {
            callers.now += Duration::from_secs(4);
            callers.coordinator.expire(callers.now);
        }
        prop_assert!(callers.coordinator.is_idle());
    }
}
