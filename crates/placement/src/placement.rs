//! The decision whether a request may be sent to a searcher.
//!
//! Invariant: a searcher in an evacuated zone, or outside the regions of a request, is withheld
//! from it, even if no other searcher is left; so is a cold one without a permit, if the number of
//! requests that it tolerates is limited.

use std::collections::BTreeMap;
use std::fmt;
use std::sync::Arc;
use std::time::Instant;

use bergamot_base::Name;
use bergamot_declaration::{Residency, Service, Warmup};
use bergamot_registry::Upstream;

use crate::evacuations::Evacuations;
use crate::permits::Permits;

/// Why a searcher is withheld from a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Withheld {
    /// It runs outside the regions in which the request may be processed.
    Residency,
    /// Its availability zone is evacuated.
    Evacuated,
    /// It is cold, and the request has no permit.
    Cold,
}

impl Withheld {
    /// Returns the name of the reason in logs and metrics.
    pub fn label(self) -> &'static str {
        match self {
            Self::Residency => "residency",
            Self::Evacuated => "evacuated",
            Self::Cold => "cold",
        }
    }
}

impl fmt::Display for Withheld {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.label())
    }
}

/// How many searchers are withheld from a request, by reason.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct WithheldCounts(BTreeMap<Withheld, usize>);

impl WithheldCounts {
    /// Adds the counts of another service.
    pub fn add(&mut self, other: &Self) {
        for (reason, count) in &other.0 {
            *self.0.entry(*reason).or_default() += count;
        }
    }

    /// Iterates over the reasons that apply to any searcher.
    pub fn reasons(&self) -> impl Iterator<Item = Withheld> {
        self.0.keys().copied()
    }

    /// Returns whether no searcher is withheld.
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }
}

impl fmt::Display for WithheldCounts {
    /// Writes the counts as they appear in logs, such as `residency=2 evacuated=1`.
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let counts = self.0.iter().map(|(reason, count)| format!("{reason}={count}"));
        f.write_str(&counts.collect::<Vec<_>>().join(" "))
    }
}

/// What bounds the placement of one request.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Constraints {
    /// The regions in which it may be processed.
    pub residency: Residency,
    /// The cold searchers to which it may be sent.
    pub permits: Permits,
}

impl Constraints {
    /// Returns the constraints of a request without permits.
    pub fn new(residency: Residency) -> Self {
        Self { residency, permits: Permits::default() }
    }
}

/// What is known about where requests may be sent.
#[derive(Clone, Debug, Default)]
pub struct Placement {
    /// The region of each availability zone.
    regions: BTreeMap<Name, Name>,
    /// The availability zones that the operator has evacuated.
    pub evacuations: Evacuations,
    /// The services whose cold searchers tolerate a limited number of requests.
    warmups: BTreeMap<Name, Warmup>,
}

impl Placement {
    /// Creates the state of a member that knows of no evacuation.
    pub fn new(regions: BTreeMap<Name, Name>) -> Self {
        Self { regions, ..Self::default() }
    }

    /// Applies the warm-ups of a declaration.
    pub fn set_services(&mut self, services: &BTreeMap<Name, Service>) {
        let limited = services
            .iter()
            .filter_map(|(name, service)| service.warmup.map(|warmup| (Name::clone(name), warmup)));
        self.warmups = limited.collect();
    }

    /// Returns whether a request may be sent to a searcher.
    pub fn check(
        &self,
        upstream: &Upstream,
        constraints: &Constraints,
        now: Instant,
    ) -> Result<(), Withheld> {
        if !self.is_resident(&upstream.zone, &constraints.residency) {
            return Err(Withheld::Residency);
        }
        if self.evacuations.contains(&upstream.zone) {
            return Err(Withheld::Evacuated);
        }
        if self.cold_until(upstream, now).is_some()
            && !constraints.permits.allow(&upstream.incarnation, now)
        {
            return Err(Withheld::Cold);
        }
        Ok(())
    }

    /// Returns whether any service has cold searchers that tolerate only a limited number of requests.
    pub fn limits_cold_searchers(&self) -> bool {
        !self.warmups.is_empty()
    }

    /// Returns until when a searcher tolerates only a limited number of requests, if it does.
    ///
    /// Searchers of an evacuated zone may become cold shortly before the evacuation ends, and their
    /// entries say so with their next heartbeat. All of them therefore count as cold after it.
    pub fn cold_until(&self, upstream: &Upstream, now: Instant) -> Option<Instant> {
        let warmup = self.warmups.get(&upstream.service)?;
        let ended = self.evacuations.ended_at(&upstream.zone);
        let assumed = ended.map_or(now, |ended| ended + warmup.duration);
        Some(assumed.max(upstream.warm_at)).filter(|until| now < *until)
    }

    /// Returns how many requests per second a searcher of a service tolerates while it is cold, if
    /// that is limited.
    pub fn cold_rate(&self, service: &str) -> Option<f64> {
        self.warmups.get(service).map(|warmup| warmup.requests_per_s)
    }

    /// Keeps the searchers to which a request may be sent.
    pub fn permitted<'a, 'b>(
        &'a self,
        searchers: impl Iterator<Item = (&'b Arc<Upstream>, bool)>,
        constraints: &'a Constraints,
        now: Instant,
    ) -> impl Iterator<Item = (&'b Arc<Upstream>, bool)> {
        searchers.filter(move |(upstream, _)| self.check(upstream, constraints, now).is_ok())
    }

    /// Counts the searchers that are withheld from a request, by reason.
    pub fn count_withheld<'a>(
        &self,
        searchers: impl Iterator<Item = (&'a Arc<Upstream>, bool)>,
        constraints: &Constraints,
        now: Instant,
    ) -> WithheldCounts {
        let mut counts = WithheldCounts::default();
        for (upstream, _missing) in searchers {
            if let Err(reason) = self.check(upstream, constraints, now) {
                *counts.0.entry(reason).or_default() += 1;
            }
        }
        counts
    }

    fn is_resident(&self, zone: &str, residency: &Residency) -> bool {
        !residency.is_bounded() || residency.permits(self.regions.get(zone).map(|region| &**region))
    }
}
