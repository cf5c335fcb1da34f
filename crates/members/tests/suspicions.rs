//! When a member that has just started may take requests, by what it has heard of verdicts.

use std::net::Ipv4Addr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use bergamot_base::Seed;
use bergamot_members::{
    Datagram, Digest, Endpoint, Kind, Membership, Record, Role, State, Suspicions, Timing,
};
use bergamot_quarantine::Quarantine;

const TIMING: Timing = Timing {
    probe: Duration::from_millis(300),
    answer: Duration::from_millis(120),
    suspicion: Duration::from_millis(1200),
};

fn record(last: u8) -> Record {
    Record {
        endpoint: Endpoint { ip: Ipv4Addr::new(10, 0, 0, last), role: Role::Entry },
        zone: "here".into(),
        incarnation: 1 << 16,
        counter: 0,
        state: State::Alive,
        weight: 1,
    }
}

fn start(now: Instant) -> (Arc<Quarantine>, Suspicions, Membership) {
    let quarantine = Arc::<Quarantine>::default();
    let membership =
        Membership::new(now, TIMING, record(1), Vec::new(), Seed(1).generator("member"));
    (Arc::clone(&quarantine), Suspicions::new(quarantine), membership)
}

/// A datagram of another member that knows the newest, or not.
fn datagram(fresh: bool) -> Datagram {
    let digest = Digest { fresh, ..Digest::default() };
    Datagram { kind: Kind::News, from: record(2), digest, rumours: Vec::new() }
}

/// Callers of a single instance would be refused for as long as it waits for others.
#[test]
fn a_member_that_is_alone_takes_requests_at_once() {
    let now = Instant::now();
    let (quarantine, suspicions, membership) = start(now);
    suspicions.settle(now, &membership);
    assert!(quarantine.is_synced());
}

#[test]
fn a_member_that_hears_of_another_waits_for_one_that_is_not_new_itself() {
    let now = Instant::now();
    let (quarantine, mut suspicions, membership) = start(now);
    suspicions.inform(now, &membership, &datagram(false), Digest::default());
    assert!(!quarantine.is_synced());
    suspicions.inform(now, &membership, &datagram(true), Digest::default());
    assert!(quarantine.is_synced());
}

/// All have started together, and nobody can tell.
#[test]
fn a_member_waits_for_a_short_time_only() {
    let now = Instant::now();
    let (quarantine, mut suspicions, membership) = start(now);
    suspicions.inform(now, &membership, &datagram(false), Digest::default());
    suspicions.settle(now + Duration::from_millis(200), &membership);
    assert!(!quarantine.is_synced());
    suspicions.settle(now + Duration::from_millis(400), &membership);
    assert!(quarantine.is_synced());
}
