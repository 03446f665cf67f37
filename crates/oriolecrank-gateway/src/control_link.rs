//! Calls to control instances.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use oriolecrank_net::{ClusterSecret, HttpClient, SendError, peer_request};
use oriolecrank_schema::codec::{self, CodecError};
use serde::Serialize;
use serde::de::DeserializeOwned;
use snafu::{ResultExt, Snafu, ensure};

/// Largest answer, in bytes: a document of 4 MiB and a directory.
const MAX_ANSWER_BYTES: usize = 16 * 1024 * 1024;

/// A call that got no usable answer.
#[derive(Debug, Snafu)]
pub(crate) enum LinkError {
    /// The call failed.
    #[snafu(display("{source}"))]
    Failed { source: SendError },
    /// The other process refused the call.
    #[snafu(display("{address} answered with status {status}"))]
    Refused {
        address: SocketAddr,
        status: http::StatusCode,
    },
    /// The answer cannot be decoded.
    #[snafu(display("{source}"))]
    Unreadable { source: CodecError },
}

/// Connections to control instances; clones share them.
#[derive(Debug, Clone)]
pub(crate) struct ControlLink {
    pub(crate) client: HttpClient,
    pub(crate) secret: ClusterSecret,
}

impl ControlLink {
    /// Sends a message and returns the decoded answer.
    pub(crate) async fn call<T: Serialize, A: DeserializeOwned>(
        &self,
        address: SocketAddr,
        path: &str,
        message: &T,
        bound: Duration,
    ) -> Result<A, LinkError> {
        let bytes = self.send(address, path, message, bound).await?;
        codec::decode(&bytes).context(UnreadableSnafu)
    }

    /// Sends a message whose answer is empty.
    pub(crate) async fn tell<T: Serialize>(
        &self,
        address: SocketAddr,
        path: &str,
        message: &T,
        bound: Duration,
    ) -> Result<(), LinkError> {
        self.send(address, path, message, bound).await.map(drop)
    }

    async fn send<T: Serialize>(
        &self,
        address: SocketAddr,
        path: &str,
        message: &T,
        bound: Duration,
    ) -> Result<Bytes, LinkError> {
        let body = Bytes::from(codec::encode(message));
        let request = peer_request(&self.secret, path, body);
        let answer = self.client.send(address, request, bound).await;
        let answer = answer.context(FailedSnafu)?;
        let status = answer.status();
        let bytes = answer.collect(MAX_ANSWER_BYTES, bound).await;
        let bytes = bytes.context(FailedSnafu)?;
        ensure!(status.is_success(), RefusedSnafu { address, status });
        Ok(bytes)
    }
}
