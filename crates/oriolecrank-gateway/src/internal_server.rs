//! HTTP handler of a control instance's internal address: serves entries and other control
//! instances.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::{Request, Response, StatusCode};
use hyper::body::Incoming;
use oriolecrank_consensus::InstanceId;
use oriolecrank_control::{PEER_PATH, PeerIngress};
use oriolecrank_net::intake::{BodyError, BodyLimits, read_body_within};
use oriolecrank_net::{
    AnswerBody, BootClock, HttpHandler, PeerGuard, empty_answer, message_answer, text_answer,
    with_close,
};
use oriolecrank_routing::{
    CrashSuspect, SiteCommand, SiteOutcome, StoredDocument, SuspectVerdicts,
};
use oriolecrank_schema::codec::{self, CodecError};
use oriolecrank_schema::control::JoinRequest;
use tokio::time::{sleep, timeout};

use crate::control_link::LinkError;
use crate::document_transfer::DocumentCache;
use crate::quota::{QUOTA_PATH, QuotaGranter, QuotaRequest};
use crate::site_clock::SiteClock;
use crate::site_gossip::apply_batch;
use crate::site_messages::{
    DEPARTURE_PATH, DOCUMENT_PATH, DepartureRequest, DocumentAnswer, DocumentRequest, GOSSIP_PATH,
    GossipBatch, JOIN_PATH, ORIGIN_PATH, OriginAnswer, OriginRequest, PUBLISH_PATH, PublishAnswer,
    PublishRequest, RecordsAnswer, STREAMS_PATH, SUSPECTS_PATH, SYNC_PATH, StreamRecords,
    SuspectReports, SyncAnswer, SyncRequest,
};
use crate::site_publisher::SitePublisher;
use crate::site_tables::SiteTables;

/// Time after which a sync is answered even if no document or upstream has changed, so that loads
/// and counts stay fresh.
const SYNC_POLL_TIMEOUT: Duration = Duration::from_millis(500);

/// Time for which the record of a resumed stream is awaited. Entries send records within 80 ms, and
/// the leader commits them within 30 ms and two round trips.
const RECORD_WAIT: Duration = Duration::from_millis(250);

/// Time between two looks for the record.
const RECORD_POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Longest wait for the commitment of a trial, well below the timeout of a sync.
const GRANT_TIMEOUT: Duration = Duration::from_millis(300);

/// Largest body of a message, in bytes: room for a document and its metadata.
const MAX_MESSAGE_BYTES: usize = 8 * 1024 * 1024;

/// Timeout for forwarding a request to join to the leader.
const JOIN_TIMEOUT: Duration = Duration::from_millis(500);

/// HTTP handler for the other processes of the cluster.
#[derive(Debug)]
pub(crate) struct InternalServer {
    pub(crate) cluster: String,
    pub(crate) guard: PeerGuard,
    pub(crate) ingress: PeerIngress<SiteOutcome>,
    pub(crate) publisher: SitePublisher,
    pub(crate) tables: Arc<SiteTables>,
    pub(crate) clock: Arc<SiteClock>,
    pub(crate) documents: DocumentCache,
    pub(crate) quota: QuotaGranter,
}

/// Newest state of this run of the control process that an entry has already received.
#[derive(Debug, Clone, Copy, Default)]
struct SeenRevisions {
    directory_revision: u64,
    placement_sequence: u64,
}

impl InternalServer {
    async fn answer_message(
        &self,
        path: &str,
        body: Bytes,
    ) -> Result<Response<AnswerBody>, CodecError> {
        if path == PUBLISH_PATH {
            return self.answer_publish(body).await;
        }
        let body = &body;
        let answer = match path {
            SYNC_PATH => message_answer(&self.answer_sync(codec::decode(body)?).await),
            DOCUMENT_PATH => self.answer_document(&codec::decode(body)?),
            GOSSIP_PATH => self.answer_gossip(codec::decode(body)?),
            DEPARTURE_PATH => {
                let request: DepartureRequest = codec::decode(body)?;
                let departure = request.departure;
                message_answer(&self.publisher.commit_departure(departure).await)
            }
            STREAMS_PATH => message_answer(&self.answer_streams(codec::decode(body)?)),
            SUSPECTS_PATH => {
                let message: SuspectReports = codec::decode(body)?;
                self.tables
                    .add_suspect_reports(message.reports, BootClock.now());
                empty_answer(StatusCode::NO_CONTENT)
            }
            QUOTA_PATH => {
                let request: QuotaRequest = codec::decode(body)?;
                message_answer(&self.quota.answer(&request, &self.publisher.replica))
            }
            ORIGIN_PATH => message_answer(&self.answer_origin(codec::decode(body)?).await),
            JOIN_PATH => self.answer_join(codec::decode(body)?).await,
            _ => empty_answer(StatusCode::NOT_FOUND),
        };
        Ok(answer)
    }

