//! Compares the registry with a simple reference model for random sequences of events. The model
//! follows the contract: draining is final for an incarnation, an ended incarnation never returns,
//! the latest one counts, and an earlier one only if its entry persists.

use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

use bergamot_registry::{Incarnation, Registry, State, Upstream};
use proptest::prelude::*;

/// The time between events.
const STEP: Duration = Duration::from_millis(300);

#[derive(Clone, Debug)]
enum Event {
    Publish { id: u8, start_time_ms: Option<u64>, service: u8, ready: bool },
    Overwrite(u8),
    Disappear(u8),
    End { id: u8, start_time_ms: Option<u64> },
    List(BTreeSet<(u8, u64)>),
    Expire { store_is_unavailable: bool },
    StoreBack,
    StoreRestored,
}

fn event(start_times: impl Strategy<Value = Option<u64>> + Clone) -> impl Strategy<Value = Event> {
    let id = 0_u8..4;
    prop_oneof![
        5 => (id.clone(), start_times.clone(), 0_u8..2, any::<bool>())
            .prop_map(|(id, start_time_ms, service, ready)| {
                Event::Publish { id, start_time_ms, service, ready }
            }),
        1 => id.clone().prop_map(Event::Overwrite),
        1 => id.clone().prop_map(Event::Disappear),
        1 => (id.clone(), start_times)
            .prop_map(|(id, start_time_ms)| Event::End { id, start_time_ms }),
        1 => prop::collection::btree_set((id, 0_u64..4), 0..4).prop_map(Event::List),
        3 => any::<bool>()
            .prop_map(|store_is_unavailable| Event::Expire { store_is_unavailable }),
        1 => Just(Event::StoreBack),
        1 => Just(Event::StoreRestored),
    ]
}

fn incarnation(id: u8, start_time_ms: Option<u64>) -> Incarnation {
    Incarnation { id: id.to_string().into(), start_time_ms }
}

fn upstream(id: u8, start_time_ms: Option<u64>, service: u8, ready: bool) -> Upstream {
    Upstream {
        incarnation: incarnation(id, start_time_ms),
        service: service.to_string().into(),
        address: ([127, 0, 0, 1], 9000).into(),
        zone: "z".into(),
        slots: 1,
        state: if ready { State::Ready } else { State::Draining },
        warm_at: Instant::now(),
    }
}

/// Whether a missing entry was removed, not overwritten, and since when it is missing.
type Absence = (bool, Instant);

/// The last entry that one incarnation published.
#[derive(Clone, Copy, Debug)]
struct Published {
    start_time_ms: Option<u64>,
    service: u8,
    draining: bool,
}

/// How long the entry of a dead searcher remains in a restored store.
const EXPIRY: Duration = Duration::from_millis(4600);

/// The state of one searcher, with plain fields and no indexes.
#[derive(Clone, Copy, Debug, Default)]
struct Model {
    /// The known incarnation.
    known: Option<Published>,
    absent: Option<Absence>,
    /// The incarnation that ended last, if none has followed.
    ended: Option<Published>,
    /// An entry with an earlier start time, and when it was first seen.
    earlier: Option<(Published, Instant)>,
    /// The incarnation that was known when its grace period ended.
    departed: Option<Published>,
    /// An entry of that incarnation or an earlier one in a restored store.
    held: Option<Published>,
}

/// Returns until when a missing entry may return.
fn grace_period_end((removed, since): Absence, store_back: Option<Instant>) -> Instant {
    let grace_period = if removed { Duration::from_secs(1) } else { Duration::from_millis(2600) };
    let after_outage = store_back.map(|back| back + Duration::from_millis(2200));
    after_outage.map_or(since + grace_period, |end| end.max(since + grace_period))
}

