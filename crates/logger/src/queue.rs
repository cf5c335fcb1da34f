//! The bounded queue between the logging threads and the writer thread.
//!
//! Invariant: logging never blocks on the output, and the queue holds at most [`MAX_QUEUED_LINES`]
//! lines.

use std::collections::VecDeque;
use std::io::{self, Write};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::thread;
use std::time::Duration;

/// The maximum number of queued lines: several seconds of output from a failing process, in less
/// than a megabyte of memory.
pub const MAX_QUEUED_LINES: usize = 4096;

/// The interval at which the writer thread polls the queue; each poll wakes up the thread.
const POLL_INTERVAL: Duration = Duration::from_millis(50);

#[derive(Debug, Default)]
struct State {
    lines: VecDeque<Vec<u8>>,
    dropped: u64,
}

/// A bounded queue of formatted lines.
#[derive(Clone, Debug, Default)]
pub struct Queue {
    state: Arc<Mutex<State>>,
}

impl Queue {
    /// Writes all queued lines, followed by the number of dropped lines, if any.
    pub fn drain(&self, out: &mut impl Write) -> io::Result<()> {
        let (lines, dropped) = {
            let mut state = self.lock();
            (std::mem::take(&mut state.lines), std::mem::take(&mut state.dropped))
        };
        for line in lines {
            out.write_all(&line)?;
        }
        if dropped > 0 {
            writeln!(out, "level=warn logger: event=lines_dropped count={dropped}")?;
        }
        out.flush()
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Write for Queue {
    fn write(&mut self, buf: &[u8]) -> io::Result<usize> {
        let mut state = self.lock();
        if state.lines.len() < MAX_QUEUED_LINES {
            state.lines.push_back(buf.to_vec());
        } else {
            state.dropped += 1;
        }
        Ok(buf.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// Starts logging to standard output, with one line per record, and returns the queue.
///
/// `filter` is the log filter that applies if `RUST_LOG` is not set.
pub fn start(filter: &str) -> Queue {
    let queue = Queue::default();
    let format = |buffer: &mut env_logger::fmt::Formatter, record: &log::Record<'_>| {
        let level = record.level().as_str().to_ascii_lowercase();
        writeln!(buffer, "ts={} level={level} {}", buffer.timestamp_millis(), record.args())
    };
    env_logger::Builder::from_env(env_logger::Env::default().default_filter_or(filter))
        .format(format)
        .target(env_logger::Target::Pipe(Box::new(queue.clone())))
        .init();
    let writer = queue.clone();
    thread::spawn(move || {
        loop {
            thread::sleep(POLL_INTERVAL);
            // There is nowhere to report a failure of the output, so the process continues without it.
            let _ = writer.drain(&mut io::stdout().lock());
        }
    });
    queue
}
