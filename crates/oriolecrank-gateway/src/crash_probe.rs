//! Finds out whether an upstream whose connections broke has crashed.
//!
//! Connections also break on a fault of the network. Only after a crash does the upstream's machine
//! refuse new connections.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

use indexmap::{IndexMap, IndexSet};
use oriolecrank_net::BootClock;
use oriolecrank_routing::{
    CrashId, CrashSuspect, PartId, RequestFingerprint, UpstreamAnnouncement,
};
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

/// Requests whose attempts at one upstream broke off.
#[derive(Debug, Default)]
struct BrokenRequests {
    fingerprints: IndexSet<RequestFingerprint>,
    /// Shared parts of their prompts.
    parts: IndexSet<PartId>,
}

/// Broken attempts by upstream, until it is known whether the upstream has crashed.
#[derive(Debug, Default)]
pub(crate) struct CrashProbe {
    /// Taken alone and never held across an await.
    broken: Mutex<IndexMap<CrashId, BrokenRequests>>,
}

impl CrashProbe {
    fn lock(&self) -> MutexGuard<'_, IndexMap<CrashId, BrokenRequests>> {
        self.broken
            .lock()
            .expect("no holder of the broken attempts lock panics")
    }
}

impl<D: Send + Sync + 'static> EntryShared<D> {
    /// Records that an attempt at an upstream broke off while the upstream ran a request with this
    /// fingerprint and these prompt parts.
    pub(crate) fn record_broken_attempt(
        self: &Arc<Self>,
        upstream: &UpstreamAnnouncement,
        fingerprint: RequestFingerprint,
        parts: Vec<PartId>,
    ) {
        let crash = CrashId {
            upstream: upstream.name.clone(),
            started_ms: upstream.started_ms,
        };
        let mut broken = self.crash_probe.lock();
        let is_first = !broken.contains_key(&crash);
        let requests = broken.entry(crash.clone()).or_default();
        requests.fingerprints.insert(fingerprint);
        requests.parts.extend(parts);
        drop(broken);
        if is_first {
            tokio::spawn(Arc::clone(self).test_upstream(crash, upstream.address));
        }
    }

    /// Reports a crash if the upstream refuses a connection.
    async fn test_upstream(self: Arc<Self>, crash: CrashId, address: SocketAddr) {
        sleep(GATHER_TIME).await;
        let connected = timeout(CONNECT_TIMEOUT, TcpStream::connect(address)).await;
        let is_refused = matches!(
            connected,
            Ok(Err(error)) if error.kind() == std::io::ErrorKind::ConnectionRefused
        );
        let requests = self.crash_probe.lock().shift_remove(&crash);
        let requests = requests.unwrap_or_default();
        if !is_refused {
            return;
        }
        let fingerprints = requests.fingerprints.iter().take(MAX_LOGGED_FINGERPRINTS);
        let fingerprints: Vec<String> = fingerprints.map(ToString::to_string).collect();
        tracing::warn!(
            event = LogEvent::UpstreamCrashed.number(),
            upstream = %crash.upstream,
            started_ms = crash.started_ms,
            requests = requests.fingerprints.len(),
            ?fingerprints,
            parts = requests.parts.len(),
            "an upstream crashed while requests of this entry were running"
        );
        let now = BootClock.now();
        if !requests.parts.is_empty() {
            let parts = requests.parts;
            self.lock_suspect_watch().record_crash(
                crash,
                parts.into_iter().map(CrashSuspect::Part),
                now,
            );
        }
    }
}
