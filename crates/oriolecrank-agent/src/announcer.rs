//! Announces the upstream to the control group.

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

/// Interval of renewals; the lease is 3 s.
const RENEWAL_INTERVAL: Duration = Duration::from_secs(1);

/// Longest wait for the answer to one announcement.
const ANNOUNCE_TIMEOUT: Duration = Duration::from_secs(2);

/// Announces an upstream.
#[derive(Debug)]
pub struct UpstreamAnnouncer<U> {
    client: ControlClient,
    record: UpstreamRecord,
    core: Arc<AgentCore<U>>,
    runner: Arc<OrderRunner<U>>,
    /// Number of the last announcement; a later one has a larger number.
    number: u64,
    announced: bool,
}

impl<U: UpstreamClient> UpstreamAnnouncer<U> {
    /// An announcer of the upstream in `record`.
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
            number: 0,
            announced: false,
        }
    }

    /// Announces until shutdown.
    pub async fn run(&mut self, mut shutdown: ShutdownSignal) {
        while !shutdown.is_triggered() && !self.runner.is_superseded() {
            let phase = self.core.table().phase();
            self.announce(phase).await;
            tokio::select! {
                () = sleep(RENEWAL_INTERVAL) => {}
                () = self.core.phase_changed().notified() => {}
                () = shutdown.triggered() => {}
            }
        }
        shutdown.triggered().await;
    }

    /// Announces that the upstream leaves.
    pub async fn leave(&mut self) {
        if !self.runner.is_superseded() {
            self.announce(UpstreamPhase::Leaving).await;
        }
    }

    async fn announce(&mut self, phase: UpstreamPhase) {
        self.number += 1;
        self.record.phase = phase;
        self.runner.engine_setup().apply_to(&mut self.record);
        let command = Command::Announce {
            load: Some(self.core.load()),
            number: self.number,
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
                tracing::error!(event, incarnation, "a newer agent for this upstream exists");
                self.runner.supersede();
            }
            Ok(_) => {}
            Err(error) => {
                self.announced = false;
                tracing::warn!(event = LogEvent::AnnounceFailed.number(), %error, "announcement failed");
            }
        }
    }
}
