//! The decisions about one request.

use std::sync::Arc;
use std::time::{Duration, Instant};

use bergamot_declaration::{Idempotency, Residency, Route, Target};
use bergamot_dispatch::{
    AttemptPriority, Candidate, Ending, GatherDecision, LatencyEstimator, RequestTimeouts,
    RetryBudget, RetryBudgetLimits, StallPeriod, Tally, admit, best, merge_top_k,
};
use bergamot_policy::{Admit, Policy, Spread};
use bytes::Bytes;
use proptest::prelude::*;

const MS: Duration = Duration::from_millis(1);

#[test]
fn a_non_idempotent_request_is_sent_again_only_if_it_did_not_run() {
    use Ending::{Failed, NotRun, NotSent, Unknown};
    for ending in [NotSent, NotRun] {
        assert!(ending.did_not_run() && ending.may_resend(Idempotency::NonIdempotent));
    }
    for ending in [Failed, Unknown] {
        assert!(!ending.did_not_run() && !ending.may_resend(Idempotency::NonIdempotent));
        assert!(ending.may_resend(Idempotency::Idempotent));
    }
}

#[test]
fn a_gathered_answer_waits_until_the_target_and_is_never_sent_below_its_coverage() {
    let mut tally = Tally::new(20, 18);
    for _ in 0..17 {
        tally.record_arrived();
    }
    assert_eq!(tally.decide(true), GatherDecision::Wait);
    tally.record_arrived();
    assert_eq!(
        (tally.decide(false), tally.decide(true)),
        (GatherDecision::Wait, GatherDecision::Answer)
    );
    tally.record_missing();
    tally.record_missing();
    assert_eq!((tally.decide(false), tally.not_arrived()), (GatherDecision::Answer, 2));
}

/// Guards against spending the retry budget on requests that succeed without it: half of the
/// searchers refuse 60% of their requests for nine seconds, so that a shard with two such searchers
/// arrives for at most half of the requests. This affects five of twenty shards, of which eighteen
/// are required. The load is 90 requests per second with a ratio of 0.2 and a slack of 56, of which
/// the members spend half.
#[test]
fn under_refusals_the_retry_budget_goes_to_requests_that_would_fail() {
    let failed = |reserve: bool| {
        let limits = RetryBudgetLimits { ratio: 0.2, slack: 56.0, window: Duration::from_secs(10) };
        let start = Instant::now();
        let mut budgets = vec![RetryBudget::new(start); 20];
        let mut failed = 0;
        let mut draw = 0_u32;
        let mut refused = || {
            // A fixed pseudo-random sequence, of which 60% are refusals.
            draw = draw.wrapping_mul(1_664_525).wrapping_add(1_013_904_223);
            (draw >> 16) % 10 < 6
        };
        for turn in 0..810_u32 {
            let now = start + MS * 11 * turn;
            let (mut tally, mut deferred) = (Tally::new(20, 18), Vec::new());
            for (shard, budget) in budgets.iter_mut().enumerate() {
                budget.record_request(now, &limits);
                if shard >= 5 || !refused() {
                    tally.record_arrived();
                } else if !reserve {
                    let again = budget.try_spend(
                        now,
                        &limits,
                        &Policy::default(),
                        1,
                        AttemptPriority::Required,
                    ) && !refused();
                    if again { tally.record_arrived() } else { tally.record_missing() }
                } else if budget.try_spend(
                    now,
                    &limits,
                    &Policy::default(),
                    1,
                    AttemptPriority::Optional,
                ) {
                    if refused() { tally.record_missing() } else { tally.record_arrived() }
                } else {
                    tally.defer();
                    deferred.push(shard);
                }
            }
            let needed = tally.needs_deferred();
            for shard in deferred {
                tally.resume();
                let again = needed
                    && budgets[shard].try_spend(
                        now,
                        &limits,
                        &Policy::default(),
                        1,
                        AttemptPriority::Required,
                    );
                if again && !refused() { tally.record_arrived() } else { tally.record_missing() }
            }
            failed += usize::from(tally.decide(true) == GatherDecision::Fail);
        }
        failed
    };
    let (reserved, unreserved) = (failed(true), failed(false));
    assert!(reserved * 10 < unreserved * 9, "{reserved} failed, {unreserved} without the reserve");
}

/// Guards against late answers under overload: for several seconds the offered load exceeds the
/// capacity of a shard's searchers (93 requests per second, times 3.4, for each of 20 shards; two
/// searchers with two slots and 17 ms of work per request). If all requests are admitted, the queue
/// grows until every answer is late. With the queue as the only signal, most admitted requests must
/// be in time.
#[test]
fn in_a_burst_most_admitted_requests_are_in_time() {
    let simulate = |refuse: bool| {
        let target = MS * 174;
        let (mut backlog, mut in_time, mut admitted) = (0.0_f64, 0, 0);
        for turn in 0..1500_u32 {
            // One request every 3.2 ms adds 17 ms of work to four slots.
            backlog = (backlog - 3.2 * 4.0).max(0.0);
            let delay = 17.0 + backlog / 4.0;
            let draw = f64::from(turn * 37 % 100) / 100.0;
            if refuse && admit(&mut [delay; 20], 18, target, &Admit::default(), draw).is_err() {
                continue;
            }
            backlog = (backlog + 17.0).min(28.0 * 17.0 * 4.0);
            admitted += 1;
            in_time += u32::from(delay <= 174.0);
        }
        (in_time, admitted)
    };
    let ((all_in_time, _), (in_time, admitted)) = (simulate(false), simulate(true));
    assert!(in_time > all_in_time, "{in_time} of {admitted}, {all_in_time} without refusals");
}

