//! Tells the leader of the control group where streams of this entry began, while their service has
//! several software versions.

use std::sync::Arc;
use std::time::Duration;

use oriolecrank_net::BootClock;
use oriolecrank_schema::event::LogEvent;
use tokio::time::sleep;

use crate::control_link::ControlLink;
use crate::entry_shared::EntryShared;
use crate::site_messages::{RecordsAnswer, STREAMS_PATH, StreamRecords};

/// Time over which streams are gathered for one message.
const BATCH_DELAY: Duration = Duration::from_millis(80);

/// Timeout of a message.
const SEND_TIMEOUT: Duration = Duration::from_millis(500);

/// Delay after a message that the leader did not take.
const RETRY_DELAY: Duration = Duration::from_millis(200);

/// Task that sends the records.
#[derive(Debug)]
pub(crate) struct StreamUpload<D> {
    pub(crate) shared: Arc<EntryShared<D>>,
    pub(crate) link: ControlLink,
}

impl<D> StreamUpload<D> {
    /// Runs until the process ends.
    pub(crate) async fn run(self) {
        let shared = &self.shared;
        let mut failed = false;
        loop {
            if !shared.lock_streams().has_unsent() {
                shared.stream_begun.notified().await;
            }
            sleep(BATCH_DELAY).await;
            let streams = shared.lock_streams().take_unsent(BootClock.now());
            if streams.is_empty() {
                continue;
            }
            let records = StreamRecords { streams };
            match self.send(&records).await {
                Ok(()) => failed = false,
                Err(reason) => {
                    if !failed {
                        tracing::warn!(
                            event = LogEvent::ReportFailed.number(),
                            streams = records.streams.len(),
                            reason,
                            "the leader did not take the records of streams; they are sent again"
                        );
                    }
                    failed = true;
                    shared.lock_streams().return_unsent(&records.streams);
                    sleep(RETRY_DELAY).await;
                }
            }
        }
    }

    async fn send(&self, records: &StreamRecords) -> Result<(), String> {
        let Some(leader) = self.shared.control_group().leader else {
            return Err("no leader is known".to_owned());
        };
        let answer = self.link.call(leader, STREAMS_PATH, records, SEND_TIMEOUT);
        match answer.await {
            Ok(RecordsAnswer::Taken) => Ok(()),
            Ok(RecordsAnswer::NotLeader) => Err(format!("{leader} does not lead")),
            Err(error) => Err(error.to_string()),
        }
    }
}
