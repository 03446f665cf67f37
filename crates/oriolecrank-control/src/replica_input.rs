//! Inputs of a replica's thread.

use oriolecrank_consensus::{EntryPosition, LogIndex, MembershipRequest, PeerMessage};
use tokio::sync::{OwnedSemaphorePermit, oneshot};

use crate::replica_error::{Applied, BarrierError, ChangeError, ProposeError};

/// Where the outcome of a proposal goes.
pub(crate) type ProposeReply<O> = oneshot::Sender<Result<Applied<O>, ProposeError>>;

/// Where the outcome of a membership change goes.
pub(crate) type ChangeReply = oneshot::Sender<Result<EntryPosition, ChangeError>>;

/// Where the outcome of a read goes.
pub(crate) type ReadReply = oneshot::Sender<Result<LogIndex, BarrierError>>;

/// Input of a replica's thread.
#[derive(Debug)]
pub(crate) enum ReplicaInput<O> {
    Messages(Vec<PeerMessage>),
    Propose {
        data: Vec<u8>,
        reply: ProposeReply<O>,
        /// Share of the memory for proposals, given back when the proposal is settled.
        permit: OwnedSemaphorePermit,
    },
    Change {
        request: MembershipRequest,
        reply: ChangeReply,
    },
    Read {
        reply: ReadReply,
    },
    Stop,
}
