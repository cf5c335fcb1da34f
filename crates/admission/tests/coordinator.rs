//! Decisions of a coordinator about single requests.

use std::time::{Duration, Instant};

use bergamot_admission::{
    Coordinator, Counts, Coverage, Decision, Demand, Grant, Outcome, Pool, Shortage, Status,
};
use bergamot_policy::{ComeBack, Queue};

const MS: Duration = Duration::from_millis(1);

fn demand(priority: u32, origin: &str) -> Demand {
    let (target, deadline) = (200 * MS, 1200 * MS);
    Demand { priority, origin: origin.into(), target, deadline, slots: 1 }
}

/// Returns the demand of a request that can't be answered in time if it has to wait.
fn strict() -> Demand {
    Demand { target: 50 * MS, ..demand(2, "a") }
}

/// A coordinator of a pool with a limit of two.
struct Fixture {
    now: Instant,
    coordinator: Coordinator,
}

impl Fixture {
    fn new() -> Self {
        let policy = Queue { start: 2.0, most: 2.0, ..Queue::default() };
        let coordinator = Coordinator::new(&policy, &ComeBack::default());
        Self { now: Instant::now(), coordinator }
    }

    /// Creates a pool whose requests take 40 ms, of which two are running; returns the first.
    fn at_limit() -> (Self, Grant) {
        let mut fixture = Self::new();
        let first = fixture.admitted(demand(0, "a"));
        fixture.now += 40 * MS;
        fixture.complete(first);
        let running = fixture.admitted(demand(0, "a"));
        fixture.admitted(demand(0, "b"));
        (fixture, running)
    }

    fn request(&mut self, demand: Demand) -> Decision {
        self.coordinator.request(self.now, Pool::from_id(1), demand)
    }

    fn admitted(&mut self, demand: Demand) -> Grant {
        match self.request(demand) {
            Decision::Granted(grant) | Decision::Queued(grant) => grant,
            Decision::Refused(shortage) => panic!("{shortage:?}"),
        }
    }

    fn refused(&mut self) -> Shortage {
        let decision = self.request(strict());
        let Decision::Refused(shortage) = decision else { panic!("{decision:?}") };
        shortage
    }

    /// Completes a request and returns those that are granted in its place.
    fn complete(&mut self, grant: Grant) -> Vec<Grant> {
        self.coordinator
            .complete(
                self.now,
                grant,
                Outcome::Covered(Coverage { took: 40 * MS, is_congested: true }),
            )
            .granted
    }

    fn status(&self) -> Status {
        self.coordinator.status().remove(0)
    }
}

/// Guards against a coordinator that queues requests without bound, or refuses all of them, before
/// it knows how long they take.
#[test]
fn before_the_first_answer_as_many_requests_wait_as_may_run() {
    let mut fixture = Fixture::new();
    let decisions: Vec<_> = (0..5).map(|_| fixture.request(demand(0, "a"))).collect();
    assert!(matches!(decisions[..2], [Decision::Granted(_), Decision::Granted(_)]));
    assert!(matches!(decisions[2..4], [Decision::Queued(_), Decision::Queued(_)]));
    let Decision::Refused(shortage) = decisions[4] else { panic!("{:?}", decisions[4]) };
    assert_eq!((shortage.ahead, shortage.limit, shortage.expected), (2, 2, 250 * MS));
}

/// Guards against a zone with many callers that takes all grants from the others.
#[test]
fn within_a_priority_the_zone_with_the_fewest_running_requests_is_first() {
    let (mut fixture, running) = Fixture::at_limit();
    fixture.admitted(demand(0, "b"));
    let own = fixture.admitted(demand(0, "a"));
    assert_eq!(fixture.complete(running), [own]);
}

/// Guards against requests whose callers have left and which still take a grant, and against grants
/// of an earlier run of the process.
#[test]
fn requests_that_have_left_and_unknown_grants_change_nothing() {
    let (mut fixture, running) = Fixture::at_limit();
    let left = fixture.admitted(demand(0, "a"));
    assert_eq!(fixture.complete(Grant(running.0 + 1000)), []);
    assert_eq!(fixture.complete(left), []);
    assert_eq!(fixture.complete(running), []);
    let mut renumbered = Coordinator::default().with_first_grant(1000);
    let decision = renumbered.request(fixture.now, Pool::from_id(1), demand(0, "a"));
    assert_eq!(decision, Decision::Granted(Grant(1000)));
}

