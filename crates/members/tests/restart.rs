//! Probes of a member that is restarted while an acknowledgement is on its way.

use std::net::Ipv4Addr;
use std::time::{Duration, Instant};

use bergamot_base::Seed;
use bergamot_members::{Datagram, Digest, Endpoint, Kind, Membership, Record, Role, State, Timing};

const TIMING: Timing = Timing {
    probe: Duration::from_millis(300),
    answer: Duration::from_millis(100),
    suspicion: Duration::from_secs(1),
};

fn record(last: u8, incarnation: u64) -> Record {
    let endpoint = Endpoint { ip: Ipv4Addr::new(10, 0, 0, last), role: Role::Entry };
    let state = State::Alive;
    Record { endpoint, zone: "z".into(), incarnation, counter: 0, state, weight: 0, protocol: 0 }
}

/// A run of member 1 that knows member 2.
fn run(now: Instant, incarnation: u64) -> Membership {
    let me = record(1, incarnation);
    let mut membership =
        Membership::new(now, TIMING, me, Vec::new(), Seed(incarnation).generator("test"));
    membership.receive(now, &datagram(Kind::Gossip), Digest::default());
    membership
}

/// A datagram of member 2.
fn datagram(kind: Kind) -> Datagram {
    Datagram { kind, from: record(2, 7), digest: Digest::default(), rumours: Vec::new() }
}

/// The number of the ping that a member sends next.
fn ping(membership: &mut Membership, now: Instant) -> u64 {
    let number = membership.tick(now, Digest::default()).iter().find_map(|out| {
        if let Kind::Ping(number) = out.datagram.kind { Some(number) } else { None }
    });
    number.expect("it pings its only peer")
}

/// Guards against an acknowledgement of an earlier run's ping that hides from the next run that its
/// own ping is unanswered.
#[test]
fn an_acknowledgement_of_an_earlier_runs_ping_leaves_the_next_runs_ping_unanswered() {
    let now = Instant::now();
    let (mut former, mut current) = (run(now, 500), run(now, 501));
    let (earlier, pending) = (ping(&mut former, now), ping(&mut current, now));
    current.receive(now, &datagram(Kind::Ack(earlier)), Digest::default());
    current.tick(now + TIMING.probe, Digest::default());
    let peer = record(2, 7).endpoint;
    let state = |membership: &Membership| membership.view().get(peer).map(|known| known.state);
    assert_eq!(state(&current), Some(State::Suspect), "pings {earlier} and {pending}");
    former.receive(now, &datagram(Kind::Ack(earlier)), Digest::default());
    former.tick(now + TIMING.probe, Digest::default());
    assert_eq!(state(&former), Some(State::Alive), "its own ping was acknowledged");
}
