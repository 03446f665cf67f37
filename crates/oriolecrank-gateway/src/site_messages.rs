//! Messages between entries and control instances, and among control instances.
//!
//! All are `MessagePack` bodies of `POST` requests on the internal address of a control instance.

use std::net::SocketAddr;
use std::time::Duration;

use oriolecrank_routing::{
    AdmittedOrigins, CrashSuspect, EntryRun, HeldRefusal, LeavingUpstream, LimitReport,
    PlacedParts, RecordedStream, StoredDocument, StreamKey, StreamOrigin, SuspectReport,
    SuspectVerdicts, UpstreamAnnouncement, UpstreamDeparture, UpstreamLoad, UpstreamName,
    WindowCounts,
};
use serde::{Deserialize, Serialize};

use crate::document_transfer::TransferredDocument;
use crate::fair_share::{ServiceDemand, ServiceShares};

/// Path of [`SyncRequest`].
pub(crate) const SYNC_PATH: &str = "/v1/site/sync";
/// Path of [`DocumentRequest`].
pub(crate) const DOCUMENT_PATH: &str = "/v1/site/document";
/// Path of [`GossipBatch`].
pub(crate) const GOSSIP_PATH: &str = "/v1/site/gossip";
/// Path of [`PublishRequest`].
pub(crate) const PUBLISH_PATH: &str = "/v1/site/publish";
/// Path of [`DepartureRequest`].
pub(crate) const DEPARTURE_PATH: &str = "/v1/site/departure";
/// Path of [`StreamRecords`].
pub(crate) const STREAMS_PATH: &str = "/v1/site/streams";
/// Path of [`SuspectReports`].
pub(crate) const SUSPECTS_PATH: &str = "/v1/site/suspects";
/// Path of [`OriginRequest`].
pub(crate) const ORIGIN_PATH: &str = "/v1/site/origin";
/// Path of requests of control instances to join the group.
pub(crate) const JOIN_PATH: &str = "/v1/join";

/// State of an entry and the revisions that it has received. It is a long poll: the answer is sent
/// once a document or an upstream changes, or after a timeout.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub(crate) struct SyncRequest {
    /// Name of the entry and random number of this run of its process.
    pub(crate) run: EntryRun,
    /// Newest version that the entry holds or was told of by this control instance; 0 before the
    /// first one.
    pub(crate) document_version: u64,
    /// The entry asks for documents with [`DocumentRequest`]. Answers to older entries, which do
    /// not, contain the document.
    #[serde(default)]
    pub(crate) fetches_documents: bool,
    /// Run of the control process to which `directory_revision` belongs; 0 before the first answer.
    pub(crate) control_run: u64,
    /// Newest revision of the upstream directory that the entry has received.
    pub(crate) directory_revision: u64,
    /// Counts of usage windows that the control instance has not acknowledged.
    pub(crate) usage: Vec<WindowCounts>,
    /// Load that this entry puts on upstreams.
    pub(crate) loads: Vec<NamedLoad>,
    /// Limits that upstreams state, with the demand of this entry.
    #[serde(default)]
    pub(crate) limits: Vec<LimitReport>,
    /// Demand for the engines of services that are overloaded.
    #[serde(default)]
    pub(crate) work_demand: Vec<ServiceDemand>,
    /// Placements of shared prompt parts by this entry since its last answered message.
    #[serde(default)]
    pub(crate) placed: Vec<PlacedParts>,
    /// Sequence of the newest placement of other entries that the entry has received.
    #[serde(default)]
    pub(crate) placement_sequence: u64,
    /// Reports about crashes that the control instance has not received.
    #[serde(default)]
    pub(crate) suspect_reports: Vec<SuspectReport>,
    /// Refused suspects of requests that the entry has refused lately.
    #[serde(default)]
    pub(crate) wanted_suspects: Vec<CrashSuspect>,
    /// The entry holds verdicts, which the leader replaces even by empty ones.
    #[serde(default)]
    pub(crate) holds_suspect_verdicts: bool,
    /// Refusals that another control process gave. The leader takes them over.
    #[serde(default)]
    pub(crate) held_refusals: Vec<HeldRefusal>,
    /// Revision of the admitted origins of streams that the entry holds; `None` before the first
    /// ones.
    #[serde(default)]
    pub(crate) origin_revision: Option<u64>,
    /// Upstreams that have stated to the entry that they leave, and that the entry does not know as
    /// draining from a control instance yet.
    #[serde(default)]
    pub(crate) leaving: Vec<LeavingUpstream>,
    /// The entry is stopping; the answer is sent immediately.
    #[serde(default)]
    pub(crate) stopping: bool,
}

/// Load of one upstream, with its name.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub(crate) struct NamedLoad {
    pub(crate) upstream: UpstreamName,
    pub(crate) load: UpstreamLoad,
}

