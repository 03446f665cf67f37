//! One attempt of a request at one agent.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use oriolecrank_net::frame::encode_frame;
use oriolecrank_net::{BootClock, ClusterSecret, FrameReader, HttpClient, peer_request};
use oriolecrank_policy::answer_assembly::{
    AnswerAssembly, AnswerHead, AnswerStep, AssemblySettings,
};
use oriolecrank_schema::codec;
use oriolecrank_schema::data_path::{
    AckRequest, CancelRequest, ResumeRequest, RunEvent, RunFrame, RunRequest, RunVerdict,
    TokenUsage, UpstreamLoad,
};
use oriolecrank_schema::event::LogEvent;
use tokio::time::sleep;

/// Longest silence of an answer stream; agents send a heartbeat each 250 ms.
const SILENCE_BOUND: Duration = Duration::from_secs(1);

/// Longest wait for the answer to an acknowledgement or a cancellation.
const NOTICE_TIMEOUT: Duration = Duration::from_secs(1);

/// Wait before a new connection is opened when the previous one could not be opened either.
const RECONNECT_DELAY: Duration = Duration::from_millis(50);

/// Bytes after which the answer is acknowledged, so that the agent can free them.
const ACK_INTERVAL_BYTES: u64 = 1024 * 1024;

/// What an attempt yields.
#[derive(Debug, Clone, PartialEq)]
pub enum AttemptEvent {
    /// The agent has taken the request.
    Accepted(UpstreamLoad),
    /// Status and header fields, once, before the body.
    Head(AnswerHead),
    /// The next bytes of the body.
    Body(Bytes),
    /// The answer is complete.
    End {
        /// Tokens of the attempt.
        usage: TokenUsage,
        /// Load of the upstream at the end.
        load: UpstreamLoad,
    },
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
    /// Delay that the agent suggests before a retry.
    pub retry_after: Option<Duration>,
    /// Tokens that the agent counted before the failure.
    pub output_tokens: u64,
}

impl AttemptError {
    /// An error found by the entry.
    pub fn new(verdict: RunVerdict, code: &str, message: impl Into<String>) -> Self {
        Self {
            verdict,
            code: code.to_owned(),
            message: message.into(),
            retry_after: None,
            output_tokens: 0,
        }
    }
}

/// What an [`AttemptStream`] needs to reach agents.
#[derive(Debug, Clone)]
pub struct AgentTransport {
    /// HTTP client.
    pub client: HttpClient,
    /// Secret of the cluster.
    pub secret: ClusterSecret,
}

/// How a request may be treated when its outcome is unknown.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CallSafety {
    /// May run any number of times; it may be sent again and is cancelled when its caller leaves.
    Repeatable,
    /// The agent runs it once, because a claim is committed; it may be sent to that agent again.
    Claimed,
    /// Must not be sent again once a byte may have gone out.
    Once,
}

/// Reads the answer of one attempt and checks that it is whole and the one asked for.
///
/// Dropping it before the end cancels the attempt if the call is repeatable.
#[derive(Debug)]
pub struct AttemptStream {
    transport: AgentTransport,
    address: SocketAddr,
    request: RunRequest,
    body: Bytes,
    safety: CallSafety,
    assembly: AnswerAssembly,
    reader: Option<FrameReader>,
    acknowledged: u64,
    /// The agent has confirmed that it has the request.
    accepted: bool,
    /// A connection was lost before the agent confirmed the request, so that a later refusal does
    /// not show that nothing ran.
    uncertain: bool,
}

impl AttemptStream {
    /// Sends a request to an agent.
    pub async fn open(
        transport: AgentTransport,
        address: SocketAddr,
        request: RunRequest,
        body: Bytes,
        safety: CallSafety,
    ) -> Result<Self, AttemptError> {
        let now = BootClock.now();
        let id = request.request_id.as_str();
        let settings = AssemblySettings {
            silence_timeout: SILENCE_BOUND,
            ..AssemblySettings::default()
        };
        let assembly = AnswerAssembly::new(settings, id, request.attempt, now);
        let mut stream = Self {
            transport,
            address,
            request,
            body,
            safety,
            assembly,
            reader: None,
            acknowledged: 0,
            accepted: false,
            uncertain: false,
        };
        match stream.send_run().await {
            Ok(()) => Ok(stream),
            Err(error) if error.verdict == RunVerdict::NotRun => Err(error),
            // The agent may have the request; reading the answer shows it.
            Err(_) => {
                stream.assembly.mark_sent(now);
                stream.uncertain = true;
                Ok(stream)
            }
        }
    }

