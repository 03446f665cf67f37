//! Keeps usage records until the control group has acknowledged them.

use std::collections::VecDeque;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

use oriolecrank_net::{BootClock, ControlClient};
use oriolecrank_schema::TimePoint;
use oriolecrank_schema::control::{Command, CommandOutcome, UsageRecord};
use oriolecrank_schema::data_path::TokenUsage;
use oriolecrank_schema::document::{OrganisationId, RequestId, ServiceId};
use oriolecrank_schema::event::LogEvent;
use tokio::time::{Instant, interval};

use crate::admission::ServedTokens;
use crate::call_plan::CallPlan;
use crate::entry_metrics::EntryMetrics;

/// Interval at which pending records are sent. If an entry and an agent fail together, at most the
/// usage of this time is lost.
const REPORT_INTERVAL: Duration = Duration::from_secs(1);

/// Time limit for the acknowledgement of one batch.
const REPORT_TIMEOUT: Duration = Duration::from_secs(5);

/// Largest number of records in one batch.
const MAX_BATCH_RECORDS: usize = 2_000;

/// Largest number of records that are kept while control is unreachable; further ones are dropped.
/// Covers more than ten minutes at 200 requests/s and takes about 40 MB.
pub const MAX_PENDING_RECORDS: usize = 150_000;

/// A record and the time at which its attempt ended.
#[derive(Debug, Clone)]
struct PendingRecord {
    record: UsageRecord,
    ended_at: TimePoint,
}

/// Records that control has not acknowledged, oldest first.
#[derive(Debug, Default)]
struct PendingQueue {
    records: VecDeque<PendingRecord>,
    /// The queue is full and this has been logged; reset when a record fits again.
    overflowing: bool,
}

/// Collects usage records and sends them to the control group.
#[derive(Debug)]
pub struct UsageReporter {
    /// Lock order: locked alone and never across an await.
    pending: Mutex<PendingQueue>,
    metrics: Arc<EntryMetrics>,
    source: String,
}

impl UsageReporter {
    /// Creates a reporter for the entry named `source`.
    pub fn new(source: String, metrics: Arc<EntryMetrics>) -> Self {
        Self {
            pending: Mutex::default(),
            metrics,
            source,
        }
    }

    fn push(&self, record: UsageRecord) {
        let mut pending = self.pending();
        if pending.records.len() >= MAX_PENDING_RECORDS {
            self.metrics.count_lost_usage();
            if !pending.overflowing {
                pending.overflowing = true;
                let event = LogEvent::UsageDropped.number();
                tracing::error!(
                    event,
                    "{MAX_PENDING_RECORDS} usage records are pending; new ones are dropped"
                );
            }
            return;
        }
        pending.overflowing = false;
        let ended_at = BootClock.now();
        pending
            .records
            .push_back(PendingRecord { record, ended_at });
    }

    /// Number of records that control has not acknowledged.
    pub fn pending_records(&self) -> usize {
        self.pending().records.len()
    }

    /// Sends pending records every second. Never returns.
    pub async fn run(&self, control: &ControlClient) {
        let mut ticks = interval(REPORT_INTERVAL);
        loop {
            ticks.tick().await;
            self.send_all(control, REPORT_TIMEOUT).await;
            self.metrics.set_pending_usage(self.pending_records());
        }
    }

    /// Sends all pending records, at shutdown. Returns whether control acknowledged all of them
    /// within `time_limit`.
    pub async fn flush(&self, control: &ControlClient, time_limit: Duration) -> bool {
        let deadline = Instant::now() + time_limit;
        while self.pending_records() > 0 && Instant::now() < deadline {
            let remaining = deadline - Instant::now();
            self.send_all(control, remaining).await;
        }
        self.pending_records() == 0
    }

