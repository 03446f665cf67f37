//! Leader task that admits software versions for streams and commits where streams began.

use std::sync::Arc;
use std::time::Duration;

use oriolecrank_net::BootClock;
use oriolecrank_routing::{OriginKeeper, OriginSettings, SiteCommand};
use oriolecrank_schema::event::LogEvent;
use tokio::time::{sleep, timeout};

use crate::site_publisher::SitePublisher;
use crate::site_tables::SiteTables;

/// Time over which the streams of all entries are gathered for one command.
const BATCH_DELAY: Duration = Duration::from_millis(30);

/// Interval between checks when nothing happens. A new leader admits the origins that it has known
/// before; and origins are removed with time.
const CHECK_INTERVAL: Duration = Duration::from_millis(250);

/// Largest number of streams in one command.
const MAX_BATCH: usize = 16_384;

/// Task that keeps [`StreamOrigins`](oriolecrank_routing::StreamOrigins) while this instance leads.
#[derive(Debug)]
pub(crate) struct StreamRecorder {
    pub(crate) publisher: SitePublisher,
    pub(crate) tables: Arc<SiteTables>,
}

impl StreamRecorder {
    /// Runs until the process ends.
    pub(crate) async fn run(self) {
        let mut keeper = OriginKeeper::new(OriginSettings::default(), BootClock.now());
        loop {
            let _ = timeout(CHECK_INTERVAL, self.tables.origin_work.notified()).await;
            if self.publisher.replica.authority().is_none() {
                self.tables.lock().unrecorded.clear();
                continue;
            }
            for command in self.due_commands(&mut keeper) {
                self.commit(&command).await;
            }
            sleep(BATCH_DELAY).await;
            self.record_streams().await;
        }
    }

    fn due_commands(&self, keeper: &mut OriginKeeper) -> Vec<SiteCommand> {
        let tables = self.tables.lock();
        let state = self.publisher.site.read();
        keeper.due_commands(&tables.directory, state.streams(), BootClock.now())
    }

    async fn record_streams(&self) {
        loop {
            let batch = {
                let unrecorded = &mut self.tables.lock().unrecorded;
                let count = unrecorded.len().min(MAX_BATCH);
                unrecorded.drain(..count).collect::<Vec<_>>()
            };
            if batch.is_empty() {
                return;
            }
            self.commit(&SiteCommand::RecordStreams(batch)).await;
        }
    }

    async fn commit(&self, command: &SiteCommand) {
        let outcome = self.publisher.propose(command).await;
        if let SiteCommand::AdmitOrigin(origin) | SiteCommand::RemoveOrigin(origin) = command {
            tracing::info!(
                event = LogEvent::OriginsChanged.number(),
                service = %origin.service,
                version = ?origin.version,
                admitted = matches!(command, SiteCommand::AdmitOrigin(_)),
                ?outcome,
                "the software versions at which streams may begin have changed"
            );
        }
    }
}
