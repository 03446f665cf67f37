//! Periodic announcement of the upstream to the control group.

use std::sync::Arc;
use std::time::Duration;

use oriolecrank_net::ControlClient;
use oriolecrank_net::shutdown::ShutdownSignal;
use oriolecrank_schema::control::{Command, CommandOutcome, UpstreamPhase, UpstreamRecord};
use oriolecrank_schema::event::LogEvent;
use tokio::time::sleep;

use crate::agent_core::AgentCore;
use crate::order_runner::OrderRunner;
use crate::upstream_client::UpstreamClient;

/// Interval of announcements, each of which renews the lease of 3 s.
const RENEWAL_INTERVAL: Duration = Duration::from_secs(1);

/// Time limit for the answer to an announcement.
const ANNOUNCE_TIMEOUT: Duration = Duration::from_secs(2);

/// Keeps the lease of an upstream alive by announcing it.
#[derive(Debug)]
pub struct UpstreamAnnouncer<U> {
    client: ControlClient,
    record: UpstreamRecord,
    core: Arc<AgentCore<U>>,
    runner: Arc<OrderRunner<U>>,
    /// Number of the last announcement. It increases with each one, so that the control group can
    /// recognise announcements that were delayed and overtaken.
    sequence: u64,
    /// Whether a success was logged since the last failure, so that not every renewal is logged.
    announced: bool,
}

impl<U: UpstreamClient> UpstreamAnnouncer<U> {
    /// Creates an announcer of the upstream that `record` describes.
    pub const fn new(
        client: ControlClient,
        record: UpstreamRecord,
        core: Arc<AgentCore<U>>,
        runner: Arc<OrderRunner<U>>,
    ) -> Self {
        Self {
            client,
            record,
            core,
            runner,
            sequence: 0,
            announced: false,
        }
    }

    /// Announces periodically and after each change of the phase, role or model, until a newer
    /// agent supersedes this one; returns at shutdown.
    pub async fn run(&mut self, mut shutdown: ShutdownSignal) {
        while !shutdown.is_triggered() && !self.runner.is_superseded() {
            let phase = self.core.table().phase();
            self.announce(phase).await;
            tokio::select! {
                () = sleep(RENEWAL_INTERVAL) => {}
                () = self.core.record_changed().notified() => {}
                () = shutdown.triggered() => {}
            }
        }
        shutdown.triggered().await;
    }

    /// Announces that the upstream is leaving, unless a newer agent has superseded this one.
    pub async fn announce_leaving(&mut self) {
        if !self.runner.is_superseded() {
            self.announce(UpstreamPhase::Leaving).await;
        }
    }

    async fn announce(&mut self, phase: UpstreamPhase) {
        self.sequence += 1;
        self.record.phase = phase;
        self.runner.engine_setup().apply_to(&mut self.record);
        let command = Command::Announce {
            load: Some(self.core.load()),
            number: self.sequence,
            record: self.record.clone(),
        };
        match self.client.command(&command, ANNOUNCE_TIMEOUT).await {
            Ok(CommandOutcome::Announced { fence, .. }) => {
                self.runner.raise_floor(&fence);
                if !self.announced {
                    self.announced = true;
                    let event = LogEvent::UpstreamAnnounced.number();
                    tracing::info!(event, upstream = %*self.record.upstream, "upstream announced");
                }
            }
            Ok(CommandOutcome::Superseded { incarnation }) => {
                let event = LogEvent::AgentSuperseded.number();
                tracing::error!(
                    event,
                    incarnation,
                    "a newer agent for this upstream exists; this one refuses orders and requests"
                );
                self.runner.supersede();
            }
            Ok(_) => {}
            Err(error) => {
                self.announced = false;
                tracing::warn!(
                    event = LogEvent::AnnounceFailed.number(),
                    %error,
                    "announcement to the control group failed; it will be repeated"
                );
            }
        }
    }
}
