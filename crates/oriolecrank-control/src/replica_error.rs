//! Failures of operations on a replica.

use std::time::Duration;

use oriolecrank_consensus::{LogIndex, MembershipError, StorageError, Term};
use oriolecrank_schema::data_path::RunVerdict;
use snafu::Snafu;

/// A proposal that was applied.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Applied<O> {
    /// Index of the entry.
    pub index: LogIndex,
    /// Term of the entry.
    pub term: Term,
    /// Result of the state machine.
    pub output: O,
}

/// A proposal that is not known to be applied.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum ProposeError {
    /// This instance is not the leader.
    #[snafu(display("this instance is not the leader"))]
    NotLeader,
    /// Too many proposals wait.
    #[snafu(display("too many proposals wait"))]
    Overloaded,
    /// The data is larger than one entry may be.
    #[snafu(display("the data has {size} bytes; {limit} are allowed"))]
    TooLarge {
        /// Size of the data, in bytes.
        size: usize,
        /// Largest size, in bytes.
        limit: usize,
    },
    /// Another leader's entry took the place of this one, which will never be applied.
    #[snafu(display("another leader replaced the entry"))]
    Replaced,
    /// The leader changed or no quorum answered in time; the entry may still be applied.
    #[snafu(display("the entry may still be applied"))]
    OutcomeUnknown,
    /// The replica has stopped; the entry was not added.
    #[snafu(display("the replica has stopped"))]
    ProposeStopped,
}

impl ProposeError {
    /// Whether the proposal may still take effect.
    pub const fn verdict(&self) -> RunVerdict {
        match self {
            Self::OutcomeUnknown => RunVerdict::MayHaveRun,
            Self::NotLeader
            | Self::Overloaded
            | Self::TooLarge { .. }
            | Self::Replaced
            | Self::ProposeStopped => RunVerdict::NotRun,
        }
    }
}

/// A read that cannot be confirmed.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum BarrierError {
    /// No leader is known, or it has resigned.
    #[snafu(display("no leader is known"))]
    NoLeader,
    /// The leader or its quorum did not answer in time.
    #[snafu(display("no quorum confirmed the read within {} ms", limit.as_millis()))]
    BarrierTimeout {
        /// Longest wait.
        limit: Duration,
    },
    /// The replica has stopped or has too much to do.
    #[snafu(display("the replica takes no reads"))]
    BarrierStopped,
}

/// A membership change that is not known to be committed.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum ChangeError {
    /// The change was refused.
    #[snafu(display("the membership change was refused: {source}"))]
    ChangeRefused {
        /// Cause.
        source: MembershipError,
    },
    /// The leader changed or no quorum answered in time; the change may still take effect.
    #[snafu(display("the membership change may still take effect"))]
    ChangeUnknown,
    /// The replica has stopped; the change was not added.
    #[snafu(display("the replica has stopped"))]
    ChangeStopped,
}

/// A replica that cannot start.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum ReplicaError {
    /// The data folder cannot be used.
    #[snafu(display("{source}"))]
    Storage {
        /// Cause.
        source: StorageError,
    },
    /// The thread cannot be started.
    #[snafu(display("cannot start the replica's thread: {source}"))]
    Spawn {
        /// Cause.
        source: std::io::Error,
    },
}
