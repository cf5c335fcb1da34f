//! The simulation itself: it is deterministic, and its pauses, crashes and state losses have the
//! effects that they should.

use std::time::Duration;

use bergamot_model::{Crash, Load, Pauses, run};

const MS: Duration = Duration::from_millis(1);

#[test]
fn the_same_load_gives_the_same_report() {
    let load = Load { duration: MS * 3000, ..Load::default() };
    assert_eq!(run(&load).to_string(), run(&load).to_string());
    let other = Load { seed: 2, ..load.clone() };
    assert_ne!(run(&load).to_string(), run(&other).to_string());
}

/// Without pauses hardly any response is late or partial. With searchers paused for a
/// twenty-fourth of the time, more than a tenth of the strict responses are partial.
#[test]
fn pauses_cause_most_partial_responses() {
    let unpaused = run(&Load { pauses: Pauses::Never, ..Load::default() });
    assert!(unpaused.worth() > 0.999 && unpaused.paused == 0, "{unpaused}");
    let paused = run(&Load::default());
    let strict = &paused.outcomes[1];
    assert!(strict.partial * 10 > strict.offered, "{paused}");
}

#[test]
fn crashed_searchers_soon_receive_few_attempts() {
    let crash = Crash { percent: 30, at: MS * 10_000, duration: MS * 3000 };
    let load = Load { crash: Some(crash), duration: MS * 20_000, ..Load::default() };
    let (with, without) = (run(&load), run(&Load { crash: None, ..load.clone() }));
    assert!(with.turned_away > without.turned_away + 100, "{with}");
    // Sending a third of all attempts of these three seconds to them would give 1,900.
    assert!(with.turned_away < 1900, "{with}");
}

#[test]
fn members_that_lose_their_state_keep_serving() {
    let load = Load { state_loss_at: Some(MS * 5000), measure_from: MS * 5000, ..Load::default() };
    let report = run(&load);
    assert!(report.worth() > 0.95, "{report}");
}