#[test]
fn a_request_that_is_expected_in_time_is_always_admitted() {
    let mut delays = [20.0, 30.0, 40.0, 9000.0];
    assert_eq!(admit(&mut delays, 3, MS * 50, &Admit::default(), 0.999), Ok(()));
    assert_ne!(admit(&mut delays, 3, MS * 30, &Admit::default(), 0.999), Ok(()));
    // Some requests that can't be in time are admitted, to detect that the searchers recover.
    assert_ne!(admit(&mut delays, 4, MS * 50, &Admit::default(), 0.5), Ok(()));
    assert_eq!(admit(&mut delays, 4, MS * 50, &Admit::default(), 0.1), Ok(()));
}

#[test]
fn a_gathered_request_fails_as_soon_as_its_coverage_is_unreachable() {
    let mut tally = Tally::new(20, 18);
    for _ in 0..3 {
        tally.record_missing();
    }
    assert_eq!(tally.decide(false), GatherDecision::Fail);
}

/// A paused searcher must be avoided because of its unanswered request, before any answer is late.
#[test]
fn a_paused_searcher_is_avoided_while_its_request_is_unanswered() {
    let now = Instant::now();
    let (mut near, mut far) = (
        LatencyEstimator::new(MS * 10, Arc::default(), StallPeriod::default()),
        LatencyEstimator::new(MS * 26, Arc::default(), StallPeriod::default()),
    );
    for estimator in [&mut near, &mut far] {
        estimator.record_send(now);
    }
    near.record_answer(now, now + MS * 11);
    far.record_answer(now, now + MS * 27);
    let now = now + MS * 20;
    assert!(near.expected(now, 2, false) < far.expected(now, 2, false));
    near.record_send(now);
    let later = now + MS * 40;
    assert!(near.expected(later, 2, false) > far.expected(later, 2, false));
    near.record_answer(now, later);
    for turn in 0..20 {
        let sent = later + MS * 60 * turn;
        near.record_send(sent);
        near.record_answer(sent, sent + MS * 11);
    }
    let after = later + MS * 60 * 21;
    assert!(near.expected(after, 2, false) < far.expected(after, 2, false));
}

/// Some searchers are several times slower for a few seconds: a few answers must reveal that, and
/// several seconds later the searcher must be tried again.
#[test]
fn a_slow_searcher_is_avoided_after_a_few_answers_and_tried_again_later() {
    let start = Instant::now();
    let mut near = LatencyEstimator::new(MS * 10, Arc::default(), StallPeriod::default());
    let mut now = start;
    for took in [11, 11, 11, 66, 66, 66, 66] {
        near.record_send(now);
        near.record_answer(now, now + MS * took);
        now += MS * 100;
    }
    assert!(near.expected(now, 2, false) > 27.0);
    assert!(near.expected(now + Duration::from_secs(8), 2, false) < 27.0);
}

/// Guards against a failure for an answer that its caller left early, and against a delay that holds the
/// time of the answer, or is dated back to its begin.
#[test]
fn an_answer_that_is_not_finished_counts_by_the_time_to_its_begin() {
    let start = Instant::now();
    let answered = || {
        let mut searcher = LatencyEstimator::new(MS * 10, Arc::default(), StallPeriod::default());
        searcher.record_send(start);
        searcher.record_answer(start, start + MS * 11);
        searcher
    };
    let (mut early, mut late, sent) = (answered(), answered(), start + MS * 100);
    for searcher in [&mut early, &mut late] {
        searcher.record_send(sent);
    }
    let now = sent + MS * 500;
    early.record_unfinished(sent, sent + MS, sent + MS * 2);
    late.record_unfinished(sent, sent + MS * 30, now);
    let [early, late, usual] = [early, late, answered()].map(|known| known.estimate(now, 2, false));
    assert!((early.expected - usual.expected).abs() < 1e-6, "{early:?} {usual:?}");
    assert!(late.expected > late.delay && late.delay < 30.0, "{late:?}");
    assert_eq!(late.sampled_at, Some(now));
}

#[test]
fn a_searcher_that_fails_fast_is_not_preferred() {
    let mut now = Instant::now();
    let mut near = LatencyEstimator::new(MS * 10, Arc::default(), StallPeriod::default());
    for turn in 0..20 {
        near.record_send(now);
        if turn % 2 == 0 {
            near.record_end(now);
            near.record_failure(now + MS);
        } else {
            near.record_answer(now, now + MS * 11);
        }
        now += MS * 50;
    }
    assert!(near.expected(now, 2, false) > 27.0);
}

