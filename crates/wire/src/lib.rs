//! Messages between daemons and their transports.
//!
//! Requests with a deadline travel by `tarpc` ([`Gather`], [`Entry`]): it carries the
//! time left and cancels what the caller has dropped. Control datagrams are `CBOR` in
//! UDP ([`encode`], [`decode`]); whole documents and views travel over a WebSocket
//! ([`pull`], [`serve_pulls`]), since they may be larger than any datagram. See
//! `docs/design/0001-two-tiers.md`.

mod channel;
mod datagram;
mod member;
mod rpc;
mod stream;

pub use channel::{Channels, Connect, Connection, run_requests, serve_requests, transport};
pub use datagram::{Garbled, LARGEST_DATAGRAM, decode, encode};
pub use member::{
    Item, Late, Manifest, Member, MemberClient, News, NewsQuery, Quiet, Rank, Shard, ShardQuery,
    ShardReply, Value,
};
pub use rpc::{
    Entry, EntryClient, EntryRequest, EntryResponse, Gather, GatherClient, GatherRequest,
    GatherResponse, Refusal, Reply, SubQuery, WriteOrder, context,
};
pub use stream::{Bundle, Pull, pull, serve_pulls};
