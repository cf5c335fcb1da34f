//! Convergence of mirrors when the store is restored from copies and members are in different eras.

use std::collections::BTreeMap;
use std::time::Instant;

use bergamot_base::{Name, Position};
use bergamot_feed::Mirror;
use bergamot_wire::{Item, News, NewsQuery, Value};
use proptest::prelude::*;

/// About two items.
const PAGE: usize = 14;

/// The content of a store or mirror, by key.
type Content = BTreeMap<Name, Value>;

fn at(era: u64, revision: u64) -> Position {
    Position { era, revision }
}

fn item(key: u8, content: u8, position: Position) -> Item {
    let (key, value) = (Name::from(format!("k{key}")), Value::Inline(vec![content; 4]));
    Item { key, value, position, version: None }
}

fn deleted(key: u8, position: Position) -> Item {
    Item { value: Value::Deleted, ..item(key, 0, position) }
}

fn query(mirror: &Mirror, after: Position) -> News {
    let query = NewsQuery { after, ..NewsQuery::default() };
    mirror.news(&query, usize::MAX, Instant::now())
}

#[test]
fn a_listing_of_a_later_era_replaces_the_known_records() {
    let mut mirror = Mirror::default();
    let before = vec![item(1, 1, at(1, 40)), item(2, 2, at(1, 60)), item(3, 3, at(1, 61))];
    mirror.replace(before, at(1, 61));
    let copy = vec![item(1, 1, at(2, 40)), item(2, 1, at(2, 41))];
    let change = mirror.replace(copy, at(2, 41));
    assert_eq!(change.items, [item(2, 1, at(2, 41)), deleted(3, at(2, 41))]);
    assert_eq!((change.restored, mirror.position()), (Some(at(1, 61)), at(2, 41)));
    // Revisions of the new era are lower than those already known.
    let change = mirror.update(vec![item(1, 9, at(2, 42))], at(2, 42));
    assert_eq!((change.items, change.restored), (vec![item(1, 9, at(2, 42))], None));
}

#[test]
fn a_listing_of_an_earlier_era_is_ignored() {
    let mut mirror = Mirror::default();
    mirror.replace(vec![item(1, 1, at(2, 5))], at(2, 5));
    assert_eq!(mirror.replace(vec![item(1, 7, at(1, 90))], at(1, 90)).items, []);
    assert_eq!(mirror.position(), at(2, 5));
}

/// Records that a restore left unchanged are not sent again, since each reader serves a third of
/// the fleet.
#[test]
fn a_follower_receives_the_records_changed_by_a_restore() {
    let mut reader = Mirror::default();
    reader.replace(vec![item(1, 1, at(1, 40)), item(2, 2, at(1, 60))], at(1, 60));
    reader.replace(vec![item(1, 1, at(2, 40)), item(2, 1, at(2, 41))], at(2, 41));
    let reply = query(&reader, at(1, 60));
    assert_eq!(
        (reply.listing, reply.at, reply.items),
        (None, at(2, 41), vec![item(2, 1, at(2, 41))])
    );
}

/// The follower knows a searcher that the reader never saw and that the copy lacks.
#[test]
fn a_follower_ahead_of_the_reader_before_a_restore_receives_a_full_listing() {
    let mut reader = Mirror::default();
    reader.replace(vec![item(1, 1, at(1, 40))], at(1, 50));
    reader.replace(vec![item(1, 1, at(2, 40))], at(2, 40));
    let reply = query(&reader, at(1, 60));
    assert_eq!((reply.listing, reply.at), (Some(at(2, 40)), at(2, 40)));
    let reply = query(&reader, at(1, 50));
    assert_eq!((reply.listing, reply.at, reply.items), (None, at(2, 40), vec![]));
}

fn numbered(version: u64, position: Position) -> Item {
    Item { version: Some(version), ..item(0, version as u8, position) }
}

