//! Inputs of a replica's thread.

use oriolecrank_consensus::{EntryPosition, LogIndex, MembershipRequest, PeerMessage};
use oriolecrank_net::intake::ByteLease;
use tokio::sync::oneshot;

use crate::replica_error::{Applied, BarrierError, ChangeError, ProposeError};

/// Channel for the result of a proposal.
pub(crate) type ProposeReply<O> = oneshot::Sender<Result<Applied<O>, ProposeError>>;

/// Channel for the result of a membership change.
pub(crate) type ChangeReply = oneshot::Sender<Result<EntryPosition, ChangeError>>;

/// Channel for the result of a read barrier: the applied index.
pub(crate) type ReadReply = oneshot::Sender<Result<LogIndex, BarrierError>>;

/// Message from a handle to the replica's thread.
#[derive(Debug)]
pub(crate) enum ReplicaInput<O> {
    Messages {
        messages: Vec<PeerMessage>,
        /// Counts the messages until they are handled.
        _lease: ByteLease,
    },
    Propose {
        data: Vec<u8>,
        reply: ProposeReply<O>,
        /// Counts the data until the result is known or the caller no longer waits.
        lease: ByteLease,
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
