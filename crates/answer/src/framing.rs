//! Where the head and the body of an HTTP/1 answer end.

use httparse::{Header, Response, Status};

use crate::attribution::Attribution;
use crate::fault::{Fault, Limit};
use crate::limits::{CHUNK_BYTES, Limits, MAX_HEADERS};

/// What every status line begins with.
pub(crate) const STATUS_LINE: &[u8] = b"HTTP/1.";

/// The maximum length of a line between chunks, in bytes.
const MAX_CHUNK_LINE: usize = 256;

/// The maximum length of all trailers, in bytes.
const MAX_TRAILERS: usize = 4096;

/// A complete head.
#[derive(Debug)]
pub(crate) struct Head {
    pub(crate) status: u16,
    pub(crate) attribution: Attribution,
    pub(crate) body: Body,
}

impl Head {
    /// Parses a complete head. `request` is the identifier of the waiting request, and
    /// `is_bodiless` whether the answer to it has no body, whatever its head says.
    pub(crate) fn parse(
        bytes: &[u8],
        id_header: &str,
        request: &[u8],
        is_bodiless: bool,
    ) -> Result<Self, Fault> {
        let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
        let mut response = Response::new(&mut headers);
        let parsed = response.parse(bytes);
        if parsed == Err(httparse::Error::TooManyHeaders) {
            return Err(Fault::Exceeded { limit: Limit::Headers });
        }
        let complete = matches!(parsed, Ok(Status::Complete(length)) if length == bytes.len());
        let (true, Some(status)) = (complete, response.code) else {
            return Err(Fault::Malformed { cause: "head" });
        };
        let headers: &[Header<'_>] = response.headers;
        let named = headers.iter().filter(|header| header.name.eq_ignore_ascii_case(id_header));
        let attribution = Attribution::of(named.map(|header| header.value), request);
        let is_empty = matches!(status, 100..=199 | 204 | 304)
            || (is_bodiless && attribution == Attribution::Own);
        let body = if is_empty { Body::Length(0) } else { Body::of(headers)? };
        Ok(Self { status, attribution, body })
    }
}

/// What is left of a body.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum Body {
    /// This many bytes.
    Length(u64),
    /// Chunks.
    Chunked(Chunks),
    /// Everything up to the end of the connection, given the bytes so far.
    UntilClose(u64),
}

impl Body {
    /// Determines how the body is framed.
    fn of(headers: &[Header<'_>]) -> Result<Self, Fault> {
        let values = |name: &'static str| {
            headers
                .iter()
                .filter(move |header| header.name.eq_ignore_ascii_case(name))
                .map(|header| header.value)
        };
        if let Some(encoding) = values("transfer-encoding").next_back() {
            let last = encoding.split(|byte| *byte == b',').next_back().unwrap_or_default();
            return Ok(if last.trim_ascii().eq_ignore_ascii_case(b"chunked") {
                Self::Chunked(Chunks::default())
            } else {
                Self::UntilClose(0)
            });
        }
        let mut lengths = values("content-length");
        let Some(first) = lengths.next() else { return Ok(Self::UntilClose(0)) };
        let length = str::from_utf8(first).ok().filter(|text| !text.starts_with('+'));
        let length = length.and_then(|text| text.trim().parse().ok());
        match length {
            Some(length) if lengths.all(|other| other == first) => Ok(Self::Length(length)),
            _ => Err(Fault::Malformed { cause: "content length" }),
        }
    }

    pub(crate) fn is_complete(&self) -> bool {
        match self {
            Self::Length(left) => *left == 0,
            Self::Chunked(chunks) => chunks.next == ChunkPart::End,
            Self::UntilClose(_) => false,
        }
    }

    /// Checks what the head says about the size of the body.
    pub(crate) fn check(&self, limits: &Limits) -> Result<(), Fault> {
        match self {
            Self::Length(left) if *left > limits.body_bytes as u64 => {
                Err(Fault::Exceeded { limit: Limit::Body })
            }
            _ => Ok(()),
        }
    }

