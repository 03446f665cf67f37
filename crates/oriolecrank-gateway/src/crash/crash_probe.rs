//! Finds out whether an upstream whose connections broke has crashed.
//!
//! Connections also break on a fault of the network. After a crash, the upstream's machine refuses
//! new connections until the upstream is back, which then announces itself as a new incarnation.

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

/// Time for which the announcement of a new incarnation is awaited if the upstream accepts the
/// connection. Upstreams announce themselves when they start, and entries learn of it within a
/// second.
const RESTART_WINDOW: Duration = Duration::from_secs(2);

/// Time between two looks for a new incarnation.
const RESTART_POLL_INTERVAL: Duration = Duration::from_millis(200);

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

    /// Reports a crash if the upstream refuses a connection or is succeeded by a new incarnation.
    async fn test_upstream(self: Arc<Self>, crash: CrashId, upstream: UpstreamAnnouncement) {
        sleep(GATHER_TIME).await;
        let refuses = refuses_connections(upstream.address).await;
        if refuses {
            self.record_refused_connection(&upstream, BootClock.now());
        }
        let has_crashed = refuses || self.has_restarted(&upstream).await;
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
        self.crash_reported.notify_one();
    }

    /// Waits until a new incarnation of the upstream is announced; false if none is in time.
    async fn has_restarted(&self, upstream: &UpstreamAnnouncement) -> bool {
        let deadline = BootClock.now() + RESTART_WINDOW;
        loop {
            if self.has_successor(upstream) {
                return true;
            }
            if BootClock.now() >= deadline {
                return false;
            }
            sleep(RESTART_POLL_INTERVAL).await;
        }
    }
}

async fn refuses_connections(address: SocketAddr) -> bool {
    let connected = timeout(CONNECT_TIMEOUT, TcpStream::connect(address)).await;
    matches!(
        connected,
        Ok(Err(error)) if error.kind() == std::io::ErrorKind::ConnectionRefused
    )
}
