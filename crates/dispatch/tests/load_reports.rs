//! Latencies of a searcher that members near it report to others.

use std::sync::Arc;
use std::time::{Duration, Instant};

use bergamot_dispatch::{Candidate, LatencyEstimator, LoadReport, Measured, StallPeriod, best};
use bergamot_policy::Policy;

const MS: Duration = Duration::from_millis(1);

/// An estimator with one answer that took `took` and arrived at `at`.
fn estimator(at: Instant, took: Duration) -> LatencyEstimator {
    estimator_with(&Arc::default(), at, took)
}

fn estimator_with(policy: &Arc<Policy>, at: Instant, took: Duration) -> LatencyEstimator {
    let mut estimator = LatencyEstimator::new(took, Arc::clone(policy), StallPeriod::default());
    answer(&mut estimator, at, took);
    estimator
}

fn answer(estimator: &mut LatencyEstimator, at: Instant, took: Duration) {
    let sent = at.checked_sub(took).expect("the machine has run for longer");
    estimator.record_send(sent);
    estimator.record_answer(sent, at);
}

fn delay(estimator: &LatencyEstimator, at: Instant) -> u32 {
    estimator.delay(at, 2).round() as u32
}

/// Guards against too little trust in a report, when the own good samples are old, and against a
/// report that is used for too long.
#[test]
fn a_report_replaces_older_samples_for_five_seconds_and_does_not_decay() {
    let start = Instant::now();
    let now = start + MS * 30_000;
    for (on, expected) in [(true, [100, 100, 20]), (false, [20, 20, 20])] {
        let mut policy = Policy::default();
        policy.report.on = on;
        let mut estimator = estimator_with(&policy.into(), start, MS * 20);
        estimator.set_reported_delay(now, MS * 100);
        let ages = [50, 1000, 5000];
        assert_eq!(ages.map(|age| delay(&estimator, now + MS * age)), expected, "on: {on}");
    }
}

/// Guards against too much trust in a report.
#[test]
fn own_samples_take_precedence_over_a_report() {
    let now = Instant::now() + MS * 1000;
    let mut newer = estimator(now, MS * 20);
    newer.set_reported_delay(now, MS * 100);
    answer(&mut newer, now + MS * 50, MS * 20);
    assert_eq!(delay(&newer, now + MS * 50), 20);
    let mut slow = estimator(now, MS * 20);
    answer(&mut slow, now + MS * 9000, MS * 100);
    let own = delay(&slow, now + MS * 9500);
    slow.set_reported_delay(now + MS * 9500, MS * 20);
    assert_eq!(delay(&slow, now + MS * 9500), own);
    assert_eq!(delay(&slow, now + MS * 10_000), 20);
}

/// Guards against members that avoid a searcher because they were not told of its recovery.
#[test]
fn a_slow_searcher_is_reported_until_its_recovery_is_known() {
    let (mut report, policy, now) =
        (LoadReport::default(), Policy::default().report, Instant::now());
    let mut at = |ms: u32, mean: f64, decayed: f64| {
        let measured = Measured { mean, decayed, best: 20.0, is_slow: mean > 40.0 };
        report.delay(now + MS * ms, measured, &policy)
    };
    assert_eq!(at(0, 39.0, 39.0), None, "usual variation");
    assert_eq!(at(10, 100.0, 60.0), Some(100.0));
    assert_eq!(at(20, 100.0, 21.0), None, "about to be tried again");
    assert_eq!([at(30, 25.0, 25.0), at(5000, 25.0, 21.0)], [Some(25.0); 2]);
    assert_eq!(at(5010, 25.0, 21.0), None);
}

/// Guards against reports in calm times, when searchers pause for some hundred milliseconds, and
/// against a slow searcher that is mistaken for one that paused.
#[test]
fn a_pause_is_not_reported_and_a_slow_searcher_is() {
    let start = Instant::now() + MS * 1000;
    let mut estimator = estimator(start, MS * 20);
    let is_slow = |estimator: &LatencyEstimator, at: u32| {
        estimator.measured(start + MS * at).expect("it was asked").is_slow
    };
    for (sent, abandoned) in [(2000, 2080), (2100, 2180)] {
        estimator.record_send(start + MS * sent);
        estimator.record_abandon(start + MS * sent, start + MS * abandoned);
        assert!(!is_slow(&estimator, abandoned), "{abandoned}");
    }
    for (at, took) in [(2200, 20), (5000, 300), (5000, 200), (5000, 100), (5100, 20), (9000, 280)] {
        answer(&mut estimator, start + MS * at, MS * took);
        assert!(!is_slow(&estimator, at), "{at}");
    }
    for (at, took, slow) in [(9200, 100, true), (9220, 20, true), (11_200, 20, false)] {
        answer(&mut estimator, start + MS * at, MS * took);
        assert_eq!(is_slow(&estimator, at), slow, "{at}");
    }
}

/// Counts the requests in a minute to a searcher that has slowed down from 20 to 100 ms. The four
/// members near it have measured that and send a request each second; the others have not, and send
/// ten a second. Another searcher takes `other`, and a round trip of the other members 16 ms more.
fn trials(members: usize, other: Duration) -> usize {
    const NEAR: usize = 4;
    let (start, far) = (Instant::now() + MS * 1000, MS * 16);
    let policy = Policy::default();
    let mut reports = [LoadReport::default(); NEAR];
    let mut estimators: Vec<LatencyEstimator> = (0..members)
        .map(|member| estimator(start, if member < NEAR { MS * 20 } else { MS * 36 }))
        .collect();
    for near in &mut estimators[..NEAR] {
        answer(near, start + MS * 19_000, MS * 100);
        answer(near, start + MS * 20_000, MS * 100);
    }
    let mut trials = 0;
    for turn in 0..600 {
        let now = start + MS * 20_000 + MS * 100 * turn;
        for member in 0..members {
            if member < NEAR && turn % 10 != 0 {
                continue;
            }
            let distance = if member < NEAR { Duration::ZERO } else { far };
            if member >= NEAR {
                let near = (member + turn as usize) % NEAR;
                let measured = estimators[near].measured(now).expect("it was asked");
                if let Some(delay) = reports[near].delay(now, measured, &policy.report) {
                    let delay = Duration::from_secs_f64(delay / 1e3);
                    estimators[member].set_reported_delay(now, delay + far);
                }
            }
            let expected = estimators[member].expected(now, 2, false);
            let other = (other + distance).as_secs_f64() * 1e3;
            let candidates = [(true, expected), (false, other)];
            let candidates = candidates.map(|(searcher, expected)| Candidate {
                searcher,
                missing: false,
                expected,
            });
            let mut seed = member as u32 * 1000 + turn;
            let draw = || {
                seed = seed.wrapping_mul(1_664_525).wrapping_add(1_013_904_223);
                f64::from(seed >> 16) / 65_536.0
            };
            if best(candidates, &policy.spread, draw) == Some(true) {
                trials += 1;
                answer(&mut estimators[member], now + MS * 100 + distance, MS * 100 + distance);
            }
        }
    }
    trials
}

/// Guards against a rate of trials that grows with the fleet: if reports decayed, each member would
/// try the searcher.
#[test]
fn only_members_near_a_slow_searcher_try_it_again() {
    for other in [MS * 22, MS * 30] {
        let alone = trials(4, other);
        assert!((4 * 3..=4 * 12).contains(&alone), "{alone} trials in a minute");
        assert_eq!([12, 129].map(|members| trials(members, other)), [alone; 2], "{other:?}");
    }
}
