//! A connection whose received bytes pass an [`Inspector`] before the HTTP library sees them.

use std::error::Error;
use std::io;
use std::pin::Pin;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::task::{Context, Poll, ready};
use std::time::Duration;

use bergamot_answer::{Fault, Finding, Inspector};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;
use tokio::time::{Instant, Sleep};

use crate::read_turns::Reader;

/// The inspector of a connection, shared by the owner of the connection and its socket.
#[derive(Clone, Debug)]
pub(crate) struct SharedInspector(Arc<Mutex<Inspector>>);

impl SharedInspector {
    pub(crate) fn new(inspector: Inspector) -> Self {
        Self(Arc::new(Mutex::new(inspector)))
    }

    pub(crate) fn lock(&self) -> MutexGuard<'_, Inspector> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Called with what an inspector has found, without its lock.
pub(crate) type OnFinding = Box<dyn Fn(&Finding) + Send + Sync>;

/// The time between two looks at a quiet connection. Quiet time is counted in these steps, each of
/// which begins when the one before is seen to end: while the process doesn't run, it sees no bytes.
const QUIET_STEP: Duration = Duration::from_millis(5);

/// The last byte of an answer that may be filled by another one, until the connection has been quiet.
struct HeldByte {
    byte: u8,
    /// The steps that are left, with the current one.
    steps: u128,
    step: Pin<Box<Sleep>>,
}

/// The inspected socket.
pub(crate) struct Inspected {
    stream: TcpStream,
    reader: Reader,
    inspector: SharedInspector,
    on_finding: OnFinding,
    /// Bytes of the answer that are not delivered yet, from `delivered` on.
    own: Vec<u8>,
    delivered: usize,
    held: Option<HeldByte>,
}

impl Inspected {
    pub(crate) fn new(
        stream: TcpStream,
        reader: Reader,
        inspector: SharedInspector,
        on_finding: OnFinding,
    ) -> Self {
        Self { stream, reader, inspector, on_finding, own: Vec::new(), delivered: 0, held: None }
    }

    /// Moves inspected bytes to `buffer`; returns whether there were any.
    fn deliver(&mut self, buffer: &mut ReadBuf<'_>) -> bool {
        let pending = &self.own[self.delivered..];
        let count = pending.len().min(buffer.remaining());
        buffer.put_slice(&pending[..count]);
        self.delivered += count;
        if self.delivered == self.own.len() {
            // The memory of a large part is not kept for the life of the connection.
            self.own = Vec::new();
            self.delivered = 0;
        }
        count > 0
    }

    /// Inspects what was just read into `buffer` behind `before`; returns whether any of it belongs
    /// to the answer and can stay there.
    fn inspect(&mut self, buffer: &mut ReadBuf<'_>, before: usize) -> bool {
        let mut inspector = self.inspector.lock();
        if inspector.pass(&buffer.filled()[before..]) {
            let hold = inspector.hold();
            drop(inspector);
            if let Some(period) = hold {
                let last = buffer.filled().len() - 1;
                self.hold(buffer.filled()[last], period);
                buffer.set_filled(last);
            }
            return buffer.filled().len() > before;
        }
        inspector.inspect(&buffer.filled()[before..], &mut self.own);
        buffer.set_filled(before);
        let (hold, fault) = (inspector.hold(), inspector.fault());
        drop(inspector);
        match hold {
            Some(period) => {
                if let Some(byte) = self.own.pop() {
                    self.hold(byte, period);
                }
            }
            None if fault.is_none_or(Fault::is_behind_answer) => self.deliver_held(),
            None => self.held = None,
        }
        self.report();
        false
    }

    fn hold(&mut self, byte: u8, period: Duration) {
        let steps = period.as_millis().div_ceil(QUIET_STEP.as_millis());
        self.held = Some(HeldByte { byte, steps, step: Box::pin(tokio::time::sleep(QUIET_STEP)) });
    }

    /// Delivers the byte that is held back, if there is one.
    fn deliver_held(&mut self) {
        self.own.extend(self.held.take().map(|held| held.byte));
    }

    /// Waits until the connection has been quiet for long enough behind an answer that may be filled.
    fn poll_quiet(&mut self, cx: &mut Context<'_>) -> Poll<()> {
        let Some(held) = &mut self.held else { return Poll::Pending };
        while held.steps > 0 {
            ready!(held.step.as_mut().poll(cx));
            held.steps -= 1;
            held.step.as_mut().reset(Instant::now() + QUIET_STEP);
        }
        self.inspector.lock().release();
        self.deliver_held();
        Poll::Ready(())
    }

    /// Handles the end of the connection.
    fn end(&mut self) -> io::Result<()> {
        let fault = self.inspector.lock().end();
        self.report();
        fault.map_or(Ok(()), |fault| Err(as_io_error(fault)))
    }

    /// Reports what the inspector has found.
    fn report(&self) {
        let findings = self.inspector.lock().take_findings();
        for finding in &findings {
            (self.on_finding)(finding);
        }
    }
}

impl AsyncRead for Inspected {
    fn poll_read(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let this = self.get_mut();
        loop {
            if this.deliver(buf) {
                return Poll::Ready(Ok(()));
            }
            if let Some(fault) = this.inspector.lock().fault() {
                return Poll::Ready(Err(as_io_error(fault)));
            }
            // An answer that is complete waits for its quiet period alone.
            let turn = if this.held.is_some() { None } else { ready!(this.reader.poll_turn(cx)) };
            let before = buf.filled().len();
            // Bytes go before the timer, so that a process that was late doesn't overlook them.
            if Pin::new(&mut this.stream).poll_read(cx, buf)?.is_pending() {
                ready!(this.poll_quiet(cx));
                continue;
            }
            if buf.filled().len() == before {
                this.end()?;
                if this.held.is_none() {
                    return Poll::Ready(Ok(()));
                }
                this.deliver_held();
                continue;
            }
            this.reader.record(buf.filled().len() - before);
            if let Some(turn) = turn {
                turn.end_after_ready_tasks();
            }
            if this.inspect(buf, before) {
                return Poll::Ready(Ok(()));
            }
        }
    }
}

impl AsyncWrite for Inspected {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        self.reader.begin_answer(cx);
        Pin::new(&mut self.stream).poll_write(cx, buf)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        self.reader.begin_answer(cx);
        Pin::new(&mut self.stream).poll_write_vectored(cx, bufs)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }
}

fn as_io_error(fault: Fault) -> io::Error {
    io::Error::new(io::ErrorKind::InvalidData, fault)
}

/// Returns the fault of an inspector that caused an error, if one did.
pub(crate) fn fault_of(error: &(dyn Error + 'static)) -> Option<Fault> {
    let mut cause = Some(error);
    while let Some(error) = cause {
        let inner = error.downcast_ref::<io::Error>().and_then(io::Error::get_ref);
        if let Some(fault) = inner.and_then(|inner| inner.downcast_ref::<Fault>()) {
            return Some(*fault);
        }
        cause = error.source();
    }
    None
}
