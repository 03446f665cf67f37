//! One attempt of a request at one agent.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use oriolecrank_net::frame::encode_frame;
use oriolecrank_net::{ClusterSecret, FrameReader, HttpClient, peer_request};
use oriolecrank_schema::codec;
use oriolecrank_schema::data_path::{
    AckRequest, CancelRequest, HeaderField, ResumeRequest, RunEvent, RunFrame, RunRequest,
    RunVerdict, TokenUsage,
};
use oriolecrank_schema::document::RequestId;
use oriolecrank_schema::event::LogEvent;

/// Longest silence of an answer stream; agents send a heartbeat each 250 ms.
const SILENCE_BOUND: Duration = Duration::from_secs(1);

/// Longest wait for the answer to an acknowledgement or a cancellation.
const NOTICE_TIMEOUT: Duration = Duration::from_secs(1);

/// Connections tried for one answer, the first one included.
const MAX_CONNECTIONS: u32 = 4;

/// Bytes after which the answer is acknowledged, so that the agent can free them.
const ACK_INTERVAL_BYTES: u64 = 1024 * 1024;

/// What an attempt yields.
#[derive(Debug, Clone, PartialEq)]
pub enum AttemptEvent {
    /// Status and header fields, once, before the body.
    Head {
        /// HTTP status.
        status: u16,
        /// Header fields.
        headers: Vec<HeaderField>,
    },
    /// The next bytes of the body.
    Body(Bytes),
    /// The answer is complete.
    End(TokenUsage),
}

/// An attempt that failed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct AttemptError {
    /// Whether the request may have run.
    pub verdict: RunVerdict,
    /// Stable code.
    pub code: String,
    /// One sentence.
    pub message: String,
}

impl AttemptError {
    fn new(verdict: RunVerdict, code: &str, message: impl Into<String>) -> Self {
        Self {
            verdict,
            code: code.to_owned(),
            message: message.into(),
        }
    }
}

/// Reads the answer of one attempt and checks that it is whole and the one asked for.
#[derive(Debug)]
pub struct AttemptStream {
    client: HttpClient,
    secret: ClusterSecret,
    address: SocketAddr,
    request_id: RequestId,
    attempt: u32,
    reader: Option<FrameReader>,
    /// Body bytes received without a gap.
    received: u64,
    acknowledged: u64,
    head_seen: bool,
    /// The agent has taken the request, so that it may have run.
    accepted: bool,
    connections: u32,
}

impl AttemptStream {
    /// Sends the request to an agent.
    pub async fn open(
        client: HttpClient,
        secret: ClusterSecret,
        address: SocketAddr,
        request: &RunRequest,
        body: &Bytes,
    ) -> Result<Self, AttemptError> {
        let message = peer_request(&secret, "/v1/run", encode_frame(request, body));
        let response = client
            .send(address, message, SILENCE_BOUND)
            .await
            .map_err(|error| {
                AttemptError::new(error.verdict(), "agent_unreachable", error.to_string())
            })?;
        if response.status() != http::StatusCode::OK {
            let message = format!(
                "the agent refused the message with status {}",
                response.status()
            );
            return Err(AttemptError::new(
                RunVerdict::NotRun,
                "agent_refused",
                message,
            ));
        }
        Ok(Self {
            client,
            secret,
            address,
            request_id: request.request_id.clone(),
            attempt: request.attempt,
            reader: Some(FrameReader::new(response)),
            received: 0,
            acknowledged: 0,
            head_seen: false,
            accepted: false,
            connections: 1,
        })
    }

    /// Next part of the answer.
    pub async fn next(&mut self) -> Result<AttemptEvent, AttemptError> {
        loop {
            let Some(reader) = &mut self.reader else {
                self.resume().await?;
                continue;
            };
            let frame = match reader.next::<RunFrame>(SILENCE_BOUND).await {
                Ok(Some(frame)) => frame,
                Ok(None) => {
                    self.reader = None;
                    continue;
                }
                Err(error) => {
                    let event = LogEvent::StreamSilent.number();
                    let request_id = self.request_id.as_str();
                    tracing::warn!(event, request_id, %error, "answer stream lost");
                    self.reader = None;
                    continue;
                }
            };
            if frame.header.request_id != self.request_id || frame.header.attempt != self.attempt {
                // A crossed answer shows that the connection cannot be trusted.
                self.reader = None;
                continue;
            }
            if let Some(event) = self.take_event(frame.header.event, frame.payload).await? {
                return Ok(event);
            }
        }
    }

