//! Choice of the control instances that an entry syncs with.

use std::cmp::Ordering;
use std::net::SocketAddr;

/// Largest number of control instances that an entry syncs with. With three, an entry sees every
/// committed change without delay even if one instance is lost and one lags.
pub const MAX_SYNC_TARGETS: usize = 3;

/// Control group as an entry knows it.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct KnownGroup {
    /// Raft term of the instance that named the group.
    pub term: u64,
    /// Version of the membership at that instance.
    pub membership_version: u64,
    /// Internal addresses of the members; empty if none is known.
    pub members: Vec<SocketAddr>,
    /// Internal address of the leader, which needs the counts of every entry.
    pub leader: Option<SocketAddr>,
}

impl KnownGroup {
    /// Whether `other`, as named by any instance, may replace this group. An instance that is cut
    /// off, or was removed without knowing it, has an older term or membership, or knows no leader.
    pub fn accepts(&self, other: &Self) -> bool {
        let version = |group: &Self| (group.term, group.membership_version);
        if other.members.is_empty() {
            return false;
        }
        match version(other).cmp(&version(self)) {
            Ordering::Less => false,
            Ordering::Equal => other.leader.is_some() || self.leader.is_none(),
            Ordering::Greater => true,
        }
    }
}

/// Instances to sync with: the leader and other members of the group, or the seeds if no member is
/// known. `run` is the random run number of the entry; each entry starts at another index of the
/// list, so that the members of a large group share the load.
pub fn sync_targets(group: &KnownGroup, seeds: &[SocketAddr], run: u64) -> Vec<SocketAddr> {
    let known = if group.members.is_empty() {
        seeds
    } else {
        &group.members
    };
    let mut targets = known.to_vec();
    targets.sort_unstable();
    if targets.len() > MAX_SYNC_TARGETS {
        let start = run as usize % targets.len();
        targets.rotate_left(start);
        // The sort is stable, so the order of the others is kept.
        targets.sort_by_key(|address| Some(*address) != group.leader);
        targets.truncate(MAX_SYNC_TARGETS);
    }
    targets
}
