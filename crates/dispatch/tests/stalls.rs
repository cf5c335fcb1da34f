//! Prediction of periodic stalls.

use std::time::{Duration, Instant};

use bergamot_base::Seed;
use bergamot_dispatch::{LatencyEstimator, StallHistory, StallPeriod};
use bergamot_policy::Foresight;
use rand::RngExt;

const MS: Duration = Duration::from_millis(1);

/// The assumed work of a request.
const WORK: Duration = Duration::from_millis(20);

/// Records a stall of 100 ms at each of some times in milliseconds.
fn record_stalls(times: &[u32], start: Instant, stall_period: &StallPeriod) -> StallHistory {
    let mut stalls = StallHistory::default();
    for time in times {
        let from = start + MS * *time;
        stalls.record_stall(from, from + MS * 100, stall_period, &Foresight::default());
    }
    stalls
}

/// Returns a stall period of 6 s, observed at ten other searchers.
fn six_second_period(start: Instant) -> StallPeriod {
    let stall_period = StallPeriod::default();
    for phase in 0..10 {
        let first = phase * 571;
        let _recorded =
            record_stalls(&[first, first + 6020 - phase * 4, first + 11_990], start, &stall_period);
    }
    stall_period
}

#[test]
fn agreeing_intervals_give_a_period_and_random_ones_none() {
    let start = Instant::now();
    let period = six_second_period(start).period().expect("the intervals agree");
    assert!(period.abs_diff(MS * 6000) < MS * 100, "{period:?}");
    let mut rng = Seed(1).generator("silences");
    let random = StallPeriod::default();
    for _ in 0..40 {
        let mut time = 0;
        let mut times = Vec::new();
        for _ in 0..5 {
            time += (-6000.0 * rng.random_range(1e-6..1.0_f64).ln()) as u32 + 300;
            times.push(time);
        }
        let _recorded = record_stalls(&times, start, &random);
    }
    assert_eq!(random.period(), None);
}

#[test]
fn a_stall_is_predicted_after_one_period_and_for_several_periods() {
    let (start, policy) = (Instant::now(), Foresight::default());
    let stall_period = six_second_period(start);
    let stalls = record_stalls(&[1000, 7000], start, &stall_period);
    let wait = |at: u32| stalls.predicted_delay(start + MS * at, WORK, &stall_period, &policy);
    assert!(wait(13_000) > MS * 80, "{:?}", wait(13_000));
    // A request sent shortly before the stall would be delayed by it.
    assert!(wait(12_960) > MS * 80, "{:?}", wait(12_960));
    assert_eq!(
        (wait(10_000), wait(12_500), wait(13_600)),
        (Duration::ZERO, Duration::ZERO, Duration::ZERO)
    );
    assert!(wait(25_000) > MS * 40);
    assert_eq!(wait(49_000), Duration::ZERO);
}

#[test]
fn an_answer_during_a_predicted_stall_withdraws_the_prediction() {
    let (start, policy) = (Instant::now(), Foresight::default());
    let stall_period = six_second_period(start);
    let mut stalls = record_stalls(&[1000, 7000], start, &stall_period);
    let at = start + MS * 13_040;
    stalls.record_work(at, at + WORK, &stall_period, &policy);
    assert_eq!(
        stalls.predicted_delay(start + MS * 13_000, WORK, &stall_period, &policy),
        Duration::ZERO
    );
}

#[test]
fn no_stall_is_predicted_from_an_outage_or_if_the_mechanism_is_off() {
    let (start, policy) = (Instant::now(), Foresight::default());
    let stall_period = six_second_period(start);
    let mut outage = StallHistory::default();
    outage.record_stall(start + MS * 1000, start + MS * 3000, &stall_period, &policy);
    assert_eq!(
        outage.predicted_delay(start + MS * 7100, WORK, &stall_period, &policy),
        Duration::ZERO
    );
    let stalls = record_stalls(&[1000, 7000], start, &stall_period);
    let off = Foresight { on: false, ..policy };
    assert_eq!(
        stalls.predicted_delay(start + MS * 13_000, WORK, &stall_period, &off),
        Duration::ZERO
    );
}

/// A stall reported by a member near the searcher raises the estimate until the stall is over.
#[test]
fn a_stall_predicted_by_another_member_is_included() {
    let now = Instant::now();
    let estimator = || {
        let mut estimator =
            LatencyEstimator::new(WORK, std::sync::Arc::default(), StallPeriod::default());
        estimator.record_send(now);
        estimator.record_answer(now, now + WORK);
        estimator
    };
    let (mut reported, plain) = (estimator(), estimator());
    reported.set_reported_stall(now + MS * 500, now + MS * 750);
    let expected =
        |estimator: &LatencyEstimator, at: u32| estimator.expected(now + MS * at, 2, false);
    for at in [100, 400, 800] {
        assert!((expected(&reported, at) - expected(&plain, at)).abs() < 0.001, "{at}");
    }
    assert!(expected(&reported, 600) > expected(&plain, 600) + 149.0);
    assert!(expected(&reported, 490) > expected(&plain, 490) + 249.0);
}
