//! Draining is final, missing entries may return, and an outage of the store removes no searcher.

use std::time::{Duration, Instant};

use bergamot_registry::{Incarnation, Registry, State, Upstream};

fn incarnation(id: &str, start_time_ms: Option<u64>) -> Incarnation {
    Incarnation { id: id.into(), start_time_ms }
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

/// A searcher that publishes its start time.
fn started(id: &str, start_time_ms: u64, state: State) -> Upstream {
    Upstream { incarnation: incarnation(id, Some(start_time_ms)), ..upstream(id, state) }
}

fn usable(registry: &Registry) -> Vec<(String, bool)> {
    registry.usable("queue").map(|(up, missing)| (up.incarnation.to_string(), missing)).collect()
}

/// Longer than any grace period.
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
fn a_searcher_whose_entry_is_removed_is_missing_and_then_departs() {
    let (mut registry, now) = (Registry::default(), Instant::now());
    registry.publish(ready("a"), Instant::now());
    assert!(registry.remove_entry("a", now));
    assert_eq!(usable(&registry), [("a".to_owned(), true)]);
    assert_eq!(registry.expire(now + LONG, false).len(), 1);
    assert!(usable(&registry).is_empty());
}

/// Information that a searcher has left may be 1.5 s old, and the last request may reach it at most
/// 3 s after it left.
#[test]
fn without_an_outage_a_missing_searcher_is_gone_within_its_bound() {
    let (mut registry, now) = (Registry::default(), Instant::now());
    registry.publish(ready("a"), Instant::now());
    registry.remove_entry("a", now);
    assert_eq!(registry.expire(now + Duration::from_millis(1400), false).len(), 1);
}

#[test]
fn the_same_entry_read_again_changes_nothing() {
    let mut registry = Registry::default();
    assert!(registry.publish(ready("a"), Instant::now()));
    assert!(!registry.publish(ready("a"), Instant::now()));
}

#[test]
fn an_entry_that_returns_is_no_longer_missing() {
    let (mut registry, now) = (Registry::default(), Instant::now());
    registry.publish(ready("a"), Instant::now());
    registry.remove_entry("a", now);
    registry.publish(ready("a"), Instant::now());
    assert!(registry.expire(now + LONG, false).is_empty());
    assert_eq!(usable(&registry), [("a".to_owned(), false)]);
}

#[test]
fn no_searcher_departs_while_the_store_is_unavailable_or_just_after() {
    let (mut registry, now) = (Registry::default(), Instant::now());
    registry.publish(ready("a"), Instant::now());
    registry.remove_entry("a", now);
    assert!(registry.expire(now + LONG, true).is_empty());
    registry.store_recovered(now + LONG);
    assert!(registry.expire(now + LONG + Duration::from_secs(2), false).is_empty());
    assert_eq!(registry.expire(now + LONG * 2, false).len(), 1);
}

#[test]
fn an_ended_incarnation_does_not_return_from_a_stale_listing() {
    let mut registry = Registry::default();
    registry.publish(ready("a"), Instant::now());
    assert!(registry.end_incarnation(&incarnation("a", None)));
    registry.replace(vec![ready("a"), ready("b")], Instant::now());
    assert_eq!(usable(&registry), [("b".to_owned(), false)]);
}

#[test]
fn a_draining_searcher_whose_entry_is_removed_departs_at_once() {
    let (mut registry, now) = (Registry::default(), Instant::now());
    registry.publish(upstream("a", State::Draining), Instant::now());
    registry.remove_entry("a", now);
    assert!(!registry.contains(&incarnation("a", None)));
}

#[test]
fn a_later_incarnation_starts_without_earlier_state() {
    let (mut registry, now) = (Registry::default(), Instant::now());
    registry.publish(started("a", 5, State::Ready), now);
    registry.publish(started("a", 5, State::Draining), now);
    let warm_at = now + LONG;
    let restarted = Upstream { warm_at, ..started("a", 6, State::Ready) };
    assert!(registry.publish(restarted, now));
    assert_eq!(usable(&registry), [("a@6".to_owned(), false)]);
    assert!(registry.usable("queue").all(|(up, _)| up.warm_at == warm_at));
    assert!(!registry.takes_work(&incarnation("a", Some(5))));
    // The end of the former incarnation does not affect the later one.
    assert!(!registry.end_incarnation(&incarnation("a", Some(5))));
    assert_eq!(usable(&registry).len(), 1);
}

#[test]
fn a_searcher_that_ended_may_restart_but_the_same_incarnation_never_returns() {
    let (mut registry, now) = (Registry::default(), Instant::now());
    registry.publish(started("a", 5, State::Draining), now);
    assert!(registry.remove_entry("a", now));
    assert!(!registry.publish(started("a", 5, State::Ready), now));
    assert!(usable(&registry).is_empty());
    assert!(registry.publish(started("a", 6, State::Ready), now));
    assert_eq!(usable(&registry), [("a@6".to_owned(), false)]);
}

#[test]
fn a_searcher_is_listed_only_under_the_service_of_its_last_incarnation() {
    let (mut registry, now) = (Registry::default(), Instant::now());
    registry.publish(started("a", 5, State::Ready), now);
    let other = Upstream { service: "other".into(), ..started("a", 6, State::Ready) };
    registry.publish(other, now);
    assert!(usable(&registry).is_empty());
    assert_eq!(registry.usable("other").count(), 1);
}

/// The last write of a crashed incarnation arrives after the first one of the next incarnation,
/// which writes its entry again within 1.2 s.
#[test]
fn an_earlier_entry_is_not_adopted_while_the_later_incarnation_writes() {
    let (mut registry, now) = (Registry::default(), Instant::now());
    registry.publish(started("a", 6, State::Ready), now);
    let stale = Upstream { service: "other".into(), ..started("a", 5, State::Ready) };
    assert!(registry.publish(stale.clone(), now));
    // Until it writes again, it is not known whether the later incarnation is alive.
    assert_eq!(usable(&registry), [("a@6".to_owned(), true)]);
    assert_eq!(registry.usable("other").count(), 0);
    assert!(registry.publish(started("a", 6, State::Ready), now + Duration::from_millis(1200)));
    assert!(registry.expire(now + LONG, false).is_empty());
    assert_eq!(usable(&registry), [("a@6".to_owned(), false)]);
    assert_eq!(registry.usable("other").count(), 0);
}

/// The clock of the searcher was set back before it restarted.
#[test]
fn an_earlier_entry_that_persists_is_adopted() {
    let (mut registry, now) = (Registry::default(), Instant::now());
    registry.publish(started("a", 6, State::Ready), now);
    registry.publish(started("a", 5, State::Ready), now);
    // Reading the entry again does not restart its grace period.
    registry.publish(started("a", 5, State::Ready), now + Duration::from_secs(2));
    assert!(registry.expire(now + LONG, true).is_empty(), "the store is unavailable");
    let replaced = registry.expire(now + LONG, false);
    assert_eq!(replaced, [incarnation("a", Some(6))]);
    assert_eq!(usable(&registry), [("a@5".to_owned(), false)]);
}

#[test]
fn an_earlier_entry_is_adopted_even_after_the_later_incarnation_has_ended() {
    let (mut registry, now) = (Registry::default(), Instant::now());
    registry.publish(started("a", 6, State::Ready), now);
    assert!(registry.end_incarnation(&incarnation("a", Some(6))));
    assert!(!registry.publish(started("a", 5, State::Ready), now));
    assert!(usable(&registry).is_empty());
    assert!(registry.expire(now + LONG, false).is_empty());
    assert_eq!(usable(&registry), [("a@5".to_owned(), false)]);
}

#[test]
fn an_overwritten_entry_is_missing_until_its_searcher_writes_it_again() {
    let (mut registry, now) = (Registry::default(), Instant::now());
    registry.publish(started("a", 5, State::Ready), now);
    assert!(registry.overwrite_entry("a", now));
    assert_eq!(usable(&registry), [("a@5".to_owned(), true)]);
    // Two heartbeats and the propagation delay.
    assert!(registry.expire(now + Duration::from_millis(2500), false).is_empty());
    assert!(registry.publish(started("a", 5, State::Ready), now));
    assert_eq!(usable(&registry), [("a@5".to_owned(), false)]);
    registry.overwrite_entry("a", now);
    assert_eq!(registry.expire(now + LONG, false).len(), 1);
}

#[test]
fn a_draining_searcher_whose_entry_is_overwritten_never_returns() {
    let (mut registry, now) = (Registry::default(), Instant::now());
    registry.publish(started("a", 5, State::Draining), now);
    registry.overwrite_entry("a", now);
    assert_eq!(registry.expire(now + LONG, false).len(), 1);
    registry.publish(started("a", 5, State::Ready), now);
    assert!(usable(&registry).is_empty());
}

/// Where searchers publish start times, an entry without one was written by something else.
#[test]
fn entries_without_a_start_time_are_rejected_where_most_searchers_publish_one() {
    let (mut registry, now) = (Registry::default(), Instant::now());
    registry.publish(ready("a"), now);
    assert_eq!(usable(&registry), [("a".to_owned(), false)]);
    registry.publish(started("b", 5, State::Ready), now);
    registry.publish(started("c", 5, State::Ready), now);
    let (b, c) = (("b@5".to_owned(), false), ("c@5".to_owned(), false));
    assert_eq!(usable(&registry), [("a".to_owned(), true), b.clone(), c.clone()]);
    assert!(!registry.publish(ready("d"), now));
    assert!(registry.publish(started("a", 6, State::Ready), now));
    assert_eq!(usable(&registry), [("a@6".to_owned(), false), b, c]);
}

/// Where they don't, a single entry with a start time, whoever wrote it, invalidates no other.
#[test]
fn a_single_entry_with_a_start_time_does_not_invalidate_the_others() {
    let (mut registry, now) = (Registry::default(), Instant::now());
    for id in ["a", "b", "c"] {
        registry.publish(ready(id), now);
    }
    registry.publish(started("d", 5, State::Ready), now);
    assert!(registry.publish(ready("e"), now));
    assert!(registry.expire(now + LONG, false).is_empty());
    assert!(usable(&registry).iter().all(|(_, missing)| !missing));
    assert_eq!(usable(&registry).len(), 5);
}

/// How long the entry of a dead searcher remains in a store that was restored from a copy.
const EXPIRY: Duration = Duration::from_millis(4600);

/// The copy lists searchers that were removed long before the restore and just before it.
#[test]
fn a_departed_searcher_in_a_restored_store_is_adopted_only_after_the_expiry() {
    let (mut registry, now) = (Registry::default(), Instant::now());
    for id in ["long", "just", "stays"] {
        registry.publish(ready(id), now);
    }
    registry.remove_entry("long", now);
    registry.expire(now + LONG, false);
    let restored = now + LONG * 2;
    registry.remove_entry("just", restored);
    registry.store_restored(restored, EXPIRY);
    for id in ["long", "just", "stays"] {
        registry.publish(ready(id), restored);
    }
    assert_eq!(usable(&registry), [("stays".to_owned(), false)]);
    // The entry of a dead searcher expires.
    registry.remove_entry("just", restored + LONG);
    registry.expire(restored + EXPIRY, false);
    assert_eq!(usable(&registry), [("long".to_owned(), false), ("stays".to_owned(), false)]);
}

/// A changed entry was written by a live searcher, and a later incarnation has not departed.
#[test]
fn a_searcher_that_writes_after_a_restore_is_used_at_once() {
    let (mut registry, now) = (Registry::default(), Instant::now());
    for id in ["a", "b"] {
        registry.publish(started(id, 5, State::Ready), now);
        registry.remove_entry(id, now);
    }
    registry.store_restored(now, EXPIRY);
    registry.publish(started("a", 5, State::Ready), now);
    registry.publish(started("b", 5, State::Ready), now);
    assert!(usable(&registry).is_empty());
    registry.publish(Upstream { slots: 3, ..started("a", 5, State::Ready) }, now);
    registry.publish(started("b", 9, State::Ready), now);
    assert_eq!(usable(&registry), [("a@5".to_owned(), false), ("b@9".to_owned(), false)]);
}

/// What is derived from the registry costs what has changed only if every change is reported, and
/// nothing else.
#[test]
fn only_searchers_that_were_added_changed_or_removed_are_reported_as_changed() {
    let (mut registry, now) = (Registry::default(), Instant::now());
    let changed = |registry: &mut Registry| -> Vec<String> {
        registry.take_changed().iter().map(ToString::to_string).collect()
    };
    registry.publish(started("a", 1, State::Ready), now);
    registry.publish(started("b", 1, State::Ready), now);
    assert_eq!(changed(&mut registry), ["a@1", "b@1"]);
    // A heartbeat and a missing entry leave the searcher as it is.
    registry.publish(started("a", 1, State::Ready), now);
    registry.remove_entry("b", now);
    assert_eq!(changed(&mut registry), Vec::<String>::new());
    registry.publish(started("a", 2, State::Ready), now);
    assert_eq!(changed(&mut registry), ["a@1", "a@2"]);
    registry.publish(started("a", 2, State::Draining), now);
    assert_eq!(changed(&mut registry), ["a@2"]);
    registry.expire(now + LONG, false);
    assert_eq!(changed(&mut registry), ["b@1"]);
    assert!(registry.expire(now + LONG, false).is_empty());
    assert_eq!(changed(&mut registry), Vec::<String>::new());
}

/// What is looked up once and used until the revision changes must be what a new lookup returns.
#[test]
fn the_revision_of_a_service_changes_with_its_usable_searchers() {
    let (mut registry, now) = (Registry::default(), Instant::now());
    let mut last = registry.service_revision("queue");
    let mut changed = |registry: &Registry| {
        let revision = registry.service_revision("queue");
        std::mem::replace(&mut last, revision) != revision
    };
    registry.publish(started("a", 1, State::Ready), now);
    assert!(changed(&registry));
    registry.publish(Upstream { service: "other".into(), ..ready("x") }, now);
    assert!(!changed(&registry));
    registry.remove_entry("a", now);
    assert!(changed(&registry), "missing");
    registry.publish(started("a", 1, State::Ready), now);
    assert!(changed(&registry), "there again");
    let warm_at = now + LONG;
    registry.publish(Upstream { warm_at, ..started("a", 1, State::Ready) }, now);
    assert!(changed(&registry), "cold");
    registry.publish(started("a", 2, State::Ready), now);
    assert!(changed(&registry), "restarted");
    registry.publish(started("a", 2, State::Draining), now);
    assert!(changed(&registry), "draining");
    registry.remove_entry("a", now);
    assert!(changed(&registry), "gone");
    registry.publish(started("b", 1, State::Ready), now);
    assert!(changed(&registry), "the first of a service that had none left");
}
