//! The records of requests, and how they converge across members.

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
fn fingerprints_depend_on_method_uri_and_body() {
    let same = Fingerprint::of("GET", "/a?b", b"c");
    assert_eq!(same, Fingerprint::of("GET", "/a?b", b"c"));
    for (method, uri, body) in
        [("POST", "/a?b", "c"), ("GET", "/a?d", "c"), ("GET", "/a?b", "d"), ("GET", "/a?bc", "")]
    {
        assert_ne!(same, Fingerprint::of(method, uri, body.as_bytes()));
    }
}

/// Guards against condemning popular requests when a rack fails: many of their fan-outs are in
/// flight there.
#[test]
fn crashes_during_fan_outs_never_condemn() {
    let (mut table, now) = (table(), Instant::now());
    for id in 0..100 {
        table.record_strike(now, REQUEST, fan_out(id), &service());
    }
    assert_eq!(table.standing(REQUEST, now), Standing::Suspect(vec![service()]));
}

#[test]
fn crashes_during_two_trials_condemn() {
    let (mut table, now) = (table(), Instant::now());
    table.record_strike(now, REQUEST, fan_out(1), &service());
    table.record_strike(now, REQUEST, trial(2), &service());
    assert!(!is_condemned(&table, now));
    table.record_strike(now, REQUEST, trial(3), &service());
    assert!(is_condemned(&table, now));
    assert!(!table.grant_trial(now, REQUEST));
}

#[test]
fn an_answer_clears_strikes_and_later_crashes_count_from_zero() {
    let (mut table, now) = (table(), Instant::now());
    for strike in [fan_out(1), trial(2), trial(3)] {
        table.record_strike(now, REQUEST, strike, &service());
    }
    assert!(
        table.record_answer(REQUEST, &[service()]) && !table.record_answer(REQUEST, &[service()])
    );
    assert_eq!(table.standing(REQUEST, now), Standing::Trusted);
    table.record_strike(now, REQUEST, trial(4), &service());
    assert_eq!(table.standing(REQUEST, now), Standing::Suspect(vec![service()]));
}

/// A request may crash the searchers of one shard and not those of another.
#[test]
fn an_answer_of_an_unaffected_service_clears_nothing() {
    let (mut table, now) = (table(), Instant::now());
    table.record_strike(now, REQUEST, fan_out(1), &service());
    assert!(!table.record_answer(REQUEST, &[Name::from("b")]));
    assert_eq!(table.standing(REQUEST, now), Standing::Suspect(vec![service()]));
}

#[test]
fn one_trial_is_granted_at_a_time() {
    let (mut table, now) = (table(), Instant::now());
    // The member that asks may know of a strike that has not been reported here yet.
    assert!(table.grant_trial(now, REQUEST) && !table.grant_trial(now, REQUEST));
    table.record_strike(now, REQUEST, trial(1), &service());
    assert!(table.grant_trial(now, REQUEST) && !table.grant_trial(now, REQUEST));
    // The result of that one never arrives.
    assert!(table.grant_trial(now + Settings::default().trial_timeout, REQUEST));
}

#[test]
fn a_report_of_an_earlier_crash_does_not_end_the_trial_in_flight() {
    let (mut here, mut there, now) = (table(), table(), Instant::now());
    there.record_strike(now, REQUEST, fan_out(1), &service());
    assert!(here.grant_trial(now, REQUEST));
    assert!(here.merge(now, &there.report(REQUEST, now).expect("it is known")));
    assert!(!here.grant_trial(now, REQUEST));
}

#[test]
fn records_are_bounded_and_those_with_the_fewest_strikes_are_evicted_first() {
    let settings = Settings { max_records: 3, ..Settings::default() };
    let (mut table, now) = (Table::new(settings), Instant::now());
    for strike in [fan_out(1), trial(2), trial(3)] {
        table.record_strike(now, REQUEST, strike, &service());
    }
    for number in 100..200 {
        let later = now + Duration::from_millis(number);
        table.record_strike(later, Fingerprint(number), fan_out(number), &service());
    }
    assert_eq!(table.reports(now).len(), 3);
    assert!(is_condemned(&table, now));
}

#[test]
fn expired_records_are_removed_and_not_merged_again() {
    let (mut table, now) = (table(), Instant::now());
    table.record_strike(now, REQUEST, fan_out(1), &service());
    let report = table.report(REQUEST, now).expect("it is known");
    let retention = Settings::default().retention;
    assert!(!table.expire(now + retention / 2));
    assert!(table.expire(now + retention) && table.is_empty());
    assert!(!table.merge(now + retention, &Report { age: retention, ..report.clone() }));
    // An age that reaches back further than the clock.
    assert!(!table.merge(now, &Report { age: Duration::MAX, ..report }));
    assert!(table.is_empty());
}

/// Reports that another member can send about a few requests, forged ones included.
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

fn merge_all<'a>(table: &mut Table, reports: impl IntoIterator<Item = &'a Report>, now: Instant) {
    for report in reports {
        table.merge(now, report);
    }
}

proptest! {
    /// Members converge whatever the order of reports and whether they are duplicated.
    #[test]
    fn members_with_the_same_reports_converge(
        (sent, shuffled) in reports().prop_flat_map(|sent| (Just(sent.clone()), Just(sent).prop_shuffle()))
    ) {
        let now = Instant::now() + Duration::from_secs(1);
        let (mut one, mut other) = (table(), table());
        merge_all(&mut one, &sent, now);
        merge_all(&mut other, shuffled.iter().chain(&sent), now);
        prop_assert_eq!(one.hash(), other.hash());
        // The reports of one member bring any other to the same state.
        let mut third = table();
        merge_all(&mut third, &one.reports(now), now);
        prop_assert_eq!(one.hash(), third.hash());
    }

    /// The strikes per request are bounded, and uncleared strikes of trials are not evicted.
    #[test]
    fn strikes_of_one_request_are_bounded(ids in prop::collection::btree_set(10..1000_u64, 0..64)) {
        let (mut table, now) = (table(), Instant::now());
        for strike in [trial(1), trial(2), trial(3)] {
            table.record_strike(now, REQUEST, strike, &service());
        }
        for id in ids {
            table.record_strike(now, REQUEST, fan_out(id), &service());
        }
        prop_assert!(is_condemned(&table, now));
        prop_assert!(table.report(REQUEST, now).expect("it is known").strikes.len() <= 8);
    }
}
