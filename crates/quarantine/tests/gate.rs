//! Further attempts of a request after a searcher crashed while running it.

use bergamot_quarantine::{Gate, Permit, TrialOutcome};

#[test]
fn attempts_are_unrestricted_while_no_searcher_has_crashed() {
    let mut gate = Gate::default();
    assert_eq!(
        (gate.acquire(), gate.acquire(), gate.is_unrestricted()),
        (Permit::Unrestricted, Permit::Unrestricted, true)
    );
}

#[test]
fn after_a_crash_one_trial_is_in_flight_at_a_time() {
    let mut gate = Gate::default();
    gate.record_crash();
    assert_eq!(
        (gate.acquire(), gate.acquire(), gate.is_unrestricted()),
        (Permit::Trial, Permit::Wait, false)
    );
    gate.finish_trial(TrialOutcome::Inconclusive);
    assert_eq!((gate.acquire(), gate.acquire()), (Permit::Trial, Permit::Wait));
}

#[test]
fn an_answered_trial_lifts_the_restriction() {
    let mut gate = Gate::default();
    gate.record_crash();
    assert_eq!(gate.acquire(), Permit::Trial);
    gate.finish_trial(TrialOutcome::Answered);
    // Late reports of earlier crashes are ignored.
    gate.record_crash();
    assert_eq!((gate.acquire(), gate.is_unrestricted()), (Permit::Unrestricted, true));
}

#[test]
fn a_crash_during_the_trial_denies_further_attempts() {
    let mut gate = Gate::default();
    gate.record_crash();
    assert_eq!(gate.acquire(), Permit::Trial);
    gate.finish_trial(TrialOutcome::Crashed);
    assert_eq!((gate.acquire(), gate.acquire()), (Permit::Denied, Permit::Denied));
}
