//! The regions in which the requests of a route may be processed.
//!
//! Invariant: a bound is never widened. A region in which nothing runs admits nothing, and a
//! machine whose region is unknown is outside every bound.

use std::fmt;
use std::sync::Arc;

use bergamot_base::Name;

/// The regions in which a request may be processed, if they are bounded.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Residency(Option<Arc<[Name]>>);

impl Residency {
    /// Restricts requests to the given regions. An empty list is no bound.
    pub fn within(regions: impl IntoIterator<Item = Name>) -> Self {
        let mut regions: Vec<Name> = regions.into_iter().collect();
        regions.sort_unstable();
        regions.dedup();
        Self((!regions.is_empty()).then(|| Arc::from(regions)))
    }

    /// Returns whether requests may be processed only in some regions.
    pub fn is_bounded(&self) -> bool {
        self.0.is_some()
    }

    /// Returns whether a request may be processed in a region, `None` if the region is unknown.
    pub fn permits(&self, region: Option<&str>) -> bool {
        let is_in = |regions: &Arc<[Name]>| {
            region.is_some_and(|region| regions.iter().any(|known| **known == *region))
        };
        self.0.as_ref().is_none_or(is_in)
    }

    /// Returns the regions that two bounds have in common; no bound if there are none.
    #[must_use]
    pub fn intersection(&self, other: &Self) -> Self {
        match (&self.0, &other.0) {
            (None, _) => other.clone(),
            (_, None) => self.clone(),
            (Some(regions), Some(_)) => {
                Self::within(regions.iter().filter(|region| other.permits(Some(region))).cloned())
            }
        }
    }

    /// Returns the permitted regions; empty if there is no bound.
    pub fn regions(&self) -> &[Name] {
        self.0.as_deref().unwrap_or_default()
    }
}

impl fmt::Display for Residency {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match &self.0 {
            Some(regions) => f.write_str(&regions.join(",")),
            None => f.write_str("any"),
        }
    }
}