/// Guards against grants that a member took with it when it went away.
#[test]
fn a_lease_ends_one_second_after_the_deadline() {
    let (mut fixture, _) = Fixture::at_limit();
    fixture.now += 2199 * MS;
    fixture.coordinator.expire(fixture.now);
    assert_eq!(fixture.status().running, 2);
    fixture.now += MS;
    fixture.coordinator.expire(fixture.now);
    assert!(fixture.coordinator.is_idle());
}

/// Guards against callers that wait for an answer that can't be in time any more.
#[test]
fn waiting_requests_are_refused_once_they_cant_finish_in_time() {
    let (mut fixture, _) = Fixture::at_limit();
    let grant = fixture.admitted(demand(0, "a"));
    fixture.now += 140 * MS;
    assert_eq!(fixture.coordinator.expire(fixture.now).refused, []);
    fixture.now += MS;
    let refused = fixture.coordinator.expire(fixture.now).refused;
    assert_eq!(refused.first().map(|(grant, _)| *grant), Some(grant));
}

/// Guards against refused callers that return all at once, too early, or later than they wait.
#[test]
fn retry_times_follow_each_other_at_the_rate_of_grants() {
    let (mut fixture, _) = Fixture::at_limit();
    let delays: Vec<_> = (0..20).map(|_| fixture.refused().retry_after).collect();
    assert_eq!(delays[..3], [150 * MS, 170 * MS, 190 * MS]);
    assert_eq!((delays.last(), fixture.status().bookings), (Some(&(400 * MS)), 13));
    fixture.now += 170 * MS;
    fixture.coordinator.expire(fixture.now);
    assert_eq!(fixture.status().bookings, 11);
}

/// Guards against a limit that doesn't follow the searchers when some are added or lost.
#[test]
fn the_limit_follows_the_number_of_slots() {
    let (mut fixture, running) = Fixture::at_limit();
    let waiting = fixture.admitted(demand(0, "a"));
    let latest = fixture.admitted(Demand { slots: 2, ..demand(0, "a") });
    assert_eq!(fixture.status().limit, 2);
    assert_eq!(fixture.coordinator.expire(fixture.now).granted, [waiting, latest]);
    assert_eq!(fixture.status().limit, 4);
    fixture.complete(running);
    fixture.admitted(demand(0, "a"));
    assert_eq!(fixture.status().limit, 2);
}

/// Guards against pools that share a limit, idle ones that are kept for ever, and counts that are
/// lost with them.
#[test]
fn pools_are_independent_and_removed_when_idle() {
    let (mut fixture, _) = Fixture::at_limit();
    let decision = fixture.coordinator.request(fixture.now, Pool::from_id(2), demand(0, "a"));
    assert!(matches!(decision, Decision::Granted(_)), "{decision:?}");
    let counts = fixture.coordinator.counts();
    assert_eq!(counts, [(0, Counts { granted: 4, refused: 0 })]);
    fixture.now += 10_000 * MS;
    fixture.coordinator.expire(fixture.now);
    assert_eq!(fixture.coordinator.status(), []);
    assert_eq!(fixture.coordinator.counts(), counts);
}

/// Guards against status figures that miss requests.
#[test]
fn the_status_counts_requests_by_priority() {
    let (mut fixture, _) = Fixture::at_limit();
    fixture.admitted(demand(1, "a"));
    fixture.refused();
    let status = fixture.status();
    assert_eq!((status.running, status.waiting, status.holding), (2, vec![(1, 1)], Some(40 * MS)));
    let counts = status.counts.iter().map(|(priority, one)| (*priority, one.granted, one.refused));
    assert_eq!(counts.collect::<Vec<_>>(), [(0, 3, 0), (2, 0, 1)]);
}

/// Guards against a limit that falls because searchers are slow though none of their slots are
/// lacking: fewer requests at once would not be faster, and callers would be refused for nothing.
#[test]
fn late_answers_lower_the_limit_only_while_searchers_are_busy() {
    for is_congested in [false, true] {
        let mut coordinator = Coordinator::new(&Queue::default(), &ComeBack::default());
        let (mut now, pool) = (Instant::now(), Pool::from_id(1));
        let limit = |coordinator: &Coordinator| coordinator.status()[0].limit;
        let mut limits = Vec::new();
        for _ in 0..20 {
            let decision = coordinator.request(now, pool, demand(0, "a"));
            let Decision::Granted(grant) = decision else { panic!("{decision:?}") };
            limits.push(limit(&coordinator));
            // Three times the target latency.
            let took = 600 * MS;
            now += took;
            coordinator.expire(now);
            let outcome = Outcome::Covered(Coverage { took, is_congested });
            coordinator.complete(now, grant, outcome);
        }
        let has_fallen = limits.last() < limits.first();
        assert_eq!(has_fallen, is_congested, "{limits:?}");
    }
}
