//! Receives the messages of other control instances.

use http::{Request, Response, StatusCode};
use hyper::body::Incoming;
use oriolecrank_consensus::{InstanceId, PeerMessage};
use oriolecrank_net::{AnswerBody, PeerGuard, empty_answer, read_body};
use oriolecrank_schema::{codec, peer};

use crate::peer_directory::PeerDirectory;
use crate::replica::{MAX_ENTRY_BYTES, ReplicaHandle};

/// Largest body of a batch, in bytes: a full batch, and one more message with the largest entry.
const MAX_BATCH_BYTES: usize = 2 * MAX_ENTRY_BYTES;

/// Receives the messages of other control instances.
#[derive(Debug)]
pub struct PeerIngress<O> {
    cluster: String,
    guard: PeerGuard,
    replica: ReplicaHandle<O>,
    directory: PeerDirectory,
}

impl<O: Send + 'static> PeerIngress<O> {
    /// Delivers messages of the given cluster to a replica.
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

    /// Answers `POST /v1/peer`: 204, or 401, 426, 400 for a body that is not a batch, or 409 for the
    /// messages of another cluster.
    pub async fn answer(&self, request: Request<Incoming>) -> Response<AnswerBody> {
        if let Some(refusal) = self.guard.refusal(request.headers()) {
            return refusal;
        }
        let body = read_body(request.into_body(), MAX_BATCH_BYTES).await;
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
        self.replica.deliver(messages);
        empty_answer(StatusCode::NO_CONTENT)
    }
}
