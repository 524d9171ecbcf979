//! Processor time and memory of a process, from `/proc`.

use std::fs;
use std::io;
use std::time::Duration;

/// Clock ticks a second in `/proc/PID/stat`, fixed by Linux for programs.
const TICKS_PER_S: u64 = 100;

/// What a process has used.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct Usage {
    /// Processor time since its start.
    pub processor: Duration,
    /// Memory in use now, in KiB.
    pub memory_kib: u64,
}

/// Reads the usage of the process `id`.
pub fn usage(id: u32) -> io::Result<Usage> {
    let stat = fs::read_to_string(format!("/proc/{id}/stat"))?;
    let status = fs::read_to_string(format!("/proc/{id}/status"))?;
    // The name in brackets may hold blanks; the fields behind it are counted from 3.
    let fields: Vec<&str> =
        stat.rsplit(')').next().unwrap_or_default().split_whitespace().collect();
    let ticks = |field: usize| fields.get(field - 3).and_then(|text| text.parse::<u64>().ok());
    let ticks = ticks(14).unwrap_or(0) + ticks(15).unwrap_or(0);
    let memory = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    let memory = memory.and_then(|text| text.split_whitespace().next()?.parse().ok());
    Ok(Usage {
        processor: Duration::from_millis(ticks * 1_000 / TICKS_PER_S),
        memory_kib: memory.unwrap_or(0),
    })
}
