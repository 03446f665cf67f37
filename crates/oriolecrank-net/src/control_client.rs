//! Client of the control group.

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

/// Largest answer to a command, in bytes.
const MAX_ANSWER_BYTES: usize = 16 * 1024 * 1024;

/// Longest wait for one control instance before the next one is tried.
const ATTEMPT_TIMEOUT: Duration = Duration::from_secs(1);

/// Wait after all control instances were tried.
const ROUND_DELAY: Duration = Duration::from_millis(50);

/// A message that no control instance answered.
#[derive(Debug, Snafu)]
pub enum ControlError {
    /// No instance answered within the time limit.
    #[snafu(display("no control instance answered in time"))]
    Unavailable {
        /// Whether the command may have taken effect.
        verdict: RunVerdict,
    },
    /// An instance refused the message.
    #[snafu(display("a control instance refused the message with status {status}"))]
    Refused {
        /// HTTP status.
        status: StatusCode,
    },
    /// The connection failed.
    #[snafu(transparent)]
    Send {
        /// Cause.
        source: SendError,
    },
    /// The answer cannot be decoded.
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
    /// Index of the instance that answered last; a hint, so relaxed ordering is enough.
    preferred: Arc<AtomicUsize>,
}

impl ControlClient {
    /// A client for the control instances at `addresses`.
    pub fn new(client: HttpClient, secret: ClusterSecret, addresses: &[SocketAddr]) -> Self {
        Self {
            client,
            secret,
            addresses: addresses.into(),
            preferred: Arc::default(),
        }
    }

    /// Sends a command to the leader, trying other instances until `bound` has passed.
    ///
    /// A command may be applied twice when an answer is lost, so every command is idempotent or
    /// carries an id that the state machine deduplicates.
    pub async fn command(
        &self,
        command: &Command,
        bound: Duration,
    ) -> Result<CommandOutcome, ControlError> {
        let deadline = Instant::now() + bound;
        let mut verdict = RunVerdict::NotRun;
        let mut hint = None;
        let mut tried = 0;
        while Instant::now() < deadline {
            let address = hint.take().unwrap_or_else(|| self.address(tried));
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
            tried += 1;
            if hint.is_none() && tried % self.addresses.len().max(1) == 0 {
                sleep(ROUND_DELAY).await;
            }
        }
        UnavailableSnafu { verdict }.fail()
    }

    /// Sends one message to one control instance.
    pub async fn post<M: Serialize, A: DeserializeOwned>(
        &self,
        address: SocketAddr,
        path: &str,
        message: &M,
        bound: Duration,
    ) -> Result<A, ControlError> {
        let response = self.open(address, path, message, bound).await?;
        let bytes = response.collect(MAX_ANSWER_BYTES, bound).await?;
        Ok(codec::decode(&bytes)?)
    }

    /// Opens a subscription at one control instance.
    pub async fn subscribe(
        &self,
        address: SocketAddr,
        request: &SubscribeRequest,
        bound: Duration,
    ) -> Result<FrameReader, ControlError> {
        self.open(address, "/v1/subscribe", request, bound)
            .await
            .map(FrameReader::new)
    }

    /// Address number `index` of the instances, beginning with the one that answered last.
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
        bound: Duration,
    ) -> Result<ClientResponse, ControlError> {
        let request = peer_request(&self.secret, path, Bytes::from(codec::encode(message)));
        let response = self.client.send(address, request, bound).await?;
        let status = response.status();
        if status != StatusCode::OK {
            return RefusedSnafu { status }.fail();
        }
        Ok(response)
    }
}

/// A POST request to another process of the cluster.
pub fn peer_request(secret: &ClusterSecret, path: &str, body: Bytes) -> Request<Full<Bytes>> {
    Request::post(path)
        .header(http::header::HOST, "oriolecrank")
        .header(AUTHORIZATION, secret.header())
        .header(PROTOCOL_HEADER, PROTOCOL_VERSION.to_string())
        .body(Full::new(body))
        .expect("path and headers are valid")
}
