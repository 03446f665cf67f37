//! Faults of one run, drawn from its seed.

use std::fmt;
use std::time::Duration;

use rand::seq::IndexedRandom as _;
use rand::{Rng as _, SeedableRng as _};
use rand_chacha::ChaCha8Rng;

/// Mean time between two faults, in milliseconds. Most faults last longer, so that they overlap.
const MEAN_GAP_MS: u64 = 500;

/// What happens to a process.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ProcessFault {
    /// It stands still.
    Pause,
    /// It is killed, and started again after the time of the fault.
    Kill,
    /// It is asked to stop, and started again once it has ended.
    Terminate,
}

/// What happens to a link.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LinkFault {
    /// Bytes take this much longer, in milliseconds.
    Delay(u64),
    /// All connections are reset, now and when they are opened.
    Reset,
    /// Nothing from callers arrives.
    CutRequests,
    /// Nothing from the other side arrives.
    CutAnswers,
    /// Nothing arrives, and nothing tells so.
    Silence,
}

/// Where a fault strikes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum FaultTarget {
    /// A process, by its place in the cluster.
    Process(usize, ProcessFault),
    /// A link, by its place in the cluster.
    Link(usize, LinkFault),
}

/// A fault with its times.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PlannedFault {
    /// Time since the start of the load.
    pub at: Duration,
    /// How long it lasts.
    pub duration: Duration,
    /// What it does.
    pub target: FaultTarget,
}

/// All faults of a run in order of time. The same seed gives the same schedule.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct FaultSchedule(pub Vec<PlannedFault>);

impl FaultSchedule {
    /// Draws faults for `length`.
    pub fn draw(seed: u64, length: Duration, processes: usize, links: usize) -> Self {
        let mut random = ChaCha8Rng::seed_from_u64(seed);
        let mut faults = Vec::new();
        let mut at = Duration::ZERO;
        loop {
            at += Duration::from_millis(random.random_range(1..2 * MEAN_GAP_MS));
            if at >= length {
                return Self(faults);
            }
            let longest = if random.random_bool(0.7) {
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
                let place = random.random_range(0..processes);
                FaultTarget::Process(place, kind.unwrap_or(ProcessFault::Kill))
            } else {
                let kinds = [
                    LinkFault::Delay(random.random_range(5..400)),
                    LinkFault::Reset,
                    LinkFault::CutRequests,
                    LinkFault::CutAnswers,
                    LinkFault::Silence,
                ];
                let kind = kinds.choose(&mut random).copied();
                let place = random.random_range(0..links);
                FaultTarget::Link(place, kind.unwrap_or(LinkFault::Reset))
            };
            faults.push(PlannedFault {
                at,
                duration: Duration::from_millis(random.random_range(50..longest)),
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
