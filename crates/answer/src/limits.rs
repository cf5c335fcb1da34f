//! What one answer may hold or cost.

/// The mean size from which chunks are not bounded in number, in bytes: each costs some hundred
/// nanoseconds, about as much as receiving 64 bytes.
pub const CHUNK_BYTES: u64 = 64;

/// The maximum number of headers of an answer, interim responses included. Up to as many, the HTTP
/// library parses a head without memory from the heap, which would cost each answer about a
/// microsecond.
pub const MAX_HEADERS: usize = 100;

/// The bounds of one answer, with everything that comes on its connection before it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// The maximum size of a head, in bytes.
    pub head_bytes: usize,
    /// The maximum size of a body, in bytes without the encoding of chunks.
    pub body_bytes: usize,
    /// The maximum number of chunks of a body, beside one for each [`CHUNK_BYTES`] of it.
    pub chunks: usize,
    /// The maximum number of interim responses before an answer.
    pub interim: usize,
    /// The maximum number of answers to other requests before an answer.
    pub strays: usize,
    /// The maximum size of all answers to other requests before an answer, in bytes.
    pub stray_bytes: usize,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            head_bytes: 32 << 10,
            body_bytes: 16 << 20,
            chunks: 1024,
            interim: 16,
            strays: 16,
            stray_bytes: 16 << 20,
        }
    }
}
