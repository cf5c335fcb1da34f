//! The mirror applies changes in the store's order, and few members read the store.

use std::net::Ipv4Addr;
use std::time::{Duration, Instant};

use bergamot_base::{Name, Position};
use bergamot_feed::{Failure, Mirror, Origin, Origins, ReadRole};
use bergamot_wire::{Item, News, NewsQuery, Value};

fn at(revision: u64) -> Position {
    revision.into()
}

fn item(key: &str, revision: u64) -> Item {
    let value = Value::Inline(vec![revision as u8]);
    Item { key: Name::from(key), value, position: at(revision), version: None }
}

fn deleted(key: &str, revision: u64) -> Item {
    Item { value: Value::Deleted, ..item(key, revision) }
}

/// Returns the reply to a follower that is complete up to a revision, as a single page.
fn query(mirror: &Mirror, after: u64) -> News {
    let query = NewsQuery { after: at(after), ..NewsQuery::default() };
    mirror.news(&query, usize::MAX, Instant::now())
}

const A: Ipv4Addr = Ipv4Addr::new(10, 0, 0, 1);
const B: Ipv4Addr = Ipv4Addr::new(10, 0, 0, 2);

#[test]
fn an_older_record_is_ignored() {
    let mut mirror = Mirror::default();
    mirror.replace(vec![item("a", 5)], at(5));
    assert!(mirror.update(vec![item("a", 4)], at(4)).items.is_empty());
    assert!(mirror.replace(vec![item("a", 3)], at(4)).items.is_empty());
    assert_eq!(mirror.position(), at(5));
    assert_eq!(mirror.update(vec![item("a", 6)], at(6)).items, [item("a", 6)]);
}

#[test]
fn a_listing_reports_keys_deleted_since_the_previous_one() {
    let mut mirror = Mirror::default();
    mirror.replace(vec![item("a", 1), item("b", 2)], at(2));
    assert_eq!(mirror.replace(vec![item("b", 2)], at(9)).items, [deleted("a", 9)]);
}

#[test]
fn a_follower_receives_the_changes_or_a_full_listing() {
    let mut mirror = Mirror::default();
    mirror.replace(vec![item("a", 1), item("b", 2)], at(2));
    mirror.update(vec![item("a", 3), deleted("b", 4)], at(4));
    let changes = query(&mirror, 2);
    assert_eq!((changes.listing, changes.items), (None, vec![item("a", 3), deleted("b", 4)]));
    let all = query(&mirror, 1);
    assert_eq!((all.listing, all.items, all.at), (Some(at(4)), vec![item("a", 3)], at(4)));
    assert!(mirror.has_news(at(3)) && !mirror.has_news(at(4)));
}

#[test]
fn a_listing_after_lost_history_sends_followers_only_the_differences() {
    let mut mirror = Mirror::default();
    mirror.replace(vec![item("a", 1), item("b", 2), item("c", 3)], at(3));
    mirror.replace(vec![item("a", 1), item("b", 7)], at(9));
    let reply = query(&mirror, 3);
    assert_eq!((reply.listing, reply.at), (None, at(9)));
    assert_eq!(reply.items, [item("b", 7), deleted("c", 9)]);
    assert!(query(&mirror, 2).listing.is_some());
}

#[test]
fn a_follower_continues_from_the_listing_of_another_member() {
    let (mut reader, mut follower) = (Mirror::default(), Mirror::default());
    reader.replace(vec![item("a", 1)], at(1));
    let reply = query(&reader, 0);
    follower.replace(reply.items, reply.at);
    assert_eq!(follower.position(), at(1));
    assert_eq!(follower.update(vec![item("a", 2)], at(2)).items, [item("a", 2)]);
}

#[test]
fn a_reader_queries_members_between_attempts_at_a_failing_store() {
    let (mut origins, now) = (Origins::default(), Instant::now());
    assert_eq!(origins.choose(now, ReadRole::Reader, &[A, B]), Ok(Origin::Store));
    origins.record_failure((Origin::Store, Failure::Silent), now, ReadRole::Reader, 1.0);
    assert_eq!(origins.choose(now, ReadRole::Reader, &[A, B]), Ok(Origin::Member(A)));
    let later = now + Duration::from_millis(1500);
    assert_eq!(origins.choose(later, ReadRole::Reader, &[A, B]), Ok(Origin::Store));
}

