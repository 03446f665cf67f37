//! Access to the membership of the control group.

use oriolecrank_consensus::{Membership, MembershipRequest};

use crate::command_replica::CommandReplica;
use crate::replica_error::ChangeError;

/// A control instance that can read and change the membership of its group.
pub trait GroupMembership: CommandReplica {
    /// Membership in effect at this instance; it may not be committed yet.
    fn membership(&self) -> Membership;

    /// Whether this instance is the leader.
    fn leads(&self) -> bool;

    /// Changes the membership and waits until the change is committed. After
    /// [`ChangeError::ChangeUnknown`] it may still take effect.
    fn change_membership(
        &self,
        request: MembershipRequest,
    ) -> impl Future<Output = Result<(), ChangeError>> + Send;
}