    /// Sends batches until no record is pending or one batch is not acknowledged. `time_limit`
    /// applies to each batch.
    async fn send_all(&self, control: &ControlClient, time_limit: Duration) {
        loop {
            let batch = self.batch();
            let count = batch.len();
            if count == 0 {
                return;
            }
            let command = Command::ReportUsage {
                records: batch,
                source: self.source.clone(),
            };
            let outcome = control.command(&command, time_limit).await;
            match outcome {
                Ok(CommandOutcome::Accepted | CommandOutcome::Unchanged) => {
                    self.pending().records.drain(..count);
                }
                Ok(outcome) => {
                    let event = LogEvent::UsageReportFailed.number();
                    tracing::warn!(
                        event,
                        ?outcome,
                        count,
                        "usage batch refused; it is sent again"
                    );
                    return;
                }
                Err(error) => {
                    let event = LogEvent::UsageReportFailed.number();
                    tracing::warn!(
                        event,
                        %error,
                        count,
                        "usage batch not acknowledged; it is sent again"
                    );
                    return;
                }
            }
        }
    }

    /// Copies the oldest records, with their current ages; they stay in the queue.
    fn batch(&self) -> Vec<UsageRecord> {
        let now = BootClock.now();
        let pending = self.pending();
        let oldest = pending.records.iter().take(MAX_BATCH_RECORDS);
        oldest
            .map(|pending| UsageRecord {
                age_ms: now.since(pending.ended_at).as_millis() as u64,
                ..pending.record.clone()
            })
            .collect()
    }

    fn pending(&self) -> MutexGuard<'_, PendingQueue> {
        self.pending
            .lock()
            .expect("no holder of the usage lock panics")
    }
}

/// Usage of one attempt. It is recorded on drop, so that each attempt that may have run has one
/// record, even if its caller has disconnected.
///
/// A record without tokens is needed too: only the first record of an attempt counts, so it
/// prevents the agent from billing an answer that never arrived.
#[derive(Debug)]
pub struct AttemptUsage {
    reporter: Arc<UsageReporter>,
    /// `None` if nothing is to be recorded.
    identity: Option<AttemptIdentity>,
    /// Tokens that are recorded: those sent to the caller so far, or the exact usage after a
    /// complete answer.
    tokens: TokenUsage,
    /// Prompt tokens that are counted once the caller was sent output; 0 for a continued answer.
    prompt_tokens: u64,
    /// Counter by which limits are charged, also on open routes; `None` after [`Self::discard`].
    served: Option<Arc<ServedTokens>>,
}

#[derive(Debug)]
struct AttemptIdentity {
    request_id: RequestId,
    attempt: u32,
    organisation: OrganisationId,
    service: ServiceId,
}

impl AttemptUsage {
    /// Creates the usage of an attempt. The prompt does not count if the attempt continues an
    /// answer, because an earlier attempt has counted it.
    pub fn new(
        reporter: Arc<UsageReporter>,
        plan: &CallPlan,
        attempt: u32,
        continued: bool,
    ) -> Self {
        let organisation = plan.organisation.clone();
        let identity = organisation.map(|organisation| AttemptIdentity {
            request_id: plan.template.request_id.clone(),
            attempt,
            organisation,
            service: plan.service().clone(),
        });
        Self {
            reporter,
            identity,
            tokens: TokenUsage {
                output_tokens: 0,
                prompt_tokens: 0,
            },
            prompt_tokens: if continued {
                0
            } else {
                plan.template.prompt_tokens
            },
            served: Some(Arc::clone(&plan.served)),
        }
    }

    /// Counts output tokens that are sent to the caller.
    pub fn count_delivered(&mut self, output_tokens: u64) {
        self.tokens.output_tokens += output_tokens;
        self.tokens.prompt_tokens = self.prompt_tokens;
    }

    /// Replaces the counted tokens with the exact usage of a complete answer, unless the answer was
    /// continued.
    pub fn complete(&mut self, usage: TokenUsage, continued: bool) {
        // For a continued answer the engine reports the tokens of the whole answer, of which
        // earlier attempts have recorded a part.
        if !continued {
            self.tokens = usage;
        }
    }

    /// Discards the usage, because the attempt has not run or another request records it.
    pub fn discard(&mut self) {
        self.identity = None;
        self.served = None;
    }
}

impl Drop for AttemptUsage {
    fn drop(&mut self) {
        if let Some(served) = &self.served {
            served.add(self.tokens.prompt_tokens, self.tokens.output_tokens);
        }
        let Some(identity) = self.identity.take() else {
            return;
        };
        self.reporter.push(UsageRecord {
            age_ms: 0,
            attempt: identity.attempt,
            organisation: identity.organisation,
            request_id: identity.request_id,
            service: identity.service,
            usage: self.tokens.clone(),
        });
    }
}
