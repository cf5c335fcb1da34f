//! Whatever the order of events, who may get work is what a small model says that is written
//! from the contract: draining is final for a start, one that ended never returns, the last one
//! counts, and an earlier one only if its entry stands.

use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

use bergamot_registry::{Incarnation, Registry, State, Upstream};
use proptest::prelude::*;

/// How far apart events are.
const STEP: Duration = Duration::from_millis(300);

#[derive(Clone, Debug)]
enum Event {
    Publish { id: u8, born: Option<u64>, service: u8, ready: bool },
    Overwrite(u8),
    Disappear(u8),
    End { id: u8, born: Option<u64> },
    List(BTreeSet<(u8, u64)>),
    Expire(bool),
    Regain,
    Restore,
}

fn event(births: impl Strategy<Value = Option<u64>> + Clone) -> impl Strategy<Value = Event> {
    let id = 0_u8..4;
    prop_oneof![
        5 => (id.clone(), births.clone(), 0_u8..2, any::<bool>())
            .prop_map(|(id, born, service, ready)| Event::Publish { id, born, service, ready }),
        1 => id.clone().prop_map(Event::Overwrite),
        1 => id.clone().prop_map(Event::Disappear),
        1 => (id.clone(), births).prop_map(|(id, born)| Event::End { id, born }),
        1 => prop::collection::btree_set((id, 0_u64..4), 0..4).prop_map(Event::List),
        3 => any::<bool>().prop_map(Event::Expire),
        1 => Just(Event::Regain),
        1 => Just(Event::Restore),
    ]
}

fn incarnation(id: u8, born: Option<u64>) -> Incarnation {
    Incarnation { id: id.to_string().into(), born }
}

fn upstream(id: u8, born: Option<u64>, service: u8, ready: bool) -> Upstream {
    Upstream {
        incarnation: incarnation(id, born),
        service: service.to_string().into(),
        address: ([127, 0, 0, 1], 9000).into(),
        zone: "z".into(),
        slots: 1,
        state: if ready { State::Ready } else { State::Draining },
        warm_at: Instant::now(),
    }
}

/// Why an entry is not there, since when.
type Absence = (bool, Instant);

/// What one start has said of itself last.
#[derive(Clone, Copy, Debug)]
struct Said {
    born: Option<u64>,
    service: u8,
    drains: bool,
}

/// How long the entry of a dead searcher stands in a restored store.
const EXPIRY: Duration = Duration::from_millis(4600);

/// What is known of one searcher, with plain fields and no index.
#[derive(Clone, Copy, Debug, Default)]
struct Model {
    start: Option<Said>,
    /// Whether the entry was removed, and not overwritten, and when.
    absent: Option<Absence>,
    /// The start that ended last, if no other has followed.
    ended: Option<Said>,
    /// An entry of an earlier start, and since when it stands.
    earlier: Option<(Said, Instant)>,
    /// The start that was last known when its entry had been away for too long.
    gone: Option<Said>,
    /// An entry of that start in a copy.
    held: Option<Said>,
}

/// Until when an entry that is not there may return.
fn until((removed, since): Absence, regained: Option<Instant>) -> Instant {
    let doubt = if removed { Duration::from_secs(1) } else { Duration::from_millis(2600) };
    let back = regained.map(|back| back + Duration::from_millis(2200));
    back.map_or(since + doubt, |back| back.max(since + doubt))
}

impl Model {
    fn publish(&mut self, said: Said, now: Instant, restored: Option<Instant>) {
        let early = restored.is_some_and(|restored| now < restored + EXPIRY);
        let gone = self.gone.is_some_and(|gone| said.born <= gone.born);
        let unchanged = self.held.is_none_or(|held| held.drains == said.drains);
        if self.start.is_none() && self.ended.is_none() && early && gone && unchanged {
            self.held = Some(said);
            return;
        }
        let latest = self.start.or(self.ended).map(|latest| latest.born);
        match latest {
            Some(latest) if said.born < latest => {
                let known = self.earlier.filter(|(earlier, _)| earlier.born == said.born);
                self.earlier = Some((said, known.map_or(now, |(_, since)| since)));
                self.lose(false, now);
            }
            Some(latest) if said.born == latest => {
                if let Some(start) = self.start {
                    let drains = start.drains || said.drains;
                    self.follow(Said { drains, ..said });
                }
            }
            _ => self.follow(said),
        }
    }

    fn follow(&mut self, said: Said) {
        *self = Self { start: Some(said), ..Self::default() };
    }

    fn lose(&mut self, removed: bool, now: Instant) {
        match (self.start, self.absent) {
            (Some(start), _) if removed && start.drains => self.end(),
            (Some(_), None) => self.absent = Some((removed, now)),
            (Some(_), Some((false, _))) if removed => self.absent = Some((true, now)),
            _ => {}
        }
    }

    fn end(&mut self) {
        self.ended = self.start;
        (self.start, self.absent) = (None, None);
    }

    fn adopt(&mut self, now: Instant, regained: Option<Instant>) {
        if let Some((said, since)) = self.earlier
            && now >= until((false, since), regained)
        {
            self.follow(said);
        }
    }

