//! Finds out whether an upstream whose connections broke has crashed.
//!
//! Connections also break on a fault of the network. Only after a crash does the upstream's machine
//! refuse new connections.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

use indexmap::{IndexMap, IndexSet};
use oriolecrank_net::BootClock;
use oriolecrank_routing::{CrashId, CrashSuspect, UpstreamAnnouncement};
use oriolecrank_schema::event::LogEvent;
use tokio::net::TcpStream;
use tokio::time::{sleep, timeout};

use crate::entry_shared::EntryShared;

/// Time between the first broken attempt and the connection that tests the upstream; the other
/// attempts at it break in the meantime.
const GATHER_TIME: Duration = Duration::from_millis(30);

/// Timeout of the connection. A crashed process refuses within a round trip.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);

/// Largest number of fingerprints in the log line of a crash.
const MAX_LOGGED_FINGERPRINTS: usize = 16;

/// Suspects of the broken attempts by upstream, until it is known whether the upstream has crashed.
#[derive(Debug, Default)]
pub(crate) struct CrashProbe {
    /// Taken alone and never held across an await.
    broken: Mutex<IndexMap<CrashId, IndexSet<CrashSuspect>>>,
}

impl CrashProbe {
    fn lock(&self) -> MutexGuard<'_, IndexMap<CrashId, IndexSet<CrashSuspect>>> {
        self.broken
            .lock()
            .expect("no holder of the broken attempts lock panics")
    }
}

impl<D: Send + Sync + 'static> EntryShared<D> {
    /// Records that an attempt at an upstream broke off while the upstream ran a request with these
    /// suspects.
    pub(crate) fn record_broken_attempt(
        self: &Arc<Self>,
        upstream: &UpstreamAnnouncement,
        suspects: Vec<CrashSuspect>,
    ) {
        let crash = CrashId {
            upstream: upstream.name.clone(),
            started_ms: upstream.started_ms,
        };
        let mut broken = self.crash_probe.lock();
        if let Some(known) = broken.get_mut(&crash) {
            known.extend(suspects);
            return;
        }
        broken.insert(crash.clone(), suspects.into_iter().collect());
        drop(broken);
        tokio::spawn(Arc::clone(self).test_upstream(crash, upstream.clone()));
    }

    /// Reports a crash if the upstream refuses a connection.
    async fn test_upstream(self: Arc<Self>, crash: CrashId, upstream: UpstreamAnnouncement) {
        sleep(GATHER_TIME).await;
        let has_crashed = refuses_connections(upstream.address).await;
        let suspects = self.crash_probe.lock().shift_remove(&crash);
        let suspects = suspects.filter(|_| has_crashed).unwrap_or_default();
        if suspects.is_empty() {
            return;
        }
        let fingerprints = suspects.iter().filter_map(|suspect| match suspect {
            CrashSuspect::Request(fingerprint) => Some(fingerprint.to_string()),
            CrashSuspect::Part(_) => None,
        });
        let fingerprints: Vec<String> = fingerprints.collect();
        tracing::warn!(
            event = LogEvent::UpstreamCrashed.number(),
            upstream = %crash.upstream,
            started_ms = crash.started_ms,
            requests = fingerprints.len(),
            fingerprints = ?fingerprints.iter().take(MAX_LOGGED_FINGERPRINTS).collect::<Vec<_>>(),
            parts = suspects.len() - fingerprints.len(),
            "an upstream crashed while requests of this entry were running"
        );
        let now = BootClock.now();
        self.lock_suspect_watch().record_crash(crash, suspects, now);
    }
}

async fn refuses_connections(address: SocketAddr) -> bool {
    let connected = timeout(CONNECT_TIMEOUT, TcpStream::connect(address)).await;
    matches!(
        connected,
        Ok(Err(error)) if error.kind() == std::io::ErrorKind::ConnectionRefused
    )
}
