//! Rejections of searchers: the mistakes of callers, and the failures of one searcher.
//!
//! Guards against a searcher that is condemned by a status alone, and against twice the load for
//! requests that all searchers reject.

use bergamot_dispatch::{
    Conclusion, Other, Others, Overdue, RejectedRetry, RejectionHistory, Tally,
};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

/// The other searchers of a service of two.
fn others(other: &RejectionHistory, is_near: bool) -> Others {
    Others::of([Other { rate: other.rate(), is_near }])
}

/// Two searchers answer in turn, and reject these shares of their requests. Returns how often each
/// counts as failed in a thousand answers.
fn failures(shares: [f64; 2]) -> [usize; 2] {
    let mut rng = StdRng::seed_from_u64(7);
    let (mut histories, mut failed) = ([RejectionHistory::default(); 2], [0; 2]);
    for _ in 0..1000 {
        for at in [0, 1] {
            if rng.random_bool(shares[at]) {
                let others = others(&histories[1 - at], true);
                let conclusion = histories[at].record_rejection(others);
                failed[at] += usize::from(conclusion == Conclusion::Failed);
            } else {
                histories[at].record_success();
            }
        }
    }
    failed
}

#[test]
fn a_searcher_fails_only_by_rejecting_more_than_another() {
    for share in [0.1, 0.5, 0.9, 1.0] {
        let failed = failures([share, share]);
        assert!(failed.iter().all(|count| *count < 20), "share {share}: {failed:?}");
    }
    let [failing, sound] = failures([1.0, 0.1]);
    assert!(failing > 950 && sound == 0, "{failing}, {sound}");
    let mut alone = RejectionHistory::default();
    assert!((0..99).all(|_| alone.record_rejection(Others::None) == Conclusion::Plausible));
}

/// Guards against work that goes elsewhere for long since callers make mistakes.
#[test]
fn a_searcher_that_rejects_everything_is_compared_until_another_one_is_measured() {
    let (mut busy, mut idle) = (RejectionHistory::default(), RejectionHistory::default());
    for answers in 1..100 {
        let conclusion = busy.record_rejection(others(&idle, false));
        let expected = match answers {
            8..16 => Conclusion::CompareNext,
            _ => Conclusion::Plausible,
        };
        assert_eq!(conclusion, expected, "after {answers} answers");
        if conclusion == Conclusion::CompareNext {
            idle.record_rejection(others(&busy, true));
        }
    }
}

/// Guards against a searcher that rejects a part of its requests and keeps all of them, since no other
/// one is measured.
#[test]
fn a_searcher_that_rejects_a_part_is_compared_only_with_one_as_near() {
    for (share, is_near, is_compared) in [(2, true, true), (1, true, false), (4, false, false)] {
        let (mut busy, idle) = (RejectionHistory::default(), RejectionHistory::default());
        let mut compared = false;
        for answer in 0..100 {
            if answer % 5 < share {
                let conclusion = busy.record_rejection(others(&idle, is_near));
                compared |= conclusion == Conclusion::CompareNext && answer > 50;
            } else {
                busy.record_success();
            }
        }
        assert_eq!(compared, is_compared, "{share} of five, near: {is_near}");
    }
}

#[test]
fn rejections_are_asked_for_elsewhere_until_others_confirm_them() {
    let mut history = RejectionHistory::default();
    assert!(history.needs_confirmation(), "nothing is known of the first one");
    history.record_confirmation(true);
    assert!((0..4).all(|_| !history.needs_confirmation()) && history.needs_confirmation());
    history.record_confirmation(false);
    assert!((0..9).all(|_| history.needs_confirmation()));
    (0..6).for_each(|_| history.record_confirmation(true));
    assert!(!history.needs_confirmation());
}

/// Guards against shards that wait for a single test, whose searcher works on the request, until they
/// are too late.
#[test]
fn tests_multiply_while_those_in_progress_are_overdue() {
    let mut tally = Tally::new(40, 20);
    (0..40).for_each(|_| tally.defer());
    assert_eq!(tally.retry_rejected(), RejectedRetry::Test);
    for allowed in [3, 12] {
        let begun = tally.tests();
        for _ in 0..allowed {
            assert_eq!(tally.retry_overdue(begun, Overdue::Test), RejectedRetry::Test);
            tally.resume();
        }
        assert_eq!(tally.retry_overdue(begun, Overdue::Test), RejectedRetry::Wait);
    }
    tally.end_test(true);
    let begun = tally.tests();
    assert_eq!(tally.retry_overdue(begun, Overdue::Test), RejectedRetry::Wait, "it is confirmed");
    assert_eq!(tally.retry_overdue(begun, Overdue::Answer), RejectedRetry::Test);
    tally.record_arrived();
    assert_eq!(tally.retry_overdue(begun, Overdue::Test), RejectedRetry::Now);
}

#[test]
fn one_attempt_tests_a_request_that_no_shard_has_accepted() {
    let mut tally = Tally::new(3, 2);
    (0..2).for_each(|_| tally.defer());
    assert_eq!(tally.retry_rejected(), RejectedRetry::Test);
    assert_eq!(tally.retry_rejected(), RejectedRetry::Wait);
    tally.end_test(false);
    assert_eq!(tally.retry_rejected(), RejectedRetry::Test, "the first test has shown nothing");
    let mut accepted = tally;
    accepted.record_arrived();
    assert_eq!(accepted.retry_rejected(), RejectedRetry::Now);
    tally.end_test(true);
    assert_eq!(tally.retry_rejected(), RejectedRetry::Wait, "the third shard may still arrive");
    tally.defer();
    assert_eq!(tally.retry_rejected(), RejectedRetry::Never, "it has rejected the request too");
    tally.resume();
    assert_eq!(tally.retry_rejected(), RejectedRetry::Never);
}

/// Guards against a mistake that is held by one silent shard, and tried twice at all the others.
#[test]
fn three_rejected_tests_show_a_mistake_although_a_shard_is_silent() {
    let mut tally = Tally::new(6, 3);
    (0..5).for_each(|_| tally.defer());
    assert_eq!(tally.retry_rejected(), RejectedRetry::Test);
    for _ in 0..2 {
        tally.end_test(true);
        assert_eq!(tally.retry_rejected(), RejectedRetry::Wait);
        assert_eq!(tally.test_again(), RejectedRetry::Test);
    }
    tally.end_test(true);
    assert_eq!(tally.test_again(), RejectedRetry::Never);
    assert_eq!(tally.retry_rejected(), RejectedRetry::Never);
    tally.record_arrived();
    assert_eq!(tally.retry_rejected(), RejectedRetry::Now, "the silent shard has accepted it");
}
