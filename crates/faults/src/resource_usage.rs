//! Processor time of threads and resource usage of processes, read from `/proc`.

use std::fs;

/// The index of the user time among the fields after the name in `/proc/PID/stat`.
///
/// The system time is the next field.
const USER_TIME_FIELD: usize = 11;
/// The unit of the times in `/proc/PID/stat`: clock ticks per second.
const TICKS_PER_SECOND: f64 = 100.0;

/// Returns the processor time used by the threads of this process with the given name, in seconds.
///
/// Threads that a component starts inherit the name of its thread and are included.
pub fn thread_cpu_seconds(name: &str) -> f64 {
    let Ok(tasks) = fs::read_dir("/proc/self/task") else {
        return 0.0;
    };
    let paths = tasks.flatten().map(|task| task.path());
    let named = paths.filter(|path| {
        fs::read_to_string(path.join("comm")).is_ok_and(|comm| comm.trim_end() == name)
    });
    let nanos = named.filter_map(|path| {
        let text = fs::read_to_string(path.join("schedstat")).ok()?;
        text.split(' ').next()?.parse::<f64>().ok()
    });
    nanos.sum::<f64>() / 1e9
}

/// The current resource usage of a process.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct ProcessUsage {
    /// Resident memory in KiB.
    pub resident_kib: u64,
    /// Resident anonymous memory, which no file backs, in KiB.
    pub anonymous_kib: u64,
    /// The number of threads.
    pub threads: u64,
    /// The number of open file descriptors.
    pub open_files: u64,
    /// The processor time used so far, in seconds.
    pub cpu_seconds: f64,
}

/// Returns the current resource usage of a process, or zeros if it does not exist.
pub fn process_usage(pid: u32) -> ProcessUsage {
    let status = fs::read_to_string(format!("/proc/{pid}/status")).unwrap_or_default();
    let field = |name: &str| {
        let line = status.lines().find_map(|line| line.strip_prefix(name));
        let number = line.and_then(|line| line.split_whitespace().next()?.parse().ok());
        number.unwrap_or(0)
    };
    let open_files = fs::read_dir(format!("/proc/{pid}/fd")).map_or(0, Iterator::count);
    ProcessUsage {
        resident_kib: field("VmRSS:"),
        anonymous_kib: field("RssAnon:"),
        threads: field("Threads:"),
        open_files: open_files as u64,
        cpu_seconds: process_cpu_seconds(pid),
    }
}

/// Returns the processor time of a process in seconds, including that of threads that have ended.
fn process_cpu_seconds(pid: u32) -> f64 {
    let stat = fs::read_to_string(format!("/proc/{pid}/stat")).unwrap_or_default();
    let fields = stat.rsplit_once(')').map_or("", |(_, fields)| fields);
    let ticks = fields.split_whitespace().skip(USER_TIME_FIELD).take(2);
    let ticks = ticks.filter_map(|ticks| ticks.parse::<f64>().ok());
    ticks.sum::<f64>() / TICKS_PER_SECOND
}