/// The copy lacks the operator's latest version, and the operator continues its numbering, whatever
/// revisions the restored store assigns.
#[test]
fn writer_assigned_versions_do_not_decrease_after_a_restore() {
    let mut mirror = Mirror::default();
    mirror.replace(vec![numbered(60, at(1, 70))], at(1, 70));
    assert_eq!(mirror.replace(vec![numbered(48, at(2, 41))], at(2, 63)).items, []);
    assert_eq!(mirror.update(vec![numbered(56, at(2, 64))], at(2, 64)).items, []);
    assert_eq!(query(&mirror, Position::default()).items, [numbered(60, at(1, 70))]);
    // A copy from before the first version.
    assert_eq!(mirror.replace(vec![], at(3, 5)).items, []);
    let next = numbered(64, at(3, 6));
    assert_eq!(mirror.update(vec![next.clone()], at(3, 6)).items, [next]);
    let deletion = deleted(0, at(3, 7));
    assert_eq!(mirror.update(vec![deletion.clone()], at(3, 7)).items, [deletion]);
}

/// A record received outside of the regular updates is applied only if it is newer.
#[test]
fn a_newer_version_is_adopted_from_another_member() {
    let mut mirror = Mirror::default();
    mirror.replace(vec![numbered(48, at(2, 41))], at(2, 41));
    let later = numbered(60, at(1, 70));
    assert_eq!(mirror.insert_if_newer(later.clone()).items, [later]);
    assert_eq!(mirror.insert_if_newer(numbered(56, at(2, 44))).items, []);
    assert_eq!(mirror.position(), at(2, 41));
}

#[test]
fn a_member_of_an_earlier_era_has_no_updates_for_a_later_one() {
    let mut behind = Mirror::default();
    behind.replace(vec![item(1, 1, at(1, 90))], at(1, 90));
    assert!(!behind.has_news(at(2, 3)));
    let reply = query(&behind, at(2, 3));
    assert_eq!((reply.listing, reply.at, reply.items), (None, at(1, 90), vec![]));
}

/// A store that is written to and restored from copies.
#[derive(Default)]
struct Store {
    content: Content,
    at: Position,
    events: Vec<Item>,
    copies: Vec<(Content, u64, Vec<Item>)>,
}

impl Store {
    fn write(&mut self, key: u8, content: Option<u8>) {
        self.at.revision += 1;
        let event =
            content.map_or_else(|| deleted(key, self.at), |content| item(key, content, self.at));
        match &event.value {
            Value::Deleted => self.content.remove(&event.key),
            value => self.content.insert(Name::clone(&event.key), value.clone()),
        };
        self.events.push(event);
    }

    fn copy(&mut self) {
        self.copies.push((self.content.clone(), self.at.revision, self.events.clone()));
    }

    fn restore(&mut self, which: usize) {
        if self.copies.is_empty() {
            return;
        }
        let index = which % self.copies.len();
        let (content, revision, events) = self.copies[index].clone();
        self.copies.truncate(index + 1);
        self.content = content;
        self.at = at(self.at.era + 1, revision);
        self.events = events;
    }

    /// Brings a mirror up to date by a watch or a listing, whichever the feed would use.
    fn bring_up_to_date(&self, mirror: &mut Mirror) {
        let known = mirror.position();
        if known.is_start() || known.era != self.at.era || known > self.at {
            self.list(mirror);
        } else {
            let newer = self.events.iter().filter(|event| event.position > known);
            mirror.update(newer.cloned().collect(), self.at);
        }
    }

    /// Sends a mirror a full listing, with the revision of the last change of each record.
    fn list(&self, mirror: &mut Mirror) {
        let last = |key: &Name| {
            let written = self.events.iter().rfind(|event| event.key == *key);
            at(self.at.era, written.expect("each record was written by an event").position.revision)
        };
        let item = |(key, value): (&Name, &Value)| Item {
            key: Name::clone(key),
            value: value.clone(),
            position: last(key),
            version: None,
        };
        mirror.replace(self.content.iter().map(item).collect(), self.at);
    }
}

/// A member that queries others page by page, as the feed does.
#[derive(Default)]
struct Follower {
    mirror: Mirror,
    listing: Option<Listing>,
}

#[derive(Debug)]
struct Listing {
    since: Position,
    reached: Position,
    known: Position,
    by: Option<usize>,
    own_order: bool,
    items: Vec<Item>,
}