impl Model {
    fn publish(&mut self, entry: Published, now: Instant, restored: Option<Instant>) {
        let early = restored.is_some_and(|restored| now < restored + EXPIRY);
        let departed =
            self.departed.is_some_and(|departed| entry.start_time_ms <= departed.start_time_ms);
        let unchanged = self.held.is_none_or(|held| held.draining == entry.draining);
        if self.known.is_none() && self.ended.is_none() && early && departed && unchanged {
            self.held = Some(entry);
            return;
        }
        let latest = self.known.or(self.ended).map(|latest| latest.start_time_ms);
        match latest {
            Some(latest) if entry.start_time_ms < latest => {
                let seen = self
                    .earlier
                    .filter(|(earlier, _)| earlier.start_time_ms == entry.start_time_ms);
                self.earlier = Some((entry, seen.map_or(now, |(_, since)| since)));
                self.mark_missing(false, now);
            }
            Some(latest) if entry.start_time_ms == latest => {
                if let Some(known) = self.known {
                    let draining = known.draining || entry.draining;
                    self.set_known(Published { draining, ..entry });
                }
            }
            _ => self.set_known(entry),
        }
    }

    fn set_known(&mut self, entry: Published) {
        *self = Self { known: Some(entry), ..Self::default() };
    }

    fn mark_missing(&mut self, removed: bool, now: Instant) {
        match (self.known, self.absent) {
            (Some(known), _) if removed && known.draining => self.end(),
            (Some(_), None) => self.absent = Some((removed, now)),
            (Some(_), Some((false, _))) if removed => self.absent = Some((true, now)),
            _ => {}
        }
    }

    fn end(&mut self) {
        self.ended = self.known;
        (self.known, self.absent) = (None, None);
    }

    fn adopt_earlier(&mut self, now: Instant, store_back: Option<Instant>) {
        if let Some((entry, since)) = self.earlier
            && now >= grace_period_end((false, since), store_back)
        {
            self.set_known(entry);
        }
    }

    fn expire(&mut self, now: Instant, store_back: Option<Instant>) {
        if self.absent.is_some_and(|absence| now >= grace_period_end(absence, store_back)) {
            if self.known.is_some_and(|known| known.draining) {
                self.end();
            } else {
                self.depart();
            }
        }
    }

    fn depart(&mut self) {
        self.departed = self.known;
        (self.known, self.absent) = (None, None);
    }

    fn restore(&mut self) {
        if matches!(self.absent, Some((true, _))) {
            self.depart();
        }
    }

    fn adopt_held(&mut self, now: Instant, restored: Option<Instant>) {
        if let Some(entry) = self.held
            && restored.is_none_or(|restored| now >= restored + EXPIRY)
        {
            self.set_known(entry);
        }
    }
}

/// The searchers by number.
#[derive(Debug, Default)]
struct World {
    models: [Model; 4],
    store_back: Option<Instant>,
    restored: Option<Instant>,
}

impl World {
    fn publish(&mut self, id: u8, entry: Published, now: Instant) {
        let expected = self.expects_start_times();
        if entry.start_time_ms.is_none() && expected {
            return self.overwrite(id, now);
        }
        self.models[usize::from(id)].publish(entry, now, self.restored);
        self.mark_entries_without_start_time(expected, now);
    }

    /// Returns whether most searchers publish a start time.
    fn expects_start_times(&self) -> bool {
        let known = || self.models.iter().filter_map(|model| model.known);
        known().filter(|known| known.start_time_ms.is_some()).count() * 2 > known().count()
    }

    /// Marks entries without a start time as overwritten, if start times have just become expected.
    fn mark_entries_without_start_time(&mut self, before: bool, now: Instant) {
        if before || !self.expects_start_times() {
            return;
        }
        let lacks_start_time =
            |model: &&mut Model| model.known.is_some_and(|known| known.start_time_ms.is_none());
        self.models
            .iter_mut()
            .filter(lacks_start_time)
            .for_each(|model| model.mark_missing(false, now));
    }

    fn expire(&mut self, now: Instant) {
        for id in 0..4 {
            let expected = self.expects_start_times();
            self.models[id].adopt_earlier(now, self.store_back);
            self.mark_entries_without_start_time(expected, now);
        }
        for id in 0..4 {
            let expected = self.expects_start_times();
            self.models[id].adopt_held(now, self.restored);
            self.mark_entries_without_start_time(expected, now);
        }
        let store_back = self.store_back;
        self.models.iter_mut().for_each(|model| model.expire(now, store_back));
    }

