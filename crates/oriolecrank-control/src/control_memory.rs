//! Division of a control instance's memory among what keeps bytes in it.

use oriolecrank_consensus::InstanceId;
use oriolecrank_net::intake::{ByteBudget, IntakeSettings, MemoryHolders};

/// Holder of the bytes under way to a member.
const BATCHES: &str = "batches";

/// Memory that a connection of a client may hold outside the budget, in bytes, as in
/// [`IntakeSettings`].
const CLIENT_CONNECTION_BYTES: usize = 56 * 1024;

/// Memory that a connection of another instance holds outside the budget, in bytes: its buffers and
/// its task. Other instances send heads and bodies of the usual sizes.
const PEER_CONNECTION_BYTES: usize = 16 * 1024;

/// Largest document, in bytes: room for a document with some thousand routes.
const MAX_DOCUMENT_BYTES: usize = 4 * 1024 * 1024;

/// Memory of a control instance: one budget, with a part for each holder. Clones share it.
///
/// The parts are sixteenths of the memory besides that of the program and add up to it.
/// `docs/design/control-memory.md` lists each holder, its part and what happens when it is full.
#[derive(Debug, Clone)]
pub struct ControlMemory {
    holders: MemoryHolders,
    /// A sixteenth of the memory besides that of the program, in bytes.
    unit: usize,
    /// Log entries in memory.
    pub log: ByteBudget,
    /// Proposals whose result is not known yet; a part of `log`.
    pub proposals: ByteBudget,
    /// Snapshots that are kept, sent, received or written.
    pub snapshots: ByteBudget,
    /// Messages of other instances, from their arrival until they are handled.
    pub received: ByteBudget,
    /// Bodies of the calls of clients, and answers that are held for them.
    pub clients: ByteBudget,
    /// Documents that are being decoded.
    pub decoding: ByteBudget,
    /// The stored document and the forms of it that are kept for answers.
    pub documents: ByteBudget,
}

impl Default for ControlMemory {
    fn default() -> Self {
        Self::new(&IntakeSettings::default())
    }
}

impl ControlMemory {
    /// Divides the memory of an instance.
    pub fn new(intake: &IntakeSettings) -> Self {
        let shared = intake.shared_bytes() as usize;
        let unit = shared / 16;
        let holders = MemoryHolders::new(shared);
        let log = holders.part("log", 2 * unit);
        Self {
            unit,
            proposals: holders.part_of(&log, "pending_proposals", unit),
            log,
            snapshots: holders.part("snapshots", 2 * unit),
            received: holders.part("received_messages", unit),
            clients: holders.part("client_bodies", 3 * unit),
            decoding: holders.part("decoded_documents", 2 * unit),
            documents: holders.part("stored_documents", 2 * unit),
            holders,
        }
    }

    /// All holders, for metrics and the log.
    pub const fn holders(&self) -> &MemoryHolders {
        &self.holders
    }

    /// Largest document that an operator may submit, in bytes. Each part has room for what its holder
    /// keeps of a document of this size.
    pub fn largest_document(&self) -> usize {
        (self.unit / 9 * 4).min(MAX_DOCUMENT_BYTES)
    }

    /// Largest total size of the entries that are not committed yet, in bytes: two documents, the one on
    /// its way and one that a leader before this one has left.
    pub const fn uncommitted_bytes(&self) -> usize {
        self.unit
    }

    /// Connections of clients for which there is memory.
    pub const fn client_connections(&self) -> usize {
        2 * self.unit / CLIENT_CONNECTION_BYTES
    }

    /// Connections of other instances for which there is memory.
    pub const fn peer_connections(&self) -> usize {
        self.unit / PEER_CONNECTION_BYTES
    }

    /// Part for the bytes under way to a member.
    pub fn batches_to(&self, member: &InstanceId) -> ByteBudget {
        self.holders
            .member_part(BATCHES, self.unit, member.as_str())
    }

    /// Forgets the part for a member that was removed.
    pub fn forget_batches_to(&self, member: &InstanceId) {
        self.holders.remove_member(BATCHES, member.as_str());
    }
}
