//! Interface for the messages of a replica to other members.

use oriolecrank_consensus::{Membership, PeerMessage};

/// Sends messages to other members.
///
/// The replica's thread calls the methods, so they must not block. Messages may be lost, duplicated
/// or reordered; the replicas resend what is needed.
pub trait PeerSender: Send + 'static {
    /// Queues messages for sending, each to the member in its `to` field.
    fn send(&mut self, messages: Vec<PeerMessage>);

    /// Called with the current membership whenever it has changed.
    fn set_members(&mut self, membership: &Membership);
}
