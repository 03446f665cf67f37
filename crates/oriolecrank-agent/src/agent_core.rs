//! Runs requests on the upstream and reports claims, crashes and usage to the control group.

use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

use base64::Engine as _;
use base64::engine::general_purpose::STANDARD;
use bytes::Bytes;
use oriolecrank_net::BootClock;
use oriolecrank_policy::request_queue::QueueSettings;
use oriolecrank_policy::{AttemptId, BlockCount};
use oriolecrank_schema::TimePoint;
use oriolecrank_schema::control::{Command, RunningRequest, StoredAnswer};
use oriolecrank_schema::data_path::{RunRequest, RunVerdict, TokenUsage, UpstreamLoad};
use oriolecrank_schema::document::UpstreamId;
use oriolecrank_schema::event::LogEvent;
use oriolecrank_schema::failure_code::UPSTREAM_PAUSED;
use tokio::sync::{Notify, OnceCell};

use crate::agent_metrics::AgentMetrics;
use crate::control_reporter::ControlReporter;
use crate::crash_detector::{CRASH_DETECTION_WINDOW, DisconnectGroupId};
use crate::failure_events::failed;
use crate::request_table::{AdmissionResult, RequestTable, StartedCall};
use crate::running_answer::{AnswerHead, RunningAnswer};
use crate::upstream_client::{CallError, UpstreamAnswer, UpstreamCall, UpstreamClient};
use crate::usage_meter::UsageMeter;

/// Largest answer body of a claimed call that the control group stores, in bytes.
const MAX_STORED_ANSWER_BYTES: usize = 64 * 1024;

/// Longest time for which the end of an answer is held back until the control group has committed
/// the completion of its claim or the report of a crash.
const COMMIT_TIMEOUT: Duration = Duration::from_secs(1);

/// Why the upstream connection of a call was lost.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum DisconnectCause {
    UpstreamCrash,
    ConnectionLoss,
}

type CauseCell = Arc<OnceCell<DisconnectCause>>;

/// Requests of an agent and the upstream that runs them.
#[derive(Debug)]
pub struct AgentCore<U> {
    upstream: U,
    upstream_id: UpstreamId,
    incarnation: u64,
    reporter: ControlReporter,
    metrics: AgentMetrics,
    /// Lock order: the table before `causes` and before any answer; never across an await.
    table: Mutex<RequestTable>,
    /// Cause of the latest group of disconnects, determined once for all its calls. A new group
    /// replaces the older one.
    causes: Mutex<HashMap<DisconnectGroupId, CauseCell>>,
    /// Wakes the announcer after a change of the phase, role or model.
    record_changed: Notify,
}

impl<U: UpstreamClient> AgentCore<U> {
    /// Creates a core without requests.
    pub fn new(
        upstream: U,
        upstream_id: UpstreamId,
        incarnation: u64,
        capacity: BlockCount,
        reporter: ControlReporter,
        metrics: AgentMetrics,
    ) -> Self {
        Self {
            upstream,
            upstream_id,
            incarnation,
            reporter,
            metrics,
            table: Mutex::new(RequestTable::new(QueueSettings::default(), capacity)),
            causes: Mutex::default(),
            record_changed: Notify::new(),
        }
    }

