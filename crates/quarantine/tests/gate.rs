//! Further attempts of a request after a searcher crashed while running it.

use bergamot_quarantine::{Gate, Outcome, Pass};

#[test]
fn attempts_are_unrestricted_while_no_searcher_has_crashed() {
    let mut gate = Gate::default();
    assert_eq!((gate.pass(), gate.pass(), gate.is_free()), (Pass::Free, Pass::Free, true));
}

#[test]
fn after_a_crash_one_trial_is_in_flight_at_a_time() {
    let mut gate = Gate::default();
    gate.hold();
    assert_eq!((gate.pass(), gate.pass(), gate.is_free()), (Pass::Trial, Pass::Wait, false));
    gate.settle(Outcome::Open);
    assert_eq!((gate.pass(), gate.pass()), (Pass::Trial, Pass::Wait));
}

#[test]
fn an_answered_trial_lifts_the_restriction() {
    let mut gate = Gate::default();
    gate.hold();
    assert_eq!(gate.pass(), Pass::Trial);
    gate.settle(Outcome::Answered);
    // Late reports of earlier crashes are ignored.
    gate.hold();
    assert_eq!((gate.pass(), gate.is_free()), (Pass::Free, true));
}

#[test]
fn a_crash_during_the_trial_denies_further_attempts() {
    let mut gate = Gate::default();
    gate.hold();
    assert_eq!(gate.pass(), Pass::Trial);
    gate.settle(Outcome::Ended);
    assert_eq!((gate.pass(), gate.pass()), (Pass::Denied, Pass::Denied));
}