/// Guards against spending the retry budget on probing: one of two searchers refuses 60% of its
/// requests for nine seconds, at the load of one member on a heavy day (ten requests per second).
/// Each refusal costs an attempt from a budget of a quarter of the requests, so only few may probe
/// whether the searcher has recovered, and once it has, it must be used again within seconds.
#[test]
fn a_refusing_searcher_is_rarely_tried_until_it_has_recovered() {
    let start = Instant::now();
    let (mut near, mut far) = (
        LatencyEstimator::new(MS * 10, Arc::default(), StallPeriod::default()),
        LatencyEstimator::new(MS * 26, Arc::default(), StallPeriod::default()),
    );
    let (mut refused, mut near_later) = (0, 0);
    for turn in 0..250_u32 {
        let now = start + MS * 100 * turn;
        let refusing = (20..110).contains(&turn);
        // The penalty for traffic between regions is a factor of 1.5.
        if near.expected(now, 2, false) > far.expected(now, 2, false) * 1.5 {
            far.record_send(now);
            far.record_answer(now, now + MS * 27);
        } else if refusing && turn % 5 < 3 {
            near.record_send(now);
            near.record_end(now);
            near.record_failure(now + MS);
            refused += 1;
        } else {
            near.record_send(now);
            near.record_answer(now, now + MS * 11);
            near_later += u32::from(turn >= 180);
        }
    }
    assert!(refused <= 12, "{refused} of 90 requests were refused");
    assert!(
        near_later == 70,
        "{near_later} of 70 requests went to the near searcher after its recovery"
    );
}

#[test]
fn faster_searchers_go_first_and_those_without_an_entry_last() {
    let candidate = |searcher, missing, expected| Candidate { searcher, missing, expected };
    let mut left =
        vec![candidate('a', true, 1.0), candidate('b', false, 30.0), candidate('c', false, 10.0)];
    let mut order = Vec::new();
    while let Some(next) = best(left.clone(), &Spread::default(), || 0.5) {
        left.retain(|candidate| candidate.searcher != next);
        order.push(next);
    }
    assert_eq!(order, ['c', 'b', 'a']);
}

#[test]
fn the_timeouts_of_a_request_do_not_exceed_its_deadline() {
    let route = Route {
        name: "r".into(),
        host: "h".into(),
        prefix: "/".into(),
        kind: Idempotency::Idempotent,
        timeout: MS * 1200,
        target_latency: Some(MS * 120),
        attempts: 2,
        priority: 1,
        residency: Residency::default(),
        target: Target::Service("s".into()),
    };
    let timeouts = RequestTimeouts::new(&route, Some(MS * 1200), None, None, &Policy::default());
    assert_eq!((timeouts.target, timeouts.end), (MS * 94, MS * 1180));
    let seen =
        RequestTimeouts::new(&route, Some(MS * 1200), Some(MS * 40), None, &Policy::default());
    assert_eq!(seen.hedge, MS * 48);
    assert!(timeouts.hedge < MS * 45 && timeouts.connect == MS * 30);
    let short = RequestTimeouts::new(&route, Some(MS * 30), None, None, &Policy::default());
    assert!(short.hedge <= MS * 15 && short.target <= short.end && short.end <= MS * 15);
}

proptest! {
    #[test]
    fn the_merge_equals_a_full_sort(
        parts in prop::collection::vec(prop::collection::vec(any::<u8>(), 0..200), 0..8),
        count in 0_usize..30,
    ) {
        let mut all: Vec<Vec<u8>> = parts
            .iter()
            .flat_map(|part| part.chunks_exact(16).map(<[u8]>::to_vec))
            .collect();
        all.sort_by(|a, b| b.cmp(a));
        let wanted: Vec<u8> = all.into_iter().take(count).flatten().collect();
        let parts: Vec<Bytes> = parts.into_iter().map(Bytes::from).collect();
        prop_assert_eq!(merge_top_k(&parts, count), wanted);
    }

    /// For any sequence of requests and attempts at several members, the additional attempts in any
    /// window stay within the configured bound.
    #[test]
    fn members_together_stay_within_the_bound_of_every_window(
        steps in prop::collection::vec((0_u64..120, 0_usize..4, any::<bool>()), 1..600),
    ) {
        let limits = RetryBudgetLimits { ratio: 0.2, slack: 8.0, window: Duration::from_secs(10) };
        let start = Instant::now();
        let mut members = vec![RetryBudget::new(start); 4];
        let (mut now, mut requests, mut extra) = (start, Vec::new(), Vec::new());
        for (gap, member, tries) in steps {
            now += MS * gap as u32;
            let required = AttemptPriority::Required;
            if tries && members[member].try_spend(now, &limits, &Policy::default(), 4, required) {
                extra.push(now);
            } else if !tries {
                members[member].record_request(now, &limits);
                requests.push(now);
            }
            let within = |moment: &&Instant| now - **moment < limits.window;
            let seen = requests.iter().filter(within).count() as f64;
            let spent = extra.iter().filter(within).count() as f64;
            prop_assert!(spent <= limits.ratio * seen + limits.slack, "{spent} of {seen}");
        }
    }
}
