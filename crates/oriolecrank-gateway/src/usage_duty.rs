//! Reports of usage windows, a duty of the leader.
//!
//! A window's figures are fixed by a log entry before they are sent, so that a successor sends the
//! same ones. The term is the fencing number: each term has one leader.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use oriolecrank_net::{BootClock, HttpClient};
use oriolecrank_routing::{OrganisationCounts, SiteCommand, WindowNumber};
use oriolecrank_schema::TimePoint;
use oriolecrank_schema::event::LogEvent;
use tokio::time::{MissedTickBehavior, interval};

use crate::dialect::{UsageDialect, UsageReply};
use crate::site_clock::SiteClock;
use crate::site_publisher::SitePublisher;
use crate::site_tables::SiteTables;

/// Interval of checks.
const CHECK_INTERVAL: Duration = Duration::from_millis(500);

/// Longest wait for the usage interface.
const REPORT_TIMEOUT: Duration = Duration::from_millis(1_500);

/// Largest answer of the usage interface, in bytes.
const MAX_ANSWER_BYTES: usize = 64 * 1024;

/// Rules of usage reports.
#[derive(Debug, Clone)]
pub struct UsageRules {
    /// Address of the usage interface.
    pub address: SocketAddr,
    /// Length of a window.
    pub window: Duration,
    /// Time after its end at which a report is due.
    pub due_after: Duration,
    /// Time for which a leader waits before it acts, so that its predecessor has stopped.
    pub lease: Duration,
}

/// Part of the time until a report is due after which a window is closed. Entries send their counts
/// about twice a second; the rest is for entries that are cut off for a while, and for the report.
const CLOSE_PART: f64 = 0.35;

/// Task that reports usage while this instance leads.
#[derive(Debug)]
pub(crate) struct UsageDuty<D> {
    pub(crate) rules: UsageRules,
    pub(crate) dialect: Arc<D>,
    pub(crate) client: HttpClient,
    pub(crate) publisher: SitePublisher,
    pub(crate) tables: Arc<SiteTables>,
    pub(crate) clock: Arc<SiteClock>,
}

/// A term that this instance leads.
#[derive(Debug, Clone, Copy)]
struct LedTerm {
    term: u64,
    since: TimePoint,
    /// The usage interface has seen a higher fencing number; nothing more is sent in this term.
    fenced: bool,
}

impl<D: UsageDialect> UsageDuty<D> {
    /// Runs until the process ends.
    pub(crate) async fn run(self) {
        let mut ticks = interval(CHECK_INTERVAL);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        let mut led: Option<LedTerm> = None;
        loop {
            ticks.tick().await;
            let now = BootClock.now();
            let Some(authority) = self.publisher.replica.authority() else {
                led = None;
                continue;
            };
            let term = authority.term.0;
            let mut current = led.filter(|led| led.term == term).unwrap_or(LedTerm {
                term,
                since: now,
                fenced: false,
            });
            if now.since(current.since) >= self.rules.lease && !current.fenced {
                self.close_windows(now).await;
                current.fenced = !self.report_windows(term).await;
            }
            led = Some(current);
        }
    }

    /// Fixes the figures of windows that have ended.
    async fn close_windows(&self, now: TimePoint) {
        let rules = &self.rules;
        let unix_ms = self.clock.unix_ms(now);
        let ended = |after: Duration| unix_ms.saturating_sub(after.as_millis() as u64);
        // The window that contains a point is not over; the one before is.
        let newest = WindowNumber::at(ended(rules.due_after.mul_f64(CLOSE_PART)), rules.window)
            .0
            .saturating_sub(1);
        let oldest = WindowNumber::at(ended(rules.due_after), rules.window)
            .0
            .saturating_sub(1);
        let first = oldest.max(self.publisher.site.read().closed_until().0 + 1);
        for window in (first..=newest).map(WindowNumber) {
            let counts = self.tables.lock().usage.total(window);
            if counts.is_empty() {
                continue;
            }
            let command = SiteCommand::CloseWindow { window, counts };
            if self.publisher.propose(&command).await.is_none() {
                return;
            }
        }
        self.tables
            .lock()
            .usage
            .prune(WindowNumber(oldest.saturating_sub(1)));
    }

    /// Sends the figures of closed windows; false once a higher fencing number was seen.
    async fn report_windows(&self, term: u64) -> bool {
        let open: Vec<(WindowNumber, OrganisationCounts)> = {
            let state = self.publisher.site.read();
            let open = state.unreported();
            open.map(|(window, closed)| (window, closed.counts.clone()))
                .collect()
        };
        for (window, counts) in open {
            // Asked immediately before each message, because the steps before it take time.
            let authority = self.publisher.replica.authority();
            if authority.is_none_or(|authority| authority.term.0 != term) {
                return true;
            }
            match self.send(term, window, &counts).await {
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
                        "a later leader reports usage"
                    );
                    return false;
                }
                UsageReply::Busy => return true,
            }
        }
        true
    }

    async fn send(
        &self,
        term: u64,
        window: WindowNumber,
        counts: &OrganisationCounts,
    ) -> UsageReply {
        let request = self.dialect.usage_report(term, window, counts);
        let address = self.rules.address;
        let answer = match self.client.send(address, request, REPORT_TIMEOUT).await {
            Ok(answer) => answer,
            Err(error) => {
                let event = LogEvent::WindowNotAccepted.number();
                tracing::warn!(event, window = window.0, %error, "no answer to a usage report");
                return UsageReply::Busy;
            }
        };
        let status = answer.status();
        let reply = self.dialect.decode_usage_reply(status);
        if let Err(error) = answer.collect(MAX_ANSWER_BYTES, REPORT_TIMEOUT).await {
            tracing::debug!(%error, "the answer to a usage report broke off");
        }
        if reply == UsageReply::Busy {
            let event = LogEvent::WindowNotAccepted.number();
            tracing::warn!(event, window = window.0, %status, "a usage report was not accepted");
        }
        reply
    }
}
