//! Many members at once: an outage of the store, a start of all. Who calls the store, and how often.

use std::collections::BTreeSet;
use std::net::Ipv4Addr;
use std::time::{Duration, Instant};

use bergamot_base::Seed;
use bergamot_feed::{Duty, Failure, Origin, Origins, Roster};
use rand::RngExt;

const SECOND: Duration = Duration::from_secs(1);

/// A question to a member that has no news itself takes a round trip.
const QUESTION: Duration = Duration::from_millis(10);

fn ip(number: usize) -> Ipv4Addr {
    let [a, b] = (number as u16).to_be_bytes();
    Ipv4Addr::new(10, 1, a, b)
}

/// The store is away for a time; returns how often followers called it, and when the first did.
fn outage(members: usize, lasts: Duration) -> (usize, Option<Duration>) {
    let readers: Vec<Ipv4Addr> = (0..6).map(ip).collect();
    let start = Instant::now();
    let (mut calls, mut first) = (0, None::<Duration>);
    for member in 6..members {
        let mut rng = Seed(member as u64).generator("outage");
        let (mut origins, mut now) = (Origins::default(), start);
        origins.set_fleet(members);
        while now < start + lasts {
            match origins.pick(now, Duty::Follower, &readers) {
                Ok(origin) => {
                    let failure = match origin {
                        Origin::Store => {
                            calls += 1;
                            let at = now.saturating_duration_since(start);
                            first = Some(first.map_or(at, |first| first.min(at)));
                            Failure::Silent
                        }
                        Origin::Member(_) => Failure::Stale,
                    };
                    now += QUESTION;
                    origins.fail((origin, failure), now, Duty::Follower, rng.random());
                }
                Err(until) => now = until,
            }
        }
    }
    (calls, first)
}

/// The pattern: the store is down for 6 s, so that all readers are behind. Each call is paid for,
/// and at 1,800 members they would come to the limit of all reads together.
#[test]
fn an_outage_costs_as_many_calls_whatever_the_size_of_the_fleet() {
    for members in [75, 295, 1800] {
        let (calls, _first) = outage(members, SECOND * 6);
        assert!(calls <= 100, "{members} members: {calls} calls");
    }
}

/// The pattern: the store turns away all that read it, and serves two thirds of the others. The
/// first that asks it must come soon, since from it the others learn.
#[test]
fn somebody_asks_the_store_soon_where_no_reader_can() {
    for members in [8, 75, 295, 1800] {
        let (_calls, first) = outage(members, SECOND * 2);
        assert!(first.is_some_and(|first| first < SECOND / 2), "{members} members: {first:?}");
    }
}

/// The pattern: all lose their power at once, and come back together with nobody in their views.
#[test]
fn members_that_start_at_once_leave_the_store_to_the_seeds() {
    let seeds = [ip(0), ip(1), ip(2)];
    let roster = |own: usize, there: &[usize], fresh: &[usize]| {
        let there: BTreeSet<Ipv4Addr> = there.iter().copied().map(ip).collect();
        let fresh = fresh.iter().copied().map(ip).collect();
        Roster::early(ip(own), &seeds, |seed| there.contains(&seed), fresh, 300)
    };
    let asks = |roster: Option<Roster>| {
        let roster = roster.expect("somebody can be asked");
        assert_eq!(roster.duty, Duty::Follower);
        roster.readers
    };
    assert_eq!(roster(0, &[], &[]), None, "a seed reads");
    assert_eq!(roster(7, &[], &[]), None, "nobody is there yet to be asked");
    assert_eq!(asks(roster(7, &[1], &[])), [ip(1)], "the others ask seeds that are there");
    assert_eq!(asks(roster(7, &[1, 2], &[9, 2])), [ip(9), ip(2), ip(1)], "and whoever knows first");
    assert_eq!(asks(roster(0, &[], &[9])), [ip(9)], "a seed that comes back to a fleet asks it");
}
