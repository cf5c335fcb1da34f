//! Calls to the store when many members act at once: during an outage of the store, and when all
//! members start together.

use std::collections::BTreeSet;
use std::net::Ipv4Addr;
use std::time::{Duration, Instant};

use bergamot_base::Seed;
use bergamot_feed::{Failure, Origin, Origins, ReadRole, Topology};
use rand::RngExt;

const SECOND: Duration = Duration::from_secs(1);

/// A query to a member without updates takes one round trip.
const ROUND_TRIP: Duration = Duration::from_millis(10);

fn ip(number: usize) -> Ipv4Addr {
    let [a, b] = (number as u16).to_be_bytes();
    Ipv4Addr::new(10, 1, a, b)
}

/// Simulates an outage of the store. Returns how often followers called it, and when the first did.
fn outage(members: usize, duration: Duration) -> (usize, Option<Duration>) {
    let readers: Vec<Ipv4Addr> = (0..6).map(ip).collect();
    let start = Instant::now();
    let (mut calls, mut first) = (0, None::<Duration>);
    for member in 6..members {
        let mut rng = Seed(member as u64).generator("outage");
        let (mut origins, mut now) = (Origins::default(), start);
        origins.set_member_count(members);
        while now < start + duration {
            match origins.choose(now, ReadRole::Follower, &readers) {
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
                    now += ROUND_TRIP;
                    origins.record_failure(
                        (origin, failure),
                        now,
                        ReadRole::Follower,
                        rng.random(),
                    );
                }
                Err(until) => now = until,
            }
        }
    }
    (calls, first)
}

/// The store is down for 6 s, so all readers are stale. Each call is metered, and unlimited retries
/// of 1,800 members would reach the limit for all reads together.
#[test]
fn store_queries_during_an_outage_are_bounded_for_any_fleet_size() {
    for members in [75, 295, 1800] {
        let (calls, _first) = outage(members, SECOND * 6);
        assert!(calls <= 100, "{members} members: {calls} calls");
    }
}

/// Guards against followers that call the store at once whenever nobody else is to be queried at the
/// moment, as after an answer of a member that is known to have updates only for some time.
#[test]
fn store_queries_are_bounded_while_some_members_help_at_times() {
    const MEMBERS: usize = 1168;
    let (stale, start) = ((0..6).map(ip).collect::<Vec<_>>(), Instant::now());
    let mut calls = 0;
    for member in 6..MEMBERS {
        let mut rng = Seed(member as u64).generator("helped at times");
        let (mut origins, mut now) = (Origins::default(), start);
        origins.set_member_count(MEMBERS);
        while now < start + SECOND * 6 {
            // The members that have stated to be up to date in the last moments, one or none.
            let period = now.saturating_duration_since(start).as_millis() / 300;
            let helps = (period % 2 == 0).then(|| ip(6 + period as usize));
            let members: Vec<Ipv4Addr> = stale.iter().copied().chain(helps).collect();
            match origins.choose(now, ReadRole::Follower, &members) {
                Ok(Origin::Member(asked)) if Some(asked) == helps => {
                    now += ROUND_TRIP * 10;
                    origins.record_success(Origin::Member(asked));
                }
                Ok(origin) => {
                    calls += usize::from(origin == Origin::Store);
                    now += ROUND_TRIP;
                    let failure = (origin, Failure::Stale);
                    origins.record_failure(failure, now, ReadRole::Follower, rng.random());
                }
                Err(until) => now = until,
            }
        }
    }
    assert!(calls <= 100, "{calls} calls");
}

/// Guards against a member that is cut off from all others and waits for its share of a rate that
/// nobody else uses.
#[test]
fn an_isolated_follower_queries_the_store_soon_in_a_fleet_of_any_size() {
    let (readers, now) = ((0..6).map(ip).collect::<Vec<_>>(), Instant::now());
    let mut origins = Origins::default();
    origins.set_member_count(1168);
    for reader in &readers {
        let failure = (Origin::Member(*reader), Failure::Silent);
        origins.record_failure(failure, now, ReadRole::Follower, 1.0);
    }
    assert!(origins.choose(now, ReadRole::Follower, &readers).is_err(), "others may be served");
    origins.set_isolated(true);
    assert_eq!(origins.choose(now, ReadRole::Follower, &readers), Ok(Origin::Store));
}

