//! Callers get ready instances that are close to the searchers.

use std::collections::BTreeMap;

use bergamot_base::Name;
use bergamot_peers::{Caller, InstanceLocation, select_instances};

fn location(instance: u8, zone: &str, region: &str) -> InstanceLocation<u8> {
    InstanceLocation { instance, zone: zone.into(), region: region.into() }
}

fn fleet() -> Vec<InstanceLocation<u8>> {
    vec![
        location(1, "a", "east"),
        location(2, "a", "east"),
        location(3, "b", "west"),
        location(4, "b", "west"),
        location(5, "c", "north"),
        location(6, "c", "north"),
    ]
}

fn covered(counts: &[(&str, usize)]) -> BTreeMap<Name, usize> {
    counts.iter().map(|(region, count)| (Name::from(*region), *count)).collect()
}

const fn caller(zone: &'static str, region: &'static str) -> Caller<'static> {
    Caller { zone, region }
}

#[test]
fn callers_get_instances_of_their_region_if_it_has_searchers() {
    let covered = covered(&[("east", 20), ("west", 20), ("north", 2)]);
    assert_eq!(select_instances(caller("a", "east"), &fleet(), &covered), [1, 2]);
    assert_eq!(select_instances(caller("b", "west"), &fleet(), &covered), [3, 4]);
}

#[test]
fn callers_of_a_region_without_searchers_get_instances_of_the_others() {
    let covered = covered(&[("east", 20), ("west", 20), ("north", 2)]);
    assert_eq!(select_instances(caller("c", "north"), &fleet(), &covered), [1, 2, 3, 4]);
}

#[test]
fn callers_stay_in_their_region_until_its_last_instance_is_lost() {
    let covered = covered(&[("east", 20), ("west", 20)]);
    let ready: Vec<_> = fleet().into_iter().filter(|location| location.instance != 2).collect();
    assert_eq!(select_instances(caller("a", "east"), &ready, &covered), [1]);
    let ready: Vec<_> = fleet().into_iter().filter(|location| location.instance > 2).collect();
    assert_eq!(select_instances(caller("a", "east"), &ready, &covered), [3, 4]);
}

#[test]
fn any_ready_instance_is_selected_if_no_searchers_are_known() {
    let ready = vec![location(5, "c", "north")];
    assert_eq!(select_instances(caller("a", "east"), &ready, &BTreeMap::new()), [5]);
}
