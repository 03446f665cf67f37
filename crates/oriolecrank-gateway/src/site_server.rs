//! HTTP handler of a control instance's address for operators and upstreams.

use oriolecrank_schema::event::LogEvent;
use std::net::SocketAddr;
use std::sync::Arc;

use bytes::Bytes;
use http::request::Parts as RequestParts;
use http::{Request, Response};
use hyper::body::Incoming;
use oriolecrank_control::ControlMemory;
use oriolecrank_net::intake::{
    BodyAwaited, BodyError, BodyLimits, ByteBudget, DiscardLimits, discard_body, read_body_within,
};
use oriolecrank_net::{AnswerBody, BootClock, HttpHandler, with_close};
use oriolecrank_routing::{
    MergeEffect, StoredDocument, UpstreamAnnouncement, UpstreamDeparture, UpstreamName,
    UpstreamReadiness,
};

use crate::caller_server::NO_ROOM_DELAY;
use crate::dialect::{SiteCall, SiteDialect, SiteReply};
use crate::site_clock::SiteClock;
use crate::site_gossip::SiteGossip;
use crate::site_publisher::SitePublisher;
use crate::site_tables::SiteTables;

/// Memory for one decoded object of a document besides its strings, in bytes: above that of a route,
/// the largest one, and of its entry in the check for duplicates.
const OBJECT_BYTES: usize = 640;

/// Upper bound of the memory that a document takes while it is decoded and checked.
fn decoded_bytes(source: &[u8]) -> usize {
    let objects = source.split(|byte| *byte == b'{').count() - 1;
    source.len() + objects * OBJECT_BYTES
}

/// A decoded call; a document has passed its checks.
#[derive(Debug)]
enum CheckedCall {
    /// Publishes the document of the body, with this version.
    Publish(u64),
    /// Any other call.
    Other(SiteCall),
}

/// HTTP handler for the calls of operators and upstreams.
#[derive(Debug)]
pub(crate) struct SiteServer<D> {
    pub(crate) dialect: Arc<D>,
    pub(crate) publisher: SitePublisher,
    pub(crate) tables: Arc<SiteTables>,
    pub(crate) gossip: SiteGossip,
    pub(crate) clock: Arc<SiteClock>,
    /// Memory for the bodies of calls.
    pub(crate) client_budget: ByteBudget,
    /// Memory of the process, by holder.
    pub(crate) memory: ControlMemory,
}

impl<D: SiteDialect> SiteServer<D> {
    async fn answer(&self, call: CheckedCall, body: Bytes) -> SiteReply {
        match call {
            CheckedCall::Publish(version) => self.publish(version, body).await,
            CheckedCall::Other(call) => self.answer_other(call).await,
        }
    }

    async fn answer_other(&self, call: SiteCall) -> SiteReply {
        match call {
            SiteCall::Read => self.read().await,
            SiteCall::Announce(announcement) => self.announce(announcement).await,
            SiteCall::Depart { name, started_ms } => self.depart(&name, started_ms).await,
            SiteCall::Invalid(reason) => {
                tracing::warn!(
                    event = LogEvent::CallRefused.number(),
                    reason,
                    "a malformed call was refused"
                );
                SiteReply::Invalid(reason)
            }
            // A document takes the other way.
            SiteCall::Publish(_) | SiteCall::Unknown => SiteReply::Unknown,
        }
    }

    /// Decodes a call and checks a document. The decoded document, which takes several times the memory
    /// of its text, does not outlive this function.
    fn decode(&self, parts: &RequestParts, body: &Bytes) -> Result<CheckedCall, SiteReply> {
        // One document is decoded at a time, so it may use the whole part.
        let decoded = decoded_bytes(body);
        let mut lease = self.memory.decoding.lease();
        lease.count(decoded);
        if decoded > self.memory.decoding.capacity() {
            tracing::warn!(
                event = LogEvent::CallRefused.number(),
                bytes = body.len(),
                "a document with too many objects for the memory of this instance was refused"
            );
            return Err(SiteReply::TooLarge);
        }
        let document = match self.dialect.decode_site_call(parts, body) {
            SiteCall::Publish(document) => document,
            call => return Ok(CheckedCall::Other(call)),
        };
        let version = document.version;
        if let Err(error) = document.check() {
            tracing::warn!(
                event = LogEvent::CallRefused.number(),
                version,
                %error,
                "a document failed its checks and was refused"
            );
            return Err(SiteReply::Invalid(error.to_string()));
        }
        Ok(CheckedCall::Publish(version))
    }

    async fn publish(&self, version: u64, body: Bytes) -> SiteReply {
        let stored = StoredDocument {
            version,
            source: body,
        };
        if self.publisher.publish(stored).await {
            tracing::info!(
                event = LogEvent::DocumentAcknowledged.number(),
                version,
                "a document was acknowledged"
            );
            SiteReply::Accepted
        } else {
            tracing::warn!(
                event = LogEvent::DocumentNotCommitted.number(),
                version,
                "a document was not confirmed as committed; the operator must retry"
            );
            SiteReply::Unavailable
        }
    }

