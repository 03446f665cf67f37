//! Commands of an agent that must reach the control group.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use oriolecrank_net::ControlClient;
use oriolecrank_schema::control::Command;
use oriolecrank_schema::event::LogEvent;
use tokio::sync::mpsc;

/// Commands that wait before the sender is held up.
const QUEUE_LENGTH: usize = 1_024;

/// Longest wait for one delivery attempt.
const DELIVERY_TIMEOUT: Duration = Duration::from_secs(2);

/// Delivery attempts for one command before it is given up. Together they last longer than the
/// election of a new leader by far.
const DELIVERY_ATTEMPTS: u32 = 60;

/// Wait between two delivery attempts.
const DELIVERY_DELAY: Duration = Duration::from_millis(250);

/// Hands commands to the delivery task.
#[derive(Debug, Clone)]
pub struct ControlReporter {
    sender: mpsc::Sender<Command>,
    client: ControlClient,
    /// Commands that are neither delivered nor given up: queued ones, and those whose sender holds a
    /// [`PendingReport`].
    pending: Arc<AtomicUsize>,
}

/// Keeps the reporter from being idle while its holder prepares or delivers a command.
#[derive(Debug)]
pub struct PendingReport(Arc<AtomicUsize>);

impl Drop for PendingReport {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::SeqCst);
    }
}

impl ControlReporter {
    /// A reporter and the future that delivers its commands until all reporters are dropped.
    pub fn new(client: ControlClient) -> (Self, impl Future<Output = ()>) {
        let (sender, receiver) = mpsc::channel(QUEUE_LENGTH);
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

    /// Queues a command; it is repeated until the control group has answered.
    pub async fn report(&self, command: Command) {
        self.pending.fetch_add(1, Ordering::SeqCst);
        // An error means that the process stops and the delivery has ended.
        let _ = self.sender.send(command).await;
    }

    /// Counts a command that its holder is about to deliver as pending. It is taken before the work
    /// that the command reports ends, so that a shutdown never sees neither of them.
    pub fn begin_report(&self) -> PendingReport {
        self.pending.fetch_add(1, Ordering::SeqCst);
        PendingReport(Arc::clone(&self.pending))
    }

    /// Whether every command is delivered or given up.
    pub fn is_idle(&self) -> bool {
        self.pending.load(Ordering::SeqCst) == 0
    }

    /// Queues a command without waiting.
    pub fn report_later(&self, command: Command) {
        let reporter = self.clone();
        tokio::spawn(async move { reporter.report(command).await });
    }

    /// Delivers a command at once; queues it when the control group does not answer within `bound`.
    pub async fn report_now(&self, command: Command, bound: Duration) {
        if self.client.command(&command, bound).await.is_err() {
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
                    tracing::warn!(event, attempt, %error, "report could not be delivered");
                }
            }
            tokio::time::sleep(DELIVERY_DELAY).await;
        }
        pending.fetch_sub(1, Ordering::SeqCst);
    }
}
