//! Distortions of a searcher's responses: bytes that aren't the answer, truncated answers, and bytes
//! without end.

use std::io;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use tokio::io::{AsyncWrite, AsyncWriteExt};

/// The headers that name the request, in both interfaces.
const ID_HEADERS: [&str; 2] = ["x-bergamotstand-request-id:", "x-request-id:"];

/// How long after a response a copy of it is sent, if it is late.
const COPY_DELAY: Duration = Duration::from_millis(4);

/// The length of the pieces of a response that fills another, and the time between them.
const FILLING_PIECE_LEN: usize = 8;
const PIECE_INTERVAL: Duration = Duration::from_millis(1);

/// Whom a copy of a response names.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum CopyName {
    /// Its own request.
    Own,
    /// Nobody.
    Nobody,
    /// Its own request, and the one that waits.
    Both,
}

/// How responses are distorted.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Distortion {
    /// The response before is sent again ahead of each.
    Early(CopyName),
    /// Each response is sent again at once.
    Behind(CopyName),
    /// Each response is sent again a little later.
    Late(CopyName),
    /// Half of each response is sent again, and the other half ahead of the next.
    Halves(CopyName),
    /// A refusal that names nobody is sent ahead of each.
    Refusal,
    /// The head is sent ahead of each without its body.
    Head(CopyName),
    /// The second half of each is left out.
    Truncated,
    /// The last bytes of each are left out, and the response before is sent a little later in pieces,
    /// one of which ends where the body does.
    Filled,
    /// Bytes that are no answer are sent ahead of each.
    Garbage,
    /// A head goes on without end.
    EndlessHead,
    /// A body goes on without end.
    EndlessBody,
}

impl Distortion {
    /// All distortions.
    pub const ALL: [Self; 17] = [
        Self::Early(CopyName::Own),
        Self::Early(CopyName::Nobody),
        Self::Early(CopyName::Both),
        Self::Behind(CopyName::Own),
        Self::Behind(CopyName::Nobody),
        Self::Late(CopyName::Own),
        Self::Late(CopyName::Nobody),
        Self::Halves(CopyName::Own),
        Self::Halves(CopyName::Nobody),
        Self::Refusal,
        Self::Head(CopyName::Own),
        Self::Head(CopyName::Nobody),
        Self::Truncated,
        Self::Filled,
        Self::Garbage,
        Self::EndlessHead,
        Self::EndlessBody,
    ];

    /// Distorts a response, given the one before it on the connection.
    pub fn apply(self, previous: Option<&[u8]>, response: &[u8]) -> Distorted {
        let copy = |named| previous.map(|bytes| rename(bytes, named, response)).unwrap_or_default();
        let again = |named| rename(response, named, response);
        let plain = Distorted { now: response.to_vec(), ..Distorted::default() };
        let ahead =
            |bytes: Vec<u8>| Distorted { now: [&*bytes, response].concat(), ..plain.clone() };
        match self {
            Self::Early(named) => ahead(copy(named)),
            Self::Behind(named) => Distorted { now: [response, &*again(named)].concat(), ..plain },
            Self::Late(named) => Distorted { later: again(named), ..plain },
            Self::Halves(named) => {
                let (first, second) = (again(named), copy(named));
                let now = [&second[second.len() / 2..], response].concat();
                Distorted { now, later: first[..first.len() / 2].to_vec(), ..Distorted::default() }
            }
            Self::Refusal => ahead(
                b"HTTP/1.1 503 Service Unavailable\r\nx-bergamotstand-not-executed: 1\r\nx-not-run: 1\r\n\
                  content-length: 0\r\n\r\n"
                    .to_vec(),
            ),
            Self::Head(named) => {
                let again = again(named);
                ahead(again[..head_length(&again)].to_vec())
            }
            Self::Truncated => Distorted { now: response[..response.len() / 2].to_vec(), ..plain },
            Self::Filled if previous.is_none() => plain,
            Self::Filled => {
                let body = response.len() - head_length(response);
                let now = response[..response.len() - FILLING_PIECE_LEN.min(body)].to_vec();
                Distorted { now, later: copy(CopyName::Own), is_in_pieces: true, ..plain }
            }
            Self::Garbage => ahead(b"\x16\x03\x01 no answer\r\n\r\n".to_vec()),
            Self::EndlessHead => {
                let head = &response[..head_length(response).saturating_sub(2)];
                Distorted { now: head.to_vec(), repeated: b"a: b\r\n".repeat(1000), ..plain }
            }
            Self::EndlessBody => {
                let text = String::from_utf8_lossy(&response[..head_length(response)]).into_owned();
                let text = without_lines(&text, &["content-length:"]);
                Distorted { now: text.into_bytes(), repeated: vec![0; 16 << 10], ..plain }
            }
        }
    }
}

/// What is sent in place of a response.
#[derive(Clone, Debug, Default)]
pub struct Distorted {
    /// At once.
    pub now: Vec<u8>,
    /// A little later.
    pub later: Vec<u8>,
    /// Whether that is sent in pieces.
    pub is_in_pieces: bool,
    /// Again and again until the receiver closes, if there is any.
    pub repeated: Vec<u8>,
}

impl Distorted {
    /// Sends it.
    pub async fn send(&self, to: &mut (impl AsyncWrite + Unpin)) -> io::Result<()> {
        to.write_all(&self.now).await?;
        if !self.later.is_empty() {
            tokio::time::sleep(COPY_DELAY).await;
            let length = if self.is_in_pieces { FILLING_PIECE_LEN } else { self.later.len() };
            for piece in self.later.chunks(length) {
                to.write_all(piece).await?;
                if self.is_in_pieces {
                    tokio::time::sleep(PIECE_INTERVAL).await;
                }
            }
        }
        while !self.repeated.is_empty() {
            to.write_all(&self.repeated).await?;
        }
        Ok(())
    }
}

/// Returns the length of the head of a response.
fn head_length(response: &[u8]) -> usize {
    response.windows(4).position(|bytes| bytes == b"\r\n\r\n").map_or(0, |at| at + 4)
}

/// Returns whether a line of a head begins with one of some names in lower case.
fn is_header(line: &str, names: &[&str]) -> bool {
    let line = line.to_ascii_lowercase();
    names.iter().any(|name| line.starts_with(name))
}

/// Returns the lines of a head that don't begin with one of some names.
fn without_lines(head: &str, names: &[&str]) -> String {
    head.split_inclusive("\r\n").filter(|line| !is_header(line, names)).collect()
}

/// Returns a copy of a response that names other requests; `waiting` is the response to the request
/// that waits.
fn rename(response: &[u8], named: CopyName, waiting: &[u8]) -> Vec<u8> {
    let (head, body) = response.split_at(head_length(response));
    let head = String::from_utf8_lossy(head);
    let head = match named {
        CopyName::Own => head.into_owned(),
        CopyName::Nobody => without_lines(&head, &ID_HEADERS),
        CopyName::Both => {
            let waiting = String::from_utf8_lossy(&waiting[..head_length(waiting)]).into_owned();
            let lines = waiting.split_inclusive("\r\n");
            let names: String = lines.filter(|line| is_header(line, &ID_HEADERS)).collect();
            head.replacen("\r\n", &format!("\r\n{names}"), 1)
        }
    };
    [head.as_bytes(), body].concat()
}
