//! Wait of requests for the first document of an entry.

use std::sync::Arc;
use std::time::Duration;

use oriolecrank_routing::{EntryStart, RouteTable};
use oriolecrank_schema::TimePoint;
use tokio::time::timeout;

use crate::entry_shared::EntryShared;

impl<D> EntryShared<D> {
    /// Route table of the document in force. Soon after the start, a request waits until there is one,
    /// as far as its time allows.
    pub(crate) async fn await_route_table(
        &self,
        caller_timeout: Option<Duration>,
        now: TimePoint,
    ) -> Option<Arc<RouteTable>> {
        // Registered before the check, so that a document between the two is not missed.
        let arrival = self.document_arrived.notified();
        if let Some(table) = self.route_table() {
            return Some(table);
        }
        let start = EntryStart {
            started_at: self.started_at,
            expected_within: self.options.start_wait,
        };
        let wait = start.wait(caller_timeout, now);
        if !wait.is_zero() {
            // The table decides; the wait may end for either reason.
            let _ = timeout(wait, arrival).await;
        }
        self.route_table()
    }
}
