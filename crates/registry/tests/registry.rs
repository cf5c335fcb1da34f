//! Draining is final, what disappears may return, and an outage makes nobody gone.

use std::time::{Duration, Instant};

use bergamot_registry::{Incarnation, Registry, State, Upstream};

fn incarnation(id: &str, born: Option<u64>) -> Incarnation {
    Incarnation { id: id.into(), born }
}

fn upstream(id: &str, state: State) -> Upstream {
    Upstream {
        incarnation: incarnation(id, None),
        service: "queue".into(),
        address: ([127, 0, 0, 1], 9000).into(),
        zone: "a".into(),
        slots: 2,
        state,
        warm_at: Instant::now(),
    }
}

fn ready(id: &str) -> Upstream {
    upstream(id, State::Ready)
}

/// A searcher that says when it started.
fn born(id: &str, born: u64, state: State) -> Upstream {
    Upstream { incarnation: incarnation(id, Some(born)), ..upstream(id, state) }
}

fn usable(registry: &Registry) -> Vec<(String, bool)> {
    registry.usable("queue").map(|(up, missing)| (up.incarnation.to_string(), missing)).collect()
}

const LONG: Duration = Duration::from_secs(3);

#[test]
fn draining_is_final_for_an_incarnation() {
    let mut registry = Registry::default();
    registry.publish(ready("a"), Instant::now());
    registry.publish(upstream("a", State::Draining), Instant::now());
    registry.publish(ready("a"), Instant::now());
    assert!(usable(&registry).is_empty());
    assert!(!registry.takes_work(&incarnation("a", None)));
}

#[test]
fn an_entry_that_disappears_is_doubted_and_then_gone() {
    let (mut registry, now) = (Registry::default(), Instant::now());
    registry.publish(ready("a"), Instant::now());
    assert!(registry.disappear("a", now));
    assert_eq!(usable(&registry), [("a".to_owned(), true)]);
    assert_eq!(registry.expire(now + LONG, false).len(), 1);
    assert!(usable(&registry).is_empty());
}

/// The news of a searcher that leaves may be 1.5 s old, and its last request may reach it 3 s
/// after it left.
#[test]
fn without_an_outage_a_missing_searcher_is_gone_within_its_bound() {
    let (mut registry, now) = (Registry::default(), Instant::now());
    registry.publish(ready("a"), Instant::now());
    registry.disappear("a", now);
    assert_eq!(registry.expire(now + Duration::from_millis(1400), false).len(), 1);
}

#[test]
fn the_same_entry_read_again_changes_nothing() {
    let mut registry = Registry::default();
    assert!(registry.publish(ready("a"), Instant::now()));
    assert!(!registry.publish(ready("a"), Instant::now()));
}

#[test]
fn an_entry_that_returns_is_believed_again() {
    let (mut registry, now) = (Registry::default(), Instant::now());
    registry.publish(ready("a"), Instant::now());
    registry.disappear("a", now);
    registry.publish(ready("a"), Instant::now());
    assert!(registry.expire(now + LONG, false).is_empty());
    assert_eq!(usable(&registry), [("a".to_owned(), false)]);
}

#[test]
fn nobody_is_gone_while_the_store_is_away_nor_at_once_when_it_is_back() {
    let (mut registry, now) = (Registry::default(), Instant::now());
    registry.publish(ready("a"), Instant::now());
    registry.disappear("a", now);
    assert!(registry.expire(now + LONG, true).is_empty());
    registry.regained(now + LONG);
    assert!(registry.expire(now + LONG + Duration::from_secs(2), false).is_empty());
    assert_eq!(registry.expire(now + LONG * 2, false).len(), 1);
}

#[test]
fn an_ended_incarnation_does_not_return_from_a_stale_listing() {
    let mut registry = Registry::default();
    registry.publish(ready("a"), Instant::now());
    assert!(registry.end(&incarnation("a", None)));
    registry.replace(vec![ready("a"), ready("b")], Instant::now());
    assert_eq!(usable(&registry), [("b".to_owned(), false)]);
}

#[test]
fn a_draining_entry_that_disappears_is_gone_at_once() {
    let (mut registry, now) = (Registry::default(), Instant::now());
    registry.publish(upstream("a", State::Draining), Instant::now());
    registry.disappear("a", now);
    assert!(!registry.contains(&incarnation("a", None)));
}

