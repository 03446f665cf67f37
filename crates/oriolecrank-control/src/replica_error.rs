//! Results and errors of operations on a replica.

use std::time::Duration;

use oriolecrank_consensus::{LogIndex, MembershipError, StorageError, Term};
use oriolecrank_schema::data_path::RunVerdict;
use snafu::Snafu;

/// Position and result of a proposal that was applied.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Applied<O> {
    /// Index of the entry.
    pub index: LogIndex,
    /// Term of the entry.
    pub term: Term,
    /// Result that the state machine returned.
    pub output: O,
}

/// Why a proposal was not, or is not known to be, applied.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum ProposeError {
    /// This instance is not the leader; the entry was not added to the log.
    #[snafu(display("this instance is not the leader"))]
    NotLeader,
    /// Too many proposals are pending, or they take too much memory; the entry was not added to the
    /// log.
    #[snafu(display("too many proposals are pending; retry later"))]
    Overloaded,
    /// The data is larger than one entry may be.
    #[snafu(display("the data of the proposal has {size} bytes; at most {limit} are allowed"))]
    TooLarge {
        /// Size of the data, in bytes.
        size: usize,
        /// Largest size, in bytes.
        limit: usize,
    },
    /// An entry of another leader was committed at the same index; this one will never be applied.
    #[snafu(display("another leader replaced the entry, which will never be applied"))]
    Replaced,
    /// The leader changed or no quorum replied in time; the entry may have been applied or may
    /// still be.
    #[snafu(display("the entry was not confirmed; it may still be applied"))]
    OutcomeUnknown,
    /// The replica has stopped; the entry was not added to the log.
    #[snafu(display("the replica has stopped; the entry was not added to the log"))]
    ProposeStopped,
}

impl ProposeError {
    /// Whether the proposal may have been or may still be applied.
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

/// Why a read barrier failed.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum BarrierError {
    /// No leader is known, or it has stepped down.
    #[snafu(display("no leader is known or it has stepped down"))]
    NoLeader,
    /// The leader or a quorum did not reply in time.
    #[snafu(display("no quorum confirmed the read within {} ms", limit.as_millis()))]
    BarrierTimeout {
        /// Time limit of the read barrier.
        limit: Duration,
    },
    /// The replica has stopped or its input queue is full.
    #[snafu(display("the replica has stopped or its input queue is full"))]
    BarrierStopped,
}

/// Why a membership change was not, or is not known to be, committed.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum ChangeError {
    /// The consensus core refused the change; the membership is unchanged.
    #[snafu(display("the membership change was refused: {source}"))]
    ChangeRefused {
        /// Cause.
        source: MembershipError,
    },
    /// The leader changed or no quorum replied in time; the change may still take effect.
    #[snafu(display("the membership change was not confirmed; it may still take effect"))]
    ChangeUnknown,
    /// The replica has stopped or its input queue is full; the change was not started.
    #[snafu(display(
        "the replica has stopped or its input queue is full; the membership change was not started"
    ))]
    ChangeStopped,
}

/// Why a replica cannot start.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum ReplicaError {
    /// The data folder cannot be opened or read.
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
