//! Estimates of the time that callers have spent, from the deadlines of simulated callers.

use std::time::Duration;

use bergamot_declaration::{Idempotency, Residency, Route, Target};
use bergamot_dispatch::{CallerDeadlines, CallerRoundTrip, RequestTimeouts};
use bergamot_policy::{Arrival, Policy};

const MS: Duration = Duration::from_millis(1);

const TARGET: Duration = Duration::from_millis(100);

/// The declared timeout; callers give it as their full deadline where nothing else is said.
const TIMEOUT: Duration = Duration::from_millis(1500);

/// A timeout that says nothing about the deadlines of callers.
const LONG_TIMEOUT: Duration = Duration::from_secs(9);

/// A route with a strict target: 100 ms.
fn route() -> Route {
    Route {
        name: "r".into(),
        host: "h".into(),
        prefix: "/".into(),
        kind: Idempotency::Idempotent,
        timeout: TIMEOUT,
        target_latency: Some(TARGET),
        attempts: 2,
        priority: 1,
        residency: Residency::default(),
        target: Target::Service("s".into()),
    }
}

/// The deadline of a caller that has spent some milliseconds of the full one.
fn full_less(spent: u32) -> Duration {
    TIMEOUT.saturating_sub(MS * spent)
}

/// What a member has learnt of the callers of one route.
#[derive(Clone, Default)]
struct Callers {
    deadlines: CallerDeadlines,
    round_trip: CallerRoundTrip,
}

impl Callers {
    /// Records a request, and returns the estimated overhead of its caller.
    fn request(&mut self, deadline: Duration, timeout: Duration) -> Option<Duration> {
        let policy = Arrival::default();
        let spent = self.deadlines.record(deadline, timeout, &policy)?;
        self.round_trip.record(spent);
        self.round_trip.overhead(spent, TARGET, &policy)
    }
}

/// Simulates callers with a round trip of `trip` ms: seven in ten requests arrive on a kept
/// connection, one in ten after an address lookup, two in ten after a lookup and on a new
/// connection.
fn callers(trip: u32, timeout: Duration) -> Callers {
    let mut callers = Callers::default();
    for turn in 0..100_u32 {
        let trips = [0, 0, 2, 0, 1, 0, 0, 2, 0, 0][turn as usize % 10];
        // The time that the caller takes to send adds up to a millisecond to the round trips.
        let send_time = (turn % 2) * u32::from(trips > 0);
        callers.request(full_less(trip * trips + send_time), timeout);
    }
    callers
}

/// Returns the latest time at which an answer can be sent to arrive in time, and the time at which
/// it is sent.
fn latest_and_actual(
    callers: &mut Callers,
    timeout: Duration,
    (trip, trips): (u32, u32),
) -> (Duration, Duration) {
    let deadline = full_less(trip * trips);
    let away = callers.request(deadline, timeout);
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
        for timeout in [TIMEOUT, LONG_TIMEOUT] {
            let mut callers = callers(trip, timeout);
            let (latest, sent) = latest_and_actual(&mut callers, timeout, (trip, trips));
            assert!(sent < latest, "{trips} trips of {trip} ms: {sent:?} of {latest:?}");
            assert!(sent + MS * 10 > latest, "{trips} trips of {trip} ms: {sent:?} of {latest:?}");
        }
    }
}

/// Guards against late answers to the first callers of a process, all of whom have looked up an
/// address and opened connections for it, which took them 23 ms.
#[test]
fn the_first_callers_are_answered_in_time() {
    let mut callers = Callers::default();
    for spent in [23, 24, 22, 23] {
        let overhead = callers.request(full_less(spent), TIMEOUT).expect("it can be told");
        assert!(overhead > MS * (spent + 6), "spent {spent} ms: {overhead:?}");
    }
}

/// A route with few requests, or with no caller on a kept connection so far, must not wait until it
/// has seen many of its own.
#[test]
fn the_round_trip_is_learnt_from_the_callers_of_all_routes() {
    let mut callers = callers(14, TIMEOUT);
    callers.deadlines = CallerDeadlines::default();
    let overhead = callers.request(TIMEOUT, TIMEOUT).expect("it can be told");
    assert!(overhead > MS * 14, "{overhead:?}");
}

/// A caller that was refused or waited elsewhere measures latency anew.
#[test]
fn no_estimate_is_made_for_a_caller_that_has_spent_the_target() {
    assert_eq!(callers(6, TIMEOUT).request(MS * 400, TIMEOUT), None);
}

/// If callers use different deadlines, what they lack of the largest carries no information; nor
/// does a timeout far above all of them.
#[test]
fn no_estimate_is_made_without_a_common_deadline_or_from_few_requests() {
    let mut callers = Callers::default();
    for turn in 0..100_u32 {
        callers.request(MS * (1000 + turn * 37 % 100 * 5), LONG_TIMEOUT);
    }
    assert_eq!(callers.request(MS * 1490, LONG_TIMEOUT), None);
    let mut few = Callers::default();
    assert_eq!(few.request(TIMEOUT, LONG_TIMEOUT), None);
    assert_eq!(few.request(MS * 1250, TIMEOUT), None, "it is 250 ms short of the timeout");
}

/// Callers that wait for less than the route's timeout: none of many gives the timeout.
#[test]
fn the_deadline_that_callers_share_goes_before_the_timeout() {
    let mut callers = Callers::default();
    for _ in 0..16 {
        callers.request(MS * 1400, TIMEOUT);
    }
    let policy = Arrival::default();
    assert_eq!(callers.request(MS * 1400, TIMEOUT), Some(policy.trip + policy.slack));
}

/// A shorter deadline in a new release of the callers replaces the full deadline after 256
/// requests.
#[test]
fn a_changed_deadline_is_adopted() {
    let mut callers = callers(6, TIMEOUT);
    callers.round_trip = CallerRoundTrip::default();
    for _ in 0..256 {
        callers.request(MS * 1200, TIMEOUT);
    }
    let policy = Arrival::default();
    assert_eq!(callers.request(MS * 1200, TIMEOUT), Some(policy.trip + policy.slack));
}