impl Follower {
    /// Requests one page, and returns whether there are more.
    fn query_page(&mut self, by: usize, reader: &Mirror) -> bool {
        if self.listing.as_ref().is_some_and(|begun| begun.own_order && begun.by != Some(by)) {
            self.listing = None;
        }
        let query = match &self.listing {
            Some(Listing { since, reached, known, .. }) => NewsQuery {
                after: *reached,
                listing: Some(*since),
                known: *known,
                ..NewsQuery::default()
            },
            None => NewsQuery { after: self.mirror.position(), ..NewsQuery::default() },
        };
        let News { items, listing, at, known, more, listed, own_order, .. } =
            reader.news(&query, PAGE, Instant::now());
        if at.is_start() || listing.unwrap_or(at).era < self.mirror.position().era {
            return false;
        }
        let Some(since) = listing else {
            self.listing = None;
            self.mirror.update_from_member(items, at, listed);
            return more;
        };
        let begun = self.listing.as_ref().filter(|begun| begun.since == since);
        let known = begun.map_or(known, |begun| begun.known.max(known));
        if at < known && !more {
            return false;
        }
        let begun = self.listing.take().filter(|begun| begun.since == since);
        if begun.as_ref().is_some_and(|begun| own_order && begun.by != Some(by)) {
            return true;
        }
        let by = begun.as_ref().map_or(Some(by), |begun| begun.by.filter(|one| *one == by));
        let items = begun.map(|begun| begun.items).into_iter().flatten().chain(items).collect();
        if more {
            self.listing = Some(Listing { since, reached: at, known, by, own_order, items });
        } else {
            self.mirror.replace(items, at);
        }
        more
    }
}

fn content(mirror: &Mirror) -> Content {
    let query = NewsQuery { listing: Some(Position::default()), ..NewsQuery::default() };
    let news = mirror.news(&query, usize::MAX, Instant::now());
    let held = news.items.into_iter().filter(|item| item.value != Value::Deleted);
    held.map(|item| (item.key, item.value)).collect()
}

#[derive(Clone, Debug)]
enum Event {
    Write(u8, Option<u8>),
    Copy,
    Restore(usize),
    /// A reader lists the store, which has lost its history.
    List(usize),
    /// A reader queries the store.
    Read(usize),
    /// A follower requests a page from a reader.
    Ask(usize, usize),
    /// A reader queries another reader, because the store rejects its calls.
    AskReader(usize, usize),
}

const READERS: usize = 3;
const FOLLOWERS: usize = 3;

fn event() -> impl Strategy<Value = Event> {
    let reader = 0..READERS;
    prop_oneof![
        6 => (0_u8..8, prop::option::weighted(0.8, 0_u8..3)).prop_map(|(key, content)| Event::Write(key, content)),
        1 => Just(Event::Copy),
        1 => (0_usize..4).prop_map(Event::Restore),
        1 => (0..READERS).prop_map(Event::List),
        4 => reader.clone().prop_map(Event::Read),
        8 => (0..FOLLOWERS, reader.clone()).prop_map(|(follower, reader)| Event::Ask(follower, reader)),
        1 => (reader.clone(), reader).prop_map(|(one, other)| Event::AskReader(one, other)),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::default() })]

    /// Members that query any others, in any era, end up with the content of the store.
    #[test]
    fn all_members_converge_to_the_content_of_the_store(
        events in prop::collection::vec(event(), 0..120),
    ) {
        let mut store = Store { at: at(1, 1), ..Store::default() };
        let mut readers: Vec<Follower> = (0..READERS).map(|_| Follower::default()).collect();
        let mut followers: Vec<Follower> = (0..FOLLOWERS).map(|_| Follower::default()).collect();
        for event in events {
            match event {
                Event::Write(key, content) => store.write(key, content),
                Event::Copy => store.copy(),
                Event::Restore(which) => store.restore(which),
                Event::List(reader) => store.list(&mut readers[reader].mirror),
                Event::Read(reader) => store.bring_up_to_date(&mut readers[reader].mirror),
                Event::Ask(follower, reader) => {
                    followers[follower].query_page(reader, &readers[reader].mirror);
                }
                Event::AskReader(one, other) => {
                    let asked = readers[other].mirror.clone();
                    readers[one].query_page(other, &asked);
                }
            }
        }
        for (index, reader) in readers.iter_mut().enumerate() {
            store.bring_up_to_date(&mut reader.mirror);
            prop_assert_eq!(content(&reader.mirror), store.content.clone(), "reader {}", index);
        }
        for (index, follower) in followers.iter_mut().enumerate() {
            let reader = &readers[index % READERS].mirror;
            while follower.query_page(index % READERS, reader) {}
            prop_assert_eq!(content(&follower.mirror), store.content.clone(), "follower {}", index);
        }
    }
}
