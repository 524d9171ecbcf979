//! How long processes waited for a processor while they could have run.
//!
//! A request that is not answered in time shows a fault of the product, or a machine that had no
//! processor to spare. The kernel counts both parts for each thread; what the processes of an
//! experiment waited tells the two apart.

use std::fs;
use std::io;
use std::time::Duration;

/// Processor time of some processes together.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct ProcessorTime {
    /// Time for which their threads ran.
    pub ran: Duration,
    /// Time for which their threads could have run and waited.
    pub waited: Duration,
}

impl ProcessorTime {
    /// What the threads of these processes have had so far. One that has ended counts nothing.
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

    /// Reads `schedstat`: nanoseconds on a processor, nanoseconds of waiting, turns.
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

    /// Part of the time since `before`, from 0 to 1, for which the processes waited of all the
    /// time for which they could have run.
    pub fn pressure_since(self, before: Self) -> f64 {
        let ran = self.ran.saturating_sub(before.ran);
        let waited = self.waited.saturating_sub(before.waited);
        let both = ran + waited;
        if both.is_zero() { 0.0 } else { waited.as_secs_f64() / both.as_secs_f64() }
    }
}
