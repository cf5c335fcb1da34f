//! Permits for cold searchers, whatever the members know of each other.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use bergamot_base::{Name, Position};
use bergamot_declaration::{Service, Warmup};
use bergamot_placement::{
    Application, ColdBound, Constraints, Issuer, PERMIT_VALIDITY, Permits, Placement, Withheld,
};
use bergamot_registry::{Incarnation, State, Upstream};
use proptest::prelude::*;

const SECOND: Duration = Duration::from_secs(1);

/// Longer than an issuer waits after its start, or after it became a seed.
const LONG: Duration = Duration::from_secs(10);

fn searcher(id: &str) -> Incarnation {
    Incarnation { id: id.into(), start_time_ms: None }
}

fn application(ids: &[&str], requests: f64, needed: usize) -> Application {
    Application { searchers: ids.iter().map(|id| (searcher(id), requests)).collect(), needed }
}

/// One of three issuers, and a time at which it has been active for long.
fn issuer() -> (Issuer, Instant) {
    let (mut issuer, start) = (Issuer::default(), Instant::now());
    issuer.set_issuers(Some(3), start);
    (issuer, start + LONG)
}

#[test]
fn an_issuer_grants_its_share_of_the_limit_and_then_nothing_for_a_second() {
    let (mut issuer, now) = issuer();
    // A sixth of 14 requests, since two sets of three seeds may be in use.
    let wanted = application(&["a"], 14.0, 1);
    let granted = |issuer: &mut Issuer, at| issuer.issue(&wanted, at)[0];
    assert!(granted(&mut issuer, now) && granted(&mut issuer, now));
    assert!(!granted(&mut issuer, now));
    assert!(!granted(&mut issuer, now + SECOND));
    assert!(granted(&mut issuer, now + SECOND + PERMIT_VALIDITY));
}

/// A gathered request that gets permits for some of its shards only is not answered, and the
/// permits are lost to others.
#[test]
fn permits_that_do_not_suffice_for_a_request_are_not_issued() {
    let (mut issuer, now) = issuer();
    assert_eq!(issuer.issue(&application(&["a", "b"], 6.0, 2), now), [true, true]);
    assert_eq!(issuer.issue(&application(&["a", "c"], 6.0, 2), now), [false, false]);
    assert_eq!(issuer.issue(&application(&["a", "c"], 6.0, 1), now), [false, true]);
    assert_eq!(issuer.issue(&application(&["d"], 0.0, 1), now), [false], "it tolerates nothing");
}

/// The permits of a former run may still be in use when its successor starts, and members that a
/// new seed replaces may not know of the change.
#[test]
fn an_issuer_waits_after_its_start_and_after_it_became_a_seed() {
    let start = Instant::now();
    let wanted = application(&["a"], 14.0, 1);
    let mut issuer = Issuer::default();
    assert_eq!(issuer.issue(&wanted, start), [false], "it is not known who issues permits");
    issuer.set_issuers(Some(3), start);
    assert_eq!(issuer.issue(&wanted, start + SECOND), [false]);
    assert_eq!(issuer.issue(&wanted, start + SECOND + PERMIT_VALIDITY), [true]);
    let later = start + LONG;
    issuer.set_issuers(None, later);
    assert_eq!(issuer.issue(&wanted, later + LONG), [false]);
    let back = later + 2 * LONG;
    issuer.set_issuers(Some(3), back);
    assert_eq!(issuer.issue(&wanted, back + 2 * SECOND), [false]);
    assert_eq!(issuer.issue(&wanted, back + LONG), [true]);
}

#[test]
fn a_permit_is_for_one_searcher_and_a_short_time() {
    let now = Instant::now();
    let permits = Permits::new(vec![searcher("a")], now);
    assert!(permits.allow(&searcher("a"), now) && !permits.allow(&searcher("b"), now));
    assert!(!permits.allow(&searcher("a"), now + PERMIT_VALIDITY));
    assert!(!Permits::default().allow(&searcher("a"), now));
}

fn upstream(service: &str, warm_at: Instant) -> Upstream {
    Upstream {
        incarnation: searcher("i"),
        service: service.into(),
        address: ([127, 0, 0, 1], 80).into(),
        zone: "z".into(),
        slots: 1,
        state: State::Ready,
        warm_at,
    }
}

