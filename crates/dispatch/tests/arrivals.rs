//! What deadlines tell of the time that callers have spent: patterns of callers.

use std::time::Duration;

use bergamot_declaration::{Kind, Route, Target};
use bergamot_dispatch::{Arrivals, Patience};
use bergamot_policy::{Arrival, Policy};

const MS: Duration = Duration::from_millis(1);

const TARGET: Duration = Duration::from_millis(100);

/// A strict route: 100 ms of 1,500.
fn route() -> Route {
    Route {
        name: "r".into(),
        host: "h".into(),
        prefix: "/".into(),
        kind: Kind::Idempotent,
        timeout: MS * 1500,
        target_latency: Some(TARGET),
        attempts: 2,
        priority: 1,
        target: Target::Service("s".into()),
    }
}

/// Callers who are `trip` ms away: seven in ten requests come on a kept connection, one in ten after
/// the caller asked for an address, two in ten after that and on a new connection.
fn callers(trip: u32) -> Arrivals {
    let mut arrivals = Arrivals::default();
    for turn in 0..100_u32 {
        let trips = [0, 0, 2, 0, 1, 0, 0, 2, 0, 0][turn as usize % 10];
        // What a caller takes to send makes round trips seem longer by a millisecond or two.
        let own = (turn % 2) * u32::from(trips > 0);
        arrivals.see(MS * (1500 - trip * trips - own));
    }
    arrivals
}

/// When an answer must be on its way for its caller to have it in time, and when it goes out.
fn moments(arrivals: &Arrivals, trip: u32, trips: u32) -> (Duration, Duration) {
    let deadline = MS * (1500 - trip * trips);
    let away = arrivals.away(deadline, TARGET, &Arrival::default());
    let goes = Patience::new(&route(), Some(deadline), None, away, &Policy::default()).target;
    (MS * (100 - trip * trips - trip), goes)
}

/// The pattern: searchers pause, and the answers of the others are in long before the target.
/// Each millisecond that a strict request waits for its last shards makes it more complete, but
/// an answer that comes late has lost all. Answered as if every caller had asked for an address
/// and opened a connection, two requests of three go out 12 ms before they need.
#[test]
fn an_answer_goes_out_as_late_as_its_own_caller_allows() {
    for (trip, trips) in [(6, 0), (6, 1), (6, 2), (2, 0), (2, 2), (14, 0), (14, 1)] {
        let (latest, goes) = moments(&callers(trip), trip, trips);
        assert!(goes < latest, "{trips} trips of {trip} ms: {goes:?} of {latest:?}");
        assert!(goes + MS * 10 > latest, "{trips} trips of {trip} ms: {goes:?} of {latest:?}");
    }
}

/// A caller who was refused or who waited elsewhere counts anew.
#[test]
fn nothing_is_concluded_of_a_caller_who_has_spent_the_target() {
    let arrivals = callers(6);
    assert_eq!(arrivals.away(MS * 400, TARGET, &Arrival::default()), None);
}

/// Where each caller waits for another time, shortfalls say nothing.
#[test]
fn nothing_is_concluded_without_a_common_deadline_nor_from_a_few_requests() {
    let mut arrivals = Arrivals::default();
    for turn in 0..100_u32 {
        arrivals.see(MS * (1000 + turn * 37 % 100 * 5));
    }
    assert_eq!(arrivals.away(MS * 1490, TARGET, &Arrival::default()), None);
    let mut few = Arrivals::default();
    few.see(MS * 1500);
    assert_eq!(few.away(MS * 1500, TARGET, &Arrival::default()), None);
}

/// A shorter deadline in a new release of the callers is the whole after some hundred requests.
#[test]
fn a_deadline_that_changes_is_learned_anew() {
    let mut arrivals = callers(6);
    for _ in 0..256 {
        arrivals.see(MS * 1200);
    }
    let policy = Arrival::default();
    let away = arrivals.away(MS * 1200, TARGET, &policy);
    assert_eq!(away, Some(policy.trip + policy.slack));
}
