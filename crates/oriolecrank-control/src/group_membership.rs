//! The control group as operators see and change it.

use oriolecrank_consensus::{Membership, MembershipRequest};

use crate::command_replica::CommandReplica;
use crate::replica_error::ChangeError;

/// A control instance's access to the membership of its group.
pub trait GroupMembership: CommandReplica {
    /// Membership in effect at this instance.
    fn membership(&self) -> Membership;

    /// Whether this instance leads.
    fn leads(&self) -> bool;

    /// Changes the membership; returns when the change is committed.
    fn change_membership(
        &self,
        request: MembershipRequest,
    ) -> impl Future<Output = Result<(), ChangeError>> + Send;
}
