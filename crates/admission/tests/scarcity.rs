//! Loads beyond the capacity of the searchers.

mod model;

use std::time::Duration;

use bergamot_admission::Coordinator;
use bergamot_policy::Policy;

use model::coordinated::Coordinated;
use model::{Load, Request, play};

const TARGET: Duration = Duration::from_millis(200);

/// The mean service time of a searcher, in seconds.
const WORK: f64 = 0.04;

fn load(slots: Vec<usize>, fewest: usize, factor: f64) -> Load {
    let mut sorted = slots.clone();
    sorted.sort_unstable();
    let capacity = sorted[slots.len() - fewest] as f64 / WORK;
    Load {
        slots,
        fewest,
        work: |_, _| WORK,
        rate: Box::new(move |_| capacity * factor),
        target: TARGET,
        priorities: vec![(0, 0.5), (1, 0.5)],
        seconds: 10.0,
    }
}

fn coordinated() -> Coordinated {
    let policy = Policy::default();
    Coordinated::new(Coordinator::new(&policy.queue, &policy.comeback))
}

/// Returns the part of the first 9 s of requests that `select` selects.
fn part(requests: &[Request], select: impl Fn(&Request) -> bool) -> f64 {
    let settled = requests.iter().filter(|one| one.arrived < 9.0);
    settled.clone().filter(|one| select(one)).count() as f64 / settled.count() as f64
}

/// Guards against admitting requests that are late, and the less urgent ones first: at twice the
/// capacity, at least 0.8 of what the searchers can do is done in time.
#[test]
fn twice_the_capacity_is_used_for_answers_in_time() {
    let load = load(vec![6; 90], 86, 2.0);
    let requests = play(&load, &mut coordinated(), 1);
    let done = part(&requests, |one| one.in_time(TARGET)) * 2.0;
    assert!(done >= 0.8, "{done:.2} of the capacity");
    let served = |priority| part(&requests, |one| one.priority == priority && one.in_time(TARGET));
    assert!(served(0) > served(1), "{:.2} urgent, {:.2} others", served(0), served(1));
}
