//! Load patterns, simulated with a small model of one shard.
//!
//! The model has two searchers with two slots each, randomly spaced requests, work that varies
//! around a mean, and a fixed pseudo-random sequence. A request goes to the searcher with the
//! shorter queue, and when it is hedged also to the other one, if the retry budget allows it. The
//! first answer is used and the other attempt is cancelled.

use std::time::{Duration, Instant};

use bergamot_declaration::{Idempotency, Residency, Route, Target};
use bergamot_dispatch::{AttemptPriority, RequestTimeouts, RetryBudget, RetryBudgetLimits};
use bergamot_policy::Policy;

const MS: Duration = Duration::from_millis(1);

/// The number of recent answers from which the usual latency is computed.
const RECENT: usize = 200;

/// The latency up to which an answer is in time, in milliseconds: a target of 200 ms, less the
/// network latency to the caller and between the instances.
const IN_TIME: u64 = 160;

/// The percentile that is the usual latency, as in `bergamot-relay`.
const USUAL_PERCENTILE: usize = 94;

struct Job {
    arrived: u64,
    hedge_at: u64,
    left: [Option<f64>; 2],
}

#[derive(Debug)]
struct Outcome {
    requests: usize,
    hedged: usize,
    in_time: usize,
}

fn route(target: Duration) -> Route {
    Route {
        name: "r".into(),
        host: "h".into(),
        prefix: "/".into(),
        kind: Idempotency::Idempotent,
        timeout: target * 5,
        target_latency: Some(target),
        attempts: 2,
        priority: 1,
        residency: Residency::default(),
        target: Target::Service("s".into()),
    }
}

/// Simulates `per_s` requests per second of `work` ms for ten seconds; `hedge` returns the hedge
/// delay for the usual latency.
fn simulate(per_s: u64, work: f64, hedge: impl Fn(Option<Duration>) -> Duration) -> Outcome {
    const END: u64 = 10_000;
    let mut state = 1_u32;
    let mut draw = move || {
        state = state.wrapping_mul(1_664_525).wrapping_add(1_013_904_223);
        f64::from(state >> 8) / f64::from(1_u32 << 24)
    };
    let limits = RetryBudgetLimits { ratio: 0.2, slack: 52.0, window: Duration::from_secs(10) };
    let start = Instant::now();
    let mut budget = RetryBudget::new(start);
    let mut jobs = Vec::<Job>::new();
    let mut times = Vec::<u64>::new();
    let mut outcome = Outcome { requests: 0, hedged: 0, in_time: 0 };
    let mut due = 0.0;
    for now in 0..END {
        while due <= now as f64 {
            due += 2.0 * draw() * 1000.0 / per_s as f64;
            let queued = |at: usize| jobs.iter().filter(|job| job.left[at].is_some()).count();
            let first = usize::from(queued(1) < queued(0));
            let mut left = [None, None];
            // Between 0.5 and 1.5 times the mean, and five times as much for 1% of the requests.
            let tail = if draw() < 0.01 { 5.0 } else { 1.0 };
            left[first] = Some(work * tail * (0.5 + draw()));
            let usual = usual(&times);
            let hedge_at = now + hedge(usual).as_millis() as u64;
            jobs.push(Job { arrived: now, hedge_at, left });
            outcome.requests += 1;
            budget.record_request(start + MS * now as u32, &limits);
        }
        for job in &mut jobs {
            if job.hedge_at == now
                && budget.try_spend(
                    start + MS * now as u32,
                    &limits,
                    &Policy::default(),
                    1,
                    AttemptPriority::Optional,
                )
            {
                outcome.hedged += 1;
                let other = usize::from(job.left[0].is_some());
                job.left[other] = Some(work * (0.5 + draw()));
            }
        }
        for at in 0..2 {
            let busy = jobs.iter_mut().filter_map(|job| job.left[at].as_mut()).take(2);
            busy.for_each(|left| *left -= 1.0);
        }
        jobs.retain(|job| {
            let done = job.left.iter().flatten().any(|left| *left <= 0.0);
            if done {
                let took = now - job.arrived;
                times.push(took);
                outcome.in_time += usize::from(took < IN_TIME);
            }
            !done
        });
    }
    outcome
}

fn usual(times: &[u64]) -> Option<Duration> {
    let mut recent = times[times.len().saturating_sub(RECENT)..].to_vec();
    recent.sort_unstable();
    recent.get(recent.len() * USUAL_PERCENTILE / 100).map(|ms| MS * *ms as u32)
}

/// Guards against hedges that displace first attempts: twice the usual load for ten seconds, which
/// is 184 requests per second at each shard (of 112 requests per second, 90 go to every shard),
/// three in four with 20 ms of work and one in four with 6.7 ms, on four slots. The slots are busy
/// for 0.77 of the time, and queues are often longer than the usual latency under normal load.
///
/// When hedges were sent after the usual latency however early, such a load
/// (platform/days/long-burst.toml) had 15 hedges per 100 first attempts, and 66 of 100 requests
/// were answered in time.
#[test]
fn in_a_burst_hedges_do_not_displace_first_attempts() {
    let target = MS * 200;
    let hedge = |usual| {
        RequestTimeouts::new(&route(target), Some(MS * 1000), usual, None, &Policy::default()).hedge
    };
    let outcome = simulate(184, 16.7, hedge);
    assert!(outcome.hedged * 100 <= outcome.requests * 5, "{outcome:?}");
    assert!(outcome.in_time * 100 >= outcome.requests * 95, "{outcome:?}");
}

#[test]
fn the_hedge_delay_is_the_usual_latency_within_bounds() {
    let hedge = |usual| {
        RequestTimeouts::new(&route(MS * 200), Some(MS * 1000), usual, None, &Policy::default())
            .hedge
    };
    assert_eq!((hedge(None), hedge(Some(MS * 10))), (MS * 66, MS * 66));
    assert_eq!((hedge(Some(MS * 80)), hedge(Some(MS * 500))), (MS * 96, MS * 120));
}
