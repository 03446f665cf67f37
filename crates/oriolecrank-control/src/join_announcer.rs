//! Announces an instance that is not a member of the control group yet to the group's members.

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

/// HTTP path that announcements are posted to.
pub const JOIN_PATH: &str = "/v1/join";

/// Interval at which the announcement is sent until the instance is a member.
const JOIN_INTERVAL: Duration = Duration::from_secs(1);

/// Longest wait for the answer to one announcement.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(1);

/// Announces an instance to the initial members from its settings until an operator has added it.
#[derive(Debug)]
pub struct JoinAnnouncer {
    /// Replica of the instance; its membership is empty until the instance is added.
    pub replica: ReplicaHandle<CommandOutcome>,
    /// Announcement, with the cluster, identity and address of the instance.
    pub request: JoinRequest,
    /// Addresses of the group's instances, tried in this order until one accepts.
    pub targets: Vec<SocketAddr>,
    /// HTTP client for the announcements.
    pub client: HttpClient,
    /// Secret that authenticates the announcements.
    pub secret: ClusterSecret,
}

impl JoinAnnouncer {
    /// Announces the instance until it is a member; returns immediately if it already is.
    pub async fn run(&self) {
        let is_waiting = |replica: &ReplicaHandle<_>| replica.status().node.membership.is_empty();
        if !is_waiting(&self.replica) {
            return;
        }
        tracing::info!(
            event = LogEvent::MembershipAwaited.number(),
            instance = self.request.instance.instance,
            address = self.request.instance.address,
            "this instance waits until an operator adds it with oriolecrank-ctl members add"
        );
        let mut ticks = interval(JOIN_INTERVAL);
        while is_waiting(&self.replica) {
            ticks.tick().await;
            for target in &self.targets {
                if self.announce(*target).await {
                    break;
                }
            }
        }
    }

    /// Sends one announcement; true if `target` is the leader and has recorded it.
    async fn announce(&self, target: SocketAddr) -> bool {
        let body = Bytes::from(codec::encode(&self.request));
        let request = peer_request(&self.secret, JOIN_PATH, body);
        let answer = self.client.send(target, request, ANSWER_TIMEOUT).await;
        answer.is_ok_and(|response| {
            let recorded = response.status() == StatusCode::NO_CONTENT;
            response.recycle();
            recorded
        })
    }
}
