//! CPU pressure: how long runnable processes waited for a processor.
//!
//! A late answer is either a fault of the product or caused by a machine without a free processor.
//! The time for which the processes of an experiment waited for a processor, which the kernel counts
//! for each thread, distinguishes the two causes.

use std::fs;
use std::io;
use std::time::Duration;

/// Running and waiting time of several processes, summed over their threads.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct ProcessorTime {
    /// Time for which the threads ran on a processor.
    pub ran: Duration,
    /// Time for which the threads were runnable but waited for a processor.
    pub waited: Duration,
}

impl ProcessorTime {
    /// Reads the times of all threads of these processes since their start. A process that has
    /// ended counts as zero.
    pub fn of(processes: impl Iterator<Item = u32>) -> io::Result<Self> {
        let mut sum = Self::default();
        for process in processes {
            match Self::of_one(process) {
                Ok(time) => sum.add(time),
                Err(error) if error.kind() == io::ErrorKind::NotFound => {}
                Err(error) => return Err(error),
            }
        }
        Ok(sum)
    }

    fn of_one(process: u32) -> io::Result<Self> {
        let mut sum = Self::default();
        for thread in fs::read_dir(format!("/proc/{process}/task"))? {
            sum.add(Self::parse(&fs::read_to_string(thread?.path().join("schedstat"))?)?);
        }
        Ok(sum)
    }

    /// Parses the kernel's `schedstat`: nanoseconds on a processor, nanoseconds of waiting for a
    /// processor, number of time slices.
    fn parse(text: &str) -> io::Result<Self> {
        let unreadable =
            || io::Error::new(io::ErrorKind::InvalidData, format!("schedstat: {text}"));
        let mut fields = text.split_whitespace().map(str::parse::<u64>);
        let mut next = || fields.next()?.ok().map(Duration::from_nanos);
        let ran = next().ok_or_else(unreadable)?;
        let waited = next().ok_or_else(unreadable)?;
        Ok(Self { ran, waited })
    }

    fn add(&mut self, other: Self) {
        self.ran += other.ran;
        self.waited += other.waited;
    }

    /// Returns the share of the runnable time since `before`, from 0 to 1, for which the processes
    /// waited for a processor.
    pub fn pressure_since(self, before: Self) -> f64 {
        let ran = self.ran.saturating_sub(before.ran);
        let waited = self.waited.saturating_sub(before.waited);
        let both = ran + waited;
        if both.is_zero() { 0.0 } else { waited.as_secs_f64() / both.as_secs_f64() }
    }
}
