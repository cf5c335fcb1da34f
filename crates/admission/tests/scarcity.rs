//! Loads beyond the capacity of the searchers.

mod model;

use std::time::Duration;

use model::{Load, Model, Request};

const TARGET: Duration = Duration::from_millis(200);

/// The mean service time of a searcher, in seconds.
const WORK: f64 = 0.04;

/// The part of what the searchers can do that is to be done in time.
const USED: f64 = 0.8;

const SEEDS: [u64; 3] = [1, 2, 3];

/// Returns a load of `factor` times the capacity of the shards, of which `fewest` are needed.
fn load(slots: &[usize], fewest: usize, factor: f64) -> Load {
    let capacity = capacity(slots, fewest);
    Load {
        slots: slots.to_vec(),
        fewest,
        work: |_, _| WORK,
        rate: Box::new(move |_| capacity * factor),
        target: TARGET,
        urgent: 0.5,
        seconds: 10.0,
    }
}

/// Returns the requests per second that the shard which binds can serve.
fn capacity(slots: &[usize], fewest: usize) -> f64 {
    let mut sorted = slots.to_vec();
    sorted.sort_unstable();
    sorted[slots.len() - fewest] as f64 / WORK
}

/// Returns 90 shards, of which `scarce` have a third of the slots of the others.
fn shards(scarce: usize) -> Vec<usize> {
    (0..90).map(|shard| if shard < scarce { 6 } else { 18 }).collect()
}

fn with_seeds<T: Copy>(value: T) -> impl Iterator<Item = (T, u64)> {
    SEEDS.into_iter().map(move |seed| (value, seed))
}

/// Returns the part of the requests of a period that `select` selects which was answered in time.
fn in_time(model: &Model, from: f64, to: f64, select: impl Fn(&Request) -> bool) -> f64 {
    let arrived = model.requests.iter().filter(|one| (from..to).contains(&one.arrived));
    let selected: Vec<_> = arrived.filter(|one| select(one)).collect();
    let limit = TARGET.as_secs_f64();
    let is_in_time = |one: &&&Request| one.covered.is_some_and(|at| at - one.arrived <= limit);
    selected.iter().filter(is_in_time).count() as f64 / selected.len() as f64
}

/// Guards against admitting requests that are late, whichever shards bind and however high the load.
#[test]
fn most_of_the_capacity_is_used_for_answers_in_time() {
    for (slots, fewest) in [(shards(1), 90), (shards(10), 86), (shards(90), 86), (vec![6], 1)] {
        for (factor, seed) in [1.2, 2.0, 4.0].into_iter().flat_map(with_seeds) {
            let model = Model::play(load(&slots, fewest, factor), seed);
            let done = in_time(&model, 1.0, 9.0, |_| true) * factor;
            assert!(
                done >= USED,
                "{done:.2} at {factor} times the capacity of {} shards",
                slots.len()
            );
        }
    }
}

/// Guards against a coordinator that starts during a shortage and makes callers late for seconds.
#[test]
fn half_of_the_capacity_is_used_in_the_first_second() {
    for (factor, seed) in [1.2, 2.0, 4.0].into_iter().flat_map(with_seeds) {
        let model = Model::play(load(&shards(90), 86, factor), seed);
        let done = in_time(&model, 0.0, 1.0, |_| true) * factor;
        assert!(done >= 0.5, "{done:.2} at {factor} times the capacity");
    }
}

/// Guards against less urgent requests that take the capacity from more urgent ones, and against
/// those that starve, in every mixture.
#[test]
fn more_urgent_requests_are_served_first() {
    for (urgent, seed) in [0.1, 0.25, 0.5, 0.75, 0.9].into_iter().flat_map(with_seeds) {
        let model = Model::play(Load { urgent, ..load(&shards(90), 86, 2.0) }, seed);
        let served = |priority| in_time(&model, 1.0, 9.0, |one| one.priority == priority);
        // One grant in five is against starvation.
        let most = f64::min(1.0, 0.8 / (2.0 * urgent));
        assert!(served(0) >= most * USED, "{:.2} of {urgent} urgent ones", served(0));
        assert!(served(1) >= 0.2, "{:.2} of the others beside {urgent}", served(1));
        let done = in_time(&model, 1.0, 9.0, |_| true) * 2.0;
        assert!(done >= USED, "{done:.2} of the capacity with {urgent} urgent ones");
    }
}

/// Guards against a limit that stays low after a shortage: one second after searchers that were five
/// times slower have recovered, callers are served as before.
#[test]
fn the_limit_recovers_within_a_second() {
    for (slots, seed) in [2, 6].into_iter().flat_map(with_seeds) {
        let mut load = load(&vec![slots; 90], 86, 1.0);
        let capacity = capacity(&load.slots, load.fewest);
        let is_short = |now: f64| (3.0..6.0).contains(&now);
        load.work = |now, _| if (3.0..6.0).contains(&now) { WORK * 5.0 } else { WORK };
        load.rate = Box::new(move |now| capacity * if is_short(now) { 2.0 } else { 0.6 });
        let model = Model::play(load, seed);
        let served = in_time(&model, 7.0, 9.0, |_| true);
        assert!(served >= 0.95, "{served:.2} of the requests to {slots} slots");
    }
}

/// Guards against a limit that oscillates, so that callers are late and searchers idle in turn.
#[test]
fn the_limit_is_stable_under_a_steady_load() {
    let model = Model::play(load(&shards(90), 86, 2.0), SEEDS[0]);
    let limits = &model.limits[200..];
    let (least, most) = (limits.iter().min(), limits.iter().max());
    assert!(most <= least.map(|least| least * 2).as_ref(), "{least:?} to {most:?}");
}

/// Guards against an estimate of the best holding time that adapts to the queues of a long shortage.
#[test]
fn a_long_shortage_is_served_as_a_short_one() {
    let model = Model::play(Load { seconds: 120.0, ..load(&[2; 90], 86, 2.0) }, SEEDS[0]);
    let done = in_time(&model, 60.0, 119.0, |_| true) * 2.0;
    assert!(done >= USED, "{done:.2} of the capacity");
}

/// Guards against a limit that keeps searchers in a state in which they are slower.
#[test]
fn searchers_that_slow_down_when_nearly_full_are_used() {
    let mut load = load(&shards(90), 86, 2.0);
    load.work = |_, occupied| if occupied > 0.8 { WORK * 1.5 } else { WORK };
    let model = Model::play(load, SEEDS[0]);
    let done = in_time(&model, 1.0, 9.0, |_| true) * 2.0 * 1.5;
    assert!(done >= USED, "{done:.2} of the capacity of full searchers");
}
