//! Gossips announcements of upstreams to the other control instances.

use oriolecrank_schema::event::LogEvent;
use std::sync::Arc;
use std::time::Duration;

use indexmap::IndexMap;
use oriolecrank_net::BootClock;
use oriolecrank_routing::{UpstreamAnnouncement, UpstreamName};
use tokio::sync::mpsc;
use tokio::task::JoinSet;
use tokio::time::sleep;

use crate::site_clock::SiteClock;
use crate::site_messages::{AgedAnnouncement, GOSSIP_PATH, GossipBatch};
use crate::site_publisher::SitePublisher;

/// Time over which announcements are batched into one message. Entries learn of a change from any
/// control instance, so a short delay costs little and saves most messages.
const BATCH_DELAY: Duration = Duration::from_millis(200);

/// Timeout of a gossip message. A departure is acknowledged to the upstream only after its gossip
/// has been answered or has timed out.
const GOSSIP_TIMEOUT: Duration = Duration::from_millis(300);

/// Largest number of announcements that wait for the next batch; further ones are dropped.
const QUEUE_CAPACITY: usize = 4_096;

/// Sends announcements to the other members of the control group; clones share the queue.
#[derive(Debug, Clone)]
pub(crate) struct SiteGossip {
    cluster: String,
    publisher: SitePublisher,
    queue: mpsc::Sender<UpstreamAnnouncement>,
}

impl SiteGossip {
    /// Starts the task that sends batches, which runs as long as `tasks` lives, and returns a handle to
    /// its queue.
    pub(crate) fn start(
        cluster: String,
        publisher: SitePublisher,
        tasks: &mut JoinSet<()>,
    ) -> Self {
        let (queue, receiver) = mpsc::channel(QUEUE_CAPACITY);
        let gossip = Self {
            cluster,
            publisher,
            queue,
        };
        tasks.spawn(gossip.clone().run(receiver));
        gossip
    }

    /// Adds an announcement to the next batch. It may be lost; upstreams repeat their
    /// announcements.
    pub(crate) fn enqueue(&self, announcement: UpstreamAnnouncement) {
        if self.queue.try_send(announcement).is_err() {
            tracing::warn!(
                event = LogEvent::ReportFailed.number(),
                "the gossip queue is full; an announcement is dropped"
            );
        }
    }

    /// Sends an announcement to all other members concurrently and waits for them, up to the
    /// timeout. A departure then reaches every entry even if this instance fails right after it has
    /// acknowledged it.
    pub(crate) async fn send_now(&self, announcement: UpstreamAnnouncement) {
        let batch = self.batch(vec![announcement]);
        self.send(batch, GOSSIP_TIMEOUT).await;
    }

    async fn run(self, mut receiver: mpsc::Receiver<UpstreamAnnouncement>) {
        while let Some(first) = receiver.recv().await {
            sleep(BATCH_DELAY).await;
            let mut newest: IndexMap<UpstreamName, UpstreamAnnouncement> = IndexMap::new();
            newest.insert(first.name.clone(), first);
            while let Ok(next) = receiver.try_recv() {
                newest.insert(next.name.clone(), next);
            }
            let batch = self.batch(newest.into_values().collect());
            self.send(batch, GOSSIP_TIMEOUT).await;
        }
    }

    fn batch(&self, upstreams: Vec<UpstreamAnnouncement>) -> GossipBatch {
        let aged = upstreams.into_iter().map(|announcement| AgedAnnouncement {
            announcement,
            age: Duration::ZERO,
        });
        GossipBatch {
            cluster: self.cluster.clone(),
            upstreams: aged.collect(),
        }
    }

    async fn send(&self, batch: GossipBatch, timeout: Duration) {
        let batch = Arc::new(batch);
        let mut calls = JoinSet::new();
        for address in self.publisher.other_members() {
            let (link, batch) = (self.publisher.link.clone(), Arc::clone(&batch));
            calls.spawn(async move {
                if let Err(error) = link.notify(address, GOSSIP_PATH, &*batch, timeout).await {
                    tracing::debug!(%address, %error, "gossip to a control instance failed");
                }
            });
        }
        while calls.join_next().await.is_some() {}
    }
}

/// Applies the announcements that another control instance has sent.
pub(crate) fn apply_batch(
    tables: &crate::site_tables::SiteTables,
    batch: GossipBatch,
    clock: &SiteClock,
) {
    let now = BootClock.now();
    let unix_ms = clock.unix_ms(now);
    for aged in batch.upstreams {
        if let Err(error) = aged.announcement.check(unix_ms) {
            tracing::warn!(
                event = LogEvent::CallRefused.number(),
                address = %aged.announcement.address,
                %error,
                "an announcement that another control instance has accepted was refused"
            );
            continue;
        }
        let received_at = oriolecrank_schema::TimePoint::from_millis(
            now.as_millis().saturating_sub(aged.age.as_millis() as u64),
        );
        tables.apply_announcement(aged.announcement, received_at);
    }
}
