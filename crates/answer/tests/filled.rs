//! Answers that were cut and filled by another answer, and sound ones that hold the text of one.
//!
//! Guards against a body that is whole by its length and ends with the beginning of another answer,
//! and against sound answers that are refused or delayed because of their text.

use std::sync::Arc;
use std::time::Duration;

use bergamot_answer::{Fault, Inspector, Limits};
use bergamot_resources::Memory;
use proptest::prelude::*;
use proptest::test_runner::{Config, TestRng, TestRunner};

/// The time between the beginning of a cut answer and its filling.
const LATE: Duration = Duration::from_millis(15);

/// The time between two pieces of a filling.
const INTERVAL: Duration = Duration::from_millis(3);

/// Bytes, and the time since those before them.
type Piece = (Duration, Vec<u8>);

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Outcome {
    /// The answer is delivered after this delay.
    Delivered(Duration),
    Refused(Fault),
    Incomplete,
}

/// Reads one answer as the reader of a connection does.
fn read(pieces: &[Piece]) -> Outcome {
    let mut inspector = Inspector::new("x-id", Limits::default(), Arc::new(Memory::default()));
    inspector.begin(b"own", false).expect("a new connection");
    let mut passed = Vec::new();
    for (gap, bytes) in pieces {
        if inspector.hold().is_some_and(|period| *gap >= period) {
            break;
        }
        if !inspector.pass(bytes) {
            inspector.inspect(bytes, &mut passed);
        }
    }
    let hold = inspector.hold();
    inspector.release();
    match inspector.fault() {
        Some(fault) if fault.is_behind_answer() => Outcome::Delivered(Duration::ZERO),
        Some(fault) => Outcome::Refused(fault),
        // Only a complete answer lets another request begin.
        None if inspector.begin(b"next", false).is_ok() => {
            Outcome::Delivered(hold.unwrap_or_default())
        }
        None => Outcome::Incomplete,
    }
}

fn chunks(body: &[u8], size: usize) -> Vec<u8> {
    let chunk =
        |bytes: &[u8]| [format!("{:x}\r\n", bytes.len()).as_bytes(), bytes, b"\r\n"].concat();
    [body.chunks(size).flat_map(chunk).collect::<Vec<u8>>(), b"0\r\n\r\n".to_vec()].concat()
}

/// The head of an answer, and its body with its framing.
fn answer(names: &str, body: &[u8], chunk: Option<usize>) -> (Vec<u8>, Vec<u8>) {
    let (framing, body) = match chunk {
        Some(size) => ("transfer-encoding: chunked".to_owned(), chunks(body, size)),
        None => (format!("content-length: {}", body.len()), body.to_vec()),
    };
    (format!("HTTP/1.1 200 OK\r\n{names}{framing}\r\n\r\n").into_bytes(), body)
}

/// Bytes without a letter of a status line.
fn content(length: usize) -> Vec<u8> {
    (0..length).map(|at| b'a' + (at % 26) as u8).collect()
}

/// Returns a cut answer and its filling. The first piece of the filling comes with the cut answer if
/// `is_joined`.
fn filled(cut: &[u8], filling: &[u8], size: usize, is_joined: bool) -> Vec<Piece> {
    let mut pieces = vec![(Duration::ZERO, cut.to_vec())];
    for (number, bytes) in filling.chunks(size).enumerate() {
        match (number, is_joined) {
            (0, true) => pieces[0].1.extend_from_slice(bytes),
            (0, false) => pieces.push((LATE, bytes.to_vec())),
            _ => pieces.push((INTERVAL, bytes.to_vec())),
        }
    }
    pieces
}

#[test]
fn no_cut_answer_that_is_filled_by_another_is_delivered() {
    let (mut cases, mut passed) = (0, Vec::new());
    for chunk in [None, Some(300), Some(50)] {
        let (head, body) = answer("X-Id: own\r\n", &content(220), chunk);
        for (names, second_chunk) in [
            ("x-id: other\r\n", None),
            ("x-id: other\r\n", Some(40)),
            ("x-id: own\r\n", None),
            ("", Some(40)),
        ] {
            let (second_head, second_body) = answer(names, &content(90), second_chunk);
            let second = [second_head, second_body].concat();
            for cut in 1..=body.len() {
                let begin = [&*head, &body[..body.len() - cut]].concat();
                // Text that names nobody and ends where the body does can't be told from a filling.
                let is_open = names.is_empty() && chunk.is_none() && cut == second.len();
                for size in [1, 2, 3, 7, 8, 11, 12, 13, 64, second.len()] {
                    for is_joined in [false, true] {
                        cases += 1;
                        let outcome = read(&filled(&begin, &second, size, is_joined));
                        if matches!(outcome, Outcome::Delivered(_)) && !is_open {
                            passed.push((chunk, names, second_chunk, cut, size, is_joined));
                        }
                    }
                }
            }
        }
    }
    println!("{} of {cases} cut answers passed", passed.len());
    assert!(passed.is_empty(), "{} of {cases}: {:?}", passed.len(), &passed[..passed.len().min(9)]);
}

