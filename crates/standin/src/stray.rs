//! Bytes of a searcher that are not the answer to the request that it was sent.
//!
//! A searcher in trouble may answer a request twice, the second time when the connection already
//! carries the next request. The encodings differ in their header names only.

use std::collections::HashMap;
use std::sync::{Mutex, PoisonError};
use std::time::Duration;

use crate::script::{RecordedRequest, Step};

/// How long after an answer its second copy is sent, in the forms that are sent between requests.
const COPY_DELAY: Duration = Duration::from_millis(5);

/// How long after an answer that was cut another one fills it, and the length of the pieces in which it
/// is sent.
const FILLING_DELAY: Duration = Duration::from_millis(15);
const FILLING_PIECE_LEN: usize = 4;

/// The header names of an interface to searchers.
#[derive(Clone, Copy, Debug)]
pub struct AnswerHeaders {
    /// The identifier of the request that is answered.
    pub id: &'static str,
    /// The signature of the answer.
    pub signature: &'static str,
    /// Present if the request was not run.
    pub not_run: &'static str,
}

/// An answer without its identifier.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Answer {
    /// The status line after the protocol version.
    pub status: &'static str,
    /// The signature.
    pub signature: String,
    /// The body.
    pub body: Vec<u8>,
}

impl AnswerHeaders {
    /// Encodes an answer that names the given requests.
    pub fn encode(&self, answer: &Answer, ids: &[&str]) -> Vec<u8> {
        let head = self.head(answer, ids);
        let length = answer.body.len();
        let head = format!("{head}content-length: {length}\r\n\r\n");
        [head.as_bytes(), &answer.body].concat()
    }

    /// Encodes an answer in chunks.
    fn encode_chunked(&self, answer: &Answer, ids: &[&str]) -> Vec<u8> {
        let head = format!("{}transfer-encoding: chunked\r\n\r\n", self.head(answer, ids));
        let size = format!("{:x}\r\n", answer.body.len());
        [head.as_bytes(), size.as_bytes(), &answer.body, b"\r\n0\r\n\r\n"].concat()
    }

    /// Encodes an answer that ends with the connection.
    fn encode_unframed(&self, answer: &Answer, ids: &[&str]) -> Vec<u8> {
        [format!("{}\r\n", self.head(answer, ids)).as_bytes(), &answer.body].concat()
    }

    /// Encodes a refusal that states that a request was not run.
    pub fn refusal(&self, ids: &[&str]) -> Vec<u8> {
        let (names, not_run) = (self.names(ids), self.not_run);
        format!(
            "HTTP/1.1 503 Service Unavailable\r\n{names}{not_run}: 1\r\ncontent-length: 0\r\n\r\n"
        )
        .into_bytes()
    }

    fn names(&self, ids: &[&str]) -> String {
        let names: Vec<_> = ids.iter().map(|id| format!("{}: {id}\r\n", self.id)).collect();
        names.concat()
    }

    fn head(&self, answer: &Answer, ids: &[&str]) -> String {
        let (names, status, signature) = (self.names(ids), answer.status, &answer.signature);
        format!("HTTP/1.1 {status}\r\n{names}{}: {signature}\r\n", self.signature)
    }
}

/// What a searcher sends beside the answer to a request on a connection that carried another one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Stray {
    /// The answer to the request before, with its identifier.
    Foreign,
    /// The answer to the request before, without an identifier.
    Unnamed,
    /// The same in chunks.
    UnnamedChunked,
    /// The same without a length.
    UnnamedUnframed,
    /// A failure without an identifier.
    UnnamedFailure,
    /// The head of the answer to the request before, without an identifier and without its body.
    UnnamedHead,
    /// The answer to the request before, with the identifiers of both requests.
    TwoIdentifiers,
    /// A refusal without an identifier.
    UnnamedRefusal,
    /// A refusal with the identifier of the request before.
    ForeignRefusal,
    /// Half of the answer to the request before, without an identifier, behind that answer, and
    /// half before the answer to this request.
    Halves,
    /// A copy of each answer without an identifier, in the same segment.
    SameSegment,
    /// A copy of each answer without an identifier, some milliseconds later.
    Between,
    /// The head of the answer to this request twice, the first time without its body.
    OwnHead,
    /// The answer to this request without a length, and the answer to the request before behind it.
    OwnUnframed,
    /// The answer to this request without its last bytes, and some milliseconds later the answer to the
    /// request before in pieces, one of which ends where the body does.
    Filled,
    /// Bytes that are no answer.
    Garbage,
}

