//! The inspection of the bytes that arrive on one connection.

use std::fmt;
use std::sync::Arc;
use std::time::Duration;

use bergamot_resources::{Buffer, Memory};

use crate::attribution::Attribution;
use crate::fault::{Fault, Limit};
use crate::filling::{Context, Filling};
use crate::framing::{Body, Head, STATUS_LINE};
use crate::limits::Limits;
use crate::verdict::is_status;

/// The maximum size of line breaks before an answer, in bytes.
const MAX_LINE_BREAKS: usize = 64;

/// An answer that was skipped because it doesn't name the waiting request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Stray {
    /// Whom it names.
    pub attribution: Attribution,
    /// Its status code.
    pub status: u16,
    /// The identifier of the request that waited meanwhile.
    pub request: String,
}

/// Something on a connection that is not the answer to its request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Finding {
    /// An answer that was skipped.
    Skipped(Stray),
    /// Bytes behind which nothing can be attributed; the connection must be closed.
    Fault(Fault),
}

impl Finding {
    /// Returns the name in metrics.
    pub fn label(&self) -> &'static str {
        match self {
            Self::Skipped(stray) => stray.attribution.label(),
            Self::Fault(fault) => fault.label(),
        }
    }
}

impl fmt::Display for Finding {
    /// Writes the fields of a log line.
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Skipped(Stray { attribution, status, request }) => {
                let names = attribution.label();
                write!(f, "request={request:?} names={names} status={status}")
            }
            Self::Fault(fault) => write!(f, "cause=\"{fault}\""),
        }
    }
}

/// The request that waits for an answer.
#[derive(Debug)]
struct Request {
    id: Vec<u8>,
    /// Whether its answer has no body, whatever the head says.
    is_bodiless: bool,
}

/// What comes next on the connection.
#[derive(Debug)]
enum Phase {
    /// Nothing: no request waits.
    Idle,
    /// A head.
    Head,
    /// The body of the answer.
    Own(Body, Filling),
    /// Nothing, if the complete body of the answer is not filled by another one.
    Held(Filling),
    /// The body of an answer to another request; the flag is whether any of it was received.
    Stray(Body, bool),
}

/// Follows the bytes of one connection to a searcher and passes on those that answer the waiting
/// request.
#[derive(Debug)]
pub struct Inspector {
    id_header: &'static str,
    limits: Limits,
    memory: Arc<Memory>,
    request: Request,
    phase: Phase,
    /// The beginning of an incomplete head.
    head: Option<Buffer>,
    /// Whether the last line of the head so far is empty.
    is_line_empty: bool,
    interim: usize,
    strays: usize,
    stray_bytes: usize,
    line_breaks: usize,
    findings: Vec<Finding>,
    is_clean: bool,
    fault: Option<Fault>,
}

impl Inspector {
    /// Creates the inspector of a new connection, on which no request waits. Requests and answers
    /// are named in the header `id_header`.
    pub fn new(id_header: &'static str, limits: Limits, memory: Arc<Memory>) -> Self {
        Self {
            id_header,
            limits,
            memory,
            request: Request { id: Vec::new(), is_bodiless: false },
            phase: Phase::Idle,
            head: None,
            is_line_empty: false,
            interim: 0,
            strays: 0,
            stray_bytes: 0,
            line_breaks: 0,
            findings: Vec::new(),
            is_clean: true,
            fault: None,
        }
    }

    /// Records that a request is about to be sent, which all further bytes must answer.
    pub fn begin(&mut self, id: &[u8], is_bodiless: bool) -> Result<(), Fault> {
        if let Some(fault) = self.fault {
            return Err(fault);
        }
        if !matches!(self.phase, Phase::Idle) {
            return Err(self.fail(Fault::Unsolicited));
        }
        self.request = Request { id: id.to_vec(), is_bodiless };
        self.begin_head();
        (self.interim, self.strays, self.stray_bytes, self.line_breaks) = (0, 0, 0, 0);
        Ok(())
    }

    /// Returns whether the last request had this identifier. A second answer to it could not be told
    /// from that of another request with the same one.
    pub fn has_last_answered(&self, id: &[u8]) -> bool {
        self.request.id == id
    }

    /// Returns whether the connection has only carried answers to its requests.
    pub fn is_clean(&self) -> bool {
        self.is_clean
    }

    /// Returns why the connection must be closed, once the bytes passed on so far are delivered.
    pub fn fault(&self) -> Option<Fault> {
        self.fault
    }

    /// Returns what was found since the last call.
    pub fn take_findings(&mut self) -> Vec<Finding> {
        std::mem::take(&mut self.findings)
    }

