//! Draining is final, what disappears may return, and an outage makes nobody gone.

use std::time::{Duration, Instant};

use bergamot_registry::{Registry, State, Upstream};

fn upstream(id: &str, state: State) -> Upstream {
    Upstream {
        id: id.into(),
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

fn usable(registry: &Registry) -> Vec<(String, bool)> {
    registry.usable("queue").map(|(up, missing)| (up.id.to_string(), missing)).collect()
}

const LONG: Duration = Duration::from_secs(3);

#[test]
fn draining_is_final_for_an_incarnation() {
    let mut registry = Registry::default();
    registry.publish(ready("a"));
    registry.publish(upstream("a", State::Draining));
    registry.publish(ready("a"));
    assert!(usable(&registry).is_empty());
    assert!(!registry.takes_work("a"));
}

#[test]
fn an_entry_that_disappears_is_doubted_and_then_gone() {
    let (mut registry, now) = (Registry::default(), Instant::now());
    registry.publish(ready("a"));
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
    registry.publish(ready("a"));
    registry.disappear("a", now);
    assert_eq!(registry.expire(now + Duration::from_millis(1400), false).len(), 1);
}

#[test]
fn the_same_entry_read_again_changes_nothing() {
    let mut registry = Registry::default();
    assert!(registry.publish(ready("a")));
    assert!(!registry.publish(ready("a")));
}

#[test]
fn an_entry_that_returns_is_believed_again() {
    let (mut registry, now) = (Registry::default(), Instant::now());
    registry.publish(ready("a"));
    registry.disappear("a", now);
    registry.publish(ready("a"));
    assert!(registry.expire(now + LONG, false).is_empty());
    assert_eq!(usable(&registry), [("a".to_owned(), false)]);
}

#[test]
fn nobody_is_gone_while_the_store_is_away_nor_at_once_when_it_is_back() {
    let (mut registry, now) = (Registry::default(), Instant::now());
    registry.publish(ready("a"));
    registry.disappear("a", now);
    assert!(registry.expire(now + LONG, true).is_empty());
    registry.regained(now + LONG);
    assert!(registry.expire(now + LONG + Duration::from_secs(2), false).is_empty());
    assert_eq!(registry.expire(now + LONG * 2, false).len(), 1);
}

#[test]
fn an_ended_incarnation_does_not_return_from_a_stale_listing() {
    let mut registry = Registry::default();
    registry.publish(ready("a"));
    assert!(registry.end("a"));
    registry.replace(vec![ready("a"), ready("b")], Instant::now());
    assert_eq!(usable(&registry), [("b".to_owned(), false)]);
}

#[test]
fn a_draining_entry_that_disappears_is_gone_at_once() {
    let (mut registry, now) = (Registry::default(), Instant::now());
    registry.publish(upstream("a", State::Draining));
    registry.disappear("a", now);
    assert!(!registry.contains("a"));
}
