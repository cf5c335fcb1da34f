//! When a searcher is expected to be silent: what agrees, what doesn't, and for how long.

use std::time::{Duration, Instant};

use bergamot_base::Seed;
use bergamot_dispatch::{Outlook, Rhythm, Silences};
use bergamot_policy::Foresight;
use rand::RngExt;

const MS: Duration = Duration::from_millis(1);

/// The work that a request is taken to need.
const WORK: Duration = Duration::from_millis(20);

/// Shows a silence of 100 ms at each moment, which are milliseconds.
fn see(moments: &[u32], start: Instant, rhythm: &Rhythm) -> Silences {
    let mut silences = Silences::default();
    for moment in moments {
        let from = start + MS * *moment;
        silences.silent(from, from + MS * 100, rhythm, &Foresight::default());
    }
    silences
}

/// A rhythm of 6 s, as ten other searchers have shown it.
fn learned(start: Instant) -> Rhythm {
    let rhythm = Rhythm::default();
    for phase in 0..10 {
        let first = phase * 571;
        let _shown = see(&[first, first + 6020 - phase * 4, first + 11_990], start, &rhythm);
    }
    rhythm
}

#[test]
fn silences_that_agree_make_a_rhythm_and_others_none() {
    let start = Instant::now();
    let period = learned(start).period().expect("they agree");
    assert!(period.abs_diff(MS * 6000) < MS * 100, "{period:?}");
    let mut rng = Seed(1).generator("silences");
    let random = Rhythm::default();
    for _ in 0..40 {
        let mut moment = 0;
        let mut moments = Vec::new();
        for _ in 0..5 {
            moment += (-6000.0 * rng.random_range(1e-6..1.0_f64).ln()) as u32 + 300;
            moments.push(moment);
        }
        let _shown = see(&moments, start, &random);
    }
    assert_eq!(random.period(), None);
}

#[test]
fn a_searcher_is_expected_to_be_silent_again_after_a_period_and_for_some_periods() {
    let (start, policy) = (Instant::now(), Foresight::default());
    let rhythm = learned(start);
    let silences = see(&[1000, 7000], start, &rhythm);
    let wait = |at: u32| silences.wait(start + MS * at, WORK, &rhythm, &policy);
    assert!(wait(13_000) > MS * 80, "{:?}", wait(13_000));
    // What is sent shortly before it would be caught by it.
    assert!(wait(12_960) > MS * 80, "{:?}", wait(12_960));
    assert_eq!(
        (wait(10_000), wait(12_500), wait(13_600)),
        (Duration::ZERO, Duration::ZERO, Duration::ZERO)
    );
    assert!(wait(25_000) > MS * 40);
    assert_eq!(wait(49_000), Duration::ZERO);
}

#[test]
fn an_answer_in_the_midst_of_an_expected_silence_takes_it_back() {
    let (start, policy) = (Instant::now(), Foresight::default());
    let rhythm = learned(start);
    let mut silences = see(&[1000, 7000], start, &rhythm);
    let at = start + MS * 13_040;
    silences.worked(at, at + WORK, &rhythm, &policy);
    assert_eq!(silences.wait(start + MS * 13_000, WORK, &rhythm, &policy), Duration::ZERO);
}

#[test]
fn nothing_is_expected_of_an_outage_nor_without_the_mechanism() {
    let (start, policy) = (Instant::now(), Foresight::default());
    let rhythm = learned(start);
    let mut outage = Silences::default();
    outage.silent(start + MS * 1000, start + MS * 3000, &rhythm, &policy);
    assert_eq!(outage.wait(start + MS * 7100, WORK, &rhythm, &policy), Duration::ZERO);
    let silences = see(&[1000, 7000], start, &rhythm);
    let off = Foresight { on: false, ..policy };
    assert_eq!(silences.wait(start + MS * 13_000, WORK, &rhythm, &off), Duration::ZERO);
}

/// A member beside the searcher tells what it expects; it counts until the silence is over.
#[test]
fn a_silence_that_another_member_expects_counts_too() {
    let now = Instant::now();
    let outlook = || {
        let mut outlook = Outlook::new(WORK, std::sync::Arc::default(), Rhythm::default());
        outlook.send(now);
        outlook.answer(now, now + WORK);
        outlook
    };
    let (mut told, plain) = (outlook(), outlook());
    told.tell(now + MS * 500, now + MS * 750);
    let expected = |outlook: &Outlook, at: u32| outlook.expected(now + MS * at, 2, false);
    for at in [100, 400, 800] {
        assert!((expected(&told, at) - expected(&plain, at)).abs() < 0.001, "{at}");
    }
    assert!(expected(&told, 600) > expected(&plain, 600) + 149.0);
    assert!(expected(&told, 490) > expected(&plain, 490) + 249.0);
}
