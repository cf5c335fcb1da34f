//! The bound of the heads of requests.

use hyper::server::conn::http1::Builder;

/// The size of the shortest header, in bytes: a name of one byte, a colon and a line break.
const MIN_HEADER_BYTES: usize = 4;

/// The maximum number of headers, whatever the limit in bytes. The library's table of headers
/// panics beyond 24,576, and some are added to those of a request before it is forwarded.
const MAX_HEADERS: usize = 1 << 14;

/// The number of headers for which the library needs no memory from the heap.
const STACK_HEADERS: usize = 100;

/// The read buffer of the library, in bytes, which must hold a whole head.
const READ_BUFFER_BYTES: usize = 408 << 10;

/// The bound of a request's head, from its first byte to the empty line behind the headers.
///
/// It is one of size alone: the HTTP library's bound on the number of headers is as many as fit into
/// it, up to [`MAX_HEADERS`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct HeadLimit {
    bytes: usize,
}

impl HeadLimit {
    /// Creates a limit in bytes.
    pub const fn new(bytes: usize) -> Self {
        Self { bytes }
    }

    /// Returns the number of headers that a head may have.
    pub fn headers(self) -> usize {
        (self.bytes / MIN_HEADER_BYTES).clamp(STACK_HEADERS, MAX_HEADERS)
    }

    pub(crate) fn apply(self, builder: &mut Builder) {
        builder.max_header_size(self.bytes).max_buf_size(self.bytes.max(READ_BUFFER_BYTES));
        if self.headers() > STACK_HEADERS {
            builder.max_headers(self.headers());
        }
    }
}