/// A sound body: random bytes, with text of an answer in it or at its end.
/// Not a whole answer that names another request and ends where the body does.
fn sound_body() -> impl Strategy<Value = Vec<u8>> {
    let text = prop_oneof![
        3 => Just(String::new()),
        2 => (1_usize..=12).prop_map(|length| "HTTP/1.1 200"[..length].to_owned()),
        2 => Just("GET / HTTP/1.1\r\n\r\nHTTP/1.1 404 Not Found\r\n".to_owned()),
        1 => Just("HTTP/1.1 200 OK\r\nX-Id: other\r\ncontent-length: 500\r\n\r\n".to_owned()),
        1 => Just("HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\nhello".to_owned()),
    ];
    let random = || prop::collection::vec(any::<u8>(), 0..80);
    (random(), text, random(), any::<bool>()).prop_map(|(before, text, behind, is_last)| {
        [&*before, text.as_bytes(), if is_last { &[] } else { &*behind }].concat()
    })
}

#[test]
fn no_sound_answer_is_refused() {
    let case = (
        sound_body(),
        prop::option::of(1_usize..90),
        prop::collection::vec((1_usize..70, 0_u64..20), 1..8),
    );
    let config = Config { cases: 10_000, ..Config::default() };
    let rng = TestRng::deterministic_rng(config.rng_algorithm);
    TestRunner::new_with_rng(config, rng)
        .run(&case, |(body, chunk, cuts)| {
            let (head, body) = answer("x-id: own\r\n", &body, chunk);
            let bytes = [head, body].concat();
            let (mut rest, mut pieces, mut cuts) = (&*bytes, Vec::new(), cuts.iter().cycle());
            while let (false, Some((size, gap))) = (rest.is_empty(), cuts.next()) {
                let (piece, behind) = rest.split_at(rest.len().min(*size));
                pieces.push((Duration::from_millis(*gap), piece.to_vec()));
                rest = behind;
            }
            prop_assert!(matches!(read(&pieces), Outcome::Delivered(_)), "{:?}", read(&pieces));
            Ok(())
        })
        .expect("each sound answer is delivered");
}

/// Guards against a delay of answers whose bytes show nothing.
#[test]
fn one_of_256_random_bodies_is_held_back_and_only_briefly() {
    let mut delays = [Duration::ZERO; 256];
    for (last, delay) in (0..=u8::MAX).zip(&mut delays) {
        let (head, body) = answer("x-id: own\r\n", &[&*content(15), &[last]].concat(), None);
        let outcome = read(&[(Duration::ZERO, [head, body].concat())]);
        let Outcome::Delivered(delayed) = outcome else { panic!("{last}: {outcome:?}") };
        *delay = delayed;
    }
    let held: Vec<_> = (0..=u8::MAX).filter(|last| !delays[usize::from(*last)].is_zero()).collect();
    assert_eq!(held, [b'H']);
    let mean = delays.iter().sum::<Duration>() / 256;
    println!("mean delay of answers that end with random bytes: {mean:?}");
    assert!(mean < Duration::from_micros(50), "{mean:?}");
}

/// Guards against the loss of a sound answer whose searcher sends something else behind it, or closes
/// the connection.
#[test]
fn what_does_not_continue_an_answer_leaves_the_one_before_it_sound() {
    let (head, body) = answer("x-id: own\r\n", b"ends with H", None);
    let own = (Duration::ZERO, [head, body].concat());
    let behind = |bytes: &[u8]| read(&[own.clone(), (INTERVAL, bytes.to_vec())]);
    assert_eq!(behind(b"HTTP/1.1 200 OK\r\n"), Outcome::Delivered(Duration::ZERO));
    assert_eq!(behind(b"TTP"), Outcome::Refused(Fault::Filled));
    let mut inspector = Inspector::new("x-id", Limits::default(), Arc::new(Memory::default()));
    inspector.begin(b"own", false).expect("a new connection");
    inspector.inspect(&own.1, &mut Vec::new());
    assert!(inspector.hold().is_some());
    assert_eq!((inspector.end(), inspector.hold(), inspector.is_clean()), (None, None, true));
}