#[test]
fn a_later_start_begins_with_nothing_known() {
    let (mut registry, now) = (Registry::default(), Instant::now());
    registry.publish(born("a", 5, State::Ready), now);
    registry.publish(born("a", 5, State::Draining), now);
    let slow_until = now + LONG;
    let reborn = Upstream { warm_at: slow_until, ..born("a", 6, State::Ready) };
    assert!(registry.publish(reborn, now));
    assert_eq!(usable(&registry), [("a@6".to_owned(), false)]);
    assert!(registry.usable("queue").all(|(up, _)| up.warm_at == slow_until));
    assert!(!registry.takes_work(&incarnation("a", Some(5))));
    // The end of the former start is none of the later one.
    assert!(!registry.end(&incarnation("a", Some(5))));
    assert_eq!(usable(&registry).len(), 1);
}

#[test]
fn a_searcher_that_ended_may_start_again_and_not_return() {
    let (mut registry, now) = (Registry::default(), Instant::now());
    registry.publish(born("a", 5, State::Draining), now);
    assert!(registry.disappear("a", now));
    assert!(!registry.publish(born("a", 5, State::Ready), now));
    assert!(usable(&registry).is_empty());
    assert!(registry.publish(born("a", 6, State::Ready), now));
    assert_eq!(usable(&registry), [("a@6".to_owned(), false)]);
}

#[test]
fn a_searcher_is_listed_under_the_service_of_its_last_start_alone() {
    let (mut registry, now) = (Registry::default(), Instant::now());
    registry.publish(born("a", 5, State::Ready), now);
    let other = Upstream { service: "other".into(), ..born("a", 6, State::Ready) };
    registry.publish(other, now);
    assert!(usable(&registry).is_empty());
    assert_eq!(registry.usable("other").count(), 1);
}

/// The last write of a start that has crashed arrives after the first of the next one, which
/// writes its entry again within 1.2 s.
#[test]
fn an_entry_of_an_earlier_start_changes_nothing_while_the_later_one_writes() {
    let (mut registry, now) = (Registry::default(), Instant::now());
    registry.publish(born("a", 6, State::Ready), now);
    let left_over = Upstream { service: "other".into(), ..born("a", 5, State::Ready) };
    assert!(registry.publish(left_over.clone(), now));
    // Whether the later start lives is not known until then.
    assert_eq!(usable(&registry), [("a@6".to_owned(), true)]);
    assert_eq!(registry.usable("other").count(), 0);
    assert!(registry.publish(born("a", 6, State::Ready), now + Duration::from_millis(1200)));
    assert!(registry.expire(now + LONG, false).is_empty());
    assert_eq!(usable(&registry), [("a@6".to_owned(), false)]);
    assert_eq!(registry.usable("other").count(), 0);
}

/// The clock of the searcher was set back before it started again.
#[test]
fn an_entry_of_an_earlier_start_that_stands_is_taken_in() {
    let (mut registry, now) = (Registry::default(), Instant::now());
    registry.publish(born("a", 6, State::Ready), now);
    registry.publish(born("a", 5, State::Ready), now);
    // Read again, it is not younger.
    registry.publish(born("a", 5, State::Ready), now + Duration::from_secs(2));
    assert!(registry.expire(now + LONG, true).is_empty(), "the store is away");
    let gone = registry.expire(now + LONG, false);
    assert_eq!(gone, [incarnation("a", Some(6))]);
    assert_eq!(usable(&registry), [("a@5".to_owned(), false)]);
}

#[test]
fn an_earlier_start_is_taken_in_also_after_the_later_one_has_ended() {
    let (mut registry, now) = (Registry::default(), Instant::now());
    registry.publish(born("a", 6, State::Ready), now);
    assert!(registry.end(&incarnation("a", Some(6))));
    assert!(!registry.publish(born("a", 5, State::Ready), now));
    assert!(usable(&registry).is_empty());
    assert!(registry.expire(now + LONG, false).is_empty());
    assert_eq!(usable(&registry), [("a@5".to_owned(), false)]);
}