impl Stray {
    /// All forms.
    pub const ALL: [Self; 16] = [
        Self::Foreign,
        Self::Unnamed,
        Self::UnnamedChunked,
        Self::UnnamedUnframed,
        Self::UnnamedFailure,
        Self::UnnamedHead,
        Self::TwoIdentifiers,
        Self::UnnamedRefusal,
        Self::ForeignRefusal,
        Self::Halves,
        Self::SameSegment,
        Self::Between,
        Self::OwnHead,
        Self::OwnUnframed,
        Self::Filled,
        Self::Garbage,
    ];
}

/// A searcher that sends stray bytes on every connection that carries a second request.
pub struct Stutter {
    headers: AnswerHeaders,
    stray: Stray,
    /// The identifier of the latest request of each connection.
    latest: Mutex<HashMap<usize, String>>,
}

impl std::fmt::Debug for Stutter {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "Stutter({:?})", self.stray)
    }
}

impl Stutter {
    /// Creates a searcher that sends strays of one form.
    pub fn new(headers: AnswerHeaders, stray: Stray) -> Self {
        Self { headers, stray, latest: Mutex::default() }
    }

    /// Returns the steps for a request, given the answer to each.
    pub fn respond(&self, seen: &RecordedRequest, answer: impl Fn(&str) -> Answer) -> Vec<Step> {
        let id = seen.header(self.headers.id).unwrap_or_default();
        let mut latest = self.latest.lock().unwrap_or_else(PoisonError::into_inner);
        let previous = latest.insert(seen.connection, id.to_owned());
        drop(latest);
        let own = self.headers.encode(&answer(id), &[id]);
        let mut steps = match previous {
            Some(previous) => self.reused(&previous, id, own, &answer),
            None => vec![Step::Send(own)],
        };
        let copy = self.headers.encode(&answer(id), &[]);
        match self.stray {
            Stray::SameSegment => {
                if let Some(Step::Send(own)) = steps.last_mut() {
                    own.extend(copy);
                }
            }
            Stray::Between => steps.extend([Step::Wait(COPY_DELAY), Step::Send(copy)]),
            Stray::Halves => {
                let half = copy[..copy.len() / 2].to_vec();
                steps.extend([Step::Wait(COPY_DELAY), Step::Send(half)]);
            }
            _ => {}
        }
        steps
    }

    /// Returns the steps for a request on a connection that carried another one.
    fn reused(
        &self,
        previous: &str,
        id: &str,
        own: Vec<u8>,
        answer: impl Fn(&str) -> Answer,
    ) -> Vec<Step> {
        let headers = self.headers;
        let stale = answer(previous);
        if self.stray == Stray::Filled {
            return filled(own, &headers.encode(&stale, &[previous]));
        }
        let head_len = |bytes: &[u8], answer: &Answer| bytes.len() - answer.body.len();
        let stray = match self.stray {
            Stray::Foreign => headers.encode(&stale, &[previous]),
            Stray::Unnamed => headers.encode(&stale, &[]),
            Stray::UnnamedChunked => headers.encode_chunked(&stale, &[]),
            Stray::UnnamedUnframed => headers.encode_unframed(&stale, &[]),
            Stray::UnnamedFailure => {
                headers.encode(&Answer { status: "404 Not Found", ..stale }, &[])
            }
            Stray::UnnamedHead => {
                let mut bytes = headers.encode(&stale, &[]);
                bytes.truncate(head_len(&bytes, &stale));
                bytes
            }
            Stray::TwoIdentifiers => headers.encode(&stale, &[id, previous]),
            Stray::UnnamedRefusal => headers.refusal(&[]),
            Stray::ForeignRefusal => headers.refusal(&[previous]),
            Stray::Halves => {
                let copy = headers.encode(&stale, &[]);
                copy[copy.len() / 2..].to_vec()
            }
            Stray::OwnHead => own[..head_len(&own, &answer(id))].to_vec(),
            Stray::Garbage => b"\x00\xffgarbage\r\n\r\n".to_vec(),
            Stray::OwnUnframed => headers.encode_unframed(&answer(id), &[id]),
            Stray::SameSegment | Stray::Between | Stray::Filled => Vec::new(),
        };
        let own = if self.stray == Stray::OwnUnframed {
            headers.encode(&answer(previous), &[previous])
        } else {
            own
        };
        let mut steps = vec![Step::Send([stray, own].concat())];
        if matches!(self.stray, Stray::UnnamedUnframed | Stray::OwnUnframed) {
            steps.push(Step::Close);
        }
        steps
    }
}

