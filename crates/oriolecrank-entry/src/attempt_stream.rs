//! Sends one attempt of a request to an agent and reads its answer.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use oriolecrank_net::frame::encode_frame_start;
use oriolecrank_net::{
    BootClock, ClusterSecret, FrameReader, HttpClient, RequestBody, peer_request, peer_request_with,
};
use oriolecrank_policy::answer_assembly::{
    AnswerAssembly, AnswerHead, AnswerStep, AssemblySettings,
};
use oriolecrank_schema::codec;
use oriolecrank_schema::data_path::{
    AckRequest, CancelRequest, ResumeRequest, RunEvent, RunFrame, RunRequest, RunVerdict,
    TokenUsage, UpstreamLoad,
};
use oriolecrank_schema::event::LogEvent;
use oriolecrank_schema::failure_code::CLAIM_REFUSED;
use tokio::time::sleep;

/// Longest time without a frame before a connection to an agent counts as lost. Agents send a
/// heartbeat every 250 ms.
const SILENCE_TIMEOUT: Duration = Duration::from_secs(1);

/// Time limit for an acknowledgement or a cancellation, and for reading the end of an answer's HTTP
/// body.
const NOTICE_TIMEOUT: Duration = Duration::from_secs(1);

/// Delay before the next attempt to reconnect after one has failed.
const RECONNECT_DELAY: Duration = Duration::from_millis(50);

/// Number of received bytes after which the answer is acknowledged, so that the agent can free
/// them.
const ACK_INTERVAL_BYTES: u64 = 1024 * 1024;

/// A part of the answer to an attempt.
#[derive(Debug, Clone, PartialEq)]
pub enum AttemptEvent {
    /// The agent has accepted the request; contains the load of the upstream.
    Accepted(UpstreamLoad),
    /// Status and header fields; arrive once, before the body.
    Head(AnswerHead),
    /// The next bytes of the body.
    Body(Bytes),
    /// The answer is complete.
    End {
        /// Tokens that the attempt used.
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
    /// Stable error code, part of the API for callers.
    pub code: String,
    /// One sentence for the caller.
    pub message: String,
    /// Delay that the agent suggests before a retry; `None` if it suggests none.
    pub retry_after: Option<Duration>,
    /// Output tokens delivered before the failure, as counted by the agent.
    pub output_tokens: u64,
}

impl AttemptError {
    /// An error that the entry itself detects. It has no suggested delay and no output tokens.
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
    /// Client that pools the connections to agents.
    pub client: HttpClient,
    /// Secret that authenticates requests to agents.
    pub secret: ClusterSecret,
}

/// Whether a request may be sent again when its outcome is unknown.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CallSafety {
    /// Idempotent: may run any number of times, so it may be sent again, and it is cancelled when
    /// its caller disconnects.
    Repeatable,
    /// A committed claim names one agent, which runs the request at most once; it may be sent to
    /// that agent again.
    Claimed,
    /// Not idempotent: must not be sent again once a byte of it may have been sent.
    Once,
}

/// Reads the answer to one attempt and checks that it is complete and belongs to the attempt. A
/// lost connection is replaced and the answer resumed.
///
/// Dropping it before the end of the answer cancels the attempt if the call is
/// [`CallSafety::Repeatable`].
#[derive(Debug)]
pub struct AttemptStream {
    transport: AgentTransport,
    address: SocketAddr,
    request: RunRequest,
    body: Bytes,
    safety: CallSafety,
    assembly: AnswerAssembly,
    /// `None` while there is no connection.
    reader: Option<FrameReader>,
    /// Offset up to which the answer was acknowledged.
    acknowledged: u64,
    /// The agent has confirmed that it has the request.
    accepted: bool,
    /// A connection was lost before the agent confirmed the request. The agent may have run it,
    /// even if it refuses the request when that is sent again.
    delivery_uncertain: bool,
}

