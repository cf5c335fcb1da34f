//! Large groups of shards that are queried through a member, with a searcher that is paused, a
//! reply that is late, and a member that is silent.

use std::time::{Duration, Instant};

use bergamot_scatter::{
    Lateness, Next, Outcome, Progress, Query, ReplyDelay, Schedule, fund_attempts,
};

const MS: Duration = Duration::from_millis(1);

/// The number of shards in the group.
const GROUP: usize = 90;

/// How long a searcher takes, how long it pauses, and the way to the member and back.
const WORK: Duration = Duration::from_millis(11);
const PAUSE: Duration = Duration::from_millis(150);
const ROUND_TRIP: Duration = Duration::from_millis(18);

/// The schedule of a query for a request that expects nearly all answers within 66 ms, to a member
/// whose replies have been up to 20 ms late.
fn schedule(start: Instant) -> Schedule {
    let delay = ReplyDelay { expected: ROUND_TRIP, allowance: MS * 20 };
    Schedule::new(start + MS * 66, delay, MS * 8, start)
}

/// How a request to the group ended.
#[derive(Debug, PartialEq, Eq)]
struct End {
    arrived: usize,
    attempts: usize,
    missing: usize,
}

/// Plays one query whose searchers answer after the given times. Its reply arrives `late` after the
/// moment that the schedule implies; `None` is a member that never replies. Attempts of the sender
/// succeed after the work of a searcher, but are counted.
fn play(answers: &[Duration], late: Option<Duration>) -> End {
    let start = Instant::now();
    let Schedule { answer_within, overdue_at, .. } = schedule(start);
    let mut progress = Progress::new(answers.len());
    let shards: Vec<usize> = (0..answers.len()).collect();
    let mut query = Query::send(&shards, &mut progress);
    let slowest = answers.iter().max().copied().unwrap_or_default();
    let reply_at = late.map(|late| start + answer_within.min(slowest) + ROUND_TRIP + late);
    let mut attempted = Vec::new();
    if reply_at.is_none_or(|reply_at| reply_at > overdue_at) {
        attempted.extend(query.overdue::<usize>(&progress).attempts);
    }
    for (shard, _) in &attempted {
        progress.add_attempt(*shard);
    }
    if reply_at.is_some() {
        let outcome = |(shard, took): (usize, &Duration)| {
            if *took <= answer_within { Outcome::Arrived } else { Outcome::Silent(shard) }
        };
        let outcomes: Vec<Outcome<usize>> = answers.iter().enumerate().map(outcome).collect();
        for (shard, outcome) in outcomes.iter().enumerate() {
            if *outcome == Outcome::Arrived {
                progress.arrive(shard);
            }
        }
        let steps = query.reply(outcomes, &progress);
        for (shard, next) in &steps.attempts {
            assert_eq!(*next, Next::After(*shard));
            progress.add_attempt(*shard);
        }
        attempted.extend(steps.attempts);
    }
    let attempts = attempted.len();
    let arrived = answers.len() - progress.pending().count();
    for (shard, _) in attempted {
        progress.arrive(shard);
    }
    let missing = query.end().into_iter().filter(|shard| progress.end_source(*shard)).count();
    assert_eq!(progress.pending().count(), 0);
    End { arrived, attempts, missing }
}

/// Searchers of which one pauses from some time after the start of the request.
fn one_paused(from: Duration) -> Vec<Duration> {
    let paused = if from < WORK { (WORK + PAUSE).saturating_sub(from) } else { WORK };
    let mut answers = vec![WORK; GROUP];
    answers[GROUP / 2] = paused;
    answers
}