    /// Answers with the newest document. A read barrier that starts with the call ensures that the
    /// answer is not older than the call.
    async fn read(&self) -> SiteReply {
        if let Err(error) = self.publisher.replica.read_barrier().await {
            tracing::warn!(
                event = LogEvent::ReadNotConfirmed.number(),
                %error,
                "a read of the document could not be confirmed"
            );
            return SiteReply::Unavailable;
        }
        let state = self.publisher.site.read();
        state.document().map_or(SiteReply::Unavailable, |document| {
            SiteReply::Document(document.source.clone())
        })
    }

    async fn announce(&self, announcement: UpstreamAnnouncement) -> SiteReply {
        let unix_ms = self.clock.unix_ms(BootClock.now());
        if let Err(error) = announcement.check(unix_ms) {
            tracing::warn!(
                event = LogEvent::CallRefused.number(),
                address = %announcement.address,
                %error,
                "an announcement was refused"
            );
            return SiteReply::Invalid(error.to_string());
        }
        let effect = self
            .tables
            .apply_announcement(announcement.clone(), BootClock.now());
        if effect == MergeEffect::Changed {
            log_upstream_change(&announcement);
        }
        if announcement.state != UpstreamReadiness::Ready {
            let change = (effect == MergeEffect::Changed).then(|| announcement.clone());
            let departure = UpstreamDeparture::from(&announcement);
            return self.acknowledge_departure(&departure, change).await;
        }
        if matches!(effect, MergeEffect::Changed | MergeEffect::Refreshed) {
            self.gossip.enqueue(announcement);
        }
        SiteReply::Accepted
    }

    async fn depart(&self, name: &UpstreamName, started_ms: Option<u64>) -> SiteReply {
        let departed = self.tables.mark_left(name, started_ms, BootClock.now());
        if let Some(announcement) = &departed {
            log_upstream_change(announcement);
        }
        let known_start = departed
            .as_ref()
            .map(|announcement| announcement.started_ms);
        let Some(started_ms) = started_ms.or(known_start) else {
            tracing::warn!(
                event = LogEvent::CallRefused.number(),
                upstream = %name,
                "an unknown upstream that states no start time was not deregistered"
            );
            return SiteReply::Unavailable;
        };
        let departure = UpstreamDeparture {
            upstream: name.clone(),
            started_ms,
            state: UpstreamReadiness::Left,
        };
        if let Err(error) = departure.check(self.clock.unix_ms(BootClock.now())) {
            tracing::warn!(
                event = LogEvent::CallRefused.number(),
                %error,
                "a deregistration was refused"
            );
            return SiteReply::Invalid(error.to_string());
        }
        self.acknowledge_departure(&departure, departed).await
    }

    /// Answers an upstream that leaves. It is acknowledged once the replicated state contains its
    /// departure. The other control instances learn of `change` at the same time, so that entries stop
    /// sending requests to it also while the group has no majority.
    async fn acknowledge_departure(
        &self,
        departure: &UpstreamDeparture,
        change: Option<UpstreamAnnouncement>,
    ) -> SiteReply {
        let gossip = async {
            if let Some(announcement) = change {
                self.gossip.send_now(announcement).await;
            }
        };
        let (is_committed, ()) = tokio::join!(self.publisher.publish_departure(departure), gossip);
        if is_committed {
            SiteReply::Accepted
        } else {
            SiteReply::Unavailable
        }
    }
}

fn log_upstream_change(announcement: &UpstreamAnnouncement) {
    tracing::info!(
        event = LogEvent::UpstreamAnnounced.number(),
        upstream = %announcement.name,
        service = %announcement.service,
        address = %announcement.address,
        state = ?announcement.state,
        phase = ?announcement.role,
        version = ?announcement.version,
        started_ms = announcement.started_ms,
        sequence = announcement.sequence,
        "the announcement of an upstream has changed"
    );
}

/// Answer to a call whose body could not be read.
fn body_refusal(error: BodyError) -> SiteReply {
    match error {
        BodyError::TooLarge | BodyError::Incomplete => SiteReply::TooLarge,
        BodyError::Full { .. } | BodyError::TooSlow => SiteReply::NoRoom {
            retry_after: NO_ROOM_DELAY,
        },
    }
}

impl<D: SiteDialect> HttpHandler for SiteServer<D> {
    async fn handle(&self, request: Request<Incoming>, _peer: SocketAddr) -> Response<AnswerBody> {
        let (parts, mut body) = request.into_parts();
        let limits = BodyLimits::of_bytes(self.memory.largest_document());
        let awaited = BodyAwaited::new(&parts.extensions);
        let read = read_body_within(&mut body, limits, &self.client_budget).await;
        drop(awaited);
        let body = match read {
            Ok(body) => body,
            Err(error) => {
                let path = parts.uri.path();
                tracing::warn!(
                    event = LogEvent::CallRefused.number(),
                    path,
                    %error,
                    "the body of a call was not read"
                );
                if matches!(error, BodyError::TooLarge | BodyError::Full { .. }) {
                    // An operator that writes its whole call before it reads would else find the
                    // connection reset, and never learn why.
                    tokio::spawn(discard_body(body, DiscardLimits::default()));
                }
                return with_close(self.dialect.encode_site_reply(body_refusal(error)));
            }
        };
        let call = match self.decode(&parts, &body) {
            Ok(call) => call,
            Err(refusal) => return self.dialect.encode_site_reply(refusal),
        };
        // On the heap, so that a call whose body is still read does not take memory for its answer.
        let reply = Box::pin(self.answer(call, body)).await;
        self.dialect.encode_site_reply(reply)
    }
}