    /// Consumes bytes of the body and returns how many belong to it.
    pub(crate) fn advance(&mut self, input: &[u8], limits: &Limits) -> Result<usize, Fault> {
        match self {
            Self::Length(left) => {
                let used = input.len().min(usize::try_from(*left).unwrap_or(usize::MAX));
                *left -= used as u64;
                Ok(used)
            }
            Self::Chunked(chunks) => chunks.advance(input, limits),
            Self::UntilClose(received) => {
                *received += input.len() as u64;
                if *received > limits.body_bytes as u64 {
                    return Err(Fault::Exceeded { limit: Limit::Body });
                }
                Ok(input.len())
            }
        }
    }
}

/// The part of a chunked body that comes next.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
enum ChunkPart {
    /// The line with the size of a chunk.
    #[default]
    Size,
    /// This many bytes of a chunk.
    Data(u64),
    /// The line break behind a chunk.
    Break,
    /// A line of the trailers.
    Trailer,
    /// Nothing; the body is complete.
    End,
}

/// The position in a chunked body.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(crate) struct Chunks {
    next: ChunkPart,
    /// The incomplete line.
    line: Vec<u8>,
    received: u64,
    count: usize,
    trailers: usize,
}

impl Chunks {
    fn advance(&mut self, input: &[u8], limits: &Limits) -> Result<usize, Fault> {
        let mut used = 0;
        while used < input.len() && self.next != ChunkPart::End {
            let rest = &input[used..];
            if let ChunkPart::Data(left) = self.next {
                let taken = rest.len().min(usize::try_from(left).unwrap_or(usize::MAX));
                let left = left - taken as u64;
                self.next = if left == 0 { ChunkPart::Break } else { ChunkPart::Data(left) };
                used += taken;
                continue;
            }
            let end = rest.iter().position(|byte| *byte == b'\n').map(|end| end + 1);
            let taken = end.unwrap_or(rest.len());
            used += taken;
            if self.line.len() + taken > MAX_CHUNK_LINE {
                return Err(Fault::Malformed { cause: "line between chunks" });
            }
            self.line.extend_from_slice(&rest[..taken]);
            if end.is_some() {
                self.end_line(limits)?;
                self.line.clear();
            }
        }
        Ok(used)
    }

    /// Handles a complete line.
    fn end_line(&mut self, limits: &Limits) -> Result<(), Fault> {
        self.next = match self.next {
            ChunkPart::Size => self.begin_chunk(limits)?,
            ChunkPart::Break if self.line == b"\r\n" => ChunkPart::Size,
            ChunkPart::Trailer if self.line == b"\r\n" => ChunkPart::End,
            ChunkPart::Trailer => {
                self.trailers += self.line.len();
                if self.trailers > MAX_TRAILERS {
                    return Err(Fault::Malformed { cause: "trailers" });
                }
                ChunkPart::Trailer
            }
            ChunkPart::Break | ChunkPart::Data(_) | ChunkPart::End => {
                return Err(Fault::Malformed { cause: "chunk" });
            }
        };
        Ok(())
    }

    fn begin_chunk(&mut self, limits: &Limits) -> Result<ChunkPart, Fault> {
        let Ok(Status::Complete((_, size))) = httparse::parse_chunk_size(&self.line) else {
            return Err(Fault::Malformed { cause: "chunk size" });
        };
        self.count += 1;
        self.received = self.received.saturating_add(size);
        if self.received > limits.body_bytes as u64 {
            return Err(Fault::Exceeded { limit: Limit::Body });
        }
        if self.count as u64 > limits.chunks as u64 + self.received / CHUNK_BYTES {
            return Err(Fault::Exceeded { limit: Limit::Chunks });
        }
        Ok(if size == 0 { ChunkPart::Trailer } else { ChunkPart::Data(size) })
    }
}
