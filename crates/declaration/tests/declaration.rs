//! Tests of route lookup, validation and weighted distribution.

use std::time::Duration;

use bergamot_base::Name;
use bergamot_declaration::{
    Declaration, Gather, Idempotency, Residency, Route, Service, Target, WeightedRoundRobin,
    WeightedService,
};

fn route(host: &str, prefix: &str, target: Target) -> Route {
    Route {
        name: Name::from(format!("{host}{prefix}")),
        host: host.into(),
        prefix: prefix.into(),
        kind: Idempotency::Idempotent,
        timeout: Duration::from_secs(1),
        target_latency: None,
        attempts: 2,
        priority: 1,
        residency: Residency::default(),
        target,
    }
}

fn declaration(routes: Vec<Route>) -> Declaration {
    let service = Service { connections: 26, warmup: None };
    let services = ["a", "b"].map(|name| (Name::from(name), service.clone())).into();
    Declaration { version: 1, routes, services, ..Declaration::default() }
}

fn gather(shards: usize, min_coverage: f64) -> Gather {
    let shards = (0..shards).map(|shard| Name::from(format!("s{shard}"))).collect();
    Gather { shards, top_k: 5, min_coverage }
}

#[test]
fn the_longest_prefix_wins_in_any_order_of_routes() {
    let one = |host, prefix| route(host, prefix, Target::Service("a".into()));
    let routes = vec![
        one("x.example", "/"),
        one("x.example", "/a/b/"),
        one("x.example", "/a/"),
        one("y.example", "/a/"),
    ];
    let declaration = declaration(routes).check().expect("it is valid");
    let found = |host, path| declaration.find(host, path).map(|route| route.name.to_string());
    assert_eq!(found("x.example", "/a/b/c").as_deref(), Some("x.example/a/b/"));
    assert_eq!(found("X.Example:80", "/a/c").as_deref(), Some("x.example/a/"));
    assert_eq!(found("x.example", "/a").as_deref(), Some("x.example/"));
    assert_eq!(found("y.example", "/b/"), None);
    assert_eq!(found("z.example", "/a/"), None);
}

/// Compares the lookup with a linear scan over thousands of routes for one host, in which some
/// prefixes are prefixes of others.
#[test]
fn the_longest_prefix_wins_among_many_routes() {
    let prefixes = (0..40).flat_map(|a| (0..40).map(move |b| format!("/p{a}/q{b}/")));
    let prefixes = prefixes.chain((0..40).step_by(2).map(|a| format!("/p{a}/")));
    let one = |prefix: String| route("x.example", &prefix, Target::Service("a".into()));
    let mut routes: Vec<Route> = prefixes.map(one).collect();
    let declaration = declaration(routes.clone()).check().expect("it is valid");
    routes.sort_by_key(|route| std::cmp::Reverse(route.prefix.len()));
    for path in ["/p7/q7/x", "/p8/q8", "/p8/q41/", "/p7/q41/", "/p8", "/", "", "/p39/q39/a/b/c//"] {
        let expected = routes.iter().find(|route| path.starts_with(&*route.prefix));
        let found = declaration.find("x.example", path);
        assert_eq!(found.map(|route| &route.name), expected.map(|route| &route.name), "{path}");
    }
}

#[test]
fn every_error_is_reported() {
    let mut invalid = route("x", "a/", Target::Service("gone".into()));
    invalid.attempts = 0;
    let weights = vec![WeightedService { service: "a".into(), weight: 0.0 }];
    let split = route("x", "/s/", Target::Split(weights));
    let mut twice = gather(1, 1.5);
    twice.shards = vec!["a".into(), "a".into()];
    let mut gathered = route("x", "/s/", Target::Gather(twice));
    gathered.kind = Idempotency::NonIdempotent;
    let error = declaration(vec![invalid, split, gathered]).check().expect_err("it is invalid");
    let places: Vec<_> = error.violations.iter().map(|violation| &*violation.path).collect();
    let expected = [
        "routes[0].prefix",
        "routes[0].attempts",
        "routes[0].target",
        "routes[1].split",
        "routes[2].gather",
        "routes[2].min_coverage",
        "routes[2].kind",
        "routes[2]",
    ];
    assert_eq!(places, expected);
}

#[test]
fn the_minimum_of_shards_has_no_rounding_errors() {
    assert_eq!(gather(20, 0.89).min_shards(), 18);
    assert_eq!(gather(100, 0.89).min_shards(), 89);
    assert_eq!(gather(20, 0.75).min_shards(), 15);
    assert_eq!(gather(90, 0.95).min_shards(), 86);
    assert_eq!(gather(3, 0.0).min_shards(), 1);
}

#[test]
fn a_split_meets_its_weights_within_a_few_requests() {
    let shares = [
        WeightedService { service: "a".into(), weight: 7.0 },
        WeightedService { service: "b".into(), weight: 3.0 },
    ];
    let mut split = WeightedRoundRobin::default();
    let chosen: Vec<_> = (0..20).filter_map(|_| split.next_service(&shares)).collect();
    assert_eq!(chosen.iter().filter(|name| &***name == "a").count(), 14);
    let first: Vec<_> = chosen[..10].iter().filter(|name| &***name == "b").collect();
    assert_eq!(first.len(), 3);
}
