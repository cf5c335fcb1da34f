//! Whom a member asks for the chunks of large values.
//!
//! The members of a region form a tree in an order that all of them agree on, its reader at
//! the root. Each asks its parent, which waits for chunks that it is itself still asking for,
//! so that they flow down as they come in. Invariant: while all members answer, none sends a
//! value to more than [`CHILDREN`] others, however many members there are.
//! See `docs/design/0010-large-records.md`.

/// How many members ask one member.
///
/// A value reaches the leaves after as many copies as a member sends, and some 25 ms a level:
/// with two, a region of 450 members (eight levels) has 500 KB over links of 14 Mbit/s after
/// 0.8 s; with four after 1.3 s.
pub const CHILDREN: usize = 2;

/// Lists the positions that the member at a position asks, its parent first, up to the root.
pub fn ancestors(position: usize) -> impl Iterator<Item = usize> {
    let parent = |child: usize| child.checked_sub(1).map(|left| left / CHILDREN);
    std::iter::successors(parent(position), move |child| parent(*child))
}
