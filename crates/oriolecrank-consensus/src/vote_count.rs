//! Votes of one election.

use indexmap::IndexSet;

use crate::instance_id::InstanceId;
use crate::membership::Membership;

/// Votes granted in one election.
#[derive(Debug, Default)]
pub(crate) struct VoteCount(IndexSet<InstanceId>);

impl VoteCount {
    pub(crate) fn add(&mut self, id: InstanceId) {
        self.0.insert(id);
    }

    /// Whether a quorum of the voters has granted its vote. Votes of non-voters are ignored.
    pub(crate) fn has_quorum(&self, membership: &Membership) -> bool {
        let granted = self.0.iter().filter(|id| membership.is_voter(id)).count();
        granted >= membership.quorum()
    }
}
