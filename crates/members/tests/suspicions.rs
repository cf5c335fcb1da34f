//! Tests of when a starting member accepts requests, which depends on the reports that it received
//! about requests that crash searchers.

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
        protocol: 0,
    }
}

fn start(now: Instant) -> (Arc<Quarantine>, Suspicions, Membership) {
    let quarantine = Arc::<Quarantine>::default();
    let membership =
        Membership::new(now, TIMING, record(1), Vec::new(), Seed(1).generator("member"));
    (Arc::clone(&quarantine), Suspicions::new(quarantine), membership)
}

/// Returns a datagram of another member that has the latest published state, or has not.
fn datagram(fresh: bool) -> Datagram {
    let digest = Digest { fresh, ..Digest::default() };
    Datagram { kind: Kind::Gossip, from: record(2), digest, rumours: Vec::new() }
}

/// Guards against refusing the callers of a single instance while it waits for other members.
#[test]
fn a_sole_member_accepts_requests_at_once() {
    let now = Instant::now();
    let (quarantine, suspicions, membership) = start(now);
    suspicions.update_synced(now, &membership);
    assert!(quarantine.is_synced());
}

#[test]
fn a_member_that_hears_from_another_waits_for_a_fresh_one() {
    let now = Instant::now();
    let (quarantine, mut suspicions, membership) = start(now);
    suspicions.send_missing(now, &membership, &datagram(false), Digest::default());
    assert!(!quarantine.is_synced());
    suspicions.send_missing(now, &membership, &datagram(true), Digest::default());
    assert!(quarantine.is_synced());
}

/// Guards against waiting forever when all members have just started, so that none is fresh.
#[test]
fn a_member_waits_only_until_the_timeout() {
    let now = Instant::now();
    let (quarantine, mut suspicions, membership) = start(now);
    suspicions.send_missing(now, &membership, &datagram(false), Digest::default());
    suspicions.update_synced(now + Duration::from_millis(200), &membership);
    assert!(!quarantine.is_synced());
    suspicions.update_synced(now + Duration::from_millis(400), &membership);
    assert!(quarantine.is_synced());
}
