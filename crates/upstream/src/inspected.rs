//! A connection whose received bytes pass an [`Inspector`] before the HTTP library sees them.

use std::error::Error;
use std::io;
use std::pin::Pin;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::task::{Context, Poll, ready};

use bergamot_answer::{Fault, Finding, Inspector};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

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

/// The inspected socket.
pub(crate) struct Inspected {
    stream: TcpStream,
    reader: Reader,
    inspector: SharedInspector,
    on_finding: OnFinding,
    /// Bytes of the answer that are not delivered yet, from `delivered` on.
    own: Vec<u8>,
    delivered: usize,
}

impl Inspected {
    pub(crate) fn new(
        stream: TcpStream,
        reader: Reader,
        inspector: SharedInspector,
        on_finding: OnFinding,
    ) -> Self {
        Self { stream, reader, inspector, on_finding, own: Vec::new(), delivered: 0 }
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

    /// Inspects what was just read into `buffer` behind `before`; returns whether it belongs to
    /// the answer and can stay there.
    fn inspect(&mut self, buffer: &mut ReadBuf<'_>, before: usize) -> bool {
        let mut inspector = self.inspector.lock();
        if inspector.pass(&buffer.filled()[before..]) {
            return true;
        }
        inspector.inspect(&buffer.filled()[before..], &mut self.own);
        buffer.set_filled(before);
        drop(inspector);
        self.report();
        false
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
            let turn = ready!(this.reader.poll_turn(cx));
            let before = buf.filled().len();
            ready!(Pin::new(&mut this.stream).poll_read(cx, buf))?;
            if buf.filled().len() == before {
                return Poll::Ready(this.end());
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
