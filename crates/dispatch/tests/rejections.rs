//! Rejections of searchers: the mistakes of callers, and the failures of one searcher.
//!
//! Guards against a searcher that is condemned by a status alone, and against twice the load for
//! requests that all searchers reject.

use bergamot_dispatch::{RejectedRetry, RejectionHistory, Tally};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

/// Two searchers answer in turn, and reject these shares of their requests. Returns how often each
/// is blamed for a thousand answers.
fn blame(shares: [f64; 2]) -> [usize; 2] {
    let mut rng = StdRng::seed_from_u64(7);
    let (mut histories, mut blamed) = ([RejectionHistory::default(); 2], [0; 2]);
    for _ in 0..1000 {
        for at in [0, 1] {
            if rng.random_bool(shares[at]) {
                let other = histories[1 - at].rate();
                blamed[at] += usize::from(histories[at].record_rejection(other));
            } else {
                histories[at].record_success();
            }
        }
    }
    blamed
}

#[test]
fn a_searcher_is_blamed_only_for_rejecting_more_than_another() {
    for share in [0.1, 0.5, 0.9, 1.0] {
        let blamed = blame([share, share]);
        assert!(blamed.iter().all(|count| *count < 20), "share {share}: {blamed:?}");
    }
    let [failing, sound] = blame([1.0, 0.1]);
    assert!(failing > 950 && sound == 0, "{failing}, {sound}");
    let (mut busy, mut idle) = (RejectionHistory::default(), RejectionHistory::default());
    for _ in 0..200 {
        busy.record_rejection(Some(0.0));
    }
    for _ in 0..8 {
        idle.record_rejection(busy.rate());
    }
    assert!(!busy.record_rejection(idle.rate()), "the other one has rejected a few requests alike");
}

#[test]
fn rejections_are_asked_for_elsewhere_until_others_confirm_them() {
    let mut history = RejectionHistory::default();
    assert!(history.needs_second_opinion(0.9), "nothing is known of the first one");
    history.record_opinion(true);
    assert!(!history.needs_second_opinion(0.9) && history.needs_second_opinion(0.05));
    history.record_opinion(false);
    assert!(history.needs_second_opinion(0.9));
    (0..6).for_each(|_| history.record_opinion(true));
    assert!(!history.needs_second_opinion(0.9));
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
