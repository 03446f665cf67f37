//! Answers entries and other control instances.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::{Request, Response, StatusCode};
use hyper::body::Incoming;
use oriolecrank_control::{PEER_PATH, PeerIngress};
use oriolecrank_net::{
    AnswerBody, BootClock, HttpHandler, PeerGuard, empty_answer, message_answer, read_body,
    text_answer,
};
use oriolecrank_routing::SiteOutcome;
use oriolecrank_schema::codec::{self, CodecError};
use oriolecrank_schema::control::JoinRequest;
use tokio::time::timeout;

use crate::site_clock::SiteClock;
use crate::site_gossip::take_batch;
use crate::site_messages::{
    GOSSIP_PATH, GossipBatch, JOIN_PATH, PUBLISH_PATH, SYNC_PATH, SyncAnswer, SyncRequest,
};
use crate::site_publisher::SitePublisher;
use crate::site_tables::SiteTables;

/// Longest time without news after which a sync is answered all the same, so that loads and counts
/// stay fresh.
const SYNC_WAIT: Duration = Duration::from_millis(500);

/// Largest body of a message, in bytes: a document and its header.
const MAX_MESSAGE_BYTES: usize = 8 * 1024 * 1024;

/// Longest wait for the leader to note an instance that joins.
const JOIN_TIMEOUT: Duration = Duration::from_millis(500);

/// Answers the processes of the cluster.
#[derive(Debug)]
pub(crate) struct InternalServer {
    pub(crate) cluster: String,
    pub(crate) guard: PeerGuard,
    pub(crate) ingress: PeerIngress<SiteOutcome>,
    pub(crate) publisher: SitePublisher,
    pub(crate) tables: Arc<SiteTables>,
    pub(crate) clock: Arc<SiteClock>,
}

/// What an entry has of this run of the control process.
#[derive(Debug, Clone, Copy, Default)]
struct SeenNews {
    directory_revision: u64,
    placement_sequence: u64,
}

impl InternalServer {
    async fn message(&self, path: &str, body: &Bytes) -> Result<Response<AnswerBody>, CodecError> {
        let answer = match path {
            SYNC_PATH => message_answer(&self.sync(codec::decode(body)?).await),
            GOSSIP_PATH => self.gossip(codec::decode(body)?),
            PUBLISH_PATH => {
                let request = codec::decode(body)?;
                message_answer(&self.publisher.commit(request).await)
            }
            JOIN_PATH => self.join(codec::decode(body)?).await,
            _ => empty_answer(StatusCode::NOT_FOUND),
        };
        Ok(answer)
    }

    fn gossip(&self, batch: GossipBatch) -> Response<AnswerBody> {
        if batch.cluster != self.cluster {
            return empty_answer(StatusCode::CONFLICT);
        }
        take_batch(&self.tables, batch);
        empty_answer(StatusCode::NO_CONTENT)
    }

    /// Notes an instance that wants to join, or tells the leader of it.
    async fn join(&self, request: JoinRequest) -> Response<AnswerBody> {
        if request.cluster != self.cluster {
            return empty_answer(StatusCode::CONFLICT);
        }
        if let Some(leader) = self.publisher.other_leader() {
            let link = &self.publisher.link;
            let told = link.tell(leader, JOIN_PATH, &request, JOIN_TIMEOUT).await;
            return match told {
                Ok(()) => empty_answer(StatusCode::NO_CONTENT),
                Err(error) => text_answer(StatusCode::SERVICE_UNAVAILABLE, error.to_string()),
            };
        }
        let mut tables = self.tables.lock();
        tables.joins.record(request.instance, BootClock.now());
        empty_answer(StatusCode::NO_CONTENT)
    }

    /// Takes the state of an entry and answers once there is news for it.
    async fn sync(&self, mut request: SyncRequest) -> SyncAnswer {
        let mut changes = self.tables.changes();
        let mut version = self.publisher.site.version();
        self.tables.lock().note_entry(&mut request, BootClock.now());
        let known_run = request.control_run == self.tables.run;
        let seen = if known_run {
            SeenNews {
                directory_revision: request.directory_revision,
                placement_sequence: request.placement_sequence,
            }
        } else {
            SeenNews::default()
        };
        let revision = seen.directory_revision;
        let news = async {
            tokio::select! {
                _ = changes.wait_for(|changed| *changed > revision) => {}
                _ = version.wait_for(|version| *version > request.document_version) => {}
            }
        };
        if known_run && !request.stopping {
            // The end of the wait is news too: loads have changed.
            let _ = timeout(SYNC_WAIT, news).await;
        }
        self.sync_answer(&request, seen)
    }

    fn sync_answer(&self, request: &SyncRequest, seen: SeenNews) -> SyncAnswer {
        let document = {
            let state = self.publisher.site.read();
            let document = state.document();
            document
                .filter(|document| document.version > request.document_version)
                .cloned()
        };
        let own = self.publisher.replica.status().node;
        let leader = self.publisher.replica.leader();
        let members = own.membership.members.iter();
        let members = members.filter_map(|member| member.address.parse().ok());
        let leads = leader.as_ref().is_some_and(|leader| leader.id == own.id);
        let tables = self.tables.lock();
        let placed = leads.then(|| {
            tables
                .placements
                .since(seen.placement_sequence, Some(request.run.run))
        });
        SyncAnswer {
            placed: placed.unwrap_or_default(),
            placement_sequence: tables.placements.newest_sequence(),
            document,
            control_run: self.tables.run,
            directory_revision: tables.directory.revision(),
            upstreams: tables.announcements(seen.directory_revision, BootClock.now()),
            other_loads: tables.loads_beside(&request.run),
            entries: tables.loads.entry_count(),
            members: members.collect(),
            leader: leader.and_then(|leader| leader.address.parse().ok()),
            unix_ms: self.clock.own_unix_ms(BootClock.now()),
        }
    }
}

impl HttpHandler for InternalServer {
    async fn handle(&self, request: Request<Incoming>, _peer: SocketAddr) -> Response<AnswerBody> {
        if request.uri().path() == PEER_PATH {
            return self.ingress.answer(request).await;
        }
        if let Some(refusal) = self.guard.refusal(request.headers()) {
            return refusal;
        }
        let (parts, body) = request.into_parts();
        let Some(body) = read_body(body, MAX_MESSAGE_BYTES).await else {
            return empty_answer(StatusCode::PAYLOAD_TOO_LARGE);
        };
        match self.message(parts.uri.path(), &body).await {
            Ok(answer) => answer,
            Err(error) => text_answer(StatusCode::BAD_REQUEST, error.to_string()),
        }
    }
}
