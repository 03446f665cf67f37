//! Commits documents, departures of upstreams and other commands, and forwards documents and
//! departures to the leader if this instance is a follower.

use oriolecrank_schema::event::LogEvent;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use oriolecrank_consensus::RoleName;
use oriolecrank_control::{ProposeError, ReplicaHandle};
use oriolecrank_routing::{SiteCommand, SiteOutcome, StoredDocument, UpstreamDeparture};
use oriolecrank_schema::codec;
use tokio::time::{sleep, timeout};

use crate::control_link::ControlLink;
use crate::document_queue::{DocumentQueue, LogPlace};
use crate::site_machine::SharedSite;
use crate::site_messages::{
    DEPARTURE_PATH, DepartureRequest, PUBLISH_PATH, PublishAnswer, PublishRequest,
};

/// Timeout of a request to the leader. Operators try another instance after about a second and need
/// the rest of their own timeout for that.
const LEADER_TIMEOUT: Duration = Duration::from_millis(900);

/// Slowest way of a document through the group that is waited for, in bytes per second: five copies
/// over a link of 10 Mbit/s.
const MIN_COMMIT_RATE: f64 = 250_000.0;

/// Largest size of a forwarded document besides its content, in bytes.
const REQUEST_HEAD_BYTES: usize = 64;

/// Longest wait of a new leader for the end of its log, well below the timeout of a sync.
const READ_TIMEOUT: Duration = Duration::from_millis(300);

/// Longest wait for the commitment of a departure. Upstreams call another instance after a second.
const DEPARTURE_TIMEOUT: Duration = Duration::from_millis(700);

/// Delay before a departure is proposed again; well below the time of an election.
const DEPARTURE_RETRY_DELAY: Duration = Duration::from_millis(60);

/// Access to the replicated log and to the rest of the control group.
#[derive(Debug, Clone)]
pub(crate) struct SitePublisher {
    pub(crate) replica: ReplicaHandle<SiteOutcome>,
    pub(crate) site: SharedSite,
    pub(crate) link: ControlLink,
    /// Documents on their way into the log.
    pub(crate) documents: DocumentQueue,
    /// Last term in which this instance led and its state contained all that was committed before; 0
    /// before the first one.
    pub(crate) read_term: Arc<AtomicU64>,
}

impl SitePublisher {
    /// Commits a document that passed its checks; true once it, or a newer one, is committed. At a
    /// follower the leader commits it.
    pub(crate) async fn publish(&self, document: StoredDocument) -> bool {
        let version = document.version;
        let Some(place) = self.enter(version).await else {
            drop(document);
            return self.await_version(version).await;
        };
        if self.is_version_committed(version) {
            return true;
        }
        match self.leader() {
            LeaderLocation::Local => self.commit(document, place).await,
            LeaderLocation::Remote(address) => self.forward(document, address).await,
            LeaderLocation::Unknown => false,
        }
    }

    /// Commits a document of another instance at the leader, which must be this instance.
    pub(crate) async fn publish_forwarded(&self, document: StoredDocument) -> PublishAnswer {
        let version = document.version;
        let is_committed = match self.enter(version).await {
            Some(_) if self.is_version_committed(version) => true,
            Some(place) => self.commit(document, place).await,
            None => {
                drop(document);
                self.await_version(version).await
            }
        };
        if is_committed {
            PublishAnswer::Committed
        } else {
            PublishAnswer::Unavailable
        }
    }

    /// Waits until the document of a version may go into the log; `None` if it need not, because it or
    /// a newer one is committed or on its way.
    async fn enter(&self, version: u64) -> Option<LogPlace> {
        if self.is_version_committed(version) {
            return None;
        }
        self.documents.enter(version).await
    }

    /// Waits until a version, or a newer one, is committed; false if none is on its way any more.
    async fn await_version(&self, version: u64) -> bool {
        let is_released = tokio::select! {
            () = self.site.wait_for_version(version) => false,
            () = self.documents.wait_released(version) => true,
        };
        // This instance may apply the entry a little later than the leader.
        let applied = timeout(READ_TIMEOUT, self.site.wait_for_version(version));
        !is_released || applied.await.is_ok()
    }

    /// Waits until an instance with another address than `address` leads.
    async fn wait_for_other_leader(&self, address: SocketAddr) {
        let replaced = self.replica.wait_for_status(|status| {
            let node = &status.node;
            let leader = node.leader.as_ref();
            let leader = leader.and_then(|id| node.membership.member(id));
            leader.is_some_and(|leader| leader.address.parse() != Ok(address))
        });
        replaced.await;
    }

    /// Has the leader commit a document. Large ones may take longer, as long as the operator waits and
    /// no other instance leads.
    async fn forward(&self, document: StoredDocument, address: SocketAddr) -> bool {
        let size = document.source.len();
        let transfer_time = Duration::from_secs_f64(size as f64 / MIN_COMMIT_RATE);
        let limit = LEADER_TIMEOUT + transfer_time;
        let message = codec::encode_sized(&PublishRequest { document }, size + REQUEST_HEAD_BYTES);
        let link = &self.link;
        let call = link.call_encoded::<PublishAnswer>(address, PUBLISH_PATH, message, limit);
        let answer = tokio::select! {
            answer = call => answer,
            () = self.wait_for_other_leader(address) => return false,
        };
        match answer {
            Ok(answer) => answer == PublishAnswer::Committed,
            Err(error) => {
                tracing::warn!(
                    event = LogEvent::DocumentNotCommitted.number(),
                    %address,
                    %error,
                    "the leader did not confirm a document; the outcome is unknown"
                );
                false
            }
        }
    }

