//! Random schedule of the faults of one run, derived from its seed.

use std::fmt;
use std::time::Duration;

use rand::seq::IndexedRandom as _;
use rand::{Rng as _, SeedableRng as _};
use rand_chacha::ChaCha8Rng;

/// Mean time between the starts of two faults, in milliseconds. Most faults last longer, so that
/// they overlap.
const MEAN_GAP_MS: u64 = 500;

/// Fault of a process.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ProcessFault {
    /// Suspended with SIGSTOP for the duration of the fault.
    Pause,
    /// Killed with SIGKILL and started again at the end of the fault.
    Kill,
    /// Stopped with SIGTERM and started again at the end of the fault.
    Terminate,
}

/// Fault of a link.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LinkFault {
    /// Each chunk of bytes is forwarded after this delay, in milliseconds.
    Delay(u64),
    /// Open connections are reset at the start of the fault, and new ones as long as it lasts.
    Reset,
    /// Bytes from the client are held back until the fault ends.
    CutRequests,
    /// Bytes from the server are held back until the fault ends.
    CutAnswers,
    /// Bytes in both directions are held back until the fault ends; connections stay open.
    Silence,
}

/// Process or link that has a fault, and the kind of the fault.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum FaultTarget {
    /// A process, by its index in the order of their start: control instances, agents (alternately
    /// of an engine and of a ledger), entries.
    Process(usize, ProcessFault),
    /// A link, by its index: from the agents to each control instance, from the entries to each
    /// control instance, then from each agent to its upstream.
    Link(usize, LinkFault),
}

/// A fault with its start and duration.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PlannedFault {
    /// Start of the fault, as time since the callers started.
    pub at: Duration,
    /// Time from the start to the end of the fault.
    pub duration: Duration,
    /// Process or link that has the fault, and the kind of the fault.
    pub target: FaultTarget,
}

/// All faults of a run, ordered by their start. The same seed gives the same schedule.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct FaultSchedule(pub Vec<PlannedFault>);

impl FaultSchedule {
    /// Draws the faults that start within `length`, for a cluster with the given numbers of
    /// processes and links.
    pub fn draw(seed: u64, length: Duration, processes: usize, links: usize) -> Self {
        let mut random = ChaCha8Rng::seed_from_u64(seed);
        let mut faults = Vec::new();
        let mut at = Duration::ZERO;
        loop {
            at += Duration::from_millis(random.random_range(1..2 * MEAN_GAP_MS));
            if at >= length {
                return Self(faults);
            }
            let max_duration_ms = if random.random_bool(0.7) {
                1_000
            } else {
                6_000
            };
            let target = if random.random_bool(0.5) {
                let kinds = [
                    ProcessFault::Pause,
                    ProcessFault::Kill,
                    ProcessFault::Terminate,
                ];
                let kind = kinds.choose(&mut random).copied();
                let index = random.random_range(0..processes);
                FaultTarget::Process(index, kind.unwrap_or(ProcessFault::Kill))
            } else {
                let kinds = [
                    LinkFault::Delay(random.random_range(5..400)),
                    LinkFault::Reset,
                    LinkFault::CutRequests,
                    LinkFault::CutAnswers,
                    LinkFault::Silence,
                ];
                let kind = kinds.choose(&mut random).copied();
                let index = random.random_range(0..links);
                FaultTarget::Link(index, kind.unwrap_or(LinkFault::Reset))
            };
            faults.push(PlannedFault {
                at,
                duration: Duration::from_millis(random.random_range(50..max_duration_ms)),
                target,
            });
        }
    }
}

impl fmt::Display for FaultSchedule {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        for PlannedFault {
            at,
            duration,
            target,
        } in &self.0
        {
            let (at, duration) = (at.as_millis(), duration.as_millis());
            writeln!(formatter, "{at:>6} ms for {duration:>5} ms: {target:?}")?;
        }
        Ok(())
    }
}