    /// Commits a document of another instance. It counts as a received message for as long as it is
    /// kept, in place of the body that it came in.
    async fn answer_publish(&self, body: Bytes) -> Result<Response<AnswerBody>, CodecError> {
        let PublishRequest { document } = codec::decode(&body)?;
        drop(body);
        let mut lease = self.publisher.replica.memory().received.lease();
        if lease.resize(document.source.len()).is_err() {
            return Ok(message_answer(&PublishAnswer::Unavailable));
        }
        let document = StoredDocument {
            version: document.version,
            source: lease.hold(document.source.into()),
        };
        let answer = self.publisher.publish_forwarded(document).await;
        Ok(message_answer(&answer))
    }

    fn answer_streams(&self, records: StreamRecords) -> RecordsAnswer {
        if self.publisher.replica.authority().is_none() {
            return RecordsAnswer::NotLeader;
        }
        self.tables.add_streams(records.streams);
        RecordsAnswer::Taken
    }

    /// Answers where a stream began. A read barrier that starts with the question ensures that no
    /// version is missing at which a stream may have begun by then. A stream that began just before
    /// may not be recorded yet, so the answer waits for a moment.
    async fn answer_origin(&self, request: OriginRequest) -> OriginAnswer {
        let deadline = BootClock.now() + RECORD_WAIT;
        loop {
            if self.publisher.replica.read_barrier().await.is_err() {
                return OriginAnswer::Unconfirmed;
            }
            {
                let state = self.publisher.site.read();
                let streams = state.streams();
                let origin = request.key.and_then(|key| streams.find(key));
                let admitted = streams.admitted();
                let needs_record = admitted.has_several_versions();
                if origin.is_some() || !needs_record || BootClock.now() >= deadline {
                    return OriginAnswer::Confirmed {
                        origin: origin.cloned(),
                        admitted: admitted.clone(),
                    };
                }
            }
            sleep(RECORD_POLL_INTERVAL).await;
        }
    }

    fn answer_gossip(&self, batch: GossipBatch) -> Response<AnswerBody> {
        if batch.cluster != self.cluster {
            return empty_answer(StatusCode::CONFLICT);
        }
        apply_batch(&self.tables, batch, &self.clock);
        empty_answer(StatusCode::NO_CONTENT)
    }

    /// Forwards a request to join to the leader, or records the instance here if this one leads or
    /// knows no leader. An instance that was removed must come back under a new identity.
    async fn answer_join(&self, request: JoinRequest) -> Response<AnswerBody> {
        if request.cluster != self.cluster {
            return empty_answer(StatusCode::CONFLICT);
        }
        let id = InstanceId::new(&request.instance.instance);
        if self.publisher.replica.status().node.removed.contains(&id) {
            return empty_answer(StatusCode::GONE);
        }
        if let Some(leader) = self.publisher.remote_leader() {
            let link = &self.publisher.link;
            let forwarded = link.notify(leader, JOIN_PATH, &request, JOIN_TIMEOUT).await;
            return match forwarded {
                Ok(()) => empty_answer(StatusCode::NO_CONTENT),
                Err(LinkError::Refused { status, .. }) => empty_answer(status),
                Err(error) => text_answer(StatusCode::SERVICE_UNAVAILABLE, error.to_string()),
            };
        }
        let mut tables = self.tables.lock();
        tables.joins.record(request.instance, BootClock.now());
        empty_answer(StatusCode::NO_CONTENT)
    }

    /// Records the state of an entry and answers once there is a newer document or upstream, or
    /// after [`SYNC_POLL_TIMEOUT`]. An entry that is stopping, or that does not know this run of
    /// the control process, is answered immediately.
    async fn answer_sync(&self, mut request: SyncRequest) -> SyncAnswer {
        let mut changed_revision = self.tables.subscribe_revision();
        let mut version = self.publisher.site.subscribe_version();
        self.tables.record_sync(&mut request, BootClock.now());
        self.quota.observe_term(&self.publisher.replica);
        let mut refusals = self.publisher.site.subscribe_refusals();
        let mut origins = self.publisher.site.subscribe_origins();
        let is_current_run = request.control_run == self.tables.run;
        let seen = if is_current_run {
            SeenRevisions {
                directory_revision: request.directory_revision,
                placement_sequence: request.placement_sequence,
            }
        } else {
            SeenRevisions::default()
        };
        let revision = seen.directory_revision;
        // Older entries name no revision, and do not wait for origins.
        let known_origins = request.origin_revision;
        let change = async {
            tokio::select! {
                _ = changed_revision.wait_for(|changed| *changed > revision) => {}
                _ = version.wait_for(|version| *version > request.document_version) => {}
                _ = refusals.changed() => {}
                _ = origins.wait_for(|revision| known_origins.is_some_and(|known| *revision > known)) => {}
            }
        };
        if is_current_run && !request.stopping {
            // The answer is sent after a timeout too, because loads have changed meanwhile.
            let _ = timeout(SYNC_POLL_TIMEOUT, change).await;
        }
        let verdicts = self.suspect_verdicts(&request).await;
        self.sync_answer(&request, seen, verdicts)
    }