/// Of 90 searchers that pause for 4% of the time, nearly always one is paused, so the reply leaves
/// at the last moment and arrives late by whatever the members' processors take. Only the paused
/// shard may be asked again.
#[test]
fn one_paused_searcher_costs_one_additional_attempt_wherever_its_pause_begins() {
    for from in 0..=150 {
        for late in [0, 1, 5, 7, 20] {
            let end = play(&one_paused(MS * from), Some(MS * late));
            assert!(end.attempts <= 1 && end.missing == 0, "{from} {late} {end:?}");
            assert!(end.arrived + end.attempts == GROUP, "{from} {late} {end:?}");
        }
    }
}

/// A reply that comes a moment after any limit of the sender still delivers its shards.
#[test]
fn a_reply_that_is_late_by_a_millisecond_is_not_discarded() {
    let start = Instant::now();
    let Schedule { answer_within, overdue_at, .. } = schedule(start);
    let expected_reply = answer_within + ROUND_TRIP;
    let limits = [expected_reply, overdue_at - start, MS * 1200];
    let answers = one_paused(Duration::ZERO);
    for limit in limits {
        let late = (limit + MS).saturating_sub(expected_reply);
        let end = play(&answers, Some(late));
        assert_eq!((end.arrived, end.missing), (GROUP - 1, 0), "{limit:?}");
    }
}

/// Others are asked once for each shard of a silent member, no later than replies usually are.
#[test]
fn the_shards_of_a_silent_member_are_asked_of_others_once() {
    let end = play(&[WORK; GROUP], None);
    assert_eq!(end, End { arrived: 0, attempts: GROUP, missing: 0 });
    let start = Instant::now();
    assert_eq!(schedule(start).overdue_at, start + MS * 66 + ROUND_TRIP + MS * 20);
}

/// The allowance follows the group and the load: replies that are usually 30 ms late are not
/// overdue after 6 ms, and where they are punctual, a silent member is noticed early.
#[test]
fn the_allowance_follows_the_lateness_of_replies() {
    let mut lateness = Lateness::default();
    assert_eq!(lateness.allowance(MS * 6), MS * 6);
    for round in 0..50 {
        lateness.record(MS * (25 + round % 10));
    }
    let late = lateness.allowance(MS * 6);
    assert!((MS * 34..MS * 50).contains(&late), "{late:?}");
    for _ in 0..50 {
        lateness.record(MS);
    }
    let punctual = lateness.allowance(MS * 6);
    assert!(punctual < MS * 3, "{punctual:?}");
}

/// A member that could not be reached has asked nobody, so the sender's attempts are the first.
#[test]
fn a_query_that_was_not_sent_leaves_the_first_attempts_to_the_sender() {
    let mut progress = Progress::new(2);
    let mut query = Query::send(&[0, 1], &mut progress);
    let steps = query.fail::<usize>(false, &progress);
    assert_eq!(steps.attempts, [(0, Next::First), (1, Next::First)]);
    assert_eq!(steps.ended, [0, 1]);
}

/// A shard for which an attempt is running is not lost with the query that was also for it.
#[test]
fn a_shard_is_missing_only_when_nothing_can_deliver_it() {
    let mut progress = Progress::new(2);
    let mut query = Query::send(&[0, 1], &mut progress);
    let outcomes = vec![Outcome::Failed(7), Outcome::Silent(8)];
    let steps = query.reply(outcomes, &progress);
    assert_eq!(steps.attempts, [(0, Next::After(7)), (1, Next::After(8))]);
    progress.add_attempt(0);
    assert!(!progress.end_source(0));
    // The attempt for the second shard was not granted.
    assert_eq!(query.end(), [1]);
    assert!(progress.end_source(1) && progress.is_pending(0));
}

/// Ninety shards whose budgets refuse one by one would use up what is left for nothing.
#[test]
fn a_group_is_asked_again_only_if_enough_of_it_is_allowed() {
    let mut allowed = vec![true; GROUP];
    allowed[..10].fill(false);
    assert_eq!(fund_attempts(&allowed, GROUP - 10), allowed);
    assert_eq!(fund_attempts(&allowed, GROUP - 9), [false; GROUP]);
}
