//! Receiving side of the messages between control instances.

use http::{Request, Response, StatusCode};
use hyper::body::Incoming;
use oriolecrank_consensus::{InstanceId, PeerMessage};
use oriolecrank_net::intake::{BodyError, BodyLimits, ByteBudget, read_body_within};
use oriolecrank_net::{AnswerBody, PeerGuard, empty_answer, with_close};
use oriolecrank_schema::{codec, peer};

use crate::peer_directory::PeerDirectory;
use crate::replica::{MAX_ENTRY_BYTES, ReplicaHandle};

/// Largest request body, in bytes: room for a full batch whose last message holds an entry of the
/// largest size.
const MAX_BATCH_BYTES: usize = 2 * MAX_ENTRY_BYTES;

/// Checks the messages of other control instances and delivers them to the replica.
#[derive(Debug)]
pub struct PeerIngress<O> {
    cluster: String,
    guard: PeerGuard,
    replica: ReplicaHandle<O>,
    directory: PeerDirectory,
}

impl<O: Send + 'static> PeerIngress<O> {
    /// Creates an ingress that accepts messages of `cluster` only and stores the senders' addresses
    /// in `directory`.
    pub const fn new(
        cluster: String,
        guard: PeerGuard,
        replica: ReplicaHandle<O>,
        directory: PeerDirectory,
    ) -> Self {
        Self {
            cluster,
            guard,
            replica,
            directory,
        }
    }

    /// Budget for messages of other instances.
    pub const fn received_budget(&self) -> &ByteBudget {
        &self.replica.memory().received
    }

    /// Answers `POST /v1/peer`: 204 if the messages are accepted, 401 without the cluster secret,
    /// 426 for an unsupported protocol version, 400 if the body is not a batch or too large, 409
    /// for a batch of another cluster, 503 if there is no room for the messages now.
    pub async fn answer(&self, request: Request<Incoming>) -> Response<AnswerBody> {
        if let Some(refusal) = self.guard.refusal(request.headers()) {
            return refusal;
        }
        let budget = self.received_budget();
        let limits = BodyLimits::of_bytes(MAX_BATCH_BYTES);
        let body = match read_body_within(request.into_body(), limits, budget).await {
            Ok(body) => body,
            Err(BodyError::Full { .. }) => {
                return with_close(empty_answer(StatusCode::SERVICE_UNAVAILABLE));
            }
            Err(_) => return with_close(empty_answer(StatusCode::BAD_REQUEST)),
        };
        let Ok(batch) = codec::decode::<peer::PeerBatch>(&body) else {
            return empty_answer(StatusCode::BAD_REQUEST);
        };
        // The messages take the place of the body.
        let size = body.len();
        drop(body);
        let mut lease = budget.lease();
        if lease.resize(size).is_err() {
            return empty_answer(StatusCode::SERVICE_UNAVAILABLE);
        }
        if batch.cluster != self.cluster {
            return empty_answer(StatusCode::CONFLICT);
        }
        if let (Some(first), Ok(address)) = (batch.messages.first(), batch.address.parse()) {
            self.directory
                .record_sender(InstanceId::new(&first.from), address);
        }
        let messages = batch.messages.into_iter().map(PeerMessage::from).collect();
        if self.replica.deliver(messages, lease) {
            empty_answer(StatusCode::NO_CONTENT)
        } else {
            empty_answer(StatusCode::SERVICE_UNAVAILABLE)
        }
    }
}