    /// Sends the request, and again after a lost connection: the agent takes each attempt once.
    async fn send_run(&mut self) -> Result<(), AttemptError> {
        let message = encode_frame(&self.request, &self.body);
        let message = peer_request(&self.transport.secret, "/v1/run", message);
        let sent = self
            .transport
            .client
            .send(self.address, message, SILENCE_BOUND)
            .await;
        let response = sent.map_err(|error| {
            AttemptError::new(error.verdict(), "agent_unreachable", error.to_string())
        })?;
        if response.status() != http::StatusCode::OK {
            let status = response.status();
            let message = format!("the agent refused the message with status {status}");
            let verdict = RunVerdict::NotRun;
            return Err(AttemptError::new(verdict, "agent_refused", message));
        }
        self.assembly.mark_sent(BootClock.now());
        self.reader = Some(FrameReader::new(response));
        Ok(())
    }

    /// Next part of the answer.
    ///
    /// # Errors
    ///
    /// Returns the failure of the attempt; nothing follows it.
    pub async fn next(&mut self) -> Result<AttemptEvent, AttemptError> {
        loop {
            let Some(reader) = &mut self.reader else {
                self.reconnect().await?;
                continue;
            };
            let frame = match reader.next::<RunFrame>(SILENCE_BOUND).await {
                Ok(Some(frame)) => frame,
                Ok(None) => {
                    self.drop_connection(&"the stream ended before the answer");
                    continue;
                }
                Err(error) => {
                    self.drop_connection(&error);
                    continue;
                }
            };
            if let Some(event) = self.take_frame(frame.header, &frame.payload)? {
                return Ok(event);
            }
        }
    }

    fn take_frame(
        &mut self,
        frame: RunFrame,
        payload: &Bytes,
    ) -> Result<Option<AttemptEvent>, AttemptError> {
        let step = match self.assembly.receive(&frame, payload, BootClock.now()) {
            Ok(step) => step,
            Err(fault) if fault.may_resume() => {
                self.drop_connection(&fault);
                return Ok(None);
            }
            Err(fault) => {
                self.reader = None;
                let verdict = self.assembly.verdict();
                return Err(AttemptError::new(
                    verdict,
                    "answer_incomplete",
                    fault.to_string(),
                ));
            }
        };
        match step {
            AnswerStep::Nothing => return Ok(None),
            AnswerStep::Accepted => {}
            AnswerStep::Head(head) => {
                let head = head.clone();
                self.accepted = true;
                return Ok(Some(AttemptEvent::Head(head)));
            }
            AnswerStep::Bytes(new) => {
                let bytes = payload.slice_ref(new);
                self.acknowledge_often();
                return Ok(Some(AttemptEvent::Body(bytes)));
            }
            AnswerStep::Complete(usage) => {
                self.finish();
                let RunEvent::End { load, .. } = frame.event else {
                    return Ok(None);
                };
                return Ok(Some(AttemptEvent::End { usage, load }));
            }
            AnswerStep::Failed(failure) => {
                // A claim's agent says this only if it never ran the claim, whatever was sent.
                let certain = !self.uncertain || failure.code == CLAIM_REFUSED;
                let verdict = if certain {
                    failure.verdict
                } else {
                    RunVerdict::MayHaveRun
                };
                self.finish();
                return Err(AttemptError {
                    verdict,
                    code: failure.code,
                    message: failure.message,
                    retry_after: failure.retry_after,
                    output_tokens: failure.output_tokens,
                });
            }
        }
        self.accepted = true;
        let RunEvent::Accepted { load } = frame.event else {
            return Ok(None);
        };
        Ok(Some(AttemptEvent::Accepted(load)))
    }

