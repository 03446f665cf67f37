//! Non-blocking log output to standard output.

use std::io::{self, Write};

use rustix::event::{PollFd, PollFlags, Timespec, poll};

use crate::log_budget::count_dropped_line;

/// Maximum length of a line, in bytes. A pipe that polls as writable accepts this many bytes
/// without blocking.
const MAX_LINE_BYTES: usize = 4_096;

/// Writer to standard output. Drops lines that cannot be written without blocking and lines longer
/// than `MAX_LINE_BYTES`.
#[derive(Debug, Clone, Copy, Default)]
pub struct LossyOutput;

impl Write for LossyOutput {
    fn write(&mut self, line: &[u8]) -> io::Result<usize> {
        let output = io::stdout();
        let mut poll_fds = [PollFd::new(&output, PollFlags::OUT)];
        let ready = poll(&mut poll_fds, Some(&Timespec::default()))?;
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