#[test]
fn an_overwritten_entry_is_doubted_until_its_searcher_has_written_it_again() {
    let (mut registry, now) = (Registry::default(), Instant::now());
    registry.publish(born("a", 5, State::Ready), now);
    assert!(registry.overwrite("a", now));
    assert_eq!(usable(&registry), [("a@5".to_owned(), true)]);
    // Two heartbeats, and the way of the news.
    assert!(registry.expire(now + Duration::from_millis(2500), false).is_empty());
    assert!(registry.publish(born("a", 5, State::Ready), now));
    assert_eq!(usable(&registry), [("a@5".to_owned(), false)]);
    registry.overwrite("a", now);
    assert_eq!(registry.expire(now + LONG, false).len(), 1);
}

#[test]
fn a_draining_searcher_whose_entry_is_overwritten_does_not_return() {
    let (mut registry, now) = (Registry::default(), Instant::now());
    registry.publish(born("a", 5, State::Draining), now);
    registry.overwrite("a", now);
    assert_eq!(registry.expire(now + LONG, false).len(), 1);
    registry.publish(born("a", 5, State::Ready), now);
    assert!(usable(&registry).is_empty());
}

/// Where searchers say when they started, an entry that does not is of another writer.
#[test]
fn entries_without_a_start_count_only_where_searchers_do_not_say_it() {
    let (mut registry, now) = (Registry::default(), Instant::now());
    registry.publish(ready("a"), now);
    assert_eq!(usable(&registry), [("a".to_owned(), false)]);
    registry.publish(born("b", 5, State::Ready), now);
    registry.publish(born("c", 5, State::Ready), now);
    let (b, c) = (("b@5".to_owned(), false), ("c@5".to_owned(), false));
    assert_eq!(usable(&registry), [("a".to_owned(), true), b.clone(), c.clone()]);
    assert!(!registry.publish(ready("d"), now));
    assert!(registry.publish(born("a", 6, State::Ready), now));
    assert_eq!(usable(&registry), [("a@6".to_owned(), false), b, c]);
}

/// Where they don't, one entry that does, whoever wrote it, puts no other in doubt.
#[test]
fn one_entry_with_a_start_costs_no_searcher_that_says_none() {
    let (mut registry, now) = (Registry::default(), Instant::now());
    for id in ["a", "b", "c"] {
        registry.publish(ready(id), now);
    }
    registry.publish(born("d", 5, State::Ready), now);
    assert!(registry.publish(ready("e"), now));
    assert!(registry.expire(now + LONG, false).is_empty());
    assert!(usable(&registry).iter().all(|(_, missing)| !missing));
    assert_eq!(usable(&registry).len(), 5);
}

/// How long the entry of a dead searcher stands in a store that was restored from a copy.
const EXPIRY: Duration = Duration::from_millis(4600);

/// Its copy names a searcher that was removed, long before the restore or just before it.
#[test]
fn a_searcher_that_was_gone_counts_once_its_entry_has_stood() {
    let (mut registry, now) = (Registry::default(), Instant::now());
    for id in ["long", "just", "stays"] {
        registry.publish(ready(id), now);
    }
    registry.disappear("long", now);
    registry.expire(now + LONG, false);
    let restored = now + LONG * 2;
    registry.disappear("just", restored);
    registry.restored(restored, EXPIRY);
    for id in ["long", "just", "stays"] {
        registry.publish(ready(id), restored);
    }
    assert_eq!(usable(&registry), [("stays".to_owned(), false)]);
    // The entry of the dead one expires.
    registry.disappear("just", restored + LONG);
    registry.expire(restored + EXPIRY, false);
    assert_eq!(usable(&registry), [("long".to_owned(), false), ("stays".to_owned(), false)]);
}

/// A living searcher writes by itself, and its next start is another searcher.
#[test]
fn a_searcher_that_writes_after_a_restore_is_used_at_once() {
    let (mut registry, now) = (Registry::default(), Instant::now());
    for id in ["a", "b"] {
        registry.publish(born(id, 5, State::Ready), now);
        registry.disappear(id, now);
    }
    registry.restored(now, EXPIRY);
    registry.publish(born("a", 5, State::Ready), now);
    registry.publish(born("b", 5, State::Ready), now);
    assert!(usable(&registry).is_empty());
    registry.publish(Upstream { slots: 3, ..born("a", 5, State::Ready) }, now);
    registry.publish(born("b", 9, State::Ready), now);
    assert_eq!(usable(&registry), [("a@5".to_owned(), false), ("b@9".to_owned(), false)]);
}