    /// Records bytes that arrived, if all of them belong to the body of the answer; returns whether
    /// they do, so that they need not be copied.
    pub fn pass(&mut self, bytes: &[u8]) -> bool {
        let (count, limit) = (bytes.len() as u64, self.limits.body_bytes as u64);
        let Phase::Own(body, filling) = &mut self.phase else { return false };
        match body {
            _ if self.fault.is_some() => return false,
            Body::Length(left) if *left >= count => *left -= count,
            Body::UntilClose(received) if *received + count <= limit => *received += count,
            _ => return false,
        }
        let context =
            Context { id_header: self.id_header, request: &self.request.id, limits: &self.limits };
        filling.search(bytes, context);
        if body.is_complete()
            && let Err(fault) = self.end_body(&[])
        {
            self.fail(fault);
            return false;
        }
        true
    }

    /// Returns for how long no further byte may arrive until the last byte of the answer, which was
    /// passed on, may be delivered; `None` if it may be delivered now.
    ///
    /// The answer is complete by its length and may be filled by another one, the rest of which then
    /// follows. Without it, or at the end of the connection, the answer is taken as sound
    /// ([`Self::release`], [`Self::end`]). If bytes follow that don't continue an answer, the fault
    /// is behind the answer, which is sound as well.
    pub fn hold(&self) -> Option<Duration> {
        match &self.phase {
            Phase::Held(filling) if self.fault.is_none() => filling.quiet_period(),
            _ => None,
        }
    }

    /// Records that nothing arrived for the time of [`Self::hold`].
    pub fn release(&mut self) {
        if matches!(self.phase, Phase::Held(_)) {
            self.phase = Phase::Idle;
        }
    }

    /// Inspects bytes and appends those that answer the waiting request to `own`. Everything
    /// behind a fault is dropped.
    pub fn inspect(&mut self, input: &[u8], own: &mut Vec<u8>) {
        let mut rest = input;
        while !rest.is_empty() && self.fault.is_none() {
            let result = match &self.phase {
                Phase::Held(filling) if filling.continues(rest) => Err(Fault::Filled),
                Phase::Idle | Phase::Held(_) => Err(Fault::Unsolicited),
                Phase::Head => self.read_head(rest, own),
                Phase::Own(..) => self.read_body(rest, own),
                Phase::Stray(..) => self.skip_body(rest),
            };
            match result {
                Ok(used) => rest = &rest[used..],
                Err(fault) => {
                    self.fail(fault);
                }
            }
        }
    }

    /// Records the end of the connection. Returns the fault if it ends an answer that seems to hold
    /// another.
    pub fn end(&mut self) -> Option<Fault> {
        self.release();
        match &self.phase {
            Phase::Own(Body::UntilClose(_), filling) if filling.is_found() => {
                Some(self.fail(Fault::Filled))
            }
            _ => None,
        }
    }

    fn fail(&mut self, fault: Fault) -> Fault {
        self.is_clean = false;
        self.head = None;
        if self.fault.is_none() {
            self.findings.push(Finding::Fault(fault));
        }
        *self.fault.get_or_insert(fault)
    }

    fn begin_head(&mut self) {
        self.phase = Phase::Head;
        self.head = None;
        self.is_line_empty = false;
    }

    /// Reads bytes of a head. The head is parsed once, when it is complete, so that one that
    /// arrives byte by byte costs no more than another.
    fn read_head(&mut self, input: &[u8], own: &mut Vec<u8>) -> Result<usize, Fault> {
        if self.head.is_none() {
            let breaks = input.iter().take_while(|byte| matches!(byte, b'\r' | b'\n')).count();
            if breaks > 0 {
                // Servers may send line breaks behind a body.
                self.line_breaks += breaks;
                if self.line_breaks > MAX_LINE_BREAKS {
                    return Err(Fault::Malformed { cause: "line breaks" });
                }
                return Ok(breaks);
            }
        }
        let end = self.find_head_end(input);
        let used = end.unwrap_or(input.len());
        let received = self.head.as_ref().map_or(0, Buffer::len);
        if received == 0 && !agrees(input, STATUS_LINE) {
            return Err(Fault::Malformed { cause: "status line" });
        }
        if received + used > self.limits.head_bytes {
            return Err(Fault::Exceeded { limit: Limit::Head });
        }
        let exhausted = |_| Fault::Exceeded { limit: Limit::Memory };
        if end.is_none() || self.head.is_some() {
            let head = self.head.get_or_insert_with(|| self.memory.begin());
            head.append(&input[..used]).map_err(exhausted)?;
        }
        if end.is_some() {
            match self.head.take() {
                Some(head) => self.end_head(&head.finish().map_err(exhausted)?, own)?,
                None => self.end_head(&input[..used], own)?,
            }
        }
        Ok(used)
    }

