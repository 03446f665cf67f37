//! Leader task that commits what entries report about crashes.

use std::sync::Arc;
use std::time::Duration;

use oriolecrank_net::BootClock;
use oriolecrank_schema::TimePoint;
use tokio::time::{sleep, timeout};

use crate::site_clock::SiteClock;
use crate::site_publisher::SitePublisher;
use crate::site_tables::SiteTables;

/// Interval between checks when nothing arrives. A new leader commits what it has received before.
const CHECK_INTERVAL: Duration = Duration::from_millis(250);

/// Time over which the reports of all entries about a crash are gathered for one command.
const BATCH_DELAY: Duration = Duration::from_millis(10);

/// Delay after a command that was not committed.
const RETRY_DELAY: Duration = Duration::from_millis(100);

/// Task that commits reports about crashes while this instance leads.
#[derive(Debug)]
pub(crate) struct SuspectRecorder {
    pub(crate) publisher: SitePublisher,
    pub(crate) tables: Arc<SiteTables>,
    pub(crate) clock: Arc<SiteClock>,
}

impl SuspectRecorder {
    /// Runs until the session ends.
    pub(crate) async fn run(self) {
        loop {
            let _ = timeout(CHECK_INTERVAL, self.tables.suspect_work.notified()).await;
            sleep(BATCH_DELAY).await;
            let now = BootClock.now();
            if self.publisher.replica.authority().is_none() {
                let mut tables = self.tables.lock();
                tables.suspect_inbox.prune(now);
                tables.suspect_inbox.drop_refusals();
                continue;
            }
            self.adopt_refusals(now).await;
            self.record_reports().await;
        }
    }

    async fn adopt_refusals(&self, now: TimePoint) {
        let command = {
            let mut tables = self.tables.lock();
            let state = self.publisher.site.read();
            let unix_now = self.clock.unix_time(now);
            tables
                .suspect_inbox
                .take_refusals(state.suspects(), unix_now)
        };
        if let Some(command) = command {
            self.publisher.propose(&command).await;
        }
    }

    /// Commits all reports that the replicated state does not contain, in several commands if need be.
    async fn record_reports(&self) {
        loop {
            let now = BootClock.now();
            let due = {
                let mut tables = self.tables.lock();
                let state = self.publisher.site.read();
                let unix_now = self.clock.unix_time(now);
                tables
                    .suspect_inbox
                    .due_reports(state.suspects(), now, unix_now)
            };
            let Some(due) = due else {
                return;
            };
            if self.publisher.propose(&due.command).await.is_none() {
                sleep(RETRY_DELAY).await;
                return;
            }
            self.tables.lock().suspect_inbox.mark_committed(&due);
        }
    }
}