/// Guards against a member that hears from others again and still waits for as long as they were
/// silent before.
#[test]
fn a_member_that_hears_from_others_again_queries_them_at_once() {
    let (readers, now) = ([ip(0), ip(1)], Instant::now());
    let mut origins = Origins::default();
    origins.set_isolated(true);
    for origin in [Origin::Member(ip(0)), Origin::Member(ip(1)), Origin::Store] {
        origins.record_failure((origin, Failure::Silent), now, ReadRole::Follower, 1.0);
    }
    let until = origins.choose(now, ReadRole::Follower, &readers);
    assert!(until.is_err_and(|until| until <= now + SECOND / 4), "{until:?}");
    origins.set_isolated(false);
    let asked = origins.choose(now, ReadRole::Follower, &readers);
    assert_eq!(asked, Ok(Origin::Member(ip(0))));
}

/// The store rejects all readers, and serves two thirds of the other members. One of those must
/// call it soon, because the others get their updates from it.
#[test]
fn a_follower_queries_the_store_soon_if_all_readers_are_stale() {
    for members in [8, 75, 295, 1800] {
        let (_calls, first) = outage(members, SECOND * 2);
        assert!(first.is_some_and(|first| first < SECOND / 2), "{members} members: {first:?}");
    }
}

/// Guards against members that wait for each other for as long as none of them calls the store: by
/// the time that the last one has answered, the backoff of the first has passed.
#[test]
fn members_that_wait_for_each_other_do_not_keep_a_follower_from_the_store() {
    const WAIT: Duration = Duration::from_millis(300);
    let members: Vec<Ipv4Addr> = (0..5).map(ip).collect();
    for role in [ReadRole::Deputy, ReadRole::Follower] {
        let (mut origins, start) = (Origins::default(), Instant::now());
        origins.set_member_count(8);
        let (mut now, mut asked) = (start, Vec::new());
        while !asked.contains(&Origin::Store) {
            assert!(now < start + SECOND * 3, "{role:?}: asked {asked:?}");
            match origins.choose(now, role, &members) {
                Ok(origin @ Origin::Member(_)) => {
                    now += WAIT;
                    origins.record_failure((origin, Failure::Stale), now, role, 0.0);
                    asked.push(origin);
                }
                Ok(Origin::Store) => asked.push(Origin::Store),
                Err(until) => now = until,
            }
        }
        assert_eq!(
            asked.len(),
            members.len() + 1,
            "{role:?}: each member is asked once: {asked:?}"
        );
    }
}

/// All members lose power at once, and restart together without knowing any others.
#[test]
fn only_seeds_read_the_store_when_all_members_start_together() {
    let seeds = [ip(0), ip(1), ip(2)];
    let topology = |own: usize, reachable: &[usize], fresh: &[usize]| {
        let reachable: BTreeSet<Ipv4Addr> = reachable.iter().copied().map(ip).collect();
        let fresh = fresh.iter().copied().map(ip).collect();
        Topology::bootstrap(ip(own), &seeds, |seed| reachable.contains(&seed), fresh, 300)
    };
    let queried = |topology: Option<Topology>| {
        let topology = topology.expect("there is a member to query");
        assert_eq!(topology.role, ReadRole::Follower);
        topology.readers
    };
    assert_eq!(topology(0, &[], &[]), None, "a seed reads the store");
    assert_eq!(topology(7, &[], &[]), None, "no member can be queried yet");
    assert_eq!(
        queried(topology(7, &[1], &[])),
        [ip(1)],
        "others query the seeds that are reachable"
    );
    assert_eq!(
        queried(topology(7, &[1, 2], &[9, 2])),
        [ip(9), ip(2), ip(1)],
        "and members with the latest updates, which come first"
    );
    assert_eq!(queried(topology(0, &[], &[9])), [ip(9)], "a seed that rejoins a fleet queries it");
}
