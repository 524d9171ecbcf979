//! Processor time and memory of a process, read from `/proc`.

use std::fs;
use std::io;
use std::time::Duration;

/// Clock ticks per second in `/proc/PID/stat`; Linux reports 100 to all user programs.
const TICKS_PER_S: u64 = 100;

/// Processor time and memory used by a process.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct Usage {
    /// Processor time in user and kernel mode since the start of the process.
    pub processor: Duration,
    /// Resident memory, in KiB.
    pub memory_kib: u64,
}

/// Reads the processor time and memory of the process with this id.
pub fn usage(id: u32) -> io::Result<Usage> {
    let stat = fs::read_to_string(format!("/proc/{id}/stat"))?;
    let status = fs::read_to_string(format!("/proc/{id}/status"))?;
    // The process name in parentheses may contain spaces, so the fields are split after the closing
    // parenthesis. The first field after the parenthesis is field 3 of proc(5).
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
