//! Where searchers and members are, and how far away that is.

use std::collections::BTreeSet;
use std::time::Duration;

use bergamot_base::Name;
use bergamot_dispatch::Distance;
use bergamot_policy::Delegate;

use crate::delegates::DelegateMember;
use crate::link::SearcherLink;
use crate::relay::Relay;

/// A place whose searchers are queried through a member there.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Location {
    /// An availability zone of this region.
    Zone(Name),
    /// Another region.
    Region(Name),
}

impl Location {
    /// Returns the additional wait for a member at this location, compared with a nearby searcher,
    /// if no round trip has been measured.
    fn default_delay(&self, policy: &Delegate) -> Duration {
        match self {
            Self::Zone(_) => policy.zone,
            Self::Region(_) => policy.region,
        }
    }

    pub(crate) fn contains(&self, member: &DelegateMember) -> bool {
        match self {
            Self::Zone(zone) => member.zone == *zone,
            Self::Region(region) => member.region == *region,
        }
    }
}

impl Relay {
    /// Returns the location of this member.
    pub(crate) fn own_location(&self) -> Location {
        Location::Zone(Name::clone(&self.settings.zone))
    }

    /// Returns the location of a searcher, if its region is known.
    pub(crate) fn location(&self, link: &SearcherLink) -> Option<Location> {
        let zone = &link.upstream.zone;
        match link.distance {
            Distance::Zone | Distance::Region => Some(Location::Zone(Name::clone(zone))),
            Distance::Far => self.settings.regions.get(zone).cloned().map(Location::Region),
        }
    }

    /// Returns the additional wait for a member at a location, compared with a nearby searcher.
    pub(crate) fn expected_delay(&self, location: &Location) -> Duration {
        let policy = &self.settings.policy.delegate;
        let round_trip = match location {
            Location::Zone(zone) => self.monitor.round_trip(zone),
            Location::Region(region) => {
                self.monitor.shortest_round_trip(|zone| self.zone_is_in(zone, region))
            }
        };
        round_trip.map_or(location.default_delay(policy), |round_trip| round_trip + policy.handling)
    }

    /// Returns the additional wait for a member of the farthest region, compared with a nearby
    /// searcher.
    pub(crate) fn max_member_delay(&self) -> Duration {
        let regions: BTreeSet<&Name> = self.settings.regions.values().collect();
        let own = self.settings.regions.get(&self.settings.zone);
        let others = regions.into_iter().filter(|region| Some(*region) != own);
        let delays =
            others.map(|region| self.expected_delay(&Location::Region(Name::clone(region))));
        delays.max().unwrap_or_default()
    }

    fn zone_is_in(&self, zone: &Name, region: &Name) -> bool {
        self.settings.regions.get(zone) == Some(region)
    }
}
