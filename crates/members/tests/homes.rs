//! Property tests of the placement of cells.

use std::collections::BTreeSet;
use std::net::Ipv4Addr;

use bergamot_base::Name;
use bergamot_config::Document;
use bergamot_members::{Endpoint, Homes, Record, Role, State};
use proptest::prelude::*;

/// Returns a document with the given number of instances, shards of two replicas each, and regions.
fn document(instances: usize, shards: usize, regions: usize) -> Document {
    let places: Vec<_> = (0..regions)
        .map(|r| serde_json::json!({"zone": format!("z{r}"), "region": format!("r{r}")}))
        .collect();
    let address = |shard: usize, replica: usize| format!("127.0.{replica}.1:{}", 1000 + shard);
    let replica =
        |shard, replica| serde_json::json!({"address": address(shard, replica), "zone": "z0"});
    let shards: Vec<_> = (0..shards)
        .map(|shard| serde_json::json!({"replicas": [replica(shard, 0), replica(shard, 1)]}))
        .collect();
    let text = serde_json::json!({
        "revision": 1, "instances": instances, "places": places,
        "workspaces": [{"name": "w", "services": [{
            "name": "s", "prefer": "time", "class": "bulk", "epoch": 1, "deadline_ms": 50,
            "slots": 2, "connections": 25, "shards": shards}]}]
    });
    Document::parse(text.to_string().as_bytes()).expect("the document is valid")
}

fn gathers(count: usize, zones: usize) -> Vec<Record> {
    let gather = |number: usize| Record {
        endpoint: Endpoint { ip: Ipv4Addr::from(0x0a00_0000 + number as u32), role: Role::Gather },
        zone: Name::from(format!("z{}", number % zones)),
        incarnation: 1,
        counter: 0,
        state: State::Alive,
        weight: 0,
        protocol: 0,
    };
    (0..count).map(gather).collect()
}

/// Returns the homes as computed in one part of a partitioned fleet, from which the members of
/// other parts are unreachable.
fn homes_seen_from(document: &Document, members: &[Record], parts: &[usize], part: usize) -> Homes {
    let seen: Vec<Record> = members
        .iter()
        .zip(parts)
        .map(|(member, theirs)| {
            let state = if *theirs == part { State::Alive } else { State::Unreachable };
            Record { state, ..member.clone() }
        })
        .collect();
    Homes::compute(&document.layout, document.regions(), seen.iter())
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(64))]

    #[test]
    fn homes_are_distinct_bounded_and_independent_of_member_order(
        count in 1_usize..60,
        shards in 1_usize..120,
        zones in 1_usize..6,
    ) {
        let document = document(count, shards, 3);
        let mut members = gathers(count, zones);
        let homes = Homes::compute(&document.layout, 3, members.iter());
        let cap = (document.layout.cells.len() * document.layout.homes).div_ceil(count);
        for member in &members {
            prop_assert!(homes.cells_of(member.endpoint).len() <= cap);
        }
        for (_, of) in homes.iter() {
            let distinct: BTreeSet<_> = of.iter().collect();
            prop_assert_eq!(distinct.len(), of.len());
            prop_assert!(!of.is_empty());
            prop_assert!(of.len() <= document.layout.homes);
        }
        members.reverse();
        prop_assert_eq!(homes, Homes::compute(&document.layout, 3, members.iter()));
    }

    #[test]
    fn a_partitioned_fleet_has_at_most_twice_the_homes_and_serves_every_cell(
        count in 4_usize..60,
        parts in proptest::collection::vec(0_usize..3, 60),
    ) {
        let document = document(count, 60, 3);
        let members = gathers(count, 3);
        let parts = &parts[..count];
        let views: Vec<_> = (0..3).map(|part| homes_seen_from(&document, &members, parts, part)).collect();
        for cell in document.layout.cells.keys() {
            let mut holding = BTreeSet::new();
            for (part, view) in views.iter().enumerate().filter(|(part, _)| parts.contains(part)) {
                let own = view.of(cell).iter().filter(|home| {
                    members.iter().zip(parts).any(|(m, p)| m.endpoint == **home && *p == part)
                });
                let own: Vec<_> = own.copied().collect();
                prop_assert!(!own.is_empty(), "part {part} serves {cell}");
                holding.extend(own);
            }
            let most = 2 * document.layout.homes;
            prop_assert!(holding.len() <= most, "{} of {most} hold {cell}", holding.len());
        }
    }
}

#[test]
fn shares_leave_room_for_old_and_new_homes() {
    for instances in [6, 8, 24, 100, 1800] {
        let document = document(instances, 56, 3);
        let service = document.services.keys().next().expect("there is a service");
        let together = document.layout.connections_per_home(service) * 2 * document.layout.homes;
        assert!(together <= 24, "{instances} instances hold {together} of 25");
    }
}
