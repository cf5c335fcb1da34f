//! Where requests may be sent: residency and evacuations.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::{Duration, Instant};

use bergamot_base::{Name, Position};
use bergamot_declaration::Residency;
use bergamot_placement::{Constraints, Evacuations, Placement, Withheld};
use bergamot_registry::{Incarnation, State, Upstream};
use proptest::prelude::*;

/// Two zones in the south, one in the north; zone `z` has no known region.
fn placement() -> Placement {
    let regions = [("a", "south"), ("b", "south"), ("c", "north")];
    Placement::new(regions.map(|(zone, region)| (Name::from(zone), Name::from(region))).into())
}

fn searcher(id: &str, zone: &str) -> Arc<Upstream> {
    Arc::new(Upstream {
        incarnation: Incarnation { id: id.into(), start_time_ms: None },
        service: "s".into(),
        address: ([127, 0, 0, 1], 80).into(),
        zone: zone.into(),
        slots: 1,
        state: State::Ready,
        warm_at: Instant::now(),
    })
}

fn within(regions: &[&str]) -> Constraints {
    Constraints::new(Residency::within(regions.iter().map(|region| Name::from(*region))))
}

fn permitted(placement: &Placement, constraints: &Constraints) -> String {
    let searchers = ["a", "b", "c", "z"].map(|zone| searcher(zone, zone));
    let known = searchers.iter().map(|upstream| (upstream, false));
    placement
        .permitted(known, constraints, Instant::now())
        .map(|(upstream, _)| &*upstream.zone)
        .collect()
}

#[test]
fn only_searchers_in_the_regions_of_a_request_are_permitted() {
    let placement = placement();
    assert_eq!(permitted(&placement, &within(&[])), "abcz");
    assert_eq!(permitted(&placement, &within(&["south"])), "ab");
    assert_eq!(permitted(&placement, &within(&["north", "south"])), "abc");
    assert_eq!(permitted(&placement, &within(&["east"])), "", "an unknown region is not widened");
}

#[test]
fn searchers_of_an_evacuated_zone_are_withheld_from_every_request() {
    let mut placement = placement();
    let now = Instant::now();
    assert!(placement.evacuations.begin("b".into(), Position::from(7), now));
    assert!(!placement.evacuations.begin("b".into(), Position::from(8), now), "already in force");
    assert_eq!(permitted(&placement, &within(&[])), "acz");
    assert_eq!(permitted(&placement, &within(&["south"])), "a");
    let (at_b, south) = (searcher("b", "b"), within(&["south"]));
    assert_eq!(placement.check(&at_b, &south, now), Err(Withheld::Evacuated));
    let known = [(&at_b, false), (&searcher("c", "c"), false)];
    let counts = placement.count_withheld(known.into_iter(), &south, now);
    assert_eq!(counts.to_string(), "residency=1 evacuated=1");
    assert!(placement.evacuations.end("b", now));
    assert_eq!(permitted(&placement, &within(&[])), "abcz");
}

/// A store that is restored from a copy lacks the last records of the operator until they are
/// written again; the evacuated searchers must receive nothing meanwhile.
#[test]
fn an_evacuation_outlasts_a_restore_that_lost_its_record() {
    let (now, hold) = (Instant::now(), Duration::from_secs(5));
    let mut evacuations = Evacuations::default();
    for zone in ["kept", "lost"] {
        evacuations.begin(zone.into(), Position::from(7), now);
    }
    evacuations.store_restored(now, hold);
    for zone in ["kept", "lost"] {
        assert!(!evacuations.end(zone, now), "the restored store lacks {zone}");
    }
    evacuations.begin("kept".into(), Position { era: 1, revision: 3 }, now + hold / 2);
    assert!(evacuations.expire(now + hold / 2).is_empty());
    assert!(evacuations.contains("kept") && evacuations.contains("lost"));
    assert_eq!(evacuations.expire(now + hold), [Name::from("lost")]);
    assert!(evacuations.contains("kept") && !evacuations.contains("lost"));
    assert!(evacuations.end("kept", now + hold), "an operator's order takes effect at once again");
}

#[derive(Clone, Debug)]
enum Event {
    Begin(u8),
    End(u8),
    Restore,
    Wait(u64),
}

fn events() -> impl Strategy<Value = Vec<Event>> {
    let event = prop_oneof![
        (0..3_u8).prop_map(Event::Begin),
        (0..3_u8).prop_map(Event::End),
        Just(Event::Restore),
        (0..3_000_u64).prop_map(Event::Wait),
    ];
    prop::collection::vec(event, 0..60)
}

proptest! {
    /// A zone whose record exists is always evacuated. One without a record is not, unless the
    /// store was restored a short time ago.
    #[test]
    fn evacuations_follow_the_records(events in events()) {
        let hold = Duration::from_secs(5);
        let mut now = Instant::now();
        let mut evacuations = Evacuations::default();
        let mut records = BTreeSet::<u8>::new();
        let mut restored = None;
        for (revision, event) in events.into_iter().enumerate() {
            match event {
                Event::Begin(zone) => {
                    records.insert(zone);
                    let at = Position::from(revision as u64 + 1);
                    evacuations.begin(Name::from(zone.to_string()), at, now);
                }
                Event::End(zone) => {
                    records.remove(&zone);
                    evacuations.end(&zone.to_string(), now);
                }
                Event::Restore => {
                    restored = Some(now);
                    evacuations.store_restored(now, hold);
                }
                Event::Wait(ms) => now += Duration::from_millis(ms),
            }
            evacuations.expire(now);
            let is_held = restored.is_some_and(|at| now < at + hold);
            for zone in 0..3_u8 {
                let exists = records.contains(&zone);
                let evacuated = evacuations.contains(&zone.to_string());
                prop_assert!(evacuated || !exists, "zone {zone} has a record");
                prop_assert!(!evacuated || exists || is_held, "zone {zone} has no record");
            }
        }
    }
}