#[test]
fn a_deputy_queries_the_store_as_soon_as_the_readers_fail() {
    let (mut origins, now) = (Origins::default(), Instant::now());
    assert_eq!(origins.choose(now, ReadRole::Deputy, &[A]), Ok(Origin::Member(A)));
    origins.record_failure((Origin::Member(A), Failure::Stale), now, ReadRole::Deputy, 1.0);
    assert_eq!(origins.choose(now, ReadRole::Deputy, &[A]), Ok(Origin::Store));
    origins.record_failure((Origin::Store, Failure::Silent), now, ReadRole::Deputy, 1.0);
    let later = now + Duration::from_millis(250);
    assert_eq!(origins.choose(later, ReadRole::Deputy, &[A]), Ok(Origin::Store));
}

#[test]
fn followers_query_the_store_only_after_all_readers_fail() {
    let (mut origins, now) = (Origins::default(), Instant::now());
    assert_eq!(origins.choose(now, ReadRole::Follower, &[A, B]), Ok(Origin::Member(A)));
    origins.record_failure((Origin::Member(A), Failure::Silent), now, ReadRole::Follower, 1.0);
    assert_eq!(origins.choose(now, ReadRole::Follower, &[A, B]), Ok(Origin::Member(B)));
    origins.record_failure((Origin::Member(B), Failure::Silent), now, ReadRole::Follower, 1.0);
    assert_eq!(origins.choose(now, ReadRole::Follower, &[A, B]), Ok(Origin::Store));
    origins.record_failure((Origin::Store, Failure::Silent), now, ReadRole::Follower, 1.0);
    origins.choose(now, ReadRole::Follower, &[A, B]).unwrap_err();
}

/// The store rejects two of three readers, and each query to them takes as long as a watch. Updates
/// must arrive from the third within their limit of 3 s.
#[test]
fn a_follower_reaches_the_only_served_reader_within_the_time_limit() {
    const C: Ipv4Addr = Ipv4Addr::new(10, 0, 0, 3);
    let (mut origins, start) = (Origins::default(), Instant::now());
    let mut now = start;
    while origins.choose(now, ReadRole::Follower, &[A, B, C]) != Ok(Origin::Member(C)) {
        let origin = origins
            .choose(now, ReadRole::Follower, &[A, B, C])
            .expect("there is an origin to query");
        now += Duration::from_millis(1200);
        origins.record_failure((origin, Failure::Silent), now, ReadRole::Follower, 0.5);
        assert!(
            now < start + Duration::from_secs(3),
            "{origin:?} was queried at {:?}",
            now - start
        );
    }
}

/// The store hangs for two seconds, so every reader is briefly stale. The next update must reach a
/// follower soon after the readers have it.
#[test]
fn a_follower_soon_returns_to_readers_that_were_stale() {
    let (mut origins, start) = (Origins::default(), Instant::now());
    for origin in [Origin::Member(A), Origin::Member(B)] {
        origins.record_failure((origin, Failure::Stale), start, ReadRole::Follower, 1.0);
    }
    origins.record_failure((Origin::Store, Failure::Silent), start, ReadRole::Follower, 1.0);
    let later = start + Duration::from_millis(600);
    assert_eq!(origins.choose(later, ReadRole::Follower, &[A, B]), Ok(Origin::Member(A)));
}

/// The store is down for ten seconds in a fleet of eighty members, six of which read it.
#[test]
fn a_store_outage_does_not_make_every_member_query_it() {
    let start = Instant::now();
    let mut calls = 0;
    for member in 0..80 {
        let role = match member {
            0..3 => ReadRole::Reader,
            3..6 => ReadRole::Deputy,
            _ => ReadRole::Follower,
        };
        let (mut origins, mut now) = (Origins::default(), start);
        while now < start + Duration::from_secs(10) {
            match origins.choose(now, role, &[A, B]) {
                Ok(origin) => {
                    calls += usize::from(origin == Origin::Store);
                    origins.record_failure((origin, Failure::Silent), now, role, 0.5);
                    now += Duration::from_millis(10);
                }
                Err(until) => now = until,
            }
        }
    }
    assert!(calls < 400, "{calls} calls to the store");
}
