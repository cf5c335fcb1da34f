//! Validation of a declaration, which reports every error with its path.

use std::collections::HashSet;

use bergamot_base::{Peer, Step};
use bergamot_config::{ValidationError, Violation};

use crate::declaration::{Declaration, Gather, Idempotency, Route, Target, WeightedService};

impl Declaration {
    /// Validates the declaration and sorts its routes for [`Declaration::find`].
    ///
    /// The error lists everything that is invalid.
    pub fn check(mut self) -> Result<Self, ValidationError> {
        let mut violations = Vec::new();
        let mut seen = HashSet::new();
        for (position, route) in self.routes.iter().enumerate() {
            let path = format!("routes[{position}]");
            self.check_route(route, &path, &mut violations);
            if !seen.insert((&route.host, &route.prefix)) {
                let found = format!("{}{}", route.host, route.prefix);
                violations.push(Violation::new(path, found, "each host and prefix once"));
            }
        }
        if !violations.is_empty() {
            let (step, peer) = (Step("check declaration"), Peer::Local);
            return Err(ValidationError { step, peer, violations });
        }
        self.sort_routes();
        Ok(self)
    }

    fn check_route(&self, route: &Route, path: &str, violations: &mut Vec<Violation>) {
        let prefix = &*route.prefix;
        if !prefix.starts_with('/') || !prefix.ends_with('/') {
            violations.push(Violation::new(
                format!("{path}.prefix"),
                prefix,
                "a path from slash to slash",
            ));
        }
        if route.attempts == 0 {
            violations.push(Violation::new(format!("{path}.attempts"), "0", "one or more"));
        }
        if route.timeout.is_zero() {
            violations.push(Violation::new(
                format!("{path}.timeout"),
                "0 ms",
                "one millisecond or more",
            ));
        }
        for service in route.target.services() {
            if !self.services.contains_key(service) {
                let allowed = "a declared service";
                violations.push(Violation::new(format!("{path}.target"), &**service, allowed));
            }
        }
        match &route.target {
            Target::Service(_) => {}
            Target::Split(shares) => check_split(shares, path, violations),
            Target::Gather(gather) => check_gather(gather, route.kind, path, violations),
        }
    }
}

fn check_split(shares: &[WeightedService], path: &str, violations: &mut Vec<Violation>) {
    let valid = |share: &WeightedService| share.weight.is_finite() && share.weight >= 0.0;
    if !shares.iter().all(valid) || shares.iter().map(|share| share.weight).sum::<f64>() <= 0.0 {
        let found = format!("{:?}", shares.iter().map(|share| share.weight).collect::<Vec<_>>());
        let allowed = "weights of zero or more, with a sum above zero";
        violations.push(Violation::new(format!("{path}.split"), found, allowed));
    }
}

fn check_gather(gather: &Gather, kind: Idempotency, path: &str, violations: &mut Vec<Violation>) {
    let mut seen = HashSet::new();
    if gather.shards.is_empty() || !gather.shards.iter().all(|shard| seen.insert(shard)) {
        let found = format!("{} shards", gather.shards.len());
        let allowed = "one shard or more, each once";
        violations.push(Violation::new(format!("{path}.gather"), found, allowed));
    }
    if !(0.0..=1.0).contains(&gather.min_coverage) {
        let found = gather.min_coverage.to_string();
        violations.push(Violation::new(
            format!("{path}.min_coverage"),
            found,
            "a share from 0 to 1",
        ));
    }
    if kind != Idempotency::Idempotent {
        let found = format!("{kind:?}");
        violations.push(Violation::new(format!("{path}.kind"), found, "idempotent, for a gather"));
    }
}
