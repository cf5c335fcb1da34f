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
fn news(mirror: &Mirror, after: u64) -> News {
    let query = NewsQuery { after: at(after), ..NewsQuery::default() };
    mirror.news(&query, usize::MAX, Instant::now())
}

const A: Ipv4Addr = Ipv4Addr::new(10, 0, 0, 1);
const B: Ipv4Addr = Ipv4Addr::new(10, 0, 0, 2);

#[test]
fn an_older_record_changes_nothing() {
    let mut mirror = Mirror::default();
    mirror.replace(vec![item("a", 5)], at(5));
    assert!(mirror.update(vec![item("a", 4)], at(4)).items.is_empty());
    assert!(mirror.replace(vec![item("a", 3)], at(4)).items.is_empty());
    assert_eq!(mirror.position(), at(5));
    assert_eq!(mirror.update(vec![item("a", 6)], at(6)).items, [item("a", 6)]);
}

#[test]
fn a_listing_tells_what_was_deleted_while_nobody_looked() {
    let mut mirror = Mirror::default();
    mirror.replace(vec![item("a", 1), item("b", 2)], at(2));
    assert_eq!(mirror.replace(vec![item("b", 2)], at(9)).items, [deleted("a", 9)]);
}

#[test]
fn a_follower_gets_the_changes_or_everything() {
    let mut mirror = Mirror::default();
    mirror.replace(vec![item("a", 1), item("b", 2)], at(2));
    mirror.update(vec![item("a", 3), deleted("b", 4)], at(4));
    let changes = news(&mirror, 2);
    assert_eq!((changes.listing, changes.items), (None, vec![item("a", 3), deleted("b", 4)]));
    let all = news(&mirror, 1);
    assert_eq!((all.listing, all.items, all.at), (Some(at(4)), vec![item("a", 3)], at(4)));
    assert!(mirror.has_news(at(3)) && !mirror.has_news(at(4)));
}

#[test]
fn a_listing_after_forgotten_history_tells_followers_only_what_differs() {
    let mut mirror = Mirror::default();
    mirror.replace(vec![item("a", 1), item("b", 2), item("c", 3)], at(3));
    mirror.replace(vec![item("a", 1), item("b", 7)], at(9));
    let told = news(&mirror, 3);
    assert_eq!((told.listing, told.at), (None, at(9)));
    assert_eq!(told.items, [item("b", 7), deleted("c", 9)]);
    assert!(news(&mirror, 2).listing.is_some());
}

#[test]
fn a_follower_takes_over_from_any_other_member() {
    let (mut reader, mut follower) = (Mirror::default(), Mirror::default());
    reader.replace(vec![item("a", 1)], at(1));
    let told = news(&reader, 0);
    follower.replace(told.items, told.at);
    assert_eq!(follower.position(), at(1));
    assert_eq!(follower.update(vec![item("a", 2)], at(2)).items, [item("a", 2)]);
}

#[test]
fn a_reader_asks_the_store_and_others_while_it_is_turned_away() {
    let (mut origins, now) = (Origins::default(), Instant::now());
    assert_eq!(origins.choose(now, ReadRole::Reader, &[A, B]), Ok(Origin::Store));
    origins.record_failure((Origin::Store, Failure::Silent), now, ReadRole::Reader, 1.0);
    assert_eq!(origins.choose(now, ReadRole::Reader, &[A, B]), Ok(Origin::Member(A)));
    let later = now + Duration::from_millis(1500);
    assert_eq!(origins.choose(later, ReadRole::Reader, &[A, B]), Ok(Origin::Store));
}

#[test]
fn a_deputy_asks_the_store_as_soon_as_no_reader_helps() {
    let (mut origins, now) = (Origins::default(), Instant::now());
    assert_eq!(origins.choose(now, ReadRole::Deputy, &[A]), Ok(Origin::Member(A)));
    origins.record_failure((Origin::Member(A), Failure::Stale), now, ReadRole::Deputy, 1.0);
    assert_eq!(origins.choose(now, ReadRole::Deputy, &[A]), Ok(Origin::Store));
    origins.record_failure((Origin::Store, Failure::Silent), now, ReadRole::Deputy, 1.0);
    let later = now + Duration::from_millis(250);
    assert_eq!(origins.choose(later, ReadRole::Deputy, &[A]), Ok(Origin::Store));
}

#[test]
fn the_others_ask_the_store_only_if_no_reader_helps() {
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
fn a_follower_reaches_the_reader_that_is_served_within_its_bound() {
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
fn a_follower_comes_back_soon_to_readers_that_were_stale() {
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
fn an_outage_of_the_store_does_not_make_every_member_call_it() {
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
