//! What is remembered of a request, and how members come to agree on it.

use std::time::{Duration, Instant};

use bergamot_base::Name;
use bergamot_quarantine::{Fingerprint, Report, Settings, Standing, Strike, Table};
use proptest::prelude::*;

const REQUEST: Fingerprint = Fingerprint(7);

fn fan_out(id: u64) -> Strike {
    Strike { id, trial: false, searcher: 0, cleared: false }
}

fn trial(id: u64) -> Strike {
    Strike { id, trial: true, searcher: id, cleared: false }
}

fn service() -> Name {
    Name::from("a")
}

fn table() -> Table {
    Table::new(Settings::default())
}

fn is_condemned(table: &Table, now: Instant) -> bool {
    matches!(table.standing(REQUEST, now), Standing::Condemned(_))
}

#[test]
fn requests_are_told_apart_by_all_that_is_asked_for() {
    let same = Fingerprint::of("GET", "/a?b", b"c");
    assert_eq!(same, Fingerprint::of("GET", "/a?b", b"c"));
    for (method, uri, body) in
        [("POST", "/a?b", "c"), ("GET", "/a?d", "c"), ("GET", "/a?b", "d"), ("GET", "/a?bc", "")]
    {
        assert_ne!(same, Fingerprint::of(method, uri, body.as_bytes()));
    }
}

/// A rack that crashes takes along what was in flight there, popular requests many times.
#[test]
fn ends_under_requests_that_were_with_many_never_condemn() {
    let (mut table, now) = (table(), Instant::now());
    for id in 0..100 {
        table.accuse(now, REQUEST, fan_out(id), &service());
    }
    assert_eq!(table.standing(REQUEST, now), Standing::Suspect(vec![service()]));
}

#[test]
fn ends_under_two_trials_condemn() {
    let (mut table, now) = (table(), Instant::now());
    table.accuse(now, REQUEST, fan_out(1), &service());
    table.accuse(now, REQUEST, trial(2), &service());
    assert!(!is_condemned(&table, now));
    table.accuse(now, REQUEST, trial(3), &service());
    assert!(is_condemned(&table, now));
    assert!(!table.grant(now, REQUEST));
}

#[test]
fn an_answer_clears_and_later_ends_count_anew() {
    let (mut table, now) = (table(), Instant::now());
    for strike in [fan_out(1), trial(2), trial(3)] {
        table.accuse(now, REQUEST, strike, &service());
    }
    assert!(table.acquit(REQUEST, &[service()]) && !table.acquit(REQUEST, &[service()]));
    assert_eq!(table.standing(REQUEST, now), Standing::Trusted);
    table.accuse(now, REQUEST, trial(4), &service());
    assert_eq!(table.standing(REQUEST, now), Standing::Suspect(vec![service()]));
}

/// A request may harm the searchers of one shard and not those of another.
#[test]
fn the_answer_of_a_service_that_was_not_harmed_clears_nothing() {
    let (mut table, now) = (table(), Instant::now());
    table.accuse(now, REQUEST, fan_out(1), &service());
    assert!(!table.acquit(REQUEST, &[Name::from("b")]));
    assert_eq!(table.standing(REQUEST, now), Standing::Suspect(vec![service()]));
}

#[test]
fn one_trial_is_granted_at_a_time() {
    let (mut table, now) = (table(), Instant::now());
    // Whoever asks may know of a strike that this member has not heard of.
    assert!(table.grant(now, REQUEST) && !table.grant(now, REQUEST));
    table.accuse(now, REQUEST, trial(1), &service());
    assert!(table.grant(now, REQUEST) && !table.grant(now, REQUEST));
    // Nothing is heard of that one.
    assert!(table.grant(now + Settings::default().trial, REQUEST));
}

#[test]
fn news_of_an_earlier_end_leaves_the_trial_under_way() {
    let (mut here, mut there, now) = (table(), table(), Instant::now());
    there.accuse(now, REQUEST, fan_out(1), &service());
    assert!(here.grant(now, REQUEST));
    assert!(here.merge(now, &there.report(REQUEST, now).expect("it is known")));
    assert!(!here.grant(now, REQUEST));
}

#[test]
fn what_is_remembered_is_bounded_and_those_who_were_cleared_give_way_first() {
    let settings = Settings { most: 3, ..Settings::default() };
    let (mut table, now) = (Table::new(settings), Instant::now());
    for strike in [fan_out(1), trial(2), trial(3)] {
        table.accuse(now, REQUEST, strike, &service());
    }
    for number in 100..200 {
        let later = now + Duration::from_millis(number);
        table.accuse(later, Fingerprint(number), fan_out(number), &service());
    }
    assert_eq!(table.reports(now).len(), 3);
    assert!(is_condemned(&table, now));
}

#[test]
fn what_is_too_old_is_forgotten_and_not_taken_in_again() {
    let (mut table, now) = (table(), Instant::now());
    table.accuse(now, REQUEST, fan_out(1), &service());
    let report = table.report(REQUEST, now).expect("it is known");
    let kept = Settings::default().kept;
    assert!(!table.expire(now + kept / 2) && table.expire(now + kept) && table.is_empty());
    assert!(!table.merge(now + kept, &Report { age: kept, ..report.clone() }));
    // An age that no member can have lived to see.
    assert!(!table.merge(now, &Report { age: Duration::MAX, ..report }));
    assert!(table.is_empty());
}

/// What another member can report of a few requests, forged reports included.
fn reports() -> impl Strategy<Value = Vec<Report>> {
    let strike = (0..4_u64, any::<bool>(), any::<bool>()).prop_map(|(id, trial, cleared)| Strike {
        id,
        trial,
        searcher: id,
        cleared,
    });
    let report = (0..3_u64, prop::collection::vec(strike, 0..4), 0..100_u64).prop_map(
        |(request, strikes, age)| Report {
            fingerprint: Fingerprint(request),
            strikes,
            services: vec![Name::from("a")],
            age: Duration::from_millis(age),
        },
    );
    prop::collection::vec(report, 0..12)
}

fn tell<'a>(table: &mut Table, reports: impl IntoIterator<Item = &'a Report>, now: Instant) {
    for report in reports {
        table.merge(now, report);
    }
}

proptest! {
    /// In whatever order reports arrive, and however often, members agree in the end.
    #[test]
    fn members_that_heard_the_same_agree(
        (said, shuffled) in reports().prop_flat_map(|said| (Just(said.clone()), Just(said).prop_shuffle()))
    ) {
        let now = Instant::now() + Duration::from_secs(1);
        let (mut one, mut other) = (table(), table());
        tell(&mut one, &said, now);
        tell(&mut other, shuffled.iter().chain(&said), now);
        prop_assert_eq!(one.hash(), other.hash());
        // Whoever tells all that it holds brings any other member to the same.
        let mut third = table();
        tell(&mut third, &one.reports(now), now);
        prop_assert_eq!(one.hash(), third.hash());
    }

    /// However many strikes are reported, few are kept, and no trial that stands gives way.
    #[test]
    fn strikes_of_one_request_are_bounded(ids in prop::collection::btree_set(10..1000_u64, 0..64)) {
        let (mut table, now) = (table(), Instant::now());
        for strike in [trial(1), trial(2), trial(3)] {
            table.accuse(now, REQUEST, strike, &service());
        }
        for id in ids {
            table.accuse(now, REQUEST, fan_out(id), &service());
        }
        prop_assert!(is_condemned(&table, now));
        prop_assert!(table.report(REQUEST, now).expect("it is known").strikes.len() <= 8);
    }
}