    async fn take_event(
        &mut self,
        event: RunEvent,
        payload: Bytes,
    ) -> Result<Option<AttemptEvent>, AttemptError> {
        match event {
            RunEvent::Accepted { .. } => self.accepted = true,
            RunEvent::Heartbeat => {}
            RunEvent::Head { headers, status } => {
                if !self.head_seen {
                    self.head_seen = true;
                    return Ok(Some(AttemptEvent::Head { status, headers }));
                }
            }
            RunEvent::Chunk { offset } => return Ok(self.take_chunk(offset, &payload).await),
            RunEvent::End { length, usage, .. } => {
                if length != self.received {
                    let message = format!("{} of {length} bytes arrived", self.received);
                    return Err(AttemptError::new(
                        RunVerdict::MayHaveRun,
                        "answer_incomplete",
                        message,
                    ));
                }
                if let Some(reader) = self.reader.take() {
                    reader.recycle();
                }
                self.acknowledge(true).await;
                return Ok(Some(AttemptEvent::End(usage)));
            }
            RunEvent::Failed {
                verdict,
                code,
                message,
                ..
            } => {
                return Err(AttemptError {
                    verdict,
                    code,
                    message,
                });
            }
        }
        Ok(None)
    }

    async fn take_chunk(&mut self, offset: u64, payload: &Bytes) -> Option<AttemptEvent> {
        let end = offset + payload.len() as u64;
        if offset > self.received {
            // Bytes are missing; a new connection continues at the right offset.
            self.reader = None;
            return None;
        }
        if end <= self.received {
            return None;
        }
        let fresh = payload.slice((self.received - offset) as usize..);
        self.received = end;
        if self.received - self.acknowledged >= ACK_INTERVAL_BYTES {
            self.acknowledge(false).await;
        }
        Some(AttemptEvent::Body(fresh))
    }

    async fn resume(&mut self) -> Result<(), AttemptError> {
        if self.connections >= MAX_CONNECTIONS {
            let message = "the answer stream broke too often";
            return Err(AttemptError::new(
                RunVerdict::MayHaveRun,
                "answer_lost",
                message,
            ));
        }
        self.connections += 1;
        let request = ResumeRequest {
            attempt: self.attempt,
            offset: self.received,
            request_id: self.request_id.clone(),
        };
        let message = peer_request(&self.secret, "/v1/resume", codec::encode(&request).into());
        if let Ok(response) = self.client.send(self.address, message, SILENCE_BOUND).await {
            self.reader = Some(FrameReader::new(response));
        }
        Ok(())
    }

    async fn acknowledge(&mut self, complete: bool) {
        self.acknowledged = self.received;
        let request = AckRequest {
            attempt: self.attempt,
            complete,
            offset: self.received,
            request_id: self.request_id.clone(),
        };
        self.notify("/v1/ack", codec::encode(&request)).await;
    }

    /// Cancels the attempt, because its caller has gone away.
    pub async fn cancel(&mut self) {
        self.reader = None;
        let request = CancelRequest {
            attempt: self.attempt,
            request_id: self.request_id.clone(),
        };
        self.notify("/v1/cancel", codec::encode(&request)).await;
    }

    async fn notify(&self, path: &str, message: Vec<u8>) {
        let request = peer_request(&self.secret, path, message.into());
        // A lost notice is harmless: the agent frees the answer after a time.
        if let Ok(response) = self
            .client
            .send(self.address, request, NOTICE_TIMEOUT)
            .await
        {
            let _ = response.collect(1024, NOTICE_TIMEOUT).await;
        }
    }
}
