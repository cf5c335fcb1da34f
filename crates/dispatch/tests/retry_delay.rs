//! When refused callers should retry: simulated outages.

use std::time::Duration;

use bergamot_dispatch::{Unavailability, retry_delay};
use bergamot_policy::ComeBack;

const MS: Duration = Duration::from_millis(1);

/// Returns how long a caller waits when told to retry: at most a third of its remaining time.
fn actual_wait(after: Duration, left: Duration) -> Duration {
    after.min(left / 3)
}

/// Simulates callers that arrive evenly during an outage and retry once. Returns how many were
/// refused twice, and the maximum number of retries within 100 ms.
fn simulate(policy: &ComeBack, outage: Duration, deadline: Duration) -> (usize, usize) {
    const CALLERS: u32 = 100;
    let mut retries = [0; 40];
    let mut twice = 0;
    for caller in 0..CALLERS {
        let first = outage * caller / CALLERS;
        let draw = f64::from(caller * 37 % CALLERS) / f64::from(CALLERS);
        let retried =
            first + actual_wait(retry_delay(Unavailability::StoreOutage, policy, draw), deadline);
        twice += usize::from(retried < outage);
        retries[(retried.as_millis() / 100) as usize] += 1;
    }
    (twice, retries.into_iter().max().unwrap_or_default())
}

/// Guards against requests that are refused twice: after a power failure, all processes restart
/// without state 800 ms before the store is available again, and callers wait for up to 3 s and
/// retry once. If told to retry after 300 ms, most are refused again.
#[test]
fn callers_refused_during_an_outage_retry_after_it() {
    let off = ComeBack { on: false, ..ComeBack::default() };
    let (outage, deadline) = (MS * 800, MS * 3000);
    let (lost_if_off, _) = simulate(&off, outage, deadline);
    let (lost, most) = simulate(&ComeBack::default(), outage, deadline);
    assert!(lost_if_off > 60, "{lost_if_off} of 100");
    assert!(lost == 0, "{lost} of 100");
    assert!(most <= 20, "{most} of 100 retried at the same time");
}

/// After an outage of the store, the entries of live searchers are restored by their next
/// heartbeat, at most 1.2 s later. Until then, a shard without an entry can't be queried.
#[test]
fn callers_retry_after_the_entries_are_restored() {
    let policy = ComeBack::default();
    for left in [0, 300, 1200] {
        let (left, draws) = (MS * left, [0.0, 0.5, 1.0]);
        for draw in draws {
            let after = retry_delay(Unavailability::RestoringEntries(left), &policy, draw);
            assert!(after > left && after <= left + MS * 300, "{after:?}");
        }
    }
}

/// The queued work of the searchers exceeds the target latency by 400 ms, and by a minute.
#[test]
fn callers_retry_after_the_backlog_but_not_much_later_than_after_an_outage() {
    let policy = ComeBack::default();
    let after = |excess| retry_delay(Unavailability::Backlog(excess), &policy, 0.0);
    assert_eq!(after(MS * 400), MS * 550);
    assert_eq!(after(MS * 60_000), policy.outage + policy.soonest);
    assert_eq!(retry_delay(Unavailability::Transient, &policy, 0.0), MS * 150);
}
