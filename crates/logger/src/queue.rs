//! The bounded queue between those who log and the thread that writes.
//!
//! Invariant: logging never waits for the output; the queue holds at most [`MOST`] lines.

use std::collections::VecDeque;
use std::io::{self, Write};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::thread;
use std::time::Duration;

/// How many lines wait at most: some seconds of a process in trouble, below a megabyte.
pub const MOST: usize = 4096;

/// How often the writer looks for lines. Each look costs a wake-up.
const LOOK: Duration = Duration::from_millis(50);

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
    /// Writes all waiting lines, with a line about those that were dropped.
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
        if state.lines.len() < MOST {
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

/// Starts logging to standard output, one line a record, and returns the queue.
///
/// `filter` says what is logged unless `RUST_LOG` does.
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
            thread::sleep(LOOK);
            // Nobody can be told that the output is gone; the process goes on without it.
            let _ = writer.drain(&mut io::stdout().lock());
        }
    });
    queue
}
