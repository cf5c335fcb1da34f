//! When the coordinator of a pool is asked, and which one.

use std::net::Ipv4Addr;
use std::time::{Duration, Instant};

use bergamot_admission::{Candidates, Pool, Signs, answer_timeout, rank_coordinators};
use bergamot_policy::Queue;

const TARGET: Duration = Duration::from_millis(200);

/// Guards against messages in a deployment with enough searchers, and against admission that stays
/// with the coordinator after the shortage.
#[test]
fn a_pool_is_short_only_for_a_while_after_a_sign() {
    let (policy, now, pool) = (Queue::default(), Instant::now(), Pool::from_id(1));
    let mut signs = Signs::default();
    signs.record_answer(now, pool, TARGET.mul_f64(0.75), TARGET, &policy);
    assert!(!signs.is_short(now, pool, &policy));
    signs.record_answer(now, pool, TARGET.mul_f64(0.76), TARGET, &policy);
    assert!(!signs.is_short(now, Pool::from_id(2), &policy));
    assert!(signs.is_short(now + Duration::from_millis(1999), pool, &policy));
    assert!(!signs.is_short(now + Duration::from_secs(2), pool, &policy));
    signs.expire(now + Duration::from_secs(2), &policy);
    assert!(signs.is_empty());
}

/// Guards against waiting for a dead coordinator with each request, and against forgetting one that
/// is back.
#[test]
fn a_coordinator_that_did_not_answer_is_skipped_for_a_second() {
    let (policy, now, pool) = (Queue::default(), Instant::now(), Pool::from_id(7));
    let members: Vec<Ipv4Addr> = (1..=4).map(|last| Ipv4Addr::new(10, 0, 0, last)).collect();
    let ranked = rank_coordinators(pool, &members);
    let mut candidates = Candidates::default();
    assert_eq!(candidates.select(now, pool, &members), ranked[..2]);
    candidates.record_silence(now, ranked[0], &policy);
    let soon = now + Duration::from_millis(999);
    assert_eq!(candidates.select(soon, pool, &members), ranked[1..3]);
    let later = now + Duration::from_secs(1);
    assert_eq!(candidates.select(later, pool, &members), ranked[..2]);
}

/// Two coordinators that don't answer must leave a refused caller time to retry: a quarter of the
/// target, unless late timers need more.
#[test]
fn a_coordinator_answers_within_a_tenth_of_the_target_or_25_ms() {
    let timeout = |target_ms| answer_timeout(Duration::from_millis(target_ms), &Queue::default());
    assert_eq!(timeout(80), Duration::from_millis(25));
    assert_eq!(timeout(600), Duration::from_millis(60));
}
