//! Standard output that never blocks.

use std::io::{self, Write};

use rustix::event::{PollFd, PollFlags, Timespec, poll};

use crate::log_budget::count_dropped_line;

/// Longest line, in bytes. A pipe that is ready takes this much without blocking.
const MAX_LINE_BYTES: usize = 4_096;

/// Standard output; drops lines that it cannot take at once, and lines that are too long.
#[derive(Debug, Clone, Copy, Default)]
pub struct LossyOutput;

impl Write for LossyOutput {
    fn write(&mut self, line: &[u8]) -> io::Result<usize> {
        let output = io::stdout();
        let mut wanted = [PollFd::new(&output, PollFlags::OUT)];
        let ready = poll(&mut wanted, Some(&Timespec::default()))?;
        if ready > 0 && line.len() <= MAX_LINE_BYTES {
            return rustix::io::write(&output, line).map_err(Into::into);
        }
        count_dropped_line();
        Ok(line.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}