    fn drop_connection(&mut self, reason: &impl std::fmt::Display) {
        let event = LogEvent::StreamSilent.number();
        let request_id = self.request.request_id.as_str();
        tracing::warn!(event, request_id, %reason, "answer stream lost");
        self.reader = None;
        if !self.accepted {
            self.uncertain = true;
        }
    }

    /// Continues the answer on a new connection.
    async fn reconnect(&mut self) -> Result<(), AttemptError> {
        let Some(point) = self.assembly.resume(BootClock.now()) else {
            let verdict = self.assembly.verdict();
            let message = "the answer stream broke and could not be continued";
            return Err(AttemptError::new(verdict, "answer_lost", message));
        };
        if !self.accepted && self.safety != CallSafety::Once {
            if let Err(error) = self.send_run().await {
                self.note_failed_connection(&error.message).await;
            }
            return Ok(());
        }
        let request = ResumeRequest {
            attempt: point.attempt,
            offset: point.offset,
            request_id: self.request.request_id.clone(),
        };
        let message = codec::encode(&request).into();
        let message = peer_request(&self.transport.secret, "/v1/resume", message);
        let sent = self
            .transport
            .client
            .send(self.address, message, SILENCE_BOUND)
            .await;
        match sent {
            Ok(response) => self.reader = Some(FrameReader::new(response)),
            Err(error) => self.note_failed_connection(&error).await,
        }
        Ok(())
    }

    async fn note_failed_connection(&self, reason: &impl std::fmt::Display) {
        let event = LogEvent::StreamSilent.number();
        let request_id = self.request.request_id.as_str();
        tracing::warn!(event, request_id, %reason, "cannot reconnect to the agent");
        sleep(RECONNECT_DELAY).await;
    }

    fn acknowledge_often(&mut self) {
        let offset = self.assembly.offset();
        if offset - self.acknowledged >= ACK_INTERVAL_BYTES {
            self.acknowledge(false);
        }
    }

    /// The last frame has arrived: the connection can be used again and the agent can forget the
    /// answer.
    fn finish(&mut self) {
        if let Some(reader) = self.reader.take() {
            tokio::spawn(recycle(reader));
        }
        self.acknowledge(true);
    }

    fn acknowledge(&mut self, complete: bool) {
        self.acknowledged = self.assembly.offset();
        let request = AckRequest {
            attempt: self.request.attempt,
            complete,
            offset: self.acknowledged,
            request_id: self.request.request_id.clone(),
        };
        self.notify("/v1/ack", codec::encode(&request));
    }

    /// Sends a notice in the background. A lost notice is harmless: the agent frees the answer after
    /// a time.
    fn notify(&self, path: &'static str, message: Vec<u8>) {
        let AgentTransport { client, secret } = self.transport.clone();
        let address = self.address;
        tokio::spawn(async move {
            let request = peer_request(&secret, path, message.into());
            if let Ok(response) = client.send(address, request, NOTICE_TIMEOUT).await {
                let _ = response.collect(1024, NOTICE_TIMEOUT).await;
            }
        });
    }
}

/// Code with which an agent refuses a claim that it has never run and never will.
pub const CLAIM_REFUSED: &str = "claim_refused";

impl Drop for AttemptStream {
    fn drop(&mut self) {
        let unfinished = !self.assembly.is_finished();
        // A cancelled call that is not repeatable would leave its caller in doubt.
        if !unfinished || self.safety != CallSafety::Repeatable {
            return;
        }
        // Without a runtime the process has ended, and the agent notices the closed connection.
        if tokio::runtime::Handle::try_current().is_err() {
            return;
        }
        let request = CancelRequest {
            attempt: self.request.attempt,
            request_id: self.request.request_id.clone(),
        };
        self.notify("/v1/cancel", codec::encode(&request));
    }
}

/// Reads the end of the body, without which the connection cannot be used again.
async fn recycle(mut reader: FrameReader) {
    if let Ok(None) = reader.next::<RunFrame>(NOTICE_TIMEOUT).await {
        reader.recycle();
    }
}
