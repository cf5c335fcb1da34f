//! Tests of what is accepted during a planned stop.

use std::time::{Duration, Instant};

use bergamot_dispatch::{ExpectedDuration, PlannedStop};

const fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

/// Returns whether a request is accepted some time before the end of a stop.
fn accepts(left: Duration, duration: ExpectedDuration) -> bool {
    let now = Instant::now();
    PlannedStop { answer_by: now + left }.accepts(now, duration)
}

/// A request with a long time limit whose searcher is idle.
const LONG: ExpectedDuration =
    ExpectedDuration { limit: ms(15_000), usual: ms(1000), in_flight: 0, slots: 2 };

/// Guards against requests that are passed on though the stop ends before their answer.
#[test]
fn a_request_is_accepted_only_while_its_usual_answer_fits() {
    assert!(accepts(ms(1000), LONG));
    assert!(!accepts(ms(999), LONG));
    assert!(!accepts(ms(0), LONG));
}

/// Guards against requests that wait at their searcher until the stop ends.
#[test]
fn requests_that_find_no_free_slot_count_the_requests_ahead_of_them() {
    let behind = |in_flight| ExpectedDuration { in_flight, ..LONG };
    assert!(accepts(ms(1900), behind(1)));
    assert!(!accepts(ms(1900), behind(2)), "two requests use both slots");
    assert!(accepts(ms(2000), behind(3)));
    assert!(!accepts(ms(2000), behind(4)));
    assert!(!accepts(
        ms(60_000),
        ExpectedDuration { in_flight: usize::MAX, slots: 0, limit: Duration::MAX, ..LONG }
    ));
}

/// Guards against refusals of requests that end by themselves before the stop does.
#[test]
fn a_request_whose_time_limit_ends_before_the_stop_is_accepted() {
    let short = ExpectedDuration { limit: ms(800), in_flight: 40, ..LONG };
    assert!(accepts(ms(800), short));
    assert!(!accepts(ms(799), short));
}
