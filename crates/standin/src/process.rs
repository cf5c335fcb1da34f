//! What the operating system says of a process of a test.

use std::fs;
use std::io;
use std::time::{Duration, Instant};

/// The interval over which the processor time of an idle process is measured, and the most that it uses
/// in it.
const IDLE_INTERVAL: Duration = Duration::from_millis(300);
const MAX_IDLE_TIME: Duration = Duration::from_millis(30);

/// A process by its identifier.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Process(u32);

impl Process {
    /// Names the process with an identifier.
    pub fn new(id: u32) -> Self {
        Self(id)
    }

    /// Returns whether it has not exited.
    pub fn is_running(self) -> bool {
        self.read("status").is_ok_and(|status| !status.contains("State:\tZ"))
    }

    /// Returns the largest amount of memory that it has used, in bytes.
    pub fn peak_memory(self) -> u64 {
        let status = self.read("status").expect("the process is running");
        let line = status.lines().find_map(|line| line.strip_prefix("VmHWM:"));
        let kilobytes = line.and_then(|line| line.trim().strip_suffix(" kB"));
        kilobytes.and_then(|text| text.parse::<u64>().ok()).expect("a peak in kB") * 1024
    }

    /// Returns the processor time that it has used.
    pub fn processor_time(self) -> Duration {
        let stat = self.read("stat").expect("the process is running");
        let fields: Vec<&str> = stat.rsplit(") ").next().expect("a state").split(' ').collect();
        // `utime` and `stime` are fields 11 and 12 after the state, in clock ticks of 10 ms.
        let ticks = [11, 12].map(|at| fields[at].parse::<u64>().expect("a count of ticks"));
        Duration::from_millis((ticks[0] + ticks[1]) * 10)
    }

    /// Waits until it has little to do, for a limited time.
    pub async fn wait_until_idle(self, limit: Duration) {
        let end = Instant::now() + limit;
        let mut before = self.processor_time();
        while Instant::now() < end {
            tokio::time::sleep(IDLE_INTERVAL).await;
            let after = self.processor_time();
            if after.saturating_sub(before) <= MAX_IDLE_TIME {
                return;
            }
            before = after;
        }
    }

    /// Returns how many sockets it has open.
    pub fn sockets(self) -> u64 {
        let open = fs::read_dir(format!("/proc/{}/fd", self.0)).expect("the process is running");
        // A descriptor may be closed meanwhile.
        let targets = open.filter_map(|entry| fs::read_link(entry.ok()?.path()).ok());
        targets.filter(|target| target.to_string_lossy().starts_with("socket:")).count() as u64
    }

    /// Returns the content of a file about it.
    pub fn read(self, file: &str) -> io::Result<String> {
        fs::read_to_string(format!("/proc/{}/{file}", self.0))
    }
}