    fn expire(&mut self, now: Instant, regained: Option<Instant>) {
        if self.absent.is_some_and(|absence| now >= until(absence, regained)) {
            if self.start.is_some_and(|start| start.drains) {
                self.end();
            } else {
                self.leave();
            }
        }
    }

    fn leave(&mut self) {
        self.gone = self.start;
        (self.start, self.absent) = (None, None);
    }

    fn restore(&mut self) {
        if matches!(self.absent, Some((true, _))) {
            self.leave();
        }
    }

    fn prove(&mut self, now: Instant, restored: Option<Instant>) {
        if let Some(said) = self.held
            && restored.is_none_or(|restored| now >= restored + EXPIRY)
        {
            self.follow(said);
        }
    }
}

/// The searchers by number.
#[derive(Debug, Default)]
struct World {
    models: [Model; 4],
    regained: Option<Instant>,
    restored: Option<Instant>,
}

impl World {
    fn publish(&mut self, id: u8, said: Said, now: Instant) {
        let births = self.births();
        if said.born.is_none() && births {
            return self.overwrite(id, now);
        }
        self.models[usize::from(id)].publish(said, now, self.restored);
        self.doubt_unborn(births, now);
    }

    /// Tells whether most searchers say when they started.
    fn births(&self) -> bool {
        let starts = || self.models.iter().filter_map(|model| model.start);
        starts().filter(|start| start.born.is_some()).count() * 2 > starts().count()
    }

    /// Doubts those that don't say it, if it has just turned out that most do.
    fn doubt_unborn(&mut self, before: bool, now: Instant) {
        if before || !self.births() {
            return;
        }
        let unborn = |model: &&mut Model| model.start.is_some_and(|start| start.born.is_none());
        self.models.iter_mut().filter(unborn).for_each(|model| model.lose(false, now));
    }

    fn expire(&mut self, now: Instant) {
        for id in 0..4 {
            let births = self.births();
            self.models[id].adopt(now, self.regained);
            self.doubt_unborn(births, now);
        }
        for id in 0..4 {
            let births = self.births();
            self.models[id].prove(now, self.restored);
            self.doubt_unborn(births, now);
        }
        let regained = self.regained;
        self.models.iter_mut().for_each(|model| model.expire(now, regained));
    }

    fn overwrite(&mut self, id: u8, now: Instant) {
        self.models[usize::from(id)].earlier = None;
        self.models[usize::from(id)].held = None;
        self.models[usize::from(id)].lose(false, now);
    }

    fn disappear(&mut self, id: u8, now: Instant) {
        self.models[usize::from(id)].earlier = None;
        self.models[usize::from(id)].held = None;
        self.models[usize::from(id)].lose(true, now);
    }

    /// Lists who may get work of a service, and whether its entry is missing.
    fn usable(&self, service: u8) -> Vec<(Incarnation, bool)> {
        let starts = (0_u8..).zip(&self.models).filter_map(|(id, model)| {
            let start = model.start.filter(|start| start.service == service && !start.drains)?;
            Some((incarnation(id, start.born), model.absent.is_some()))
        });
        starts.collect()
    }
}

fn run(events: Vec<Event>) -> Result<(), TestCaseError> {
    let (mut registry, mut world, mut now) =
        (Registry::default(), World::default(), Instant::now());
    for event in events {
        now += STEP;
        match event {
            Event::Publish { id, born, service, ready } => {
                world.publish(id, Said { born, service, drains: !ready }, now);
                registry.publish(upstream(id, born, service, ready), now);
            }
            Event::Overwrite(id) => {
                world.overwrite(id, now);
                registry.overwrite(&id.to_string(), now);
            }
            Event::Disappear(id) => {
                world.disappear(id, now);
                registry.disappear(&id.to_string(), now);
            }
            Event::End { id, born } => {
                let model = &mut world.models[usize::from(id)];
                let known = model.start.is_some_and(|start| start.born == born);
                if known {
                    model.end();
                }
                prop_assert_eq!(registry.end(&incarnation(id, born)), known);
            }
            Event::List(ids) => {
                let listing: BTreeMap<u8, u64> = ids.into_iter().collect();
                for (id, born) in &listing {
                    world.publish(*id, Said { born: Some(*born), service: 0, drains: false }, now);
                }
                for id in (0..4).filter(|id| !listing.contains_key(id)) {
                    world.disappear(id, now);
                }
                let listing = listing.into_iter();
                let listing = listing.map(|(id, born)| upstream(id, Some(born), 0, true));
                registry.replace(listing.collect(), now);
            }
            Event::Expire(away) => {
                registry.expire(now, away);
                if !away {
                    world.expire(now);
                }
            }
            Event::Restore => {
                (world.regained, world.restored) = (Some(now), Some(now));
                world.models.iter_mut().for_each(Model::restore);
                registry.restored(now, EXPIRY);
            }
            Event::Regain => {
                world.regained = Some(now);
                registry.regained(now);
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
    fn starts_under_one_identifier(
        events in prop::collection::vec(event((0_u64..4).prop_map(Some)), 0..80)
    ) {
        run(events)?;
    }

    #[test]
    fn entries_with_and_without_a_start(
        events in prop::collection::vec(event(prop::option::of(0_u64..3)), 0..80)
    ) {
        run(events)?;
    }
}
