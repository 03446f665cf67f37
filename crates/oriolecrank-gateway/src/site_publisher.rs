//! Commits commands, through the leader if this instance is another.

use oriolecrank_schema::event::LogEvent;
use std::net::SocketAddr;
use std::time::Duration;

use oriolecrank_control::ReplicaHandle;
use oriolecrank_routing::{SiteCommand, SiteOutcome, StoredDocument};
use oriolecrank_schema::codec;

use crate::control_link::ControlLink;
use crate::site_machine::SharedSite;
use crate::site_messages::{PUBLISH_PATH, PublishAnswer, PublishRequest};

/// Longest wait for the leader. Operators try another instance after about a second; the rest of
/// their patience is left for that.
const LEADER_TIMEOUT: Duration = Duration::from_millis(900);

/// Access to the log for documents.
#[derive(Debug, Clone)]
pub(crate) struct SitePublisher {
    pub(crate) replica: ReplicaHandle<SiteOutcome>,
    pub(crate) site: SharedSite,
    pub(crate) link: ControlLink,
}

impl SitePublisher {
    /// Puts a checked document in force; true once it, or a newer one, is committed.
    pub(crate) async fn publish(&self, document: StoredDocument) -> bool {
        if self.is_superseded(document.version) {
            return true;
        }
        let request = PublishRequest { document };
        match self.leader() {
            LeaderPlace::Own => self.commit(request).await == PublishAnswer::Committed,
            LeaderPlace::Other(address) => {
                let link = &self.link;
                let answer: Result<PublishAnswer, _> = link
                    .call(address, PUBLISH_PATH, &request, LEADER_TIMEOUT)
                    .await;
                match answer {
                    Ok(answer) => answer == PublishAnswer::Committed,
                    Err(error) => {
                        tracing::warn!(
                            event = LogEvent::DocumentNotCommitted.number(),
                            %address,
                            %error,
                            "the leader did not take a document"
                        );
                        false
                    }
                }
            }
            LeaderPlace::Unknown => false,
        }
    }

    /// Commits a document at the leader.
    pub(crate) async fn commit(&self, request: PublishRequest) -> PublishAnswer {
        let version = request.document.version;
        match self.propose(&SiteCommand::Publish(request.document)).await {
            Some(outcome) => {
                tracing::info!(
                    event = LogEvent::DocumentAccepted.number(),
                    version,
                    ?outcome,
                    "a document was committed"
                );
                PublishAnswer::Committed
            }
            None => PublishAnswer::Unavailable,
        }
    }

    /// Commits a command at the leader; `None` if the outcome is not known.
    pub(crate) async fn propose(&self, command: &SiteCommand) -> Option<SiteOutcome> {
        match self.replica.propose(codec::encode(command)).await {
            Ok(applied) => Some(applied.output),
            Err(error) => {
                tracing::warn!(
                    event = LogEvent::DocumentNotCommitted.number(),
                    %error,
                    "a command is not known to be committed"
                );
                None
            }
        }
    }

    /// Whether a document of this version or a higher one is committed.
    fn is_superseded(&self, version: u64) -> bool {
        let state = self.site.read();
        let known = state.document().map(|document| document.version);
        known.is_some_and(|known| known >= version)
    }

    fn leader(&self) -> LeaderPlace {
        let Some(leader) = self.replica.leader() else {
            return LeaderPlace::Unknown;
        };
        if leader.id == self.replica.status().node.id {
            return LeaderPlace::Own;
        }
        let address = leader.address.parse();
        address.map_or(LeaderPlace::Unknown, LeaderPlace::Other)
    }

    /// Address of the leader, if it is another instance.
    pub(crate) fn other_leader(&self) -> Option<SocketAddr> {
        match self.leader() {
            LeaderPlace::Other(address) => Some(address),
            LeaderPlace::Own | LeaderPlace::Unknown => None,
        }
    }

    /// Internal addresses of the other members.
    pub(crate) fn other_members(&self) -> Vec<SocketAddr> {
        let status = self.replica.status();
        let members = status.node.membership.members.iter();
        members
            .filter(|member| member.id != status.node.id)
            .filter_map(|member| member.address.parse().ok())
            .collect()
    }
}

/// Where the leader is.
enum LeaderPlace {
    Own,
    Other(SocketAddr),
    Unknown,
}