/// Answer to [`SyncRequest`] with what has changed since the entry's revisions.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub(crate) struct SyncAnswer {
    /// The newest document, if it is newer than the entry's and the entry does not fetch documents
    /// itself.
    pub(crate) document: Option<StoredDocument>,
    /// Version of the newest document; 0 without one, and from older control instances.
    #[serde(default)]
    pub(crate) document_version: u64,
    /// Random number of this run of the control process.
    pub(crate) control_run: u64,
    /// Newest revision of the control instance's upstream directory.
    pub(crate) directory_revision: u64,
    /// Announcements that are newer than the entry's revision.
    pub(crate) upstreams: Vec<AgedAnnouncement>,
    /// Load that the other entries put on upstreams.
    pub(crate) other_loads: Vec<NamedLoad>,
    /// Limits that upstreams state, with the demand of the other entries. Only the leader sends them,
    /// because only it receives the reports of all entries.
    #[serde(default)]
    pub(crate) limits: Vec<LimitReport>,
    /// Shares of the engines of overloaded services, for an entry that has reported a demand. Only the
    /// leader sends them, because only it receives the reports of all entries.
    #[serde(default)]
    pub(crate) work_shares: Vec<ServiceShares>,
    /// Placements of shared prompt parts by other entries. Only the leader sends them, because only
    /// it receives those of all entries.
    #[serde(default)]
    pub(crate) placed: Vec<PlacedParts>,
    /// Sequence of the newest placement at this control instance.
    #[serde(default)]
    pub(crate) placement_sequence: u64,
    /// Verdicts about suspects. Only the leader sends them, because only it receives the reports
    /// of all entries.
    #[serde(default)]
    pub(crate) suspect_verdicts: Option<SuspectVerdicts>,
    /// Origins at which streams may begin, if they are newer than the entry's.
    #[serde(default)]
    pub(crate) origins: Option<AdmittedOrigins>,
    /// Entries that sync with this control instance, including the requesting one.
    pub(crate) entries: u32,
    /// Raft term of the control instance; 0 from older ones.
    #[serde(default)]
    pub(crate) term: u64,
    /// Version of `members`; 0 from older control instances.
    #[serde(default)]
    pub(crate) membership_version: u64,
    /// Internal addresses of the members of the control group.
    pub(crate) members: Vec<SocketAddr>,
    /// Internal address of the leader, if known; every entry must sync with it, because it needs
    /// all usage counts.
    #[serde(default)]
    pub(crate) leader: Option<SocketAddr>,
    /// Unix time of the control instance, in milliseconds.
    pub(crate) unix_ms: u64,
}

/// Request of an entry for the newest document.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub(crate) struct DocumentRequest {
    /// Version of the document in force; 0 before the first one.
    pub(crate) known_version: u64,
}

/// Answer to [`DocumentRequest`].
#[derive(Debug, Clone, Serialize, Deserialize)]
pub(crate) struct DocumentAnswer {
    /// The newest document, if it is newer than the one in force at the entry.
    pub(crate) document: Option<TransferredDocument>,
}

/// Reports about crashes, which an entry sends at once to the leader, and with its next sync to every
/// control instance that it syncs with.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub(crate) struct SuspectReports {
    pub(crate) reports: Vec<SuspectReport>,
}

/// Streams that have begun at an entry, for the leader.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub(crate) struct StreamRecords {
    pub(crate) streams: Vec<RecordedStream>,
}

/// Whether a control instance has taken [`StreamRecords`].
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) enum RecordsAnswer {
    /// This instance leads and commits the records soon.
    Taken,
    /// This instance does not lead.
    NotLeader,
}

/// Question of an entry where a stream began that a caller resumes.
#[derive(Debug, Clone, Copy, Serialize, Deserialize)]
pub(crate) struct OriginRequest {
    /// The stream; `None` if the caller does not name its beginning.
    pub(crate) key: Option<StreamKey>,
}

/// Answer to [`OriginRequest`].
#[derive(Debug, Clone, Serialize, Deserialize)]
pub(crate) enum OriginAnswer {
    /// The instance cannot confirm that its state is the newest.
    Unconfirmed,
    /// State that was not older than the question.
    Confirmed {
        /// Origin of the stream, if it is recorded.
        origin: Option<StreamOrigin>,
        /// Admitted origins. A stream without a record began at the only one of its service.
        admitted: AdmittedOrigins,
    },
}

/// An announcement with its age instead of a time, because processes share no clock.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub(crate) struct AgedAnnouncement {
    /// The announcement as the upstream sent it.
    pub(crate) announcement: UpstreamAnnouncement,
    /// Time since a control instance received it.
    pub(crate) age: Duration,
}

/// Announcements that one control instance forwards to another.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub(crate) struct GossipBatch {
    /// Name of the sender's cluster; a batch of another cluster is refused.
    pub(crate) cluster: String,
    /// Newest announcement of each upstream.
    pub(crate) upstreams: Vec<AgedAnnouncement>,
}

/// A document that passed its checks, forwarded to the leader to be committed.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub(crate) struct PublishRequest {
    pub(crate) document: StoredDocument,
}

/// Whether the leader has committed a document or a departure.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) enum PublishAnswer {
    /// It, or a newer one, is committed.
    Committed,
    /// It could not be committed, or the outcome is unknown.
    Unavailable,
}

/// A departure of an upstream, forwarded to the leader to be committed.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub(crate) struct DepartureRequest {
    pub(crate) departure: UpstreamDeparture,
}
