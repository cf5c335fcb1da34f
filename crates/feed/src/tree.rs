//! The tree along which chunks of large values are distributed.
//!
//! The members of a region form a tree in an order that all of them agree on, with the region's
//! reader at the root. Each member queries its parent, which waits for chunks that it is still
//! fetching itself, so chunks pass down the tree as they arrive. Invariant: while all members
//! answer, none sends a value to more than [`FANOUT`] others, however many members there are. See
//! `docs/design/0010-large-records.md`.

/// The number of children of each member.
///
/// The time for a value to reach the leaves is the time to send it once to each child, plus some 25
/// ms a level. In a region of 450 members, 500 KB over 14 Mbit/s links take 0.8 s with two children
/// (eight levels), and 1.3 s with four.
pub const FANOUT: usize = 2;

/// Lists the ancestors of a position in the tree, from its parent to the root.
pub fn ancestors(position: usize) -> impl Iterator<Item = usize> {
    let parent = |child: usize| child.checked_sub(1).map(|left| left / FANOUT);
    std::iter::successors(parent(position), move |child| parent(*child))
}
