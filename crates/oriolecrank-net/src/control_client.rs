//! Client of the control group, the control instances that replicate the cluster state.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use bytes::Bytes;
use http::header::AUTHORIZATION;
use http::{Request, StatusCode};
use http_body_util::Full;
use oriolecrank_schema::codec;
use oriolecrank_schema::control::{Command, CommandOutcome, SubscribeRequest};
use oriolecrank_schema::data_path::RunVerdict;
use oriolecrank_schema::protocol::{PROTOCOL_HEADER, PROTOCOL_VERSION};
use serde::Serialize;
use serde::de::DeserializeOwned;
use snafu::Snafu;
use tokio::time::{Instant, sleep};

use crate::cluster_secret::ClusterSecret;
use crate::frame::FrameReader;
use crate::http_client::{ClientResponse, HttpClient, SendError};

/// Maximum size of a response from a control instance, in bytes.
const MAX_ANSWER_BYTES: usize = 16 * 1024 * 1024;

/// Time limit for a command to one control instance before the next instance is tried.
const ATTEMPT_TIMEOUT: Duration = Duration::from_secs(1);

/// Pause after all control instances were tried without success.
const ROUND_DELAY: Duration = Duration::from_millis(50);

/// A message to a control instance, or a command to the control group, that failed.
#[derive(Debug, Snafu)]
pub enum ControlError {
    /// No instance returned the outcome of a command within the time limit.
    #[snafu(display("no control instance returned the outcome of the command in time"))]
    Unavailable {
        /// Whether the command may have taken effect.
        verdict: RunVerdict,
    },
    /// An instance answered with an HTTP status other than 200.
    #[snafu(display("a control instance refused the message with status {status}"))]
    Refused {
        /// HTTP status of the response.
        status: StatusCode,
    },
    /// The message could not be sent, or its response did not arrive completely.
    #[snafu(transparent)]
    Send {
        /// Cause.
        source: SendError,
    },
    /// The response cannot be decoded.
    #[snafu(transparent)]
    Decode {
        /// Cause.
        source: codec::CodecError,
    },
}

/// Sends commands to the leader of the control group and opens subscriptions.
#[derive(Debug, Clone)]
pub struct ControlClient {
    client: HttpClient,
    secret: ClusterSecret,
    addresses: Arc<[SocketAddr]>,
    /// Index of the instance that last returned the outcome of a command; it is tried first. Only a
    /// hint, so relaxed ordering is enough.
    preferred: Arc<AtomicUsize>,
}

impl ControlClient {
    /// Creates a client for the control instances at `addresses`, which must not be empty.
    pub fn new(client: HttpClient, secret: ClusterSecret, addresses: &[SocketAddr]) -> Self {
        Self {
            client,
            secret,
            addresses: addresses.into(),
            preferred: Arc::default(),
        }
    }

    /// Sends a command to the leader. Follows leader hints and tries other instances until
    /// `time_limit` has passed.
    ///
    /// A command may be sent again after its response was lost, so every command is idempotent or
    /// carries an id by which the state machine removes duplicates.
    pub async fn command(
        &self,
        command: &Command,
        time_limit: Duration,
    ) -> Result<CommandOutcome, ControlError> {
        let deadline = Instant::now() + time_limit;
        let mut verdict = RunVerdict::NotRun;
        let mut hint = None;
        let mut attempts = 0;
        while Instant::now() < deadline {
            let address = hint.take().unwrap_or_else(|| self.address(attempts));
            let wait = ATTEMPT_TIMEOUT.min(deadline - Instant::now());
            match self
                .post::<_, CommandOutcome>(address, "/v1/command", command, wait)
                .await
            {
                Ok(CommandOutcome::NotLeader { leader }) => {
                    hint = leader.and_then(|leader| leader.parse().ok());
                }
                Ok(CommandOutcome::Unavailable) => verdict = RunVerdict::MayHaveRun,
                Ok(outcome) => {
                    self.prefer(address);
                    return Ok(outcome);
                }
                Err(ControlError::Send { source }) => {
                    if source.verdict() == RunVerdict::MayHaveRun {
                        verdict = RunVerdict::MayHaveRun;
                    }
                }
                Err(error) => return Err(error),
            }
            attempts += 1;
            if hint.is_none() && attempts % self.addresses.len().max(1) == 0 {
                sleep(ROUND_DELAY).await;
            }
        }
        UnavailableSnafu { verdict }.fail()
    }

    /// Sends one message to one control instance, without retries. `time_limit` applies separately
    /// to the response headers and to the body.
    pub async fn post<M: Serialize, A: DeserializeOwned>(
        &self,
        address: SocketAddr,
        path: &str,
        message: &M,
        time_limit: Duration,
    ) -> Result<A, ControlError> {
        let response = self.open(address, path, message, time_limit).await?;
        let bytes = response.collect(MAX_ANSWER_BYTES, time_limit).await?;
        Ok(codec::decode(&bytes)?)
    }

    /// Opens a subscription at one control instance. `time_limit` applies to the response headers.
    pub async fn subscribe(
        &self,
        address: SocketAddr,
        request: &SubscribeRequest,
        time_limit: Duration,
    ) -> Result<FrameReader, ControlError> {
        self.open(address, "/v1/subscribe", request, time_limit)
            .await
            .map(FrameReader::new)
    }

    /// Address of the instance `index` places, wrapping around, after the one that last returned
    /// the outcome of a command.
    pub fn address(&self, index: usize) -> SocketAddr {
        let first = self.preferred.load(Ordering::Relaxed);
        self.addresses[(first + index) % self.addresses.len()]
    }

    fn prefer(&self, address: SocketAddr) {
        if let Some(index) = self.addresses.iter().position(|known| *known == address) {
            self.preferred.store(index, Ordering::Relaxed);
        }
    }

    async fn open<M: Serialize>(
        &self,
        address: SocketAddr,
        path: &str,
        message: &M,
        time_limit: Duration,
    ) -> Result<ClientResponse, ControlError> {
        let request = peer_request(&self.secret, path, Bytes::from(codec::encode(message)));
        let response = self.client.send(address, request, time_limit).await?;
        let status = response.status();
        if status != StatusCode::OK {
            return RefusedSnafu { status }.fail();
        }
        Ok(response)
    }
}

/// Builds an authenticated POST request to another process of the cluster.
pub fn peer_request(secret: &ClusterSecret, path: &str, body: Bytes) -> Request<Full<Bytes>> {
    peer_request_with(secret, path, Full::new(body))
}

/// Like [`peer_request`], with a body of another type.
pub fn peer_request_with<B>(secret: &ClusterSecret, path: &str, body: B) -> Request<B> {
    Request::post(path)
        .header(http::header::HOST, "oriolecrank")
        .header(AUTHORIZATION, secret.header())
        .header(PROTOCOL_HEADER, PROTOCOL_VERSION.to_string())
        .body(body)
        .expect("path and headers are valid")
}
