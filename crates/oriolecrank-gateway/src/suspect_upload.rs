//! Reports crashes to the leader of the control group as soon as this entry has seen them.
//!
//! The next sync reports them to every control instance as well, but up to half a second later. The crash
//! would be lost if the process of the entry ended in between.

use std::sync::Arc;
use std::time::Duration;

use oriolecrank_net::BootClock;

use crate::control_link::ControlLink;
use crate::entry_shared::EntryShared;
use crate::site_messages::{SUSPECTS_PATH, SuspectReports};

/// Timeout of a message. It is not repeated, because the next sync has the same reports.
const SEND_TIMEOUT: Duration = Duration::from_millis(400);

/// Task that sends the reports.
#[derive(Debug)]
pub(crate) struct SuspectUpload<D> {
    pub(crate) shared: Arc<EntryShared<D>>,
    pub(crate) link: ControlLink,
}

impl<D> SuspectUpload<D> {
    /// Runs until the process ends.
    pub(crate) async fn run(self) {
        let shared = &self.shared;
        let mut sent_sequence = 0;
        loop {
            shared.crash_reported.notified().await;
            let (reports, newest_sequence) = {
                let mut watch = shared.lock_suspect_watch();
                let reports = watch.reports_since(sent_sequence, BootClock.now());
                (reports, watch.newest_sequence())
            };
            sent_sequence = newest_sequence;
            let Some(leader) = shared.control_group().leader else {
                continue;
            };
            let message = SuspectReports { reports };
            let sent = self
                .link
                .notify(leader, SUSPECTS_PATH, &message, SEND_TIMEOUT);
            if let Err(error) = sent.await {
                tracing::debug!(%leader, %error, "a report about a crash did not reach the leader; the next sync repeats it");
            }
        }
    }
}