impl AttemptStream {
    /// Sends a request to an agent.
    ///
    /// # Errors
    ///
    /// Returns an error only if the request has certainly not run; if the agent may have received
    /// it, [`Self::next`] finds out.
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
            silence_timeout: SILENCE_TIMEOUT,
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
            delivery_uncertain: false,
        };
        match stream.send_run().await {
            Ok(()) => Ok(stream),
            Err(error) if error.verdict == RunVerdict::NotRun => Err(error),
            // The agent may have received the request. `next` reconnects and finds out.
            Err(_) => {
                stream.assembly.mark_sent(now);
                stream.delivery_uncertain = true;
                Ok(stream)
            }
        }
    }

    /// Sends the request. It may be sent again after a lost connection, because an agent runs each
    /// attempt only once.
    async fn send_run(&mut self) -> Result<(), AttemptError> {
        let start = encode_frame_start(&self.request, self.body.len());
        let body = RequestBody::pieces(start, self.body.clone());
        let message = peer_request_with(&self.transport.secret, "/v1/run", body);
        let sent = self
            .transport
            .client
            .send_body(self.address, message, SILENCE_TIMEOUT)
            .await;
        let response = sent.map_err(|error| {
            AttemptError::new(error.verdict(), "agent_unreachable", error.to_string())
        })?;
        if response.status() != http::StatusCode::OK {
            let status = response.status();
            let message = format!("the agent refused the request with HTTP status {status}");
            let verdict = RunVerdict::NotRun;
            return Err(AttemptError::new(verdict, "agent_refused", message));
        }
        self.assembly.mark_sent(BootClock.now());
        self.reader = Some(FrameReader::new(response));
        Ok(())
    }

    /// Waits for the next part of the answer; resumes the answer if the connection is lost.
    ///
    /// # Errors
    ///
    /// Returns the failure of the attempt. The stream must not be read any further.
    pub async fn next(&mut self) -> Result<AttemptEvent, AttemptError> {
        loop {
            let Some(reader) = &mut self.reader else {
                self.reconnect().await?;
                continue;
            };
            let frame = match reader.next::<RunFrame>(SILENCE_TIMEOUT).await {
                Ok(Some(frame)) => frame,
                Ok(None) => {
                    self.drop_connection(&"the connection ended before the end of the answer");
                    continue;
                }
                Err(error) => {
                    self.drop_connection(&error);
                    continue;
                }
            };
            if let Some(event) = self.process_frame(frame.header, &frame.payload)? {
                return Ok(event);
            }
        }
    }

    /// Checks a frame; returns `None` if it holds nothing new or the connection must be replaced.
    fn process_frame(
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
                self.acknowledge_if_due();
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
                // An agent refuses a claim only if it has never run it, so this verdict is certain
                // even if a connection was lost.
                let certain = !self.delivery_uncertain || failure.code == CLAIM_REFUSED;
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
        tracing::warn!(
            event,
            request_id,
            %reason,
            "answer stream lost; trying to resume it on a new connection"
        );
        self.reader = None;
        if !self.accepted {
            self.delivery_uncertain = true;
        }
    }

    /// Opens a new connection and asks for the rest of the answer. Sends the request again if the
    /// agent has not confirmed it and the call may be sent again.
    ///
    /// A connection that cannot be opened is no error: [`Self::next`] tries again until the
    /// assembly allows no further resumption.
    async fn reconnect(&mut self) -> Result<(), AttemptError> {
        let Some(point) = self.assembly.resume(BootClock.now()) else {
            let verdict = self.assembly.verdict();
            let message =
                "the connection to the agent was lost and the answer could not be resumed";
            return Err(AttemptError::new(verdict, "answer_lost", message));
        };
        if !self.accepted && self.safety != CallSafety::Once {
            if let Err(error) = self.send_run().await {
                self.wait_after_failed_reconnect(&error.message).await;
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
            .send(self.address, message, SILENCE_TIMEOUT)
            .await;
        match sent {
            Ok(response) => self.reader = Some(FrameReader::new(response)),
            Err(error) => self.wait_after_failed_reconnect(&error).await,
        }
        Ok(())
    }

    async fn wait_after_failed_reconnect(&self, reason: &impl std::fmt::Display) {
        let event = LogEvent::StreamSilent.number();
        let request_id = self.request.request_id.as_str();
        tracing::warn!(
            event,
            request_id,
            %reason,
            "cannot reconnect to the agent; trying again after a short delay"
        );
        sleep(RECONNECT_DELAY).await;
    }

    fn acknowledge_if_due(&mut self) {
        let offset = self.assembly.offset();
        if offset - self.acknowledged >= ACK_INTERVAL_BYTES {
            self.acknowledge(false);
        }
    }

    /// Called after the last frame: makes the connection available for reuse and acknowledges the
    /// whole answer, so that the agent can free it.
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

    /// Sends an acknowledgement or a cancellation in the background. It may be lost, because the
    /// agent frees the answer after some time anyway.
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

impl Drop for AttemptStream {
    fn drop(&mut self) {
        let unfinished = !self.assembly.is_finished();
        // Other calls are not cancelled, because it would be unknown whether they ran.
        if !unfinished || self.safety != CallSafety::Repeatable {
            return;
        }
        // Without a runtime the process is ending, and the agent notices the closed connection.
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

/// Reads the end of the HTTP body, before which the connection cannot be used again.
async fn recycle(mut reader: FrameReader) {
    if let Ok(None) = reader.next::<RunFrame>(NOTICE_TIMEOUT).await {
        reader.recycle();
    }
}
