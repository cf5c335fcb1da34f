//! Stall prediction under different pause patterns: its benefit where pauses are periodic, and that
//! it costs nothing where they are not.

use std::time::Duration;

use bergamot_model::{Load, Pauses, Report, run};
use bergamot_policy::Policy;

const MS: Duration = Duration::from_millis(1);

const SEEDS: [u64; 4] = [1, 2, 3, 4];

/// The results of the runs over all seeds.
#[derive(Debug)]
struct Summary {
    worth: f64,
    paused: usize,
    additional: usize,
    /// The mean of the median latencies of the strict route, in milliseconds.
    median_ms: f64,
}

impl Summary {
    fn of(reports: &[Report]) -> Self {
        let mean = |value: &dyn Fn(&Report) -> f64| {
            reports.iter().map(value).sum::<f64>() / reports.len() as f64
        };
        Self {
            worth: mean(&Report::worth),
            paused: reports.iter().map(|report| report.paused).sum(),
            additional: reports.iter().map(|report| report.additional_attempts).sum(),
            median_ms: mean(&|report| report.outcomes[1].percentile(50.0).as_secs_f64() * 1e3),
        }
    }
}

/// Simulates pauses with the `foresight` mechanism and without it. The first 15 s are left out, so
/// that members can learn the pattern.
fn compare(pauses: Pauses) -> (Summary, Summary) {
    let summary = |names: &[&str]| {
        let policy = Policy::default().without(names).expect("the names are in the table");
        let load = |seed| Load {
            seed,
            pauses,
            policy,
            duration: MS * 35_000,
            measure_from: MS * 15_000,
            ..Load::default()
        };
        Summary::of(&SEEDS.map(|seed| run(&load(seed))))
    };
    (summary(&[]), summary(&["foresight"]))
}

/// Each searcher pauses for 250 ms every 6 s, at its own phase. A request to 20 shards finds the
/// first choice of at least one of them paused in 57 of 100 cases. If each member detects each
/// pause anew, two or more requests run into it, and the median of the strict route is that of
/// hedged requests (54 ms) instead of that of the searchers' service time (28 ms without pauses).
#[test]
fn searchers_with_periodic_pauses_are_avoided() {
    let (with, without) = compare(Pauses::Recurring { every: MS * 6000, length: MS * 250 });
    assert!(with.paused * 100 < without.paused * 85, "{with:?} {without:?}");
    assert!(with.additional * 100 < without.additional * 92, "{with:?} {without:?}");
    assert!(with.median_ms + 4.0 < without.median_ms, "{with:?} {without:?}");
    assert!(with.worth > without.worth, "{with:?} {without:?}");
}

/// The period and the length are learned, not assumed: others than above work as well.
#[test]
fn the_period_and_the_length_are_learned() {
    let (with, without) = compare(Pauses::Recurring { every: MS * 3600, length: MS * 150 });
    assert!(with.paused * 100 < without.paused * 92, "{with:?} {without:?}");
    assert!(with.worth + 0.001 > without.worth, "{with:?} {without:?}");
}

/// Pauses are as frequent as above but at random times, so prediction can't help. It must not make
/// results worse by more than the variation between runs.
#[test]
fn random_pauses_are_not_predicted() {
    let (with, without) = compare(Pauses::Random { every: MS * 6000, length: MS * 250 });
    assert!(with.worth + 0.002 > without.worth, "{with:?} {without:?}");
    assert!(with.additional * 100 < without.additional * 104, "{with:?} {without:?}");
}

#[test]
fn searchers_without_pauses_are_unaffected() {
    let (with, without) = compare(Pauses::Never);
    assert!(with.worth + 0.0005 > without.worth, "{with:?} {without:?}");
    assert!(with.additional * 100 < without.additional * 104, "{with:?} {without:?}");
}
