//! Paged updates: whatever changes between two pages, the follower ends up with the reader's
//! content.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use bergamot_base::{Name, Position};
use bergamot_feed::Mirror;
use bergamot_wire::{Item, NewsQuery, Value};
use proptest::prelude::*;

/// About two items.
const PAGE: usize = 10;

fn at(revision: u64) -> Position {
    revision.into()
}

fn item(key: u8, revision: u64, deleted: bool) -> Item {
    let value = if deleted { Value::Deleted } else { Value::Inline(vec![key; 3]) };
    Item { key: Name::from(format!("k{key}")), value, position: at(revision), version: None }
}

/// Returns the content of a mirror, from its own listing.
fn content(mirror: &Mirror) -> BTreeMap<Name, Position> {
    let query = NewsQuery { listing: Some(Position::default()), ..NewsQuery::default() };
    let news = mirror.news(&query, usize::MAX, Instant::now());
    let held = news.items.into_iter().filter(|item| item.value != Value::Deleted);
    held.map(|item| (item.key, item.position)).collect()
}

/// A follower that queries page by page, as the feed does.
#[derive(Default)]
struct Follower {
    mirror: Mirror,
    listing: Option<(Position, Position, Vec<Item>)>,
}

impl Follower {
    /// Requests one page, and returns whether there are more.
    fn query_page(&mut self, reader: &Mirror) -> bool {
        let listing = self.listing.as_ref().map(|(since, _, _)| *since);
        let reached = self.listing.as_ref().map(|(_, reached, _)| *reached);
        let query = NewsQuery {
            after: reached.unwrap_or(self.mirror.position()),
            listing,
            ..NewsQuery::default()
        };
        let news = reader.news(&query, PAGE, Instant::now());
        let Some(since) = news.listing else {
            self.listing = None;
            self.mirror.update(news.items, news.at);
            return news.more;
        };
        let begun = self.listing.take().filter(|(begun, _, _)| *begun == since);
        let mut items = begun.map(|(_, _, items)| items).unwrap_or_default();
        items.extend(news.items);
        if news.more {
            self.listing = Some((since, news.at, items));
        } else {
            self.mirror.replace(items, news.at);
        }
        news.more
    }
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn a_follower_converges_to_the_content_of_the_reader(
        first in prop::collection::vec((0_u8..12, any::<bool>()), 1..30),
        changes in prop::collection::vec((0_u8..12, any::<bool>(), 0_u8..3), 0..60),
        begins_known in any::<bool>(),
    ) {
        let mut reader = Mirror::default();
        let mut revision = 0;
        let mut listed = BTreeMap::new();
        for (key, deleted) in first {
            revision += 1;
            listed.insert(key, item(key, revision, deleted));
        }
        let listed = listed.into_values().filter(|item| item.value != Value::Deleted);
        reader.replace(listed.collect(), at(revision));
        let mut follower = Follower::default();
        if begins_known {
            while follower.query_page(&reader) {}
        }
        for (key, deleted, pages) in changes {
            revision += 1;
            reader.update(vec![item(key, revision, deleted)], at(revision));
            for _ in 0..pages {
                follower.query_page(&reader);
            }
        }
        while follower.query_page(&reader) {}
        prop_assert_eq!(follower.mirror.position(), reader.position());
        prop_assert_eq!(content(&follower.mirror), content(&reader));
    }
}

#[test]
fn a_page_is_bounded_and_the_next_one_continues_after_it() {
    let mut reader = Mirror::default();
    reader.replace((1..=9).map(|key| item(key, u64::from(key), false)).collect(), at(9));
    let mut query = NewsQuery::default();
    let mut pages = 0;
    loop {
        let news = reader.news(&query, PAGE, Instant::now());
        assert!(news.items.len() <= 2, "{:?}", news.items);
        pages += 1;
        query = NewsQuery { after: news.at, listing: news.listing, ..query };
        if !news.more {
            break;
        }
    }
    assert_eq!((pages, query.after), (5, at(9)));
}

/// A member that is behind a listing sends none of it, since it may still hold records that were
/// deleted before the listing began.
#[test]
fn a_member_behind_a_listing_sends_none_of_its_records() {
    let mut behind = Mirror::default();
    behind.replace(vec![item(1, 5, false)], at(5));
    let query = NewsQuery { after: at(3), listing: Some(at(9)), ..NewsQuery::default() };
    let news = behind.news(&query, PAGE, Instant::now());
    assert_eq!((news.items, news.at, news.more), (vec![], at(5), false));
}

/// Returns the shortest time in which a mirror of some records answers with one page.
fn page_time(records: u64) -> Duration {
    let record = |revision: u64| Item {
        key: Name::from(format!("searchers/i-{revision:x}")),
        value: Value::Inline(vec![7; 300]),
        position: at(revision),
        version: None,
    };
    let mut reader = Mirror::default();
    reader.replace((1..=records).map(record).collect(), at(records));
    let run = |_| {
        let start = Instant::now();
        let news = reader.news(&NewsQuery::default(), 16 << 10, start);
        assert!(news.more && news.items.len() > 10);
        start.elapsed()
    };
    (0..50).map(run).min().expect("several runs")
}

/// A fleet that starts asks few members for everything. If each page cost as much as all records,
/// a listing would grow with the square of the searchers, for each member that starts.
#[test]
fn a_page_of_many_records_costs_no_more_than_one_of_few() {
    let (few, many) = (page_time(500), page_time(9100));
    assert!(many < few * 4, "{few:?} {many:?}");
}
