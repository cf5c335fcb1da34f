//! Further attempts of one caller's request, once a searcher has ended under it.

use bergamot_quarantine::{Gate, Outcome, Pass};

#[test]
fn nothing_is_held_back_while_no_searcher_has_ended() {
    let mut gate = Gate::default();
    assert_eq!((gate.pass(), gate.pass(), gate.is_free()), (Pass::Free, Pass::Free, true));
}

#[test]
fn after_an_end_one_attempt_at_a_time_shows_whether_the_request_does_harm() {
    let mut gate = Gate::default();
    gate.hold();
    assert_eq!((gate.pass(), gate.pass(), gate.is_free()), (Pass::Trial, Pass::Wait, false));
    gate.settle(Outcome::Open);
    assert_eq!((gate.pass(), gate.pass()), (Pass::Trial, Pass::Wait));
}

#[test]
fn an_answer_lets_all_further_attempts_pass() {
    let mut gate = Gate::default();
    gate.hold();
    assert_eq!(gate.pass(), Pass::Trial);
    gate.settle(Outcome::Answered);
    // Ends of before that are heard of late don't count any more.
    gate.hold();
    assert_eq!((gate.pass(), gate.is_free()), (Pass::Free, true));
}

#[test]
fn a_second_end_stops_the_request() {
    let mut gate = Gate::default();
    gate.hold();
    assert_eq!(gate.pass(), Pass::Trial);
    gate.settle(Outcome::Ended);
    assert_eq!((gate.pass(), gate.pass()), (Pass::Denied, Pass::Denied));
}
