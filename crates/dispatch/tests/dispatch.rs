//! The decisions about a request, without sockets or sleeping.

use std::sync::Arc;
use std::time::{Duration, Instant};

use bergamot_declaration::{Kind, Route, Target};
use bergamot_dispatch::{
    Allowance, Candidate, Ending, Need, Outlook, Patience, Rhythm, Tally, Terms, Verdict, admit,
    greatest, rank,
};
use bergamot_policy::{Admit, Policy, Spread};
use bytes::Bytes;
use proptest::prelude::*;

const MS: Duration = Duration::from_millis(1);

#[test]
fn only_a_certain_end_lets_a_request_that_may_run_once_be_sent_again() {
    use Ending::{Failed, NotRun, NotSent, Unknown};
    for ending in [NotSent, NotRun] {
        assert!(ending.did_not_run() && ending.may_resend(Kind::NonIdempotent));
    }
    for ending in [Failed, Unknown] {
        assert!(!ending.did_not_run() && !ending.may_resend(Kind::NonIdempotent));
        assert!(ending.may_resend(Kind::Idempotent));
    }
}

#[test]
fn a_gathered_answer_waits_until_the_target_and_never_goes_out_below_its_coverage() {
    let mut tally = Tally::new(20, 18);
    for _ in 0..17 {
        tally.arrive();
    }
    assert_eq!(tally.verdict(true), Verdict::Wait);
    tally.arrive();
    assert_eq!((tally.verdict(false), tally.verdict(true)), (Verdict::Wait, Verdict::Answer));
    tally.miss();
    tally.miss();
    assert_eq!((tally.verdict(false), tally.absent()), (Verdict::Answer, 2));
}

/// The pattern: half of the searchers refuse six in ten requests for nine seconds. A shard
/// whose two searchers both do is in for half of the requests at best, whatever is spent.
/// Of twenty shards, five are such; eighteen make a success. The figures are those of the
/// heavy days of both sites: 90 requests a second, a ratio of 0.2, a slack of 56 of which
/// the members spend half.
#[test]
fn while_searchers_refuse_the_allowance_goes_to_requests_that_would_fail() {
    let failed = |keep: bool| {
        let terms = Terms { ratio: 0.2, slack: 56.0, window: Duration::from_secs(10) };
        let start = Instant::now();
        let mut allowances = vec![Allowance::new(start); 20];
        let mut failed = 0;
        let mut draw = 0_u32;
        let mut refused = || {
            // A fixed sequence of well spread numbers, six in ten of them refusals.
            draw = draw.wrapping_mul(1_664_525).wrapping_add(1_013_904_223);
            (draw >> 16) % 10 < 6
        };
        for turn in 0..810_u32 {
            let now = start + MS * 11 * turn;
            let (mut tally, mut deferred) = (Tally::new(20, 18), Vec::new());
            for (shard, allowance) in allowances.iter_mut().enumerate() {
                allowance.earn(now, &terms);
                if shard >= 5 || !refused() {
                    tally.arrive();
                } else if !keep {
                    let again = allowance.spend(now, &terms, &Policy::default(), 1, Need::Required)
                        && !refused();
                    if again { tally.arrive() } else { tally.miss() }
                } else if allowance.spend(now, &terms, &Policy::default(), 1, Need::Useful) {
                    if refused() { tally.miss() } else { tally.arrive() }
                } else {
                    tally.defer();
                    deferred.push(shard);
                }
            }
            let needed = tally.needs_deferred();
            for shard in deferred {
                tally.resume();
                let again = needed
                    && allowances[shard].spend(now, &terms, &Policy::default(), 1, Need::Required);
                if again && !refused() { tally.arrive() } else { tally.miss() }
            }
            failed += usize::from(tally.verdict(true) == Verdict::Fail);
        }
        failed
    };
    let (kept, spent) = (failed(true), failed(false));
    assert!(kept * 10 < spent * 9, "{kept} of {spent}");
}