    /// Verdicts for an entry, if this instance leads and knows all that was decided before. Empty ones
    /// are only sent to an entry that holds others.
    async fn suspect_verdicts(&self, request: &SyncRequest) -> Option<SuspectVerdicts> {
        if !self.publisher.leads_with_full_state().await {
            return None;
        }
        let trials = self.grant_trials(&request.wanted_suspects).await;
        let now = self.clock.unix_time(BootClock.now());
        let verdicts = SuspectVerdicts {
            trials,
            ..self.publisher.site.read().suspects().current_verdicts(now)
        };
        let is_needed = request.holds_suspect_verdicts || verdicts != SuspectVerdicts::default();
        is_needed.then_some(verdicts)
    }

    /// Grants an entry the trials of refused suspects that are due. A grant is committed before the entry
    /// learns of it, so that no other leader grants it again.
    async fn grant_trials(&self, wanted: &[CrashSuspect]) -> Vec<CrashSuspect> {
        let mut granted = Vec::new();
        for suspect in wanted.iter().copied() {
            let now = self.clock.unix_time(BootClock.now());
            let is_due = {
                let state = self.publisher.site.read();
                state.suspects().is_trial_due(suspect, now)
            };
            if !is_due {
                continue;
            }
            let command = SiteCommand::GrantTrial { now, suspect };
            match timeout(GRANT_TIMEOUT, self.publisher.propose(&command)).await {
                Ok(Some(SiteOutcome::Applied)) => granted.push(suspect),
                Ok(_) => {}
                // The others would take as long.
                Err(_) => break,
            }
        }
        granted
    }

    fn answer_document(&self, request: &DocumentRequest) -> Response<AnswerBody> {
        let state = self.publisher.site.read();
        let document = state.document();
        match document.filter(|document| document.version > request.known_version) {
            Some(document) => Response::new(AnswerBody::full(self.documents.answer_with(document))),
            None => message_answer(&DocumentAnswer { document: None }),
        }
    }

    fn sync_answer(
        &self,
        request: &SyncRequest,
        seen: SeenRevisions,
        suspect_verdicts: Option<SuspectVerdicts>,
    ) -> SyncAnswer {
        let (document, document_version, origins) = {
            let state = self.publisher.site.read();
            let document = state.document();
            let version = document.map_or(0, |document| document.version);
            let inline = document.filter(|document| {
                !request.fetches_documents && document.version > request.document_version
            });
            let admitted = state.streams().admitted();
            let newer = Some(admitted.revision) > request.origin_revision;
            (inline.cloned(), version, newer.then(|| admitted.clone()))
        };
        let status = self.publisher.replica.status().node;
        let leader = self.publisher.replica.leader();
        let members = status.membership.members.iter();
        let members = members.filter_map(|member| member.address.parse().ok());
        let is_leader = leader.as_ref().is_some_and(|leader| leader.id == status.id);
        let mut tables = self.tables.lock();
        let now = BootClock.now();
        let placed = is_leader.then(|| {
            tables
                .placements
                .since(seen.placement_sequence, Some(request.run.run))
        });
        let limits = is_leader.then(|| tables.limits.reports_for(&request.run, now));
        let wants_shares = is_leader && !request.work_demand.is_empty();
        let work_shares = wants_shares.then(|| tables.work.shares(now));
        SyncAnswer {
            limits: limits.unwrap_or_default(),
            work_shares: work_shares.unwrap_or_default(),
            placed: placed.unwrap_or_default(),
            placement_sequence: tables.placements.newest_sequence(),
            document,
            document_version,
            control_run: self.tables.run,
            directory_revision: tables.directory.revision(),
            upstreams: tables.announcements(seen.directory_revision, BootClock.now()),
            other_loads: tables.loads_excluding(&request.run),
            suspect_verdicts,
            origins,
            entries: tables.loads.entry_count(),
            term: status.term.0,
            membership_version: status.membership.version.0,
            members: members.collect(),
            leader: leader.and_then(|leader| leader.address.parse().ok()),
            unix_ms: self.clock.local_unix_ms(BootClock.now()),
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
        let limits = BodyLimits::of_bytes(MAX_MESSAGE_BYTES);
        let budget = &self.publisher.replica.memory().received;
        let body = match read_body_within(body, limits, budget).await {
            Ok(body) => body,
            Err(BodyError::Full { .. }) => {
                return with_close(empty_answer(StatusCode::SERVICE_UNAVAILABLE));
            }
            Err(_) => return with_close(empty_answer(StatusCode::PAYLOAD_TOO_LARGE)),
        };
        match self.answer_message(parts.uri.path(), body).await {
            Ok(answer) => answer,
            Err(error) => text_answer(StatusCode::BAD_REQUEST, error.to_string()),
        }
    }
}
