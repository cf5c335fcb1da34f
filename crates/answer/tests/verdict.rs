//! The verdict of an answer for every statement of its head.
//!
//! Guards against a status that is taken for what it means elsewhere: "under 500" for a result, 503
//! for "did not run".

use bergamot_answer::{Statement, Verdict};
use proptest::prelude::*;

/// Statuses, and the verdict of a signed answer with them that doesn't deny that the request ran.
const SIGNED: [(&[u16], Verdict); 3] = [
    (&[200, 201, 202, 203, 204, 205, 207, 299], Verdict::Success),
    (
        &[206, 226, 300, 302, 304, 400, 401, 403, 404, 405, 409, 410, 413, 422, 431, 451, 499],
        Verdict::Rejected,
    ),
    (&[408, 421, 429, 500, 502, 503, 504, 599, 600, 999], Verdict::Failed),
];

fn statement(status: u16) -> Statement {
    Statement {
        status,
        is_signed: true,
        denies_run: false,
        is_misdirected: status == 421,
        is_encoded: false,
    }
}

#[test]
fn signed_answers_are_judged_by_the_table() {
    for (statuses, expected) in SIGNED {
        for status in statuses {
            assert_eq!(Verdict::of(statement(*status)), expected, "status {status}");
        }
    }
}

proptest! {
    #[test]
    fn only_what_the_head_states_counts(
        status in 200..1000_u16, is_signed: bool, denies_run: bool, is_encoded: bool,
    ) {
        let head = Statement { is_signed, denies_run, is_encoded, ..statement(status) };
        let verdict = Verdict::of(head);
        let is_misdirected = status == 421 && !is_signed;
        prop_assert_eq!(verdict.did_not_run(), denies_run || is_misdirected);
        prop_assert_eq!(verdict == Verdict::Misdirected, is_misdirected);
        if verdict == Verdict::Success {
            prop_assert!(is_signed && !denies_run && !is_encoded && status < 300);
            prop_assert!(![206, 226].contains(&status), "content that is not complete");
        }
        if verdict == Verdict::Rejected {
            prop_assert!(is_signed && status < 500);
        }
        if head.may_forward() {
            prop_assert!(is_signed && !denies_run && !is_encoded);
            prop_assert!(![408, 421, 429, 503].contains(&status), "a promise for what ran");
        }
        if !is_signed && !verdict.did_not_run() {
            prop_assert_eq!(verdict, Verdict::Unsigned);
        }
    }
}
