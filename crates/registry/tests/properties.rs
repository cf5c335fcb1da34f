//! Whatever the order of events, draining is final and an ended incarnation never returns.

use std::collections::BTreeSet;
use std::time::{Duration, Instant};

use bergamot_registry::{Registry, State, Upstream};
use proptest::prelude::*;

#[derive(Clone, Debug)]
enum Event {
    Publish(u8, bool),
    Disappear(u8),
    End(u8),
    List(BTreeSet<u8>),
    Expire(bool),
    Regain,
}

fn event() -> impl Strategy<Value = Event> {
    let id = 0_u8..5;
    prop_oneof![
        (id.clone(), any::<bool>()).prop_map(|(id, ready)| Event::Publish(id, ready)),
        id.clone().prop_map(Event::Disappear),
        id.clone().prop_map(Event::End),
        prop::collection::btree_set(id, 0..5).prop_map(Event::List),
        any::<bool>().prop_map(Event::Expire),
        Just(Event::Regain),
    ]
}

fn upstream(id: u8, ready: bool) -> Upstream {
    Upstream {
        id: id.to_string().into(),
        service: "s".into(),
        address: ([127, 0, 0, 1], 9000).into(),
        zone: "z".into(),
        slots: 1,
        state: if ready { State::Ready } else { State::Draining },
        warm_at: Instant::now(),
    }
}

proptest! {
    #[test]
    fn no_order_of_events_brings_a_searcher_back(events in prop::collection::vec(event(), 0..80)) {
        let mut registry = Registry::default();
        let mut now = Instant::now();
        let (mut ended, mut draining) = (BTreeSet::new(), BTreeSet::new());
        for event in events {
            now += Duration::from_millis(300);
            match event {
                Event::Publish(id, ready) => {
                    registry.publish(upstream(id, ready));
                    if !ready && registry.contains(&id.to_string()) {
                        draining.insert(id);
                    }
                }
                Event::Disappear(id) => {
                    registry.disappear(&id.to_string(), now);
                }
                Event::End(id) => {
                    if registry.end(&id.to_string()) {
                        ended.insert(id);
                    }
                }
                Event::List(ids) => {
                    registry.replace(ids.into_iter().map(|id| upstream(id, true)).collect(), now);
                }
                Event::Expire(away) => {
                    let gone = registry.expire(now, away);
                    prop_assert!(!away || gone.is_empty());
                    for id in gone {
                        // It left by its entry alone, and may publish itself anew.
                        draining.remove(&id.parse().unwrap_or(u8::MAX));
                    }
                }
                Event::Regain => registry.regained(now),
            }
            for id in &ended {
                prop_assert!(!registry.contains(&id.to_string()), "{id} returned");
            }
            for id in draining.iter().filter(|id| registry.contains(&id.to_string())) {
                prop_assert!(!registry.takes_work(&id.to_string()), "{id} takes work again");
            }
            let usable: Vec<_> = registry.usable("s").map(|(up, _)| up.id.to_string()).collect();
            prop_assert!(usable.iter().all(|id| registry.takes_work(id)));
        }
    }
}
