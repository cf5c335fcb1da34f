//! Callers get ready instances that are close to the searchers.

use std::collections::BTreeMap;
use std::sync::LazyLock;

use bergamot_base::Name;
use bergamot_declaration::Residency;
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

fn caller(zone: &'static str, region: &'static str) -> Caller<'static> {
    static ANYWHERE: LazyLock<Residency> = LazyLock::new(Residency::default);
    Caller { zone, region, residency: &ANYWHERE }
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

/// A caller whose requests may be processed only in some regions is directed neither to a machine
/// in a third region nor, while those regions are lost, to none.
#[test]
fn callers_of_a_bounded_host_get_instances_in_its_regions_or_their_own() {
    let covered = covered(&[("east", 20), ("west", 20), ("north", 2)]);
    let residency = Residency::within(["east".into()]);
    let select = |zone, region, ready: &[InstanceLocation<u8>]| {
        select_instances(Caller { zone, region, residency: &residency }, ready, &covered)
    };
    assert_eq!(select("c", "north", &fleet()), [1, 2], "not those of the west");
    assert_eq!(select("b", "west", &fleet()), [3, 4]);
    let without_east = &fleet()[2..];
    assert_eq!(select("c", "north", without_east), [5, 6], "those of its own region");
    assert_eq!(select("d", "south", without_east), [3, 4], "rather than none");
}
