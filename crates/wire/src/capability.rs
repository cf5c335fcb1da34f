//! What members guarantee to each other by the version of the RPCs that they announce.
//!
//! Instances are replaced one after the other, so members of several versions serve side by side.
//! Invariant: what a member may believe of another one is decided here, from the version in that
//! member's record; a member that has announced none guarantees nothing. See
//! `docs/design/0023-members-of-several-versions.md`.

/// A guarantee of a member.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Capability {
    /// It issues permits for cold searchers.
    Permits,
    /// It coordinates pools of searchers.
    Admission,
    /// Its replies hold a shard only if the searcher ran the request with success, they report on
    /// slow searchers, and its attempts stay in the regions that it is given.
    Parts,
}

impl Capability {
    /// Returns the first version of the RPCs whose members give this guarantee.
    pub const fn since(self) -> u32 {
        match self {
            Self::Permits => 1,
            Self::Admission => 2,
            Self::Parts => 3,
        }
    }

    /// Returns whether a member that announces a version gives this guarantee.
    pub const fn is_given_by(self, protocol: u32) -> bool {
        protocol >= self.since()
    }
}