    /// Returns the length of the input up to the empty line that ends the head.
    fn find_head_end(&mut self, input: &[u8]) -> Option<usize> {
        for (at, byte) in input.iter().enumerate() {
            match byte {
                b'\n' if self.is_line_empty => return Some(at + 1),
                b'\n' => self.is_line_empty = true,
                b'\r' => {}
                _ => self.is_line_empty = false,
            }
        }
        None
    }

    /// Decides what follows a complete head.
    fn end_head(&mut self, bytes: &[u8], own: &mut Vec<u8>) -> Result<(), Fault> {
        let Request { id, is_bodiless } = &self.request;
        let head = Head::parse(bytes, self.id_header, id, *is_bodiless)?;
        self.begin_head();
        match head.status {
            status if !is_status(status) => Err(Fault::Malformed { cause: "status" }),
            101 => Err(Fault::Malformed { cause: "switch of protocols" }),
            100..=199 => {
                self.interim += 1;
                if self.interim > self.limits.interim {
                    return Err(Fault::Exceeded { limit: Limit::Interim });
                }
                Ok(())
            }
            _ if head.attribution == Attribution::Own => {
                head.body.check(&self.limits)?;
                own.extend_from_slice(bytes);
                self.phase = if head.body.is_complete() {
                    Phase::Idle
                } else {
                    Phase::Own(head.body, Filling::default())
                };
                Ok(())
            }
            _ => self.begin_stray(bytes.len(), head),
        }
    }

    fn begin_stray(&mut self, length: usize, head: Head) -> Result<(), Fault> {
        self.is_clean = false;
        let request = String::from_utf8_lossy(&self.request.id).into_owned();
        let Head { status, attribution, body } = head;
        self.findings.push(Finding::Skipped(Stray { attribution, status, request }));
        self.strays += 1;
        if self.strays > self.limits.strays {
            return Err(Fault::Exceeded { limit: Limit::Strays });
        }
        self.count_stray_bytes(length)?;
        match body {
            Body::UntilClose(_) => Err(Fault::Unframed),
            body if body.is_complete() => Ok(()),
            body => {
                self.phase = Phase::Stray(body, false);
                Ok(())
            }
        }
    }

    fn count_stray_bytes(&mut self, count: usize) -> Result<(), Fault> {
        self.stray_bytes += count;
        if self.stray_bytes > self.limits.stray_bytes {
            return Err(Fault::Exceeded { limit: Limit::Strays });
        }
        Ok(())
    }

    /// Skips bytes of the body of an answer to another request.
    fn skip_body(&mut self, input: &[u8]) -> Result<usize, Fault> {
        let Phase::Stray(body, begun) = &mut self.phase else { return Ok(0) };
        if !*begun && input.starts_with(STATUS_LINE) {
            // The head came without its body: what follows is judged by its own head.
            self.begin_head();
            return Ok(0);
        }
        *begun = true;
        let used = body.advance(input, &self.limits)?;
        let is_complete = body.is_complete();
        self.count_stray_bytes(used)?;
        if is_complete {
            self.begin_head();
        }
        Ok(used)
    }

    /// Passes on bytes of the body of the answer.
    fn read_body(&mut self, input: &[u8], own: &mut Vec<u8>) -> Result<usize, Fault> {
        let Self { phase: Phase::Own(body, filling), id_header, request, limits, .. } = self else {
            return Ok(0);
        };
        let used = body.advance(input, limits)?;
        let (part, behind) = input.split_at(used);
        filling.search(part, Context { id_header, request: &request.id, limits });
        if body.is_complete() {
            self.end_body(behind)?;
        }
        own.extend_from_slice(part);
        Ok(used)
    }

    /// Decides whether the complete body is the answer's own, given what was received behind it.
    fn end_body(&mut self, behind: &[u8]) -> Result<(), Fault> {
        let Phase::Own(body, filling) = &mut self.phase else { return Ok(()) };
        if filling.is_without_sign() {
            self.phase = Phase::Idle;
            return Ok(());
        }
        // Text in the chunks of a sound body never reaches to the end of the last chunk's line.
        let is_chunked = matches!(body, Body::Chunked(_));
        let holds_whole = match filling.whole_answer() {
            Some(named) => named != Attribution::Nobody || is_chunked,
            None => false,
        };
        if holds_whole || filling.continues(behind) {
            return Err(Fault::Filled);
        }
        let is_held = behind.is_empty() && filling.quiet_period().is_some();
        self.phase = if is_held { Phase::Held(std::mem::take(filling)) } else { Phase::Idle };
        Ok(())
    }
}

/// Returns whether two byte strings are equal as far as both go.
fn agrees(bytes: &[u8], expected: &[u8]) -> bool {
    bytes.iter().zip(expected).all(|(byte, expected)| byte == expected)
}
