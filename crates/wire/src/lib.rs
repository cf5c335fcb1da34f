//! Messages between daemons, and their transports.
//!
//! Requests with a deadline use `tarpc` ([`Gather`], [`Entry`], [`Member`]), which transmits the
//! remaining time and cancels requests that the caller has dropped. Control datagrams are CBOR over
//! UDP ([`encode`], [`decode`]). Documents and views may exceed the size of a datagram and are
//! transferred over a WebSocket ([`pull`], [`serve_pulls`]). See `docs/design/0001-two-tiers.md`.

mod capability;
mod channel;
mod datagram;
mod member;
mod rpc;
mod stream;

pub use capability::Capability;
pub use channel::{Channels, Connect, Connection, run_requests, serve_requests, transport};
pub use datagram::{DecodeError, MAX_DATAGRAM_LEN, decode, encode};
pub use member::{
    Admission, AdmissionRequest, Coverage, Item, Late, MEMBER_PROTOCOL, Manifest, Member,
    MemberClient, MemberRequest, News, NewsQuery, QuietPeriod, Rank, ReportedDelay, ReportingReply,
    ShardOutcome, ShardQuery, ShardReply, Value,
};
pub use rpc::{
    Entry, EntryClient, EntryRequest, EntryResponse, Gather, GatherClient, GatherRequest,
    GatherResponse, Refusal, Reply, SubQuery, WriteOrder, context,
};
pub use stream::{PullRequest, PullResponse, pull, serve_pulls};
