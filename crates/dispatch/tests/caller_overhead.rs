//! Estimates of the time that callers have spent, from the deadlines of simulated callers.

use std::time::Duration;

use bergamot_declaration::{Idempotency, Residency, Route, Target};
use bergamot_dispatch::{CallerOverhead, RequestTimeouts};
use bergamot_policy::{Arrival, Policy};

const MS: Duration = Duration::from_millis(1);

const TARGET: Duration = Duration::from_millis(100);

/// A route with a strict target: 100 ms, with a timeout of 1,500 ms.
fn route() -> Route {
    Route {
        name: "r".into(),
        host: "h".into(),
        prefix: "/".into(),
        kind: Idempotency::Idempotent,
        timeout: MS * 1500,
        target_latency: Some(TARGET),
        attempts: 2,
        priority: 1,
        residency: Residency::default(),
        target: Target::Service("s".into()),
    }
}

/// Simulates callers with a round trip of `trip` ms: seven in ten requests arrive on a kept
/// connection, one in ten after an address lookup, two in ten after a lookup and on a new
/// connection.
fn callers(trip: u32) -> CallerOverhead {
    let mut overhead = CallerOverhead::default();
    for turn in 0..100_u32 {
        let trips = [0, 0, 2, 0, 1, 0, 0, 2, 0, 0][turn as usize % 10];
        // The time that the caller takes to send adds up to a millisecond to the round trips.
        let send_time = (turn % 2) * u32::from(trips > 0);
        overhead.record(MS * (1500 - trip * trips - send_time));
    }
    overhead
}

/// Returns the latest time at which an answer can be sent to arrive in time, and the time at which
/// it is sent.
fn latest_and_actual(overhead: &CallerOverhead, trip: u32, trips: u32) -> (Duration, Duration) {
    let deadline = MS * (1500 - trip * trips);
    let away = overhead.estimate(deadline, TARGET, &Arrival::default());
    let sent =
        RequestTimeouts::new(&route(), Some(deadline), None, away, &Policy::default()).target;
    (MS * (100 - trip * trips - trip), sent)
}

/// Guards against answering too early: while searchers are paused, each millisecond that a strict
/// request waits for its last shards makes it more complete, but a late answer is worthless. If
/// every caller was assumed to have looked up an address and opened a connection, two of three
/// answers were sent 12 ms earlier than necessary.
#[test]
fn an_answer_is_sent_as_late_as_its_caller_allows() {
    for (trip, trips) in [(6, 0), (6, 1), (6, 2), (2, 0), (2, 2), (14, 0), (14, 1)] {
        let (latest, sent) = latest_and_actual(&callers(trip), trip, trips);
        assert!(sent < latest, "{trips} trips of {trip} ms: {sent:?} of {latest:?}");
        assert!(sent + MS * 10 > latest, "{trips} trips of {trip} ms: {sent:?} of {latest:?}");
    }
}

/// A caller that was refused or waited elsewhere measures latency anew.
#[test]
fn no_estimate_is_made_for_a_caller_that_has_spent_the_target() {
    let overhead = callers(6);
    assert_eq!(overhead.estimate(MS * 400, TARGET, &Arrival::default()), None);
}

/// If callers use different deadlines, shortfalls carry no information.
#[test]
fn no_estimate_is_made_without_a_common_deadline_or_from_few_requests() {
    let mut overhead = CallerOverhead::default();
    for turn in 0..100_u32 {
        overhead.record(MS * (1000 + turn * 37 % 100 * 5));
    }
    assert_eq!(overhead.estimate(MS * 1490, TARGET, &Arrival::default()), None);
    let mut few = CallerOverhead::default();
    few.record(MS * 1500);
    assert_eq!(few.estimate(MS * 1500, TARGET, &Arrival::default()), None);
}

/// A shorter deadline in a new release of the callers replaces the full deadline after 256
/// requests.
#[test]
fn a_changed_deadline_is_adopted() {
    let mut overhead = callers(6);
    for _ in 0..256 {
        overhead.record(MS * 1200);
    }
    let policy = Arrival::default();
    let away = overhead.estimate(MS * 1200, TARGET, &policy);
    assert_eq!(away, Some(policy.trip + policy.slack));
}