/// The pattern: for some seconds callers ask for twice what the searchers of a shard can do
/// (93 requests a second for each of 20 shards, two searchers with two slots and 17 ms of
/// work each, times 3.4). Taken up all, the queue grows until every answer is late; with the
/// queue as the only signal, most of what is taken up must be in time.
#[test]
fn in_a_burst_most_of_what_is_taken_up_is_in_time() {
    let served = |refuse: bool| {
        let target = MS * 174;
        let (mut backlog, mut in_time, mut taken) = (0.0_f64, 0, 0);
        for turn in 0..1500_u32 {
            // One request each 3.2 ms brings 17 ms of work to four slots.
            backlog = (backlog - 3.2 * 4.0).max(0.0);
            let delay = 17.0 + backlog / 4.0;
            let draw = f64::from(turn * 37 % 100) / 100.0;
            if refuse && admit(&mut [delay; 20], 18, target, &Admit::default(), draw).is_err() {
                continue;
            }
            backlog = (backlog + 17.0).min(28.0 * 17.0 * 4.0);
            taken += 1;
            in_time += u32::from(delay <= 174.0);
        }
        (in_time, taken)
    };
    let ((all_in_time, _), (in_time, taken)) = (served(false), served(true));
    assert!(in_time > all_in_time, "{in_time} of {taken}, {all_in_time} without refusals");
}

#[test]
fn a_request_that_is_expected_in_time_is_always_taken_up() {
    let mut delays = [20.0, 30.0, 40.0, 9000.0];
    assert_eq!(admit(&mut delays, 3, MS * 50, &Admit::default(), 0.999), Ok(()));
    assert_ne!(admit(&mut delays, 3, MS * 30, &Admit::default(), 0.999), Ok(()));
    // Of what can't be in time, some is taken up, to notice that the searchers recover.
    assert_ne!(admit(&mut delays, 4, MS * 50, &Admit::default(), 0.5), Ok(()));
    assert_eq!(admit(&mut delays, 4, MS * 50, &Admit::default(), 0.1), Ok(()));
}

#[test]
fn a_gather_fails_as_soon_as_its_coverage_is_out_of_reach() {
    let mut tally = Tally::new(20, 18);
    for _ in 0..3 {
        tally.miss();
    }
    assert_eq!(tally.verdict(false), Verdict::Fail);
}

/// A searcher that pauses shows it by an unanswered request, before any answer is late.
#[test]
fn a_searcher_that_pauses_is_passed_over_while_its_request_is_unanswered() {
    let now = Instant::now();
    let (mut near, mut far) = (
        Outlook::new(MS * 10, Arc::default(), Rhythm::default()),
        Outlook::new(MS * 26, Arc::default(), Rhythm::default()),
    );
    for outlook in [&mut near, &mut far] {
        outlook.send(now);
    }
    near.answer(now, now + MS * 11);
    far.answer(now, now + MS * 27);
    let now = now + MS * 20;
    assert!(near.expected(now, 2, false) < far.expected(now, 2, false));
    near.send(now);
    let later = now + MS * 40;
    assert!(near.expected(later, 2, false) > far.expected(later, 2, false));
    near.answer(now, later);
    for beat in 0..20 {
        let sent = later + MS * 60 * beat;
        near.send(sent);
        near.answer(sent, sent + MS * 11);
    }
    let after = later + MS * 60 * 21;
    assert!(near.expected(after, 2, false) < far.expected(after, 2, false));
}

/// Some searchers work several times as long for seconds: a few answers must show it, and
/// some seconds later they must be tried again.
#[test]
fn a_slow_searcher_is_left_within_a_few_answers_and_tried_again_later() {
    let start = Instant::now();
    let mut near = Outlook::new(MS * 10, Arc::default(), Rhythm::default());
    let mut now = start;
    for took in [11, 11, 11, 66, 66, 66, 66] {
        near.send(now);
        near.answer(now, now + MS * took);
        now += MS * 100;
    }
    assert!(near.expected(now, 2, false) > 27.0);
    assert!(near.expected(now + Duration::from_secs(8), 2, false) < 27.0);
}

#[test]
fn a_searcher_that_fails_without_delay_does_not_look_fast() {
    let mut now = Instant::now();
    let mut near = Outlook::new(MS * 10, Arc::default(), Rhythm::default());
    for turn in 0..20 {
        near.send(now);
        if turn % 2 == 0 {
            near.end(now);
            near.fail(now + MS);
        } else {
            near.answer(now, now + MS * 11);
        }
        now += MS * 50;
    }
    assert!(near.expected(now, 2, false) > 27.0);
}

