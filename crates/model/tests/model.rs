//! The model itself: the same load gives the same report, and its searchers do what is said.

use std::time::Duration;

use bergamot_model::{Crash, Load, Pauses, run};

const MS: Duration = Duration::from_millis(1);

#[test]
fn the_same_load_gives_the_same_report() {
    let load = Load { lasts: MS * 3000, ..Load::default() };
    assert_eq!(run(&load).to_string(), run(&load).to_string());
    let other = Load { seed: 2, ..load.clone() };
    assert_ne!(run(&load).to_string(), run(&other).to_string());
}

/// Without pauses hardly anything is late or left out; pauses of a twenty-fourth of the time
/// make a tenth of the strict answers lack shards.
#[test]
fn pauses_are_what_calm_days_lose() {
    let calm = run(&Load { pauses: Pauses::Never, ..Load::default() });
    assert!(calm.worth() > 0.999 && calm.paused == 0, "{calm}");
    let paused = run(&Load::default());
    let strict = &paused.outcomes[1];
    assert!(strict.partial * 10 > strict.offered, "{paused}");
}

#[test]
fn crashed_searchers_turn_requests_away_and_are_hardly_asked_any_more() {
    let crash = Crash { percent: 30, at: MS * 10_000, lasts: MS * 3000 };
    let load = Load { crash: Some(crash), lasts: MS * 20_000, ..Load::default() };
    let (with, without) = (run(&load), run(&Load { crash: None, ..load.clone() }));
    assert!(with.turned_away > without.turned_away + 100, "{with}");
    // A third of all attempts in these three seconds would be 1,900.
    assert!(with.turned_away < 1900, "{with}");
}

#[test]
fn members_that_forget_serve_on() {
    let load = Load { forgets: Some(MS * 5000), counts_from: MS * 5000, ..Load::default() };
    let report = run(&load);
    assert!(report.worth() > 0.95, "{report}");
}
