//! Usage records until the control group has acknowledged them.

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

/// Interval of batches. At most this much usage is lost if an entry and an agent are lost together.
const REPORT_INTERVAL: Duration = Duration::from_secs(1);

/// Longest wait for one batch to be acknowledged.
const REPORT_TIMEOUT: Duration = Duration::from_secs(5);

/// Records of one batch.
const BATCH_RECORDS: usize = 2_000;

/// Records kept while control cannot be reached: at 200 requests/s more than ten minutes, in about
/// 40 MB.
pub const MAX_PENDING_RECORDS: usize = 150_000;

/// A record and the time at which its attempt ended.
#[derive(Debug, Clone)]
struct PendingRecord {
    record: UsageRecord,
    ended_at: TimePoint,
}

/// Records in the order in which their attempts ended.
#[derive(Debug, Default)]
struct PendingQueue {
    records: VecDeque<PendingRecord>,
    /// The bound was hit and has been logged since the queue was last shorter.
    overflowing: bool,
}

/// Collects usage and sends it to the control group.
#[derive(Debug)]
pub struct UsageReporter {
    /// Lock order: locked alone and never across an await.
    pending: Mutex<PendingQueue>,
    metrics: Arc<EntryMetrics>,
    source: String,
}

impl UsageReporter {
    /// A reporter for the entry named `source`.
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
                tracing::error!(event, "too many usage records wait; new ones are dropped");
            }
            return;
        }
        pending.overflowing = false;
        let ended_at = BootClock.now();
        pending
            .records
            .push_back(PendingRecord { record, ended_at });
    }

    /// Number of records that are not acknowledged.
    pub fn pending_records(&self) -> usize {
        self.pending().records.len()
    }

    /// Sends batches for ever.
    pub async fn run(&self, control: &ControlClient) {
        let mut ticks = interval(REPORT_INTERVAL);
        loop {
            ticks.tick().await;
            self.send_all(control, REPORT_TIMEOUT).await;
            self.metrics.set_pending_usage(self.pending_records());
        }
    }

    /// Sends what is left, within `bound`. Returns whether everything was acknowledged.
    pub async fn flush(&self, control: &ControlClient, bound: Duration) -> bool {
        let deadline = Instant::now() + bound;
        while self.pending_records() > 0 && Instant::now() < deadline {
            let left = deadline - Instant::now();
            self.send_all(control, left).await;
        }
        self.pending_records() == 0
    }

    /// Sends batches until one is not acknowledged.
    async fn send_all(&self, control: &ControlClient, bound: Duration) {
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
            let outcome = control.command(&command, bound).await;
            match outcome {
                Ok(CommandOutcome::Accepted | CommandOutcome::Unchanged) => {
                    self.pending().records.drain(..count);
                }
                Ok(outcome) => {
                    let event = LogEvent::UsageReportFailed.number();
                    tracing::warn!(event, ?outcome, count, "usage batch refused");
                    return;
                }
                Err(error) => {
                    let event = LogEvent::UsageReportFailed.number();
                    tracing::warn!(event, %error, count, "usage batch not acknowledged");
                    return;
                }
            }
        }
    }

    /// The oldest records; they stay in the queue.
    fn batch(&self) -> Vec<UsageRecord> {
        let now = BootClock.now();
        let pending = self.pending();
        let oldest = pending.records.iter().take(BATCH_RECORDS);
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

/// Usage of one attempt; recorded when it is dropped, so that each attempt that may have run has
/// one record, also when its caller left.
///
/// A record without tokens is not useless: the first record of an attempt counts, so it keeps the
/// agent from billing an answer that never arrived.
#[derive(Debug)]
pub struct AttemptUsage {
    reporter: Arc<UsageReporter>,
    /// `None` if nothing is to be recorded.
    identity: Option<AttemptIdentity>,
    /// Tokens that count if the attempt does not complete.
    delivered: TokenUsage,
    prompt_tokens: u64,
    /// Counts for the limits, also on open routes; `None` if the attempt has not run.
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
    /// Usage of an attempt. The prompt of an answer that is continued was counted before.
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
            delivered: TokenUsage {
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

    /// Counts tokens that go to the caller.
    pub fn deliver(&mut self, output_tokens: u64) {
        self.delivered.output_tokens += output_tokens;
        self.delivered.prompt_tokens = self.prompt_tokens;
    }

    /// Records the exact usage of a complete answer.
    pub fn complete(&mut self, usage: TokenUsage, continued: bool) {
        // An engine that continues reports the tokens of the whole answer.
        if !continued {
            self.delivered = usage;
        }
    }

    /// Nothing is recorded: the attempt has not run, or another request records it.
    pub fn disarm(&mut self) {
        self.identity = None;
        self.served = None;
    }
}

impl Drop for AttemptUsage {
    fn drop(&mut self) {
        if let Some(served) = &self.served {
            served.add(self.delivered.prompt_tokens, self.delivered.output_tokens);
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
            usage: self.delivered.clone(),
        });
    }
}