/// The pattern: one of two searchers refuses six in ten requests for nine seconds, at the
/// rate of one member on a heavy day (ten requests a second). Each refusal costs an attempt
/// from an allowance of a quarter of the requests, so few may be spent on finding out
/// whether it is well again; and once it is, it must be used again within seconds.
#[test]
fn a_searcher_that_refuses_is_hardly_tried_until_it_is_well_again() {
    let start = Instant::now();
    let (mut near, mut far) = (
        Outlook::new(MS * 10, Arc::default(), Rhythm::default()),
        Outlook::new(MS * 26, Arc::default(), Rhythm::default()),
    );
    let (mut refused, mut near_later) = (0, 0);
    for turn in 0..250_u32 {
        let now = start + MS * 100 * turn;
        let refusing = (20..110).contains(&turn);
        // The far one counts half as much again for its dear bytes.
        if near.expected(now, 2, false) > far.expected(now, 2, false) * 1.5 {
            far.send(now);
            far.answer(now, now + MS * 27);
        } else if refusing && turn % 5 < 3 {
            near.send(now);
            near.end(now);
            near.fail(now + MS);
            refused += 1;
        } else {
            near.send(now);
            near.answer(now, now + MS * 11);
            near_later += u32::from(turn >= 180);
        }
    }
    assert!(refused <= 12, "{refused} of 90 requests were refused");
    assert!(near_later == 70, "{near_later} of 70 requests went to the near one again");
}

#[test]
fn missing_entries_go_last_and_the_faster_first() {
    let candidate = |searcher, missing, expected| Candidate { searcher, missing, expected };
    let all =
        vec![candidate('a', true, 1.0), candidate('b', false, 30.0), candidate('c', false, 10.0)];
    assert_eq!(rank(all, &Spread::default(), || 0.5), ['c', 'b', 'a']);
}

#[test]
fn the_moments_of_a_request_stay_within_the_callers_patience() {
    let route = Route {
        name: "r".into(),
        host: "h".into(),
        prefix: "/".into(),
        kind: Kind::Idempotent,
        timeout: MS * 1200,
        target_latency: Some(MS * 120),
        attempts: 2,
        priority: 1,
        target: Target::Service("s".into()),
    };
    let patience = Patience::new(&route, Some(MS * 1200), None, None, &Policy::default());
    assert_eq!((patience.target, patience.end), (MS * 94, MS * 1180));
    let seen = Patience::new(&route, Some(MS * 1200), Some(MS * 40), None, &Policy::default());
    assert_eq!(seen.hedge, MS * 48);
    assert!(patience.hedge < MS * 45 && patience.offer == MS * 30);
    let short = Patience::new(&route, Some(MS * 30), None, None, &Policy::default());
    assert!(short.hedge <= MS * 15 && short.target <= short.end && short.end <= MS * 15);
}

proptest! {
    #[test]
    fn the_greatest_records_are_those_of_a_full_sort(
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
        prop_assert_eq!(greatest(&parts, count), wanted);
    }

    /// Whatever the pattern of requests and attempts over several members, what they spend
    /// in any window stays within the users' bound for it.
    #[test]
    fn members_together_stay_within_the_bound_of_every_window(
        steps in prop::collection::vec((0_u64..120, 0_usize..4, any::<bool>()), 1..600),
    ) {
        let terms = Terms { ratio: 0.2, slack: 8.0, window: Duration::from_secs(10) };
        let start = Instant::now();
        let mut members = vec![Allowance::new(start); 4];
        let (mut now, mut requests, mut extra) = (start, Vec::new(), Vec::new());
        for (gap, member, tries) in steps {
            now += MS * gap as u32;
            if tries && members[member].spend(now, &terms, &Policy::default(), 4, Need::Required) {
                extra.push(now);
            } else if !tries {
                members[member].earn(now, &terms);
                requests.push(now);
            }
            let within = |moment: &&Instant| now - **moment < terms.window;
            let seen = requests.iter().filter(within).count() as f64;
            let spent = extra.iter().filter(within).count() as f64;
            prop_assert!(spent <= terms.ratio * seen + terms.slack, "{spent} of {seen}");
        }
    }
}
