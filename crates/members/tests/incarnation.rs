//! A run whose clock was set back numbers itself after its predecessor.

use std::net::Ipv4Addr;
use std::time::{Duration, Instant};

use bergamot_base::Seed;
use bergamot_members::{
    Datagram, Digest, Endpoint, Kind, Prober, Record, Role, Rumour, State, Timing, View,
};

fn record(last: u8, incarnation: u64, state: State) -> Record {
    let endpoint = Endpoint { ip: Ipv4Addr::new(10, 0, 0, last), role: Role::Entry };
    Record { endpoint, zone: "z".into(), incarnation, counter: 0, state, weight: 0 }
}

#[test]
fn a_later_run_with_an_earlier_number_takes_a_number_after_its_predecessors() {
    let timing = Timing {
        probe: Duration::from_millis(300),
        busiest: usize::MAX,
        answer: Duration::from_millis(100),
        suspicion: Duration::from_secs(1),
    };
    let me = record(1, 500, State::Alive);
    let mut view = View::default();
    view.apply(&me);
    let mut prober = Prober::new(Instant::now(), timing, me, Seed(1).generator("test"));
    // A peer still holds the farewell of the run before, whose clock was ahead.
    let datagram = Datagram {
        kind: Kind::News,
        from: record(2, 7, State::Alive),
        digest: Digest::default(),
        rumours: vec![Rumour::Member(record(1, 900, State::Leaving))],
    };
    prober.receive(Instant::now(), &datagram, &mut view, Digest::default());
    let after = prober.me();
    assert!(after.incarnation > 900 && after.state == State::Alive, "{after}");
    assert!(after.overrides(&record(1, 900, State::Leaving)));
}
