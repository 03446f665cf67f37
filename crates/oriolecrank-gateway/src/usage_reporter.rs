//! Leader task that reports usage windows to the platform's usage interface.
//!
//! The counts of a window are committed to the log before they are sent, so that the next leader
//! sends the same ones. The Raft term is the fencing number, because each term has at most one
//! leader.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use oriolecrank_net::{BootClock, HttpClient};
use oriolecrank_routing::{
    OrganisationCounts, ScheduleSettings, SiteCommand, UsageSchedule, WindowNumber,
};
use oriolecrank_schema::TimePoint;
use oriolecrank_schema::event::LogEvent;
use tokio::time::{MissedTickBehavior, interval};

use crate::control_metrics::ControlMetrics;
use crate::dialect::{UsageDialect, UsageReply};
use crate::site_clock::SiteClock;
use crate::site_publisher::SitePublisher;
use crate::site_tables::SiteTables;

/// Interval between checks for windows to close or report.
const CHECK_INTERVAL: Duration = Duration::from_millis(500);

/// Timeout of a request to the usage interface.
const REPORT_TIMEOUT: Duration = Duration::from_millis(1_500);

/// Largest answer of the usage interface, in bytes.
const MAX_ANSWER_BYTES: usize = 64 * 1024;

/// Settings of usage reports.
#[derive(Debug, Clone)]
pub struct UsageReportSettings {
    /// Address of the usage interface.
    pub address: SocketAddr,
    /// When windows are closed and reported.
    pub schedule: ScheduleSettings,
}

/// Task that reports usage while this instance leads.
#[derive(Debug)]
pub(crate) struct UsageReporter<D> {
    pub(crate) settings: UsageReportSettings,
    pub(crate) dialect: Arc<D>,
    pub(crate) client: HttpClient,
    pub(crate) publisher: SitePublisher,
    pub(crate) tables: Arc<SiteTables>,
    pub(crate) clock: Arc<SiteClock>,
    pub(crate) metrics: ControlMetrics,
}

impl<D: UsageDialect> UsageReporter<D> {
    /// Runs until the process ends.
    pub(crate) async fn run(self) {
        let mut ticks = interval(CHECK_INTERVAL);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        let mut schedule = UsageSchedule::new(self.settings.schedule.clone());
        loop {
            ticks.tick().await;
            let now = BootClock.now();
            let authority = self.publisher.replica.authority();
            let own_term = authority.map(|authority| authority.term.0);
            let Some(term) = schedule.acting_term(own_term, now) else {
                continue;
            };
            self.close_windows(&schedule, now).await;
            if !self.report_windows(term).await {
                schedule.mark_fenced();
            }
        }
    }

    /// Commits the counts of windows that have ended, and drops counts that are no longer needed.
    async fn close_windows(&self, schedule: &UsageSchedule, now: TimePoint) {
        let unix_ms = self.clock.unix_ms(now);
        let closed_until = self.publisher.site.read().closed_until();
        for window in schedule.windows_to_close(unix_ms, closed_until) {
            let counts = self.tables.lock().usage.total(window);
            if counts.is_empty() {
                continue;
            }
            let command = SiteCommand::CloseWindow { window, counts };
            if self.publisher.propose(&command).await.is_none() {
                return;
            }
        }
        let oldest = schedule.oldest_needed(unix_ms);
        self.tables.lock().usage.prune(oldest);
    }

    /// Reports the closed windows; false if the usage interface has seen a higher fencing number.
    async fn report_windows(&self, term: u64) -> bool {
        let unreported: Vec<(WindowNumber, OrganisationCounts)> = {
            let state = self.publisher.site.read();
            let unreported = state.unreported_windows();
            unreported
                .map(|(window, closed)| (window, closed.counts.clone()))
                .collect()
        };
        for (window, counts) in unreported {
            // Checked before each message, because leadership may be lost during the earlier ones.
            let authority = self.publisher.replica.authority();
            if authority.is_none_or(|authority| authority.term.0 != term) {
                return true;
            }
            let reply = self.send_report(term, window, &counts).await;
            self.metrics.count_report(reply == UsageReply::Accepted);
            match reply {
                UsageReply::Accepted => {
                    let event = LogEvent::WindowReported.number();
                    tracing::info!(
                        event,
                        window = window.0,
                        term,
                        "a usage window was reported"
                    );
                    self.publisher
                        .propose(&SiteCommand::MarkReported { window })
                        .await;
                }
                UsageReply::Fenced => {
                    tracing::warn!(
                        event = LogEvent::UsageFenced.number(),
                        window = window.0,
                        term,
                        "a later leader reports usage; this instance stops reporting"
                    );
                    return false;
                }
                UsageReply::Busy => return true,
            }
        }
        true
    }

    /// Sends the report of one window; [`UsageReply::Busy`] also if there is no answer,
    /// because the report must be sent again in both cases.
    async fn send_report(
        &self,
        term: u64,
        window: WindowNumber,
        counts: &OrganisationCounts,
    ) -> UsageReply {
        let request = self.dialect.usage_report(term, window, counts);
        let address = self.settings.address;
        let answer = match self.client.send(address, request, REPORT_TIMEOUT).await {
            Ok(answer) => answer,
            Err(error) => {
                let event = LogEvent::WindowNotAccepted.number();
                tracing::warn!(
                    event,
                    window = window.0,
                    %error,
                    "a usage report got no answer; it will be sent again"
                );
                return UsageReply::Busy;
            }
        };
        let status = answer.status();
        let reply = self.dialect.decode_usage_reply(status);
        if let Err(error) = answer.collect(MAX_ANSWER_BYTES, REPORT_TIMEOUT).await {
            tracing::debug!(%error, "the body of the answer to a usage report could not be read");
        }
        if reply == UsageReply::Busy {
            let event = LogEvent::WindowNotAccepted.number();
            tracing::warn!(
                event,
                window = window.0,
                %status,
                "a usage report was not accepted; it will be sent again"
            );
        }
        reply
    }
}
