//! Messages between members of two releases.
//!
//! `fixtures/protocol-0.txt` holds messages as encoded by the last release whose members announce
//! no version of their RPCs, in hexadecimal; `fixtures/protocol-1.txt` the RPCs that version 1 adds.

use std::collections::BTreeMap;
use std::net::{Ipv4Addr, SocketAddr};
use std::pin::Pin;
use std::sync::Arc;
use std::time::Duration;

use bergamot_base::Position;
use bergamot_members::{Datagram, Digest, Endpoint, Kind, Record, Role, Rumour, State, View};
use bergamot_registry::Incarnation;
use bergamot_wire::{
    AdmissionRequest, Capability, Channels, Coverage, MEMBER_PROTOCOL, MemberClient, MemberRequest,
    NewsQuery, ShardOutcome, ShardQuery, ShardReply, decode, encode, run_requests, serve_requests,
    transport,
};
use ciborium::Value;
use tarpc::context::Context;
use tarpc::server::Channel;
use tarpc::tokio_serde::Serializer;
use tarpc::tokio_serde::formats::Bincode;
use tokio::net::TcpListener;
use tokio_util::sync::CancellationToken;

fn fixtures() -> BTreeMap<&'static str, Vec<u8>> {
    parse(include_str!("fixtures/protocol-0.txt"))
}

