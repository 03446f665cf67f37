//! Delivery of commands to the control group, with retries.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use oriolecrank_net::ControlClient;
use oriolecrank_schema::control::Command;
use oriolecrank_schema::event::LogEvent;
use tokio::sync::mpsc;

/// Number of queued commands above which senders wait.
const COMMAND_QUEUE_LENGTH: usize = 1_024;

/// Time limit of one delivery attempt.
const DELIVERY_TIMEOUT: Duration = Duration::from_secs(2);

/// Delivery attempts for a command before it is abandoned. Together they take much longer than the
/// election of a new leader.
const DELIVERY_ATTEMPTS: u32 = 60;

/// Delay between two delivery attempts.
const DELIVERY_RETRY_DELAY: Duration = Duration::from_millis(250);

/// Sends commands to the control group, directly or through the delivery task.
#[derive(Debug, Clone)]
pub struct ControlReporter {
    sender: mpsc::Sender<Command>,
    client: ControlClient,
    /// Number of commands neither delivered nor abandoned: queued ones, and those whose sender
    /// holds a [`PendingReport`].
    pending: Arc<AtomicUsize>,
}

/// Guard that counts a command as pending while it is prepared or delivered.
#[derive(Debug)]
pub struct PendingReport(Arc<AtomicUsize>);

impl Drop for PendingReport {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::SeqCst);
    }
}

impl ControlReporter {
    /// Creates a reporter and the future that delivers its queued commands until all clones of the
    /// reporter are dropped.
    pub fn new(client: ControlClient) -> (Self, impl Future<Output = ()>) {
        let (sender, receiver) = mpsc::channel(COMMAND_QUEUE_LENGTH);
        let pending = Arc::<AtomicUsize>::default();
        let delivery = deliver(client.clone(), receiver, Arc::clone(&pending));
        (
            Self {
                sender,
                client,
                pending,
            },
            delivery,
        )
    }

    /// Queues a command; its delivery is repeated until the control group answers, for a bounded
    /// number of attempts. Waits while the queue is full.
    pub async fn report(&self, command: Command) {
        self.pending.fetch_add(1, Ordering::SeqCst);
        // An error means that the delivery task has ended because the process is stopping.
        let _ = self.sender.send(command).await;
    }

    /// Counts a command that is about to be delivered as pending. Must be called before the
    /// reported request ends; otherwise a shutdown could find neither a running request nor a
    /// pending command and lose the report.
    pub fn register_pending(&self) -> PendingReport {
        self.pending.fetch_add(1, Ordering::SeqCst);
        PendingReport(Arc::clone(&self.pending))
    }

    /// Whether every command has been delivered or abandoned.
    pub fn is_idle(&self) -> bool {
        self.pending.load(Ordering::SeqCst) == 0
    }

    /// Queues a command without making the caller wait for room in the queue.
    pub fn report_in_background(&self, command: Command) {
        let reporter = self.clone();
        tokio::spawn(async move { reporter.report(command).await });
    }

    /// Delivers a command directly; queues it if the control group does not accept it within
    /// `time_limit`.
    pub async fn report_now(&self, command: Command, time_limit: Duration) {
        if self.client.command(&command, time_limit).await.is_err() {
            self.report(command).await;
        }
    }
}

async fn deliver(
    client: ControlClient,
    mut receiver: mpsc::Receiver<Command>,
    pending: Arc<AtomicUsize>,
) {
    while let Some(command) = receiver.recv().await {
        for attempt in 1..=DELIVERY_ATTEMPTS {
            match client.command(&command, DELIVERY_TIMEOUT).await {
                Ok(_) => break,
                Err(error) => {
                    let event = LogEvent::ReportFailed.number();
                    tracing::warn!(
                        event,
                        attempt,
                        %error,
                        "delivery of a report failed; it is dropped after the last attempt"
                    );
                }
            }
            tokio::time::sleep(DELIVERY_RETRY_DELAY).await;
        }
        pending.fetch_sub(1, Ordering::SeqCst);
    }
}
