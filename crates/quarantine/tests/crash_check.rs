//! Whether a searcher whose connection was lost has crashed.

use bergamot_quarantine::{CheckStep, CrashCheck};

const CRASHED: CheckStep = CheckStep::Complete { crashed: true };
const RUNNING: CheckStep = CheckStep::Complete { crashed: false };

#[test]
fn a_refused_dial_shows_a_crash() {
    let mut check = CrashCheck::default();
    assert_eq!(check.next_step(), CheckStep::Dial);
    check.record_dial(true);
    assert_eq!(check.next_step(), CRASHED);
}

/// Guards against a crash that is missed because the listener closes after the connections: the
/// query was then sent to one more searcher.
#[test]
fn an_accepted_dial_without_an_answer_is_followed_by_another_dial() {
    let mut check = CrashCheck::default();
    check.record_dial(false);
    assert_eq!(check.next_step(), CheckStep::RequestStatus);
    check.record_status(false);
    assert_eq!(check.next_step(), CheckStep::Dial);
    check.record_dial(true);
    assert_eq!(check.next_step(), CRASHED);
}

#[test]
fn a_searcher_that_answers_runs() {
    let mut check = CrashCheck::default();
    check.record_dial(false);
    check.record_status(true);
    assert_eq!(check.next_step(), RUNNING);
}

/// A searcher at its connection limit accepts dials and closes the connections without an answer.
#[test]
fn a_searcher_that_accepts_dials_without_an_answer_is_not_dialled_forever() {
    let mut check = CrashCheck::default();
    check.record_dial(false);
    check.record_status(false);
    check.record_dial(false);
    assert_eq!(check.next_step(), RUNNING);
}
