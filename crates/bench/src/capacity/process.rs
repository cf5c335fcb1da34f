//! Processor time by thread name and resident memory of this process, from `/proc`.

use std::fs;

/// The clock ticks per second in which `/proc` reports processor time.
const TICKS_PER_SECOND: f64 = 100.0;

/// The size of a memory page, in bytes.
const PAGE_BYTES: f64 = 4096.0;

/// Returns the processor time of the threads whose name has a prefix, in seconds.
pub(crate) fn cpu(prefix: &str) -> f64 {
    let Ok(tasks) = fs::read_dir("/proc/self/task") else { return 0.0 };
    let times = tasks.flatten().filter_map(|task| {
        let stat = fs::read_to_string(task.path().join("stat")).ok()?;
        let (head, fields) = stat.rsplit_once(')')?;
        let named = head.split_once('(')?.1.starts_with(prefix);
        let field = |number: usize| fields.split_whitespace().nth(number)?.parse::<f64>().ok();
        named.then_some(())?;
        Some((field(11)? + field(12)?) / TICKS_PER_SECOND)
    });
    times.sum()
}

/// Returns the resident memory of this process, in bytes.
pub(crate) fn memory() -> f64 {
    let statm = fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = statm.split_whitespace().nth(1).and_then(|pages| pages.parse::<f64>().ok());
    pages.unwrap_or(0.0) * PAGE_BYTES
}

/// Describes the machine in one line.
pub(crate) fn machine() -> String {
    let info = fs::read_to_string("/proc/cpuinfo").unwrap_or_default();
    let model = info.lines().find_map(|line| line.strip_prefix("model name")?.split_once(':'));
    let model = model.map_or("an unnamed processor", |(_, name)| name.trim());
    let cores = info.lines().filter(|line| line.starts_with("processor")).count();
    let build = if cfg!(debug_assertions) { "debug" } else { "release" };
    format!("Measured with a {build} build on {cores} cores of {model}, over loopback.\n")
}

/// Starts a runtime with named threads, so that its processor time can be measured separately.
pub(crate) fn runtime(name: &'static str, threads: usize) -> tokio::runtime::Runtime {
    tokio::runtime::Builder::new_multi_thread()
        .worker_threads(threads)
        .thread_name(name)
        .enable_all()
        .build()
        .expect("the machine has room for a few threads")
}
