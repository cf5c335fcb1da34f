//! When refused callers may come back: patterns of an outage, played against the decision.

use std::time::Duration;

use bergamot_dispatch::{Obstacle, comeback};
use bergamot_policy::ComeBack;

const MS: Duration = Duration::from_millis(1);

/// How a caller heeds a time to come back: at most a third of what they have left.
fn heeded(after: Duration, left: Duration) -> Duration {
    after.min(left / 3)
}

/// Plays callers who come evenly while nothing is known, and who come back once, as the users'
/// callers do. Returns how many were refused twice, and the most who came in a tenth of a second.
fn lost(policy: &ComeBack, outage: Duration, deadline: Duration) -> (usize, usize) {
    const CALLERS: u32 = 100;
    let mut returns = [0; 40];
    let mut twice = 0;
    for caller in 0..CALLERS {
        let first = outage * caller / CALLERS;
        let draw = f64::from(caller * 37 % CALLERS) / f64::from(CALLERS);
        let back = first + heeded(comeback(Obstacle::Outage, policy, draw), deadline);
        twice += usize::from(back < outage);
        returns[(back.as_millis() / 100) as usize] += 1;
    }
    (twice, returns.into_iter().max().unwrap_or_default())
}

/// The pattern: all processes lost their power while the store is away. They are back before
/// the store, which stays away for 800 ms more, and know nothing. Callers wait for 3 s at the most
/// and come back once. Told to return after 300 ms, most are refused again and lost.
#[test]
fn callers_who_meet_an_outage_return_once_it_is_over() {
    let soonest = ComeBack { on: false, ..ComeBack::default() };
    let (outage, deadline) = (MS * 800, MS * 3000);
    let (lost_soonest, _) = lost(&soonest, outage, deadline);
    let (lost, most) = lost(&ComeBack::default(), outage, deadline);
    assert!(lost_soonest > 60, "{lost_soonest} of 100");
    assert!(lost == 0, "{lost} of 100");
    assert!(most <= 20, "{most} of 100 came back at the same time");
}

/// The pattern: the store is back, and the entries of living searchers return with their next
/// heartbeat, 1.2 s later at the most. A shard without an entry can't be asked before.
#[test]
fn callers_return_after_the_entries_of_the_searchers() {
    let policy = ComeBack::default();
    for left in [0, 300, 1200] {
        let (left, draws) = (MS * left, [0.0, 0.5, 1.0]);
        for draw in draws {
            let after = comeback(Obstacle::Returning(left), &policy, draw);
            assert!(after > left && after <= left + MS * 300, "{after:?}");
        }
    }
}

/// The pattern: the searchers have 400 ms more work before them than fits the target latency.
#[test]
fn callers_return_after_the_backlog_and_never_much_later_than_an_outage() {
    let policy = ComeBack::default();
    let after = |excess| comeback(Obstacle::Backlog(excess), &policy, 0.0);
    assert_eq!(after(MS * 400), MS * 550);
    assert_eq!(after(MS * 60_000), policy.outage + policy.soonest);
    assert_eq!(comeback(Obstacle::Passing, &policy, 0.0), MS * 150);
}
