//! Announces an instance that waits until it is added to a group.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http::StatusCode;
use oriolecrank_net::{ClusterSecret, HttpClient, peer_request};
use oriolecrank_schema::codec;
use oriolecrank_schema::control::{CommandOutcome, JoinRequest};
use oriolecrank_schema::event::LogEvent;
use tokio::time::interval;

use crate::replica::ReplicaHandle;

/// Path of announcements.
pub const JOIN_PATH: &str = "/v1/join";

/// Interval of announcements.
const JOIN_INTERVAL: Duration = Duration::from_secs(1);

/// Longest wait for an answer.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(1);

/// Announces an instance to the instances named in its settings.
#[derive(Debug)]
pub struct JoinAnnouncer {
    /// Own replica.
    pub replica: ReplicaHandle<CommandOutcome>,
    /// Announcement.
    pub request: JoinRequest,
    /// Addresses of the group.
    pub targets: Vec<SocketAddr>,
    /// Connections to the group.
    pub client: HttpClient,
    /// Secret of the cluster.
    pub secret: ClusterSecret,
}

impl JoinAnnouncer {
    /// Announces the instance until it is a member.
    pub async fn run(&self) {
        let waits = |replica: &ReplicaHandle<_>| replica.status().node.membership.is_empty();
        if !waits(&self.replica) {
            return;
        }
        tracing::info!(
            event = LogEvent::MembershipAwaited.number(),
            instance = self.request.instance.instance,
            address = self.request.instance.address,
            "waits until an operator adds it with oriolecrank-ctl members add"
        );
        let mut ticks = interval(JOIN_INTERVAL);
        while waits(&self.replica) {
            ticks.tick().await;
            for target in &self.targets {
                if self.announce(*target).await {
                    break;
                }
            }
        }
    }

    /// Whether the leader has noted the announcement.
    async fn announce(&self, target: SocketAddr) -> bool {
        let body = Bytes::from(codec::encode(&self.request));
        let request = peer_request(&self.secret, JOIN_PATH, body);
        let answer = self.client.send(target, request, ANSWER_TIMEOUT).await;
        answer.is_ok_and(|response| {
            let noted = response.status() == StatusCode::NO_CONTENT;
            response.recycle();
            noted
        })
    }
}
