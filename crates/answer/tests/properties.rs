//! Byte streams of searchers, drawn at random and cut at random.

use std::sync::Arc;

use bergamot_answer::{Inspector, Limits};
use bergamot_resources::Memory;
use proptest::prelude::*;

/// What a searcher sends on one connection.
#[derive(Clone, Debug)]
enum Piece {
    /// An answer that names these requests.
    Answer { names: Vec<&'static str>, status: u16, body: Vec<u8>, framing: Framing },
    /// An interim response.
    Interim,
    /// Any bytes.
    Bytes(Vec<u8>),
}

#[derive(Clone, Copy, Debug)]
enum Framing {
    Length,
    Chunked,
    UntilClose,
    /// A length, and only a part of the body.
    Truncated,
}

impl Piece {
    fn encode(&self) -> Vec<u8> {
        match self {
            Self::Interim => b"HTTP/1.1 103 Early Hints\r\nx-id: a\r\n\r\n".to_vec(),
            Self::Bytes(bytes) => bytes.clone(),
            Self::Answer { names, status, body, framing } => {
                let names: Vec<_> = names.iter().map(|id| format!("X-Id: {id}\r\n")).collect();
                let head = format!("HTTP/1.1 {status} Text\r\n{}", names.concat());
                let length = format!("content-length: {}\r\n\r\n", body.len());
                let (framed, body) = match framing {
                    Framing::Length => (length, body.clone()),
                    Framing::Truncated => (length, body[..body.len() / 2].to_vec()),
                    Framing::UntilClose => ("\r\n".to_owned(), body.clone()),
                    Framing::Chunked => {
                        let chunks = body.chunks(7).map(|chunk| {
                            [format!("{:x}\r\n", chunk.len()).as_bytes(), chunk, b"\r\n"].concat()
                        });
                        let chunks: Vec<u8> = chunks.flatten().collect();
                        let body = [&*chunks, b"0\r\n\r\n"].concat();
                        ("transfer-encoding: chunked\r\n\r\n".to_owned(), body)
                    }
                };
                [head.as_bytes(), framed.as_bytes(), &body].concat()
            }
        }
    }

    /// Returns whether it is an answer that names only the waiting request.
    fn is_own(&self) -> bool {
        matches!(self, Self::Answer { names, .. } if *names == ["a"])
    }
}

fn piece() -> impl Strategy<Value = Piece> {
    let names = prop_oneof![
        4 => Just(vec!["a"]),
        2 => Just(vec!["b"]),
        2 => Just(vec![]),
        1 => Just(vec!["a", "b"]),
        1 => Just(vec!["a", "a"]),
    ];
    let framing = prop_oneof![
        4 => Just(Framing::Length),
        2 => Just(Framing::Chunked),
        1 => Just(Framing::UntilClose),
        1 => Just(Framing::Truncated),
    ];
    // Bodies without the letters of a status line, so that any of it that is passed on is foreign.
    let body = prop::collection::vec(prop_oneof![Just(b'x'), Just(b'\n'), Just(0)], 0..40);
    let status = prop_oneof![Just(200_u16), Just(404), Just(503), Just(500)];
    let answer = (names, status, body, framing)
        .prop_map(|(names, status, body, framing)| Piece::Answer { names, status, body, framing });
    prop_oneof![
        8 => answer,
        1 => Just(Piece::Interim),
        1 => prop::collection::vec(any::<u8>(), 0..30).prop_map(Piece::Bytes),
    ]
}

/// A whole answer to the waiting request.
fn own_answer() -> impl Strategy<Value = Piece> {
    let body = prop::collection::vec(any::<u8>(), 0..40);
    let framing = prop_oneof![Just(Framing::Length), Just(Framing::Chunked)];
    (body, framing).prop_map(|(body, framing)| Piece::Answer {
        names: vec!["a"],
        status: 200,
        body,
        framing,
    })
}

proptest! {
    /// Whatever a searcher sends, and however it arrives: what is passed on is the beginning of one
    /// of its answers that name the request alone, and of nothing else.
    #[test]
    fn only_one_own_answer_is_passed_on(
        pieces in prop::collection::vec(piece(), 1..6),
        cuts in prop::collection::vec(1_usize..60, 1..20),
    ) {
        let bytes: Vec<u8> = pieces.iter().flat_map(Piece::encode).collect();
        let mut inspector = Inspector::new("x-id", Limits::default(), Arc::new(Memory::default()));
        inspector.begin(b"a", false).expect("a new connection");
        let (mut own, mut rest, mut cuts) = (Vec::new(), &*bytes, cuts.iter().cycle());
        while !rest.is_empty() {
            let cut = cuts.next().map_or(1, |cut| *cut).min(rest.len());
            if inspector.pass(&rest[..cut]) {
                own.extend_from_slice(&rest[..cut]);
            } else {
                inspector.inspect(&rest[..cut], &mut own);
            }
            rest = &rest[cut..];
        }
        let answers = pieces.iter().filter(|piece| piece.is_own()).map(Piece::encode);
        let known = answers.into_iter().any(|answer| {
            // An answer that was cut, or has no length, may be followed by what came behind it; its
            // head is its own all the same.
            let head = answer.windows(4).position(|at| at == b"\r\n\r\n").map_or(0, |at| at + 4);
            own.starts_with(&answer) || answer.starts_with(&own) || own.starts_with(&answer[..head])
        });
        prop_assert!(own.is_empty() || known, "{}", String::from_utf8_lossy(&own));
    }

    /// The waiting request's answer is read behind any number of whole answers of others.
    #[test]
    fn the_own_answer_is_read_behind_whole_answers_of_others(
        pieces in prop::collection::vec(piece(), 0..5),
        own in own_answer(),
        cuts in prop::collection::vec(1_usize..60, 1..20),
    ) {
        let is_whole = |piece: &Piece| matches!(
            piece,
            Piece::Answer { framing: Framing::Length | Framing::Chunked, .. } | Piece::Interim
        );
        let others: Vec<_> =
            pieces.iter().filter(|piece| is_whole(piece) && !piece.is_own()).collect();
        let expected = own.encode();
        let bytes: Vec<u8> = others.iter().flat_map(|piece| piece.encode()).chain(own.encode()).collect();
        let mut inspector = Inspector::new("x-id", Limits::default(), Arc::new(Memory::default()));
        inspector.begin(b"a", false).expect("a new connection");
        let (mut passed, mut rest, mut cuts) = (Vec::new(), &*bytes, cuts.iter().cycle());
        while !rest.is_empty() {
            let cut = cuts.next().map_or(1, |cut| *cut).min(rest.len());
            inspector.inspect(&rest[..cut], &mut passed);
            rest = &rest[cut..];
        }
        prop_assert_eq!(passed, expected);
        prop_assert_eq!(inspector.fault(), None);
        let skipped = others.iter().any(|piece| matches!(piece, Piece::Answer { .. }));
        prop_assert_eq!(inspector.is_clean(), !skipped);
    }
}