    /// Commits a document at the leader, which must be this instance. The place is kept until the
    /// outcome is known, also if the caller leaves, so that no second copy goes into the log.
    async fn commit(&self, document: StoredDocument, place: LogPlace) -> bool {
        let version = document.version;
        let transfer_time = Duration::from_secs_f64(document.source.len() as f64 / MIN_COMMIT_RATE);
        let data = SiteCommand::Publish(document).encode();
        let replica = self.replica.clone();
        let committing = tokio::spawn(async move {
            let leaving = replica.wait_for_status(|status| status.node.role != RoleName::Leader);
            let committed = tokio::select! {
                committed = replica.propose_within(data, transfer_time) => committed,
                _ = leaving => Err(ProposeError::OutcomeUnknown),
            };
            drop(place);
            committed
        });
        match committing.await {
            Ok(Ok(applied)) => {
                tracing::info!(
                    event = LogEvent::DocumentAccepted.number(),
                    version,
                    outcome = ?applied.output,
                    "a document, or a newer one, is committed"
                );
                true
            }
            Ok(Err(error)) => {
                tracing::warn!(
                    event = LogEvent::DocumentNotCommitted.number(),
                    version,
                    %error,
                    "a document was not committed, or its outcome is unknown"
                );
                false
            }
            // The runtime stops.
            Err(_) => false,
        }
    }

    /// Commits that an upstream leaves; true once the replicated state contains it. Waits for a leader
    /// if there is none, for as long as the upstream waits for its answer.
    pub(crate) async fn publish_departure(&self, departure: &UpstreamDeparture) -> bool {
        let request = DepartureRequest {
            departure: departure.clone(),
        };
        let committing = async {
            loop {
                if self.site.read().departures().contains(departure) {
                    return;
                }
                let answer = match self.leader() {
                    LeaderLocation::Local => self.commit_departure(departure.clone()).await,
                    LeaderLocation::Remote(address) => {
                        let link = &self.link;
                        let answer = link
                            .call(address, DEPARTURE_PATH, &request, DEPARTURE_TIMEOUT)
                            .await;
                        answer.unwrap_or(PublishAnswer::Unavailable)
                    }
                    LeaderLocation::Unknown => PublishAnswer::Unavailable,
                };
                if answer == PublishAnswer::Committed {
                    return;
                }
                sleep(DEPARTURE_RETRY_DELAY).await;
            }
        };
        let is_committed = timeout(DEPARTURE_TIMEOUT, committing).await.is_ok();
        if !is_committed {
            tracing::warn!(
                event = LogEvent::DepartureNotCommitted.number(),
                upstream = %departure.upstream,
                state = ?departure.state,
                "the departure of an upstream was not committed in time; the upstream must repeat it"
            );
        }
        is_committed
    }

    /// Commits a departure at the leader, which must be this instance.
    pub(crate) async fn commit_departure(&self, departure: UpstreamDeparture) -> PublishAnswer {
        let outcome = self.propose(&SiteCommand::Depart(departure)).await;
        outcome.map_or(PublishAnswer::Unavailable, |_| PublishAnswer::Committed)
    }

    /// Commits a command at the leader, which must be this instance; `None` if it was not committed
    /// or the outcome is unknown.
    pub(crate) async fn propose(&self, command: &SiteCommand) -> Option<SiteOutcome> {
        match self.replica.propose(command.encode()).await {
            Ok(applied) => Some(applied.output),
            Err(error) => {
                tracing::warn!(
                    event = LogEvent::DocumentNotCommitted.number(),
                    %error,
                    "a command was not committed, or its outcome is unknown"
                );
                None
            }
        }
    }

    /// Whether this instance leads and its state contains all that was committed before its term. A new
    /// leader may not have applied the end of its log yet, so it waits for that once a term.
    pub(crate) async fn leads_with_full_state(&self) -> bool {
        let status = self.replica.status().node;
        if status.role != RoleName::Leader {
            return false;
        }
        let term = status.term.0;
        if self.read_term.load(Ordering::Relaxed) == term {
            return true;
        }
        let barrier = timeout(READ_TIMEOUT, self.replica.read_barrier()).await;
        if !matches!(barrier, Ok(Ok(_))) {
            return false;
        }
        self.read_term.store(term, Ordering::Relaxed);
        true
    }

    /// Whether a document of this version or a higher one is committed.
    fn is_version_committed(&self, version: u64) -> bool {
        let state = self.site.read();
        let known = state.document().map(|document| document.version);
        known.is_some_and(|known| known >= version)
    }

    fn leader(&self) -> LeaderLocation {
        let Some(leader) = self.replica.leader() else {
            return LeaderLocation::Unknown;
        };
        if leader.id == self.replica.status().node.id {
            return LeaderLocation::Local;
        }
        let address = leader.address.parse();
        address.map_or(LeaderLocation::Unknown, LeaderLocation::Remote)
    }

    /// Internal address of the leader, if it is another instance.
    pub(crate) fn remote_leader(&self) -> Option<SocketAddr> {
        match self.leader() {
            LeaderLocation::Remote(address) => Some(address),
            LeaderLocation::Local | LeaderLocation::Unknown => None,
        }
    }

    /// Internal addresses of the other members of the control group.
    pub(crate) fn other_members(&self) -> Vec<SocketAddr> {
        let status = self.replica.status();
        let members = status.node.membership.members.iter();
        members
            .filter(|member| member.id != status.node.id)
            .filter_map(|member| member.address.parse().ok())
            .collect()
    }
}

/// Which instance leads the control group.
enum LeaderLocation {
    /// This instance.
    Local,
    /// Another instance, with its internal address.
    Remote(SocketAddr),
    /// No leader is known.
    Unknown,
}
