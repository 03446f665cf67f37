//! Client for the internal addresses of control instances.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use oriolecrank_net::{ClusterSecret, HttpClient, SendError, peer_request};
use oriolecrank_schema::codec::{self, CodecError};
use serde::Serialize;
use serde::de::DeserializeOwned;
use snafu::{ResultExt, Snafu, ensure};

/// Largest answer, in bytes: room for a document of 4 MiB and a directory.
const MAX_ANSWER_BYTES: usize = 16 * 1024 * 1024;

/// Why a call got no usable answer.
#[derive(Debug, Snafu)]
pub(crate) enum LinkError {
    /// The message could not be sent or its answer could not be read.
    #[snafu(display("{source}"))]
    Failed { source: SendError },
    /// The other process answered with an error status.
    #[snafu(display("{address} answered with status {status}"))]
    Refused {
        address: SocketAddr,
        status: http::StatusCode,
    },
    /// The answer cannot be decoded.
    #[snafu(display("{source}"))]
    InvalidAnswer { source: CodecError },
}

/// Time limits of a transfer that may be large.
#[derive(Debug, Clone, Copy)]
pub(crate) struct TransferLimits {
    /// Longest wait for the head of the answer and for each next piece of its body.
    pub(crate) stall: Duration,
    /// Longest duration of the whole body.
    pub(crate) total: Duration,
}

/// Client for control instances; clones share its connections.
#[derive(Debug, Clone)]
pub(crate) struct ControlLink {
    pub(crate) client: HttpClient,
    pub(crate) secret: ClusterSecret,
}

impl ControlLink {
    /// Sends a message and returns the decoded answer. `timeout` applies to the head and to the
    /// body of the answer separately.
    pub(crate) async fn call<T: Serialize, A: DeserializeOwned>(
        &self,
        address: SocketAddr,
        path: &str,
        message: &T,
        timeout: Duration,
    ) -> Result<A, LinkError> {
        let bytes = self.send(address, path, message, timeout).await?;
        codec::decode(&bytes).context(InvalidAnswerSnafu)
    }

    /// Like [`call`](Self::call), for a message that is encoded already.
    pub(crate) async fn call_encoded<A: DeserializeOwned>(
        &self,
        address: SocketAddr,
        path: &str,
        message: Vec<u8>,
        timeout: Duration,
    ) -> Result<A, LinkError> {
        let bytes = self.send_encoded(address, path, message, timeout).await?;
        codec::decode(&bytes).context(InvalidAnswerSnafu)
    }

    /// Sends a message whose answer has no body.
    pub(crate) async fn notify<T: Serialize>(
        &self,
        address: SocketAddr,
        path: &str,
        message: &T,
        timeout: Duration,
    ) -> Result<(), LinkError> {
        self.send(address, path, message, timeout).await.map(drop)
    }

    /// Sends a message whose answer may be large. The transfer goes on as long as it makes
    /// progress within the limits.
    pub(crate) async fn transfer<T: Serialize, A: DeserializeOwned>(
        &self,
        address: SocketAddr,
        path: &str,
        message: &T,
        limits: TransferLimits,
    ) -> Result<A, LinkError> {
        let body = Bytes::from(codec::encode(message));
        let request = peer_request(&self.secret, path, body);
        let answer = self.client.send(address, request, limits.stall).await;
        let answer = answer.context(FailedSnafu)?;
        let status = answer.status();
        ensure!(status.is_success(), RefusedSnafu { address, status });
        let body = answer.collect_while_progressing(MAX_ANSWER_BYTES, limits.stall, limits.total);
        let bytes = body.await.context(FailedSnafu)?;
        codec::decode(&bytes).context(InvalidAnswerSnafu)
    }

    async fn send<T: Serialize>(
        &self,
        address: SocketAddr,
        path: &str,
        message: &T,
        timeout: Duration,
    ) -> Result<Bytes, LinkError> {
        let message = codec::encode(message);
        self.send_encoded(address, path, message, timeout).await
    }

    async fn send_encoded(
        &self,
        address: SocketAddr,
        path: &str,
        message: Vec<u8>,
        timeout: Duration,
    ) -> Result<Bytes, LinkError> {
        let request = peer_request(&self.secret, path, Bytes::from(message));
        let answer = self.client.send(address, request, timeout).await;
        let answer = answer.context(FailedSnafu)?;
        let status = answer.status();
        let bytes = answer.collect(MAX_ANSWER_BYTES, timeout).await;
        let bytes = bytes.context(FailedSnafu)?;
        ensure!(status.is_success(), RefusedSnafu { address, status });
        Ok(bytes)
    }
}
