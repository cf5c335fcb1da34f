//! Tests of the encoding of control datagrams: size limits and rejection of malformed datagrams.

use std::net::{Ipv4Addr, SocketAddr};

use bergamot_members::{
    Datagram, Digest, Endpoint, Kind, MAX_RECORDS_PER_DATAGRAM, RANGE_COUNT, RangeHashes, Record,
    RecordHashes, Role, Rumour, State,
};
use bergamot_wire::{MAX_DATAGRAM_LEN, decode, encode};
use ciborium::Value;
use proptest::prelude::*;

fn peer() -> SocketAddr {
    SocketAddr::from(([10, 1, 0, 9], 7380))
}

fn record(number: u16) -> Record {
    let [a, b] = number.to_be_bytes();
    Record {
        endpoint: Endpoint { ip: Ipv4Addr::new(10, 1, a, b), role: Role::Entry },
        zone: "yxs-cargo".into(),
        incarnation: 1_764_735_000_000 << 16,
        counter: 3,
        state: State::Alive,
        weight: 500,
        protocol: 1,
    }
}

fn datagram(kind: Kind, records: u16) -> Datagram {
    let digest = Digest {
        revision: 1 << 40,
        hash: u64::MAX,
        view: u64::MAX,
        members: 1800,
        fresh: true,
        suspicions: u64::MAX,
        spenders: u32::MAX,
    };
    let rumours = (0..records).map(|number| Rumour::Member(record(number))).collect();
    Datagram { kind, from: record(1), digest, rumours }
}

fn all_kinds() -> Vec<Kind> {
    let hashes = |count| RecordHashes { ranges: u64::MAX, hashes: vec![u32::MAX; count] };
    vec![
        Kind::Ping(u64::MAX),
        Kind::Ack(1),
        Kind::PingRequest(2, record(3).endpoint),
        Kind::Gossip,
        Kind::Join,
        Kind::Compare(Box::new(RangeHashes([u32::MAX; RANGE_COUNT]))),
        Kind::Differences(hashes(256)),
        Kind::RecordRequest(hashes(256)),
        Kind::Records,
    ]
}

#[test]
fn every_kind_fits_one_packet_and_round_trips() {
    for kind in all_kinds() {
        let sent = datagram(kind, 0);
        let bytes = encode(sent.clone());
        assert!(bytes.len() <= MAX_DATAGRAM_LEN, "{:?}: {} bytes", sent.kind, bytes.len());
        assert_eq!(decode(&bytes, peer()), Ok(sent));
    }
}

#[test]
fn the_maximum_number_of_records_fits_one_packet() {
    let sent = datagram(Kind::Records, MAX_RECORDS_PER_DATAGRAM as u16);
    assert_eq!(decode(&encode(sent.clone()), peer()), Ok(sent));
}

/// Returns the encoding of a datagram whose byte strings are replaced by `bytes`.
fn with_bytes(kind: Kind, bytes: &[u8]) -> Vec<u8> {
    fn replace(value: &mut Value, bytes: &[u8]) {
        match value {
            Value::Bytes(held) => *held = bytes.to_vec(),
            Value::Array(items) => items.iter_mut().for_each(|item| replace(item, bytes)),
            Value::Map(entries) => entries.iter_mut().for_each(|(_, item)| replace(item, bytes)),
            _ => {}
        }
    }
    let whole = encode(datagram(kind, 0));
    let mut value: Value = ciborium::from_reader(&*whole).expect("it was just encoded");
    replace(&mut value, bytes);
    let mut out = Vec::new();
    ciborium::into_writer(&value, &mut out).expect("values always serialize");
    out
}

#[test]
fn comparisons_of_the_wrong_size_are_refused_with_step_and_peer() {
    let compares = |kind: &Kind| {
        matches!(kind, Kind::Compare(_) | Kind::Differences(_) | Kind::RecordRequest(_))
    };
    for kind in all_kinds().into_iter().filter(compares) {
        let error = decode(&with_bytes(kind, &[7; 255]), peer()).expect_err("refused");
        let text = error.to_string();
        assert!(text.starts_with("decode datagram 10.1.0.9:7380: "), "{text}");
        assert!(text.contains("255 bytes"), "{text}");
    }
    let compare = Kind::Compare(Box::new(RangeHashes([0; RANGE_COUNT])));
    let error = decode(&with_bytes(compare, &[7; 64]), peer()).expect_err("refused");
    assert!(error.to_string().contains("16 ranges, not 64"), "{error}");
}

proptest! {
    #[test]
    fn corrupted_datagrams_are_decoded_or_refused(
        kind in prop::sample::select(all_kinds()),
        corruptions in prop::collection::vec((any::<prop::sample::Index>(), any::<u8>()), 0..8),
        end in any::<prop::sample::Index>(),
    ) {
        let mut bytes = encode(datagram(kind, 2));
        for (at, byte) in corruptions {
            let at = at.index(bytes.len());
            bytes[at] = byte;
        }
        bytes.truncate(end.index(bytes.len() + 1));
        // Either result is acceptable; neither may panic.
        let _ = decode(&bytes, peer());
    }
}
