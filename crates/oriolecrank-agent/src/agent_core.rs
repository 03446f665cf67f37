//! Runs requests on the upstream.

use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

use base64::Engine as _;
use base64::engine::general_purpose::STANDARD;
use bytes::Bytes;
use oriolecrank_net::BootClock;
use oriolecrank_policy::request_queue::QueueSettings;
use oriolecrank_policy::{AttemptId, BlockCount};
use oriolecrank_schema::control::{Command, RunningRequest, StoredAnswer};
use oriolecrank_schema::data_path::{RunRequest, RunVerdict, TokenUsage, UpstreamLoad};
use oriolecrank_schema::document::UpstreamId;
use oriolecrank_schema::event::LogEvent;
use tokio::sync::{Notify, OnceCell};

use crate::agent_metrics::AgentMetrics;
use crate::control_reporter::ControlReporter;
use crate::crash_detector::{BreakNumber, CRASH_SETTLE};
use crate::failure_events::failed;
use crate::running_answer::{AnswerHead, RunningAnswer};
use crate::upstream_client::{CallError, UpstreamAnswer, UpstreamCall, UpstreamClient};
use crate::usage_meter::UsageMeter;
use crate::work_table::{AdmittedCall, StartedCall, WorkTable};

/// Largest answer of a claimed call that is stored by the control group, in bytes.
const MAX_STORED_BYTES: usize = 64 * 1024;

/// Longest wait until a completed claim or a crash is committed before the answer goes on.
const COMMIT_WAIT: Duration = Duration::from_secs(1);

/// Why the connection of a call broke.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum BreakCause {
    Crash,
    Connection,
}

type BreakCell = Arc<OnceCell<BreakCause>>;

/// Work and upstream of an agent.
#[derive(Debug)]
pub struct AgentCore<U> {
    upstream: U,
    upstream_id: UpstreamId,
    incarnation: u64,
    reporter: ControlReporter,
    metrics: AgentMetrics,
    /// Lock order: the table before `breaks` and before any answer; never across an await.
    table: Mutex<WorkTable>,
    /// Decisions on broken connections. The newest number is kept.
    breaks: Mutex<HashMap<BreakNumber, BreakCell>>,
    /// Wakes the announcer after a change of phase.
    phase_changed: Notify,
}

