//! What the machine says of this process: processor time by thread name, and memory.

use std::fs;

/// The unit of processor times in `/proc`, in a second.
const TICKS: f64 = 100.0;

/// The size of a page of memory, in bytes.
const PAGE: f64 = 4096.0;

/// Returns the processor time that the threads with a name have used, in seconds.
pub(crate) fn cpu(name: &str) -> f64 {
    let Ok(tasks) = fs::read_dir("/proc/self/task") else { return 0.0 };
    let own = tasks.flatten().filter_map(|task| {
        let stat = fs::read_to_string(task.path().join("stat")).ok()?;
        let (head, fields) = stat.rsplit_once(')')?;
        let named = head.split_once('(')?.1.starts_with(name);
        let field = |number: usize| fields.split_whitespace().nth(number)?.parse::<f64>().ok();
        named.then_some(())?;
        Some((field(11)? + field(12)?) / TICKS)
    });
    own.sum()
}

/// Returns the resident memory of this process, in bytes.
pub(crate) fn memory() -> f64 {
    let statm = fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = statm.split_whitespace().nth(1).and_then(|pages| pages.parse::<f64>().ok());
    pages.unwrap_or(0.0) * PAGE
}

/// Describes the machine in a line.
pub(crate) fn machine() -> String {
    let info = fs::read_to_string("/proc/cpuinfo").unwrap_or_default();
    let model = info.lines().find_map(|line| line.strip_prefix("model name")?.split_once(':'));
    let model = model.map_or("an unnamed processor", |(_, name)| name.trim());
    let cores = info.lines().filter(|line| line.starts_with("processor")).count();
    let build = if cfg!(debug_assertions) { "debug" } else { "release" };
    format!("Measured with a {build} build on {cores} cores of {model}, over loopback.\n")
}

/// Starts a runtime whose threads carry a name, so that its time can be told apart.
pub(crate) fn runtime(name: &'static str, threads: usize) -> tokio::runtime::Runtime {
    tokio::runtime::Builder::new_multi_thread()
        .worker_threads(threads)
        .thread_name(name)
        .enable_all()
        .build()
        .expect("the machine has room for a few threads")
}
