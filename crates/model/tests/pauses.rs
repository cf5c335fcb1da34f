//! Patterns of pauses: what passing over silent searchers is worth, and that it costs nothing
//! where there is no rhythm.

use std::time::Duration;

use bergamot_model::{Load, Pauses, Report, run};
use bergamot_policy::Policy;

const MS: Duration = Duration::from_millis(1);

const SEEDS: [u64; 4] = [1, 2, 3, 4];

/// What runs over all seeds show together.
#[derive(Debug)]
struct Sum {
    worth: f64,
    paused: usize,
    additional: usize,
    /// The mean of the median times of the strict route, in milliseconds.
    median: f64,
}

impl Sum {
    fn of(reports: &[Report]) -> Self {
        let mean = |value: &dyn Fn(&Report) -> f64| {
            reports.iter().map(value).sum::<f64>() / reports.len() as f64
        };
        Self {
            worth: mean(&Report::worth),
            paused: reports.iter().map(|report| report.paused).sum(),
            additional: reports.iter().map(|report| report.additional).sum(),
            median: mean(&|report| report.outcomes[1].percentile(50.0).as_secs_f64() * 1e3),
        }
    }
}

/// Plays pauses with foresight and without; the first fifteen seconds are for learning.
fn play(pauses: Pauses) -> (Sum, Sum) {
    let sum = |names: &[&str]| {
        let policy = Policy::default().without(names).expect("the names are in the table");
        let load = |seed| Load {
            seed,
            pauses,
            policy,
            lasts: MS * 35_000,
            counts_from: MS * 15_000,
            ..Load::default()
        };
        Sum::of(&SEEDS.map(|seed| run(&load(seed))))
    };
    (sum(&[]), sum(&["foresight"]))
}

/// The pattern: each searcher pauses for 250 ms in each 6 s, at a phase of its own. Of 20 shards
/// asked, the first choice of one is paused in 57 of 100 requests. Found out by each member anew,
/// a pause is met by two requests and more; the median of the strict route is that of hedged
/// requests (54 ms), not that of the searchers' work (28 ms without pauses).
#[test]
fn searchers_that_pause_in_a_rhythm_are_passed_over() {
    let (with, without) = play(Pauses::Recurring { every: MS * 6000, length: MS * 250 });
    assert!(with.paused * 100 < without.paused * 85, "{with:?} {without:?}");
    assert!(with.additional * 100 < without.additional * 92, "{with:?} {without:?}");
    assert!(with.median + 4.0 < without.median, "{with:?} {without:?}");
    assert!(with.worth > without.worth, "{with:?} {without:?}");
}

/// Other periods and lengths are learned alike.
#[test]
fn the_period_and_the_length_are_learned() {
    let (with, without) = play(Pauses::Recurring { every: MS * 3600, length: MS * 150 });
    assert!(with.paused * 100 < without.paused * 92, "{with:?} {without:?}");
    assert!(with.worth + 0.001 > without.worth, "{with:?} {without:?}");
}

/// The pattern: pauses come as often, at moments that can't be foreseen. Nothing may be worse for
/// it, beyond what the draws make of such a run.
#[test]
fn pauses_at_random_are_not_foreseen() {
    let (with, without) = play(Pauses::Random { every: MS * 6000, length: MS * 250 });
    assert!(with.worth + 0.002 > without.worth, "{with:?} {without:?}");
    assert!(with.additional * 100 < without.additional * 104, "{with:?} {without:?}");
}

#[test]
fn searchers_that_never_pause_are_asked_as_before() {
    let (with, without) = play(Pauses::Never);
    assert!(with.worth + 0.0005 > without.worth, "{with:?} {without:?}");
    assert!(with.additional * 100 < without.additional * 104, "{with:?} {without:?}");
}
