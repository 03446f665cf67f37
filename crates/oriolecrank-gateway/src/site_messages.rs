//! Messages between entries and control instances, and among control instances.
//!
//! All are `MessagePack` bodies of `POST` requests on the internal address of a control instance.

use std::net::SocketAddr;
use std::time::Duration;

use oriolecrank_routing::{
    EntryRun, PlacedParts, StoredDocument, UpstreamAnnouncement, UpstreamLoad, UpstreamName,
    WindowCounts,
};
use serde::{Deserialize, Serialize};

/// Path of [`SyncRequest`].
pub(crate) const SYNC_PATH: &str = "/v1/site/sync";
/// Path of [`GossipBatch`].
pub(crate) const GOSSIP_PATH: &str = "/v1/site/gossip";
/// Path of [`PublishRequest`].
pub(crate) const PUBLISH_PATH: &str = "/v1/site/publish";
/// Path of announcements of control instances that join.
pub(crate) const JOIN_PATH: &str = "/v1/join";

/// State of an entry, and what it knows; answered once there is news or after a while.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub(crate) struct SyncRequest {
    /// Run of the entry.
    pub(crate) run: EntryRun,
    /// Version of the document in force; 0 before the first one.
    pub(crate) document_version: u64,
    /// Run of the control process that `directory_revision` belongs to.
    pub(crate) control_run: u64,
    /// Revision of the directory that the entry has.
    pub(crate) directory_revision: u64,
    /// Counts of usage windows.
    pub(crate) usage: Vec<WindowCounts>,
    /// Load that this entry puts on upstreams.
    pub(crate) loads: Vec<NamedLoad>,
    /// Shared prompt parts that this entry has placed since its last message.
    #[serde(default)]
    pub(crate) placed: Vec<PlacedParts>,
    /// Sequence of the newest placement that the entry has been told of.
    #[serde(default)]
    pub(crate) placement_sequence: u64,
    /// The entry is stopping; the answer must not wait.
    #[serde(default)]
    pub(crate) stopping: bool,
}

/// Load of one upstream.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub(crate) struct NamedLoad {
    /// The upstream.
    pub(crate) upstream: UpstreamName,
    /// Its load.
    pub(crate) load: UpstreamLoad,
}

/// News for an entry.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub(crate) struct SyncAnswer {
    /// The newest document, if it is newer than the entry's.
    pub(crate) document: Option<StoredDocument>,
    /// Run of the control process.
    pub(crate) control_run: u64,
    /// Revision of its directory.
    pub(crate) directory_revision: u64,
    /// Upstreams with a statement after the entry's revision.
    pub(crate) upstreams: Vec<AgedAnnouncement>,
    /// Load that the other entries put on upstreams.
    pub(crate) other_loads: Vec<NamedLoad>,
    /// Shared prompt parts that other entries have placed; only the leader hears of all of them.
    #[serde(default)]
    pub(crate) placed: Vec<PlacedParts>,
    /// Sequence of the newest placement.
    #[serde(default)]
    pub(crate) placement_sequence: u64,
    /// Entries that sync with this control instance, including the asking one.
    pub(crate) entries: u32,
    /// Internal addresses of the control group.
    pub(crate) members: Vec<SocketAddr>,
    /// Internal address of the leader, which needs the counts of every entry.
    #[serde(default)]
    pub(crate) leader: Option<SocketAddr>,
    /// Unix time of the control instance, in milliseconds.
    pub(crate) unix_ms: u64,
}

/// An announcement with its age, because processes have no common clock.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub(crate) struct AgedAnnouncement {
    /// The statement.
    pub(crate) announcement: UpstreamAnnouncement,
    /// Time since it arrived.
    pub(crate) age: Duration,
}

/// Announcements that arrived at another control instance.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub(crate) struct GossipBatch {
    /// Name of the cluster.
    pub(crate) cluster: String,
    /// Announcements.
    pub(crate) upstreams: Vec<AgedAnnouncement>,
}

/// A checked document for the leader.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub(crate) struct PublishRequest {
    /// The document.
    pub(crate) document: StoredDocument,
}

/// Whether a document is in force.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) enum PublishAnswer {
    /// The document, or a newer one, is committed.
    Committed,
    /// No leader answered, or the outcome is unknown.
    Unavailable,
}