    fn overwrite(&mut self, id: u8, now: Instant) {
        self.models[usize::from(id)].earlier = None;
        self.models[usize::from(id)].held = None;
        self.models[usize::from(id)].mark_missing(false, now);
    }

    fn disappear(&mut self, id: u8, now: Instant) {
        self.models[usize::from(id)].earlier = None;
        self.models[usize::from(id)].held = None;
        self.models[usize::from(id)].mark_missing(true, now);
    }

    /// Lists the searchers of a service that may receive requests, and whether their entry is
    /// missing.
    fn usable(&self, service: u8) -> Vec<(Incarnation, bool)> {
        let usable = (0_u8..).zip(&self.models).filter_map(|(id, model)| {
            let usable = |known: &Published| known.service == service && !known.draining;
            let known = model.known.filter(usable)?;
            Some((incarnation(id, known.start_time_ms), model.absent.is_some()))
        });
        usable.collect()
    }
}

fn run(events: Vec<Event>) -> Result<(), TestCaseError> {
    let (mut registry, mut world, mut now) =
        (Registry::default(), World::default(), Instant::now());
    for event in events {
        now += STEP;
        match event {
            Event::Publish { id, start_time_ms, service, ready } => {
                world.publish(id, Published { start_time_ms, service, draining: !ready }, now);
                registry.publish(upstream(id, start_time_ms, service, ready), now);
            }
            Event::Overwrite(id) => {
                world.overwrite(id, now);
                registry.overwrite_entry(&id.to_string(), now);
            }
            Event::Disappear(id) => {
                world.disappear(id, now);
                registry.remove_entry(&id.to_string(), now);
            }
            Event::End { id, start_time_ms } => {
                let model = &mut world.models[usize::from(id)];
                let known = model.known.is_some_and(|known| known.start_time_ms == start_time_ms);
                if known {
                    model.end();
                }
                prop_assert_eq!(registry.end_incarnation(&incarnation(id, start_time_ms)), known);
            }
            Event::List(ids) => {
                let listing: BTreeMap<u8, u64> = ids.into_iter().collect();
                for (id, start_time_ms) in &listing {
                    world.publish(
                        *id,
                        Published {
                            start_time_ms: Some(*start_time_ms),
                            service: 0,
                            draining: false,
                        },
                        now,
                    );
                }
                for id in (0..4).filter(|id| !listing.contains_key(id)) {
                    world.disappear(id, now);
                }
                let listing = listing.into_iter();
                let listing =
                    listing.map(|(id, start_time_ms)| upstream(id, Some(start_time_ms), 0, true));
                registry.replace(listing.collect(), now);
            }
            Event::Expire { store_is_unavailable } => {
                registry.expire(now, store_is_unavailable);
                if !store_is_unavailable {
                    world.expire(now);
                }
            }
            Event::StoreRestored => {
                (world.store_back, world.restored) = (Some(now), Some(now));
                world.models.iter_mut().for_each(Model::restore);
                registry.store_restored(now, EXPIRY);
            }
            Event::StoreBack => {
                world.store_back = Some(now);
                registry.store_recovered(now);
            }
        }
        for service in 0..2_u8 {
            let usable: Vec<(Incarnation, bool)> = registry
                .usable(&service.to_string())
                .map(|(upstream, missing)| (upstream.incarnation.clone(), missing))
                .collect();
            prop_assert!(usable.iter().all(|(searcher, _)| registry.takes_work(searcher)));
            prop_assert_eq!(usable, world.usable(service));
        }
    }
    Ok(())
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn incarnations_under_one_identifier(
        events in prop::collection::vec(event((0_u64..4).prop_map(Some)), 0..80)
    ) {
        run(events)?;
    }

    #[test]
    fn entries_with_and_without_a_start_time(
        events in prop::collection::vec(event(prop::option::of(0_u64..3)), 0..80)
    ) {
        run(events)?;
    }
}