/// Returns the steps that send an answer without its last bytes, and another one in pieces.
fn filled(mut own: Vec<u8>, second: &[u8]) -> Vec<Step> {
    own.truncate(own.len() - 2 * FILLING_PIECE_LEN);
    let mut steps = vec![Step::Send(own), Step::Wait(FILLING_DELAY)];
    for piece in second.chunks(FILLING_PIECE_LEN) {
        steps.extend([Step::Send(piece.to_vec()), Step::Wait(Duration::from_millis(1))]);
    }
    steps
}

/// Whom an answer names.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Named {
    /// The request that waits.
    Own,
    /// The request before on the connection.
    Previous,
    /// Nobody.
    Nobody,
    /// Both requests.
    Both,
}

/// How the body of an answer is sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Framing {
    /// With its length.
    Length,
    /// In chunks.
    Chunked,
    /// With its length, and only the first half of it.
    Cut,
    /// With its length, and none of it.
    Head,
}

/// A part of what a searcher sends after a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Part {
    /// An answer; one that names the waiting request alone is the answer to it, any other the answer
    /// to the request before.
    Answer(Named, Framing),
    /// A failure with a signature.
    Failure(Named),
    /// A refusal that states that the request was not run.
    Refusal(Named),
    /// An interim response.
    Interim,
    /// Any bytes.
    Bytes(Vec<u8>),
    /// A short pause.
    Pause,
    /// Bytes without end.
    Endless(Vec<u8>),
    /// The end of the connection.
    Close,
}

impl Part {
    /// Returns the step that sends this part.
    pub fn step(
        &self,
        headers: &AnswerHeaders,
        (previous, id): (&str, &str),
        answer: impl Fn(&str) -> Answer,
    ) -> Step {
        let names = |named: Named| match named {
            Named::Own => vec![id],
            Named::Previous => vec![previous],
            Named::Nobody => Vec::new(),
            Named::Both => vec![id, previous],
        };
        let content = |named: Named| answer(if named == Named::Own { id } else { previous });
        match self {
            Self::Answer(named, framing) => {
                let (answer, names) = (content(*named), names(*named));
                let whole = headers.encode(&answer, &names);
                let head = whole.len() - answer.body.len();
                Step::Send(match framing {
                    Framing::Length => whole,
                    Framing::Chunked => headers.encode_chunked(&answer, &names),
                    Framing::Cut => whole[..head + answer.body.len() / 2].to_vec(),
                    Framing::Head => whole[..head].to_vec(),
                })
            }
            Self::Failure(named) => {
                let failure = Answer { status: "500 Internal Server Error", ..content(*named) };
                Step::Send(headers.encode(&failure, &names(*named)))
            }
            Self::Refusal(named) => Step::Send(headers.refusal(&names(*named))),
            Self::Interim => Step::Send(b"HTTP/1.1 103 Early Hints\r\n\r\n".to_vec()),
            Self::Bytes(bytes) => Step::Send(bytes.clone()),
            Self::Pause => Step::Wait(COPY_DELAY),
            Self::Endless(bytes) => Step::Repeat(bytes.clone()),
            Self::Close => Step::Close,
        }
    }
}
