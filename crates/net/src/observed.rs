//! The socket of a client's connection, which reports what passes and bounds what is read ahead.
//!
//! Invariant: the HTTP library's read buffer grows for the head of a request alone. It grows whenever
//! a read fills it, and keeps its size for the life of the connection.

use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll};

use bergamot_resources::{Activity, Memory, head_memory};
use tokio::io::{AsyncRead, AsyncReadExt, AsyncWrite, ReadBuf, Take};
use tokio::net::TcpStream;
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;

/// The most that is read at once, in bytes: less than fills the library's first read buffer.
const MAX_READ_BYTES: u64 = 8000;

/// Where the heads of a connection count.
#[derive(Debug)]
pub(crate) struct HeadMemory {
    pub(crate) memory: Arc<Memory>,
    /// Closes the connection if its head is discarded.
    pub(crate) close: CancellationToken,
}

/// The observed socket.
#[derive(Debug)]
pub struct Observed {
    stream: Take<TcpStream>,
    activity: Activity,
    /// The memory of heads, if it is bounded.
    heads: Option<HeadMemory>,
}

impl Observed {
    /// Observes a socket whose reader counts the memory of what is read.
    pub fn new(stream: TcpStream, activity: Activity) -> Self {
        Self { stream: stream.take(MAX_READ_BYTES), activity, heads: None }
    }

    /// Observes a socket and counts the memory of heads.
    pub(crate) fn with_heads(
        stream: TcpStream,
        activity: Activity,
        heads: Option<HeadMemory>,
    ) -> Self {
        Self { heads, ..Self::new(stream, activity) }
    }

    /// Records that bytes were read.
    fn record_read(&self, count: usize) -> io::Result<()> {
        let head_bytes = self.activity.record_read(Instant::now().into(), count);
        let memory_bytes = head_bytes.map_or(0, |bytes| head_memory(bytes, 0));
        let Some(HeadMemory { memory, close }) = self.heads.as_ref().filter(|_| memory_bytes > 0)
        else {
            return Ok(());
        };
        let held = self.activity.hold_head(memory, close, memory_bytes);
        held.map_err(|error| io::Error::new(io::ErrorKind::OutOfMemory, error))
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
            this.record_read(count)?;
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
