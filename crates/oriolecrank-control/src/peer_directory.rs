//! Addresses of other control instances.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex};

use indexmap::IndexMap;
use oriolecrank_consensus::{InstanceId, MAX_MEMBERS, Membership};

/// Addresses of other control instances, shared by [`PeerTransport`](crate::PeerTransport) and
/// [`PeerIngress`](crate::PeerIngress); clones share the content.
#[derive(Debug, Clone, Default)]
pub struct PeerDirectory(Arc<Mutex<KnownAddresses>>);

/// Lock order: locked alone and never across an await.
#[derive(Debug, Default)]
struct KnownAddresses {
    /// Addresses from the membership.
    members: IndexMap<InstanceId, SocketAddr>,
    /// Addresses that senders gave in their messages. An instance that joins needs them, because it
    /// must reply to the leader before it knows the membership. At most [`MAX_MEMBERS`]; beyond
    /// that, the sender that was recorded first is removed.
    from_senders: IndexMap<InstanceId, SocketAddr>,
}

impl PeerDirectory {
    /// Address of an instance; one from the membership takes precedence.
    pub fn address(&self, id: &InstanceId) -> Option<SocketAddr> {
        let known = self.lock();
        let address = known.members.get(id).or_else(|| known.from_senders.get(id));
        address.copied()
    }

    /// Replaces the addresses from the membership; an address that cannot be parsed is left out.
    pub fn set_members(&self, membership: &Membership) {
        let members = membership.members.iter();
        let addresses = members.filter_map(|member| {
            let address = member.address.parse().ok()?;
            Some((member.id.clone(), address))
        });
        self.lock().members = addresses.collect();
    }

    /// Stores the address that the sender of a message gave, unless the sender is a member.
    pub fn record_sender(&self, id: InstanceId, address: SocketAddr) {
        let mut known = self.lock();
        if known.members.contains_key(&id) {
            return;
        }
        known.from_senders.insert(id, address);
        while known.from_senders.len() > MAX_MEMBERS {
            known.from_senders.shift_remove_index(0);
        }
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, KnownAddresses> {
        self.0
            .lock()
            .expect("no holder of the directory lock panics")
    }
}