fn parse(text: &'static str) -> BTreeMap<&'static str, Vec<u8>> {
    let lines = text.lines();
    lines.filter_map(|line| line.split_once(' ')).map(|(name, hex)| (name, bytes(hex))).collect()
}

fn bytes(hex: &str) -> Vec<u8> {
    let digits = hex.as_bytes().chunks(2);
    let byte = |digits| u8::from_str_radix(std::str::from_utf8(digits).expect("ASCII"), 16);
    digits.map(|digits| byte(digits).expect("two hexadecimal digits")).collect()
}

fn record(protocol: u32) -> Record {
    Record {
        endpoint: Endpoint { ip: Ipv4Addr::new(10, 1, 0, 9), role: Role::Entry },
        zone: "yxs-cargo".into(),
        incarnation: 1_764_735_000_000 << 16,
        counter: 3,
        state: State::Alive,
        weight: 500,
        protocol,
    }
}

fn datagram(protocol: u32) -> Datagram {
    let digest =
        Digest { revision: 7, hash: 0, view: 9, members: 3, fresh: true, ..Digest::default() };
    let endpoint = Endpoint { ip: Ipv4Addr::new(10, 1, 0, 10), role: Role::Entry };
    let rumours = vec![Rumour::Member(Record { endpoint, ..record(protocol) })];
    Datagram { kind: Kind::Records, from: record(protocol), digest, rumours }
}

fn encode_request(request: &MemberRequest) -> Vec<u8> {
    let mut codec = Bincode::<MemberRequest, MemberRequest>::default();
    Pin::new(&mut codec).serialize(request).expect("requests always serialize").to_vec()
}

#[test]
fn datagrams_of_the_former_release_are_understood() {
    let peer = SocketAddr::from(([10, 1, 0, 9], 7380));
    assert_eq!(decode(&fixtures()["datagram"], peer), Ok(datagram(0)));
    assert_eq!(encode(datagram(0)), fixtures()["datagram"]);
}

/// The former release ignores unknown fields; all others must be as it knows them.
#[test]
fn datagrams_differ_from_the_former_release_by_one_field() {
    fn without_protocol(value: &mut Value) {
        match value {
            Value::Array(items) => items.iter_mut().for_each(without_protocol),
            Value::Map(entries) => {
                entries.retain(|(key, _)| key.as_text() != Some("p"));
                for (_, value) in entries {
                    without_protocol(value);
                }
            }
            _ => {}
        }
    }
    let sent = encode(datagram(MEMBER_PROTOCOL));
    let mut value: Value = ciborium::from_reader(&*sent).expect("valid CBOR");
    without_protocol(&mut value);
    let mut bytes = Vec::new();
    ciborium::into_writer(&value, &mut bytes).expect("it was decoded");
    assert_eq!(bytes, fixtures()["datagram"]);
}

fn shard_query() -> ShardQuery {
    ShardQuery {
        id: b"9c41".to_vec(),
        method: "GET".to_owned(),
        uri: "/q/".to_owned(),
        headers: vec![("accept".to_owned(), b"*/*".to_vec())],
        body: b"body".to_vec(),
        shards: vec!["a".into(), "b".into()],
        top_k: 5,
        enough: 3,
        answer_within: Duration::from_millis(50),
        deadline: Duration::from_secs(1),
    }
}

/// RPCs are encoded by position, so one that is inserted or extended would be taken for another.
#[test]
fn requests_of_the_former_release_are_encoded_as_before() {
    let position = |revision| Position { era: 1, revision };
    let news = NewsQuery {
        after: position(5),
        listing: None,
        known: position(6),
        wait: Duration::from_secs(1),
    };
    let requests = [
        ("gather", MemberRequest::Gather { query: shard_query() }),
        ("rest", MemberRequest::Rest { token: 7 }),
        ("records", MemberRequest::Records { token: 8 }),
        ("news", MemberRequest::News { query: news }),
        ("chunks", MemberRequest::Chunks { hashes: vec![1, 2], wait: Duration::from_millis(5) }),
        ("record", MemberRequest::Record { key: "op/config".into() }),
    ];
    for (name, request) in requests {
        assert_eq!(encode_request(&request), fixtures()[name], "{name}");
    }
}

/// A later RPC that is inserted before these would be taken for one of them by members that announce
/// version 2.
#[test]
fn admission_requests_have_their_positions_and_about_60_bytes() {
    let request = AdmissionRequest {
        pool: u64::MAX,
        priority: 1,
        origin: "yxs-cargo".into(),
        target: Duration::from_millis(80),
        deadline: Duration::from_secs(1),
        slots: 2,
    };
    let covered = Some(Coverage { took: Duration::from_millis(30), is_congested: true });
    let requests = [
        (9, MemberRequest::Admit { request }),
        (10, MemberRequest::AwaitGrant { grant: u64::MAX }),
        (11, MemberRequest::Complete { grant: u64::MAX, covered }),
    ];
    for (position, request) in requests {
        let bytes = encode_request(&request);
        assert_eq!(bytes[0], position, "{request:?}");
        assert!(bytes.len() <= 70, "{request:?} takes {} bytes", bytes.len());
    }
}

/// Guards against an RPC of version 2 that is inserted before those of version 1.
#[test]
fn requests_of_version_1_are_encoded_as_before() {
    let fixtures = parse(include_str!("fixtures/protocol-1.txt"));
    let within = MemberRequest::GatherWithin { query: shard_query(), regions: vec!["yxs".into()] };
    let searchers = vec![Incarnation { id: "a".into(), start_time_ms: None }];
    let permits = MemberRequest::Permits { searchers, needed: 1 };
    for (name, request) in [("gather_within", within), ("permits", permits)] {
        assert_eq!(encode_request(&request), fixtures[name], "{name}");
    }
}

/// The service of a member that can read fewer RPCs than this program.
#[tarpc::service]
trait Earlier {
    async fn gather(query: ShardQuery) -> ShardReply;
}

#[derive(Clone)]
struct EarlierMember;

impl Earlier for EarlierMember {
    /// Replies with the signature of a failure for each shard.
    async fn gather(self, _context: Context, query: ShardQuery) -> ShardReply {
        let shards = query.shards.iter().map(|_| ShardOutcome::In(b"failure".to_vec())).collect();
        ShardReply { shards, records: Vec::new(), left_out: 0, rest: 0, quiet: Vec::new() }
    }
}

/// Guards against parts of a member of an earlier version whose record hasn't arrived yet, as after
/// a program is replaced by an earlier one: it can't reply to the RPC whose replies are believed, and
/// the sender learns that at once.
#[tokio::test]
async fn a_member_of_an_earlier_version_cannot_reply_with_parts() {
    let listener = TcpListener::bind(("127.0.0.1", 0)).await.expect("bind to a free port");
    let peer = listener.local_addr().expect("listener has an address");
    let stop = CancellationToken::new();
    tokio::spawn(serve_requests(listener, Arc::default(), stop.clone(), |stream, open| {
        let requests = transport(stream, &open).execute(EarlierMember.serve());
        tokio::spawn(run_requests(requests, open));
    }));
    let channels = Channels::<MemberClient>::new(Ipv4Addr::LOCALHOST);
    let client = channels.get(peer).await.expect("it listens");
    let reply = client.gather(tarpc::context::current(), shard_query()).await;
    assert_eq!(reply.expect("it serves this RPC").shards.len(), 2);
    let call = client.gather_parts(tarpc::context::current(), shard_query(), Vec::new());
    let reply = tokio::time::timeout(Duration::from_secs(1), call).await.expect("it ends at once");
    assert!(reply.is_err(), "{reply:?}");
    stop.cancel();
}

/// A member of the former release passes on records without the version of the RPCs.
#[test]
fn the_announced_version_outlasts_a_record_without_it() {
    for order in [[0, 1], [1, 0]] {
        let mut view = View::default();
        for protocol in order {
            view.apply(&record(protocol));
        }
        let known = view.get(record(0).endpoint).expect("it was applied");
        assert_eq!(known.protocol, 1);
    }
}

/// Guards against a guarantee that this program gives and doesn't announce, and against one that is
/// read into the version of a member from before it.
#[test]
fn a_capability_is_given_from_its_version_on() {
    for capability in [Capability::Permits, Capability::Admission, Capability::Parts] {
        assert!(capability.is_given_by(MEMBER_PROTOCOL) && capability.is_given_by(u32::MAX));
        assert!(!capability.is_given_by(capability.since() - 1) && !capability.is_given_by(0));
    }
}