    /// Locks the table of queued and running requests; the lock must not be held across an await.
    pub fn table(&self) -> MutexGuard<'_, RequestTable> {
        self.table
            .lock()
            .expect("the table lock is never poisoned: no holder panics")
    }

    /// Client of the upstream.
    pub const fn upstream(&self) -> &U {
        &self.upstream
    }

    /// Incarnation of the agent process; a later process for the same upstream has a larger one.
    pub const fn incarnation(&self) -> u64 {
        self.incarnation
    }

    /// Name of the upstream.
    pub const fn upstream_id(&self) -> &UpstreamId {
        &self.upstream_id
    }

    /// Metrics that the order runner shares.
    pub const fn metrics(&self) -> &AgentMetrics {
        &self.metrics
    }

    /// Whether no request runs or waits and every report has been delivered or abandoned.
    pub fn is_idle(&self) -> bool {
        self.table().is_idle() && self.reporter.is_idle()
    }

    /// Current load, as sent to entries and the control group.
    pub fn load(&self) -> UpstreamLoad {
        self.table().load()
    }

    /// Notified after a change that the announcer must publish without delay.
    pub const fn record_changed(&self) -> &Notify {
        &self.record_changed
    }

    /// Admits a request and starts every waiting request that the upstream has room for.
    pub fn admit(self: &Arc<Self>, request: RunRequest, body: Bytes) -> AdmissionResult {
        let result = self.table().admit(request, body, BootClock.now());
        match &result {
            AdmissionResult::Refused { code, .. } => self.metrics.count_refusal(code),
            AdmissionResult::Paused { .. } => self.metrics.count_refusal(UPSTREAM_PAUSED),
            AdmissionResult::Answer(_) | AdmissionResult::OutcomeUnknown => {}
        }
        self.start_waiting();
        result
    }

    /// Starts the waiting requests that fit into the upstream and reports refused claims to the
    /// control group.
    pub fn start_waiting(self: &Arc<Self>) {
        let released_claims = {
            let mut table = self.table();
            while let Some(call) = table.start_next(BootClock.now()) {
                let answer = Arc::clone(&call.answer);
                let worker = tokio::spawn(Arc::clone(self).run(call));
                answer.set_worker(worker.abort_handle());
            }
            self.metrics.set_load(&table.load());
            table.take_released_claims()
        };
        for claim in released_claims {
            self.reporter.report_in_background(Command::ReleaseClaim {
                claim_id: claim.0,
                incarnation: self.incarnation,
                upstream: self.upstream_id.clone(),
            });
        }
    }

    async fn run(self: Arc<Self>, call: StartedCall) {
        let StartedCall {
            id,
            request,
            body,
            answer,
        } = call;
        let mut meter = UsageMeter::new(request.stream, request.prompt_tokens);
        let result = self.copy_answer(request, body, &answer, &mut meter).await;
        let usage = meter.usage();
        match result {
            Ok(()) => {
                let _pending_report = self.reporter.register_pending();
                self.table().finish(&id, &usage, true);
                self.complete_claim(&answer).await;
                answer.complete(usage, BootClock.now());
            }
            Err(error) => self.fail(&id, &answer, &error, &usage).await,
        }
        self.start_waiting();
    }

    /// Copies the answer of the upstream to `answer` while it arrives. A streamed answer with
    /// status 200 must have an end marker; an error answer is no event stream and has none.
    async fn copy_answer(
        &self,
        request: RunRequest,
        body: Bytes,
        answer: &RunningAnswer,
        meter: &mut UsageMeter,
    ) -> Result<(), CallError> {
        let call = UpstreamCall {
            method: request.method,
            target: request.target,
            headers: request.headers,
            class: request.class,
            resume_tokens: request.resume_tokens,
            first_byte_timeout: Duration::from_millis(request.deadline_ms),
        };
        let sent_at = BootClock.now();
        let mut upstream_answer = self.upstream.call(&call, body).await?;
        self.record_pause(upstream_answer.pause(), upstream_answer.status(), sent_at);
        let head = AnswerHead {
            status: upstream_answer.status(),
            headers: upstream_answer.headers(),
        };
        let succeeded = head.status == http::StatusCode::OK.as_u16();
        answer.set_head(head);
        while let Some(bytes) = upstream_answer.next().await? {
            meter.push(&bytes);
            if !answer.append(bytes).await {
                return Err(CallError::TooLong);
            }
        }
        meter.finish();
        if succeeded && !meter.is_complete() {
            return Err(CallError::Disconnected);
        }
        Ok(())
    }

    /// Records what an answer to a call that was sent at `sent_at` says about a pause.
    fn record_pause(&self, pause: Option<Duration>, status: u16, sent_at: TimePoint) {
        let now = BootClock.now();
        let mut table = self.table();
        let Some(pause) = pause else {
            table.record_answer(sent_at, now);
            return;
        };
        let begins = table.begin_pause(pause, now);
        drop(table);
        if begins {
            tracing::info!(
                event = LogEvent::PauseStated.number(),
                upstream = %self.upstream_id,
                status,
                pause_ms = pause.as_millis() as u64,
                "the upstream asks for a pause; it gets no requests until then"
            );
        }
    }

    /// Stores the answer of a claimed call with the control group before its end is sent to the
    /// entry, so that a repeated call through another entry finds it. A body above
    /// [`MAX_STORED_ANSWER_BYTES`] is not stored; the claim is then completed without an answer.
    async fn complete_claim(&self, answer: &RunningAnswer) {
        let Some(claim_id) = answer.claim_id() else {
            return;
        };
        let body = answer
            .full_body()
            .filter(|body| body.len() <= MAX_STORED_ANSWER_BYTES);
        let stored = answer.head().zip(body).map(|(head, body)| StoredAnswer {
            body: STANDARD.encode(body),
            headers: head.headers,
            status: head.status,
        });
        let command = Command::CompleteClaim {
            answer: stored,
            claim_id,
            incarnation: self.incarnation,
            upstream: self.upstream_id.clone(),
        };
        self.reporter.report_now(command, COMMIT_TIMEOUT).await;
    }

    async fn fail(
        &self,
        id: &AttemptId,
        answer: &RunningAnswer,
        error: &CallError,
        usage: &TokenUsage,
    ) {
        let verdict = error.verdict();
        let disconnected = verdict == RunVerdict::MayHaveRun && error.is_disconnect();
        let code =
            if disconnected && self.disconnect_cause(id).await == DisconnectCause::UpstreamCrash {
                "upstream_crashed"
            } else {
                "upstream_failed"
            };
        self.table().finish(id, usage, false);
        if verdict == RunVerdict::NotRun
            && let Some(claim_id) = answer.claim_id()
        {
            // The call never reached the service, so the claim can be opened for another agent.
            self.table().release_claim(claim_id);
        }
        let event = failed(verdict, code, &error.to_string(), usage.output_tokens);
        answer.fail(event, BootClock.now());
    }

    /// Waits until it is clear whether the upstream crashed. A crash is reported before any of the
    /// affected calls fails, so that none is retried before the control group knows that it may
    /// have caused the crash.
    async fn disconnect_cause(&self, id: &AttemptId) -> DisconnectCause {
        let group_id = self
            .table()
            .crash_detector
            .record_disconnect(id, BootClock.now());
        let cell = {
            let mut causes = self
                .causes
                .lock()
                .expect("the cause lock is never poisoned: no holder panics");
            if !causes.contains_key(&group_id) {
                causes.clear();
            }
            Arc::clone(causes.entry(group_id).or_default())
        };
        *cell.get_or_init(|| self.determine_cause(group_id)).await
    }

    async fn determine_cause(&self, group_id: DisconnectGroupId) -> DisconnectCause {
        tokio::time::sleep(CRASH_DETECTION_WINDOW).await;
        let Some(record) = self.table().crash_detector.detect_crash(group_id) else {
            return DisconnectCause::ConnectionLoss;
        };
        self.table().end_pause();
        self.metrics.count_crash();
        let event = LogEvent::UpstreamCrashed.number();
        tracing::error!(
            event,
            running = record.calls.len(),
            "the upstream crashed; its running requests fail"
        );
        let running = record.calls.into_iter().map(|(id, call)| RunningRequest {
            fingerprint: call.fingerprint,
            organisation: call.organisation,
            request_id: id.request_id,
        });
        let command = Command::ReportCrash {
            crash_id: group_id.0,
            incarnation: self.incarnation,
            running: running.collect(),
            upstream: self.upstream_id.clone(),
        };
        self.reporter.report_now(command, COMMIT_TIMEOUT).await;
        DisconnectCause::UpstreamCrash
    }

    /// Reports usage that no entry has acknowledged in time and removes abandoned answers; to be
    /// called periodically.
    pub async fn sweep(self: &Arc<Self>) {
        let now = BootClock.now();
        let mut records = Vec::new();
        {
            let mut table = self.table();
            for (id, answer) in table.answers() {
                records.extend(answer.take_overdue_usage(id, now));
            }
            table.remove_expired(now);
        }
        if !records.is_empty() {
            let source = self.upstream_id.to_string();
            self.reporter
                .report(Command::ReportUsage { records, source })
                .await;
        }
        self.start_waiting();
    }
}
