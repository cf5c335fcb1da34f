//! Who takes the news in, and hears how it came.

use std::fmt;
use std::time::{Duration, Instant};

use bergamot_base::Position;

use crate::origin::Origin;
use crate::source::News;

/// Who takes the news in.
pub struct Sink {
    /// Takes in what a record says.
    pub news: Box<dyn Fn(News) + Send + Sync>,
    /// Hears whether the store can be heard of, and how old the last news of it is.
    pub away: Box<dyn Fn(bool, Duration) + Send + Sync>,
    /// Hears that the store was restored from a copy, before it hears anything of its new era:
    /// the last position of the former era that was known, and the first of the new one.
    pub restored: Box<dyn Fn(Position, Position) + Send + Sync>,
    /// Tells whether the process slept, so that the next question must not wait for news.
    pub behind: Box<dyn Fn() -> bool + Send + Sync>,
    /// Tells whether callers wait for the first news.
    pub wanted: Box<dyn Fn() -> bool + Send + Sync>,
    /// Hears of each question to an origin and how it ended.
    pub asked: Box<dyn Fn(&Asked) + Send + Sync>,
}

impl fmt::Debug for Sink {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("Sink")
    }
}

/// A question for news or for chunks that has ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Asked {
    /// Who was asked.
    pub origin: Origin,
    /// What for.
    pub subject: Subject,
    /// When.
    pub at: Instant,
    /// How many bytes the answer brought.
    pub bytes: usize,
    /// Names the trouble for metrics, if the question was not answered.
    pub trouble: Option<&'static str>,
}

/// What a question is about.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Subject {
    /// What has changed in the store.
    News,
    /// The chunks of a large value.
    Chunks,
}
