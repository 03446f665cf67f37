//! Receiving side of the messages between control instances.

use bytes::Bytes;
use http::{Request, Response, StatusCode};
use hyper::body::Incoming;
use oriolecrank_consensus::{InstanceId, PeerMessage};
use oriolecrank_net::{AnswerBody, PeerGuard, empty_answer, read_body};
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

    /// Answers `POST /v1/peer`: 204 if the messages are accepted, 401 without the cluster secret,
    /// 426 for an unsupported protocol version, 400 if the body is not a batch or too large, 409
    /// for a batch of another cluster.
    pub async fn answer(&self, request: Request<Incoming>) -> Response<AnswerBody> {
        if let Some(refusal) = self.guard.refusal(request.headers()) {
            return refusal;
        }
        let body = read_body(request.into_body(), MAX_BATCH_BYTES).await;
        let mut lease = self.replica.memory().received.lease();
        lease.count(body.as_ref().map_or(0, Bytes::len));
        let batch = body.map(|body| codec::decode::<peer::PeerBatch>(&body));
        let Some(Ok(batch)) = batch else {
            return empty_answer(StatusCode::BAD_REQUEST);
        };
        if batch.cluster != self.cluster {
            return empty_answer(StatusCode::CONFLICT);
        }
        if let (Some(first), Ok(address)) = (batch.messages.first(), batch.address.parse()) {
            self.directory
                .record_sender(InstanceId::new(&first.from), address);
        }
        let messages = batch.messages.into_iter().map(PeerMessage::from).collect();
        self.replica.deliver(messages, lease);
        empty_answer(StatusCode::NO_CONTENT)
    }
}