impl<U: UpstreamClient> AgentCore<U> {
    /// A core without work.
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
            table: Mutex::new(WorkTable::new(QueueSettings::default(), capacity)),
            breaks: Mutex::default(),
            phase_changed: Notify::new(),
        }
    }

    /// Queued and running requests; the lock must not be held across an await.
    pub fn table(&self) -> MutexGuard<'_, WorkTable> {
        self.table
            .lock()
            .expect("no holder of the table lock panics")
    }

    /// Upstream of the agent.
    pub const fn upstream(&self) -> &U {
        &self.upstream
    }

    /// Start number of the agent.
    pub const fn incarnation(&self) -> u64 {
        self.incarnation
    }

    /// Name of the upstream.
    pub const fn upstream_id(&self) -> &UpstreamId {
        &self.upstream_id
    }

    /// Metrics of the agent.
    pub const fn metrics(&self) -> &AgentMetrics {
        &self.metrics
    }

    /// Whether nothing runs or waits and every report is delivered or given up.
    pub fn is_idle(&self) -> bool {
        self.table().is_idle() && self.reporter.is_idle()
    }

    /// Present load.
    pub fn load(&self) -> UpstreamLoad {
        self.table().load()
    }

    /// Woken after a change of phase.
    pub const fn phase_changed(&self) -> &Notify {
        &self.phase_changed
    }

    /// Takes a request and starts what may run.
    pub fn admit(self: &Arc<Self>, request: RunRequest, body: Bytes) -> AdmittedCall {
        let admitted = self.table().admit(request, body, BootClock.now());
        if let AdmittedCall::Refused { code, .. } = &admitted {
            self.metrics.count_refusal(code);
        }
        self.start_waiting();
        admitted
    }

    /// Starts waiting requests that fit and releases refused claims.
    pub fn start_waiting(self: &Arc<Self>) {
        let released = {
            let mut table = self.table();
            while let Some(call) = table.start_next(BootClock.now()) {
                let answer = Arc::clone(&call.answer);
                let worker = tokio::spawn(Arc::clone(self).run(call));
                answer.set_worker(worker.abort_handle());
            }
            self.metrics.set_load(&table.load());
            table.take_released()
        };
        for claim in released {
            self.reporter.report_later(Command::ReleaseClaim {
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
                let _pending = self.reporter.begin_report();
                self.table().finish(&id, &usage, true);
                self.complete_claim(&answer).await;
                answer.complete(usage, BootClock.now());
            }
            Err(error) => self.fail(&id, &answer, &error, &usage).await,
        }
        self.start_waiting();
    }

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
            bound: Duration::from_millis(request.deadline_ms),
        };
        let mut source = self.upstream.call(&call, body).await?;
        let head = AnswerHead {
            status: source.status(),
            headers: source.headers(),
        };
        let succeeded = head.status == http::StatusCode::OK.as_u16();
        answer.set_head(head);
        while let Some(bytes) = source.next().await? {
            meter.push(&bytes);
            answer.append(bytes).await;
        }
        meter.finish();
        if succeeded && !meter.may_end() {
            return Err(CallError::Broken);
        }
        Ok(())
    }

    /// Stores the answer of a claimed call before anyone is told that it is complete, so that a
    /// repeated call at another entry finds it.
    async fn complete_claim(&self, answer: &RunningAnswer) {
        let Some(claim_id) = answer.claim_id() else {
            return;
        };
        let body = answer
            .whole_body()
            .filter(|body| body.len() <= MAX_STORED_BYTES);
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
        self.reporter.report_now(command, COMMIT_WAIT).await;
    }

    async fn fail(
        &self,
        id: &AttemptId,
        answer: &RunningAnswer,
        error: &CallError,
        usage: &TokenUsage,
    ) {
        let verdict = error.verdict();
        let broken = verdict == RunVerdict::MayHaveRun && error.is_break();
        let code = if broken && self.break_cause(id).await == BreakCause::Crash {
            "upstream_crashed"
        } else {
            "upstream_failed"
        };
        self.table().finish(id, usage, false);
        if verdict == RunVerdict::NotRun
            && let Some(claim_id) = answer.claim_id()
        {
            // The service never saw the call; the claim can be opened again for another agent.
            self.table().release(claim_id);
        }
        let event = failed(verdict, code, &error.to_string(), usage.output_tokens);
        answer.fail(event, BootClock.now());
    }

    /// Waits until it is clear whether the upstream crashed, and reports a crash before any of its
    /// calls is told, so that none of them is run again without being known as a suspect.
    async fn break_cause(&self, id: &AttemptId) -> BreakCause {
        let number = self.table().crashes.record_break(id, BootClock.now());
        let cell = {
            let mut breaks = self
                .breaks
                .lock()
                .expect("no holder of the break lock panics");
            if !breaks.contains_key(&number) {
                breaks.clear();
            }
            Arc::clone(breaks.entry(number).or_default())
        };
        *cell.get_or_init(|| self.decide_break(number)).await
    }

    async fn decide_break(&self, number: BreakNumber) -> BreakCause {
        tokio::time::sleep(CRASH_SETTLE).await;
        let Some(record) = self.table().crashes.decide(number) else {
            return BreakCause::Connection;
        };
        self.metrics.count_crash();
        let event = LogEvent::UpstreamCrashed.number();
        tracing::error!(event, running = record.calls.len(), "the upstream crashed");
        let running = record.calls.into_iter().map(|(id, call)| RunningRequest {
            fingerprint: call.fingerprint,
            organisation: call.organisation,
            request_id: id.request_id,
        });
        let command = Command::ReportCrash {
            crash_id: number.0,
            incarnation: self.incarnation,
            running: running.collect(),
            upstream: self.upstream_id.clone(),
        };
        self.reporter.report_now(command, COMMIT_WAIT).await;
        BreakCause::Crash
    }

    /// Removes abandoned answers and reports usage that no entry has acknowledged.
    pub async fn sweep(self: &Arc<Self>) {
        let now = BootClock.now();
        let mut records = Vec::new();
        {
            let mut table = self.table();
            for (id, answer) in table.answers() {
                records.extend(answer.take_overdue_usage(id, now));
            }
            table.sweep(now);
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
