//! The socket of a client's connection, which reports what passes and bounds what is read ahead.
//!
//! Invariant: the HTTP library's read buffer grows for the head of a request alone. It grows whenever
//! a read fills it, and keeps its size for the life of the connection.

use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll};

use bergamot_resources::{Activity, Memory, Reservation, head_memory};
use tokio::io::{AsyncRead, AsyncReadExt, AsyncWrite, ReadBuf, Take};
use tokio::net::TcpStream;
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;

/// The most that is read at once, in bytes: less than fills the library's first read buffer.
const MAX_READ_BYTES: u64 = 8000;

/// The memory of an incomplete head beyond a small one, if the memory of heads is bounded.
#[derive(Debug)]
pub(crate) struct HeadMemory {
    memory: Option<Arc<Memory>>,
    /// Closes the connection if its head is discarded.
    close: CancellationToken,
    head: Option<Reservation>,
}

impl HeadMemory {
    pub(crate) fn new(memory: Option<Arc<Memory>>, close: CancellationToken) -> Self {
        Self { memory, close, head: None }
    }

    /// Counts a head of which so many bytes were received, or none.
    fn record(&mut self, bytes: Option<usize>) -> io::Result<()> {
        let memory_bytes = bytes.map_or(0, |bytes| head_memory(bytes, 0));
        let Some(memory) = self.memory.as_ref().filter(|_| memory_bytes > 0) else {
            self.head = None;
            return Ok(());
        };
        let head = self.head.get_or_insert_with(|| memory.reservation(self.close.clone()));
        let reserved = head.set(memory_bytes);
        reserved.map_err(|error| io::Error::new(io::ErrorKind::OutOfMemory, error))
    }
}

/// The observed socket.
#[derive(Debug)]
pub struct Observed {
    stream: Take<TcpStream>,
    activity: Activity,
    head: Option<HeadMemory>,
}

impl Observed {
    /// Observes a socket whose reader counts the memory of what is read.
    pub fn new(stream: TcpStream, activity: Activity) -> Self {
        Self { stream: stream.take(MAX_READ_BYTES), activity, head: None }
    }

    /// Observes a socket and counts the memory of heads.
    pub(crate) fn with_heads(stream: TcpStream, activity: Activity, head: HeadMemory) -> Self {
        Self { head: Some(head), ..Self::new(stream, activity) }
    }

    fn socket(self: Pin<&mut Self>) -> Pin<&mut TcpStream> {
        Pin::new(self.get_mut().stream.get_mut())
    }
}

fn record_written(activity: &Activity, polled: &Poll<io::Result<usize>>) {
    if let Poll::Ready(Ok(1..)) = polled {
        activity.record_write(Instant::now().into());
    }
}

impl AsyncRead for Observed {
    fn poll_read(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let this = self.get_mut();
        let before = buf.filled().len();
        this.stream.set_limit(MAX_READ_BYTES);
        let polled = Pin::new(&mut this.stream).poll_read(cx, buf)?;
        let count = buf.filled().len() - before;
        if count > 0 {
            let received = this.activity.record_read(Instant::now().into(), count);
            if let Some(head) = &mut this.head {
                head.record(received)?;
            }
        }
        polled.map(Ok)
    }
}

impl AsyncWrite for Observed {
    fn poll_write(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        let activity = self.activity.clone();
        let polled = self.socket().poll_write(cx, buf);
        record_written(&activity, &polled);
        polled
    }

    fn poll_flush(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        self.socket().poll_flush(cx)
    }

    fn poll_shutdown(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        self.socket().poll_shutdown(cx)
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let activity = self.activity.clone();
        let polled = self.socket().poll_write_vectored(cx, bufs);
        record_written(&activity, &polled);
        polled
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.get_ref().is_write_vectored()
    }
}
