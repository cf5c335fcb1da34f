//! One member's share of a bound that holds for the whole fleet.

/// One member's share of the bounds that all members keep together: the slack of the retry budget,
/// and the connections that a searcher accepts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Share {
    /// It isn't known how many other members use the bounds.
    Unknown,
    /// This member is one of so many.
    OneOf(usize),
}

impl Share {
    /// Returns the part of the slack of the retry budget that this member may spend.
    pub fn slack(self, slack: f64) -> f64 {
        match self {
            Self::Unknown => 0.0,
            Self::OneOf(members) => slack / members.max(1) as f64,
        }
    }

    /// Returns how many of the connections that a searcher accepts this member may open. A member
    /// without any could serve no request, so each has one.
    pub fn connections(self, connections: usize) -> usize {
        match self {
            Self::Unknown => 1,
            Self::OneOf(members) => (connections / members.max(1)).max(1),
        }
    }

    /// Returns the number of members that share the bounds, or zero if it isn't known.
    pub fn members(self) -> usize {
        match self {
            Self::Unknown => 0,
            Self::OneOf(members) => members,
        }
    }
}

impl From<usize> for Share {
    fn from(members: usize) -> Self {
        Self::OneOf(members)
    }
}
