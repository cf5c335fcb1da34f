//! The decision whether a request may be sent to a searcher.
//!
//! Invariant: a searcher in an evacuated zone, or outside the regions of a request, is withheld
//! from it, even if no other searcher is left.

use std::collections::BTreeMap;
use std::fmt;
use std::sync::Arc;

use bergamot_base::Name;
use bergamot_declaration::Residency;
use bergamot_registry::Upstream;

use crate::evacuations::Evacuations;

/// Why a searcher is withheld from a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Withheld {
    /// It runs outside the regions in which the request may be processed.
    Residency,
    /// Its availability zone is evacuated.
    Evacuated,
}

impl Withheld {
    /// Returns the name of the reason in logs and metrics.
    pub fn label(self) -> &'static str {
        match self {
            Self::Residency => "residency",
            Self::Evacuated => "evacuated",
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
}

/// What is known about where requests may be sent.
#[derive(Clone, Debug, Default)]
pub struct Placement {
    /// The region of each availability zone.
    regions: BTreeMap<Name, Name>,
    /// The availability zones that the operator has evacuated.
    pub evacuations: Evacuations,
}

impl Placement {
    /// Creates the state of a member that knows of no evacuation.
    pub fn new(regions: BTreeMap<Name, Name>) -> Self {
        Self { regions, evacuations: Evacuations::default() }
    }

    /// Returns whether a request may be sent to a searcher.
    pub fn check(&self, upstream: &Upstream, constraints: &Constraints) -> Result<(), Withheld> {
        if !self.is_resident(&upstream.zone, &constraints.residency) {
            return Err(Withheld::Residency);
        }
        if self.evacuations.contains(&upstream.zone) {
            return Err(Withheld::Evacuated);
        }
        Ok(())
    }

    /// Keeps the searchers to which a request may be sent.
    pub fn permitted<'a, 'b>(
        &'a self,
        searchers: impl Iterator<Item = (&'b Arc<Upstream>, bool)>,
        constraints: &'a Constraints,
    ) -> impl Iterator<Item = (&'b Arc<Upstream>, bool)> {
        searchers.filter(|(upstream, _missing)| self.check(upstream, constraints).is_ok())
    }

    /// Counts the searchers that are withheld from a request, by reason.
    pub fn count_withheld<'a>(
        &self,
        searchers: impl Iterator<Item = (&'a Arc<Upstream>, bool)>,
        constraints: &Constraints,
    ) -> WithheldCounts {
        let mut counts = WithheldCounts::default();
        for (upstream, _missing) in searchers {
            if let Err(reason) = self.check(upstream, constraints) {
                *counts.0.entry(reason).or_default() += 1;
            }
        }
        counts
    }

    fn is_resident(&self, zone: &str, residency: &Residency) -> bool {
        !residency.is_bounded() || residency.permits(self.regions.get(zone).map(|region| &**region))
    }
}