/// Searchers of a zone whose evacuation has just ended may have become cold a moment before.
#[test]
fn searchers_count_as_cold_by_their_own_word_and_after_an_evacuation() {
    let now = Instant::now();
    let warmup = Some(Warmup { duration: 3 * SECOND, requests_per_s: 6.0 });
    let services = [("limited", warmup), ("other", None)];
    let services =
        services.map(|(name, warmup)| (Name::from(name), Service { connections: 9, warmup }));
    let mut placement = Placement::new(BTreeMap::new());
    placement.set_services(&services.into());
    let anyone = Constraints::default();
    let check =
        |placement: &Placement, upstream: &Upstream, at| placement.check(upstream, &anyone, at);
    let cold = upstream("limited", now + SECOND);
    assert_eq!(check(&placement, &cold, now), Err(Withheld::Cold));
    assert_eq!(check(&placement, &cold, now + SECOND), Ok(()));
    assert_eq!(check(&placement, &upstream("other", now + SECOND), now), Ok(()), "no limit");
    let permits = Permits::new(vec![searcher("i")], now);
    let permitted = Constraints { permits, ..Constraints::default() };
    assert_eq!(placement.check(&cold, &permitted, now), Ok(()));
    placement.evacuations.begin("z".into(), Position::from(1), now);
    assert_eq!(placement.check(&cold, &permitted, now), Err(Withheld::Evacuated));
    placement.evacuations.end("z", now);
    let warm = upstream("limited", now);
    assert_eq!(check(&placement, &warm, now + SECOND), Err(Withheld::Cold));
    assert_eq!(check(&placement, &warm, now + 3 * SECOND), Ok(()));
    assert_eq!(check(&placement, &upstream("other", now), now), Ok(()));
}

/// What happens in a fleet of many members, of which those named in the settings issue permits.
#[derive(Clone, Debug)]
enum Event {
    /// A member requests a permit from an issuer, by its own view any that it can reach, and sends
    /// its request this many milliseconds after it asked.
    Request { issuer: usize, searcher: u8, used_after: u64 },
    /// An issuer starts anew.
    Restart(usize),
    /// The settings of one member change from one set of seeds to the other.
    Reconfigure(usize),
    /// Time passes.
    Wait(u64),
}

/// Members 0 to 2 are the seeds of one version of the settings, 3 to 5 those of the other.
const ISSUERS: usize = 6;

fn events() -> impl Strategy<Value = Vec<Event>> {
    let validity = PERMIT_VALIDITY.as_millis() as u64;
    let event = prop_oneof![
        20 => (0..ISSUERS, 0..3_u8, 0..validity).prop_map(|(issuer, searcher, used_after)| {
            Event::Request { issuer, searcher, used_after }
        }),
        1 => (0..ISSUERS).prop_map(Event::Restart),
        1 => (0..ISSUERS).prop_map(Event::Reconfigure),
        4 => (0..400_u64).prop_map(Event::Wait),
    ];
    prop::collection::vec(event, 0..400)
}

proptest! {
    /// In no second does a cold searcher receive more requests than its limit, whichever issuers
    /// members ask and whenever they use their permits.
    #[test]
    fn cold_searchers_never_receive_more_than_their_limit(
        events in events(), per_s in 0.5..20.0_f64, overage in 1.0..2.0_f64, slack in 0.0..9.0_f64,
    ) {
        let limit = ColdBound { overage, slack }.requests(per_s);
        let start = Instant::now();
        let mut now = start;
        let is_seed = |member: usize, second: bool| (member >= 3) == second;
        let mut second = [false; ISSUERS];
        let mut issuers: Vec<Issuer> = vec![Issuer::default(); ISSUERS];
        for (member, issuer) in issuers.iter_mut().enumerate() {
            issuer.set_issuers(is_seed(member, false).then_some(3), now);
        }
        let mut arrivals = BTreeMap::<u8, Vec<Duration>>::new();
        for event in events {
            match event {
                Event::Request { issuer, searcher, used_after } => {
                    let wanted = application(&[&searcher.to_string()], limit, 1);
                    if issuers[issuer].issue(&wanted, now)[0] {
                        let at = now + Duration::from_millis(used_after) - start;
                        arrivals.entry(searcher).or_default().push(at);
                    }
                }
                Event::Restart(member) => {
                    issuers[member] = Issuer::default();
                    let is_issuer = is_seed(member, second[member]);
                    issuers[member].set_issuers(is_issuer.then_some(3), now);
                }
                Event::Reconfigure(member) => {
                    second[member] = true;
                    issuers[member].set_issuers(is_seed(member, true).then_some(3), now);
                }
                Event::Wait(ms) => now += Duration::from_millis(ms),
            }
        }
        for times in arrivals.values_mut() {
            times.sort();
            for (first, at) in times.iter().enumerate() {
                let in_second = times[first..].iter().take_while(|other| **other < *at + SECOND);
                let count = in_second.count();
                prop_assert!(count as f64 <= limit, "{count} requests, limit {limit}");
            }
        }
    }
}
