//! Addresses of other members.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex};

use indexmap::IndexMap;
use oriolecrank_consensus::{InstanceId, MAX_MEMBERS, Membership};

/// Addresses of members, shared by sender and receiver.
#[derive(Debug, Clone, Default)]
pub struct PeerDirectory(Arc<Mutex<KnownAddresses>>);

/// No other lock is held while this one is; never held across an await.
#[derive(Debug, Default)]
struct KnownAddresses {
    /// Addresses from the membership.
    members: IndexMap<InstanceId, SocketAddr>,
    /// Addresses that senders have stated. An instance that joins must answer the leader before it
    /// knows the membership. At most [`MAX_MEMBERS`] are kept.
    stated: IndexMap<InstanceId, SocketAddr>,
}

impl PeerDirectory {
    /// Address of an instance.
    pub fn address(&self, id: &InstanceId) -> Option<SocketAddr> {
        let known = self.lock();
        let address = known.members.get(id).or_else(|| known.stated.get(id));
        address.copied()
    }

    /// Takes over the addresses of a membership.
    pub fn set_members(&self, membership: &Membership) {
        let members = membership.members.iter();
        let addresses = members.filter_map(|member| {
            let address = member.address.parse().ok()?;
            Some((member.id.clone(), address))
        });
        self.lock().members = addresses.collect();
    }

    /// Notes the address that a sender has stated.
    pub fn record_sender(&self, id: InstanceId, address: SocketAddr) {
        let mut known = self.lock();
        if known.members.contains_key(&id) {
            return;
        }
        known.stated.insert(id, address);
        while known.stated.len() > MAX_MEMBERS {
            known.stated.shift_remove_index(0);
        }
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, KnownAddresses> {
        self.0
            .lock()
            .expect("no holder of the directory lock panics")
    }
}
