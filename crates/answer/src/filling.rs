//! Evidence that a body was cut and filled by another answer.
//!
//! The length of a body says nothing of whose bytes it holds: if a searcher leaves out the end of an
//! answer and sends another one, the beginning of that one completes the body. The body then holds a
//! status line, or ends with the beginning of one, and the rest of the other answer follows. A sound
//! body may hold the same text, but nothing follows it. So the end of such a body is held back until
//! the connection has been quiet for [`Filling::quiet_period`].

use std::time::Duration;

use crate::attribution::Attribution;
use crate::framing::{Body, Head};
use crate::limits::Limits;

/// How long the connection must be quiet behind a body that holds a status line: twice a delayed
/// acknowledgement (40 ms), for which a sender may wait between two segments, and some more.
const QUIET_PERIOD: Duration = Duration::from_millis(100);

/// The same if the only evidence is an `H` at the end of the body, behind other bytes of the same
/// read: one of 256 random bodies ends so.
const BRIEF_QUIET_PERIOD: Duration = Duration::from_millis(10);

/// A status line up to its status code; `#` stands for a digit.
const STATUS_LINE_PATTERN: &[u8; 12] = b"HTTP/1.# ###";

/// The maximum length of a head within a body that is parsed, in bytes. Heads of searchers have some
/// hundred.
const MAX_HEAD_BYTES: usize = 4096;

/// What is needed to parse a head.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Context<'a> {
    pub(crate) id_header: &'a str,
    pub(crate) request: &'a [u8],
    pub(crate) limits: &'a Limits,
}

/// Searches a body for another answer.
#[derive(Clone, Debug, Default)]
pub(crate) struct Filling {
    status_line: StatusLine,
    is_found: bool,
    /// Boxed, so that the search of an ordinary body moves few bytes.
    second: Option<Box<Second>>,
}

/// The latest answer within a body.
#[derive(Clone, Debug)]
enum Second {
    /// This part of a head.
    Head(Vec<u8>),
    /// What is left of the body, and whom the head names.
    Body(Body, Attribution),
}

impl Filling {
    /// Searches further bytes of the body, which were received together.
    pub(crate) fn search(&mut self, bytes: &[u8], context: Context<'_>) {
        let mut rest = bytes;
        while !rest.is_empty() {
            match self.second.as_deref_mut() {
                Some(Second::Head(head)) => {
                    let end = memchr::memchr(b'\n', rest).map_or(rest.len(), |at| at + 1);
                    let line = &rest[..end];
                    rest = &rest[end..];
                    self.status_line.extend_head(line, head);
                    self.end_line(context);
                }
                Some(Second::Body(body, _)) if !body.is_complete() => {
                    match body.advance(rest, context.limits) {
                        Ok(used) => rest = &rest[used..],
                        Err(_) => self.second = None,
                    }
                }
                None | Some(Second::Body(..)) => {
                    self.second = None;
                    let Some(end) = self.status_line.find(rest) else { return };
                    self.is_found = true;
                    self.second = Some(Box::new(Second::Head(self.status_line.text.to_vec())));
                    rest = &rest[end..];
                }
            }
        }
    }

    /// Parses the head if its last line is complete and empty.
    fn end_line(&mut self, context: Context<'_>) {
        let Some(Second::Head(head)) = self.second.as_deref() else { return };
        if head.len() > MAX_HEAD_BYTES {
            self.second = None;
        } else if head.ends_with(b"\n\r\n") || head.ends_with(b"\n\n") {
            let parsed = Head::parse(head, context.id_header, context.request, false);
            let second = parsed.map(|head| Box::new(Second::Body(head.body, head.attribution)));
            self.second = second.ok();
        }
    }

    /// Returns whether nothing shows that a complete body may be filled.
    #[inline]
    pub(crate) fn is_without_sign(&self) -> bool {
        !self.is_found && self.status_line.matched == 0
    }

    /// Returns whether a status line was found.
    pub(crate) fn is_found(&self) -> bool {
        self.is_found
    }

    /// Returns whom the answer names with which the body ends, if that answer is whole: nothing needs
    /// to follow it.
    pub(crate) fn whole_answer(&self) -> Option<Attribution> {
        match self.second.as_deref() {
            Some(Second::Body(body, named)) if body.is_complete() => Some(*named),
            _ => None,
        }
    }

    /// Returns whether a complete body seems to be filled, given the bytes behind it.
    pub(crate) fn continues(&self, behind: &[u8]) -> bool {
        !behind.is_empty() && (self.is_found || self.status_line.continues(behind))
    }

    /// Returns how long no byte may arrive behind a complete body until it is taken as sound; `None`
    /// if nothing shows that it may be filled.
    pub(crate) fn quiet_period(&self) -> Option<Duration> {
        match (self.is_found, self.status_line.matched) {
            (false, 0) => None,
            (false, 1) if !self.status_line.begins_read => Some(BRIEF_QUIET_PERIOD),
            _ => Some(QUIET_PERIOD),
        }
    }
}

/// The search for a status line.
#[derive(Clone, Copy, Debug, Default)]
struct StatusLine {
    /// How much of it the last bytes agree with.
    matched: usize,
    /// The bytes that agree, or the status line that was found last.
    text: [u8; STATUS_LINE_PATTERN.len()],
    /// Whether the first of them began a read, as that of another answer does that was sent later.
    begins_read: bool,
}

impl StatusLine {
    /// Returns the end of the next status line that ends within the bytes.
    fn find(&mut self, bytes: &[u8]) -> Option<usize> {
        let mut at = 0;
        while at < bytes.len() {
            if self.matched == 0 {
                // Only the first byte of a status line is an `H`, so a match begins at the next one.
                at += memchr::memchr(STATUS_LINE_PATTERN[0], &bytes[at..])?;
                self.begins_read = at == 0;
            } else if !fits(&bytes[at..=at], &STATUS_LINE_PATTERN[self.matched..]) {
                self.matched = 0;
                continue;
            }
            self.text[self.matched] = bytes[at];
            self.matched += 1;
            at += 1;
            if self.matched == STATUS_LINE_PATTERN.len() {
                self.matched = 0;
                return Some(at);
            }
        }
        None
    }

    /// Appends a line or a part of it to a head, which begins anew at a further status line.
    fn extend_head(&mut self, line: &[u8], head: &mut Vec<u8>) {
        let mut rest = line;
        while let Some(end) = self.find(rest) {
            rest = &rest[end..];
            head.clear();
            head.extend_from_slice(&self.text);
        }
        head.extend_from_slice(rest);
    }

    /// Returns whether the last bytes and those behind them agree with a status line as far as they
    /// go.
    fn continues(self, behind: &[u8]) -> bool {
        self.matched > 0 && fits(behind, &STATUS_LINE_PATTERN[self.matched..])
    }
}

/// Returns whether bytes agree with a part of [`STATUS_LINE_PATTERN`] as far as both go.
fn fits(bytes: &[u8], pattern: &[u8]) -> bool {
    let fits = |(byte, expected): (&u8, &u8)| match expected {
        b'#' => byte.is_ascii_digit(),
        _ => byte == expected,
    };
    bytes.iter().zip(pattern).all(fits)
}
