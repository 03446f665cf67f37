//! Where a replica's messages to other members go.

use oriolecrank_consensus::{Membership, PeerMessage};

/// Sends messages to other members.
///
/// The replica's thread calls the methods, so they must not wait. Messages may be lost, repeated or
/// reordered; the replicas repeat what is needed.
pub trait PeerSender: Send + 'static {
    /// Sends messages.
    fn send(&mut self, messages: Vec<PeerMessage>);

    /// Notes the members and their addresses.
    fn set_members(&mut self, membership: &Membership);
}
