//! Raft consensus for a group of control instances: a core without I/O, and its log storage.
//!
//! - [`RaftNode`] is the core. Its inputs are messages, proposals, reads and the time; its output
//!   is a [`ReadyBatch`] of messages to send, records to sync and committed entries to apply.
//! - [`PeerMessage`] is a message between members; [`wire`] converts it from and to the wire
//!   types.
//! - [`LogStorage`] stores the durable state of a node in one folder.
//! - [`Membership`] and [`MembershipRequest`] describe the members of the group and a
//!   requested change.

mod chunk_pace;
mod election;
mod entry_sender;
mod follower;
mod founding;
mod instance_id;
mod leader;
mod leader_replies;
mod log_entry;
mod membership;
mod membership_change;
mod message;
mod node;
mod numbers;
mod partial_entry;
mod peer_progress;
mod raft_log;
mod read_queue;
mod ready;
mod settings;
mod snapshot;
mod storage;
mod vote_count;
pub mod wire;

pub use instance_id::InstanceId;
pub use leader::ProposalError;
pub use log_entry::{EntryBody, EntryPosition, LogEntry};
pub use membership::{LoggedMembership, Member, MemberRole, Membership};
pub use membership_change::{MAX_MEMBERS, MAX_VOTERS, MembershipError, MembershipRequest};
pub use message::{
    AppendReply, AppendRequest, EntryChunk, EntryChunkReply, FoundingReply, MessageBody,
    PeerMessage, RoundMark, SnapshotChunk, SnapshotReply, VoteReply, VoteRequest,
};
pub use node::{RaftNode, StoredState};
pub use numbers::{DiskTag, LogIndex, MembershipVersion, ReadContext, Term};
pub use ready::{
    FoundingProgress, FoundingTag, FoundingTags, HardState, LeaderAuthority, LogRecord,
    MemberProgress, NodeMemory, NodeStatus, PreviousLeader, ReadOutcome, ReadyBatch, RoleName,
};
pub use settings::RaftSettings;
pub use snapshot::Snapshot;
pub use storage::{
    DiskFiles, FileOperations, FolderIdentity, FolderRequest, LogFile, LogStorage, OpenedFolder,
    StorageError,
};
