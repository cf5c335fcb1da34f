//! A process that starts after its clock was set back gets a lower incarnation than its
//! predecessor.

use std::net::Ipv4Addr;
use std::time::{Duration, Instant};

use bergamot_base::Seed;
use bergamot_members::{
    Datagram, Digest, Endpoint, Kind, Membership, Record, Role, Rumour, State, Timing,
};

fn record(last: u8, incarnation: u64, state: State) -> Record {
    let endpoint = Endpoint { ip: Ipv4Addr::new(10, 0, 0, last), role: Role::Entry };
    Record { endpoint, zone: "z".into(), incarnation, counter: 0, state, weight: 0, protocol: 0 }
}

#[test]
fn a_restart_with_a_lower_incarnation_takes_one_above_its_predecessors() {
    let timing = Timing {
        probe: Duration::from_millis(300),
        answer: Duration::from_millis(100),
        suspicion: Duration::from_secs(1),
    };
    let me = record(1, 500, State::Alive);
    let (now, rng) = (Instant::now(), Seed(1).generator("test"));
    let mut membership = Membership::new(now, timing, me, Vec::new(), rng);
    // A peer still holds the departure of the previous incarnation, whose clock was ahead.
    let datagram = Datagram {
        kind: Kind::Gossip,
        from: record(2, 7, State::Alive),
        digest: Digest::default(),
        rumours: vec![Rumour::Member(record(1, 900, State::Leaving))],
    };
    membership.receive(now, &datagram, Digest::default());
    let after = membership.me();
    assert!(after.incarnation > 900 && after.state == State::Alive, "{after}");
    assert!(after.overrides(&record(1, 900, State::Leaving)));
}
